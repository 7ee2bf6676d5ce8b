//! The pattern: a burst for a stage with little space for results. Results stay until all pieces of
//! their stage are made and read, so half-made stages of many requests fill the space, none of them
//! can be finished, and all results lapse.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::support::target;
use arbutus_coord::Millis;
use arbutus_policy::serving::batch::BatchQueue;
use arbutus_policy::serving::batch::Call;
use arbutus_policy::serving::batch::CallOutcome;
use arbutus_policy::serving::batch::PieceSource;
use arbutus_policy::serving::batch::Submission;
use arbutus_policy::serving::batch::SubmissionId;
use arbutus_policy::serving::model::StageServiceSpec;
use arbutus_policy::serving::stage_graph::PieceFailure;
use arbutus_policy::serving::stage_graph::PieceProgress;

/// A service whose space holds less than two full calls.
const SPEC: StageServiceSpec = StageServiceSpec {
    slots: 1,
    max_pieces_per_call: 38,
    call_overhead_ms: 240.0,
    ms_per_piece: 5.4,
    result_space_bytes: 4_100_000,
    result_retention_ms: Millis(4_000),
};
/// The announced size of a result.
const RESULT_BYTES: u64 = 60_000;
/// The real size; the announced one is approximate.
const REAL_BYTES: u64 = 66_000;
const TARGETS: [&str; 2] = ["a", "b"];
const PIECES: u32 = 8;
/// How long after the last piece of a request its results are read and freed.
const READ_MS: u64 = 300;
/// When requests of two classes, by turns, should have their pieces after they came.
const DUE_MS: [u64; 2] = [900, 2_500];
/// When a request is given up after it came.
const GIVEN_UP_MS: u64 = 7_000;

#[derive(Default)]
struct Request {
    arrived: u64,
    results: Vec<(String, u64)>,
    /// When the results are read, once all are made.
    read_at: Option<u64>,
    is_over: bool,
}

/// Targets with limited space, and requests that need all their pieces.
struct Burst {
    queue: BatchQueue,
    requests: BTreeMap<u64, Request>,
    /// The call of each target with its results and its end.
    calls: BTreeMap<String, (Call, CallOutcome, u64)>,
    /// The results at each target and when they lapse.
    held: BTreeMap<String, BTreeMap<String, u64>>,
    served: usize,
    lapsed: usize,
}

impl Burst {
    fn new() -> Self {
        let mut queue = BatchQueue::new(Millis(0), SPEC);
        queue.set_targets(TARGETS.map(|id| target(id, "s", "x")).iter());
        Self {
            queue,
            requests: BTreeMap::new(),
            calls: BTreeMap::new(),
            held: TARGETS.map(|id| (id.to_owned(), BTreeMap::new())).into(),
            served: 0,
            lapsed: 0,
        }
    }

    fn arrive(&mut self, now: u64) {
        let number = self.requests.len() as u64;
        let due = now + DUE_MS[number as usize % 2];
        let mut submission = stage(number, due, RESULT_BYTES);
        submission.deadline = Millis(now + GIVEN_UP_MS);
        self.queue.submit(Millis(now), &submission);
        let request = Request {
            arrived: now,
            ..Request::default()
        };
        self.requests.insert(number, request);
    }

    fn step(&mut self, now: u64) {
        for held in self.held.values_mut() {
            held.retain(|_, until| *until > now);
        }
        self.end_calls(now);
        self.end_requests(now);
        for call in self.queue.start_calls(Millis(now)) {
            self.start(now, call);
        }
    }

