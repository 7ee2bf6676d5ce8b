//! Roll-outs of the versions of services at this instance.
//!
//! [`Rollouts`] has the orders that the store shows, and the member and, if this instance decides,
//! the decider of each. `arbutus_policy::serving::rollout` has the rules; [`task`] sends reports and
//! writes the state. Without limits in the settings, nothing of this has an effect.
//!
//! The store changes the revision of an object when its status is written, and an instance that
//! restarts knows only the latest one. Messages therefore name the latest revision that the sender
//! knows, and the receiver translates every revision that the same order has had to the first one
//! that it knows.

mod first_seen;
pub mod task;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use log::info;
use log::warn;

use crate::peer_messages::ROLLOUTS_PROTOCOL;
use crate::request::RequestContext;
use crate::rollouts::first_seen::FirstSeen;
use crate::shared::Shared;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous;
use arbutus_platform::rollout;
use arbutus_platform::rollout::RolloutEntry;
use arbutus_platform::store::StoredObject;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::rollout::Directive;
use arbutus_policy::serving::rollout::EvidenceReport;
use arbutus_policy::serving::rollout::ResponseOutcome;
use arbutus_policy::serving::rollout::RolloutDecider;
use arbutus_policy::serving::rollout::RolloutMember;
use arbutus_policy::serving::rollout::RolloutOrder;
use arbutus_policy::serving::rollout::RolloutPhase;
use arbutus_policy::serving::rollout::RolloutState;
use arbutus_policy::serving::rollout::StoredStatus;
use arbutus_policy::serving::rollout::VersionSide;
use arbutus_policy::serving::rollout::canary_targets;
use arbutus_policy::serving::target_directory::TargetDirectory;
use arbutus_policy::serving::target_selection::TargetOutcome;

/// Largest value below 1 that selects the old version whenever a share of it remains.
const LAST_RANDOM: f64 = 1.0 - f64::EPSILON;

/// The version that a target's entry names, or `None` if it names none.
type Version = Option<String>;

/// The roll-outs at this instance.
#[derive(Debug, Default)]
pub struct Rollouts {
    services: BTreeMap<String, ServiceRollout>,
    /// Number of deciders that this instance has started.
    decider_count: u64,
    /// Requests in progress by service and version of the target.
    in_flight: BTreeMap<(String, Version), u64>,
    first_seen: FirstSeen,
}

/// The roll-out of one service.
#[derive(Debug)]
struct ServiceRollout {
    /// Name of the object in the store.
    object_name: String,
    member: RolloutMember,
    order: RolloutOrder,
    /// The version from before the order; `None` if none was seen, so that every version but the
    /// ordered one counts as it.
    old_version: Option<Version>,
    /// Latest revision of the object.
    object_revision: u64,
    /// All revisions that the object has had with this order.
    revisions: BTreeSet<u64>,
    /// State of this order in the store; `None` if none was written.
    stored_state: Option<RolloutState>,
    begun_at: Millis,
    /// Time between the order and `begun_at`, as far as it is known.
    age_at_begin_ms: Millis,
    decider: Option<RolloutDecider>,
    /// The reply of the local decider to reports.
    directive: Option<Directive>,
    /// Name of the instance that gets the reports.
    decider_name: Option<String>,
    /// Identifies `decider`, so that the end of a store call of an earlier one is ignored.
    decider_id: u64,
    /// Phase that was logged last.
    logged_phase: Option<RolloutPhase>,
}

impl ServiceRollout {
    fn side_of(&self, entry: &TargetEntry) -> Option<VersionSide> {
        self.side_of_version(&entry.version)
    }

    fn side_of_version(&self, version: &Version) -> Option<VersionSide> {
        if version.as_ref() == Some(&self.order.version) {
            return Some(VersionSide::New);
        }
        let is_old = self
            .old_version
            .as_ref()
            .is_none_or(|old_version| old_version == version);
        is_old.then_some(VersionSide::Old)
    }

    fn order_age_ms(&self, now: Millis) -> Millis {
        self.age_at_begin_ms + (now - self.begun_at)
    }

