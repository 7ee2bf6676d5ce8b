//! Evidence about requests that crash targets: records what attempts show and what peers report, and
//! refuses requests that are quarantined.

use std::collections::BTreeSet;

use log::info;
use log::warn;

use crate::request::RequestContext;
use crate::shared::Shared;
use arbutus_coord::Millis;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_policy::quarantine::QuarantineEntry;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::prompt_quarantine::PartHash;
use arbutus_policy::serving::prompt_quarantine::PromptCrash;
use arbutus_policy::serving::prompt_quarantine::TargetHash;

/// Whether a part of the prompt may have caused a broken connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptSuspicion {
    /// The target may have crashed when it began to respond.
    Possible,
    /// The target did not have the time to execute the request.
    Unlikely,
}

/// Returns why a request is refused, or `None` if it is not quarantined.
#[must_use]
pub fn quarantine_reason(context: &RequestContext) -> Option<String> {
    let shared = &context.shared;
    let now = shared.now();
    let crash_quarantine = shared.crash_quarantine.borrow();
    if let Some(remaining_ms) = crash_quarantine.remaining(now, context.fingerprint) {
        return Some(format!(
            "the request crashes targets; quarantined for {remaining_ms}"
        ));
    }
    let prompt_quarantine = shared.prompt_quarantine.borrow();
    let (part, remaining_ms) = prompt_quarantine.refusal(now, &context.prompt_parts)?;
    Some(format!(
        "a part of the prompt crashes targets; part hash {:016x} quarantined for {remaining_ms}",
        part.0
    ))
}

/// Records that a target has begun to respond with success, so the request does not crash targets.
pub fn record_response(context: &RequestContext) {
    let shared = &context.shared;
    shared
        .crash_quarantine
        .borrow_mut()
        .record_response(shared.now(), context.fingerprint);
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

/// Records that a connection to a target broke before the target had begun to respond, and reports
/// the suspects to all instances.
pub fn record_crash(
    context: &RequestContext,
    entry: &TargetEntry,
    cause: &str,
    prompt_suspicion: PromptSuspicion,
) {
    let shared = &context.shared;
    info!(
        request = context.client.id.as_str(), target_id = entry.id.as_str(), error = cause,
        fingerprint:? = context.fingerprint, parts = context.shared_part_ids(),
        part_hashes = format_parts(&context.prompt_parts);
        "target closed the connection before it began to respond"
    );
    let report = shared.crash_quarantine.borrow_mut().record_crash(
        shared.now(),
        context.fingerprint,
        &entry.id,
    );
    if let Some(report) = report {
        shared.pending_reports.borrow_mut().crashes.push(report);
    }
    if context.prompt_parts.is_empty() || prompt_suspicion == PromptSuspicion::Unlikely {
        return;
    }
    let crash = PromptCrash {
        parts: context.prompt_parts.clone(),
        target: TargetHash::new(&entry.id, entry.incarnation),
    };
    record_prompt_crash(shared, Millis::ZERO, &crash);
    let mut reports = shared.pending_reports.borrow_mut();
    reports.prompt_crashes.push((shared.now(), crash));
}

/// Records a crash after the response head. The content of a request without a prompt does not
/// cause it, since its target has executed the request.
pub fn record_crash_after_head(context: &RequestContext, entry: &TargetEntry, reason: &str) {
    if !context.prompt_parts.is_empty() {
        record_crash(context, entry, reason, PromptSuspicion::Possible);
    }
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
pub fn merge_crashes(shared: &Shared, entries: &[QuarantineEntry]) -> Vec<(Fingerprint, Millis)> {
    let now = shared.now();
    let mut quarantine = shared.crash_quarantine.borrow_mut();
    for entry in entries {
        if quarantine.merge(now, entry) {
            warn!(fingerprint:? = entry.fingerprint, failures = entry.failures.len(); "a peer reported a request that crashes targets");
        }
    }
    let answered = entries.iter().filter_map(|entry| {
        let age_ms = quarantine.recent_response_age(now, entry.fingerprint)?;
        Some((entry.fingerprint, age_ms))
    });
    answered.collect()
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
