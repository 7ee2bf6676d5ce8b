//! The task that reports to the deciders, runs the local ones, and writes the states of orders.

use std::collections::BTreeSet;
use std::rc::Rc;

use http::Method;
use http::StatusCode;
use log::info;
use log::warn;
use tokio::task::spawn_local;

use crate::net::sleep;
use crate::peer::PeerConnections;
use crate::peer_messages::PeerCommand;
use crate::peer_messages::ROLLOUTS_PROTOCOL;
use crate::rollouts;
use crate::rollouts::Rollouts;
use crate::rollouts::ServiceRollout;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::store::SHORT_CALL_TIMEOUT_MS;
use crate::store::StoreClient;
use crate::store::StoreError;
use arbutus_coord::Millis;
use arbutus_platform::rollout;
use arbutus_platform::rollout::RolloutEntry;
use arbutus_platform::rollout::RolloutStatus;
use arbutus_platform::store::ObjectKind;
use arbutus_platform::store::object_path;
use arbutus_policy::serving::rollout::DeciderOutput;
use arbutus_policy::serving::rollout::REPORT_INTERVAL_MS;
use arbutus_policy::serving::rollout::RolloutDecider;
use arbutus_policy::serving::rollout::RolloutLimits;
use arbutus_policy::serving::rollout::RolloutState;
use arbutus_policy::serving::rollout::StoredStatus;
use arbutus_policy::serving::rollout::UsableTargets;
use arbutus_policy::serving::rollout::VersionSide;
use arbutus_policy::serving::rollout::WriteOutcome;

/// Interval of the steps of a decider.
const STEP_INTERVAL_MS: Millis = Millis(50);
/// Number of steps between two reports.
const STEPS_PER_REPORT: u64 = REPORT_INTERVAL_MS.0 / STEP_INTERVAL_MS.0;

/// What a store call of a decider is for.
#[derive(Clone, Copy, Debug)]
enum StoreTask {
    Read,
    Write {
        state: RolloutState,
        object_revision: u64,
    },
}

/// Runs the roll-outs at this instance.
///
/// # Errors
///
/// Never returns; supervised tasks must have a `Result` as their return type.
pub async fn run(
    shared: Rc<Shared>,
    stage_client: Rc<StageClient>,
    connections: Rc<PeerConnections>,
) -> Result<(), String> {
    let Some(limits) = shared.settings.rollout_limits else {
        return std::future::pending().await;
    };
    let client = Rc::new(StoreClient::new(Rc::clone(&shared)));
    let mut target_changes = shared.subscribe_target_changes();
    target_changes.mark_changed();
    let mut step: u64 = 0;
    loop {
        sleep(STEP_INTERVAL_MS).await;
        step += 1;
        if target_changes.has_changed().unwrap_or(false) {
            target_changes.mark_unchanged();
            rollouts::record_versions(&shared);
        }
        for service in undecided_services(&shared) {
            let decider = stage_client.rollout_decider(&service);
            select_decider(&shared, &service, &decider, &limits);
            run_decider(&shared, &client, &service);
            if step.is_multiple_of(STEPS_PER_REPORT) {
                send_report(&shared, &connections, &service, &decider);
            }
            log_phase(&shared, &service);
        }
    }
}

fn undecided_services(shared: &Shared) -> Vec<String> {
    let mut rollouts = shared.rollouts.borrow_mut();
    for rollout in rollouts.services.values_mut() {
        if rollout.is_decided() {
            rollout.decider = None;
            rollout.directive = None;
            rollout.decider_name = None;
        }
    }
    let undecided = rollouts
        .services
        .iter()
        .filter(|(_, rollout)| !rollout.is_decided());
    undecided.map(|(service, _)| service.clone()).collect()
}

