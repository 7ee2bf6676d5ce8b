//! The stages of one request: which pieces can be made now, and which results are still needed.
//!
//! A stage is ready when all pieces of the stages it comes after are made. Results that a target
//! lost are made again. A result is released once every piece that needs it has read it; results
//! that no stage needs go to the target of the request itself.
//!
//! Targets have little space for results and keep them for seconds only. A stage with a short way
//! to the request therefore waits until the longest way is as short.

use serde::Deserialize;
use serde::Serialize;

use crate::serving::model::StageSpec;

/// How often a piece may fail before its request does.
const MAX_PIECE_FAILURES: u32 = 3;
/// How often lost results of a request are made again.
const MAX_RECOMPUTATIONS: u32 = 2;

/// Pieces of one stage that can be made now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyPieces {
    /// The position of the stage.
    pub stage: usize,
    /// The positions of the pieces.
    pub pieces: Vec<usize>,
    /// The results that each piece needs; empty for a stage that comes after none.
    pub inputs: Vec<String>,
}

/// Why a piece was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PieceFailure {
    /// The time of the request had passed at the piece's turn.
    Late,
    /// An input no longer exists.
    InputLost,
    /// The target has no space for the result.
    #[serde(rename = "NoRoom")]
    #[strum(serialize = "no_room")]
    NoSpace,
    /// The target failed.
    Failed,
}

/// What happened to a piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceProgress {
    /// The target has read the piece's inputs.
    InputsRead,
    /// The piece is made; this is its result.
    #[serde(rename = "Made")]
    Computed(String),
    /// The piece was not made.
    Failed(PieceFailure),
    /// The owner of the queue leaves and did not send the piece.
    Returned,
}

/// The request cannot be completed: {0}
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct StageGraphError(pub PieceFailure);

#[derive(Clone, Debug, Default)]
struct Piece {
    result: Option<String>,
    submitted: bool,
    inputs_read: bool,
    failures: u32,
}

#[derive(Clone, Debug)]
struct Stage {
    depends_on: Vec<usize>,
    pieces: Vec<Piece>,
    released: bool,
    /// The number of stages from this one to the request, itself included.
    length: usize,
}

/// The stages of one request.
#[derive(Clone, Debug)]
pub struct StageGraph {
    stages: Vec<Stage>,
    recomputations: u32,
}

impl StageGraph {
    /// Creates the graph of a request with the number of pieces of each stage.
    ///
    /// A stage without a number has no pieces.
    #[must_use]
    pub fn new(specs: &[StageSpec], pieces: &[usize]) -> Self {
        let stages = specs
            .iter()
            .enumerate()
            .map(|(index, spec)| Stage {
                depends_on: spec.depends_on.clone(),
                pieces: vec![Piece::default(); pieces.get(index).copied().unwrap_or(0)],
                released: false,
                length: length(specs, index),
            })
            .collect();
        Self {
            stages,
            recomputations: 0,
        }
    }

    /// Returns the pieces that can be made now and marks them as submitted.
    pub fn take_ready(&mut self) -> Vec<ReadyPieces> {
        let mut ready = Vec::new();
        let longest = (0..self.stages.len())
            .filter(|&index| !self.is_complete(index))
            .map(|index| self.stages[index].length)
            .max();
        for index in 0..self.stages.len() {
            if Some(self.stages[index].length) < longest {
                continue;
            }
            let waits = self.stages[index]
                .depends_on
                .iter()
                .any(|&before| !self.is_complete(before));
            if waits {
                continue;
            }
            let pieces: Vec<usize> = self.stages[index]
                .pieces
                .iter()
                .enumerate()
                .filter(|(_, piece)| piece.result.is_none() && !piece.submitted)
                .map(|(position, _)| position)
                .collect();
            if pieces.is_empty() {
                continue;
            }
            for &position in &pieces {
                self.stages[index].pieces[position].submitted = true;
            }
            ready.push(ReadyPieces {
                stage: index,
                pieces,
                inputs: self.results_of(&self.stages[index].depends_on),
            });
        }
        ready
    }

    /// Records the result of a piece.
    pub fn record_result(&mut self, stage: usize, piece: usize, result: String) {
        let piece = &mut self.stages[stage].pieces[piece];
        piece.submitted = false;
        piece.inputs_read = true;
        piece.result = Some(result);
    }