    fn is_decided(&self) -> bool {
        self.stored_state
            .is_some_and(|state| state != RolloutState::InProgress)
    }

    fn has_usable(&self, directory: &TargetDirectory, side: VersionSide) -> bool {
        directory
            .usable(&self.order.service)
            .any(|known| self.side_of(&known.entry) == Some(side))
    }

    /// Returns whether a request of a route may go to a version now.
    fn allows(
        &self,
        now: Millis,
        directory: &TargetDirectory,
        route: &str,
        side: VersionSide,
    ) -> bool {
        let is_chosen = [0.0, LAST_RANDOM]
            .into_iter()
            .any(|random| self.member.choose_side(now, route, random) == side);
        is_chosen || (self.member.allows(now, side) && !self.has_usable(directory, opposite(side)))
    }

    fn status(&self) -> StoredStatus {
        StoredStatus {
            object_revision: self.object_revision,
            state: self.stored_state,
        }
    }

    /// Applies a directive to the member, and what it tells of the age of the order.
    fn apply_directive(&mut self, now: Millis, directive: Directive) {
        let age_ms = directive.order_age_ms;
        if self.member.apply(now, directive) {
            let known_ms = self.order_age_ms(now);
            self.age_at_begin_ms = self.age_at_begin_ms + (age_ms - known_ms);
        }
    }
}

const fn opposite(side: VersionSide) -> VersionSide {
    match side {
        VersionSide::Old => VersionSide::New,
        VersionSide::New => VersionSide::Old,
    }
}

/// Returns the version that most targets of a service have apart from the ordered one.
fn most_common_version(
    directory: &TargetDirectory,
    service: &str,
    ordered: &str,
) -> Option<Version> {
    let mut counts: BTreeMap<&Version, usize> = BTreeMap::new();
    let others = directory.iter().filter(|known| {
        known.entry.service == service && known.entry.version.as_deref() != Some(ordered)
    });
    for known in others {
        *counts.entry(&known.entry.version).or_default() += 1;
    }
    let most_common = counts.into_iter().max_by_key(|&(_, count)| count);
    most_common.map(|(version, _)| version.clone())
}

/// Applies all orders of the store. An order that cannot be decoded changes nothing for its service.
pub fn apply_objects(shared: &Shared, objects: &BTreeMap<String, StoredObject>) {
    let mut present = BTreeSet::new();
    for object in objects.values() {
        present.insert(object.name.as_str());
        match rollout::decode_rollout(object) {
            Ok(entry) => apply_entry(shared, &object.name, &entry),
            Err(error) => {
                warn!(name = object.name.as_str(), error:%; "cannot decode a roll-out; keeping the known one");
            }
        }
    }
    let mut rollouts = shared.rollouts.borrow_mut();
    rollouts.services.retain(|service, rollout| {
        let is_present = present.contains(rollout.object_name.as_str());
        if !is_present {
            info!(
                service = service.as_str(), version = rollout.order.version.as_str();
                "roll-out withdrawn"
            );
        }
        is_present
    });
    drop(rollouts);
    shared.mark_rollouts_known();
    shared.notify_target_changes();
}

