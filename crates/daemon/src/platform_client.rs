//! The client of the platform's object API.
//!
//! If the response to a write is lost, the write may have taken effect. [`WriteError::Unknown`]
//! reports this, and the caller reads the object again to find out.

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

/// Header with the failure domain of the calling instance.
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
    /// the platform responded with status {0}
    Status(u16),
}

/// Why a write failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum WriteError {
    /// the object does not have the expected version
    Conflict,
    /// the write did not take effect: {0}
    NotWritten(String),
    /// the write may have taken effect: {0}
    Unknown(String),
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

impl WriteCondition {
    /// Returns the condition that an object has not changed since it was read; `None` means that it
    /// did not exist.
    #[must_use]
    pub fn unchanged_since(object: Option<&Object>) -> Self {
        object.map_or(Self::Absent, |object| Self::Version(object.version))
    }
}

/// The client of the platform's object API.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    agent: Agent,
    base_url: String,
    failure_domain: String,
    call_timeout_ms: Millis,
    call_counter: Counter,
}

impl PlatformClient {
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
            base_url: format!("http://{address}"),
            failure_domain: failure_domain.to_owned(),
            call_timeout_ms: CALL_TIMEOUT_MS,
            call_counter: Counter::default(),
        }
    }

    /// Sets the metric that counts the reads and writes.
    #[must_use]
    pub fn with_call_counter(mut self, call_counter: Counter) -> Self {
        self.call_counter = call_counter;
        self
    }

    /// Replaces the time limit for reads and writes.
    #[must_use]
    pub fn with_call_timeout(mut self, timeout_ms: Millis) -> Self {
        self.call_timeout_ms = timeout_ms;
        self
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or responds with an error status.
    pub fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        let url = format!("{}/v1/objects/{key}", self.base_url);
        self.read(&url, self.call_timeout_ms, STATUS_NOT_FOUND)
    }

    /// Reads all objects whose key starts with a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or responds with an error status.
    pub fn list(&self, prefix: &str) -> Result<ObjectList, ReadError> {
        let url = format!("{}/v1/objects?prefix={prefix}", self.base_url);
        Ok(self
            .read(&url, CALL_TIMEOUT_MS, STATUS_NOT_FOUND)?
            .unwrap_or_default())
    }

    /// Waits until an object whose key starts with a prefix has a version above `after`, and
    /// returns the changed objects. The list is empty if none has changed within the timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or responds with an error status.
    pub fn watch(
        &self,
        prefix: &str,
        after: u64,
        timeout_ms: Millis,
    ) -> Result<ObjectList, ReadError> {
        let url = format!(
            "{}/v1/watch?prefix={prefix}&after={after}&timeout_ms={}",
            self.base_url, timeout_ms.0
        );
        let changed = self.read(&url, timeout_ms + self.call_timeout_ms, STATUS_NOT_MODIFIED)?;
        Ok(changed.unwrap_or_default())
    }

    /// Reads the instance list, or returns `None` if it has not changed since revision `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or responds with an error status.
    pub fn instance_list(&self, after: u64) -> Result<Option<InstanceList>, ReadError> {
        let url = format!("{}/v1/instances?after={after}", self.base_url);
        self.read(&url, self.call_timeout_ms, STATUS_NOT_MODIFIED)
    }

    /// Writes an object under a condition, and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the write may have taken effect.
    pub fn put(
        &self,
        key: &str,
        condition: WriteCondition,
        value: &Value,
    ) -> Result<u64, WriteError> {
        self.call_counter.inc();
        let url = format!("{}/v1/objects/{key}", self.base_url);
        let request = self
            .agent
            .put(url)
            .header(FAILURE_DOMAIN_HEADER, &self.failure_domain)
            .config()
            .timeout_global(Some(self.call_timeout_ms.to_duration()))
            .build();
        let request = match condition {
            WriteCondition::Absent => request.header("If-None-Match", "*"),
            WriteCondition::Version(version) => request.header("If-Match", version.to_string()),
        };
        let mut response = request
            .send_json(value)
            .map_err(|error| classify_write_error(&error))?;
        check_write_status(response.status().as_u16())?;
        response
            .body_mut()
            .read_json::<WriteResponse>()
            .map(|written| written.version)
            .map_err(|error| WriteError::Unknown(error.to_string()))
    }

    /// Deletes an object regardless of its version.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the deletion may have taken effect.
    pub fn delete(&self, key: &str) -> Result<(), WriteError> {
        let response = self
            .agent
            .delete(format!("{}/v1/objects/{key}", self.base_url))
            .header(FAILURE_DOMAIN_HEADER, &self.failure_domain)
            .config()
            .timeout_global(Some(self.call_timeout_ms.to_duration()))
            .build()
            .call()
            .map_err(|error| classify_write_error(&error))?;
        check_write_status(response.status().as_u16())
    }

    fn read<T: serde::de::DeserializeOwned>(
        &self,
        url: &str,
        timeout_ms: Millis,
        absent_status: u16,
    ) -> Result<Option<T>, ReadError> {
        self.call_counter.inc();
        let mut response: Response<ureq::Body> = self
            .agent
            .get(url)
            .header(FAILURE_DOMAIN_HEADER, &self.failure_domain)
            .config()
            .timeout_global(Some(timeout_ms.to_duration()))
            .build()
            .call()
            .map_err(|error| ReadError::Unavailable(error.to_string()))?;
        let status = response.status().as_u16();
        if status == absent_status {
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
}

const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Classifies a transport error by whether it proves that a write did not take effect.
fn classify_write_error(error: &Error) -> WriteError {
    let text = error.to_string();
    match error {
        Error::ConnectionFailed | Error::HostNotFound | Error::Timeout(Timeout::Connect) => {
            WriteError::NotWritten(text)
        }
        _ => WriteError::Unknown(text),
    }
}

fn check_write_status(status: u16) -> Result<(), WriteError> {
    match status {
        200..=299 => Ok(()),
        STATUS_PRECONDITION_FAILED => Err(WriteError::Conflict),
        // The platform refuses these requests before it executes them: malformed, too large or over
        // the rate limit.
        400..=499 => Err(WriteError::NotWritten(format!("status {status}"))),
        _ => Err(WriteError::Unknown(format!("status {status}"))),
    }
}
