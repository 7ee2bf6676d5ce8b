//! The client of the operator interface and of the callers' interface of instances.

use std::net::SocketAddr;

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use crate::failure::Failure;
use arbutus_coord::Millis;
use arbutus_wire::admin::Problem;
use arbutus_wire::admin::Status;

const CONNECT_TIMEOUT_MS: Millis = Millis(1_000);
const CALL_TIMEOUT_MS: Millis = Millis(5_000);
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Why an instance gave no useful answer.
#[derive(Debug, Display)]
enum CallError {
    /// {0}
    Unavailable(String),
    /// {0}
    Refused(String),
}

/// The instances that an operator named.
#[derive(Debug)]
pub(crate) struct Instances {
    agent: Agent,
    addresses: Vec<SocketAddr>,
}

impl Instances {
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

    /// Reads from the first instance that answers.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.first(|address| read(self.agent.get(url(address, path)).call()))
    }

    /// Posts to the first instance that answers. The order has to be safe to repeat, because an
    /// instance may carry it out without an answer.
    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        self.first(|address| read(self.agent.post(url(address, path)).send_json(body)))
    }

    /// Reads the status of every named instance that answers.
    pub(crate) fn all_statuses(&self) -> Vec<Status> {
        let path = "/admin/status";
        self.addresses
            .iter()
            .filter_map(|&address| read(self.agent.get(url(address, path)).call()).ok())
            .collect()
    }

    fn first<T>(&self, call: impl Fn(SocketAddr) -> Result<T, CallError>) -> Result<T, Failure> {
        let mut attempts = Vec::new();
        for &address in &self.addresses {
            match call(address) {
                Ok(answer) => return Ok(answer),
                Err(CallError::Refused(reason)) => {
                    return Err(Failure::refused(format!("{address} refused: {reason}")));
                }
                Err(CallError::Unavailable(reason)) => {
                    attempts.push(format!("{address}: {reason}"));
                }
            }
        }
        let attempts = attempts.join("\n  ");
        Err(Failure::refused(format!(
            "no instance answered:\n  {attempts}"
        )))
    }
}

pub(crate) fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

fn read<T: DeserializeOwned>(answer: Result<Response<Body>, ureq::Error>) -> Result<T, CallError> {
    let mut answer = answer.map_err(|error| CallError::Unavailable(error.to_string()))?;
    let status = answer.status().as_u16();
    if !answer.status().is_success() {
        let text = answer.body_mut().read_to_string().unwrap_or_default();
        let reason = problem_text(status, &text);
        // Another instance refuses an invalid order too, but may be up where this one is not.
        return Err(match status {
            400..=428 | 430..=499 => CallError::Refused(reason),
            _ => CallError::Unavailable(reason),
        });
    }
    answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_json()
        .map_err(|error| CallError::Unavailable(format!("unreadable answer: {error}")))
}

/// Returns what a refusal says, with its status.
pub(crate) fn problem_text(status: u16, body: &str) -> String {
    let problem: Problem = serde_json::from_str(body).unwrap_or_default();
    let words = [problem.title, problem.detail];
    let words: Vec<String> = words.into_iter().filter(|word| !word.is_empty()).collect();
    if words.is_empty() {
        return format!("status {status}");
    }
    format!("{} (status {status})", words.join(": "))
}
