//! Quarantine of prompt parts that crash targets.
//!
//! A part of a prompt can crash each target that begins to respond to it. The requests with that
//! part differ in everything else, so [`CrashQuarantine`] does not recognise them, and other
//! requests share their remaining parts.
//!
//! When a target crashes, each part of each request that it had not begun to respond to is
//! suspected. A response that has begun clears the parts of its request. A part is quarantined
//! after crashes of [`CRASH_THRESHOLD`] targets without a response in between. A request is refused
//! if it contains a quarantined part and all parts that the crashed requests with that part have in
//! common, so that requests which share only some of these parts are served.
//!
//! A part that many requests share is often among the suspects of crashes that other parts caused.
//! Crashes that more specific suspects explain therefore do not count for it. Parts that targets
//! have responded to are explained by several suspects together, other parts only by a single one:
//! a part that causes all crashes would otherwise hide behind parts that its requests repeat.
//!
//! All instances exchange their reports, because requests with the same part arrive at any of them.
//!
//! [`CrashQuarantine`]: super::crash_quarantine::CrashQuarantine

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;
use arbutus_coord::rendezvous::stable_hash;

/// Number of crashed targets that quarantines a part.
const CRASH_THRESHOLD: usize = 3;
/// How long requests are refused after the last crash.
const QUARANTINE_MS: Millis = Millis(60_000);
/// How long a part below the threshold stays suspected after the last crash.
const SUSPICION_MS: Millis = Millis(60_000);
/// How long a part above the threshold stays suspected after the last crash. A crash after the end
/// of the quarantine starts it again.
const REPEATED_SUSPICION_MS: Millis = Millis(600_000);
/// How long after a response to a request with a part no request is refused because of it.
const RECENT_RESPONSE_MS: Millis = Millis(3_000);
/// Minimum time between two crashes that count for a part. Targets that fail together have a common
/// cause outside their requests.
const MIN_CRASH_INTERVAL_MS: Millis = Millis(15);
/// Time between the last necessary crash and the begin of the quarantine, in which other instances
/// can report a response.
const OBJECTION_MS: Millis = Millis(400);
/// Maximum number of suspected parts.
const MAX_PARTS: usize = 1_024;
/// Maximum number of parts whose last response is remembered.
const MAX_RESPONDED_PARTS: usize = 2_048;
/// Maximum number of crashed targets remembered for a part.
const MAX_TARGETS: usize = 16;

/// A stable hash of a prompt part and the service that executes the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartHash(pub u64);

impl PartHash {
    /// Computes the hash of a part from its identifier.
    #[must_use]
    pub fn new(service: &str, part: &str) -> Self {
        let hashes = [
            stable_hash(service.as_bytes()),
            stable_hash(part.as_bytes()),
        ];
        Self(combined_hash(&hashes))
    }
}

/// A stable hash of a target and its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetHash(pub u64);

impl TargetHash {
    /// Computes the hash of a target, which differs after each of its restarts.
    #[must_use]
    pub fn new(target: &str, incarnation: Option<u64>) -> Self {
        let incarnation = incarnation.unwrap_or_default();
        Self(combined_hash(&[
            stable_hash(target.as_bytes()),
            incarnation,
        ]))
    }
}

fn combined_hash(hashes: &[u64]) -> u64 {
    let bytes: Vec<u8> = hashes.iter().flat_map(|hash| hash.to_be_bytes()).collect();
    stable_hash(&bytes)
}

/// A request whose target crashed before it began to respond; also the message to other instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptCrash {
    /// The parts of the request that other requests may share.
    pub parts: BTreeSet<PartHash>,
    /// The target that crashed.
    pub target: TargetHash,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// The targets that crashed, and when.
    crashes: BTreeMap<TargetHash, Millis>,
    /// The parts that all crashed requests with this part contain.
    common_parts: BTreeSet<PartHash>,
    last_crash_at: Millis,
    /// When the threshold was reached.
    threshold_reached_at: Option<Millis>,
}