    fn start(&mut self, now: u64, call: Call) {
        let held = self.held.get_mut(&call.target).expect("a target");
        let took = SPEC.call_overhead_ms + SPEC.ms_per_piece * call.pieces.len() as f64;
        let end = now + took as u64;
        let mut results = Vec::new();
        for piece in &call.pieces {
            if (held.len() as u64 + 1) * REAL_BYTES > SPEC.result_space_bytes {
                results.push(Err(PieceFailure::NoSpace));
                continue;
            }
            let handle = format!("{}/{}", call.target, piece.key);
            held.insert(handle.clone(), end + SPEC.result_retention_ms.0);
            results.push(Ok(handle));
        }
        let outcome = CallOutcome::Responded(results);
        let target = call.target.clone();
        self.calls.insert(target, (call, outcome, end));
    }

    fn end_calls(&mut self, now: u64) {
        let ended = self.calls.iter().filter(|(_, (_, _, end))| *end <= now);
        let ended: Vec<String> = ended.map(|(target, _)| target.clone()).collect();
        for target in ended {
            let (_, outcome, _) = self.calls.remove(&target).expect("a call");
            let (delivered, orphaned) = self.queue.record_call_end(Millis(now), &target, outcome);
            self.free(&orphaned);
            for outcome in delivered {
                let PieceProgress::Computed(handle) = outcome.progress else {
                    continue;
                };
                let request = self.requests.get_mut(&outcome.submission.number);
                let request = request.expect("a request");
                request
                    .results
                    .push((handle, now + SPEC.result_retention_ms.0));
                if request.results.len() == PIECES as usize {
                    request.read_at = Some(now + READ_MS);
                }
            }
        }
    }

    fn end_requests(&mut self, now: u64) {
        let mut to_free = Vec::new();
        for (&number, request) in self.requests.iter_mut().filter(|(_, all)| !all.is_over) {
            let is_read = request.read_at.is_some_and(|at| at <= now);
            let has_lapsed = request.results.iter().any(|(_, until)| *until <= now);
            let is_given_up = request.arrived + GIVEN_UP_MS <= now;
            if is_read || has_lapsed || is_given_up {
                request.is_over = true;
                self.served += usize::from(is_read);
                self.lapsed += usize::from(!is_read && has_lapsed);
                let id = SubmissionId {
                    submitter: 0,
                    number,
                };
                self.queue.cancel(id);
                to_free.extend(request.results.drain(..).map(|(handle, _)| handle));
            }
        }
        self.free(&to_free);
    }

    fn free(&mut self, handles: &[String]) {
        for target in TARGETS {
            let held = self.held.get_mut(target).expect("a target");
            let freed: Vec<String> = handles
                .iter()
                .filter(|handle| held.remove(*handle).is_some())
                .cloned()
                .collect();
            self.queue.record_freed_results(target, &freed);
        }
    }
}

/// Plays a burst of requests and what follows it.
fn play(requests: u64, gap_ms: u64, until: u64) -> Burst {
    let mut burst = Burst::new();
    for now in 0..until {
        if now.is_multiple_of(gap_ms) && now / gap_ms < requests {
            burst.arrive(now);
        }
        burst.step(now);
    }
    burst
}

#[test]
fn a_burst_does_not_fill_the_space_with_half_made_stages() {
    // A third more than full calls could carry, for eight seconds.
    let burst = play(228, 35, 15_000);
    assert_eq!(burst.lapsed, 0, "requests whose results lapsed");
    // Results occupy the space for the call and the time until they are read; that allows calls
    // that are more than half full.
    let full_call_ms = SPEC.call_overhead_ms + SPEC.ms_per_piece * SPEC.max_pieces_per_call as f64;
    let full = 8_000.0 / full_call_ms * (TARGETS.len() * SPEC.max_pieces_per_call) as f64
        / f64::from(PIECES);
    assert!(
        burst.served as f64 >= full / 2.0,
        "{} served, full calls make {full:.0}",
        burst.served
    );
}

fn stage(number: u64, due: u64, result_bytes: u64) -> Submission {
    Submission {
        id: SubmissionId {
            submitter: 0,
            number,
        },
        request: format!("r{number}"),
        stage: 0,
        pieces: (0..PIECES).collect(),
        source: PieceSource::Key("key".to_owned()),
        failure_domain: "x".to_owned(),
        due: Millis(due),
        deadline: Millis(due + GIVEN_UP_MS),
        priority: 0,
        result_bytes,
    }
}

