//! The guarantees that a soak test checks, from what clients and targets observed.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use strum::IntoEnumIterator;

use crate::simulated_platform::client::ClientResponse;
use crate::simulated_platform::example;
use crate::simulated_platform::instance::SHUTDOWN_GRACE_MS;
use crate::soak::clients::Observation;
use crate::soak::clients::RequestKind;
use arbutus_platform::names;

/// Longest time for a response: the clients' deadline of 4 s plus 1 s for a busy machine.
const RESPONSE_TIME_LIMIT: Duration = Duration::from_secs(5);
/// Longest time until an instance has applied the configuration after a fault: it detects a lost
/// store connection within 1 s and applies a new configuration within 2 s.
const RECOVERY_TIME_LIMIT: Duration = Duration::from_secs(3);
/// Time after SIGTERM for which an instance has to accept connections and read their requests, so
/// that a load balancer can move its clients to other instances.
const SHUTDOWN_SERVING_TIME: Duration = Duration::from_secs(3);
/// Time before the end of the grace period from which an instance breaks off streams.
const STREAM_CUT_MARGIN: Duration = Duration::from_millis(500);
/// Timeout of the routes of the example configuration.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time by which the end of a connection can precede the observed end of its process.
const EXIT_OBSERVATION_DELAY: Duration = Duration::from_millis(20);

/// A fault that affects one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum InstanceFault {
    /// Its process is paused or killed.
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

/// A graceful shutdown of an instance and its restart.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Index of the instance.
    pub instance: usize,
    /// Time of SIGTERM.
    pub terminated_at: Instant,
    /// When the process had exited, and whether with status 0; `None` until then.
    pub exit: Option<(Instant, bool)>,
    /// When the restarted instance was ready; `None` until then.
    pub ready_at: Option<Instant>,
}

impl Shutdown {
    /// Returns the end of the grace period.
    #[must_use]
    pub fn grace_end(&self) -> Instant {
        self.terminated_at + SHUTDOWN_GRACE_MS.to_duration()
    }

    /// Describes an exit that failed or did not take place within the grace period.
    fn violation(&self) -> Option<String> {
        let (exited_at, is_success) = self.exit?;
        (!is_success || exited_at >= self.grace_end()).then(|| {
            format!(
                "a terminated instance did not exit in order: instance {}, after {:?}, success: \
                 {is_success}",
                self.instance,
                exited_at - self.terminated_at
            )
        })
    }

    /// Returns whether the instance may close or refuse the connection of a request that it has not
    /// read: new connections only after [`SHUTDOWN_SERVING_TIME`], kept ones at any time.
    fn allows_unread(&self, observation: &Observation) -> bool {
        let serving_time = if observation.is_connection_reused {
            Duration::ZERO
        } else {
            SHUTDOWN_SERVING_TIME
        };
        self.terminated_at + serving_time <= observation.ended_at
            && self.ready_at.is_none_or(|at| at >= observation.sent_at)
    }

    /// Returns whether the exit cut a request off before the instance may break off streams. A
    /// stream that reached the timeout of its route ended by that, and an exit often follows.
    fn has_cut_early(&self, observation: &Observation) -> bool {
        let took = observation.ended_at - observation.sent_at;
        if observation.kind.is_stream() && took >= ROUTE_TIMEOUT {
            return false;
        }
        self.exit.is_some_and(|(exited_at, _)| {
            exited_at + STREAM_CUT_MARGIN < self.grace_end()
                && observation.sent_at < exited_at
                && observation.ended_at + EXIT_OBSERVATION_DELAY >= exited_at
        })
    }

    /// Returns whether the restarted instance may not have had time to apply the configuration.
    fn may_be_outdated(&self, observation: &Observation) -> bool {
        self.exit.is_some_and(|(at, _)| at <= observation.ended_at)
            && self
                .ready_at
                .is_none_or(|at| at + RECOVERY_TIME_LIMIT >= observation.sent_at)
    }
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
    /// Graceful shutdowns, in which no request that was read may be lost.
    pub shutdowns: Vec<Shutdown>,
}

impl SoakRecord {
    /// Describes each violated guarantee, with the request.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut violations: Vec<String> = self
            .shutdowns
            .iter()
            .filter_map(Shutdown::violation)
            .collect();
        for observation in &self.observations {
            if let Some(reason) = self.violation(observation) {
                violations.push(format!(
                    "{reason}: {} {} at instance {}, {}: {:?}",
                    observation.kind,
                    observation.id,
                    observation.instance,
                    self.describe_end(observation),
                    observation.response
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

    /// Describes when a request ended and what became of it, for the search for a cause.
    fn describe_end(&self, observation: &Observation) -> String {
        let shutdown_times: Vec<String> = self
            .shutdowns_of(observation.instance)
            .filter(|shutdown| {
                shutdown.terminated_at <= observation.ended_at
                    && shutdown.ready_at.is_none_or(|at| at >= observation.sent_at)
            })
            .map(|shutdown| {
                let ended_after = observation.ended_at - shutdown.terminated_at;
                let exited_after = shutdown.exit.map(|(at, _)| at - shutdown.terminated_at);
                format!(", ended {ended_after:?} after SIGTERM, exit after {exited_after:?}")
            })
            .collect();
        format!(
            "executions {}, unread: {}, connection reused: {}, took {:?}{}",
            self.executions.get(&observation.id).unwrap_or(&0),
            observation.is_unread,
            observation.is_connection_reused,
            observation.ended_at - observation.sent_at,
            shutdown_times.concat()
        )
    }

    fn shutdowns_of(&self, instance: usize) -> impl Iterator<Item = &Shutdown> {
        self.shutdowns
            .iter()
            .filter(move |shutdown| shutdown.instance == instance)
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
        let is_unread_allowed = observation.is_unread
            && executions == 0
            && self
                .shutdowns_of(observation.instance)
                .any(|shutdown| shutdown.allows_unread(observation));
        let Some(response) = &observation.response else {
            return (!was_down && !is_unread_allowed)
                .then_some("an instance accepted no connection");
        };
        let is_cut_off = matches!(response.status, 0 | 200) && !response.is_complete;
        if is_cut_off
            && !was_down
            && !is_unread_allowed
            && self
                .shutdowns_of(observation.instance)
                .any(|shutdown| shutdown.has_cut_early(observation))
        {
            return Some("a terminated instance exited before it had responded");
        }
        // The status is 0 if the connection ended without a response.
        match response.status {
            200 if is_cut_off && !observation.kind.is_stream() && !was_down => {
                Some("a plain response is incomplete")
            }
            200 => Self::success_violation(observation, response),
            0 if observation.kind.is_stream() || was_down || is_unread_allowed => None,
            0 => Some("a request got no response"),
            429 | 503 if observation.kind == RequestKind::Unsafe && executions > 0 => {
                Some("an executed request was refused as not executed")
            }
            404 if matches!(observation.kind, RequestKind::NewRoute(_)) => {
                let mut faults = InstanceFault::iter();
                let may_be_outdated = faults
                    .any(|fault| self.was_affected(observation, fault, RECOVERY_TIME_LIMIT))
                    || self
                        .shutdowns_of(observation.instance)
                        .any(|shutdown| shutdown.may_be_outdated(observation));
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
