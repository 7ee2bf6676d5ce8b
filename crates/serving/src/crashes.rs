//! Evidence about requests that crash targets: records what attempts show and what peers report, and
//! refuses requests that are quarantined.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

use log::info;
use log::warn;

use crate::request::RequestContext;
use crate::shared::Shared;
use arbutus_coord::Millis;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_policy::serving::crash_quarantine::CrashPhase;
use arbutus_policy::serving::crash_quarantine::CrashReport;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::prompt_quarantine::PartHash;
use arbutus_policy::serving::prompt_quarantine::PromptCrash;
use arbutus_policy::serving::prompt_quarantine::TargetHash;

/// Maximum number of requests that an instance which starts is told of.
const MAX_KNOWN_CRASHES: usize = 256;
/// Maximum number of requests in a reminder.
const MAX_REMINDERS: usize = 64;

/// When a connection to a target broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Before the target had the time to execute the request, so the prompt is not the cause.
    BeforeExecution,
    /// Before the target began to respond.
    BeforeResponse,
    /// Before the end of the response.
    WithinResponse,
}

/// Returns why a request is refused, or `None` if it is not quarantined, is being tried or may be.
#[must_use]
pub fn quarantine_reason(context: &RequestContext) -> Option<String> {
    if let Some(remaining_ms) = quarantine_remaining(context)
        && !is_being_tried(context)
        && !is_trial_due(context)
    {
        return Some(format!(
            "the request crashes targets; quarantined for {remaining_ms}"
        ));
    }
    let shared = &context.shared;
    let now = shared.now();
    let prompt_quarantine = shared.prompt_quarantine.borrow();
    let (part, remaining_ms) = prompt_quarantine.refusal(now, &context.prompt_parts)?;
    Some(format!(
        "a part of the prompt crashes targets; part hash {:016x} quarantined for {remaining_ms}",
        part.0
    ))
}

/// The same as [`quarantine_reason`] just before the request is sent, which may be its trial.
#[must_use]
pub fn begin_attempt(context: &mut RequestContext) -> Option<String> {
    let reason = quarantine_reason(context);
    let is_quarantined = quarantine_remaining(context).is_some();
    if reason.is_none() && is_quarantined && !is_being_tried(context) {
        info!(request = context.client.id.as_str(), fingerprint:? = context.fingerprint; "trying a quarantined request");
        context.trial = Some(TrialGuard::new(&context.shared, context.fingerprint));
    }
    reason
}

/// The trial of a quarantined request, which ends when this is dropped.
#[derive(Debug)]
pub struct TrialGuard {
    shared: Rc<Shared>,
    fingerprint: Fingerprint,
    may_have_executed: Cell<bool>,
}

impl TrialGuard {
    fn new(shared: &Rc<Shared>, fingerprint: Fingerprint) -> Self {
        shared
            .crash_quarantine
            .borrow_mut()
            .begin_trial(fingerprint);
        Self {
            shared: Rc::clone(shared),
            fingerprint,
            may_have_executed: Cell::new(false),
        }
    }

    /// Records whether a target may have executed the request.
    pub fn set_may_have_executed(&self, may_have_executed: bool) {
        self.may_have_executed.set(may_have_executed);
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let may_have_executed = self.may_have_executed.get();
        let mut crash_quarantine = self.shared.crash_quarantine.borrow_mut();
        crash_quarantine.end_trial(self.shared.now(), self.fingerprint, may_have_executed);
    }
}

/// Returns whether this is the trial of the request, and no target may have executed it yet.
fn is_being_tried(context: &RequestContext) -> bool {
    let trial = context.trial.as_ref();
    trial.is_some_and(|trial| !trial.may_have_executed.get())
}

fn quarantine_remaining(context: &RequestContext) -> Option<Millis> {
    let shared = &context.shared;
    let crash_quarantine = shared.crash_quarantine.borrow();
    crash_quarantine.remaining(shared.now(), context.fingerprint)
}

