//! A small HTTP client for faults, statistics and registration.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use ureq::Agent;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call has no answer.
#[derive(Debug, displaydoc::Display)]
pub enum ClientError {
    /// the call failed: {0}
    Transport(Box<ureq::Error>),
    /// the call was answered with status {0}: {1}
    Status(u16, Value),
}

impl Error for ClientError {}

impl From<ureq::Error> for ClientError {
    fn from(error: ureq::Error) -> Self {
        Self::Transport(Box::new(error))
    }
}

/// A client of stand-ins and instances.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
}

impl Client {
    /// Creates a client without pooled connections.
    #[must_use]
    pub fn new() -> Self {
        Self::with_timeout(CALL_TIMEOUT)
    }

    /// Creates a client whose calls end after a time.
    #[must_use]
    pub fn with_timeout(timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_global(Some(timeout))
            .build();
        Self {
            agent: config.into(),
        }
    }

    /// Sends `GET` and returns the JSON of a successful answer.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer or its status is not a success.
    pub fn get(&self, address: SocketAddr, path: &str) -> Result<Value, ClientError> {
        let url = format!("http://{address}{path}");
        let request = self.agent.get(url).header("Connection", "close");
        answer(request.call()?)
    }

    /// Sends `POST` with JSON and returns the JSON of a successful answer.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer or its status is not a success.
    pub fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Value, ClientError> {
        let url = format!("http://{address}{path}");
        let request = self.agent.post(url).header("Connection", "close");
        answer(request.send_json(body)?)
    }

    /// Sends `PUT` with headers and JSON and returns the JSON of a successful answer.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer or its status is not a success.
    pub fn put(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &impl Serialize,
    ) -> Result<Value, ClientError> {
        let url = format!("http://{address}{path}");
        let mut request = self.agent.put(url).header("Connection", "close");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        answer(request.send_json(body)?)
    }

    /// Returns the status of a `GET`, or `None` when there is no answer.
    #[must_use]
    pub fn status(&self, address: SocketAddr, path: &str) -> Option<u16> {
        let url = format!("http://{address}{path}");
        let request = self.agent.get(url).header("Connection", "close");
        let response = request.call().ok()?;
        Some(response.status().as_u16())
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

fn answer(mut response: ureq::http::Response<ureq::Body>) -> Result<Value, ClientError> {
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string()?;
    let value = serde_json::from_str(&body).unwrap_or(Value::String(body));
    if (200..300).contains(&status) {
        Ok(value)
    } else {
        Err(ClientError::Status(status, value))
    }
}