impl Suspect {
    fn new(crashed_at: Millis, crash: &PromptCrash) -> Self {
        Self {
            crashes: BTreeMap::from([(crash.target, crashed_at)]),
            common_parts: crash.parts.clone(),
            last_crash_at: crashed_at,
            threshold_reached_at: None,
        }
    }

    /// Returns whether a crash is too close to another one.
    fn is_simultaneous(&self, crashed_at: Millis) -> bool {
        self.crashes.values().any(|&other| {
            crashed_at < other + MIN_CRASH_INTERVAL_MS && other < crashed_at + MIN_CRASH_INTERVAL_MS
        })
    }

    fn add_crash(&mut self, now: Millis, crashed_at: Millis, crash: &PromptCrash) {
        let has_expired = self.last_crash_at + QUARANTINE_MS <= now;
        self.last_crash_at = self.last_crash_at.max(crashed_at);
        if self.crashes.len() < MAX_TARGETS {
            self.crashes.entry(crash.target).or_insert(crashed_at);
        }
        let is_reached = self.crashes.len() >= CRASH_THRESHOLD;
        if is_reached && (has_expired || self.threshold_reached_at.is_none()) {
            self.threshold_reached_at = Some(now);
        }
    }

    fn is_forgotten(&self, now: Millis) -> bool {
        let retention_ms = if self.threshold_reached_at.is_some() {
            REPEATED_SUSPICION_MS
        } else {
            SUSPICION_MS
        };
        self.last_crash_at + retention_ms <= now
    }

    /// Returns how long requests remain refused, or `None` outside of the quarantine.
    fn remaining(&self, now: Millis) -> Option<Millis> {
        let begins_at = self.threshold_reached_at? + OBJECTION_MS;
        let ends_at = self.last_crash_at + QUARANTINE_MS;
        (begins_at <= now && now < ends_at).then(|| ends_at - now)
    }
}

/// The suspected prompt parts, as known to one instance.
#[derive(Clone, Debug, Default)]
pub struct PromptQuarantine {
    suspects: BTreeMap<PartHash, Suspect>,
    last_response_at: BTreeMap<PartHash, Millis>,
}

impl PromptQuarantine {
    /// Creates a quarantine without suspects.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the quarantined part because of which a request with these parts is refused, and how
    /// long that lasts, or `None` if the request is not refused.
    #[must_use]
    pub fn refusal(&self, now: Millis, parts: &BTreeSet<PartHash>) -> Option<(PartHash, Millis)> {
        parts.iter().find_map(|&part| {
            let suspect = self.suspects.get(&part)?;
            let remaining_ms = suspect.remaining(now)?;
            let is_refused = suspect.common_parts.is_subset(parts)
                && !self.has_recent_response(now, part)
                && !self.is_explained_by_others(part, suspect);
            is_refused.then_some((part, remaining_ms))
        })
    }

    /// Records a crash that occurred `age_ms` ago, and returns the parts whose number of crashes
    /// reached the threshold.
    pub fn record_crash(
        &mut self,
        now: Millis,
        age_ms: Millis,
        crash: &PromptCrash,
    ) -> BTreeSet<PartHash> {
        self.suspects
            .retain(|_, suspect| !suspect.is_forgotten(now));
        let crashed_at = now - age_ms;
        let reached = crash
            .parts
            .iter()
            .copied()
            .filter(|&part| self.add_crash(now, crashed_at, part, crash, false))
            .collect();
        self.evict_excess();
        reached
    }

    /// Merges crashes that another instance has recorded earlier. They were counted there, so no
    /// interval between them is required.
    pub fn merge_earlier(&mut self, now: Millis, crashes: &[PromptCrash]) -> BTreeSet<PartHash> {
        let mut reached = BTreeSet::new();
        for crash in crashes {
            for &part in &crash.parts {
                if self.add_crash(now, now, part, crash, true) {
                    reached.insert(part);
                }
            }
        }
        self.evict_excess();
        reached
    }

    /// Returns the recorded crashes of all quarantined parts, for an instance that starts.
    #[must_use]
    pub fn all_crashes(&self, now: Millis) -> Vec<PromptCrash> {
        self.crashes_of(now, self.suspects.keys())
    }

