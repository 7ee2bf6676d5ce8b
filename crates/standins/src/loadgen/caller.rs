//! One caller: sends a request, reads the whole answer and checks that it is its own.

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

/// How long a caller waits after its deadline.
const PATIENCE: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, EnumIter)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The whole answer arrived before the deadline.
    Whole,
    /// The whole answer arrived after the deadline.
    Late,
    /// The request was refused, and the refusal says that it was not run.
    NotRun,
    /// The answer says that nobody knows whether the request was run.
    Unknown,
    /// An answer with another error, an explicit error in a stream, or no answer.
    Error,
    /// The stream ended without `done`, or with too few tokens.
    Truncated,
    /// The answer belongs to another request.
    Wrong,
    /// No instance accepted a connection.
    Unsent,
    /// The load generator had too many requests in progress.
    Overflow,
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub struct Seen {
    /// How the request ended.
    pub outcome: Outcome,
    /// A short description of an error.
    pub detail: String,
    /// Whether a refusal named a time for a retry.
    pub has_retry_after: bool,
    /// The time until the first token.
    pub first_token: Option<Duration>,
    /// The times between tokens.
    pub gaps: Vec<Duration>,
    /// The time until the end.
    pub latency: Duration,
    /// The answer to a booking.
    pub answer: Option<Value>,
}

impl Seen {
    /// Creates the record of a request that ended now without an answer.
    #[must_use]
    pub fn new(outcome: Outcome, detail: impl Into<String>, due: Instant) -> Self {
        Self {
            outcome,
            detail: detail.into(),
            has_retry_after: false,
            first_token: None,
            gaps: Vec::new(),
            latency: due.elapsed(),
            answer: None,
        }
    }
}

/// The proof that no byte of a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotConnected;

/// Creates the HTTP client of callers; each request has its own connection.
#[must_use]
pub fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .build()
        .into()
}

/// One request and its expected answer.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The HTTP client.
    pub agent: &'a Agent,
    /// The pipeline.
    pub pipeline: &'a PipelineLoad,
    /// The name of the organisation.
    pub organisation: &'a str,
    /// The request.
    pub arrival: &'a Arrival,
    /// The time at which the request was due; latencies count from here.
    pub due: Instant,
}

