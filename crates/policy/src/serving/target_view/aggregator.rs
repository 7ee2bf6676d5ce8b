//! Which instance is the aggregator of a failure domain.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_coord::rendezvous;

/// How long the aggregator of the local failure domain may send nothing before another one is chosen.
pub const AGGREGATOR_SILENCE_MS: Millis = Millis(1_000);
/// Key by which the instances of a domain are ranked.
const RANK_KEY: &str = "target-view/";

#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    /// When the candidate was first expected to send.
    expected_since: Millis,
    last_received_at: Option<Millis>,
}

/// The aggregator of each failure domain, as chosen by one instance.
#[derive(Debug, Default)]
pub struct AggregatorChoice {
    /// By failure domain and instance.
    candidates: BTreeMap<String, BTreeMap<String, Candidate>>,
    /// The first instance of each failure domain by rank, as of the last choice.
    first: BTreeMap<String, String>,
}

impl AggregatorChoice {
    /// Records that an instance of a failure domain sent summaries.
    pub fn record_summaries(&mut self, now: Millis, domain: &str, sender: &str) {
        let candidates = self.candidates.entry(domain.to_owned()).or_default();
        let candidate = candidates.entry(sender.to_owned()).or_insert(Candidate {
            expected_since: now,
            last_received_at: None,
        });
        candidate.last_received_at = Some(now);
    }

    /// Returns whether an instance was the first of its failure domain by rank at the last choice.
    #[must_use]
    pub fn is_first(&self, domain: &str, name: &str) -> bool {
        self.first.get(domain).is_some_and(|first| first == name)
    }

    /// Returns the aggregator of a failure domain: the first of `members` by rendezvous hashing that
    /// is not silent, that is, has sent something within `silence_ms`. If all are, the first one.
    ///
    /// `local` is the local instance, which is never silent for itself, if it is in this domain.
    pub fn choose<'a>(
        &mut self,
        now: Millis,
        domain: &str,
        members: impl Iterator<Item = &'a str>,
        local: Option<&str>,
        silence_ms: Millis,
    ) -> Option<&'a str> {
        let key = format!("{RANK_KEY}{domain}");
        let ranked = rendezvous::ranked(key.as_bytes(), members);
        if let Some(&first) = ranked.first() {
            self.first.insert(domain.to_owned(), first.to_owned());
        }
        let candidates = self.candidates.entry(domain.to_owned()).or_default();
        candidates.retain(|name, _| ranked.contains(&name.as_str()));
        let mut chosen = None;
        for (rank, &name) in ranked.iter().enumerate() {
            if local == Some(name) {
                chosen = Some(rank);
                break;
            }
            let candidate = candidates.entry(name.to_owned()).or_insert(Candidate {
                expected_since: now,
                last_received_at: None,
            });
            let heard_at = candidate
                .last_received_at
                .map_or(candidate.expected_since, |at| {
                    at.max(candidate.expected_since)
                });
            if heard_at + silence_ms >= now {
                chosen = Some(rank);
                break;
            }
        }
        let chosen = chosen.unwrap_or(0);
        // Nothing is expected of those behind the chosen one. When their turn comes, they get the
        // whole time again.
        for name in ranked.iter().skip(chosen + 1) {
            candidates.remove(*name);
        }
        ranked.get(chosen).copied()
    }
}
