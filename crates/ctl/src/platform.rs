//! The client of the platform's object API.
//!
//! A write whose answer is lost may have taken effect. [`WriteError::Unknown`] says so, and the
//! caller settles it by reading the object back.

use std::net::SocketAddr;

use displaydoc::Display;
use ureq::Agent;
use ureq::Error;
use ureq::Timeout;

use crate::failure::Failure;
use arbutus_config::CommittedConfig;
use arbutus_config::committed::CONFIG_KEY;
use arbutus_coord::Millis;
use arbutus_wire::platform::Object;

const CONNECT_TIMEOUT_MS: Millis = Millis(1_000);
const CALL_TIMEOUT_MS: Millis = Millis(3_000);
/// A committed configuration has at most 1 MB; the envelope and escapes need more.
const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 412;
const STATUS_LIMITED: u16 = 429;

/// Why a read failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// the platform cannot be reached: {0}
    Unavailable(String),
    /// the platform answered with status {0}
    Status(u16),
}

/// Why a write is not known to have taken effect.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum WriteError {
    /// the object has another version
    Conflict,
    /// the platform limits the rate of writes
    Limited,
    /// the platform cannot be reached: {0}
    NotSent(String),
    /// the platform refused the write with status {0}
    Refused(u16),
    /// the write may have taken effect: {0}
    Unknown(String),
}

/// The committed configuration with the version of its object.
#[derive(Clone, Debug)]
pub(crate) struct Current {
    /// The record.
    pub(crate) committed: CommittedConfig,
    /// The version of the object.
    pub(crate) version: u64,
}

/// The client of the platform's object API.
#[derive(Debug)]
pub(crate) struct Platform {
    agent: Agent,
    base: String,
}

impl Platform {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT_MS.to_duration()))
            .timeout_global(Some(CALL_TIMEOUT_MS.to_duration()))
            // A fresh connection for each call: one that the platform has closed in the
            // meantime would turn a write into one of unknown effect.
            .max_idle_connections(0)
            .build()
            .new_agent();
        Self {
            agent,
            base: format!("http://{address}/v1/objects"),
        }
    }

    /// Reads an object; `None` means that it does not exist.
    pub(crate) fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        let answer = self.agent.get(format!("{}/{key}", self.base)).call();
        let mut answer = answer.map_err(|error| ReadError::Unavailable(error.to_string()))?;
        let status = answer.status().as_u16();
        if status == STATUS_NOT_FOUND {
            return Ok(None);
        }
        if !answer.status().is_success() {
            return Err(ReadError::Status(status));
        }
        answer
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_json()
            .map(Some)
            .map_err(|error| ReadError::Unavailable(error.to_string()))
    }

    /// Reads the committed configuration; `None` means that there is none yet.
    pub(crate) fn current(&self) -> Result<Option<Current>, Failure> {
        let object = self.get(CONFIG_KEY).map_err(|error| {
            Failure::refused(format!("cannot read the committed configuration: {error}"))
        })?;
        let Some(object) = object else {
            return Ok(None);
        };
        Ok(Some(Current {
            committed: CommittedConfig::from_value(&object.value)?,
            version: object.version,
        }))
    }

    /// Writes an object when it has a version, or when it does not exist for `None`.
    pub(crate) fn put(
        &self,
        key: &str,
        version: Option<u64>,
        record: &CommittedConfig,
    ) -> Result<(), WriteError> {
        let request = self.agent.put(format!("{}/{key}", self.base));
        let request = match version {
            None => request.header("If-None-Match", "*"),
            Some(version) => request.header("If-Match", version.to_string()),
        };
        let request = request.header("Content-Type", "application/json");
        let answer = request
            .send(record.to_json())
            .map_err(|error| write_error(&error))?;
        match answer.status().as_u16() {
            200..=299 => Ok(()),
            STATUS_CONFLICT => Err(WriteError::Conflict),
            STATUS_LIMITED => Err(WriteError::Limited),
            status @ 400..=499 => Err(WriteError::Refused(status)),
            status => Err(WriteError::Unknown(format!("status {status}"))),
        }
    }
}

/// Tells whether a transport error proves that nothing was sent.
fn write_error(error: &Error) -> WriteError {
    let text = error.to_string();
    match error {
        Error::ConnectionFailed | Error::HostNotFound | Error::Timeout(Timeout::Connect) => {
            WriteError::NotSent(text)
        }
        Error::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused => {
            WriteError::NotSent(text)
        }
        _ => WriteError::Unknown(text),
    }
}
