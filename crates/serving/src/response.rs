//! HTTP responses to clients.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc::Receiver;

use crate::body::CompleteBody;
use crate::connection::AbortOnDrop;
use crate::frontend::InProgressGuard;
use arbutus_coord::Millis;
use arbutus_platform::request::RequestError;
use arbutus_platform::response::local_reply_headers;

/// The body of a response to a client.
#[derive(Debug)]
pub struct ClientBody {
    content: Content,
    /// Ends the request when the body is dropped, which is before its last bytes are written.
    _guard: InProgressGuard,
}

#[derive(Debug)]
enum Content {
    Complete(CompleteBody),
    /// Events as they arrive; an error aborts the client's connection.
    Events {
        events: Receiver<io::Result<Bytes>>,
        _relay_task: AbortOnDrop,
    },
}

impl ClientBody {
    /// Creates a body from its complete content.
    #[must_use]
    pub fn complete(body: CompleteBody, guard: InProgressGuard) -> Self {
        Self {
            content: Content::Complete(body),
            _guard: guard,
        }
    }

    /// Creates a streaming body. Dropping the body aborts `relay_task`, which sends the events.
    #[must_use]
    pub fn events(
        events: Receiver<io::Result<Bytes>>,
        relay_task: AbortOnDrop,
        guard: InProgressGuard,
    ) -> Self {
        Self {
            content: Content::Events {
                events,
                _relay_task: relay_task,
            },
            _guard: guard,
        }
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.content {
            Content::Complete(body) => {
                let block = body.take_block();
                Poll::Ready(block.map(|bytes| Ok(Frame::data(bytes))))
            }
            Content::Events { events, .. } => events
                .poll_recv(cx)
                .map(|event| event.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Complete(body) => body.is_empty(),
            Content::Events { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(body) => SizeHint::with_exact(body.len() as u64),
            Content::Events { .. } => SizeHint::default(),
        }
    }
}

/// A response that this instance generates itself instead of forwarding a target's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LocalReply {
    /// The request is malformed, or its body is incomplete.
    BadRequest,
    /// The body exceeds the configured limit.
    TooLarge,
    /// The body did not arrive before the deadline; nothing was sent to a target.
    SlowBody,
    /// The API key belongs to no organisation.
    UnknownKey,
    /// No route matches.
    UnknownRoute,
    /// The request was not executed and will not be; the client may retry.
    Refused,
    /// The request may have been executed, but its response was lost.
    Lost,
    /// The deadline passed, and the request may have been executed.
    TimedOut,
}

impl LocalReply {
    /// Returns the HTTP status of the response.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::Refused => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response to a malformed request, whose body tells what is malformed.
    #[must_use]
    pub fn bad_request(error: &RequestError, guard: InProgressGuard) -> Response<ClientBody> {
        let mut headers = local_reply_headers(None, None);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let text = CompleteBody::from_text(format!("{error}\n"));
        let body = ClientBody::complete(text, guard);
        build_response(Self::BadRequest.status(), headers, body)
    }

    /// Builds the response. Without `retry_after_ms`, no retry delay is sent.
    #[must_use]
    pub fn response(
        self,
        request_id: Option<&str>,
        retry_after_ms: Option<Millis>,
        guard: InProgressGuard,
    ) -> Response<ClientBody> {
        let headers = local_reply_headers(request_id, retry_after_ms);
        build_response(
            self.status(),
            headers,
            ClientBody::complete(CompleteBody::default(), guard),
        )
    }
}

/// Builds a response from its parts.
#[must_use]
pub fn build_response(
    status: StatusCode,
    headers: HeaderMap,
    body: ClientBody,
) -> Response<ClientBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
