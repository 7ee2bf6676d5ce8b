//! Progress of one request and its response on a connection.
//!
//! The HTTP library skips interim responses, however many there are, and does nothing else as long as
//! they arrive. So the connection fails when too many bytes arrive before a response head.
//!
//! A response without a length ends with its connection. A target that fails can end its side in
//! order and reset the connection just afterwards, for instance because it has not read the request.
//! So such an end counts only if the whole request was written, and if no reset follows a large one.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::observed_stream::StreamObserver;
use arbutus_coord::Millis;

/// Requests with smaller bodies arrive at once, so a target that closes the connection without having
/// read them resets it at once.
const MIN_LARGE_BODY_BYTES: u64 = 16 * 1024;
/// How long a reset may follow the end of the response to a request with a large body.
const RESET_DELAY_MS: Millis = Millis(50);
/// Value of [`Exchange::allowed_head_bytes`] while no head is expected.
const UNLIMITED: usize = usize::MAX;

/// The state of the latest request on a connection and of its response.
#[derive(Debug)]
pub struct Exchange {
    max_head_bytes: usize,
    /// Number of bytes that may still arrive before the response head is complete.
    allowed_head_bytes: Cell<usize>,
    /// Size of the body of the request.
    body_bytes: Cell<u64>,
    /// Number of bytes of the head and the body of the request that were written.
    written_bytes: Cell<u64>,
    is_written: Cell<bool>,
    /// Ends when no reset is expected any more after the end of the response.
    reset_delay: RefCell<Option<Pin<Box<Sleep>>>>,
}

impl Exchange {
    /// Creates the state of a connection without requests.
    #[must_use]
    pub fn new(max_head_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            max_head_bytes,
            allowed_head_bytes: Cell::new(max_head_bytes),
            body_bytes: Cell::new(0),
            written_bytes: Cell::new(0),
            is_written: Cell::new(true),
            reset_delay: RefCell::new(None),
        })
    }

    /// Begins a request with a body of this size, and limits the bytes of its response head.
    pub fn begin(&self, body_bytes: u64) {
        self.allowed_head_bytes.set(self.max_head_bytes);
        self.body_bytes.set(body_bytes);
        self.written_bytes.set(0);
        self.is_written.set(false);
    }

    /// Ends the limit: the response head is complete, and a body may follow.
    pub fn end_head(&self) {
        self.allowed_head_bytes.set(UNLIMITED);
    }

    fn poll_reset_delay(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut reset_delay = self.reset_delay.borrow_mut();
        let reset_delay =
            reset_delay.get_or_insert_with(|| Box::pin(sleep(RESET_DELAY_MS.to_duration())));
        reset_delay.as_mut().poll(cx)
    }
}

impl StreamObserver for Rc<Exchange> {
    fn check_read(&self) -> io::Result<()> {
        if self.allowed_head_bytes.get() > 0 {
            return Ok(());
        }
        let error = "the response has no head within the size limit";
        Err(io::Error::new(io::ErrorKind::InvalidData, error))
    }

    fn record_read(&self, bytes: usize) {
        let allowed_bytes = self.allowed_head_bytes.get();
        if allowed_bytes != UNLIMITED {
            self.allowed_head_bytes
                .set(allowed_bytes.saturating_sub(bytes));
        }
    }

    fn record_write(&self, bytes: usize) {
        self.written_bytes
            .set(self.written_bytes.get() + bytes as u64);
    }

    fn record_flush(&self) {
        // The head takes some of the bytes. It may be flushed before the body.
        if self.written_bytes.get() > self.body_bytes.get() {
            self.is_written.set(true);
        }
    }

    fn poll_end(&self, cx: &mut Context<'_>, stream: &TcpStream) -> Poll<io::Result<()>> {
        if !self.is_written.get() {
            let error = "the target ended the connection before it had the request";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionReset, error)));
        }
        let is_large = self.body_bytes.get() >= MIN_LARGE_BODY_BYTES;
        if is_large && self.poll_reset_delay(cx).is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(match stream.take_error() {
            Ok(None) => Ok(()),
            Ok(Some(error)) | Err(error) => Err(error),
        })
    }
}
