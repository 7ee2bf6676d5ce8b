//! Guards against calls with few pieces. Most of the duration of a call does not depend on the
//! number of its pieces, so the targets could not compute the pieces of all requests in time.

use crate::support::target;
use arbutus_coord::Millis;
use arbutus_policy::serving::batch::BatchQueue;
use arbutus_policy::serving::batch::Call;
use arbutus_policy::serving::batch::CallOutcome;
use arbutus_policy::serving::batch::PieceReport;
use arbutus_policy::serving::batch::PieceSource;
use arbutus_policy::serving::batch::Submission;
use arbutus_policy::serving::batch::SubmissionId;
use arbutus_policy::serving::model::StageServiceSpec;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::stage_graph::PieceFailure;
use arbutus_policy::serving::stage_graph::PieceProgress;

const SPEC: StageServiceSpec = StageServiceSpec {
    slots: 1,
    max_pieces_per_call: 8,
    call_overhead_ms: 240.0,
    ms_per_piece: 26.0,
    result_space_bytes: 1_000,
    result_retention_ms: Millis(4_000),
};
/// A time at which calls of a previous owner are no longer possible.
const AFTER_CONTENTION: Millis = Millis(20_000);

fn queue(targets: &[TargetEntry]) -> BatchQueue {
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets(targets.iter());
    queue
}

fn submission(number: u64, pieces: u32, due: Millis) -> Submission {
    Submission {
        id: SubmissionId {
            submitter: 0,
            number,
        },
        request: format!("r{number}"),
        stage: 0,
        pieces: (0..pieces).collect(),
        source: PieceSource::Inputs(vec!["input".to_owned()]),
        failure_domain: "x".to_owned(),
        due,
        deadline: due + Millis(10_000),
        priority: 0,
        result_bytes: 10,
    }
}

fn requests(call: &Call) -> Vec<&str> {
    call.pieces
        .iter()
        .map(|piece| piece.request.as_str())
        .collect()
}

fn all_computed(call: &Call) -> CallOutcome {
    let results = call
        .pieces
        .iter()
        .map(|piece| Ok(format!("h{}", piece.key)));
    CallOutcome::Responded(results.collect())
}

#[test]
fn pieces_queued_during_a_call_share_the_next_call() {
    let mut queue = queue(&[target("a", "s", "x")]);
    queue.submit(Millis(0), &submission(0, 1, Millis(900)));
    let first = queue.start_calls(Millis(0));
    assert_eq!(first.len(), 1);
    for number in 1..5 {
        queue.submit(Millis(10), &submission(number, 2, Millis(900)));
    }
    assert_eq!(queue.start_calls(Millis(20)), []);
    queue.record_call_end(Millis(266), "a", all_computed(&first[0]));
    let second = queue.start_calls(Millis(266));
    assert_eq!(second[0].pieces.len(), 8);
}

#[test]
fn urgent_pieces_go_first_and_late_ones_last() {
    let mut queue = queue(&[target("a", "s", "x")]);
    let now = Millis(1_000);
    queue.submit(now, &submission(0, 4, Millis(900)));
    queue.submit(now, &submission(1, 4, Millis(3_000)));
    queue.submit(now, &submission(2, 4, Millis(2_000)));
    let calls = queue.start_calls(now);
    assert_eq!(
        requests(&calls[0]),
        ["r2", "r2", "r2", "r2", "r1", "r1", "r1", "r1"]
    );
}

#[test]
fn a_piece_waits_for_its_own_domain_for_a_short_time_only() {
    let mut queue = queue(&[target("far", "s", "y"), target("near", "s", "x")]);
    queue.submit(Millis(0), &submission(0, 8, Millis(900)));
    let first = queue.start_calls(Millis(0));
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].target, "near");
    queue.submit(Millis(0), &submission(1, 1, Millis(900)));
    assert_eq!(queue.start_calls(Millis(50)), []);
    assert_eq!(queue.next_wakeup(Millis(50)), Some(Millis(120)));
    assert_eq!(queue.start_calls(Millis(120))[0].target, "far");
}

#[test]
fn a_call_has_no_more_pieces_than_the_result_space_allows() {
    let mut queue = queue(&[target("a", "s", "x")]);
    let mut large = submission(0, 8, Millis(900));
    large.result_bytes = 300;
    queue.submit(Millis(0), &large);
    let first = queue.start_calls(Millis(0));
    assert_eq!(first[0].pieces.len(), 3);
    queue.record_call_end(Millis(300), "a", all_computed(&first[0]));
    assert_eq!(queue.start_calls(Millis(300)), []);
    queue.record_freed_results("a", &["h0".to_owned(), "h1".to_owned()]);
    assert_eq!(queue.start_calls(Millis(310))[0].pieces.len(), 2);
}

