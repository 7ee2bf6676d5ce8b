//! TCP streams whose reads and writes are observed.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Observes the bytes of a stream.
pub trait StreamObserver: Unpin {
    /// Called before each read.
    ///
    /// # Errors
    ///
    /// Returns an error to fail the read.
    fn check_read(&self) -> io::Result<()> {
        Ok(())
    }

    /// Called with the number of bytes that were read, if there are any.
    fn record_read(&self, bytes: usize);

    /// Called with the number of bytes that were written, if there are any.
    fn record_write(&self, _bytes: usize) {}

    /// Called when all bytes that were to be written have been written.
    fn record_flush(&self) {}

    /// Called when the peer has ended its side of the connection, before a read returns that.
    ///
    /// # Errors
    ///
    /// Returns an error to fail the read, if the end does not show that the peer has sent all it
    /// wanted to send.
    fn poll_end(&self, _cx: &mut Context<'_>, _stream: &TcpStream) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Called when bytes cannot be written because the peer has not read earlier ones.
    fn record_blocked_write(&self) {}
}

/// A TCP stream with an observer.
#[derive(Debug)]
pub struct ObservedStream<O> {
    stream: TcpStream,
    observer: O,
}

impl<O: StreamObserver> ObservedStream<O> {
    /// Wraps a stream.
    #[must_use]
    pub const fn new(stream: TcpStream, observer: O) -> Self {
        Self { stream, observer }
    }

    fn observe_write(&self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(bytes)) if *bytes > 0 => self.observer.record_write(*bytes),
            Poll::Ready(_) => {}
            Poll::Pending => self.observer.record_blocked_write(),
        }
    }
}

impl<O: StreamObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.observer.check_read()?;
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - filled_before;
        if bytes > 0 {
            self.observer.record_read(bytes);
        }
        let has_ended = matches!(polled, Poll::Ready(Ok(()))) && bytes == 0 && buf.remaining() > 0;
        if has_ended {
            return self.observer.poll_end(cx, &self.stream);
        }
        polled
    }
}

impl<O: StreamObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.observe_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.observer.record_flush();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.observe_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
