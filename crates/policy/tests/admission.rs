//! Guards against goodput that collapses under overload, against an organisation that displaces
//! the requests of others, and against requests that are lost in the queue or start too late.

mod common;
#[path = "../examples/overload/model.rs"]
mod model;

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_coord::entity::Entity;
use arbutus_coord::entity::Organisation;
use arbutus_policy::admission::AdmissionQueue;
use arbutus_policy::admission::AdmissionRefusal;
use arbutus_policy::admission::AdmissionRequest;
use arbutus_policy::admission::AdmissionSettings;

#[test]
fn overload_affects_only_the_organisation_above_its_share() {
    for (load, seed) in [(0.5, 1), (0.9, 2), (1.2, 3), (2.0, 4), (2.0, 5)] {
        let policies = model::Policies {
            admission: true,
            limits: false,
        };
        let measured = model::run(load, policies, seed, 20_000);
        assert!(
            measured.goodput > 0.9 * f64::min(load, 1.0),
            "{load}: {measured:?}"
        );
        assert!(
            measured.attainment[1..]
                .iter()
                .all(|attainment| *attainment > 0.95),
            "{load}: {measured:?}"
        );
        assert!(
            measured.non_urgent_attainment > 0.95,
            "{load}: {measured:?}"
        );
        assert!(
            measured.late + measured.refused <= 1.0,
            "{load}: {measured:?}"
        );
    }
}

fn admission_request(organisation: u8, priority: u8, deadline: Millis) -> AdmissionRequest {
    AdmissionRequest {
        organisation: Organisation::from_index(u32::from(organisation % 4)),
        weight: 1 + u32::from(organisation % 4),
        priority: priority % 2,
        deadline,
        expected_ms: Millis(50),
        slot_ms: Millis(40),
    }
}

/// Checks that each request leaves the queue exactly once: dequeued in time for its deadline,
/// cancelled, or expired when it can no longer meet its deadline.
///
/// Each step has the time since the previous step in milliseconds, an organisation and the kind of
/// event.
fn every_request_leaves_the_queue_once(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut queue = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let mut waiting = BTreeMap::new();
    let mut now = Millis::ZERO;
    for (gap, organisation, kind) in steps {
        now = now + Millis(u64::from(gap % 32));
        match kind % 8 {
            0..=3 => {
                let request =
                    admission_request(organisation, kind, now + Millis(u64::from(kind) * 4));
                if let Ok(ticket) = queue.try_enqueue(now, request) {
                    waiting.insert(ticket, request);
                }
            }
            4..=6 => {
                if let Some(ticket) = queue.dequeue(now) {
                    let request = waiting
                        .remove(&ticket)
                        .expect("the request should be waiting");
                    assert!(
                        now + request.expected_ms <= request.deadline,
                        "a request was dequeued too late for its deadline"
                    );
                }
            }
            _ => {
                if let Some((ticket, _)) = waiting.pop_first() {
                    let expired = queue.take_expired(now);
                    assert!(queue.cancel(ticket) != expired.contains(&ticket));
                    for other in expired {
                        waiting.remove(&other);
                    }
                }
            }
        }
        for ticket in queue.take_expired(now) {
            let request = waiting
                .remove(&ticket)
                .expect("the request should be waiting");
            assert!(
                now + request.expected_ms > request.deadline,
                "a request expired that could still meet its deadline"
            );
        }
        if queue.queue_length() != waiting.len() {
            return false;
        }
    }
    true
}

