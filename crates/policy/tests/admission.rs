//! Guards against goodput that collapses under overload, against an organisation that displaces
//! others, and against requests that are lost in the queue or start too late.

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
fn overload_costs_only_those_above_their_share() {
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
            measured.attainment[1..].iter().all(|part| *part > 0.95),
            "{load}: {measured:?}"
        );
        assert!(measured.later_class > 0.95, "{load}: {measured:?}");
        assert!(
            measured.late + measured.refused <= 1.0,
            "{load}: {measured:?}"
        );
    }
}

fn arrival(organisation: u8, priority: u8, deadline: Millis) -> AdmissionRequest {
    AdmissionRequest {
        organisation: Organisation::from_index(u32::from(organisation % 4)),
        weight: 1 + u32::from(organisation % 4),
        priority: priority % 2,
        deadline,
        expected_ms: Millis(50),
        slot_ms: Millis(40),
    }
}

/// Each step is the time since the previous one, an organisation, and what happens.
fn every_request_leaves_once(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut admission = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let mut waiting = BTreeMap::new();
    let mut now = Millis::ZERO;
    for (gap, organisation, kind) in steps {
        now = now + Millis(u64::from(gap % 32));
        match kind % 8 {
            0..=3 => {
                let arrival = arrival(organisation, kind, now + Millis(u64::from(kind) * 4));
                if let Ok(ticket) = admission.try_enqueue(now, arrival) {
                    waiting.insert(ticket, arrival);
                }
            }
            4..=6 => {
                if let Some(ticket) = admission.dequeue(now) {
                    let arrival = waiting.remove(&ticket).expect("it waits");
                    assert!(
                        now + arrival.expected_ms <= arrival.deadline,
                        "it starts too late"
                    );
                }
            }
            _ => {
                if let Some((ticket, _)) = waiting.pop_first() {
                    let expired = admission.take_expired(now);
                    assert!(admission.cancel(ticket) != expired.contains(&ticket));
                    for other in expired {
                        waiting.remove(&other);
                    }
                }
            }
        }
        for ticket in admission.take_expired(now) {
            let arrival = waiting.remove(&ticket).expect("it waits");
            assert!(
                now + arrival.expected_ms > arrival.deadline,
                "it could still start"
            );
        }
        if admission.queue_length() != waiting.len() {
            return false;
        }
    }
    true
}

#[test]
fn no_request_is_lost_or_started_too_late() {
    common::checker(2_000).quickcheck(every_request_leaves_once as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn class_then_share_then_deadline_decide() {
    let mut admission = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let mut try_enqueue = |organisation, priority, deadline| {
        let arrival = AdmissionRequest {
            weight: 1,
            ..arrival(organisation, priority, Millis(deadline))
        };
        admission
            .try_enqueue(Millis(1), arrival)
            .expect("it is admitted")
    };
    let later = try_enqueue(0, 1, 500);
    let second = try_enqueue(0, 0, 900);
    let first = try_enqueue(0, 0, 800);
    let other = try_enqueue(1, 0, 950);
    let order: Vec<_> = std::iter::from_fn(|| admission.dequeue(Millis(2))).collect();
    assert_eq!(order, [first, other, second, later]);
}

#[test]
fn a_refusal_proposes_a_retry() {
    let mut admission = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let hopeless = admission.try_enqueue(Millis(0), arrival(0, 0, Millis(60)));
    assert_eq!(
        hopeless,
        Err(AdmissionRefusal::DeadlineUnreachable(Millis(100)))
    );
    assert_eq!(admission.queue_length(), 0);
}

#[test]
fn short_queues_of_others_cause_no_refusal() {
    let mut admission = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let of = |organisation, now: Millis, within_ms| AdmissionRequest {
        organisation: Organisation::from_index(organisation),
        ..arrival(0, 0, now + Millis(within_ms))
    };
    // Requests of 40 ms of slot time start every 10 ms, so 4 ms are given out per millisecond.
    let mut now = Millis::ZERO;
    for _ in 0..60 {
        admission
            .try_enqueue(now, of(0, now, 5_000))
            .expect("it is admitted");
    }
    for _ in 0..40 {
        now = now + Millis(10);
        admission.dequeue(now).expect("requests wait");
    }
    for organisation in 1..=20 {
        admission
            .try_enqueue(now, of(organisation, now, 5_000))
            .expect("it is admitted");
    }
    // 20 own and 20 other requests take 400 ms, and this one 50 ms.
    let refused = admission.try_enqueue(now, of(0, now, 400));
    let retry = refused.expect_err("the queue takes too long").retry_after();
    assert!((380..=440).contains(&retry.0), "{retry}");
    let admitted = admission.try_enqueue(now, of(0, now, 600));
    admitted.expect("the queue takes 400 ms");
}

/// Guards against a service that was slow for a time and whose requests are refused ever after,
/// because only an admitted request brings a newer measurement.
#[test]
fn old_measurements_alone_refuse_nothing() {
    let mut admission = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let slow = AdmissionRequest {
        expected_ms: Millis(60_000),
        ..arrival(0, 0, Millis(1_000))
    };
    assert_eq!(admission.check(Millis(10), slow), Ok(()));
    let other = arrival(1, 0, Millis(1_000));
    admission
        .try_enqueue(Millis(10), other)
        .expect("it is admitted");
    let refused = admission.check(Millis(10), slow);
    assert!(
        matches!(refused, Err(AdmissionRefusal::DeadlineUnreachable(_))),
        "{refused:?}"
    );
}

/// Guards against a refusal of a request whose earlier stages have run.
#[test]
fn an_admitted_request_returns_to_the_queue() {
    let mut admission = AdmissionQueue::new(Millis::ZERO, AdmissionSettings::default());
    let first = arrival(1, 0, Millis(1_000));
    admission
        .try_enqueue(Millis(10), first)
        .expect("it is admitted");
    let late = arrival(0, 0, Millis(60));
    let refused = admission.try_enqueue(Millis(10), late);
    assert!(
        matches!(refused, Err(AdmissionRefusal::DeadlineUnreachable(_))),
        "{refused:?}"
    );
    admission
        .enqueue_admitted(Millis(10), late)
        .expect("it was admitted before");
    assert_eq!(admission.queue_length(), 2);
    assert_eq!(admission.take_expired(Millis(11)).len(), 1);
}
