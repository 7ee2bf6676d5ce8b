//! Streamed responses.
//!
//! Events are forwarded to the client as they arrive. If the target's response is cut off, a
//! resumable stream is continued at another target after the last complete event. The client sees a
//! single response with the head from the first target. The client's response ends normally only if
//! a target completed the stream.

use std::io;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Sender;
use tokio::task::spawn_local;

use crate::connection;
use crate::connection::AbortOnDrop;
use crate::crashes;
use crate::crashes::ConnectionEnd;
use crate::dispatch;
use crate::dispatch::SendKind;
use crate::dispatch::TargetResponse;
use crate::frontend::InProgressGuard;
use crate::request::RequestContext;
use crate::response::ClientBody;
use crate::response::build_response;
use crate::stages::RequestStages;
use crate::target_attempt::TargetAttempt;
use crate::target_reports;
use arbutus_coord::Millis;
use arbutus_platform::response::headers_for_client;
use arbutus_policy::serving::event_splitter::EventSplitter;
use arbutus_policy::serving::target_selection::TargetOutcome;

/// Number of events buffered for a client; reading from the target pauses when the buffer is full.
const MAX_BUFFERED_EVENTS: usize = 4;

/// Responds to the client with the stream of a target.
#[must_use]
pub fn respond(
    mut context: RequestContext,
    stages: RequestStages,
    target_response: TargetResponse,
    guard: InProgressGuard,
) -> Response<ClientBody> {
    let status = target_response.http_response.status();
    let headers = headers_for_client(target_response.http_response.headers());
    context.record.status = status.as_u16();
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let relay_task = spawn_local(async move {
        let mut relay = Relay {
            splitter: EventSplitter::new(context.client.last_event_id),
            context,
            stages,
            sender,
        };
        relay.run(target_response).await;
    });
    let body = ClientBody::events(receiver, AbortOnDrop::new(relay_task), guard);
    build_response(status, headers, body)
}

struct Relay {
    context: RequestContext,
    stages: RequestStages,
    splitter: EventSplitter,
    sender: Sender<io::Result<Bytes>>,
}

/// How the stream from one target ended.
enum RelayOutcome {
    Complete,
    Interrupted(String),
    ClientDisconnected,
    /// The deadline of the request or of the shutdown passed.
    DeadlineExceeded,
}

impl Relay {
    async fn run(&mut self, first_response: TargetResponse) {
        let mut target_response = first_response;
        loop {
            let target = target_response.attempt.target().id.clone();
            let reason = match self.relay_response(target_response).await {
                RelayOutcome::Complete => {
                    self.context.record.outcome = "answered";
                    return;
                }
                RelayOutcome::ClientDisconnected => return,
                RelayOutcome::DeadlineExceeded => {
                    self.abort("the deadline passed before the stream ended")
                        .await;
                    return;
                }
                RelayOutcome::Interrupted(reason) => reason,
            };
            info!(
                request = self.context.client.id.as_str(), target_id = target.as_str(),
                reason = reason.as_str(), events = self.splitter.event_count(), runs = self.context.possible_executions,
                resumable = self.context.route.resumable, parts = self.context.shared_part_ids();
                "stream from the target was cut off"
            );
            if !self.context.route.resumable
                || self.context.possible_executions >= self.context.route.max_attempts
            {
                self.abort(&reason).await;
                return;
            }
            target_response = match self.resume().await {
                Ok(target_response) => target_response,
                Err(reason) => {
                    self.abort(&reason).await;
                    return;
                }
            };
        }
    }

    /// Resumes the stream at another target.
    async fn resume(&mut self) -> Result<TargetResponse, String> {
        self.splitter.switch_source();
        let computed = self.stages.compute_missing(&self.context).await;
        computed.map_err(|error| format!("cannot resume the stream: {error:?}"))?;
        let kind = SendKind::Resumption {
            last_event_id: self.splitter.last_id(),
        };
        let target_response = dispatch::send(&mut self.context, &mut self.stages, kind)
            .await
            .map_err(|error| format!("cannot resume the stream: {error:?}"))?;
        if !target_response.is_success {
            let status = target_response.http_response.status();
            target_response.attempt.close(TargetOutcome::Failed);
            return Err(format!(
                "cannot resume the stream: the target responded with status {status}"
            ));
        }
        Ok(target_response)
    }

