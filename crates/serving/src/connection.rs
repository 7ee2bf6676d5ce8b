//! A single HTTP connection to a target or to the store.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use displaydoc::Display;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;

use crate::body::BodyError;
use crate::exchange::Exchange;
use crate::net;
use crate::observed_stream::ObservedStream;
use arbutus_coord::Millis;

/// Maximum size of a response head, and of the bytes of a body that were received and not read yet.
/// Heads have a few hundred bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of bytes that the kernel holds for a peer that does not read.
const MAX_UNSENT_BYTES: usize = 64 * 1024;

/// Why a call over a connection failed.
#[derive(Debug, Display)]
pub enum CallError {
    /// cannot open the connection: {0}
    Connect(io::Error),
    /// the connection was closed before the request was written
    Unsent,
    /// the connection failed after the request was written: {0}
    Interrupted(hyper::Error),
    /// the call timed out
    Timeout,
    /// cannot read the response body: {0}
    Body(BodyError),
    /// the response is not one to this request
    Mismatched,
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns whether the peer cannot have received any byte of the request.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Unsent)
    }
}

/// Aborts a task when dropped.
#[derive(Debug)]
pub struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    /// Wraps a task.
    #[must_use]
    pub fn new(task: JoinHandle<()>) -> Self {
        Self(task)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection; dropping it closes it immediately.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    exchange: Rc<Exchange>,
    _driver: AbortOnDrop,
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is not established within `timeout_ms`.
    pub async fn open(address: SocketAddrV4, timeout_ms: Millis) -> Result<Self, CallError> {
        let stream = net::connect(address, timeout_ms)
            .await
            .map_err(CallError::Connect)?;
        net::limit_unsent_bytes(&stream, MAX_UNSENT_BYTES).map_err(CallError::Connect)?;
        let exchange = Exchange::new(MAX_BUFFER_BYTES);
        let stream = ObservedStream::new(stream, Rc::clone(&exchange));
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| CallError::Connect(io::Error::other(error)))?;
        let driver = spawn_local(async move {
            if let Err(error) = driver.await {
                debug!(address:%, error:%; "connection closed with an error");
            }
        });
        Ok(Self {
            sender,
            exchange,
            _driver: AbortOnDrop::new(driver),
        })
    }

    /// Returns whether another request can be sent on the connection.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the peer may have received the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        if self.sender.ready().await.is_err() {
            return Err(CallError::Unsent);
        }
        let body_bytes = request.body().size_hint().lower();
        self.exchange.begin(body_bytes);
        let response = self.sender.try_send_request(request).await;
        self.exchange.end_head();
        response.map_err(|mut error| match error.take_message() {
            Some(_) => CallError::Unsent,
            None => CallError::Interrupted(error.into_error()),
        })
    }
}

/// Returns whether the end of a response body is the end of its connection, which also a crash of
/// the target causes.
#[must_use]
pub fn ends_with_connection(headers: &HeaderMap, body: &Incoming) -> bool {
    let has_framing =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    !has_framing && !body.is_end_stream()
}
