//! Quarantine of requests that crash the targets which execute them.
//!
//! A connection that breaks before the end of a response counts as a crash. A request that crashed
//! two targets before they began to respond, or three at any time, is quarantined, that is refused
//! for a time, unless it got a complete response recently. A response that has only begun proves
//! nothing, since the target may crash later. Connections that break within a response count for
//! less, because a target that ends for another reason breaks those of all streams in progress.
//!
//! Requests that are always in progress where another one crashes targets look the same as that one.
//! One instance, the tester, may therefore try a quarantined request once more after
//! [`TRIAL_DELAY_MS`]. It tries one request at a time, because two at one target would be blamed
//! for the same crash. A complete response ends the quarantine at all instances, and a crash excludes
//! further trials.
//!
//! This module decides which failures count and how long a quarantine lasts. [`Quarantine`] counts
//! the failures of each request fingerprint and merges the entries that other instances send.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::quarantine::AttemptHash;
use crate::quarantine::Fingerprint;
use crate::quarantine::Quarantine;
use crate::quarantine::QuarantineEntry;
use crate::quarantine::QuarantineSettings;
use crate::serving::prompt_quarantine::TargetHash;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;
use arbutus_coord::rendezvous::stable_hash;

/// Key by which the instances choose the tester.
const TESTER_KEY: &[u8] = b"crash-quarantine";
/// Number of targets that a request crashed before they began to respond, after which it is
/// quarantined.
const BEFORE_RESPONSE_THRESHOLD: usize = 2;
/// Number of targets that a request crashed at any time, after which it is quarantined.
const ANY_TIME_THRESHOLD: usize = 3;
/// How long a request that crashed targets is refused. This exceeds both the seconds that a target
/// takes to restart and the time that the client waits for a response.
const QUARANTINE_MS: Millis = Millis(60_000);
/// Time from the begin of a quarantine to the trial of the request. Targets that crashed together
/// are mostly back by then.
const TRIAL_DELAY_MS: Millis = Millis(2_000);
/// Time from the begin of a trial that shows neither a complete response nor a crash to the next one.
const INCONCLUSIVE_TRIAL_DELAY_MS: Millis = Millis(20_000);
/// How long after a failed trial there is no other one.
const FAILED_TRIAL_RETENTION_MS: Millis = Millis(600_000);
/// Minimum time between two reminders of quarantined requests.
const MIN_REMINDER_INTERVAL_MS: Millis = Millis(5_000);
/// Minimum time between two reminders for each instance that receives them, which bounds the messages
/// of the tester to 50 per second.
const REMINDER_INTERVAL_PER_PEER_MS: Millis = Millis(20);
/// Maximum number of requests with recorded crashes, of those with a recorded response, and of those
/// with a recorded trial.
const MAX_FINGERPRINTS: usize = 1_024;

/// How long after a response to a request its failures do not count as crashes. Since the request
/// did not crash a target recently, the cause is the target or the network, and all requests at
/// that target are affected.
const RECENT_RESPONSE_MS: Millis = Millis(30_000);

/// When a target crashed while it executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPhase {
    /// No part of the response body had arrived.
    BeforeResponse,
    /// A part of the response body had arrived.
    WithinResponse,
}

/// The crashes of targets under one request; also the message to other instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The crashes before a response began; `None` if there were none lately.
    pub before_response: Option<QuarantineEntry>,
    /// All crashes; `None` if there were none lately.
    pub at_any_time: Option<QuarantineEntry>,
    /// Whether the request crashed a target again when it was tried during its quarantine.
    pub has_failed_trial: bool,
}

/// The trial of a quarantined request.
#[derive(Clone, Copy, Debug)]
enum Trial {
    /// The request may be tried from this time on.
    DueAt(Millis),
    /// This instance is trying the request.
    InProgress,
    /// The request crashed a target when it was tried; the time is when this became known.
    Failed(Millis),
}

/// Requests that crash targets, as known to one instance.
#[derive(Debug)]
pub struct CrashQuarantine {
    before_response: Quarantine,
    at_any_time: Quarantine,
    trials: BTreeMap<Fingerprint, Trial>,
    last_response_at: BTreeMap<Fingerprint, Millis>,
    last_reminder_at: Option<Millis>,
}