#[test]
fn no_request_is_lost_or_started_too_late() {
    common::checker(2_000)
        .quickcheck(every_request_leaves_the_queue_once as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn requests_are_dequeued_by_priority_then_share_then_deadline() {
    let mut queue = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let mut enqueue = |organisation, priority, deadline| {
        let request = AdmissionRequest {
            weight: 1,
            ..admission_request(organisation, priority, Millis(deadline))
        };
        queue
            .try_enqueue(Millis(1), request)
            .expect("the request should be admitted")
    };
    let non_urgent = enqueue(0, 1, 500);
    let second = enqueue(0, 0, 900);
    let first = enqueue(0, 0, 800);
    let other = enqueue(1, 0, 950);
    let order: Vec<_> = std::iter::from_fn(|| queue.dequeue(Millis(2))).collect();
    assert_eq!(order, [first, other, second, non_urgent]);
}

#[test]
fn a_refusal_has_a_retry_delay() {
    let mut queue = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let refused = queue.try_enqueue(Millis(0), admission_request(0, 0, Millis(60)));
    assert_eq!(
        refused,
        Err(AdmissionRefusal::DeadlineUnreachable(Millis(100)))
    );
    assert_eq!(queue.queue_length(), 0);
}

#[test]
fn short_queues_of_other_organisations_do_not_increase_the_predicted_wait() {
    let mut queue = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let request_of = |organisation, now: Millis, within_ms| AdmissionRequest {
        organisation: Organisation::from_index(organisation),
        ..admission_request(0, 0, now + Millis(within_ms))
    };
    // A request with 40 ms of slot time is dequeued every 10 ms, so the throughput is 4 ms of slot
    // time per millisecond.
    let mut now = Millis::ZERO;
    for _ in 0..60 {
        queue
            .try_enqueue(now, request_of(0, now, 5_000))
            .expect("the request should be admitted");
    }
    for _ in 0..40 {
        now = now + Millis(10);
        queue.dequeue(now).expect("requests should be waiting");
    }
    for organisation in 1..=20 {
        queue
            .try_enqueue(now, request_of(organisation, now, 5_000))
            .expect("the request should be admitted");
    }
    // The 20 requests of the same organisation and the 20 others take 400 ms, and this request
    // takes 50 ms. A deadline after 400 ms is refused, and one after 600 ms is admitted.
    let refused = queue.try_enqueue(now, request_of(0, now, 400));
    let retry_after = refused
        .expect_err("the request should not meet its deadline")
        .retry_after();
    assert!((380..=440).contains(&retry_after.0), "{retry_after}");
    let admitted = queue.try_enqueue(now, request_of(0, now, 600));
    admitted.expect("the request should meet its deadline");
}

/// Guards against a service that recovers from a slow period but whose requests are still refused.
/// Only an admitted request updates the measured latency, so an empty queue must admit one.
#[test]
fn check_refuses_no_request_while_the_queue_is_empty() {
    let mut queue = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let slow = AdmissionRequest {
        expected_ms: Millis(60_000),
        ..admission_request(0, 0, Millis(1_000))
    };
    assert_eq!(queue.check(Millis(10), slow), Ok(()));
    let other = admission_request(1, 0, Millis(1_000));
    queue
        .try_enqueue(Millis(10), other)
        .expect("the request should be admitted");
    let refused = queue.check(Millis(10), slow);
    assert!(
        matches!(refused, Err(AdmissionRefusal::DeadlineUnreachable(_))),
        "{refused:?}"
    );
}

/// Guards against the refusal of a request between two stages, when its first stages have already
/// been executed.
#[test]
fn an_admitted_request_is_enqueued_despite_its_deadline() {
    let mut queue = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let first = admission_request(1, 0, Millis(1_000));
    queue
        .try_enqueue(Millis(10), first)
        .expect("the request should be admitted");
    let short_deadline = admission_request(0, 0, Millis(60));
    let refused = queue.try_enqueue(Millis(10), short_deadline);
    assert!(
        matches!(refused, Err(AdmissionRefusal::DeadlineUnreachable(_))),
        "{refused:?}"
    );
    queue
        .enqueue_admitted(Millis(10), short_deadline)
        .expect("an admitted request should be enqueued");
    assert_eq!(queue.queue_length(), 2);
    assert_eq!(queue.take_expired(Millis(11)).len(), 1);
}
