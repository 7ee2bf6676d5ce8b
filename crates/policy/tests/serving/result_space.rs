//! Guards against a deadlock of result space during a burst. Results stay at the targets until all
//! pieces of their stage are computed and read. If incomplete stages of many requests fill the
//! space, none of them can be completed, and all results expire.

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

/// A service whose targets have space for the results of less than two full calls.
const SPEC: StageServiceSpec = StageServiceSpec {
    slots: 1,
    max_pieces_per_call: 38,
    call_overhead_ms: 240.0,
    ms_per_piece: 5.4,
    result_space_bytes: 4_100_000,
    result_retention_ms: Millis(4_000),
};
/// Approximate size of a result as given in a submission.
const ESTIMATED_RESULT_BYTES: u64 = 60_000;
/// Actual size of a result, which differs from the approximate one.
const ACTUAL_RESULT_BYTES: u64 = 66_000;
const TARGETS: [&str; 2] = ["a", "b"];
const PIECES: u32 = 8;
/// Time from the last result of a request until all its results are read and freed.
const READ_DELAY_MS: u64 = 300;
/// Time from the arrival of a request until its pieces are due; requests alternate between the two.
const DUE_MS: [u64; 2] = [900, 2_500];
/// Time from the arrival of a request until its deadline.
const DEADLINE_MS: u64 = 7_000;

#[derive(Default)]
struct Request {
    arrived_at: u64,
    results: Vec<(String, u64)>,
    /// When the results are read; `None` until all are computed.
    read_at: Option<u64>,
    has_ended: bool,
}

/// Targets with limited result space, and requests that need the results of all their pieces.
struct Simulation {
    queue: BatchQueue,
    requests: BTreeMap<u64, Request>,
    /// The running call of each target, with its outcome and the time of its end.
    calls: BTreeMap<String, (Call, CallOutcome, u64)>,
    /// The results at each target and when they expire.
    stored_results: BTreeMap<String, BTreeMap<String, u64>>,
    completed: usize,
    expired: usize,
}

impl Simulation {
    fn new() -> Self {
        let mut queue = BatchQueue::new(Millis(0), SPEC);
        queue.set_targets(TARGETS.map(|id| target(id, "s", "x")).iter());
        Self {
            queue,
            requests: BTreeMap::new(),
            calls: BTreeMap::new(),
            stored_results: TARGETS.map(|id| (id.to_owned(), BTreeMap::new())).into(),
            completed: 0,
            expired: 0,
        }
    }

    fn arrive(&mut self, now: u64) {
        let number = self.requests.len() as u64;
        let due = now + DUE_MS[number as usize % 2];
        let mut submission = submission(number, due, ESTIMATED_RESULT_BYTES);
        submission.deadline = Millis(now + DEADLINE_MS);
        self.queue.submit(Millis(now), &submission);
        let request = Request {
            arrived_at: now,
            ..Request::default()
        };
        self.requests.insert(number, request);
    }

    fn step(&mut self, now: u64) {
        for stored_results in self.stored_results.values_mut() {
            stored_results.retain(|_, until| *until > now);
        }
        self.end_calls(now);
        self.end_requests(now);
        for call in self.queue.start_calls(Millis(now)) {
            self.start(now, call);
        }
    }

    fn start(&mut self, now: u64, call: Call) {
        let stored_results = self
            .stored_results
            .get_mut(&call.target)
            .expect("the target exists");
        let duration_ms = SPEC.call_overhead_ms + SPEC.ms_per_piece * call.pieces.len() as f64;
        let end = now + duration_ms as u64;
        let mut results = Vec::new();
        for piece in &call.pieces {
            if (stored_results.len() as u64 + 1) * ACTUAL_RESULT_BYTES > SPEC.result_space_bytes {
                results.push(Err(PieceFailure::NoSpace));
                continue;
            }
            let handle = format!("{}/{}", call.target, piece.key);
            stored_results.insert(handle.clone(), end + SPEC.result_retention_ms.0);
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
            let (_, outcome, _) = self.calls.remove(&target).expect("the call is running");
            let (reports, orphaned) = self.queue.record_call_end(Millis(now), &target, outcome);
            self.free(&orphaned);
            for report in reports {
                let PieceProgress::Computed(handle) = report.progress else {
                    continue;
                };
                let request = self.requests.get_mut(&report.submission.number);
                let request = request.expect("the request exists");
                request
                    .results
                    .push((handle, now + SPEC.result_retention_ms.0));
                if request.results.len() == PIECES as usize {
                    request.read_at = Some(now + READ_DELAY_MS);
                }
            }
        }
    }