/// Begins to report to a decider, and starts or ends the one at this instance.
fn select_decider(shared: &Shared, service: &str, name: &str, limits: &RolloutLimits) {
    let now = shared.now();
    let mut rollouts = shared.rollouts.borrow_mut();
    let Rollouts {
        services,
        decider_count,
        ..
    } = &mut *rollouts;
    let Some(rollout) = services.get_mut(service) else {
        return;
    };
    if rollout.decider_name.as_deref() != Some(name) {
        info!(
            service, version = rollout.order.version.as_str(), decider = name,
            previous:? = rollout.decider_name;
            "decider of a roll-out changed"
        );
        rollout.decider_name = Some(name.to_owned());
        rollout.member.mark_unreported();
    }
    let is_local = name == shared.settings.name;
    if !is_local {
        rollout.decider = None;
        rollout.directive = None;
    } else if rollout.decider.is_none() {
        *decider_count += 1;
        rollout.decider_id = *decider_count;
        // Sequence numbers start again with each decider.
        let unique_name = format!("{name}/{}/{decider_count}", shared.process_incarnation);
        rollout.decider = Some(RolloutDecider::new(
            now,
            &unique_name,
            rollout.order.clone(),
            *limits,
            rollout.order_age_ms(now),
        ));
    }
}

/// Runs a step of the local decider, if there is one.
fn run_decider(shared: &Rc<Shared>, client: &Rc<StoreClient>, service: &str) {
    let now = shared.now();
    let mut instances: BTreeSet<String> =
        shared.peers().into_iter().map(|peer| peer.name).collect();
    instances.insert(shared.settings.name.clone());
    let mut rollouts = shared.rollouts.borrow_mut();
    let Some(rollout) = rollouts.services.get_mut(service) else {
        return;
    };
    let targets = usable_targets(shared, rollout);
    let Some(decider) = &mut rollout.decider else {
        return;
    };
    decider.set_instances(now, instances);
    decider.set_targets(now, targets);
    for output in decider.step(now) {
        let store_task = match output {
            DeciderOutput::Directive(directive) => {
                rollout.directive = Some(directive);
                continue;
            }
            DeciderOutput::WriteState {
                state,
                object_revision,
            } => {
                info!(
                    service, version = rollout.order.version.as_str(), state:%,
                    object_revision, reason = decider.reason();
                    "writing the state of a roll-out"
                );
                StoreTask::Write {
                    state,
                    object_revision,
                }
            }
            DeciderOutput::ReadStatus => StoreTask::Read,
        };
        let call = StoreCall {
            shared: Rc::clone(shared),
            client: Rc::clone(client),
            service: service.to_owned(),
            object_name: rollout.object_name.clone(),
            version: rollout.order.version.clone(),
            decider_id: rollout.decider_id,
        };
        spawn_local(call.run(store_task));
    }
}

fn usable_targets(shared: &Shared, rollout: &ServiceRollout) -> UsableTargets {
    let service = &rollout.order.service;
    let cold_duration_ms = shared
        .service(service)
        .map_or(Millis::ZERO, |spec| spec.cold_duration_ms);
    let now = shared.now();
    let directory = shared.directory.borrow();
    let mut targets = UsableTargets::default();
    for known in directory.usable(service) {
        match rollout.side_of(&known.entry) {
            Some(VersionSide::Old) => targets.old += 1,
            Some(VersionSide::New) if !directory.is_cold(now, known, cold_duration_ms) => {
                targets.new += 1;
            }
            Some(VersionSide::New) | None => {}
        }
    }
    targets
}

fn send_report(
    shared: &Rc<Shared>,
    connections: &Rc<PeerConnections>,
    service: &str,
    decider: &str,
) {
    let now = shared.now();
    let mut rollouts = shared.rollouts.borrow_mut();
    let Some(rollout) = rollouts.services.get_mut(service) else {
        return;
    };
    let Some(mut report) = rollout.member.report(now) else {
        return;
    };
    report.order_age_ms = report.order_age_ms.max(rollout.order_age_ms(now));
    if let Some(local) = &mut rollout.decider {
        local.merge(now, &report);
        if let Some(directive) = rollout.directive.clone() {
            rollout.apply_directive(now, directive);
        }
        return;
    }
    report.revision = rollout.object_revision;
    drop(rollouts);
    if let Some(peer) = shared.peer(decider) {
        let command = PeerCommand::RolloutEvidence(report);
        connections.send_if_understood(&peer, ROLLOUTS_PROTOCOL, command);
    }
}

