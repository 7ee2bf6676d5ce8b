//! Scheduled events of a run: faults, drains and process control.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::client::Client;
use crate::fleet::Fleet;
use crate::loadgen::deployment::Deployment;
use arbutus_wire::platform::EntryKind;
use arbutus_wire::platform::InstanceList;
use arbutus_wire::platform::ListEntry;

/// An action and the time of the run at which it is executed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedEvent {
    /// Time after the start of the run, in seconds.
    pub at_s: f64,
    /// Action to execute.
    #[serde(with = "serde_norway::with::singleton_map")]
    pub action: Action,
}

/// Action of an event.
///
/// A string is the name of the failure domain or instance. Actions on instances need a deployment
/// that was started for the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Drains a failure domain.
    Drain(String),
    /// Ends the drain of a failure domain.
    Undrain(String),
    /// Posts a body to a URL.
    Post(FaultRequest),
    /// Injects a fault into one target.
    Target(FaultRequest),
    /// Injects a fault into all targets of a service.
    Service(FaultRequest),
    /// Injects a fault into all targets of a failure domain.
    Domain(FaultRequest),
    /// Injects a fault into the platform; [`FaultRequest::name`] is ignored.
    Platform(FaultRequest),
    /// Kills an instance.
    Kill(String),
    /// Asks an instance to shut down.
    Terminate(String),
    /// Suspends the process of an instance.
    Pause(String),
    /// Resumes the process of a suspended instance.
    Resume(String),
    /// Starts an instance again after its process has ended.
    Restart(String),
}

/// A body that is posted to the fault endpoints of the selected processes, or to a URL.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// Name of the target, service or failure domain; the URL for [`Action::Post`].
    #[serde(default)]
    pub name: String,
    /// JSON body of the request.
    pub body: Value,
}

/// Why an event could not be parsed or executed.
#[derive(Debug, displaydoc::Display)]
pub enum EventError {
    /// event {0:?} has neither the form TIME:ACTION:NAME nor TIME:KIND:NAME=JSON
    Syntax(String),
    /// no target matches {0}
    NoTarget(String),
    /// no platform address was given for the deployment
    NoPlatform,
    /// cannot control instances of a deployment that the load generator did not start
    ExternalDeployment,
    /// the deployment has no instance {0}
    NoInstance(String),
    /// {0}
    Request(String),
}

impl Error for EventError {}

impl FromStr for TimedEvent {
    type Err = EventError;

    fn from_str(text: &str) -> Result<Self, EventError> {
        parse_event(text).ok_or_else(|| EventError::Syntax(text.to_owned()))
    }
}

fn parse_event(text: &str) -> Option<TimedEvent> {
    let (at_s, rest) = text.split_once(':')?;
    let (action_name, argument) = rest.split_once(':')?;
    let parse_fault = || {
        let (name, body) = argument.split_once("={")?;
        Some(FaultRequest {
            name: name.to_owned(),
            body: serde_json::from_str(&format!("{{{body}")).ok()?,
        })
    };
    let action = match action_name {
        "drain" => Action::Drain(argument.to_owned()),
        "undrain" => Action::Undrain(argument.to_owned()),
        "kill" => Action::Kill(argument.to_owned()),
        "terminate" => Action::Terminate(argument.to_owned()),
        "pause" => Action::Pause(argument.to_owned()),
        "resume" => Action::Resume(argument.to_owned()),
        "restart" => Action::Restart(argument.to_owned()),
        "post" => Action::Post(parse_fault()?),
        "target" => Action::Target(parse_fault()?),
        "service" => Action::Service(parse_fault()?),
        "domain" => Action::Domain(parse_fault()?),
        "platform" => Action::Platform(parse_fault()?),
        _ => return None,
    };
    Some(TimedEvent {
        at_s: at_s.parse().ok()?,
        action,
    })
}

impl Action {
    /// Returns the description that reports print.
    #[must_use]
    pub fn describe(&self) -> String {
        match self {
            Self::Drain(domain) => format!("drain {domain}"),
            Self::Undrain(domain) => format!("undrain {domain}"),
            Self::Post(fault) => format!("post {} {}", fault.name, fault.body),
            Self::Target(fault) => format!("target {} {}", fault.name, fault.body),
            Self::Service(fault) => format!("service {} {}", fault.name, fault.body),
            Self::Domain(fault) => format!("domain {} {}", fault.name, fault.body),
            Self::Platform(fault) => format!("platform {}", fault.body),
            Self::Kill(name) => format!("kill {name}"),
            Self::Terminate(name) => format!("terminate {name}"),
            Self::Pause(name) => format!("pause {name}"),
            Self::Resume(name) => format!("resume {name}"),
            Self::Restart(name) => format!("restart {name}"),
        }
    }