#[test]
fn a_lack_of_result_space_shrinks_the_next_call() {
    let mut queue = queue(&[target("a", "s", "x")]);
    let mut large = submission(0, 8, Millis(60_000));
    large.result_bytes = 121;
    queue.submit(Millis(0), &large);
    let first = queue.start_calls(Millis(0));
    assert_eq!(first[0].pieces.len(), 8);
    let refused = vec![Err(PieceFailure::NoSpace); 8];
    let (reports, _) = queue.record_call_end(Millis(300), "a", CallOutcome::Responded(refused));
    assert_eq!(reports, []);
    let second = queue.start_calls(Millis(400));
    assert_eq!(second[0].pieces.len(), 6);
}

#[test]
fn a_failed_piece_is_sent_again_unless_its_inputs_were_read() {
    let mut queue = queue(&[target("a", "s", "x")]);
    queue.submit(
        AFTER_CONTENTION,
        &submission(0, 1, AFTER_CONTENTION + Millis(900)),
    );
    let failed = || CallOutcome::Responded(vec![Err(PieceFailure::Failed)]);
    queue.start_calls(AFTER_CONTENTION);
    let (reports, _) = queue.record_call_end(AFTER_CONTENTION + Millis(266), "a", failed());
    assert_eq!(reports, []);
    let retried_at = AFTER_CONTENTION + Millis(300);
    assert_eq!(queue.start_calls(retried_at).len(), 1);
    let read = queue.mark_inputs_read(retried_at + Millis(120), "a");
    assert_eq!(read[0].progress, PieceProgress::InputsRead);
    let (reports, _) = queue.record_call_end(retried_at + Millis(266), "a", failed());
    let report = PieceReport {
        submission: SubmissionId {
            submitter: 0,
            number: 0,
        },
        piece: 0,
        progress: PieceProgress::Failed(PieceFailure::Failed),
    };
    assert_eq!(reports, [report]);
}

#[test]
fn inputs_do_not_count_as_read_while_another_owner_may_send_calls() {
    let mut queue = queue(&[target("a", "s", "x")]);
    queue.submit(Millis(0), &submission(0, 1, AFTER_CONTENTION));
    queue.start_calls(Millis(0));
    assert_eq!(queue.mark_inputs_read(Millis(120), "a"), []);
    queue.record_call_end(Millis(266), "a", CallOutcome::Full { backoff_ms: None });
    queue.start_calls(AFTER_CONTENTION);
    assert_eq!(
        queue
            .mark_inputs_read(AFTER_CONTENTION + Millis(120), "a")
            .len(),
        1
    );
    queue.record_call_end(
        AFTER_CONTENTION + Millis(300),
        "a",
        CallOutcome::Full { backoff_ms: None },
    );
    queue.start_calls(AFTER_CONTENTION + Millis(400));
    assert_eq!(
        queue.mark_inputs_read(AFTER_CONTENTION + Millis(520), "a"),
        []
    );
}

#[test]
fn a_broken_target_is_paused_and_its_pieces_go_elsewhere() {
    let mut queue = queue(&[target("far", "s", "y"), target("near", "s", "x")]);
    queue.submit(Millis(0), &submission(0, 2, Millis(900)));
    assert_eq!(queue.start_calls(Millis(0))[0].target, "near");
    queue.record_call_end(Millis(100), "near", CallOutcome::Broken);
    let calls = queue.start_calls(Millis(100));
    assert_eq!(calls[0].target, "far");
    assert_eq!(calls[0].pieces.len(), 2);
}

#[test]
fn cancelled_pieces_are_not_sent_and_their_results_are_orphaned() {
    let mut queue = queue(&[target("a", "s", "x")]);
    queue.submit(Millis(0), &submission(0, 1, Millis(900)));
    queue.submit(Millis(0), &submission(1, 1, Millis(900)));
    let calls = queue.start_calls(Millis(0));
    queue.submit(Millis(5), &submission(2, 1, Millis(900)));
    for number in [1, 2] {
        queue.cancel(SubmissionId {
            submitter: 0,
            number,
        });
    }
    let (reports, orphaned) = queue.record_call_end(Millis(292), "a", all_computed(&calls[0]));
    assert_eq!(reports.len(), 1);
    assert_eq!(orphaned, ["h1"]);
    assert_eq!(queue.start_calls(Millis(292)), []);
}

