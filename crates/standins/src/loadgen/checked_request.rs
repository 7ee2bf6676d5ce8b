//! Sends one request, reads the complete response and checks that it belongs to the request.

use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde_json::Value;
use strum::Display;
use strum::EnumIter;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use crate::generated_text::GeneratedText;
use crate::generated_text::MARKER;
use crate::loadgen::arrivals::Arrival;
use crate::loadgen::scenario::CallKind;
use crate::loadgen::scenario::PipelineLoad;
use crate::sse::next_event;
use arbutus_coord::Millis;
use arbutus_wire::header;
use arbutus_wire::target::DoneEvent;
use arbutus_wire::target::TokenEvent;

/// Time after the deadline during which a late response is still received and counted.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, EnumIter)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// A complete response arrived before the deadline.
    #[serde(rename = "whole")]
    #[strum(serialize = "whole")]
    Completed,
    /// A complete response arrived after the deadline.
    Late,
    /// The request was refused, and the refusal says that it was not executed.
    #[serde(rename = "not_run")]
    #[strum(serialize = "not_run")]
    NotExecuted,
    /// The response says that it is unknown whether the request was executed.
    Unknown,
    /// Another error response or error event of a stream, or no response.
    Error,
    /// The response ended early: a stream without the event `done` or with an unexpected number of
    /// tokens, or a body that is incomplete or not JSON.
    Truncated,
    /// The response, or a token of it, is not the one expected for this request.
    #[serde(rename = "wrong")]
    #[strum(serialize = "wrong")]
    WrongResponse,
    /// No instance accepted a connection.
    Unsent,
    /// The load generator did not start the request, because it had too many requests in progress
    /// or could not start a thread.
    #[serde(rename = "overflow")]
    #[strum(serialize = "overflow")]
    NotStarted,
}

/// What the client of a request observed.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Short description of an error; empty for a complete response.
    pub detail: String,
    /// Whether an error response has the header `Retry-After`.
    pub has_retry_after: bool,
    /// Time from the scheduled start to the first token of a stream; `None` if none was received.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens of a stream.
    pub token_gaps: Vec<Duration>,
    /// Time from the scheduled start to the end of the request.
    pub latency: Duration,
    /// Body of the complete response to a booking; `None` in all other cases.
    pub booking_response: Option<Value>,
}

impl Observation {
    /// Creates the observation of a request that ends now.
    ///
    /// `scheduled_at` is the scheduled start of the request, from which latencies count.
    #[must_use]
    pub fn new(outcome: Outcome, detail: impl Into<String>, scheduled_at: Instant) -> Self {
        Self {
            outcome,
            detail: detail.into(),
            has_retry_after: false,
            first_token: None,
            token_gaps: Vec::new(),
            latency: scheduled_at.elapsed(),
            booking_response: None,
        }
    }
}

/// No connection was established, so no byte of the request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotConnected;

/// Creates the HTTP client; each request has its own connection.
#[must_use]
pub fn create_agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .build()
        .into()
}

/// A request with what is needed to check its response.
#[derive(Clone, Copy, Debug)]
pub struct CheckedRequest<'a> {
    /// HTTP client.
    pub agent: &'a Agent,
    /// Pipeline that is called.
    pub pipeline: &'a PipelineLoad,
    /// Name of the organisation that sends the request.
    pub organisation: &'a str,
    /// Marker and body of the request.
    pub arrival: &'a Arrival,
    /// Scheduled start of the request; latencies count from here.
    pub scheduled_at: Instant,
}

