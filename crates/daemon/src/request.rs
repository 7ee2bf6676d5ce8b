//! Reads and validates the requests of clients.

use std::io::Read;
use std::sync::Arc;

use serde_json::Value;
use tiny_http::Request;

use crate::node::ActiveConfiguration;
use crate::problem::Reason;
use arbutus_config::deployment::PipelineSpec;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous::stable_hash;
use arbutus_wire::header;

const MAX_HEADER_VALUE_BYTES: usize = 200;
const MAX_DEADLINE_MS: Millis = Millis(60 * 60 * 1_000);

/// A validated request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The identifier that this instance assigned to the request.
    pub id: String,
    /// The configuration that was active when the request arrived. It applies to the request until
    /// its end.
    pub active: Arc<ActiveConfiguration>,
    /// The name of the pipeline, which the configuration contains.
    pub pipeline: String,
    /// The name of the organisation, which the configuration contains.
    pub organisation: String,
    /// The time at which the request arrived.
    pub arrived_at: Millis,
    /// The time by which the client needs the response.
    pub deadline: Millis,
    /// The key that identifies retries of the same request. Always present for a non-idempotent
    /// pipeline.
    pub idempotency_key: Option<String>,
    /// The parsed JSON body.
    pub body: Value,
    /// The hash of the bytes of the body.
    pub fingerprint: u64,
    /// Whether the client accepts the response as server-sent events.
    pub accepts_event_stream: bool,
}

/// Why a request is refused before it is executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRequest {
    /// The problem type of the response.
    pub reason: Reason,
    /// The explanation, which names the invalid header or part of the request.
    pub detail: String,
}

impl InvalidRequest {
    fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
        }
    }
}

impl ClientRequest {
    /// Returns the configuration of the pipeline.
    ///
    /// # Panics
    ///
    /// Panics when the configuration does not contain the pipeline; [`Self::read`] rejects that.
    #[must_use]
    pub fn pipeline_spec(&self) -> &PipelineSpec {
        &self.active.deployment.pipelines[&self.pipeline]
    }

    /// Reads and validates a request for the given pipeline. `id` becomes the identifier of the
    /// request and `now` its arrival time.
    ///
    /// # Errors
    ///
    /// Returns why the request is invalid.
    pub fn read(
        request: &mut Request,
        pipeline: &str,
        id: &str,
        active: &Arc<ActiveConfiguration>,
        now: Millis,
        max_body_bytes: usize,
    ) -> Result<Self, InvalidRequest> {
        let spec = active.deployment.pipelines.get(pipeline).ok_or_else(|| {
            InvalidRequest::new(
                Reason::NotFound,
                format!("there is no pipeline {pipeline:?}"),
            )
        })?;
        let organisation = required_header(request, header::ORGANISATION)?;
        if !active.deployment.organisations.contains_key(&organisation) {
            let detail =
                format!("header Organisation: organisation {organisation:?} is not configured");
            return Err(InvalidRequest::new(Reason::UnknownOrganisation, detail));
        }
        let deadline_ms = deadline_header(request)?.unwrap_or(spec.deadline_ms);
        let idempotency_key = optional_header(request, header::IDEMPOTENCY_KEY)?;
        if !spec.idempotent && idempotency_key.is_none() {
            let detail = format!("pipeline {pipeline:?} needs the header Idempotency-Key");
            return Err(InvalidRequest::new(Reason::IdempotencyKeyRequired, detail));
        }
        let accept = optional_header(request, "Accept")?.unwrap_or_default();
        let bytes = read_body(request, max_body_bytes)?;
        let body = serde_json::from_slice(&bytes).map_err(|error| {
            InvalidRequest::new(
                Reason::BadRequest,
                format!("the body is not valid JSON: {error}"),
            )
        })?;
        Ok(Self {
            id: id.to_owned(),
            active: Arc::clone(active),
            pipeline: pipeline.to_owned(),
            organisation,
            arrived_at: now,
            deadline: now + deadline_ms,
            idempotency_key,
            body,
            fingerprint: stable_hash(&bytes),
            accepts_event_stream: accept.contains("text/event-stream"),
        })
    }
}

/// Reads the body of a request.
///
/// # Errors
///
/// Returns an error when the body is larger than the limit or cannot be read.
pub fn read_body(request: &mut Request, max_body_bytes: usize) -> Result<Vec<u8>, InvalidRequest> {
    let too_large = || {
        let detail = format!("the body exceeds {max_body_bytes} bytes");
        InvalidRequest::new(Reason::BodyTooLarge, detail)
    };
    if request
        .body_length()
        .is_some_and(|length| length > max_body_bytes)
    {
        return Err(too_large());
    }
    let mut bytes = Vec::new();
    request
        .as_reader()
        .take(max_body_bytes as u64 + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| {
            InvalidRequest::new(Reason::BadRequest, format!("cannot read the body: {error}"))
        })?;
    if bytes.len() > max_body_bytes {
        return Err(too_large());
    }
    Ok(bytes)
}

fn required_header(request: &Request, name: &str) -> Result<String, InvalidRequest> {
    optional_header(request, name)?
        .ok_or_else(|| InvalidRequest::new(Reason::BadRequest, format!("header {name} is missing")))
}

fn optional_header(request: &Request, name: &str) -> Result<Option<String>, InvalidRequest> {
    let mut values = request
        .headers()
        .iter()
        .filter(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(InvalidRequest::new(
            Reason::BadRequest,
            format!("header {name} is present more than once"),
        ));
    }
    let value = first.value.as_str().trim();
    if value.is_empty() || value.len() > MAX_HEADER_VALUE_BYTES {
        let detail =
            format!("the value of header {name} must have 1 to {MAX_HEADER_VALUE_BYTES} bytes");
        return Err(InvalidRequest::new(Reason::BadRequest, detail));
    }
    Ok(Some(value.to_owned()))
}

fn deadline_header(request: &Request) -> Result<Option<Millis>, InvalidRequest> {
    let Some(text) = optional_header(request, header::DEADLINE_MS)? else {
        return Ok(None);
    };
    let invalid = || {
        let detail = format!(
            "header Deadline-Ms: {text:?} is not a number of milliseconds from 1 to {}",
            MAX_DEADLINE_MS.0
        );
        InvalidRequest::new(Reason::BadRequest, detail)
    };
    let remaining_ms = text.parse().map(Millis).map_err(|_error| invalid())?;
    if remaining_ms == Millis::ZERO || remaining_ms > MAX_DEADLINE_MS {
        return Err(invalid());
    }
    Ok(Some(remaining_ms))
}
