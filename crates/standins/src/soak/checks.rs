//! The promises that a soak checks, from what clients and targets saw.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::simulated_platform::client::ClientResponse;
use crate::simulated_platform::example;
use crate::soak::clients::Asked;
use crate::soak::clients::Seen;
use arbutus_platform::names;

/// Clients of the soak say that they wait for four seconds; an answer comes before that, and one
/// more second covers a busy machine.
const ANSWERED_WITHIN: Duration = Duration::from_secs(5);
/// An instance that was harmed serves as usual after this time: a lost connection to the store is
/// found within a second, and a change is in force two seconds later.
const RECOVERED_WITHIN: Duration = Duration::from_secs(3);

/// How an instance was harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Harm {
    /// Its process was paused, killed or absent.
    Process,
    /// The store could not be reached.
    Store,
}

/// A time in which an instance was harmed.
#[derive(Clone, Copy, Debug)]
pub struct HarmedTime {
    /// The position of the instance.
    pub instance: usize,
    /// What was harmed.
    pub harm: Harm,
    /// The beginning.
    pub from: Instant,
    /// The end.
    pub to: Instant,
}

/// All that happened in a soak.
#[derive(Debug, Default)]
pub struct Record {
    /// What clients saw.
    pub seen: Vec<Seen>,
    /// What targets ran, by the identifier of the request.
    pub runs: BTreeMap<String, usize>,
    /// When instances were harmed.
    pub harmed: Vec<HarmedTime>,
}

impl Record {
    /// Returns each promise that was broken, with the request.
    #[must_use]
    pub fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for seen in &self.seen {
            if let Some(reason) = self.judge(seen) {
                broken.push(format!(
                    "{reason}: {} {} at instance {}: {:?}",
                    seen.asked, seen.id, seen.instance, seen.received
                ));
            }
        }
        let sent: BTreeMap<&str, &Seen> =
            self.seen.iter().map(|all| (all.id.as_str(), all)).collect();
        for id in self.runs.keys() {
            if !sent.contains_key(id.as_str()) {
                broken.push(format!("a target ran {id}, which no client sent"));
            }
        }
        broken
    }

    fn judge(&self, seen: &Seen) -> Option<&'static str> {
        let runs = self.runs.get(&seen.id).copied().unwrap_or_default();
        if seen.asked == Asked::Unsafe && runs > 1 {
            return Some("an unsafe request ran twice");
        }
        let is_harmed = self.is_harmed(seen, Harm::Process, Duration::ZERO);
        if !is_harmed && seen.ended - seen.sent > ANSWERED_WITHIN {
            return Some("a request was not answered in time");
        }
        let Some(received) = &seen.received else {
            return (!is_harmed).then_some("an instance took no connection");
        };
        match received.status {
            200 => Self::judge_success(seen, received),
            0 if seen.asked.is_stream() || is_harmed => None,
            0 => Some("a request got no answer"),
            429 | 503 if seen.asked == Asked::Unsafe && runs > 0 => {
                Some("a request that ran was refused as not run")
            }
            404 if matches!(seen.asked, Asked::NewRoute(_)) => {
                let is_cut_off = self.is_harmed(seen, Harm::Store, RECOVERED_WITHIN)
                    || self.is_harmed(seen, Harm::Process, RECOVERED_WITHIN);
                (!is_cut_off).then_some("a configuration was not in force in time")
            }
            401 | 403 | 404 => Some("a proper request was denied"),
            _ => None,
        }
    }

    fn judge_success(seen: &Seen, received: &ClientResponse) -> Option<&'static str> {
        let all = example::complete_stream_body();
        let is_whole = if seen.asked.is_stream() {
            received.body == all
        } else {
            received.body.starts_with("answer of d")
        };
        if received.is_complete && !is_whole {
            return Some("an answer looks complete, but is not");
        }
        if seen.asked.is_stream() && !all.starts_with(&received.body) {
            return Some("a stream has a gap, a repetition or foreign events");
        }
        let stamp = received.headers.get(names::STAMP.as_str());
        if !stamp.is_some_and(|stamp| stamp.starts_with("stamp-")) {
            return Some("a success without the stamp of a target");
        }
        let echoed = received.headers.get(names::REQUEST_ID.as_str());
        (echoed != Some(&seen.id)).then_some("an answer of another request")
    }

    /// Returns whether the instance was harmed while the request was served, or shortly before.
    fn is_harmed(&self, seen: &Seen, harm: Harm, before: Duration) -> bool {
        self.harmed.iter().any(|time| {
            time.instance == seen.instance
                && time.harm == harm
                && time.from <= seen.ended
                && time.to + before >= seen.sent
        })
    }
}
