//! Parsing of callers' requests.

use std::io::Read;
use std::sync::Arc;

use serde_json::Value;
use tiny_http::Request;

use crate::node::Active;
use crate::problem::Reason;
use arbutus_config::deployment::PipelineSpec;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous::stable_hash;
use arbutus_wire::header;

const MAX_NAME_BYTES: usize = 200;
const LONGEST_DEADLINE_MS: Millis = Millis(60 * 60 * 1_000);

/// A caller's request after it has been checked.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The identifier that this instance gave to the request.
    pub id: String,
    /// The configuration that was in force when the request arrived.
    pub active: Arc<Active>,
    /// The pipeline's name.
    pub pipeline: String,
    /// The organisation's name.
    pub organisation: String,
    /// When the request arrived.
    pub arrived: Millis,
    /// When the answer is due.
    pub deadline: Millis,
    /// The key that identifies resends.
    pub idempotency_key: Option<String>,
    /// The caller's JSON.
    pub body: Value,
    /// The hash of the caller's bytes.
    pub fingerprint: u64,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
}

/// Why a request is refused before anything else happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// The kind of error.
    pub reason: Reason,
    /// The explanation, which names the place.
    pub detail: String,
}

impl Invalid {
    fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
        }
    }
}

impl ClientRequest {
    /// Returns the specification of the pipeline.
    ///
    /// # Panics
    ///
    /// Panics when the pipeline is not part of the configuration, which parsing rules out.
    #[must_use]
    pub fn spec(&self) -> &PipelineSpec {
        &self.active.deployment.pipelines[&self.pipeline]
    }

    /// Reads and checks a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    pub fn read(
        request: &mut Request,
        pipeline: &str,
        id: &str,
        active: &Arc<Active>,
        now: Millis,
        max_body_bytes: usize,
    ) -> Result<Self, Invalid> {
        let spec = active.deployment.pipelines.get(pipeline).ok_or_else(|| {
            Invalid::new(
                Reason::NotFound,
                format!("there is no pipeline {pipeline:?}"),
            )
        })?;
        let organisation = required_header(request, header::ORGANISATION)?;
        if !active.deployment.organisations.contains_key(&organisation) {
            let detail = format!("header Organisation: {organisation:?} is not known");
            return Err(Invalid::new(Reason::UnknownOrganisation, detail));
        }
        let deadline_ms = deadline_header(request)?.unwrap_or(spec.deadline_ms);
        let idempotency_key = optional_header(request, header::IDEMPOTENCY_KEY)?;
        if !spec.idempotent && idempotency_key.is_none() {
            let detail = format!("pipeline {pipeline:?} needs the header Idempotency-Key");
            return Err(Invalid::new(Reason::IdempotencyKeyRequired, detail));
        }
        let accept = optional_header(request, "Accept")?.unwrap_or_default();
        let bytes = read_body(request, max_body_bytes)?;
        let body = serde_json::from_slice(&bytes).map_err(|error| {
            Invalid::new(Reason::BadRequest, format!("the body is not JSON: {error}"))
        })?;
        Ok(Self {
            id: id.to_owned(),
            active: Arc::clone(active),
            pipeline: pipeline.to_owned(),
            organisation,
            arrived: now,
            deadline: now + deadline_ms,
            idempotency_key,
            body,
            fingerprint: stable_hash(&bytes),
            stream: accept.contains("text/event-stream"),
        })
    }
}

/// Reads a body of bounded size.
///
/// # Errors
///
/// Returns that the body is too large or cannot be read.
pub fn read_body(request: &mut Request, max_body_bytes: usize) -> Result<Vec<u8>, Invalid> {
    let too_large = || {
        let detail = format!("the body is larger than {max_body_bytes} bytes");
        Invalid::new(Reason::BodyTooLarge, detail)
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
        .map_err(|error| Invalid::new(Reason::BadRequest, format!("reading the body: {error}")))?;
    if bytes.len() > max_body_bytes {
        return Err(too_large());
    }
    Ok(bytes)
}

fn required_header(request: &Request, name: &str) -> Result<String, Invalid> {
    optional_header(request, name)?
        .ok_or_else(|| Invalid::new(Reason::BadRequest, format!("header {name} is missing")))
}

fn optional_header(request: &Request, name: &str) -> Result<Option<String>, Invalid> {
    let mut values = request
        .headers()
        .iter()
        .filter(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Invalid::new(
            Reason::BadRequest,
            format!("header {name} is given twice"),
        ));
    }
    let value = first.value.as_str().trim();
    if value.is_empty() || value.len() > MAX_NAME_BYTES {
        let detail = format!("header {name} has to have 1 to {MAX_NAME_BYTES} bytes");
        return Err(Invalid::new(Reason::BadRequest, detail));
    }
    Ok(Some(value.to_owned()))
}

fn deadline_header(request: &Request) -> Result<Option<Millis>, Invalid> {
    let Some(text) = optional_header(request, header::DEADLINE_MS)? else {
        return Ok(None);
    };
    let invalid = || {
        let detail = format!(
            "header Deadline-Ms: {text:?} is not a number of milliseconds from 1 to {}",
            LONGEST_DEADLINE_MS.0
        );
        Invalid::new(Reason::BadRequest, detail)
    };
    let span = text.parse().map(Millis).map_err(|_error| invalid())?;
    if span == Millis::ZERO || span > LONGEST_DEADLINE_MS {
        return Err(invalid());
    }
    Ok(Some(span))
}