    async fn relay_response(&mut self, target_response: TargetResponse) -> RelayOutcome {
        let TargetResponse {
            attempt,
            http_response,
            ..
        } = target_response;
        let (head, mut body) = http_response.into_parts();
        let ends_with_connection = connection::ends_with_connection(&head.headers, &body);
        let mut has_begun = false;
        loop {
            let remaining_ms = self.context.remaining_ms();
            if remaining_ms == Millis::ZERO {
                attempt.close(TargetOutcome::Abandoned);
                return RelayOutcome::DeadlineExceeded;
            }
            let frame = tokio::select! {
                frame = self.context.before_deadline(body.frame()) => frame,
                () = self.sender.closed() => {
                    attempt.close(TargetOutcome::Abandoned);
                    return RelayOutcome::ClientDisconnected;
                }
            };
            let data = match frame {
                None => {
                    attempt.close(TargetOutcome::Broken);
                    return RelayOutcome::DeadlineExceeded;
                }
                Some(None)
                    if self.splitter.is_at_event_boundary()
                        && (has_begun || !ends_with_connection) =>
                {
                    // A crash can end a stream without a length anywhere, so that proves no success.
                    if !ends_with_connection {
                        crashes::record_complete_response(&self.context);
                    }
                    attempt.release(TargetOutcome::Responded, &head.headers);
                    return RelayOutcome::Complete;
                }
                Some(None) => {
                    let reason = "the stream ended within an event or before its first one";
                    return self.interrupt(attempt, reason.to_owned(), has_begun);
                }
                Some(Some(Err(error))) => {
                    return self.interrupt(attempt, error.to_string(), has_begun);
                }
                Some(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    // Trailers are not forwarded.
                    Err(_trailers) => continue,
                },
            };
            let mut pushed = self.splitter.push(&data);
            while let Ok(Some(events)) = pushed {
                if !has_begun {
                    has_begun = true;
                    crashes::clear_prompt(&self.context);
                    target_reports::record_first_event(&self.context, &attempt);
                }
                self.record_events();
                if self.sender.send(Ok(events)).await.is_err() {
                    attempt.close(TargetOutcome::Abandoned);
                    return RelayOutcome::ClientDisconnected;
                }
                // What ends the source may have arrived with the events.
                pushed = self.splitter.push(&[]);
            }
            if let Err(error) = pushed {
                attempt.close(TargetOutcome::Broken);
                return RelayOutcome::Interrupted(error.to_string());
            }
        }
    }

    /// Ends an attempt whose stream is incomplete. `has_begun` tells whether it had an event.
    fn interrupt(&self, attempt: TargetAttempt, reason: String, has_begun: bool) -> RelayOutcome {
        let connection_end = if has_begun {
            ConnectionEnd::WithinResponse
        } else {
            ConnectionEnd::BeforeResponse
        };
        crashes::record_crash(&self.context, attempt.target(), &reason, connection_end);
        attempt.close(TargetOutcome::Broken);
        RelayOutcome::Interrupted(reason)
    }

    fn record_events(&mut self) {
        self.context.record.events = self.splitter.event_count();
        // The engine reads the stage results before it sends an event, also when a stream is
        // resumed, so they are no longer needed.
        self.stages.free_results();
        if self.context.record.first_event_ms.is_none() {
            let took_ms = self.context.shared.now() - self.context.arrived_at;
            self.context.record.first_event_ms = Some(took_ms);
            let after_stages_ms = took_ms - self.context.record.stages_ms.unwrap_or_default();
            let mut forecast = self.context.shared.first_event_forecast.borrow_mut();
            let tokens = self.context.prompt_tokens();
            forecast.record(&self.context.service, tokens, after_stages_ms);
        }
    }

    /// Aborts the client's connection, so that the response does not look complete.
    async fn abort(&mut self, reason: &str) {
        self.context.record.outcome = "broken_off";
        reason.clone_into(&mut self.context.record.reason);
        let error = io::Error::other(reason.to_owned());
        // Fails only if the client has disconnected and needs no error.
        let _disconnected = self.sender.send(Err(error)).await;
    }
}