impl CrashQuarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new() -> Self {
        let quarantine = Quarantine::new(QuarantineSettings {
            duration_ms: QUARANTINE_MS,
            max_entries: MAX_FINGERPRINTS,
        });
        Self {
            before_response: quarantine
                .clone()
                .with_failure_threshold(BEFORE_RESPONSE_THRESHOLD),
            at_any_time: quarantine.with_failure_threshold(ANY_TIME_THRESHOLD),
            trials: BTreeMap::new(),
            last_response_at: BTreeMap::new(),
            last_reminder_at: None,
        }
    }

    /// Returns how long a request stays quarantined, or `None` if it is not quarantined.
    #[must_use]
    pub fn remaining(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        if self.has_recent_response(now, fingerprint) {
            return None;
        }
        let quarantines = [&self.before_response, &self.at_any_time];
        let remaining = quarantines.map(|quarantine| quarantine.remaining(now, fingerprint));
        remaining.into_iter().flatten().max()
    }

    /// Returns whether the tester may try a quarantined request now.
    #[must_use]
    pub fn is_trial_due(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        let trial = self.trials.get(&fingerprint);
        let is_testing = |trial: &Trial| matches!(trial, Trial::InProgress);
        matches!(trial, Some(Trial::DueAt(due_at)) if *due_at <= now)
            && !self.trials.values().any(is_testing)
    }

    /// Records that the trial of a quarantined request begins. It ends with
    /// [`CrashQuarantine::end_trial`].
    pub fn begin_trial(&mut self, fingerprint: Fingerprint) {
        self.trials.insert(fingerprint, Trial::InProgress);
    }

    /// Records that the trial of a request has ended, after its crash or response, if any.
    ///
    /// `may_have_executed` tells whether a target may have executed the request.
    pub fn end_trial(&mut self, now: Millis, fingerprint: Fingerprint, may_have_executed: bool) {
        if let Some(trial @ Trial::InProgress) = self.trials.get_mut(&fingerprint) {
            *trial = Trial::DueAt(if may_have_executed {
                now + INCONCLUSIVE_TRIAL_DELAY_MS
            } else {
                now
            });
        }
    }

    /// Records that a connection to a target broke before the end of the response.
    ///
    /// Returns the report to send to other instances, or
    /// `None` if the request got a response recently. The first crash has a report too, because the
    /// next one may occur at another instance.
    pub fn record_crash(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        target: TargetHash,
        phase: CrashPhase,
    ) -> Option<CrashReport> {
        if self.has_recent_response(now, fingerprint) {
            return None;
        }
        // All requests that run at a target fail together when it crashes, so failures at one
        // target count once.
        let attempt = AttemptHash(target.0);
        if phase == CrashPhase::BeforeResponse {
            self.before_response
                .record_failure(now, fingerprint, attempt);
        }
        self.at_any_time.record_failure(now, fingerprint, attempt);
        if matches!(self.trials.get(&fingerprint), Some(Trial::InProgress)) {
            self.trials.insert(fingerprint, Trial::Failed(now));
        }
        self.update_trial(now, fingerprint);
        self.report(now, fingerprint)
    }

    /// Records that a request got a complete response, and returns whether this ends a quarantine,
    /// of which other instances have to be told.
    pub fn record_response(&mut self, now: Millis, fingerprint: Fingerprint) -> bool {
        let was_quarantined = self.remaining(now, fingerprint).is_some();
        self.forget(fingerprint);
        self.insert_response(fingerprint, now);
        was_quarantined
    }

    /// Merges a report from another instance, and returns whether it added a crash.
    pub fn merge(&mut self, now: Millis, report: &CrashReport) -> bool {
        let mut has_new_crash = false;
        if let Some(entry) = &report.before_response {
            has_new_crash |= self.before_response.merge(now, entry);
        }
        if let Some(entry) = &report.at_any_time {
            has_new_crash |= self.at_any_time.merge(now, entry);
        }
        if let Some(fingerprint) = report.fingerprint() {
            let trial = self.trials.get(&fingerprint);
            if report.has_failed_trial && !matches!(trial, Some(Trial::Failed(_))) {
                self.trials.insert(fingerprint, Trial::Failed(now));
            }
            self.update_trial(now, fingerprint);
        }
        has_new_crash
    }

    /// Returns reports on at most `limit` requests that crashed targets and got no response recently,
    /// for an instance that may not know them.
    #[must_use]
    pub fn reports(&self, now: Millis, limit: usize) -> Vec<CrashReport> {
        // All crashes are recorded in `at_any_time`, also those before a response.
        let entries = self.at_any_time.entries(now, usize::MAX).into_iter();
        let fingerprints = entries.map(|entry| entry.fingerprint);
        fingerprints
            .filter(|&fingerprint| !self.has_recent_response(now, fingerprint))
            .filter_map(|fingerprint| self.report(now, fingerprint))
            .take(limit)
            .collect()
    }

    /// Returns reports on at most `limit` quarantined requests if a reminder of `peer_count` instances
    /// is due.
    pub fn take_reminders(
        &mut self,
        now: Millis,
        peer_count: usize,
        limit: usize,
    ) -> Vec<CrashReport> {
        let interval_ms = REMINDER_INTERVAL_PER_PEER_MS.times(peer_count as u64);
        let interval_ms = interval_ms.max(MIN_REMINDER_INTERVAL_MS);
        let last_reminder_at = self.last_reminder_at;
        if last_reminder_at.is_some_and(|last_reminder_at| now < last_reminder_at + interval_ms) {
            return Vec::new();
        }
        self.last_reminder_at = Some(now);
        let mut reports = self.reports(now, usize::MAX);
        reports.retain(|report| {
            let fingerprint = report.fingerprint();
            fingerprint.is_some_and(|fingerprint| self.remaining(now, fingerprint).is_some())
        });
        reports.truncate(limit);
        reports
    }

    /// Returns the time since the last response to a request if that was recent.
    #[must_use]
    pub fn recent_response_age(&self, now: Millis, fingerprint: Fingerprint) -> Option<Millis> {
        let responded_at = *self.last_response_at.get(&fingerprint)?;
        (responded_at + RECENT_RESPONSE_MS > now).then(|| now - responded_at)
    }

    /// Records a recent response that another instance got, and returns whether this instance knew of
    /// none.
    ///
    /// `age_ms` is the time since the response. The crashes that are recorded here are removed, since
    /// the other instance got its response shortly before them.
    pub fn record_peer_response(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        age_ms: Millis,
    ) -> bool {
        if age_ms >= RECENT_RESPONSE_MS || age_ms > now {
            return false;
        }
        let is_first = !self.has_recent_response(now, fingerprint);
        self.forget(fingerprint);
        let known = self.last_response_at.get(&fingerprint).copied();
        let responded_at = known.unwrap_or_default().max(now - age_ms);
        self.insert_response(fingerprint, responded_at);
        is_first
    }

    fn report(&self, now: Millis, fingerprint: Fingerprint) -> Option<CrashReport> {
        let report = CrashReport {
            before_response: self.before_response.entry(now, fingerprint),
            at_any_time: self.at_any_time.entry(now, fingerprint),
            has_failed_trial: matches!(self.trials.get(&fingerprint), Some(Trial::Failed(_))),
        };
        report.fingerprint().is_some().then_some(report)
    }

    /// Schedules the trial of a request if its quarantine has begun.
    fn update_trial(&mut self, now: Millis, fingerprint: Fingerprint) {
        if self.remaining(now, fingerprint).is_none() {
            return;
        }
        let mut trials = std::mem::take(&mut self.trials);
        trials.retain(|&fingerprint, trial| match trial {
            Trial::Failed(failed_at) => *failed_at + FAILED_TRIAL_RETENTION_MS > now,
            Trial::DueAt(_) | Trial::InProgress => self.remaining(now, fingerprint).is_some(),
        });
        if trials.len() < MAX_FINGERPRINTS {
            let due_at = Trial::DueAt(now + TRIAL_DELAY_MS);
            trials.entry(fingerprint).or_insert(due_at);
        }
        self.trials = trials;
    }

    fn forget(&mut self, fingerprint: Fingerprint) {
        self.before_response.remove(fingerprint);
        self.at_any_time.remove(fingerprint);
        self.trials.remove(&fingerprint);
    }

    fn insert_response(&mut self, fingerprint: Fingerprint, responded_at: Millis) {
        self.last_response_at.insert(fingerprint, responded_at);
        if self.last_response_at.len() > MAX_FINGERPRINTS {
            let oldest = self.last_response_at.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(&fingerprint, _)| fingerprint) {
                self.last_response_at.remove(&oldest);
            }
        }
    }

    fn has_recent_response(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        self.recent_response_age(now, fingerprint).is_some()
    }
}