/// Logs and counts a change of the phase that this instance follows.
fn log_phase(shared: &Shared, service: &str) {
    let now = shared.now();
    let mut rollouts = shared.rollouts.borrow_mut();
    let Some(rollout) = rollouts.services.get_mut(service) else {
        return;
    };
    let phase = rollout.member.phase(now);
    if rollout.logged_phase.replace(phase) == Some(phase) {
        return;
    }
    let reason = rollout.decider.as_ref().map(RolloutDecider::reason);
    info!(
        service, version = rollout.order.version.as_str(), phase:%,
        decider:? = rollout.decider_name, order_age_ms = rollout.order_age_ms(now).0,
        reason = reason.unwrap_or_default();
        "phase of a roll-out changed"
    );
    shared.metrics.count_rollout_step(service, phase.into());
}

/// A call to the store for a decider.
struct StoreCall {
    shared: Rc<Shared>,
    client: Rc<StoreClient>,
    service: String,
    object_name: String,
    version: String,
    decider_id: u64,
}

impl StoreCall {
    async fn run(self, task: StoreTask) {
        match task {
            StoreTask::Read => {
                let read = self.read().await;
                self.finish(|decider, status, now| {
                    if read.is_some() {
                        decider.record_status(now, status);
                    } else {
                        decider.record_read_failure(now);
                    }
                });
            }
            StoreTask::Write {
                state,
                object_revision,
            } => {
                let outcome = self.write(state, object_revision).await;
                info!(
                    service = self.service.as_str(), version = self.version.as_str(), state:%,
                    outcome:?;
                    "write of the state of a roll-out ended"
                );
                self.finish(|decider, _status, now| decider.record_write(now, outcome));
            }
        }
    }

    /// Reads the object and applies it.
    async fn read(&self) -> Option<RolloutEntry> {
        let path = object_path(ObjectKind::Rollouts, &self.object_name);
        let result = self.call(Method::GET, &path, None).await;
        let decoded =
            result.and_then(|body| rollout::decode_read(&body).map_err(StoreError::Malformed));
        match decoded {
            Ok(entry) if entry.service == self.service => {
                rollouts::apply_entry(&self.shared, &self.object_name, &entry);
                Some(entry)
            }
            Ok(_) => None,
            Err(error) => {
                warn!(service = self.service.as_str(), error:%; "cannot read the state of a roll-out");
                None
            }
        }
    }

    /// Writes a state if the object has a revision, and reads the object back for its new revision.
    async fn write(&self, state: RolloutState, object_revision: u64) -> WriteOutcome {
        let status = RolloutStatus {
            state,
            version: self.version.clone(),
        };
        let body = match rollout::encode_status_write(object_revision, &status) {
            Ok(body) => body,
            Err(error) => {
                warn!(service = self.service.as_str(), error:%; "cannot encode the state of a roll-out");
                return WriteOutcome::Conflict;
            }
        };
        let path = rollout::status_path(&self.object_name);
        match self.call(Method::PUT, &path, Some(body)).await {
            Ok(_) => {}
            Err(StoreError::Status(status)) if is_rejected(status) => {
                return WriteOutcome::Conflict;
            }
            Err(error) => {
                warn!(service = self.service.as_str(), error:%; "the state of a roll-out may not have been written");
                return WriteOutcome::Unknown;
            }
        }
        let entry = self.read().await;
        let written = entry.filter(|entry| entry.status.as_ref() == Some(&status));
        written.map_or(WriteOutcome::Unknown, |entry| WriteOutcome::Written {
            object_revision: entry.revision,
        })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<bytes::Bytes, StoreError> {
        let kind = ObjectKind::Rollouts;
        self.client
            .call(kind, method, path, body, SHORT_CALL_TIMEOUT_MS)
            .await
    }

    /// Tells the decider of the end of the call, with the latest known status.
    fn finish(&self, record: impl FnOnce(&mut RolloutDecider, StoredStatus, Millis)) {
        let now = self.shared.now();
        let mut rollouts = self.shared.rollouts.borrow_mut();
        let Some(rollout) = rollouts.services.get_mut(&self.service) else {
            return;
        };
        let status = rollout.status();
        if let Some(decider) = &mut rollout.decider
            && rollout.decider_id == self.decider_id
        {
            record(decider, status, now);
        }
    }
}

/// Returns whether a status means that the store has not written the state.
fn is_rejected(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND
    )
}
