//! One HTTP connection to a target or to the store.

use std::io;
use std::net::SocketAddrV4;

use bytes::Bytes;
use displaydoc::Display;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;

use crate::net;
use arbutus_coord::Millis;

/// A request that could not be sent or answered.
#[derive(Debug, Display)]
pub enum CallError {
    /// the connection could not be opened: {0}
    Connect(io::Error),
    /// the connection was closed before the request was written
    Unsent,
    /// the connection failed after the request was written: {0}
    Broken(hyper::Error),
    /// there was no answer in time
    Timeout,
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns whether no byte of the request can have reached the other side.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Unsent)
    }
}

/// Ends a task when dropped.
#[derive(Debug)]
pub struct TaskGuard(JoinHandle<()>);

impl TaskGuard {
    /// Guards a task.
    #[must_use]
    pub fn new(task: JoinHandle<()>) -> Self {
        Self(task)
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection; dropping it closes it at once.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: TaskGuard,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no connection within the time.
    pub async fn open(address: SocketAddrV4, within_ms: Millis) -> Result<Self, CallError> {
        let stream = net::connect(address, within_ms)
            .await
            .map_err(CallError::Connect)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| CallError::Connect(io::Error::other(error)))?;
        let driver = spawn_local(async move {
            if let Err(error) = driver.await {
                debug!(address:%, error:%; "a connection ended");
            }
        });
        Ok(Self {
            sender,
            _driver: TaskGuard::new(driver),
        })
    }

    /// Returns whether another request can be sent.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Returns whether the other side closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have reached the other side.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        if self.sender.ready().await.is_err() {
            return Err(CallError::Unsent);
        }
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(_) => CallError::Unsent,
                None => CallError::Broken(error.into_error()),
            })
    }
}
