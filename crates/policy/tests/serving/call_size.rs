//! Guards against pieces that wait for a long call although another target becomes idle soon: one
//! target takes all that wait, or all targets start at the same moment with few pieces each.

use crate::support::target;
use arbutus_coord::Millis;
use arbutus_policy::serving::batch::BatchQueue;
use arbutus_policy::serving::batch::Call;
use arbutus_policy::serving::batch::CallOutcome;
use arbutus_policy::serving::batch::PieceSource;
use arbutus_policy::serving::batch::Submission;
use arbutus_policy::serving::batch::SubmissionId;
use arbutus_policy::serving::batch::call_size::pieces_for_call;
use arbutus_policy::serving::model::StageServiceSpec;
use arbutus_policy::serving::model::TargetEntry;

const SPEC: StageServiceSpec = StageServiceSpec {
    slots: 1,
    max_pieces_per_call: 48,
    call_overhead_ms: 240.0,
    ms_per_piece: 4.3,
    result_space_bytes: 1_000_000,
    result_retention_ms: Millis(4_000),
};
/// Pieces of a request.
const PIECES: u32 = 4;

fn submission(number: u64, now: Millis) -> Submission {
    Submission {
        id: SubmissionId {
            submitter: 0,
            number,
        },
        request: format!("r{number}"),
        stage: 1,
        pieces: (0..PIECES).collect(),
        source: PieceSource::Inputs(vec!["input".to_owned()]),
        failure_domain: "x".to_owned(),
        due: now + Millis(1_000),
        deadline: now + Millis(10_000),
        priority: 0,
        result_bytes: 10,
    }
}

fn targets(count: usize) -> Vec<TargetEntry> {
    let names = (0..count).map(|index| format!("t{index}"));
    names.map(|name| target(&name, "s", "x")).collect()
}

fn all_computed(call: &Call) -> CallOutcome {
    let handles = call.pieces.iter();
    CallOutcome::Responded(handles.map(|piece| Ok(format!("h{}", piece.key))).collect())
}

fn duration_ms(call: &Call) -> u64 {
    (SPEC.call_overhead_ms + SPEC.ms_per_piece * call.pieces.len() as f64) as u64
}

#[test]
fn pieces_are_divided_among_targets_that_are_idle_soon() {
    // Nobody else: one call takes all.
    assert_eq!(pieces_for_call(48, 4.3, &[]), 48);
    // A target that is idle at once would get the same number.
    assert_eq!(pieces_for_call(48, 4.3, &[0.0]), 24);
    // Four that end 60 ms apart: about half of the pieces wait for them.
    let call_size = pieces_for_call(48, 4.3, &[60.0, 120.0, 180.0, 240.0]);
    assert!((20..=28).contains(&call_size), "{call_size}");
    // Few pieces are not worth a wait.
    assert_eq!(pieces_for_call(4, 4.3, &[60.0, 120.0]), 4);
    // A long queue fills calls wherever they start.
    assert!(pieces_for_call(1_000, 4.3, &[300.0; 4]) >= SPEC.max_pieces_per_call);
}

#[test]
fn the_pieces_of_a_request_stay_in_one_call() {
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets(targets(2).iter());
    queue.submit(Millis(5_000), &submission(0, Millis(5_000)));
    let calls = queue.start_calls(Millis(5_000));
    let sizes: Vec<usize> = calls.iter().map(|call| call.pieces.len()).collect();
    assert_eq!(sizes, [4]);
}

/// Requests arrive regularly, fewer than the targets can compute. Returns the mean time from the
/// arrival of a piece to the end of its call.
fn mean_time_ms(request_interval_ms: u64) -> f64 {
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets(targets(5).iter());
    let begin = Millis(5_000);
    let mut running: Vec<(Millis, Call)> = Vec::new();
    let (mut total_ms, mut computed) = (0, 0);
    for elapsed_ms in 0..20_000 {
        let now = begin + Millis(elapsed_ms);
        if elapsed_ms % request_interval_ms == 0 {
            let number = elapsed_ms / request_interval_ms;
            queue.submit(now, &submission(number, now));
        }
        let ended = running.extract_if(.., |(end, _)| *end <= now);
        for (_, call) in ended.collect::<Vec<_>>() {
            for piece in &call.pieces {
                let number: u64 = piece.request[1..].parse().expect("requests are numbered");
                total_ms += elapsed_ms - number * request_interval_ms;
                computed += 1;
            }
            queue.record_call_end(now, &call.target, all_computed(&call));
            let handles: Vec<String> = call
                .pieces
                .iter()
                .map(|piece| format!("h{}", piece.key))
                .collect();
            queue.record_freed_results(&call.target, &handles);
        }
        for call in queue.start_calls(now) {
            running.push((now + Millis(duration_ms(&call)), call));
        }
    }
    total_ms as f64 / f64::from(computed)
}

#[test]
fn calls_of_several_targets_are_kept_apart() {
    // 61 requests with four pieces a second: with calls that start evenly, each of the five targets
    // takes some 15 pieces in 305 ms, and a piece waits at most the 61 ms between two starts.
    let mean_ms = mean_time_ms(16);
    assert!(mean_ms < 305.0 + 61.0, "{mean_ms}");
}

#[test]
fn requests_that_find_idle_targets_do_not_wait() {
    // One request in 400 ms never finds a busy target that matters.
    let mean_ms = mean_time_ms(400);
    assert!(mean_ms < 262.0, "{mean_ms}");
}