impl CheckedRequest<'_> {
    /// Sends the request to one instance and checks the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection was established, so that the caller can try another
    /// instance.
    pub fn send(&self, instance: SocketAddr) -> Result<Observation, NotConnected> {
        let url = format!("http://{instance}/v1/pipelines/{}", self.pipeline.name);
        let deadline_ms = self.pipeline.deadline_ms;
        let mut request = self
            .agent
            .post(url)
            .config()
            .timeout_global(Some(deadline_ms.to_duration() + LATE_RESPONSE_TIMEOUT))
            .build()
            .header("Connection", "close")
            .header(header::ORGANISATION, self.organisation)
            .header(header::DEADLINE_MS, deadline_ms.0.to_string());
        if self.pipeline.kind == CallKind::Stream {
            request = request.header("Accept", "text/event-stream");
        }
        if self.pipeline.kind == CallKind::Booking {
            request = request.header(header::IDEMPOTENCY_KEY, &self.arrival.marker);
        }
        match request.send_json(&self.arrival.input) {
            Ok(response) => Ok(self.read_response(response)),
            Err(error) if is_not_connected(&error) => Err(NotConnected),
            Err(error) => Ok(self.observation(Outcome::Error, truncated_message(&error))),
        }
    }

    fn observation(&self, outcome: Outcome, detail: impl Into<String>) -> Observation {
        Observation::new(outcome, detail, self.scheduled_at)
    }

    fn read_response(&self, mut response: Response<Body>) -> Observation {
        let status = response.status().as_u16();
        if status != 200 {
            return self.read_error_response(status, &mut response);
        }
        if self.pipeline.kind == CallKind::Stream {
            return self.read_stream(&mut response);
        }
        let body = match response.body_mut().read_to_string() {
            Ok(body) => body,
            Err(error) => return self.observation(Outcome::Truncated, truncated_message(&error)),
        };
        let Ok(body) = serde_json::from_str::<Value>(&body) else {
            return self.observation(Outcome::Truncated, "the response is not JSON");
        };
        if !self.is_expected_response(&body) {
            return self.observation(
                Outcome::WrongResponse,
                "the response does not match the request",
            );
        }
        let mut observation = self.completed_observation();
        if self.pipeline.kind == CallKind::Booking {
            observation.booking_response = Some(body);
        }
        observation
    }

    fn completed_observation(&self) -> Observation {
        let mut observation = self.observation(Outcome::Completed, "");
        if Millis::from(observation.latency) > self.pipeline.deadline_ms {
            observation.outcome = Outcome::Late;
        }
        observation
    }

    fn read_error_response(&self, status: u16, response: &mut Response<Body>) -> Observation {
        let has_retry_after = response.headers().contains_key("Retry-After");
        let body = response.body_mut().read_to_string().unwrap_or_default();
        let problem: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
        let title = problem.get("title").and_then(Value::as_str).unwrap_or("");
        let mut observation =
            self.observation(problem_outcome(&problem), format!("{status} {title}"));
        observation.has_retry_after = has_retry_after;
        observation
    }

    fn read_stream(&self, response: &mut Response<Body>) -> Observation {
        // The text of each token is independent of `max_tokens`, so any value is correct here.
        let text = GeneratedText::new(&self.arrival.input, 0);
        let mut reader = BufReader::new(response.body_mut().as_reader());
        let mut progress = StreamProgress::default();
        let observation = loop {
            let event = match next_event(&mut reader) {
                Ok(Some(event)) => event,
                Ok(None) => break self.observation(Outcome::Truncated, "the stream ended early"),
                Err(error) => break self.observation(Outcome::Truncated, error.to_string()),
            };
            match event.name.as_str() {
                "token" if progress.add_token(&event.data, text, self.scheduled_at) => {}
                "token" => break self.observation(Outcome::WrongResponse, "unexpected token"),
                "done" => break self.check_done_event(&event.data, progress.next_offset),
                "error" => {
                    let problem = serde_json::from_str(&event.data).unwrap_or(Value::Null);
                    let title = problem.get("title").and_then(Value::as_str).unwrap_or("");
                    break self
                        .observation(problem_outcome(&problem), format!("error event {title}"));
                }
                _ => {}
            }
        };
        Observation {
            first_token: progress.first_token,
            token_gaps: progress.token_gaps,
            ..observation
        }
    }

    /// Returns the texts that a target may generate for the input: one for each value of
    /// [`PipelineLoad::max_tokens`].
    fn expected_texts(&self) -> impl Iterator<Item = GeneratedText> {
        let max_tokens = self.pipeline.max_tokens.iter();
        max_tokens.map(|&max_tokens| GeneratedText::new(&self.arrival.input, max_tokens))
    }

    fn check_done_event(&self, data: &str, received: u32) -> Observation {
        let done = serde_json::from_str::<DoneEvent>(data);
        let total = done.map_or(received, |done| done.tokens);
        let is_complete = self.expected_texts().any(|text| text.len() == received);
        if is_complete && total == received {
            return self.completed_observation();
        }
        let detail = format!("{received} tokens received, the event `done` reports {total}");
        self.observation(Outcome::Truncated, detail)
    }

    /// Returns whether a response belongs to this request.
    ///
    /// All markers in the response have to be the marker of this request. A response without markers
    /// has to contain a text that is expected for the input.
    fn is_expected_response(&self, body: &Value) -> bool {
        let mut markers = Vec::new();
        collect_strings(body, MARKER, &mut markers);
        let mut texts = Vec::new();
        collect_strings(body, "text", &mut texts);
        let is_expected_text = |text: &&str| {
            self.expected_texts()
                .any(|each| each.full_text().trim() == text.trim())
        };
        let has_expected_text = texts.iter().any(is_expected_text);
        markers.iter().all(|marker| *marker == self.arrival.marker)
            && (!markers.is_empty() || has_expected_text)
    }
}

#[derive(Debug, Default)]
struct StreamProgress {
    /// Offset of the next token, which is also the number of tokens received.
    next_offset: u32,
    first_token: Option<Duration>,
    last_token_at: Option<Instant>,
    token_gaps: Vec<Duration>,
}

impl StreamProgress {
    /// Records a token, and returns whether it is the expected next one.
    fn add_token(&mut self, data: &str, text: GeneratedText, scheduled_at: Instant) -> bool {
        let now = Instant::now();
        match self.last_token_at {
            None => self.first_token = Some(now.saturating_duration_since(scheduled_at)),
            Some(last_token_at) => self
                .token_gaps
                .push(now.saturating_duration_since(last_token_at)),
        }
        self.last_token_at = Some(now);
        let Ok(token) = serde_json::from_str::<TokenEvent>(data) else {
            return false;
        };
        let is_next = token.offset == self.next_offset && token.text == text.token(token.offset);
        self.next_offset += 1;
        is_next
    }
}

/// Collects the values of all string fields with the given name, at any depth.
fn collect_strings<'a>(value: &'a Value, name: &str, found: &mut Vec<&'a str>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                match field {
                    Value::String(text) if key == name => found.push(text),
                    _ => collect_strings(field, name, found),
                }
            }
        }
        Value::Array(items) => items
            .iter()
            .for_each(|item| collect_strings(item, name, found)),
        _ => {}
    }
}

/// Returns what the field `executed` of an error response says about the execution of the request.
fn problem_outcome(problem: &Value) -> Outcome {
    match problem.get("executed").and_then(Value::as_str) {
        Some("no") => Outcome::NotExecuted,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Error,
    }
}

fn is_not_connected(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        _ => false,
    }
}

fn truncated_message(error: &impl ToString) -> String {
    error.to_string().chars().take(80).collect()
}