    /// Returns the recorded crashes of those parts of a crash that are quarantined. An instance
    /// that reports the crash of such a part does not know them.
    #[must_use]
    pub fn earlier_crashes(&self, now: Millis, crash: &PromptCrash) -> Vec<PromptCrash> {
        self.crashes_of(now, crash.parts.iter())
    }

    fn crashes_of<'a>(
        &self,
        now: Millis,
        parts: impl Iterator<Item = &'a PartHash>,
    ) -> Vec<PromptCrash> {
        parts
            .filter_map(|part| Some((*part, self.suspects.get(part)?)))
            .filter(|&(part, suspect)| {
                suspect.remaining(now).is_some() && !self.is_explained_by_others(part, suspect)
            })
            .flat_map(|(_, suspect)| {
                suspect.crashes.keys().map(|&target| PromptCrash {
                    parts: suspect.common_parts.clone(),
                    target,
                })
            })
            .collect()
    }

    /// Records that a response has begun, which clears the parts of its request. Returns those of
    /// them that other instances may be about to quarantine.
    pub fn record_response(
        &mut self,
        now: Millis,
        parts: &BTreeSet<PartHash>,
    ) -> BTreeSet<PartHash> {
        for &part in parts {
            self.last_response_at.insert(part, now);
        }
        while self.last_response_at.len() > MAX_RESPONDED_PARTS {
            let oldest = self.last_response_at.iter().min_by_key(|(_, at)| **at);
            let Some(oldest) = oldest.map(|(&part, _)| part) else {
                break;
            };
            self.last_response_at.remove(&oldest);
        }
        parts
            .iter()
            .copied()
            .filter(|part| {
                let cleared = self.suspects.remove(part);
                cleared.is_some_and(|suspect| suspect.crashes.len() + 1 >= CRASH_THRESHOLD)
            })
            .collect()
    }

    /// Returns the number of suspected parts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no part is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Adds a crash to the suspect of a part; returns whether that reached the threshold. A crash
    /// that another instance has counted is counted here, too.
    fn add_crash(
        &mut self,
        now: Millis,
        crashed_at: Millis,
        part: PartHash,
        crash: &PromptCrash,
        is_counted: bool,
    ) -> bool {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            self.suspects.insert(part, Suspect::new(crashed_at, crash));
            return false;
        };
        suspect
            .common_parts
            .retain(|part| crash.parts.contains(part));
        let was_reached = suspect.threshold_reached_at.is_some();
        if is_counted || !suspect.is_simultaneous(crashed_at) {
            suspect.add_crash(now, crashed_at, crash);
        }
        !was_reached && suspect.threshold_reached_at.is_some()
    }

    fn has_recent_response(&self, now: Millis, part: PartHash) -> bool {
        let responded_at = self.last_response_at.get(&part);
        responded_at.is_some_and(|&at| at + RECENT_RESPONSE_MS > now)
    }

    /// Returns whether more specific suspects, those with further common parts, explain so many
    /// crashes of a suspect that the rest is below the threshold.
    fn is_explained_by_others(&self, part: PartHash, suspect: &Suspect) -> bool {
        let has_responded = self.last_response_at.contains_key(&part);
        let mut explained: BTreeSet<&TargetHash> = BTreeSet::new();
        for other in self.suspects.values().filter(|other| {
            other.threshold_reached_at.is_some()
                && other.common_parts.len() > suspect.common_parts.len()
                && other.common_parts.is_superset(&suspect.common_parts)
        }) {
            if !has_responded {
                explained.clear();
            }
            let common = suspect.crashes.keys();
            explained.extend(common.filter(|target| other.crashes.contains_key(target)));
            if suspect.crashes.len() - explained.len() < CRASH_THRESHOLD {
                return true;
            }
        }
        false
    }

    /// Evicts suspects above [`MAX_PARTS`], first those with the fewest crashes, then the oldest.
    fn evict_excess(&mut self) {
        while self.suspects.len() > MAX_PARTS {
            let evicted = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.last_crash_at))
                .map(|(&part, _)| part);
            let Some(evicted) = evicted else { return };
            self.suspects.remove(&evicted);
        }
    }
}
