//! The guarantees that a soak test checks, from what clients and targets observed.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::simulated_platform::client::ClientResponse;
use crate::simulated_platform::example;
use crate::soak::clients::Observation;
use crate::soak::clients::RequestKind;
use arbutus_platform::names;

/// Longest time for a response: the clients' deadline of 4 s plus 1 s for a busy machine.
const RESPONSE_TIME_LIMIT: Duration = Duration::from_secs(5);
/// Longest time until an instance has applied the configuration after a fault: it detects a lost
/// store connection within 1 s and applies a new configuration within 2 s.
const RECOVERY_TIME_LIMIT: Duration = Duration::from_secs(3);

/// A fault that affects one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum InstanceFault {
    /// Its process is paused or not running.
    Process,
    /// The instance cannot reach the store.
    Store,
}

/// A period in which a fault affected an instance.
#[derive(Clone, Copy, Debug)]
pub struct FaultPeriod {
    /// Index of the instance.
    pub instance: usize,
    /// Fault of the instance.
    pub fault: InstanceFault,
    /// Start of the fault.
    pub from: Instant,
    /// End of the fault; the same time as `from` while the fault is active.
    pub to: Instant,
}

/// What a soak test observed.
#[derive(Debug, Default)]
pub struct SoakRecord {
    /// Requests of all clients.
    pub observations: Vec<Observation>,
    /// Number of executions at targets by request identifier.
    pub executions: BTreeMap<String, usize>,
    /// Periods in which a fault affected an instance.
    pub fault_periods: Vec<FaultPeriod>,
}

impl SoakRecord {
    /// Describes each violated guarantee, with the request.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for observation in &self.observations {
            if let Some(reason) = self.violation(observation) {
                violations.push(format!(
                    "{reason}: {} {} at instance {}: {:?}",
                    observation.kind, observation.id, observation.instance, observation.response
                ));
            }
        }
        let sent_requests: BTreeMap<&str, &Observation> = self
            .observations
            .iter()
            .map(|each| (each.id.as_str(), each))
            .collect();
        for id in self.executions.keys() {
            if !sent_requests.contains_key(id.as_str()) {
                violations.push(format!("a target executed {id}, which no client sent"));
            }
        }
        violations
    }

    /// Returns the first guarantee that a request violates.
    fn violation(&self, observation: &Observation) -> Option<&'static str> {
        let executions = self
            .executions
            .get(&observation.id)
            .copied()
            .unwrap_or_default();
        if observation.kind == RequestKind::Unsafe && executions > 1 {
            return Some("a non-idempotent request was executed more than once");
        }
        let was_down = self.was_affected(observation, InstanceFault::Process, Duration::ZERO);
        if !was_down && observation.ended_at - observation.sent_at > RESPONSE_TIME_LIMIT {
            return Some("a request got no response in time");
        }
        let Some(response) = &observation.response else {
            return (!was_down).then_some("an instance accepted no connection");
        };
        // The status is 0 if the connection ended without a response.
        match response.status {
            200 => Self::success_violation(observation, response),
            0 if observation.kind.is_stream() || was_down => None,
            0 => Some("a request got no response"),
            429 | 503 if observation.kind == RequestKind::Unsafe && executions > 0 => {
                Some("an executed request was refused as not executed")
            }
            404 if matches!(observation.kind, RequestKind::NewRoute(_)) => {
                let may_be_outdated =
                    self.was_affected(observation, InstanceFault::Store, RECOVERY_TIME_LIMIT)
                        || self.was_affected(
                            observation,
                            InstanceFault::Process,
                            RECOVERY_TIME_LIMIT,
                        );
                (!may_be_outdated).then_some("a configuration was not applied in time")
            }
            401 | 403 | 404 => Some("a valid request was rejected"),
            _ => None,
        }
    }

    /// Returns the first guarantee that a response with the status 200 violates.
    fn success_violation(
        observation: &Observation,
        response: &ClientResponse,
    ) -> Option<&'static str> {
        let expected_body = example::complete_stream_body();
        let is_expected = if observation.kind.is_stream() {
            response.body == expected_body
        } else {
            response.body.starts_with("answer of d")
        };
        if response.is_complete && !is_expected {
            return Some("a complete response has an unexpected body");
        }
        if observation.kind.is_stream() && !expected_body.starts_with(&response.body) {
            return Some("a stream has missing, repeated or unexpected events");
        }
        let stamp = response.headers.get(names::STAMP.as_str());
        if !stamp.is_some_and(|stamp| stamp.starts_with("stamp-")) {
            return Some("a successful response has no target stamp");
        }
        let echoed_id = response.headers.get(names::REQUEST_ID.as_str());
        (echoed_id != Some(&observation.id))
            .then_some("a response has the identifier of another request")
    }

    /// Returns whether a fault affected the instance during the request, or ended at most
    /// `recovery_time` before it.
    fn was_affected(
        &self,
        observation: &Observation,
        fault: InstanceFault,
        recovery_time: Duration,
    ) -> bool {
        self.fault_periods.iter().any(|period| {
            period.instance == observation.instance
                && period.fault == fault
                && period.from <= observation.ended_at
                && period.to + recovery_time >= observation.sent_at
        })
    }
}