    fn end_requests(&mut self, now: u64) {
        let mut to_free = Vec::new();
        for (&number, request) in self
            .requests
            .iter_mut()
            .filter(|(_, request)| !request.has_ended)
        {
            let is_read = request.read_at.is_some_and(|at| at <= now);
            let has_expired = request.results.iter().any(|(_, until)| *until <= now);
            let is_past_deadline = request.arrived_at + DEADLINE_MS <= now;
            if is_read || has_expired || is_past_deadline {
                request.has_ended = true;
                self.completed += usize::from(is_read);
                self.expired += usize::from(!is_read && has_expired);
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
            let stored_results = self
                .stored_results
                .get_mut(target)
                .expect("the target exists");
            let freed: Vec<String> = handles
                .iter()
                .filter(|handle| stored_results.remove(*handle).is_some())
                .cloned()
                .collect();
            self.queue.record_freed_results(target, &freed);
        }
    }
}

/// Simulates a burst of requests, one every `gap_ms`, and the time after it up to `until`.
fn simulate(requests: u64, gap_ms: u64, until: u64) -> Simulation {
    let mut simulation = Simulation::new();
    for now in 0..until {
        if now.is_multiple_of(gap_ms) && now / gap_ms < requests {
            simulation.arrive(now);
        }
        simulation.step(now);
    }
    simulation
}

#[test]
fn a_burst_does_not_fill_the_space_with_incomplete_stages() {
    // For eight seconds, there are a third more requests than full calls could handle.
    let simulation = simulate(228, 35, 15_000);
    assert_eq!(simulation.expired, 0, "requests whose results expired");
    // Results occupy space from the start of their call until they are read. The space suffices for
    // calls that are more than half full.
    let full_call_ms = SPEC.call_overhead_ms + SPEC.ms_per_piece * SPEC.max_pieces_per_call as f64;
    let full_call_capacity = 8_000.0 / full_call_ms
        * (TARGETS.len() * SPEC.max_pieces_per_call) as f64
        / f64::from(PIECES);
    assert!(
        simulation.completed as f64 >= full_call_capacity / 2.0,
        "{} requests completed, full calls could complete {full_call_capacity:.0}",
        simulation.completed
    );
}

fn submission(number: u64, due: u64, result_bytes: u64) -> Submission {
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
        deadline: Millis(due + DEADLINE_MS),
        priority: 0,
        result_bytes,
    }
}

fn requests(call: &Call) -> Vec<&str> {
    let requests: BTreeSet<&str> = call
        .pieces
        .iter()
        .map(|piece| piece.request.as_str())
        .collect();
    requests.into_iter().collect()
}

#[test]
fn a_stage_is_started_only_with_space_for_all_its_results() {
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets([target("a", "s", "x")].iter());
    // There is space for the results of one and a half stages.
    queue.submit(Millis(0), &submission(0, 900, 300_000));
    queue.submit(Millis(0), &submission(1, 800, 300_000));
    let calls = queue.start_calls(Millis(0));
    assert_eq!(requests(&calls[0]), ["r1"]);
}

#[test]
fn a_started_stage_goes_before_more_urgent_ones() {
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets([target("a", "s", "x")].iter());
    queue.submit(Millis(0), &submission(0, 5_000, 30_000));
    let first = queue.start_calls(Millis(0)).remove(0);
    queue.submit(Millis(10), &submission(1, 900, 300_000));
    queue.submit(Millis(10), &submission(2, 900, 300_000));
    // The call computes only half of the pieces.
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
fn a_stage_that_is_larger_than_the_space_is_started_alone() {
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets([target("a", "s", "x")].iter());
    queue.submit(Millis(0), &submission(0, 900, 800_000));
    let calls = queue.start_calls(Millis(0));
    assert_eq!(calls[0].pieces.len(), 4);
}

#[test]
fn a_stage_that_fits_into_a_call_is_not_split() {
    let mut queue = BatchQueue::new(Millis(0), SPEC);
    queue.set_targets([target("a", "s", "x")].iter());
    for number in 0..5 {
        queue.submit(Millis(0), &submission(number, 900 + number, 1_000));
    }
    let calls = queue.start_calls(Millis(0));
    // Four stages of eight pieces fit into a call of 38. If the call contained a part of the fifth
    // stage too, these results would occupy space until the rest of that stage is computed.
    assert_eq!(requests(&calls[0]), ["r0", "r1", "r2", "r3"]);
}

#[test]
fn the_backlog_accounts_for_calls_that_are_limited_by_space() {
    // Otherwise requests are admitted as if all calls were full, and become late.
    let backlog = |result_bytes: u64| {
        let mut queue = BatchQueue::new(Millis(0), SPEC);
        queue.set_targets([target("a", "s", "x")].iter());
        for number in 0..40 {
            queue.submit(
                Millis(0),
                &submission(number, 60_000 + number, result_bytes),
            );
        }
        for now in (0..20_000).step_by(500) {
            for call in queue.start_calls(Millis(now)) {
                let failed = call.pieces.iter().map(|_| Err(PieceFailure::InputLost));
                let outcome = CallOutcome::Responded(failed.collect());
                let pieces = call.pieces.len() as u32;
                queue.record_call_end(Millis(now + 300), "a", outcome);
                let mut refill = submission(1_000 + now, 90_000 + now, result_bytes);
                refill.pieces = (0..pieces).collect();
                queue.submit(Millis(now + 300), &refill);
            }
        }
        queue.backlog_ms(Millis(20_000))
    };
    // There is space for one stage of eight pieces instead of four.
    assert!(backlog(450_000) > backlog(1_000).times(2));
}
