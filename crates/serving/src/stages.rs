//! Execution of the stages of a request.
//!
//! Stages are preprocessing steps on stage services. Each consists of pieces, the results of which
//! later stages or the request itself need as inputs.

use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::dispatch::DispatchError;
use crate::peer_messages::SubmitMessage;
use crate::request::RequestContext;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::stage_client::SubmissionHandle;
use crate::stage_client::piece_source;
use crate::target_choice;
use crate::target_choice::CLOSED_SERVICE_RETRY_AFTER_MS;
use arbutus_coord::Millis;
use arbutus_platform::stage;
use arbutus_policy::serving::admission;
use arbutus_policy::serving::admission::Admission;
use arbutus_policy::serving::admission::Forecast;
use arbutus_policy::serving::placement;
use arbutus_policy::serving::placement::StageTraffic;
use arbutus_policy::serving::stage_graph::PieceFailure;
use arbutus_policy::serving::stage_graph::PieceProgress;
use arbutus_policy::serving::stage_graph::ReadyPieces;
use arbutus_policy::serving::stage_graph::StageGraph;

/// Percentage of the time between arrival and deadline after which a request fails if its stages
/// are not complete. The target needs the remaining time to generate the response; after a failure,
/// the client can use it to retry.
const STAGE_TIME_PERCENT: u64 = 60;
/// Assumed fill level of a batch, used to estimate the duration of later stages.
const TYPICAL_BATCH_FILL: f64 = 0.6;

/// The stages of a request; dropping them cancels their pieces and frees their results.
#[derive(Debug)]
pub struct RequestStages {
    shared: Rc<Shared>,
    client: Rc<StageClient>,
    graph: StageGraph,
    services: Vec<String>,
    /// The failure domain in which the request needs the results.
    failure_domain: String,
    objective_deadline: Millis,
    results_freed: bool,
    /// Whether the stages are recomputed to resume a stream. Such a request may exceed the time for
    /// its stages and its latency objective, because the client already has part of the stream.
    is_resumed: bool,
}

impl RequestStages {
    /// Creates the stages of a request without submitting any pieces.
    #[must_use]
    pub fn new(context: &RequestContext, client: &Rc<StageClient>) -> Self {
        let stages = &context.route.stages;
        Self {
            shared: Rc::clone(&context.shared),
            client: Rc::clone(client),
            graph: StageGraph::new(stages, &context.client.piece_counts),
            services: stages.iter().map(|stage| stage.service.clone()).collect(),
            failure_domain: if stages.is_empty() {
                String::new()
            } else {
                target_choice::expected_failure_domain(context)
            },
            objective_deadline: context.objective_deadline(),
            results_freed: false,
            is_resumed: false,
        }
    }

    /// Returns the handles of the results that the request itself needs as inputs.
    #[must_use]
    pub fn results(&self) -> Vec<String> {
        self.graph.final_results()
    }

    /// Computes all missing results.
    ///
    /// # Errors
    ///
    /// Returns an error when a result cannot be computed in time.
    pub async fn compute_missing(&mut self, context: &RequestContext) -> Result<(), DispatchError> {
        if self.results_freed {
            self.results_freed = false;
            self.is_resumed = true;
            self.discard_results()?;
        }
        // All submissions forward their progress, with the index of their stage, to this channel.
        let (sender, mut updates) = mpsc::unbounded_channel();
        let mut submissions: Vec<ForwardedSubmission> = Vec::new();
        loop {
            for ready in self.graph.take_ready() {
                let submit_message = self.submit_message(context, &ready);
                let submission = self.client.submit(submit_message);
                submissions.push(forward_progress(ready.stage, submission, sender.clone()));
            }
            if self.graph.is_complete() {
                return Ok(());
            }
            let timeout_ms = self.remaining_stage_ms(context);
            let progress_future = timeout(timeout_ms.to_duration(), updates.recv());
            let Some(Ok(Some((stage, piece, progress)))) =
                context.before_deadline(progress_future).await
            else {
                return Err(not_computed("the stages did not complete in time"));
            };
            self.handle_progress(stage, piece, progress)?;
            // Pieces that are returned together are resubmitted together.
            while let Ok((stage, piece, progress)) = updates.try_recv() {
                self.handle_progress(stage, piece, progress)?;
            }
            let released = self.graph.take_released();
            self.free_handles(released);
        }
    }