fn is_trial_due(context: &RequestContext) -> bool {
    let shared = &context.shared;
    let crash_quarantine = shared.crash_quarantine.borrow();
    crash_quarantine.is_trial_due(shared.now(), context.fingerprint) && shared.is_crash_tester()
}

/// Records that a target has responded with success and to the end, so the request does not crash
/// targets.
pub fn record_complete_response(context: &RequestContext) {
    let shared = &context.shared;
    let now = shared.now();
    let ends_quarantine = shared
        .crash_quarantine
        .borrow_mut()
        .record_response(now, context.fingerprint);
    if ends_quarantine {
        info!(
            request = context.client.id.as_str(), fingerprint:? = context.fingerprint;
            "quarantine ended by a complete response"
        );
        let mut reports = shared.pending_reports.borrow_mut();
        reports.responses.push((context.fingerprint, now));
    }
    clear_prompt(context);
}

/// Records that a target has begun to respond with success, so the prompt does not crash targets
/// that read it.
pub fn clear_prompt(context: &RequestContext) {
    let shared = &context.shared;
    let cleared = shared
        .prompt_quarantine
        .borrow_mut()
        .record_response(shared.now(), &context.prompt_parts);
    if !cleared.is_empty() {
        info!(
            request = context.client.id.as_str(), part_hashes = format_parts(&cleared);
            "suspected prompt parts cleared by a response"
        );
        let mut reports = shared.pending_reports.borrow_mut();
        reports.cleared_parts.extend(cleared);
    }
}

/// Records that a connection to a target broke before the end of the response, and reports the
/// suspects to all instances.
pub fn record_crash(
    context: &RequestContext,
    entry: &TargetEntry,
    cause: &str,
    connection_end: ConnectionEnd,
) {
    let shared = &context.shared;
    let (phase, message) = match connection_end {
        ConnectionEnd::BeforeExecution | ConnectionEnd::BeforeResponse => (
            CrashPhase::BeforeResponse,
            "target closed the connection before it began to respond",
        ),
        ConnectionEnd::WithinResponse => (
            CrashPhase::WithinResponse,
            "target closed the connection before the end of its response",
        ),
    };
    info!(
        request = context.client.id.as_str(), target_id = entry.id.as_str(), error = cause,
        fingerprint:? = context.fingerprint, parts = context.shared_part_ids(),
        part_hashes = format_parts(&context.prompt_parts);
        "{message}"
    );
    let target = TargetHash::new(&entry.id, entry.incarnation);
    let report = shared.crash_quarantine.borrow_mut().record_crash(
        shared.now(),
        context.fingerprint,
        target,
        phase,
    );
    if let Some(report) = report {
        shared.pending_reports.borrow_mut().crashes.push(report);
    }
    if context.prompt_parts.is_empty() || connection_end != ConnectionEnd::BeforeResponse {
        return;
    }
    let crash = PromptCrash {
        parts: context.prompt_parts.clone(),
        target,
    };
    record_prompt_crash(shared, Millis::ZERO, &crash);
    let mut reports = shared.pending_reports.borrow_mut();
    reports.prompt_crashes.push((shared.now(), crash));
}

/// Records that a connection to a target broke within a response body that is read as a whole. A
/// target may begin it before it reads the prompt.
pub fn record_crash_within_body(context: &RequestContext, entry: &TargetEntry, reason: &str) {
    let connection_end = if context.prompt_parts.is_empty() {
        ConnectionEnd::WithinResponse
    } else {
        ConnectionEnd::BeforeResponse
    };
    record_crash(context, entry, reason, connection_end);
}

/// Records a crash that this instance or a peer observed `age_ms` ago.
pub fn record_prompt_crash(shared: &Shared, age_ms: Millis, crash: &PromptCrash) {
    let now = shared.now();
    let reached = shared
        .prompt_quarantine
        .borrow_mut()
        .record_crash(now, age_ms, crash);
    log_reached(shared, &reached);
}

