//! Guards against targets that compute few pieces a call, because each domain has one target and
//! pieces wait for the one in their own domain while others begin calls that are nearly empty.

use std::collections::BTreeMap;

use crate::support::target;
use arbutus_coord::Millis;
use arbutus_policy::serving::batch::BatchQueue;
use arbutus_policy::serving::batch::CallOutcome;
use arbutus_policy::serving::batch::PieceSource;
use arbutus_policy::serving::batch::Submission;
use arbutus_policy::serving::batch::SubmissionId;
use arbutus_policy::serving::model::StageServiceSpec;
use arbutus_policy::serving::stage_graph::PieceProgress;

const SPEC: StageServiceSpec = StageServiceSpec {
    slots: 1,
    max_pieces_per_call: 8,
    call_overhead_ms: 150.0,
    ms_per_piece: 16.0,
    result_space_bytes: 43_000_000,
    result_retention_ms: Millis(4_000),
};
const DOMAINS: [&str; 4] = ["w", "x", "y", "z"];
const LARGE_RESULT_BYTES: u64 = 3_000_000;

fn submission(number: u64, now: Millis, domain: &str, result_bytes: u64) -> Submission {
    Submission {
        id: SubmissionId {
            submitter: 0,
            number,
        },
        request: format!("r{number}"),
        stage: 0,
        pieces: vec![0],
        source: PieceSource::Key("key".to_owned()),
        failure_domain: domain.to_owned(),
        due: now + Millis(500),
        deadline: now + Millis(6_000),
        priority: 0,
        result_bytes,
    }
}

fn queue() -> BatchQueue {
    let targets = DOMAINS.map(|domain| target(domain, "s", domain));
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets(targets.iter());
    queue
}

fn computed(pieces: usize, first_handle: u64) -> CallOutcome {
    let handles = (0..pieces as u64).map(|piece| Ok(format!("h{}", first_handle + piece)));
    CallOutcome::Responded(handles.collect())
}

#[test]
fn pieces_that_waited_for_their_domain_fill_the_call_of_another_one() {
    let mut queue = queue();
    let mut number = 0;
    let mut submit = |queue: &mut BatchQueue, at: u64, domain: &str| {
        number += 1;
        let submission = submission(number, Millis(at), domain, LARGE_RESULT_BYTES);
        queue.submit(Millis(at), &submission);
    };
    for domain in DOMAINS {
        submit(&mut queue, 0, domain);
    }
    assert_eq!(queue.start_calls(Millis(0)).len(), 4);
    for _piece in 0..5 {
        submit(&mut queue, 10, "w");
    }
    submit(&mut queue, 120, "x");
    queue.record_call_end(Millis(166), "x", computed(1, 0));
    let calls = queue.start_calls(Millis(166));
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].target, "x");
    assert_eq!(calls[0].pieces.len(), 6);
}

#[test]
fn a_piece_is_left_to_an_idle_target_of_its_own_domain() {
    let mut queue = queue();
    for (number, domain) in ["w", "x", "w", "z"].into_iter().enumerate() {
        queue.submit(
            Millis(0),
            &submission(number as u64, Millis(0), domain, 8_000),
        );
    }
    let calls = queue.start_calls(Millis(200));
    let sizes: BTreeMap<&str, usize> = calls
        .iter()
        .map(|call| (call.target.as_str(), call.pieces.len()))
        .collect();
    assert_eq!(sizes, BTreeMap::from([("w", 2), ("x", 1), ("z", 1)]));
}

/// Plays 66 pieces a second, in clumps of three, half of them with large results. Half of them belong
/// to one domain, as when many requests share a prompt prefix. Returns the times from their arrival
/// to their results, in ascending order.
fn play_steady_load() -> Vec<u64> {
    let mut queue = queue();
    let mut ends: BTreeMap<(Millis, String), usize> = BTreeMap::new();
    let mut submitted_at = BTreeMap::new();
    let mut times = Vec::new();
    let mut handles = 0;
    for now in (0..20_000).map(Millis) {
        if now.0 % 45 == 0 {
            for number in now.0 / 15..now.0 / 15 + 3 {
                let domain = DOMAINS[[0, 1, 0, 2, 0, 3][(number * 5 % 6) as usize]];
                let result_bytes = if number.is_multiple_of(2) {
                    LARGE_RESULT_BYTES
                } else {
                    8_000
                };
                queue.submit(now, &submission(number, now, domain, result_bytes));
                submitted_at.insert(number, now);
            }
        }
        while let Some(((at, target), pieces)) = ends.pop_first() {
            if at > now {
                ends.insert((at, target), pieces);
                break;
            }
            let (reports, _) = queue.record_call_end(now, &target, computed(pieces, handles));
            handles += pieces as u64;
            for report in reports {
                let at = submitted_at[&report.submission.number];
                times.push((now - at).0);
                if let PieceProgress::Computed(handle) = report.progress {
                    queue.record_freed_results(&target, &[handle]);
                }
            }
        }
        for call in queue.start_calls(now) {
            let pieces = call.pieces.len();
            let end = now + Millis(150 + 16 * pieces as u64);
            ends.insert((end, call.target), pieces);
        }
    }
    times.sort_unstable();
    times
}

/// A request has an objective of 690 ms, and its target needs 190 ms after its pieces.
#[test]
fn pieces_of_a_steady_load_are_computed_within_the_objective() {
    let times = play_steady_load();
    assert!(times.len() > 1_200);
    let late = times.iter().filter(|&&time_ms| time_ms > 500).count();
    assert!(late * 100 <= times.len(), "{late} of {} late", times.len());
}
