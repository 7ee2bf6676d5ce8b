//! Guards against pieces with wrong inputs, results that are never freed, and lost results that are
//! computed again without end.

use crate::support::stage;
use arbutus_policy::serving::stage_graph::PieceFailure;
use arbutus_policy::serving::stage_graph::ReadyPieces;
use arbutus_policy::serving::stage_graph::StageGraph;

fn ready(stage: usize, pieces: &[usize], inputs: &[&str]) -> ReadyPieces {
    ReadyPieces {
        stage,
        pieces: pieces.to_vec(),
        inputs: inputs.iter().map(ToString::to_string).collect(),
    }
}

fn chain() -> StageGraph {
    let specs = [stage("a", &[]), stage("b", &[0])];
    StageGraph::new(&specs, &[2, 1])
}

#[test]
fn a_piece_gets_all_results_of_the_stages_it_depends_on() {
    let mut graph = chain();
    assert_eq!(graph.take_ready(), [ready(0, &[0, 1], &[])]);
    graph.record_result(0, 1, "a1".to_owned());
    assert_eq!(graph.take_ready(), []);
    graph.record_result(0, 0, "a0".to_owned());
    assert_eq!(graph.take_ready(), [ready(1, &[0], &["a0", "a1"])]);
    graph.record_result(1, 0, "b0".to_owned());
    assert!(graph.is_complete());
    assert_eq!(graph.final_results(), ["b0"]);
}

#[test]
fn results_are_released_once_when_their_readers_have_read_them() {
    let mut graph = chain();
    graph.take_ready();
    graph.record_result(0, 0, "a0".to_owned());
    graph.record_result(0, 1, "a1".to_owned());
    graph.take_ready();
    assert_eq!(graph.take_released(), []);
    graph.record_inputs_read(1, 0);
    let released = [(0, "a0".to_owned()), (0, "a1".to_owned())];
    assert_eq!(graph.take_released(), released);
    assert_eq!(graph.take_released(), []);
    graph.record_result(1, 0, "b0".to_owned());
    assert_eq!(graph.unreleased(), [(1, "b0".to_owned())]);
}

#[test]
fn a_short_branch_waits_for_the_longest_one() {
    // The results of the short branch are large and would expire while the long one is computed.
    let specs = [stage("a", &[]), stage("a", &[]), stage("b", &[1])];
    let mut graph = StageGraph::new(&specs, &[1, 1, 1]);
    assert_eq!(graph.take_ready(), [ready(1, &[0], &[])]);
    graph.record_result(1, 0, "a1".to_owned());
    assert_eq!(
        graph.take_ready(),
        [ready(0, &[0], &[]), ready(2, &[0], &["a1"])]
    );
}

#[test]
fn a_stage_without_pieces_is_skipped() {
    let specs = [stage("a", &[]), stage("b", &[])];
    let mut graph = StageGraph::new(&specs, &[0, 1]);
    assert_eq!(graph.take_ready(), [ready(1, &[0], &[])]);
    graph.record_result(1, 0, "b0".to_owned());
    assert!(graph.is_complete());
    assert_eq!(graph.final_results(), ["b0"]);
}

#[test]
fn a_lost_input_is_computed_again_once_for_all_pieces() {
    let specs = [stage("a", &[]), stage("b", &[0])];
    let mut graph = StageGraph::new(&specs, &[1, 9]);
    graph.take_ready();
    graph.record_result(0, 0, "a0".to_owned());
    graph.take_ready();
    for piece in 0..9 {
        let failed = graph.record_failure(1, piece, PieceFailure::InputLost);
        assert_eq!(failed, Ok(()), "piece {piece}");
    }
    assert_eq!(graph.take_ready(), [ready(0, &[0], &[])]);
    graph.record_result(0, 0, "again".to_owned());
    let all: Vec<usize> = (0..9).collect();
    assert_eq!(graph.take_ready(), [ready(1, &all, &["again"])]);
}

#[test]
fn inputs_released_before_a_failure_are_computed_again() {
    let mut graph = chain();
    graph.take_ready();
    graph.record_result(0, 0, "a0".to_owned());
    graph.record_result(0, 1, "a1".to_owned());
    graph.take_ready();
    graph.record_inputs_read(1, 0);
    graph.take_released();
    assert_eq!(graph.record_failure(1, 0, PieceFailure::Failed), Ok(()));
    assert_eq!(graph.take_ready(), [ready(0, &[0, 1], &[])]);
}

#[test]
fn a_request_fails_after_too_many_failures_of_a_piece() {
    let mut graph = chain();
    for _ in 0..2 {
        graph.take_ready();
        assert_eq!(graph.record_failure(0, 0, PieceFailure::Failed), Ok(()));
    }
    assert!(graph.record_failure(0, 0, PieceFailure::Failed).is_err());
    assert!(chain().record_failure(0, 0, PieceFailure::Late).is_err());
}

#[test]
fn returned_pieces_are_submitted_again_without_counting_as_failed() {
    let mut graph = chain();
    for _ in 0..10 {
        assert_eq!(graph.take_ready(), [ready(0, &[0, 1], &[])]);
        graph.record_returned(0, 0);
        graph.record_returned(0, 1);
    }
}
