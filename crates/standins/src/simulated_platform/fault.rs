//! Faults that a target injects into its responses.

use std::time::Duration;

use http::StatusCode;

/// Body of a response to a request that fails.
const ERROR_TEXT: &str = "error: out of memory\n\n";

/// Fault that a target injects into one request; stage calls are not affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The target rejects the request with status 503 and the header for requests that were not
    /// executed.
    RejectUnexecuted,
    /// The connection breaks within the event that follows this number of complete events.
    AbortAfterEvents(u64),
    /// The response has the identifier of another request.
    WrongRequestId,
    /// The connection breaks before the announced length of the body was sent.
    TruncateBody,
    /// The target executes the request and delays the response by this duration.
    DelayResponse(Duration),
    /// The target executes the request and closes the connection without a response.
    CloseWithoutResponse,
    /// The target executes the request and responds with an error text and status 500.
    RespondWithError,
    /// The target executes the request and sends an error text, or another response, as the body of
    /// a successful one.
    ErrorInBody(&'static str),
}

impl Fault {
    /// Returns the status and the body of the response, if the fault determines them.
    pub(super) fn error(self) -> Option<(StatusCode, &'static str)> {
        match self {
            Self::RespondWithError => Some((StatusCode::INTERNAL_SERVER_ERROR, ERROR_TEXT)),
            Self::ErrorInBody(text) => Some((StatusCode::OK, text)),
            _ => None,
        }
    }
}