/// Applies an object that was read from the store.
fn apply_entry(shared: &Shared, object_name: &str, entry: &RolloutEntry) {
    let now = shared.now();
    let state = entry
        .status
        .as_ref()
        .filter(|status| status.version == entry.version)
        .map(|status| status.state);
    let mut rollouts = shared.rollouts.borrow_mut();
    let Rollouts {
        services,
        in_flight,
        ..
    } = &mut *rollouts;
    let known = services.get_mut(&entry.service);
    if known
        .as_ref()
        .is_some_and(|known| entry.revision < known.object_revision)
    {
        return;
    }
    let is_same_order = known.as_ref().is_some_and(|known| {
        known.order.version == entry.version
            && known.order.duration_ms == entry.duration_ms
            // The order was written again after its end.
            && !(known.is_decided() && state.is_none())
    });
    let rollout = match known {
        Some(known) if is_same_order => known,
        _ => {
            let rollout = begin_order(shared, object_name, entry, in_flight);
            services.remove(&entry.service);
            services.entry(entry.service.clone()).or_insert(rollout)
        }
    };
    rollout.object_revision = entry.revision;
    rollout.revisions.insert(entry.revision);
    if let Some(state) = state
        && rollout.stored_state != Some(state)
    {
        info!(
            service = entry.service.as_str(), version = entry.version.as_str(), state:%,
            revision = entry.revision, order_age_ms = rollout.order_age_ms(now).0;
            "state of a roll-out in the store changed"
        );
        shared
            .metrics
            .count_rollout_step(&entry.service, state.into());
        rollout.stored_state = Some(state);
        rollout.member.record_state(rollout.order.revision, state);
    }
    let status = rollout.status();
    if let Some(decider) = &mut rollout.decider {
        decider.record_status(now, status);
    }
}

fn begin_order(
    shared: &Shared,
    object_name: &str,
    entry: &RolloutEntry,
    in_flight: &BTreeMap<(String, Version), u64>,
) -> ServiceRollout {
    let now = shared.now();
    let directory = shared.directory.borrow();
    let completed_before = entry
        .status
        .as_ref()
        .filter(|status| status.version != entry.version && status.state == RolloutState::Completed)
        .map(|status| Some(status.version.clone()));
    let old_version = completed_before
        .or_else(|| most_common_version(&directory, &entry.service, &entry.version));
    let order = RolloutOrder {
        service: entry.service.clone(),
        version: entry.version.clone(),
        duration_ms: entry.duration_ms,
        revision: entry.revision,
    };
    info!(
        service = entry.service.as_str(), version = entry.version.as_str(),
        old_version:? = old_version, duration_ms = entry.duration_ms.0, revision = entry.revision;
        "roll-out ordered"
    );
    let mut rollout = ServiceRollout {
        object_name: object_name.to_owned(),
        member: RolloutMember::new(&shared.settings.name, shared.process_incarnation),
        order,
        old_version,
        object_revision: entry.revision,
        revisions: BTreeSet::from([entry.revision]),
        stored_state: None,
        begun_at: now,
        age_at_begin_ms: Millis::ZERO,
        decider: None,
        directive: None,
        decider_name: None,
        decider_id: 0,
        logged_phase: None,
    };
    let old_in_flight = in_flight
        .iter()
        .filter(|((service, version), _)| {
            *service == entry.service && rollout.side_of_version(version) == Some(VersionSide::Old)
        })
        .map(|(_, count)| count)
        .sum();
    rollout.member.begin(now, &rollout.order, old_in_flight);
    rollout
}

/// Records the versions of all services, also of those that have no requests at this instance.
fn record_versions(shared: &Shared) {
    let now = shared.now();
    let directory = shared.directory.borrow();
    let services: BTreeSet<&str> = directory
        .iter()
        .map(|known| known.entry.service.as_str())
        .collect();
    let mut rollouts = shared.rollouts.borrow_mut();
    for service in services {
        rollouts.first_seen.update(now, &directory, service);
    }
}

