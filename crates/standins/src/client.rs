//! An HTTP client for administrative requests to stand-ins and instances: faults, statistics and
//! registration.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use ureq::Agent;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request has no successful response.
#[derive(Debug, displaydoc::Display)]
pub enum ClientError {
    /// cannot get a response: {0}
    Transport(Box<ureq::Error>),
    /// the response has status {0}: {1}
    Status(u16, Value),
}

impl Error for ClientError {}

impl From<ureq::Error> for ClientError {
    fn from(error: ureq::Error) -> Self {
        Self::Transport(Box::new(error))
    }
}

/// An HTTP client that opens a connection for each request.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
}

impl Client {
    /// Creates a client with a timeout of 5 seconds.
    #[must_use]
    pub fn new() -> Self {
        Self::with_timeout(REQUEST_TIMEOUT)
    }

    /// Creates a client whose requests fail after `timeout`.
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

    /// Sends `GET` and returns the body of a successful response.
    ///
    /// A body that is not JSON is returned as a string.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response or its status is not 2xx.
    pub fn get(&self, address: SocketAddr, path: &str) -> Result<Value, ClientError> {
        let url = format!("http://{address}{path}");
        let request = self.agent.get(url).header("Connection", "close");
        successful_body(request.call()?)
    }

    /// Sends `POST` with a JSON body and returns the response body like [`Client::get`].
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response or its status is not 2xx.
    pub fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Value, ClientError> {
        let url = format!("http://{address}{path}");
        let request = self.agent.post(url).header("Connection", "close");
        successful_body(request.send_json(body)?)
    }

    /// Sends `PUT` with headers and a JSON body and returns the response body like [`Client::get`].
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response or its status is not 2xx.
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
        successful_body(request.send_json(body)?)
    }

    /// Returns the status of the response to a `GET`, or `None` if there is no response.
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

fn successful_body(mut response: ureq::http::Response<ureq::Body>) -> Result<Value, ClientError> {
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string()?;
    let value = serde_json::from_str(&body).unwrap_or(Value::String(body));
    if (200..300).contains(&status) {
        Ok(value)
    } else {
        Err(ClientError::Status(status, value))
    }
}
