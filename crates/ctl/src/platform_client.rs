//! The client of the platform's object API.
//!
//! A write whose response is lost may have taken effect. It fails with
//! [`WriteError::OutcomeUnknown`], and the caller has to read the object back.

use std::net::SocketAddr;

use displaydoc::Display;
use ureq::Agent;
use ureq::Error;
use ureq::Timeout;

use crate::command_error::CommandError;
use arbutus_config::CommittedConfig;
use arbutus_config::committed::CONFIG_KEY;
use arbutus_coord::Millis;
use arbutus_wire::platform::Object;

const CONNECT_TIMEOUT_MS: Millis = Millis(1_000);
const CALL_TIMEOUT_MS: Millis = Millis(3_000);
/// A committed configuration has at most 1 MB. The JSON around it and escaped characters add to
/// that.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_PRECONDITION_FAILED: u16 = 412;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;

/// Why a read failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// no valid response from the platform: {0}
    Unavailable(String),
    /// the platform responded with status {0}
    Status(u16),
}

/// Why a write failed or its outcome is unknown.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum WriteError {
    /// the object does not have the expected version
    Conflict,
    /// the platform limited the rate of writes
    RateLimited,
    /// the platform cannot be reached: {0}
    NotSent(String),
    /// the platform rejected the write with status {0}
    Rejected(u16),
    /// the write may have taken effect: {0}
    OutcomeUnknown(String),
}

/// The committed configuration and the version of its platform object.
#[derive(Clone, Debug)]
pub(crate) struct CurrentConfig {
    /// The record of the configuration.
    pub(crate) config: CommittedConfig,
    /// The version of the platform object, which changes with every write.
    pub(crate) version: u64,
}

/// The client of the platform's object API.
#[derive(Debug)]
pub(crate) struct PlatformClient {
    agent: Agent,
    objects_url: String,
}

impl PlatformClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT_MS.to_duration()))
            .timeout_global(Some(CALL_TIMEOUT_MS.to_duration()))
            // Each call opens a new connection. If a write used an idle connection that the
            // platform has closed in the meantime, its outcome would be unknown.
            .max_idle_connections(0)
            .build()
            .new_agent();
        Self {
            agent,
            objects_url: format!("http://{address}/v1/objects"),
        }
    }

    /// Reads an object; `None` if it does not exist.
    pub(crate) fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        let response = self.agent.get(format!("{}/{key}", self.objects_url)).call();
        let mut response = response.map_err(|error| ReadError::Unavailable(error.to_string()))?;
        let status = response.status().as_u16();
        if status == STATUS_NOT_FOUND {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(ReadError::Status(status));
        }
        response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_json()
            .map(Some)
            .map_err(|error| ReadError::Unavailable(error.to_string()))
    }

    /// Reads the committed configuration; `None` if none has been committed yet.
    pub(crate) fn current_config(&self) -> Result<Option<CurrentConfig>, CommandError> {
        let object = self.get(CONFIG_KEY).map_err(|error| {
            CommandError::failed(format!("cannot read the committed configuration: {error}"))
        })?;
        let Some(object) = object else {
            return Ok(None);
        };
        Ok(Some(CurrentConfig {
            config: CommittedConfig::from_value(&object.value)?,
            version: object.version,
        }))
    }

    /// Writes an object on condition that it has the given version, or that it does not exist if
    /// the version is `None`.
    pub(crate) fn put(
        &self,
        key: &str,
        version: Option<u64>,
        record: &CommittedConfig,
    ) -> Result<(), WriteError> {
        let request = self.agent.put(format!("{}/{key}", self.objects_url));
        let request = match version {
            None => request.header("If-None-Match", "*"),
            Some(version) => request.header("If-Match", version.to_string()),
        };
        let request = request.header("Content-Type", "application/json");
        let response = request
            .send(record.to_json())
            .map_err(|error| classify_write_error(&error))?;
        match response.status().as_u16() {
            200..=299 => Ok(()),
            STATUS_PRECONDITION_FAILED => Err(WriteError::Conflict),
            STATUS_TOO_MANY_REQUESTS => Err(WriteError::RateLimited),
            status @ 400..=499 => Err(WriteError::Rejected(status)),
            status => Err(WriteError::OutcomeUnknown(format!("status {status}"))),
        }
    }
}

/// Classifies a transport error of a write by whether it proves that nothing was sent.
fn classify_write_error(error: &Error) -> WriteError {
    let text = error.to_string();
    match error {
        Error::ConnectionFailed | Error::HostNotFound | Error::Timeout(Timeout::Connect) => {
            WriteError::NotSent(text)
        }
        Error::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused => {
            WriteError::NotSent(text)
        }
        _ => WriteError::OutcomeUnknown(text),
    }
}