/// Removes the candidates to which a request may not be sent because of a roll-out of their service.
/// A request keeps its choice of a version while it waits; each retry chooses again.
pub fn retain_allowed(
    context: &RequestContext,
    attempts: usize,
    directory: &TargetDirectory,
    candidates: &mut Vec<&TargetEntry>,
) {
    let shared = &context.shared;
    if shared.settings.rollout_limits.is_none() {
        return;
    }
    let mut rollouts = shared.rollouts.borrow_mut();
    let Rollouts {
        services,
        first_seen,
        ..
    } = &mut *rollouts;
    let rollout = services.get(&context.service);
    first_seen.update(shared.now(), directory, &context.service);
    candidates.retain(|entry| {
        rollout.is_some_and(|rollout| rollout.side_of(entry).is_some())
            || !first_seen.is_held(shared.now(), entry)
    });
    let Some(rollout) = rollout else {
        return;
    };
    let (now, route) = (shared.now(), context.route.name.as_str());
    let key = format!("{}/{attempts}", context.client.id);
    // The upper 53 bits are exact as a floating-point number.
    let random = (rendezvous::stable_hash(key.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
    let mut side = rollout.member.choose_side(now, route, random);
    if !rollout.has_usable(directory, side) && rollout.member.allows(now, opposite(side)) {
        side = opposite(side);
    }
    let is_canary = side == VersionSide::New && rollout.member.phase(now) == RolloutPhase::Canary;
    let selected = select_side(rollout, now, directory, candidates, side);
    // Before the shift, a request does not wait for a target of the new version.
    let selected = if is_canary && selected.is_empty() {
        select_side(rollout, now, directory, candidates, VersionSide::Old)
    } else {
        selected
    };
    *candidates = selected;
}

fn select_side<'a>(
    rollout: &ServiceRollout,
    now: Millis,
    directory: &TargetDirectory,
    candidates: &[&'a TargetEntry],
    side: VersionSide,
) -> Vec<&'a TargetEntry> {
    let is_new = side == VersionSide::New;
    let usable = directory
        .usable(&rollout.order.service)
        .filter(|known| rollout.side_of(&known.entry) == Some(VersionSide::New))
        .map(|known| known.entry.id.as_str());
    let count = rollout.member.canary_targets(now).filter(|_| is_new);
    // All instances know the version, but not all know the same revision of the order.
    let key = rendezvous::stable_hash(rollout.order.version.as_bytes());
    let canaries = count.map(|count| canary_targets(&rollout.order.service, key, usable, count));
    let selected = candidates.iter().filter(|entry| {
        let entry_side = rollout.side_of(entry);
        match &canaries {
            // Targets of a third version would take requests from the share.
            Some(canaries) => canaries.contains(&entry.id.as_str()),
            None => entry_side.is_none_or(|entry_side| entry_side == side),
        }
    });
    selected.copied().collect()
}

/// Returns whether roll-outs allow that a request is sent to a target now.
#[must_use]
pub fn may_send(context: &RequestContext, entry: &TargetEntry) -> bool {
    let directory = context.shared.directory.borrow();
    may_send_with(context, &directory, entry)
}

/// As [`may_send`], for callers that have borrowed the directory.
#[must_use]
pub fn may_send_with(
    context: &RequestContext,
    directory: &TargetDirectory,
    entry: &TargetEntry,
) -> bool {
    let rollouts = context.shared.rollouts.borrow();
    let Some(rollout) = rollouts.services.get(&entry.service) else {
        return true;
    };
    rollout.side_of(entry).is_none_or(|side| {
        rollout.allows(context.shared.now(), directory, &context.route.name, side)
    })
}

/// Returns whether roll-outs allow that pieces of a stage are sent to a target.
///
/// The owner of a queue does not choose a version for each piece. A version that is ordered gets no
/// pieces until it is completed, so it is not completed for lack of evidence.
#[must_use]
pub fn allows_pieces(shared: &Shared, entry: &TargetEntry) -> bool {
    let rollouts = shared.rollouts.borrow();
    let Some(rollout) = rollouts.services.get(&entry.service) else {
        return true;
    };
    let allowed = match rollout.stored_state {
        Some(RolloutState::Completed) => VersionSide::New,
        Some(RolloutState::InProgress | RolloutState::RolledBack) | None => VersionSide::Old,
    };
    rollout.side_of(entry).is_none_or(|side| side == allowed)
}

/// A request in progress at a target, for the evidence of a roll-out.
#[derive(Debug)]
pub struct RequestEvidence {
    route: String,
    sent_at: Millis,
}

/// Records that a request is sent. Returns what [`record_end`] needs; `None` if the settings have no
/// limits for roll-outs.
pub fn record_send(shared: &Shared, route: &str, entry: &TargetEntry) -> Option<RequestEvidence> {
    shared.settings.rollout_limits.as_ref()?;
    let now = shared.now();
    let mut rollouts = shared.rollouts.borrow_mut();
    let key = (entry.service.clone(), entry.version.clone());
    *rollouts.in_flight.entry(key).or_default() += 1;
    if let Some(rollout) = rollouts.services.get_mut(&entry.service)
        && let Some(side) = rollout.side_of(entry)
    {
        rollout.member.record_send(now, side);
        if !rollout.is_decided() {
            shared
                .metrics
                .count_rollout_send(&entry.service, side.into());
        }
    }
    Some(RequestEvidence {
        route: route.to_owned(),
        sent_at: now,
    })
}

/// Records the end of a request that was sent to a target.
pub fn record_end(
    shared: &Shared,
    entry: &TargetEntry,
    evidence: &RequestEvidence,
    outcome: TargetOutcome,
) {
    let now = shared.now();
    let mut rollouts = shared.rollouts.borrow_mut();
    let key = (entry.service.clone(), entry.version.clone());
    if let Some(count) = rollouts.in_flight.get_mut(&key) {
        *count = count.saturating_sub(1);
        if *count == 0 {
            rollouts.in_flight.remove(&key);
        }
    }
    let Some(rollout) = rollouts.services.get_mut(&entry.service) else {
        return;
    };
    let Some(side) = rollout.side_of(entry) else {
        return;
    };
    let outcome = match outcome {
        TargetOutcome::Responded => ResponseOutcome::Success,
        TargetOutcome::Failed | TargetOutcome::Broken => ResponseOutcome::Failure,
        TargetOutcome::Full | TargetOutcome::Abandoned => ResponseOutcome::Ignored,
    };
    let duration_ms = now - evidence.sent_at;
    let route = &evidence.route;
    rollout
        .member
        .record_end(now, route, side, &entry.id, outcome, duration_ms);
}

/// Merges the report of another instance; returns the directive to reply with, if this instance is
/// the decider and knows the order.
pub fn merge_report(shared: &Shared, mut report: EvidenceReport) -> Option<Directive> {
    let now = shared.now();
    let mut rollouts = shared.rollouts.borrow_mut();
    let rollout = rollouts.services.get_mut(&report.service)?;
    if !rollout.revisions.contains(&report.revision) {
        return None;
    }
    report.revision = rollout.order.revision;
    rollout.decider.as_mut()?.merge(now, &report);
    outgoing_directive(rollout)
}

fn outgoing_directive(rollout: &ServiceRollout) -> Option<Directive> {
    rollout.directive.clone().map(|directive| Directive {
        revision: rollout.object_revision,
        ..directive
    })
}

/// Applies a directive of the decider.
pub fn apply_directive(shared: &Shared, mut directive: Directive) {
    let now = shared.now();
    let mut rollouts = shared.rollouts.borrow_mut();
    let Some(rollout) = rollouts.services.get_mut(&directive.service) else {
        return;
    };
    if !rollout.revisions.contains(&directive.revision) {
        return;
    }
    directive.revision = rollout.order.revision;
    rollout.apply_directive(now, directive);
}

/// Returns whether a peer is a decider, which replies to each report.
#[must_use]
pub fn is_decider(shared: &Shared, peer: &str) -> bool {
    let rollouts = shared.rollouts.borrow();
    rollouts
        .services
        .values()
        .any(|rollout| rollout.decider_name.as_deref() == Some(peer))
}

/// Returns whether a peer knows roll-outs.
#[must_use]
pub fn is_understood_by(shared: &Shared, peer: &str) -> bool {
    let entry = shared.peer(peer);
    entry.is_some_and(|entry| entry.peer_protocol >= ROLLOUTS_PROTOCOL)
}

/// Returns whether this instance needs the orders of roll-outs, but could not get them from a peer
/// that it follows.
#[must_use]
pub fn lacks_orders(shared: &Shared, peer: &str) -> bool {
    let is_local = peer == shared.settings.name;
    shared.settings.rollout_limits.is_some() && !is_local && !is_understood_by(shared, peer)
}