/// Records crashes that a peer reports, and returns the requests among them that this instance got
/// a response to, with the time since then.
pub fn merge_crashes(shared: &Shared, reports: &[CrashReport]) -> Vec<(Fingerprint, Millis)> {
    let now = shared.now();
    let mut quarantine = shared.crash_quarantine.borrow_mut();
    for report in reports {
        if quarantine.merge(now, report) {
            let failures = report.at_any_time.as_ref();
            let failures = failures.map_or(0, |entry| entry.failures.len());
            warn!(fingerprint:? = report.fingerprint(), failures; "a peer reported a request that crashes targets");
        }
    }
    let fingerprints = reports.iter().filter_map(CrashReport::fingerprint);
    let answered = fingerprints.filter_map(|fingerprint| {
        let age_ms = quarantine.recent_response_age(now, fingerprint)?;
        Some((fingerprint, age_ms))
    });
    answered.collect()
}

/// Returns reports on the requests that crashed targets lately, for an instance that starts.
#[must_use]
pub fn known_crashes(shared: &Shared) -> Vec<CrashReport> {
    let crash_quarantine = shared.crash_quarantine.borrow();
    crash_quarantine.reports(shared.now(), MAX_KNOWN_CRASHES)
}

/// Returns reports on quarantined requests of which the tester reminds its peers at times, since a
/// peer may have been unreachable when a crash was reported.
#[must_use]
pub fn take_reminders(shared: &Shared, peer_count: usize) -> Vec<CrashReport> {
    if !shared.is_crash_tester() {
        return Vec::new();
    }
    let mut crash_quarantine = shared.crash_quarantine.borrow_mut();
    crash_quarantine.take_reminders(shared.now(), peer_count, MAX_REMINDERS)
}

/// Records responses to reported requests that peers got, and returns those that this instance knew
/// no response to.
pub fn record_peer_responses(
    shared: &Shared,
    responses: &[(Fingerprint, Millis)],
) -> Vec<(Fingerprint, Millis)> {
    let now = shared.now();
    let mut quarantine = shared.crash_quarantine.borrow_mut();
    let mut learnt = Vec::new();
    for &(fingerprint, age_ms) in responses {
        if quarantine.record_peer_response(now, fingerprint, age_ms) {
            info!(fingerprint:? = fingerprint, age_ms = age_ms.0; "a peer got a response to a request that was reported to crash targets");
            learnt.push((fingerprint, age_ms));
        }
    }
    learnt
}

/// Records crashes that a peer remembers.
pub fn merge_earlier_crashes(shared: &Shared, crashes: &[PromptCrash]) {
    let now = shared.now();
    let reached = shared
        .prompt_quarantine
        .borrow_mut()
        .merge_earlier(now, crashes);
    log_reached(shared, &reached);
}

/// Removes suspects of which a peer has seen a response.
pub fn clear_parts(shared: &Shared, parts: &BTreeSet<PartHash>) {
    // The peer has told all instances, so nothing is reported again.
    let now = shared.now();
    let cleared = shared
        .prompt_quarantine
        .borrow_mut()
        .record_response(now, parts);
    if !cleared.is_empty() {
        info!(part_hashes = format_parts(&cleared); "suspected prompt parts cleared by a peer");
    }
}

fn log_reached(shared: &Shared, reached: &BTreeSet<PartHash>) {
    if !reached.is_empty() {
        let suspects = shared.prompt_quarantine.borrow().len();
        warn!(part_hashes = format_parts(reached), suspects; "prompt parts have crashed several targets");
    }
}

fn format_parts(parts: &BTreeSet<PartHash>) -> String {
    let hashes: Vec<String> = parts
        .iter()
        .map(|part| format!("{:016x}", part.0))
        .collect();
    hashes.join(",")
}