fn requests(call: &Call) -> Vec<&str> {
    let requests: BTreeSet<&str> = call.pieces.iter().map(|all| all.request.as_str()).collect();
    requests.into_iter().collect()
}

#[test]
fn a_stage_is_begun_only_with_space_for_all_its_results() {
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets([target("a", "s", "x")].iter());
    // The space holds the results of one stage and a half.
    queue.submit(Millis(0), &stage(0, 900, 300_000));
    queue.submit(Millis(0), &stage(1, 800, 300_000));
    let calls = queue.start_calls(Millis(0));
    assert_eq!(requests(&calls[0]), ["r1"]);
}

#[test]
fn a_stage_that_is_begun_is_finished_before_more_urgent_ones() {
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets([target("a", "s", "x")].iter());
    queue.submit(Millis(0), &stage(0, 5_000, 30_000));
    let first = queue.start_calls(Millis(0)).remove(0);
    queue.submit(Millis(10), &stage(1, 900, 300_000));
    queue.submit(Millis(10), &stage(2, 900, 300_000));
    // The target failed in the middle: half of the results are made.
    let results = (0..PIECES).map(|piece| {
        if piece % 2 == 0 {
            Ok(format!("a/{piece}"))
        } else {
            Err(PieceFailure::Failed)
        }
    });
    queue.record_call_end(Millis(400), "a", CallOutcome::Responded(results.collect()));
    let second = queue.start_calls(Millis(400)).remove(0);
    assert_eq!(first.pieces.len(), PIECES as usize);
    assert_eq!(requests(&second), ["r0", "r1"]);
    let first_key = second.pieces[0].key;
    assert!(first.pieces.iter().any(|piece| piece.key == first_key));
}

#[test]
fn a_stage_that_is_larger_than_the_space_is_begun_alone() {
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets([target("a", "s", "x")].iter());
    queue.submit(Millis(0), &stage(0, 900, 800_000));
    let calls = queue.start_calls(Millis(0));
    assert_eq!(calls[0].pieces.len(), 4);
}

#[test]
fn a_stage_does_not_begin_in_one_call_and_end_in_the_next() {
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets([target("a", "s", "x")].iter());
    for number in 0..5 {
        queue.submit(Millis(0), &stage(number, 900 + number, 1_000));
    }
    let calls = queue.start_calls(Millis(0));
    // Four stages of eight pieces fit into a call of 38, a fifth one would occupy space for longer.
    assert_eq!(requests(&calls[0]), ["r0", "r1", "r2", "r3"]);
}

#[test]
fn the_backlog_counts_with_the_calls_that_the_space_allows() {
    // Requests were admitted as if all calls were full, and became late.
    let backlog = |result_bytes: u64| {
        let mut queue = BatchQueue::new(Millis(0), SPEC);
        queue.set_targets([target("a", "s", "x")].iter());
        for number in 0..40 {
            queue.submit(Millis(0), &stage(number, 60_000 + number, result_bytes));
        }
        for now in (0..20_000).step_by(500) {
            for call in queue.start_calls(Millis(now)) {
                let failed = call.pieces.iter().map(|_| Err(PieceFailure::InputLost));
                let outcome = CallOutcome::Responded(failed.collect());
                let pieces = call.pieces.len() as u32;
                queue.record_call_end(Millis(now + 300), "a", outcome);
                let mut refill = stage(1_000 + now, 90_000 + now, result_bytes);
                refill.pieces = (0..pieces).collect();
                queue.submit(Millis(now + 300), &refill);
            }
        }
        queue.backlog_ms(Millis(20_000))
    };
    // Space for one stage of eight pieces in place of four.
    assert!(backlog(450_000) > backlog(1_000).times(2));
}