    /// Returns how much longer the request may wait for its stages.
    fn remaining_stage_ms(&self, context: &RequestContext) -> Millis {
        if self.is_resumed {
            return context.remaining_ms();
        }
        let total_ms = context.deadline - context.arrived_at;
        let stage_deadline = context.arrived_at + total_ms.percent(STAGE_TIME_PERCENT);
        stage_deadline - self.shared.now()
    }

    /// Discards the results that the request itself needs, so that they are recomputed.
    ///
    /// # Errors
    ///
    /// Returns an error when results were lost too often.
    pub fn discard_results(&mut self) -> Result<(), DispatchError> {
        self.graph
            .discard_final_results()
            .map_err(|failure| not_computed(&failure.to_string()))
    }

    /// Frees all results, because the request has read them or is abandoned.
    pub fn free_results(&mut self) {
        if !self.results_freed && !self.services.is_empty() {
            self.results_freed = true;
            let results = self.graph.unreleased();
            self.free_handles(results);
        }
    }

    fn handle_progress(
        &mut self,
        stage: usize,
        piece: usize,
        progress: PieceProgress,
    ) -> Result<(), DispatchError> {
        match progress {
            PieceProgress::InputsRead => self.graph.record_inputs_read(stage, piece),
            PieceProgress::Computed(result) => self.graph.record_result(stage, piece, result),
            PieceProgress::Returned => self.graph.record_returned(stage, piece),
            PieceProgress::Failed(failure) => {
                // Recomputing results for a request that is late already would make other requests
                // late.
                if failure == PieceFailure::InputLost
                    && !self.is_resumed
                    && self.shared.now() > self.objective_deadline
                {
                    return Err(not_computed(
                        "a stage input was lost after the request missed its latency objective",
                    ));
                }
                let result = self.graph.record_failure(stage, piece, failure);
                return result.map_err(|failure| not_computed(&failure.to_string()));
            }
        }
        Ok(())
    }

    /// Frees results through the owners of the queues that produced them.
    fn free_handles(&self, results: Vec<(usize, String)>) {
        let mut by_service: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for (stage, result) in results {
            let service = self.services[stage].as_str();
            by_service.entry(service).or_default().push(result);
        }
        for (service, results) in by_service {
            self.client.free(service, results);
        }
    }

    fn submit_message(&self, context: &RequestContext, ready: &ReadyPieces) -> SubmitMessage {
        let stage = &context.route.stages[ready.stage];
        let now = self.shared.now();
        let key = context.client.piece_key.as_deref();
        let downstream_ms = self.downstream_ms(context, ready.stage);
        let failure_domain = self.stage_failure_domain(context, ready);
        SubmitMessage {
            number: 0,
            queue: self.client.queue_name(&stage.service, &failure_domain),
            request: context.client.id.clone(),
            stage: ready.stage as u32,
            pieces: ready.pieces.iter().map(|&piece| piece as u32).collect(),
            source: piece_source(ready.inputs.clone(), key, stage.depends_on.is_empty()),
            failure_domain,
            due_ms: context.objective_deadline() - downstream_ms - now,
            deadline_ms: context.deadline - now,
            priority: context.priority,
            result_bytes: stage.result_bytes,
        }
    }

    /// Returns the failure domain in which the pieces of a stage should be computed.
    fn stage_failure_domain(&self, context: &RequestContext, ready: &ReadyPieces) -> String {
        let spec = &context.route.stages[ready.stage];
        let sizes = spec.depends_on.iter().flat_map(|&dependency| {
            let pieces = context
                .client
                .piece_counts
                .get(dependency)
                .copied()
                .unwrap_or(0);
            std::iter::repeat_n(context.route.stages[dependency].result_bytes, pieces)
        });
        let directory = self.shared.directory.borrow();
        let inputs: Vec<(&str, u64)> = ready
            .inputs
            .iter()
            .zip(sizes)
            .filter_map(|(handle, bytes)| {
                let producer = directory.find_by_address(stage::producer_address(handle))?;
                Some((producer.entry.failure_domain.as_str(), bytes))
            })
            .collect();
        let traffic = StageTraffic {
            inputs: &inputs,
            pieces: ready.pieces.len() as u64,
            result_bytes: spec.result_bytes,
        };
        placement::select_domain(&traffic, &self.failure_domain).to_owned()
    }

