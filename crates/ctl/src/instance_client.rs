//! The client of the operator interface of instances.

use std::net::SocketAddr;

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use crate::command_error::CommandError;
use arbutus_coord::Millis;
use arbutus_wire::admin::Problem;
use arbutus_wire::admin::Status;

const CONNECT_TIMEOUT_MS: Millis = Millis(1_000);
const CALL_TIMEOUT_MS: Millis = Millis(5_000);
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

// The doc comment of each variant is its error text. After `Unavailable`, the next instance is
// tried; `Rejected` ends the attempts.
/// Why a call to an instance failed.
#[derive(Debug, Display)]
enum CallError {
    /// {0}
    Unavailable(String),
    /// {0}
    Rejected(String),
}

/// A client of the instances that the operator specified.
#[derive(Debug)]
pub(crate) struct InstanceClient {
    agent: Agent,
    addresses: Vec<SocketAddr>,
}

impl InstanceClient {
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT_MS.to_duration()))
            .timeout_global(Some(CALL_TIMEOUT_MS.to_duration()))
            .build()
            .new_agent();
        Self { agent, addresses }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Sends a GET request to each instance in turn until one responds.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.call_until_response(|address| {
            decode_response(self.agent.get(url(address, path)).call())
        })
    }

    /// Sends a POST request to each instance in turn until one responds. The request has to be
    /// idempotent, because an instance may execute it although its response is lost.
    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CommandError> {
        self.call_until_response(|address| {
            decode_response(self.agent.post(url(address, path)).send_json(body))
        })
    }

    /// Returns the status of every instance that responds.
    pub(crate) fn collect_statuses(&self) -> Vec<Status> {
        let path = "/admin/status";
        self.addresses
            .iter()
            .filter_map(|&address| decode_response(self.agent.get(url(address, path)).call()).ok())
            .collect()
    }

    /// Calls each instance in turn until one responds or rejects the request.
    fn call_until_response<T>(
        &self,
        call: impl Fn(SocketAddr) -> Result<T, CallError>,
    ) -> Result<T, CommandError> {
        let mut failures = Vec::new();
        for &address in &self.addresses {
            match call(address) {
                Ok(response) => return Ok(response),
                Err(CallError::Rejected(reason)) => {
                    return Err(CommandError::failed(format!("{address} refused: {reason}")));
                }
                Err(CallError::Unavailable(reason)) => {
                    failures.push(format!("{address}: {reason}"));
                }
            }
        }
        let failures = failures.join("\n  ");
        Err(CommandError::failed(format!(
            "no instance answered:\n  {failures}"
        )))
    }
}

pub(crate) fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

fn decode_response<T: DeserializeOwned>(
    response: Result<Response<Body>, ureq::Error>,
) -> Result<T, CallError> {
    let mut response = response.map_err(|error| CallError::Unavailable(error.to_string()))?;
    let status = response.status().as_u16();
    if !response.status().is_success() {
        let text = response.body_mut().read_to_string().unwrap_or_default();
        let reason = describe_problem(status, &text);
        // Every instance rejects an invalid request, so no other instance is tried. Status 429 and
        // server errors concern only this instance.
        return Err(match status {
            400..=428 | 430..=499 => CallError::Rejected(reason),
            _ => CallError::Unavailable(reason),
        });
    }
    response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_json()
        .map_err(|error| CallError::Unavailable(format!("cannot decode the response: {error}")))
}

/// Returns the title and detail of a problem response, followed by its status.
pub(crate) fn describe_problem(status: u16, body: &str) -> String {
    let problem: Problem = serde_json::from_str(body).unwrap_or_default();
    let parts = [problem.title, problem.detail];
    let parts: Vec<String> = parts.into_iter().filter(|part| !part.is_empty()).collect();
    if parts.is_empty() {
        return format!("status {status}");
    }
    format!("{} (status {status})", parts.join(": "))
}