impl Caller<'_> {
    /// Sends the request to one instance and reads the answer.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection was established, so that another instance can be
    /// tried.
    pub fn call(&self, instance: SocketAddr) -> Result<Seen, NotConnected> {
        let url = format!("http://{instance}/v1/pipelines/{}", self.pipeline.name);
        let deadline_ms = self.pipeline.deadline_ms;
        let mut request = self
            .agent
            .post(url)
            .config()
            .timeout_global(Some(deadline_ms.to_duration() + PATIENCE))
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
            Ok(response) => Ok(self.read(response)),
            Err(error) if is_not_connected(&error) => Err(NotConnected),
            Err(error) => Ok(self.ended(Outcome::Error, short(&error))),
        }
    }

    fn ended(&self, outcome: Outcome, detail: impl Into<String>) -> Seen {
        Seen::new(outcome, detail, self.due)
    }

    fn read(&self, mut response: Response<Body>) -> Seen {
        let status = response.status().as_u16();
        if status != 200 {
            return self.read_refusal(status, &mut response);
        }
        if self.pipeline.kind == CallKind::Stream {
            return self.read_stream(&mut response);
        }
        let body = match response.body_mut().read_to_string() {
            Ok(body) => body,
            Err(error) => return self.ended(Outcome::Truncated, short(&error)),
        };
        let Ok(answer) = serde_json::from_str::<Value>(&body) else {
            return self.ended(Outcome::Truncated, "the answer is not JSON");
        };
        if !self.is_own(&answer) {
            return self.ended(Outcome::Wrong, "the answer belongs to another request");
        }
        let mut seen = self.whole();
        if self.pipeline.kind == CallKind::Booking {
            seen.answer = Some(answer);
        }
        seen
    }

    fn whole(&self) -> Seen {
        let mut seen = self.ended(Outcome::Whole, "");
        if Millis::from(seen.latency) > self.pipeline.deadline_ms {
            seen.outcome = Outcome::Late;
        }
        seen
    }

    fn read_refusal(&self, status: u16, response: &mut Response<Body>) -> Seen {
        let has_retry_after = response.headers().contains_key("Retry-After");
        let body = response.body_mut().read_to_string().unwrap_or_default();
        let problem: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
        let title = problem.get("title").and_then(Value::as_str).unwrap_or("");
        let mut seen = self.ended(executed(&problem), format!("{status} {title}"));
        seen.has_retry_after = has_retry_after;
        seen
    }

    fn read_stream(&self, response: &mut Response<Body>) -> Seen {
        // The tokens themselves do not depend on `max_tokens`.
        let text = GeneratedText::new(&self.arrival.input, 0);
        let mut reader = BufReader::new(response.body_mut().as_reader());
        let mut progress = Progress::default();
        let ended = loop {
            let event = match next_event(&mut reader) {
                Ok(Some(event)) => event,
                Ok(None) => break self.ended(Outcome::Truncated, "the stream ended early"),
                Err(error) => break self.ended(Outcome::Truncated, error.to_string()),
            };
            match event.name.as_str() {
                "token" if progress.accept(&event.data, text, self.due) => {}
                "token" => break self.ended(Outcome::Wrong, "a token of another answer"),
                "done" => break self.done(&event.data, progress.next),
                "error" => {
                    let problem = serde_json::from_str(&event.data).unwrap_or(Value::Null);
                    let title = problem.get("title").and_then(Value::as_str).unwrap_or("");
                    break self.ended(executed(&problem), format!("error event {title}"));
                }
                _ => {}
            }
        };
        Seen {
            first_token: progress.first_token,
            gaps: progress.gaps,
            ..ended
        }
    }

    /// Returns the texts that the sites may generate.
    fn texts(&self) -> impl Iterator<Item = GeneratedText> {
        let max_tokens = self.pipeline.max_tokens.iter();
        max_tokens.map(|&max_tokens| GeneratedText::new(&self.arrival.input, max_tokens))
    }

    fn done(&self, data: &str, received: u32) -> Seen {
        let done = serde_json::from_str::<DoneEvent>(data);
        let total = done.map_or(received, |done| done.tokens);
        let is_whole = self.texts().any(|text| text.len() == received);
        if is_whole && total == received {
            return self.whole();
        }
        let detail = format!("{received} tokens, `done` says {total}");
        self.ended(Outcome::Truncated, detail)
    }

    /// Returns whether an answer carries this request's marker, or the text for its input.
    fn is_own(&self, answer: &Value) -> bool {
        let mut markers = Vec::new();
        collect(answer, MARKER, &mut markers);
        let mut texts = Vec::new();
        collect(answer, "text", &mut texts);
        let is_expected = |text: &&str| {
            self.texts()
                .any(|each| each.full_text().trim() == text.trim())
        };
        let has_text = texts.iter().any(is_expected);
        markers.iter().all(|marker| *marker == self.arrival.marker)
            && (!markers.is_empty() || has_text)
    }
}

#[derive(Debug, Default)]
struct Progress {
    next: u32,
    first_token: Option<Duration>,
    last: Option<Instant>,
    gaps: Vec<Duration>,
}

impl Progress {
    fn accept(&mut self, data: &str, text: GeneratedText, due: Instant) -> bool {
        let now = Instant::now();
        match self.last {
            None => self.first_token = Some(now.saturating_duration_since(due)),
            Some(last) => self.gaps.push(now.saturating_duration_since(last)),
        }
        self.last = Some(now);
        let Ok(token) = serde_json::from_str::<TokenEvent>(data) else {
            return false;
        };
        let is_next = token.offset == self.next && token.text == text.token(token.offset);
        self.next += 1;
        is_next
    }
}

/// Collects all texts under a name, at any depth.
fn collect<'a>(value: &'a Value, name: &str, found: &mut Vec<&'a str>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                match field {
                    Value::String(text) if key == name => found.push(text),
                    _ => collect(field, name, found),
                }
            }
        }
        Value::Array(items) => items.iter().for_each(|item| collect(item, name, found)),
        _ => {}
    }
}

fn executed(problem: &Value) -> Outcome {
    match problem.get("executed").and_then(Value::as_str) {
        Some("no") => Outcome::NotRun,
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

fn short(error: &impl ToString) -> String {
    error.to_string().chars().take(80).collect()
}
