//! Writes HTTP responses.
//!
//! Responses are written through `Request::into_writer`. The response types of `tiny_http` buffer a
//! chunked body until its end or until it has 8 KiB, but a token stream must be flushed after each
//! event.

use std::io;
use std::io::Write;

use serde_json::Value;
use tiny_http::HTTPVersion;
use tiny_http::Request;

use crate::problem::Problem;
use arbutus_coord::Millis;

/// The content type of JSON documents.
pub const JSON: &str = "application/json";
/// The content type of problem details (RFC 9457).
pub const PROBLEM_JSON: &str = "application/problem+json";
/// The content type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Writes the response to one request.
pub struct Responder {
    writer: Box<dyn Write + Send>,
    request_id: String,
    close: bool,
    /// Whether the client's HTTP version supports chunked transfer encoding.
    chunked: bool,
    replayed: bool,
}

/// Writes a response that consists of server-sent events.
pub struct EventStream {
    writer: Box<dyn Write + Send>,
    chunked: bool,
}

impl Responder {
    /// Creates the writer for a request whose body has been read.
    ///
    /// `close` says whether to add the header `Connection: close`.
    #[must_use]
    pub fn new(request: Request, request_id: &str, close: bool) -> Self {
        let chunked = *request.http_version() >= HTTPVersion(1, 1);
        Self {
            writer: request.into_writer(),
            request_id: request_id.to_owned(),
            close,
            chunked,
            replayed: false,
        }
    }

    /// Sets whether the response was recorded for an earlier request with the same idempotency key.
    #[must_use]
    pub fn with_replayed(mut self, replayed: bool) -> Self {
        self.replayed = replayed;
        self
    }

    /// Writes a response with a complete body.
    ///
    /// # Errors
    ///
    /// Returns the error of writing to the connection.
    pub fn send(mut self, status: u16, content_type: &str, body: &str) -> io::Result<()> {
        let head = self.response_head(status, content_type, &[]);
        write!(
            self.writer,
            "{head}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        self.writer.flush()
    }

    /// Writes a response with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns the error of writing to the connection.
    pub fn send_json(self, status: u16, body: &Value) -> io::Result<()> {
        self.send(status, JSON, &body.to_string())
    }

    /// Writes a problem as problem details, with `Retry-After` if the problem has a delay.
    ///
    /// # Errors
    ///
    /// Returns the error of writing to the connection.
    pub fn send_problem(mut self, problem: &Problem) -> io::Result<()> {
        let body = problem.to_json();
        let retry_after = problem.retry_after_ms().map(retry_after_seconds);
        let extra_headers: Vec<(&str, String)> = retry_after
            .map(|seconds| ("Retry-After", seconds))
            .into_iter()
            .collect();
        let head = self.response_head(problem.reason().status(), PROBLEM_JSON, &extra_headers);
        write!(
            self.writer,
            "{head}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        self.writer.flush()
    }

    /// Writes the status line and the headers of a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Returns the error of writing to the connection.
    pub fn into_event_stream(mut self) -> io::Result<EventStream> {
        let transfer_encoding = self
            .chunked
            .then(|| ("Transfer-Encoding", "chunked".to_owned()));
        let extra_headers: Vec<(&str, String)> = transfer_encoding.into_iter().collect();
        let head = self.response_head(200, EVENT_STREAM, &extra_headers);
        write!(self.writer, "{head}Cache-Control: no-store\r\n\r\n")?;
        self.writer.flush()?;
        Ok(EventStream {
            writer: self.writer,
            chunked: self.chunked,
        })
    }

    fn response_head(
        &self,
        status: u16,
        content_type: &str,
        extra_headers: &[(&str, String)],
    ) -> String {
        let mut head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nRequest-Id: {}\r\n",
            reason_phrase(status),
            self.request_id
        );
        for (name, value) in extra_headers {
            head.push_str(name);
            head.push_str(": ");
            head.push_str(value);
            head.push_str("\r\n");
        }
        if self.replayed {
            head.push_str("Idempotency-Replayed: true\r\n");
        }
        if self.close {
            head.push_str("Connection: close\r\n");
        }
        head
    }
}

impl std::fmt::Debug for Responder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Responder")
            .field("request_id", &self.request_id)
            .finish_non_exhaustive()
    }
}

impl EventStream {
    /// Writes one event and flushes it. `data` must be a single line.
    ///
    /// # Errors
    ///
    /// Returns the error of writing to the connection.
    pub fn write_event(&mut self, name: &str, data: &str) -> io::Result<()> {
        let event = format!("event: {name}\ndata: {data}\n\n");
        if self.chunked {
            write!(self.writer, "{:x}\r\n{event}\r\n", event.len())?;
        } else {
            self.writer.write_all(event.as_bytes())?;
        }
        self.writer.flush()
    }

    /// Writes the last chunk, if the body is chunked, and flushes the stream.
    ///
    /// # Errors
    ///
    /// Returns the error of writing to the connection.
    pub fn finish(mut self) -> io::Result<()> {
        if self.chunked {
            self.writer.write_all(b"0\r\n\r\n")?;
        }
        self.writer.flush()
    }
}

impl std::fmt::Debug for EventStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EventStream").finish_non_exhaustive()
    }
}

/// Returns a delay as the value of `Retry-After`: whole seconds, at least 1. Rounds up, because a
/// retry before the end of the delay would be refused again.
fn retry_after_seconds(delay: Millis) -> String {
    delay.0.div_ceil(1_000).max(1).to_string()
}

fn reason_phrase(status: u16) -> &'static str {
    tiny_http::StatusCode(status).default_reason_phrase()
}
