//! The stages of one request: which pieces can be computed, and which results are still needed.
//!
//! A stage is ready when all pieces of the stages that it depends on are computed. Results that a
//! target lost are computed again. A result is released, so that its target can free it, once every
//! piece that needs it has read it. The results of final stages, on which no other stage depends,
//! are read by the target that executes the request.
//!
//! Targets have little space for results and keep them for seconds only. Of the branches of the
//! graph, the one with the longest chain of stages left is therefore computed first, and a shorter
//! one waits until both have the same number of stages left.

use serde::Deserialize;
use serde::Serialize;

use crate::serving::model::StageSpec;

/// Number of failures of one piece after which its request fails.
const MAX_PIECE_FAILURES: u32 = 3;
/// Number of times that lost results of a request are computed again before the request fails.
const MAX_RECOMPUTATIONS: u32 = 2;

/// Pieces of one stage that can be computed now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyPieces {
    /// Index of the stage.
    pub stage: usize,
    /// Indices of the pieces.
    pub pieces: Vec<usize>,
    /// Handles of the results that each piece reads; empty if the stage depends on no other.
    pub inputs: Vec<String>,
}

/// Why a piece was not computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PieceFailure {
    /// The deadline of the request passed before the piece was computed.
    Late,
    /// A result that the piece reads no longer exists.
    InputLost,
    /// The target has no space for the result.
    #[serde(rename = "NoRoom")]
    #[strum(serialize = "no_room")]
    NoSpace,
    /// The target failed, or the call to it broke.
    Failed,
}

/// Progress of a submitted piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceProgress {
    /// The target has read the inputs of the piece.
    InputsRead,
    /// The piece was computed; holds the handle of its result.
    #[serde(rename = "Made")]
    Computed(String),
    /// The piece was not computed.
    Failed(PieceFailure),
    /// The piece was removed from the queue without a result, because the instance no longer owns
    /// the queue or is shutting down.
    Returned,
}

/// the stages of the request cannot be completed: {0}
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct StageGraphError(pub PieceFailure);

#[derive(Clone, Debug, Default)]
struct Piece {
    result: Option<String>,
    is_submitted: bool,
    inputs_read: bool,
    failures: u32,
}

#[derive(Clone, Debug)]
struct Stage {
    depends_on: Vec<usize>,
    pieces: Vec<Piece>,
    is_released: bool,
    /// Number of stages on the longest chain from this one to a final one, both included.
    chain_length: usize,
}

/// The stages of one request, and which of their pieces are computed.
#[derive(Clone, Debug)]
pub struct StageGraph {
    stages: Vec<Stage>,
    recomputations: u32,
}

impl StageGraph {
    /// Creates the graph of a request; `pieces` holds the number of pieces of each stage.
    ///
    /// Stages beyond the end of `pieces` have no pieces.
    #[must_use]
    pub fn new(specs: &[StageSpec], pieces: &[usize]) -> Self {
        let stages = specs
            .iter()
            .enumerate()
            .map(|(index, spec)| Stage {
                depends_on: spec.depends_on.clone(),
                pieces: vec![Piece::default(); pieces.get(index).copied().unwrap_or(0)],
                is_released: false,
                chain_length: chain_length(specs, index),
            })
            .collect();
        Self {
            stages,
            recomputations: 0,
        }
    }

    /// Returns the pieces that can be computed now, and marks them as submitted.
    pub fn take_ready(&mut self) -> Vec<ReadyPieces> {
        let mut ready = Vec::new();
        let longest_chain = (0..self.stages.len())
            .filter(|&index| !self.is_stage_complete(index))
            .map(|index| self.stages[index].chain_length)
            .max();
        for index in 0..self.stages.len() {
            if Some(self.stages[index].chain_length) < longest_chain {
                continue;
            }
            let is_blocked = self.stages[index]
                .depends_on
                .iter()
                .any(|&dependency| !self.is_stage_complete(dependency));
            if is_blocked {
                continue;
            }
            let pieces: Vec<usize> = self.stages[index]
                .pieces
                .iter()
                .enumerate()
                .filter(|(_, piece)| piece.result.is_none() && !piece.is_submitted)
                .map(|(position, _)| position)
                .collect();
            if pieces.is_empty() {
                continue;
            }
            for &position in &pieces {
                self.stages[index].pieces[position].is_submitted = true;
            }
            ready.push(ReadyPieces {
                stage: index,
                pieces,
                inputs: self.results_of(&self.stages[index].depends_on),
            });
        }
        ready
    }

    /// Records the handle of the result of a piece.
    pub fn record_result(&mut self, stage: usize, piece: usize, result: String) {
        let piece = &mut self.stages[stage].pieces[piece];
        piece.is_submitted = false;
        piece.inputs_read = true;
        piece.result = Some(result);
    }

    /// Records that a target has read the inputs of a piece.
    pub fn record_inputs_read(&mut self, stage: usize, piece: usize) {
        self.stages[stage].pieces[piece].inputs_read = true;
    }

    /// Records that the owner of a queue returned a piece, so that it is submitted again.
    pub fn record_returned(&mut self, stage: usize, piece: usize) {
        self.stages[stage].pieces[piece].is_submitted = false;
    }

