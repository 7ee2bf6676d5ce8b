//! Streams of events from a target to a client.
//!
//! Events are passed on as they arrive. When a target breaks off, a stream that may be resumed is
//! continued at another target after the last whole event; the client sees one answer with the
//! head of the first target. The answer ends as complete only when a target ended it so.

use std::io;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Sender;
use tokio::task::spawn_local;

use crate::answer::ClientBody;
use crate::answer::respond;
use crate::connection::TaskGuard;
use crate::dispatch;
use crate::dispatch::Answered;
use crate::frontend::ServedGuard;
use crate::request::RequestContext;
use crate::stages::RequestStages;
use arbutus_coord::Millis;
use arbutus_platform::answer::client_headers;
use arbutus_policy::serving::event_splitter::EventSplitter;
use arbutus_policy::serving::target_selection::TargetOutcome;

/// The events that wait for a client; beyond it the target waits for the client.
const QUEUED_EVENTS: usize = 4;

/// Answers a client with the stream of a target.
#[must_use]
pub fn answer(
    mut context: RequestContext,
    stages: RequestStages,
    answered: Answered,
    served: ServedGuard,
) -> Response<ClientBody> {
    let status = answered.response.status();
    let headers = client_headers(answered.response.headers());
    context.record.status = status.as_u16();
    let (sender, receiver) = mpsc::channel(QUEUED_EVENTS);
    let pump = spawn_local(async move {
        let mut relay = Relay {
            splitter: EventSplitter::new(context.client.last_event),
            context,
            stages,
            sender,
        };
        relay.run(answered).await;
    });
    let body = ClientBody::events(receiver, TaskGuard::new(pump), served);
    respond(status, headers, body)
}

struct Relay {
    context: RequestContext,
    stages: RequestStages,
    splitter: EventSplitter,
    sender: Sender<io::Result<Bytes>>,
}

/// How the stream of one target ended.
enum SourceEnd {
    Complete,
    Broken(String),
    ClientLeft,
    OutOfTime,
}

impl Relay {
    async fn run(&mut self, first: Answered) {
        let mut answered = first;
        loop {
            let target = answered.call.target().id.clone();
            let reason = match self.pass_on(answered).await {
                SourceEnd::Complete => {
                    self.context.record.outcome = "answered";
                    return;
                }
                SourceEnd::ClientLeft => return,
                SourceEnd::OutOfTime => {
                    self.break_off("the time was over in the middle of the stream")
                        .await;
                    return;
                }
                SourceEnd::Broken(reason) => reason,
            };
            info!(
                request = self.context.client.id.as_str(), target_id = target.as_str(),
                reason = reason.as_str(), events = self.splitter.event_count(),
                runs = self.context.runs,
                resumable = self.context.route.resumable;
                "a stream broke off"
            );
            if !self.context.route.resumable || self.context.runs >= self.context.route.max_attempts
            {
                self.break_off(&reason).await;
                return;
            }
            answered = match self.resume().await {
                Ok(answered) => answered,
                Err(reason) => {
                    self.break_off(&reason).await;
                    return;
                }
            };
        }
    }

    /// Continues the stream at another target.
    async fn resume(&mut self) -> Result<Answered, String> {
        self.splitter.switch_source();
        let complete = self.stages.complete(&self.context).await;
        complete.map_err(|given_up| format!("not resumed: {given_up:?}"))?;
        let last_event = Some(self.splitter.last_id().unwrap_or(0));
        let answered = dispatch::send(&mut self.context, &mut self.stages, last_event)
            .await
            .map_err(|given_up| format!("not resumed: {given_up:?}"))?;
        if !answered.is_success {
            let status = answered.response.status();
            answered.call.close(TargetOutcome::Failed);
            return Err(format!("not resumed: a target answered {status}"));
        }
        Ok(answered)
    }

    async fn pass_on(&mut self, answered: Answered) -> SourceEnd {
        let Answered { call, response, .. } = answered;
        let (head, mut body) = response.into_parts();
        loop {
            let remaining_ms = self.context.remaining_ms();
            if remaining_ms == Millis::ZERO {
                call.close(TargetOutcome::Abandoned);
                return SourceEnd::OutOfTime;
            }
            let frame = tokio::select! {
                frame = self.context.within(body.frame()) => frame,
                () = self.sender.closed() => {
                    call.close(TargetOutcome::Abandoned);
                    return SourceEnd::ClientLeft;
                }
            };
            let data = match frame {
                None => {
                    call.close(TargetOutcome::Broken);
                    return SourceEnd::OutOfTime;
                }
                Some(None) if self.splitter.at_boundary() => {
                    call.keep(TargetOutcome::Responded, &head.headers);
                    return SourceEnd::Complete;
                }
                Some(None) => {
                    call.close(TargetOutcome::Broken);
                    return SourceEnd::Broken("ended within an event".to_owned());
                }
                Some(Some(Err(error))) => {
                    call.close(TargetOutcome::Broken);
                    return SourceEnd::Broken(error.to_string());
                }
                Some(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    // Trailers carry nothing for a client.
                    Err(_trailers) => continue,
                },
            };
            match self.splitter.push(&data) {
                Ok(Some(events)) => {
                    self.record_events();
                    if self.sender.send(Ok(events)).await.is_err() {
                        call.close(TargetOutcome::Abandoned);
                        return SourceEnd::ClientLeft;
                    }
                }
                Ok(None) => {}
                Err(fault) => {
                    call.close(TargetOutcome::Broken);
                    return SourceEnd::Broken(fault.to_string());
                }
            }
        }
    }

    fn record_events(&mut self) {
        self.context.record.events = self.splitter.event_count();
        // The engine has read the results before its first event, also after a resumption.
        self.stages.free_all();
        if self.context.record.first_ms.is_none() {
            let took_ms = self.context.shared.now() - self.context.arrived;
            self.context.record.first_ms = Some(took_ms);
        }
    }

    /// Ends the client's connection, so that the answer does not look complete.
    async fn break_off(&mut self, reason: &str) {
        self.context.record.outcome = "broken_off";
        reason.clone_into(&mut self.context.record.reason);
        let error = io::Error::other(reason.to_owned());
        // A client that has left needs no sign that its answer is not complete.
        let _left = self.sender.send(Err(error)).await;
    }
}