    /// Returns the expected time from the end of a stage to the first event.
    fn downstream_ms(&self, context: &RequestContext, stage: usize) -> Millis {
        let mut downstream_ms = expected_first_event_ms(context);
        let mut previous = stage;
        for (index, next) in context.route.stages.iter().enumerate() {
            if next.depends_on.contains(&previous) {
                previous = index;
                downstream_ms = downstream_ms + self.typical_piece_ms(&next.service);
            }
        }
        downstream_ms
    }

    /// Returns how long a piece of a service takes without queueing.
    fn typical_piece_ms(&self, service: &str) -> Millis {
        let spec = self.shared.service(service);
        spec.and_then(|service| service.stage)
            .map_or(Millis::ZERO, |spec| {
                let pieces = spec.max_pieces_per_call as f64 * TYPICAL_BATCH_FILL;
                Millis((spec.call_overhead_ms + spec.ms_per_piece * pieces) as u64)
            })
    }

    fn backlog_ms(&self, service: &str) -> Millis {
        let queue = self.client.queue_name(service, &self.failure_domain);
        self.shared.backlog_ms(&queue)
    }

    /// Decides whether to admit the request, given the latency expected for it.
    #[must_use]
    pub fn decide_admission(&self, context: &RequestContext) -> Admission {
        let stages = &context.route.stages;
        let is_needed = |index: usize| {
            let pieces = context.client.piece_counts.get(index);
            pieces.is_some_and(|&pieces| pieces > 0)
        };
        let directory = self.shared.directory.borrow();
        let is_closed = stages
            .iter()
            .enumerate()
            .any(|(index, stage)| is_needed(index) && directory.is_closed(&stage.service));
        if is_closed {
            return Admission::Refuse {
                retry_after_ms: CLOSED_SERVICE_RETRY_AFTER_MS,
            };
        }
        // Total processing time and queueing time at the end of each stage, along the slowest path.
        let mut stage_ends: Vec<(Millis, Millis)> = Vec::with_capacity(stages.len());
        for (index, stage) in stages.iter().enumerate() {
            let dependency_ends = stage
                .depends_on
                .iter()
                .filter_map(|&dependency| stage_ends.get(dependency));
            let (processing_ms, queueing_ms) = dependency_ends.max().copied().unwrap_or_default();
            stage_ends.push(if is_needed(index) {
                (
                    processing_ms + self.typical_piece_ms(&stage.service),
                    queueing_ms + self.backlog_ms(&stage.service),
                )
            } else {
                (processing_ms, queueing_ms)
            });
        }
        let (processing_ms, queueing_ms) = stage_ends.into_iter().max().unwrap_or_default();
        admission::decide(&Forecast {
            unloaded_ms: processing_ms + expected_first_event_ms(context),
            queueing_ms,
            objective_ms: context.route.objective_ms,
            priority: context.route.priority,
        })
    }
}

/// Returns the error of a request whose stages cannot be computed.
fn not_computed(reason: &str) -> DispatchError {
    DispatchError::NotExecuted {
        reason: reason.to_owned(),
        retry_after_ms: None,
    }
}

/// Returns the expected time from the end of the stages to the first event.
fn expected_first_event_ms(context: &RequestContext) -> Millis {
    let forecast = context.shared.first_event_forecast.borrow();
    forecast.expected_ms(&context.service, context.prompt_tokens())
}

impl Drop for RequestStages {
    fn drop(&mut self) {
        self.free_results();
    }
}

type StageProgress = (usize, usize, PieceProgress);

/// A submission whose progress is forwarded; dropping it cancels the submission.
struct ForwardedSubmission {
    _task: crate::connection::AbortOnDrop,
}

fn forward_progress(
    stage: usize,
    mut submission: SubmissionHandle,
    sender: mpsc::UnboundedSender<StageProgress>,
) -> ForwardedSubmission {
    let task = tokio::task::spawn_local(async move {
        while let Some((piece, progress)) = submission.updates.recv().await {
            if sender.send((stage, piece as usize, progress)).is_err() {
                return;
            }
        }
    });
    ForwardedSubmission {
        _task: crate::connection::AbortOnDrop::new(task),
    }
}
