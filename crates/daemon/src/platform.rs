//! The client of the platform's object API.
//!
//! A write whose answer was lost has an unknown effect; [`WriteError::Unknown`] says so, and the
//! caller settles it by reading the object back.

use std::net::SocketAddr;

use displaydoc::Display;
use prometheus_client::metrics::counter::Counter;
use serde_json::Value;
use ureq::Agent;
use ureq::Error;
use ureq::Timeout;
use ureq::http::Response;

use arbutus_coord::Millis;
use arbutus_wire::platform::InstanceList;
use arbutus_wire::platform::Object;
use arbutus_wire::platform::ObjectList;
use arbutus_wire::platform::WriteResponse;

/// The header by which the platform tells where a call comes from.
const FAILURE_DOMAIN_HEADER: &str = "Failure-Domain";
const CONNECT_TIMEOUT_MS: Millis = Millis(500);
const CALL_TIMEOUT_MS: Millis = Millis(1_500);
const STATUS_NOT_MODIFIED: u16 = 304;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_PRECONDITION_FAILED: u16 = 412;

/// Why a read failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ReadError {
    /// the platform cannot be reached: {0}
    Unavailable(String),
    /// the platform answered with status {0}
    Status(u16),
}

/// Why a write failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum WriteError {
    /// the object has another version
    Conflict,
    /// the write did not take effect: {0}
    NotWritten(String),
    /// the write may have taken effect: {0}
    Unknown(String),
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

impl Condition {
    /// Returns the condition that an object is as it was read.
    #[must_use]
    pub fn unchanged(object: Option<&Object>) -> Self {
        object.map_or(Self::Absent, |object| Self::Version(object.version))
    }
}

/// The client of the platform's object API.
#[derive(Clone, Debug)]
pub struct Platform {
    agent: Agent,
    base: String,
    failure_domain: String,
    call_timeout_ms: Millis,
    calls: Counter,
}

impl Platform {
    /// Creates a client for the platform at an address.
    #[must_use]
    pub fn new(address: SocketAddr, failure_domain: &str) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT_MS.to_duration()))
            .build()
            .new_agent();
        Self {
            agent,
            base: format!("http://{address}"),
            failure_domain: failure_domain.to_owned(),
            call_timeout_ms: CALL_TIMEOUT_MS,
            calls: Counter::default(),
        }
    }

    /// Counts the calls in a metric.
    #[must_use]
    pub fn with_counter(mut self, calls: Counter) -> Self {
        self.calls = calls;
        self
    }

    /// Replaces the time limit of reads and writes.
    #[must_use]
    pub fn with_call_timeout(mut self, timeout_ms: Millis) -> Self {
        self.call_timeout_ms = timeout_ms;
        self
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns why the platform gave no answer.
    pub fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        let url = format!("{}/v1/objects/{key}", self.base);
        self.read(&url, self.call_timeout_ms, STATUS_NOT_FOUND)
    }

    /// Reads all objects whose key starts with a prefix.
    ///
    /// # Errors
    ///
    /// Returns why the platform gave no answer.
    pub fn list(&self, prefix: &str) -> Result<ObjectList, ReadError> {
        let url = format!("{}/v1/objects?prefix={prefix}", self.base);
        Ok(self
            .read(&url, CALL_TIMEOUT_MS, STATUS_NOT_FOUND)?
            .unwrap_or_default())
    }

    /// Waits for a change of an object whose key starts with a prefix.
    ///
    /// # Errors
    ///
    /// Returns why the platform gave no answer.
    pub fn watch(
        &self,
        prefix: &str,
        after: u64,
        timeout_ms: Millis,
    ) -> Result<ObjectList, ReadError> {
        let url = format!(
            "{}/v1/watch?prefix={prefix}&after={after}&timeout_ms={}",
            self.base, timeout_ms.0
        );
        let changed = self.read(&url, timeout_ms + self.call_timeout_ms, STATUS_NOT_MODIFIED)?;
        Ok(changed.unwrap_or_default())
    }

    /// Reads the instance list, or nothing when it has not changed since a revision.
    ///
    /// # Errors
    ///
    /// Returns why the platform gave no answer.
    pub fn instances(&self, after: u64) -> Result<Option<InstanceList>, ReadError> {
        let url = format!("{}/v1/instances?after={after}", self.base);
        self.read(&url, self.call_timeout_ms, STATUS_NOT_MODIFIED)
    }

    /// Writes an object under a condition, and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns whether the write took no effect or may have taken effect.
    pub fn put(&self, key: &str, condition: Condition, value: &Value) -> Result<u64, WriteError> {
        self.calls.inc();
        let url = format!("{}/v1/objects/{key}", self.base);
        let request = self
            .agent
            .put(url)
            .header(FAILURE_DOMAIN_HEADER, &self.failure_domain)
            .config()
            .timeout_global(Some(self.call_timeout_ms.to_duration()))
            .build();
        let request = match condition {
            Condition::Absent => request.header("If-None-Match", "*"),
            Condition::Version(version) => request.header("If-Match", version.to_string()),
        };
        let mut answer = request
            .send_json(value)
            .map_err(|error| write_error(&error))?;
        written_status(answer.status().as_u16())?;
        answer
            .body_mut()
            .read_json::<WriteResponse>()
            .map(|written| written.version)
            .map_err(|error| WriteError::Unknown(error.to_string()))
    }

    /// Deletes an object, whatever its version.
    ///
    /// # Errors
    ///
    /// Returns whether the deletion took no effect or may have taken effect.
    pub fn delete(&self, key: &str) -> Result<(), WriteError> {
        let answer = self
            .agent
            .delete(format!("{}/v1/objects/{key}", self.base))
            .header(FAILURE_DOMAIN_HEADER, &self.failure_domain)
            .config()
            .timeout_global(Some(self.call_timeout_ms.to_duration()))
            .build()
            .call()
            .map_err(|error| write_error(&error))?;
        written_status(answer.status().as_u16())
    }

    fn read<T: serde::de::DeserializeOwned>(
        &self,
        url: &str,
        timeout_ms: Millis,
        absent_status: u16,
    ) -> Result<Option<T>, ReadError> {
        self.calls.inc();
        let mut answer: Response<ureq::Body> = self
            .agent
            .get(url)
            .header(FAILURE_DOMAIN_HEADER, &self.failure_domain)
            .config()
            .timeout_global(Some(timeout_ms.to_duration()))
            .build()
            .call()
            .map_err(|error| ReadError::Unavailable(error.to_string()))?;
        let status = answer.status().as_u16();
        if status == absent_status {
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
}

const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Tells whether a transport error proves that the write did not take effect.
fn write_error(error: &Error) -> WriteError {
    let text = error.to_string();
    match error {
        Error::ConnectionFailed | Error::HostNotFound | Error::Timeout(Timeout::Connect) => {
            WriteError::NotWritten(text)
        }
        _ => WriteError::Unknown(text),
    }
}

fn written_status(status: u16) -> Result<(), WriteError> {
    match status {
        200..=299 => Ok(()),
        STATUS_PRECONDITION_FAILED => Err(WriteError::Conflict),
        // Refused before execution: malformed, too large or over the rate limit.
        400..=499 => Err(WriteError::NotWritten(format!("status {status}"))),
        _ => Err(WriteError::Unknown(format!("status {status}"))),
    }
}