#[test]
fn an_owner_that_shuts_down_returns_its_waiting_pieces() {
    let mut queue = queue(&[target("a", "s", "x")]);
    queue.submit(Millis(0), &submission(0, 1, Millis(900)));
    let calls = queue.start_calls(Millis(0));
    queue.submit(Millis(5), &submission(1, 2, Millis(900)));
    let returned = queue.drain();
    assert_eq!(returned.len(), 2);
    assert!(
        returned
            .iter()
            .all(|report| report.progress == PieceProgress::Returned)
    );
    let (reports, _) = queue.record_call_end(Millis(266), "a", all_computed(&calls[0]));
    assert_eq!(
        reports[0].progress,
        PieceProgress::Computed("h0".to_owned())
    );
}

#[test]
fn waiting_pieces_fail_as_late_at_their_deadline() {
    let mut queue = queue(&[]);
    queue.submit(Millis(0), &submission(0, 2, Millis(0)));
    assert_eq!(queue.expire(Millis(9_999)), []);
    let expired = queue.expire(Millis(10_000));
    assert_eq!(expired.len(), 2);
    assert_eq!(
        expired[0].progress,
        PieceProgress::Failed(PieceFailure::Late)
    );
}

/// Two targets get 24 pieces per second, which is 3.2 times as many as they could compute in calls
/// with a single piece.
#[test]
fn batches_sustain_a_load_that_single_piece_calls_could_not() {
    let targets = [target("a", "s", "x"), target("b", "s", "x")];
    let mut queue = queue(&targets);
    let mut running_calls: Vec<(u64, Call)> = Vec::new();
    let mut latencies_ms = Vec::new();
    let mut submitted_at: Vec<u64> = Vec::new();
    for now in 0..20_000_u64 {
        if now % 83 == 0 && now < 18_000 {
            let number = submitted_at.len() as u64;
            submitted_at.push(now);
            queue.submit(Millis(now), &submission(number, 2, Millis(now + 900)));
        }
        let (ended, still_running): (Vec<_>, Vec<_>) =
            running_calls.into_iter().partition(|(end, _)| *end == now);
        running_calls = still_running;
        for (_, call) in ended {
            let handles: Vec<String> = call.pieces.iter().map(|p| format!("h{}", p.key)).collect();
            let (reports, _) =
                queue.record_call_end(Millis(now), &call.target, all_computed(&call));
            queue.record_freed_results(&call.target, &handles);
            latencies_ms.extend(
                reports
                    .iter()
                    .map(|report| now - submitted_at[report.submission.number as usize]),
            );
        }
        for call in queue.start_calls(Millis(now)) {
            running_calls.push((now + 240 + 26 * call.pieces.len() as u64, call));
        }
    }
    assert_eq!(
        latencies_ms.len(),
        submitted_at.len() * 2,
        "every piece is computed"
    );
    latencies_ms.sort_unstable();
    let p99_ms = latencies_ms[latencies_ms.len() * 99 / 100];
    assert!(
        p99_ms <= 1_000,
        "the 99th percentile of piece latencies is {p99_ms} ms"
    );
}

/// Guards against pieces that wait for targets that have asked for a pause which lasts longer than
/// their requests, and against requests that are admitted meanwhile.
#[test]
fn pieces_that_cannot_be_computed_before_the_pauses_end_fail_at_once() {
    let mut queue = queue(&[target("a", "s", "x"), target("b", "s", "x")]);
    for (number, target) in ["a", "b"].into_iter().enumerate() {
        queue.submit(Millis(0), &submission(number as u64, 8, Millis(100)));
        let calls = queue.start_calls(Millis(0));
        assert_eq!(calls[0].target, target);
    }
    let paused = |backoff_ms| CallOutcome::Full {
        backoff_ms: Some(Millis(backoff_ms)),
    };
    queue.record_call_end(Millis(10), "a", paused(20_000));
    assert_eq!(queue.expire(Millis(10)), [], "another target may take them");
    queue.record_call_end(Millis(20), "b", paused(30_000));
    assert_eq!(queue.start_calls(Millis(20)), []);
    assert_eq!(queue.backlog_ms(Millis(20)), Millis(19_990));
    let failed = queue.expire(Millis(20));
    assert_eq!(failed.len(), 16);
    let late = PieceProgress::Failed(PieceFailure::Late);
    assert!(failed.iter().all(|report| report.progress == late));
    assert_eq!(queue.backlog_ms(Millis(20)), Millis(19_990));
    // A piece that has the time waits for the first target that takes calls.
    queue.submit(Millis(20), &submission(9, 1, Millis(15_000)));
    assert_eq!(queue.expire(Millis(20)), []);
    assert_eq!(queue.next_wakeup(Millis(1_000)), Some(Millis(20_010)));
    let calls = queue.start_calls(Millis(20_010));
    assert_eq!(calls[0].target, "a");
}
