//! Answers to clients.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc::Receiver;

use crate::connection::TaskGuard;
use crate::frontend::ServedGuard;
use arbutus_coord::Millis;
use arbutus_platform::answer::own_headers;

/// The body of an answer.
#[derive(Debug)]
pub struct ClientBody {
    content: Content,
    /// Marks the connection as idle when the answer is written.
    _served: ServedGuard,
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    /// Events as they arrive; an error breaks the connection off.
    Events {
        events: Receiver<io::Result<Bytes>>,
        _pump: TaskGuard,
    },
}

impl ClientBody {
    /// Creates a body that is known as a whole.
    #[must_use]
    pub fn whole(bytes: Bytes, served: ServedGuard) -> Self {
        Self {
            content: Content::Whole((!bytes.is_empty()).then_some(bytes)),
            _served: served,
        }
    }

    /// Creates a body of events; the task that sends them ends with the body.
    #[must_use]
    pub fn events(
        events: Receiver<io::Result<Bytes>>,
        pump: TaskGuard,
        served: ServedGuard,
    ) -> Self {
        Self {
            content: Content::Events {
                events,
                _pump: pump,
            },
            _served: served,
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
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Events { events, .. } => events
                .poll_recv(cx)
                .map(|event| event.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Events { .. } => SizeHint::default(),
        }
    }
}

/// Why the system answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OwnAnswer {
    /// The request cannot be understood or passed on.
    BadRequest,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time; nothing was sent on.
    SlowBody,
    /// The key belongs to no organisation.
    UnknownKey,
    /// No route matches.
    UnknownRoute,
    /// The request has not run and will not; the client may come again.
    Refused,
    /// The request may have run, and its answer is lost.
    Lost,
    /// The time was over, and the request may have run.
    TimedOut,
}

impl OwnAnswer {
    /// Returns the status that a client gets.
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

    /// Builds the answer.
    #[must_use]
    pub fn response(
        self,
        request_id: Option<&str>,
        retry_after_ms: Option<Millis>,
        served: ServedGuard,
    ) -> Response<ClientBody> {
        let headers = own_headers(request_id, retry_after_ms);
        respond(
            self.status(),
            headers,
            ClientBody::whole(Bytes::new(), served),
        )
    }
}

/// Builds an answer from its parts.
#[must_use]
pub fn respond(status: StatusCode, headers: HeaderMap, body: ClientBody) -> Response<ClientBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