    /// Records that a target has read the inputs of a piece.
    pub fn record_inputs_read(&mut self, stage: usize, piece: usize) {
        self.stages[stage].pieces[piece].inputs_read = true;
    }

    /// Records that a piece was not sent; it can be submitted again.
    pub fn record_returned(&mut self, stage: usize, piece: usize) {
        self.stages[stage].pieces[piece].submitted = false;
    }

    /// Records that a piece was not made; it can be submitted again.
    ///
    /// # Errors
    ///
    /// Returns an error when the request cannot be completed any more.
    pub fn record_failure(
        &mut self,
        stage: usize,
        piece: usize,
        failure: PieceFailure,
    ) -> Result<(), StageGraphError> {
        let failed = &mut self.stages[stage].pieces[piece];
        failed.submitted = false;
        failed.inputs_read = false;
        failed.failures += 1;
        if failure == PieceFailure::Late || failed.failures >= MAX_PIECE_FAILURES {
            return Err(StageGraphError(failure));
        }
        let mut lost = self.stages[stage].depends_on.clone();
        if failure == PieceFailure::InputLost {
            // Other pieces of the stage may have found the loss before; one repair serves them all.
            lost.retain(|&before| self.is_complete(before));
        } else {
            lost.retain(|&before| self.stages[before].released);
        }
        if lost.is_empty() {
            return Ok(());
        }
        self.recompute(&lost)
    }

    /// Makes the results that the request itself needs again, since a target lost one of them.
    ///
    /// # Errors
    ///
    /// Returns an error when results were lost too often.
    pub fn recompute_final_results(&mut self) -> Result<(), StageGraphError> {
        let last = self.final_stages();
        self.recompute(&last)
    }

    /// Returns whether every piece is made.
    #[must_use]
    pub fn is_done(&self) -> bool {
        (0..self.stages.len()).all(|stage| self.is_complete(stage))
    }

    /// Returns the results of the stages that no other stage comes after.
    #[must_use]
    pub fn final_results(&self) -> Vec<String> {
        self.results_of(&self.final_stages())
    }

    /// Returns the results that no stage needs any more, each once, with the stage that made them.
    pub fn take_released(&mut self) -> Vec<(usize, String)> {
        let mut released = Vec::new();
        for index in 0..self.stages.len() {
            let mut consumers = self
                .stages
                .iter()
                .enumerate()
                .filter(|(_, stage)| stage.depends_on.contains(&index))
                .map(|(position, _)| position)
                .peekable();
            let needed = consumers.peek().is_none()
                || consumers.any(|consumer| !self.has_read_inputs(consumer));
            if !needed && !self.stages[index].released && self.is_complete(index) {
                self.stages[index].released = true;
                let results = self.results_of(&[index]).into_iter();
                released.extend(results.map(|result| (index, result)));
            }
        }
        released
    }

    /// Returns every result that was not released, with the stage that made it.
    #[must_use]
    pub fn unreleased(&self) -> Vec<(usize, String)> {
        let kept = (0..self.stages.len()).filter(|&index| !self.stages[index].released);
        kept.flat_map(|index| {
            let results = self.results_of(&[index]).into_iter();
            results.map(move |result| (index, result))
        })
        .collect()
    }

    fn is_complete(&self, stage: usize) -> bool {
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

    fn recompute(&mut self, stages: &[usize]) -> Result<(), StageGraphError> {
        self.recomputations += 1;
        if self.recomputations > MAX_RECOMPUTATIONS {
            return Err(StageGraphError(PieceFailure::InputLost));
        }
        // The inputs of a stage that is made again may have been released.
        let mut pending = stages.to_vec();
        while let Some(stage) = pending.pop() {
            for piece in &mut self.stages[stage].pieces {
                piece.result = None;
                piece.inputs_read = false;
            }
            self.stages[stage].released = false;
            for &before in &self.stages[stage].depends_on.clone() {
                if self.stages[before].released {
                    pending.push(before);
                }
            }
        }
        Ok(())
    }
}

/// Returns the number of stages from one to the request, itself included.
///
/// Stages come after earlier ones only, which bounds the depth.
fn length(specs: &[StageSpec], index: usize) -> usize {
    let next = specs
        .iter()
        .enumerate()
        .skip(index + 1)
        .filter(|(_, spec)| spec.depends_on.contains(&index))
        .map(|(position, _)| length(specs, position));
    1 + next.max().unwrap_or(0)
}
