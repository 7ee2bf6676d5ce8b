//! Bodies of the responses of targets.

use std::io;
use std::ops::Range;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::time::sleep;

use crate::simulated_platform::target::Target;

/// Delay before each event of a stream.
pub(super) const EVENT_DELAY: Duration = Duration::from_millis(15);

/// Records that the response to an executed request was written completely.
#[derive(Debug)]
pub(super) struct ResponseCompletion {
    pub(super) target: Arc<Target>,
    /// Index in the executed requests of the target.
    pub(super) index: usize,
}

/// Body of a response: fixed content or a sequence of events.
#[derive(Debug)]
pub(super) struct TargetBody {
    content: Option<Bytes>,
    /// Whether the connection breaks after the content.
    pub(super) is_truncated: bool,
    /// Identifiers of the events to send; `None` if the body is not a sequence of events.
    events: Option<Range<u64>>,
    /// The event of which half is sent before the connection breaks.
    aborted_event: Option<u64>,
    /// The event instead of which the target crashes.
    pub(super) crash_event: Option<u64>,
    pub(super) event_delay: Duration,
    /// Whether the body consists of single bytes of an event that does not end.
    pub(super) drips: bool,
    delay: Option<Pin<Box<tokio::time::Sleep>>>,
    pub(super) completion: Option<ResponseCompletion>,
}

impl TargetBody {
    pub(super) fn empty() -> Self {
        Self {
            content: None,
            is_truncated: false,
            events: None,
            aborted_event: None,
            crash_event: None,
            event_delay: EVENT_DELAY,
            drips: false,
            delay: None,
            completion: None,
        }
    }

    pub(super) fn with_content(content: &[u8]) -> Self {
        Self {
            content: Some(Bytes::copy_from_slice(content)),
            ..Self::empty()
        }
    }

    pub(super) fn events(
        events: Range<u64>,
        aborted_event: Option<u64>,
        completion: ResponseCompletion,
    ) -> Self {
        Self {
            events: Some(events),
            aborted_event,
            completion: Some(completion),
            ..Self::empty()
        }
    }

    fn record_completion(&self) {
        if let Some(completion) = &self.completion {
            completion.target.record_completion(completion.index);
        }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(content) = self.content.take() {
            return Poll::Ready(Some(Ok(Frame::data(content))));
        }
        if self.is_truncated {
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into())));
        }
        let Some(events) = self.events.clone().filter(|events| !events.is_empty()) else {
            self.record_completion();
            return Poll::Ready(None);
        };
        let event = events.start;
        let event_delay = self.event_delay;
        let delay = self
            .delay
            .get_or_insert_with(|| Box::pin(sleep(event_delay)));
        if delay.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.delay = None;
        if self.drips {
            return Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"x")))));
        }
        // The response head was written during the delay.
        if self.crash_event == Some(event) {
            if let Some(completion) = &self.completion {
                completion.target.crash();
            }
            // The connection breaks with all others of the target.
            return Poll::Pending;
        }
        // Half of the aborted event has been sent.
        if self.aborted_event.is_some_and(|aborted| event > aborted) {
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionReset.into())));
        }
        self.events = Some(event + 1..events.end);
        let content = format!("id: {event}\ndata: token {event}\n\n");
        let is_aborted = self.aborted_event == Some(event);
        let end = if is_aborted {
            content.len() / 2
        } else {
            content.len()
        };
        Poll::Ready(Some(Ok(Frame::data(Bytes::copy_from_slice(
            &content.as_bytes()[..end],
        )))))
    }
}