    /// Records that a piece was not computed, so that it is submitted again.
    ///
    /// # Errors
    ///
    /// Returns an error if the request failed, because its deadline passed or because of too many
    /// failures of this piece or too many lost results.
    pub fn record_failure(
        &mut self,
        stage: usize,
        piece: usize,
        failure: PieceFailure,
    ) -> Result<(), StageGraphError> {
        let failed = &mut self.stages[stage].pieces[piece];
        failed.is_submitted = false;
        failed.inputs_read = false;
        failed.failures += 1;
        if failure == PieceFailure::Late || failed.failures >= MAX_PIECE_FAILURES {
            return Err(StageGraphError(failure));
        }
        let mut to_recompute = self.stages[stage].depends_on.clone();
        if failure == PieceFailure::InputLost {
            // Another piece of the stage may have reported the loss already. The results are then
            // being computed again, which is enough for all pieces.
            to_recompute.retain(|&dependency| self.is_stage_complete(dependency));
        } else {
            to_recompute.retain(|&dependency| self.stages[dependency].is_released);
        }
        if to_recompute.is_empty() {
            return Ok(());
        }
        self.discard_results(&to_recompute)
    }

    /// Discards the results of the final stages, since a target lost one of them, so that they are
    /// computed again.
    ///
    /// # Errors
    ///
    /// Returns an error if results were lost too often.
    pub fn discard_final_results(&mut self) -> Result<(), StageGraphError> {
        let final_stages = self.final_stages();
        self.discard_results(&final_stages)
    }

    /// Returns whether all pieces of all stages are computed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        (0..self.stages.len()).all(|stage| self.is_stage_complete(stage))
    }

    /// Returns the handles of the results of all final stages.
    #[must_use]
    pub fn final_results(&self) -> Vec<String> {
        self.results_of(&self.final_stages())
    }

    /// Returns the results that no stage needs any more, with the index of the stage that they
    /// belong to. Each result is returned once, unless it is computed again.
    pub fn take_released(&mut self) -> Vec<(usize, String)> {
        let mut released = Vec::new();
        for index in 0..self.stages.len() {
            let mut readers = self
                .stages
                .iter()
                .enumerate()
                .filter(|(_, stage)| stage.depends_on.contains(&index))
                .map(|(position, _)| position)
                .peekable();
            let needed =
                readers.peek().is_none() || readers.any(|reader| !self.has_read_inputs(reader));
            if !needed && !self.stages[index].is_released && self.is_stage_complete(index) {
                self.stages[index].is_released = true;
                let results = self.results_of(&[index]).into_iter();
                released.extend(results.map(|result| (index, result)));
            }
        }
        released
    }

    /// Returns all results that were not released, with the index of the stage that they belong to.
    #[must_use]
    pub fn unreleased(&self) -> Vec<(usize, String)> {
        let unreleased = (0..self.stages.len()).filter(|&index| !self.stages[index].is_released);
        unreleased
            .flat_map(|index| {
                let results = self.results_of(&[index]).into_iter();
                results.map(move |result| (index, result))
            })
            .collect()
    }

    fn is_stage_complete(&self, stage: usize) -> bool {
        self.stages[stage]
            .pieces
            .iter()
            .all(|piece| piece.result.is_some())
    }

    fn has_read_inputs(&self, stage: usize) -> bool {
        self.stages[stage]
            .pieces
            .iter()
            .all(|piece| piece.inputs_read)
    }

    fn results_of(&self, stages: &[usize]) -> Vec<String> {
        stages
            .iter()
            .flat_map(|&stage| self.stages[stage].pieces.iter())
            .filter_map(|piece| piece.result.clone())
            .collect()
    }

    fn final_stages(&self) -> Vec<usize> {
        (0..self.stages.len())
            .filter(|index| {
                !self
                    .stages
                    .iter()
                    .any(|stage| stage.depends_on.contains(index))
            })
            .collect()
    }

    fn discard_results(&mut self, stages: &[usize]) -> Result<(), StageGraphError> {
        self.recomputations += 1;
        if self.recomputations > MAX_RECOMPUTATIONS {
            return Err(StageGraphError(PieceFailure::InputLost));
        }
        // Released inputs of a stage that is computed again have to be computed again too.
        let mut to_discard = stages.to_vec();
        while let Some(stage) = to_discard.pop() {
            for piece in &mut self.stages[stage].pieces {
                piece.result = None;
                piece.inputs_read = false;
            }
            self.stages[stage].is_released = false;
            for &dependency in &self.stages[stage].depends_on.clone() {
                if self.stages[dependency].is_released {
                    to_discard.push(dependency);
                }
            }
        }
        Ok(())
    }
}

/// Returns the number of stages on the longest chain from a stage to a final one, both included.
///
/// The recursion ends because a stage depends only on stages with a smaller index.
fn chain_length(specs: &[StageSpec], index: usize) -> usize {
    let dependent_lengths = specs
        .iter()
        .enumerate()
        .skip(index + 1)
        .filter(|(_, spec)| spec.depends_on.contains(&index))
        .map(|(position, _)| chain_length(specs, position));
    1 + dependent_lengths.max().unwrap_or(0)
}
