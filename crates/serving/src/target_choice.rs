//! The targets that a request may be sent to now.

use std::collections::BTreeSet;

use rand::RngExt;

use crate::net::sleep;
use crate::request::RequestContext;
use crate::rollouts;
use crate::target_notices;
use crate::target_notices::Sender;
use crate::target_reports;
use arbutus_coord::Millis;
use arbutus_policy::serving::model::ServiceSpec;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::target_selection::SelectionCriteria;
use arbutus_policy::serving::target_work;
use arbutus_policy::serving::target_work::Candidate;
use arbutus_policy::serving::target_work::NOMINAL_WORK_PERCENT;
use arbutus_policy::serving::target_work::RequestWork;

/// Interval at which a waiting request checks whether a target is available.
const TARGET_POLL_MS: Millis = Millis(25);
/// Percentage of the latency objective for which a request waits for an available target.
const TARGET_WAIT_PERCENT: u64 = 40;
/// Percentage of a target's connection limit that the known instances share. The rest is reserved
/// for instances that are not in the instance list yet.
const USABLE_CONNECTIONS_PERCENT: usize = 80;
/// How long the work percentage of a report is used; after that, the target counts as working as
/// usual. A target that shares its machine slows down for some 600 ms at a time.
const WORK_PERCENT_VALID_MS: Millis = Millis(600);
/// Time that a request without a prompt takes at a target, as a percentage of its objective.
const PLAIN_REQUEST_PERCENT: u64 = 20;
/// Retry delay for clients if all targets of a service are shutting down or evacuated. Others have to
/// register first.
pub const CLOSED_SERVICE_RETRY_AFTER_MS: Millis = Millis(1_000);

/// Why no target can be selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoTarget {
    /// Time after which the client should retry, if it is known.
    pub retry_after_ms: Option<Millis>,
}

/// Returns whether the service of a request has a target that was not tried yet.
#[must_use]
pub fn has_untried_target(context: &RequestContext, tried_targets: &BTreeSet<String>) -> bool {
    let directory = context.shared.directory.borrow();
    directory
        .usable(&context.service)
        .filter(|known| !tried_targets.contains(&known.entry.id))
        .any(|known| rollouts::may_send_with(context, &directory, &known.entry))
}

/// Selects a target, waiting for one to become available if necessary.
///
/// # Errors
///
/// Returns an error if no target becomes available in time, or the shutdown deadline has passed. If
/// it is known that none will be available, the error is returned at once.
pub async fn wait_for_target(
    context: &RequestContext,
    tried_targets: &BTreeSet<String>,
) -> Result<TargetEntry, NoTarget> {
    let shared = &context.shared;
    let no_target = NoTarget {
        retry_after_ms: None,
    };
    let service = shared.service(&context.service).ok_or(no_target)?;
    let max_wait_ms = context.route.objective_ms.percent(TARGET_WAIT_PERCENT);
    let wait_until = shared.now() + max_wait_ms.min(context.remaining_ms());
    loop {
        if let Some(entry) = select_target(context, tried_targets, &service)
            && target_notices::try_take(shared, &entry.id, Sender::AnyInstance)
        {
            return Ok(entry);
        }
        let remaining_wait_ms = wait_until - shared.now();
        if shared.directory.borrow().is_closed(&context.service) {
            return Err(NoTarget {
                retry_after_ms: Some(CLOSED_SERVICE_RETRY_AFTER_MS),
            });
        }
        if targets_want_no_requests(context, tried_targets, remaining_wait_ms) {
            return Err(NoTarget {
                retry_after_ms: shortest_backoff_ms(context),
            });
        }
        if shared.now() >= wait_until || shared.is_past_shutdown_deadline() {
            return Err(no_target);
        }
        sleep(TARGET_POLL_MS).await;
    }
}

/// Returns whether all targets that could get a request want none for some time, because of their
/// limits or because they have asked for a pause.
fn targets_want_no_requests(
    context: &RequestContext,
    tried_targets: &BTreeSet<String>,
    time_ms: Millis,
) -> bool {
    let shared = &context.shared;
    let directory = shared.directory.borrow();
    let mut waits = directory
        .usable(&context.service)
        .filter(|known| !tried_targets.contains(&known.entry.id))
        .map(|known| target_notices::wait_ms(shared, &known.entry.id, Sender::AnyInstance))
        .peekable();
    // Without any target, the request waits for one to appear.
    waits.peek().is_some() && waits.all(|wait_ms| wait_ms.is_none_or(|wait_ms| wait_ms > time_ms))
}

/// Returns the time until the first target takes requests again, if all have asked for a pause.
fn shortest_backoff_ms(context: &RequestContext) -> Option<Millis> {
    let shared = &context.shared;
    let directory = shared.directory.borrow();
    let waits = directory
        .usable(&context.service)
        .map(|known| target_notices::backoff_ms(shared, &known.entry.id));
    waits.min().filter(|&wait_ms| wait_ms > Millis::ZERO)
}