    /// Executes the action on one deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if the selected process does not exist, if the action needs a platform
    /// address or a deployment that was started for the run, or if a request or signal fails.
    pub fn execute(&self, deployment: &Deployment) -> Result<(), EventError> {
        let platform = deployment.platform;
        match self {
            Self::Drain(domain) => send_drain(&deployment.instances, domain, true),
            Self::Undrain(domain) => send_drain(&deployment.instances, domain, false),
            Self::Kill(name) => with_instance(deployment, name, |fleet, index| {
                fleet.instances[index].process.kill()
            }),
            Self::Terminate(name) => with_instance(deployment, name, |fleet, index| {
                fleet.instances[index].process.terminate()
            }),
            Self::Pause(name) => with_instance(deployment, name, |fleet, index| {
                fleet.instances[index].process.pause()
            }),
            Self::Resume(name) => with_instance(deployment, name, |fleet, index| {
                fleet.instances[index].process.resume()
            }),
            Self::Restart(name) => with_instance(deployment, name, Fleet::restart_instance),
            Self::Post(fault) => post_url(&fault.name, &fault.body),
            Self::Target(fault) => post_faults(platform, fault, |entry| entry.name == fault.name),
            Self::Service(fault) => {
                post_faults(platform, fault, |entry| entry.service == fault.name)
            }
            Self::Domain(fault) => {
                post_faults(platform, fault, |entry| entry.failure_domain == fault.name)
            }
            Self::Platform(fault) => {
                let platform = platform.ok_or(EventError::NoPlatform)?;
                post(platform, "/faults", &fault.body)
            }
        }
    }
}

/// Calls `operation` with the index of the instance that has the given name.
fn with_instance(
    deployment: &Deployment,
    name: &str,
    operation: impl FnOnce(&mut Fleet, usize) -> io::Result<()>,
) -> Result<(), EventError> {
    let mut fleet = deployment.fleet().ok_or(EventError::ExternalDeployment)?;
    let index = fleet
        .instances
        .iter()
        .position(|instance| instance.settings.name == name)
        .ok_or_else(|| EventError::NoInstance(name.to_owned()))?;
    operation(&mut fleet, index).map_err(|error| EventError::Request(error.to_string()))
}

fn post(address: SocketAddr, path: &str, body: &Value) -> Result<(), EventError> {
    let response = Client::new().post(address, path, body);
    response
        .map(drop)
        .map_err(|error| EventError::Request(error.to_string()))
}

/// Posts a body to a URL; to `/faults` if the URL has no path.
fn post_url(url: &str, body: &Value) -> Result<(), EventError> {
    let rest = url.strip_prefix("http://").unwrap_or(url);
    let (address, path) = rest.split_once('/').unwrap_or((rest, "faults"));
    let address = address
        .parse()
        .map_err(|error| EventError::Request(format!("{url}: {error}")))?;
    post(address, &format!("/{path}"), body)
}

/// Starts or ends the drain of a failure domain.
///
/// Tries one instance after the other until one accepts the request.
fn send_drain(instances: &[SocketAddr], domain: &str, drained: bool) -> Result<(), EventError> {
    let body = json!({ "kind": "failure_domain", "name": domain, "drained": drained });
    let mut last_error = EventError::Request("the deployment has no instances".to_owned());
    for &instance in instances {
        match post(instance, "/admin/drain", &body) {
            Ok(()) => return Ok(()),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

/// Posts a fault to the selected targets of the platform's list, except those with an invalid
/// address.
fn post_faults(
    platform: Option<SocketAddr>,
    fault: &FaultRequest,
    is_selected: impl Fn(&ListEntry) -> bool,
) -> Result<(), EventError> {
    let platform = platform.ok_or(EventError::NoPlatform)?;
    let targets = list_targets(platform)?;
    let selected: Vec<&ListEntry> = targets.iter().filter(|entry| is_selected(entry)).collect();
    if selected.is_empty() {
        return Err(EventError::NoTarget(fault.name.clone()));
    }
    for entry in selected {
        if let Ok(address) = entry.address.parse() {
            post(address, "/faults", &fault.body)?;
        }
    }
    Ok(())
}

/// Reads the targets from the list of processes that the platform provides.
///
/// # Errors
///
/// Returns an error if the list cannot be read.
pub fn list_targets(platform: SocketAddr) -> Result<Vec<ListEntry>, EventError> {
    let list = Client::new()
        .get(platform, "/v1/instances")
        .map_err(|error| EventError::Request(error.to_string()))?;
    let list: InstanceList =
        serde_json::from_value(list).map_err(|error| EventError::Request(error.to_string()))?;
    let mut entries = list.entries;
    entries.retain(|entry| entry.kind == EntryKind::Target);
    Ok(entries)
}
