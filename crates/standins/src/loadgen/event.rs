//! Events at set times of a run: faults, drains and returns.

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

/// An action at a time of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedEvent {
    /// The time, in seconds after the start of the run.
    pub at_s: f64,
    /// What is done.
    #[serde(with = "serde_norway::with::singleton_map")]
    pub action: Action,
}

/// What an event does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// A failure domain is drained through an instance.
    Drain(String),
    /// A failure domain returns to service.
    Undrain(String),
    /// A body is posted to a URL.
    Post(Fault),
    /// A fault of one target.
    Target(Fault),
    /// A fault of all targets of a service.
    Service(Fault),
    /// A fault of all targets of a failure domain.
    Domain(Fault),
    /// A fault of the platform; the name is not used.
    Platform(Fault),
    /// An instance of a started deployment is killed.
    Kill(String),
    /// An instance of a started deployment is asked to shut down.
    Terminate(String),
    /// An instance of a started deployment stops running until it is resumed.
    Pause(String),
    /// A paused instance runs on.
    Resume(String),
    /// An instance of a started deployment is started again.
    Restart(String),
}

/// A body for the faults of what has a name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The name, or the URL.
    #[serde(default)]
    pub name: String,
    /// The body.
    pub body: Value,
}

/// Why an event could not be parsed or done.
#[derive(Debug, displaydoc::Display)]
pub enum EventError {
    /// event {0:?} is not TIME:ACTION:NAME or TIME:KIND:NAME=JSON
    Syntax(String),
    /// no target matches {0}
    NoTarget(String),
    /// the deployment has no platform address
    NoPlatform,
    /// the deployment was not started for this run
    NotStarted,
    /// there is no instance {0}
    NoInstance(String),
    /// {0}
    Call(String),
}

impl Error for EventError {}

impl FromStr for TimedEvent {
    type Err = EventError;

    fn from_str(text: &str) -> Result<Self, EventError> {
        parse(text).ok_or_else(|| EventError::Syntax(text.to_owned()))
    }
}

fn parse(text: &str) -> Option<TimedEvent> {
    let (at_s, rest) = text.split_once(':')?;
    let (kind, subject) = rest.split_once(':')?;
    let fault = || {
        let (name, body) = subject.split_once("={")?;
        Some(Fault {
            name: name.to_owned(),
            body: serde_json::from_str(&format!("{{{body}")).ok()?,
        })
    };
    let action = match kind {
        "drain" => Action::Drain(subject.to_owned()),
        "undrain" => Action::Undrain(subject.to_owned()),
        "kill" => Action::Kill(subject.to_owned()),
        "terminate" => Action::Terminate(subject.to_owned()),
        "pause" => Action::Pause(subject.to_owned()),
        "resume" => Action::Resume(subject.to_owned()),
        "restart" => Action::Restart(subject.to_owned()),
        "post" => Action::Post(fault()?),
        "target" => Action::Target(fault()?),
        "service" => Action::Service(fault()?),
        "domain" => Action::Domain(fault()?),
        "platform" => Action::Platform(fault()?),
        _ => return None,
    };
    Some(TimedEvent {
        at_s: at_s.parse().ok()?,
        action,
    })
}

impl Action {
    /// Returns a short description for reports.
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

    /// Does the action in one deployment.
    ///
    /// # Errors
    ///
    /// Returns an error when nothing could be changed.
    pub fn run(&self, deployment: &Deployment) -> Result<(), EventError> {
        let platform = deployment.platform;
        match self {
            Self::Drain(domain) => drain(&deployment.instances, domain, true),
            Self::Undrain(domain) => drain(&deployment.instances, domain, false),
            Self::Kill(name) => on_instance(deployment, name, |fleet, index| {
                fleet.instances[index].process.kill()
            }),
            Self::Terminate(name) => on_instance(deployment, name, |fleet, index| {
                fleet.instances[index].process.terminate()
            }),
            Self::Pause(name) => on_instance(deployment, name, |fleet, index| {
                fleet.instances[index].process.pause()
            }),
            Self::Resume(name) => on_instance(deployment, name, |fleet, index| {
                fleet.instances[index].process.resume()
            }),
            Self::Restart(name) => on_instance(deployment, name, Fleet::restart_instance),
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

/// Does something to one instance of a started deployment.
fn on_instance(
    deployment: &Deployment,
    name: &str,
    change: impl FnOnce(&mut Fleet, usize) -> io::Result<()>,
) -> Result<(), EventError> {
    let mut fleet = deployment.fleet().ok_or(EventError::NotStarted)?;
    let index = fleet
        .instances
        .iter()
        .position(|instance| instance.settings.name == name)
        .ok_or_else(|| EventError::NoInstance(name.to_owned()))?;
    change(&mut fleet, index).map_err(|error| EventError::Call(error.to_string()))
}

fn post(address: SocketAddr, path: &str, body: &Value) -> Result<(), EventError> {
    let answer = Client::new().post(address, path, body);
    answer
        .map(drop)
        .map_err(|error| EventError::Call(error.to_string()))
}

fn post_url(url: &str, body: &Value) -> Result<(), EventError> {
    let rest = url.strip_prefix("http://").unwrap_or(url);
    let (address, path) = rest.split_once('/').unwrap_or((rest, "faults"));
    let address = address
        .parse()
        .map_err(|error| EventError::Call(format!("{url}: {error}")))?;
    post(address, &format!("/{path}"), body)
}

/// Sends the drain to one instance after the other until one accepts it.
fn drain(instances: &[SocketAddr], domain: &str, drained: bool) -> Result<(), EventError> {
    let body = json!({ "kind": "failure_domain", "name": domain, "drained": drained });
    let mut failure = EventError::Call("there is no instance".to_owned());
    for &instance in instances {
        match post(instance, "/admin/drain", &body) {
            Ok(()) => return Ok(()),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

fn post_faults(
    platform: Option<SocketAddr>,
    fault: &Fault,
    selects: impl Fn(&ListEntry) -> bool,
) -> Result<(), EventError> {
    let platform = platform.ok_or(EventError::NoPlatform)?;
    let targets = targets(platform)?;
    let selected: Vec<&ListEntry> = targets.iter().filter(|entry| selects(entry)).collect();
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

/// Reads the targets from the platform's list.
///
/// # Errors
///
/// Returns an error when the list cannot be read.
pub fn targets(platform: SocketAddr) -> Result<Vec<ListEntry>, EventError> {
    let list = Client::new()
        .get(platform, "/v1/instances")
        .map_err(|error| EventError::Call(error.to_string()))?;
    let list: InstanceList =
        serde_json::from_value(list).map_err(|error| EventError::Call(error.to_string()))?;
    let mut entries = list.entries;
    entries.retain(|entry| entry.kind == EntryKind::Target);
    Ok(entries)
}