/// Returns the failure domain in which the stage results should be computed: that of the target
/// that would be selected now, or that of this instance if there is none.
#[must_use]
pub fn expected_failure_domain(context: &RequestContext) -> String {
    let selected = context
        .shared
        .service(&context.service)
        .and_then(|service| select_target(context, &BTreeSet::new(), &service));
    selected.map_or_else(
        || context.shared.settings.failure_domain.clone(),
        |entry| entry.failure_domain,
    )
}

fn select_target(
    context: &RequestContext,
    tried_targets: &BTreeSet<String>,
    service: &ServiceSpec,
) -> Option<TargetEntry> {
    let shared = &context.shared;
    let now = shared.now();
    let usable_connections = service.max_connections as usize * USABLE_CONNECTIONS_PERCENT / 100;
    let connections_per_instance = (usable_connections / shared.instance_count()).max(1);
    let directory = shared.directory.borrow();
    let mut candidates: Vec<&TargetEntry> = directory
        .usable(&context.service)
        .filter(|known| !tried_targets.contains(&known.entry.id))
        .filter(|known| {
            !directory.is_cold(now, known, service.cold_duration_ms)
                || shared.may_send_to_cold_target(service, &known.entry.id)
        })
        .map(|known| &known.entry)
        .filter(|entry| {
            target_notices::wait_ms(shared, &entry.id, Sender::AnyInstance) == Some(Millis::ZERO)
        })
        .filter(|entry| {
            shared.pool.has_idle(&entry.id)
                || shared.pool.open_count(&entry.id) < connections_per_instance
        })
        .collect();
    rollouts::retain_allowed(context, tried_targets.len(), &directory, &mut candidates);
    let random: u64 = rand::rng().random();
    if target_reports::is_shared(shared, &context.service) {
        let index = select_by_work(context, &candidates, random)?;
        return Some(candidates[index].clone());
    }
    let criteria = SelectionCriteria {
        local_domain: &shared.settings.failure_domain,
        shared_prefix: context.client.shared_prefix(),
        random,
    };
    let target_states = shared.target_states.borrow();
    let selected_index = target_states.select(now, &candidates, &criteria)?;
    Some(candidates[selected_index].clone())
}

/// Selects a candidate of a service whose instances share what they know of its targets.
fn select_by_work(
    context: &RequestContext,
    candidates: &[&TargetEntry],
    random: u64,
) -> Option<usize> {
    let shared = &context.shared;
    let now = shared.now();
    let prompt_prefix = context.client.shared_parts();
    let forecast = shared.first_event_forecast.borrow();
    let (ms_per_token, base_ms) = if context.client.prompt_parts.is_empty() {
        let base_ms = context.route.objective_ms.percent(PLAIN_REQUEST_PERCENT);
        (0.0, base_ms.0 as f64)
    } else {
        forecast.coefficients_ms(&context.service)
    };
    let request = RequestWork {
        shared_prefix: prompt_prefix.last().map(|part| {
            let tokens = prompt_prefix.iter().map(|part| part.tokens);
            (part.id.as_str(), tokens.fold(0, u64::saturating_add))
        }),
        prompt_tokens: context.prompt_tokens(),
        base_ms,
        ms_per_token,
        objective_ms: context.route.objective_ms,
        slack_ms: context.objective_deadline() - now,
        local_domain: &shared.settings.failure_domain,
    };
    let target_states = shared.target_states.borrow();
    let view = shared.target_reports.view.borrow();
    let rated: Vec<Candidate<'_>> = candidates
        .iter()
        .map(|entry| {
            let viewed = view.load(now, &entry.id, entry.incarnation);
            let reported_usual_percent = view.usual_work_percent(&entry.id, entry.incarnation);
            let usual_work_percent = reported_usual_percent.unwrap_or(NOMINAL_WORK_PERCENT);
            let reported_work_percent = viewed
                .filter(|load| load.age_ms <= WORK_PERCENT_VALID_MS)
                .and_then(|load| load.work_percent);
            let viewed_running = viewed.map_or(0, |load| load.running.saturating_add(load.waiting));
            Candidate {
                entry,
                running: viewed_running.max(target_states.running(now, entry)),
                work_percent: reported_work_percent.unwrap_or(usual_work_percent),
                usual_work_percent,
                // The observed pace of a target contains what its work percentage says.
                pace: match reported_usual_percent {
                    Some(_) => 1.0,
                    None => view.pace(now, &entry.id),
                },
                is_paused: target_states.is_paused(now, &entry.id),
                ramp_weight: view.ramp_weight(now, &entry.id),
            }
        })
        .collect();
    target_work::select(&rated, &request, random)
}