impl CrashReport {
    /// Returns the request that the report is about, or `None` if it has no crash.
    #[must_use]
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        let entry = self
            .before_response
            .as_ref()
            .or(self.at_any_time.as_ref())?;
        Some(entry.fingerprint)
    }
}

impl From<QuarantineEntry> for CrashReport {
    /// Converts the message of an instance that reports crashes before a response only.
    fn from(entry: QuarantineEntry) -> Self {
        Self {
            before_response: Some(entry.clone()),
            at_any_time: Some(entry),
            has_failed_trial: false,
        }
    }
}

impl Default for CrashQuarantine {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns whether an instance is the tester. Instances that know the same peers choose the same one.
pub fn is_tester<'a>(instance: &'a str, peers: impl Iterator<Item = &'a str>) -> bool {
    let members = peers.chain(std::iter::once(instance));
    rendezvous::owner(TESTER_KEY, members) == Some(instance)
}

/// Returns the fingerprint of a request: a hash of its path, organisation and body, which is the
/// same for all its attempts.
#[must_use]
pub fn fingerprint(path: &str, organisation: &str, body: &[u8]) -> Fingerprint {
    let parts = [
        stable_hash(path.as_bytes()),
        stable_hash(organisation.as_bytes()),
        stable_hash(body),
    ];
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_be_bytes()).collect();
    Fingerprint(stable_hash(&bytes))
}
