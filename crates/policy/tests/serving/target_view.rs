//! Guards against instances that choose targets by an outdated or wrong view when an aggregator, the
//! network or an instance fails, and against messages that take more than their share of a link.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::target_view_fleet::Faults;
use crate::target_view_fleet::Fleet;
use crate::target_view_fleet::State;
use arbutus_coord::Millis;
use arbutus_policy::serving::target_ramp::OutcomeCounts;
use arbutus_policy::serving::target_view::PACE_VALID_MS;
use arbutus_policy::serving::target_view::Receivers;
use arbutus_policy::serving::target_view::TargetView;
use arbutus_policy::serving::target_view::VIEW_VALID_MS;
use arbutus_policy::serving::target_view::exchange::MESSAGE_BYTES;
use arbutus_policy::serving::target_view::exchange::ObservationMessage;
use arbutus_policy::serving::target_view::exchange::Outgoing;
use arbutus_policy::serving::target_view::exchange::RECEIVED_BYTES_PER_S;
use arbutus_policy::serving::target_view::exchange::ViewExchange;
use arbutus_policy::serving::target_view::exchange::ViewMember;
use arbutus_policy::serving::target_view::messages::MessageStamp;
use arbutus_policy::serving::target_view::messages::SummaryRecord;
use arbutus_policy::serving::target_view::messages::TargetNames;
use arbutus_policy::serving::target_view::messages::TargetObservation;
use arbutus_policy::serving::target_view::messages::TargetSummary;

/// Largest error of an age without delayed messages. While two aggregators are active, a load passes
/// through both: 3 transmissions, each of which takes 20 ms and is received up to 20 ms later.
const MAX_AGE_ERROR_MS: u64 = 120;

fn load(target: &str, incarnation: u64, age_ms: u64, running: u32) -> TargetObservation {
    TargetObservation {
        target: target.to_owned(),
        incarnation: Some(incarnation),
        age_ms: Millis(age_ms),
        running,
        slots: Some(32),
        work_percent: Some(100),
        outcomes: OutcomeCounts {
            late: 1,
            ..OutcomeCounts::default()
        },
        ..TargetObservation::default()
    }
}

fn stamp(sequence: u32, sender_uptime_ms: u64) -> MessageStamp {
    MessageStamp {
        sender_incarnation: 3,
        sequence,
        sender_uptime_ms: Millis(sender_uptime_ms),
    }
}

/// Guards against an older report that replaces a newer one, and against a report of an earlier run
/// of a target that replaces one of the present run.
#[test]
fn the_most_recent_report_of_the_present_run_counts() {
    let mut view = TargetView::new();
    let now = Millis(10_000);
    view.observe(now, &load("t", 1, 100, 5));
    view.merge_observations(now, stamp(1, 500), &[load("t", 1, 300, 9)]);
    let known = view.load(now, "t", Some(1)).expect("the load is recent");
    assert_eq!((known.running, known.age_ms), (5, Millis(100)));
    view.merge_observations(now, stamp(2, 500), &[load("t", 2, 50, 0)]);
    assert_eq!(view.load(now, "t", Some(1)), None);
    view.merge_observations(now, stamp(3, 500), &[load("t", 1, 200, 7)]);
    assert_eq!(
        view.load(now, "t", Some(2)).map(|load| load.running),
        Some(0)
    );
    let later = now + VIEW_VALID_MS;
    assert_eq!(
        view.load(later, "t", Some(2)),
        None,
        "the report is too old"
    );
}

/// Guards against samples that count twice, because a message is repeated, and against samples that
/// are lost because messages change their order.
#[test]
fn samples_of_each_message_count_once_in_any_order() {
    let mut view = TargetView::new();
    let now = Millis(10_000);
    let mut merge = |sequence| {
        let samples = view.merge_observations(now, stamp(sequence, 500), &[load("t", 1, 0, 1)]);
        samples.len()
    };
    assert_eq!([merge(2), merge(1), merge(2), merge(1)], [1, 1, 0, 0]);
    assert_eq!([merge(70), merge(7), merge(6)], [1, 1, 0]);
}

/// Guards against a message that waited in a connection, for instance while its sender was frozen,
/// and whose loads pass for recent ones.
#[test]
fn a_delayed_message_counts_with_its_delay() {
    let mut view = TargetView::new();
    view.merge_observations(Millis(10_000), stamp(1, 500), &[load("t", 1, 0, 1)]);
    let now = Millis(13_000);
    view.merge_observations(now, stamp(2, 2_500), &[load("t", 1, 100, 2)]);
    let known = view.load(now, "t", Some(1)).expect("the load is recent");
    assert_eq!((known.running, known.age_ms), (2, Millis(1_100)));
}

/// Guards against a pace or a weight that stays in force although no aggregator confirms it.
#[test]
fn pace_and_ramp_weight_fade() {
    let mut view = TargetView::new();
    let now = Millis(10_000);
    let summary = TargetSummary {
        target: "t".to_owned(),
        incarnation: Some(1),
        pace: Some(3.0),
        ramp_weight: Some(0.5),
        ..TargetSummary::default()
    };
    view.merge_summaries(now, stamp(1, 500), &[summary]);
    assert!((view.pace(now, "t") - 3.0).abs() < 1e-9);
    let half = now + Millis(PACE_VALID_MS.0 / 2);
    assert!((view.pace(half, "t") - 2.0).abs() < 1e-9);
    assert!((view.ramp_weight(half, "t") - 0.75).abs() < 1e-9);
    assert!((view.pace(now + PACE_VALID_MS, "t") - 1.0).abs() < 1e-9);
    view.remove("t");
    assert!((view.pace(now, "t") - 1.0).abs() < 1e-9);
}

/// Guards against small changes that displace large ones when the budget does not suffice, and
/// against targets that are never sent because others change more.
#[test]
fn the_largest_changes_are_sent_first_and_all_within_some_time() {
    let mut view = TargetView::new();
    let mut now = Millis(10_000);
    for index in 0..40 {
        view.observe(now, &load(&format!("t{index}"), 1, 0, 10));
    }
    assert_eq!(
        view.take_summaries(now, Receivers::Domain, 10_000).len(),
        40
    );
    now = now + Millis(200);
    for index in 0..40 {
        let running = if index == 7 { 30 } else { 11 };
        view.observe(now, &load(&format!("t{index}"), 1, 0, running));
    }
    let first = view.take_summaries(now, Receivers::Domain, 20);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].target, "t7");
    let mut sent = BTreeSet::new();
    for _ in 0..9 {
        now = now + Millis(200);
        for index in 0..40 {
            let running = if index < 4 { now.0 as u32 / 8 % 32 } else { 11 };
            view.observe(now, &load(&format!("t{index}"), 1, 0, running));
        }
        let summaries = view.take_summaries(now, Receivers::Domain, 120);
        sent.extend(summaries.into_iter().map(|summary| summary.target));
    }
    assert!(sent.len() >= 36, "sent within 2 s: {}", sent.len());
}

/// Guards against messages where no service shares the load of its targets.
#[test]
fn nothing_is_sent_before_the_exchange_starts() {
    let mut exchange = ViewExchange::new("a", "x", 1);
    let mut view = TargetView::new();
    let peers = [ViewMember {
        name: "b",
        failure_domain: "x",
    }];
    for step in 1..50 {
        let step = exchange.step(Millis(step * 200), &mut view, &peers, false);
        assert_eq!(step.messages, Vec::new());
    }
}

/// Guards against members without a view after their aggregator was killed, and against a member
/// that does not return to it when it is back.
#[test]
fn a_killed_aggregator_is_replaced_and_resumes_after_its_restart() {
    let mut fleet = Fleet::new(12, 1, 10, 100.0);
    fleet.run(3_000, |_| {});
    let members = fleet.running("d0");
    let aggregators = fleet.aggregators(&members);
    assert_eq!(aggregators.len(), 1, "{aggregators:?}");
    let first = aggregators.first().expect("there is an aggregator").clone();
    let killed = fleet.index(&first);
    fleet.nodes[killed].state = State::Killed;
    fleet.run(1_600, |_| {});
    let members = fleet.running("d0");
    let aggregators = fleet.aggregators(&members);
    assert_eq!(aggregators.len(), 1, "{aggregators:?}");
    assert!(!aggregators.contains(&first));
    fleet.run(1_500, |_| {});
    assert!(fleet.coverage(&members) > 0.99);
    fleet.restart(killed);
    fleet.run(1_000, |_| {});
    let members = fleet.running("d0");
    assert_eq!(fleet.aggregators(&members).into_iter().next(), Some(first));
    assert!(fleet.coverage(&members) > 0.99);
}

/// Guards against loads that pass for recent after an aggregator was frozen. It continues with what
/// it received before, and two aggregators are active for a moment.
#[test]
fn a_frozen_aggregator_does_not_spread_outdated_loads() {
    let mut fleet = Fleet::new(12, 1, 10, 100.0);
    fleet.run(3_000, |_| {});
    let members = fleet.running("d0");
    let first = fleet.aggregators(&members).into_iter().next().expect("one");
    let frozen = fleet.index(&first);
    for frozen_ms in [700, 1_500, 6_000] {
        fleet.nodes[frozen].state = State::Frozen;
        fleet.run(frozen_ms, |_| {});
        fleet.nodes[frozen].state = State::Running;
        fleet.run(3_000, |fleet| {
            let error_ms = fleet.worst_age_error_ms();
            assert!(error_ms <= MAX_AGE_ERROR_MS, "{error_ms} ms");
        });
        let aggregators = fleet.aggregators(&fleet.running("d0"));
        assert_eq!(aggregators.into_iter().next(), Some(first.clone()));
        assert!(fleet.coverage(&members) > 0.99);
    }
}

/// Guards against a half of a failure domain without a view while it is separated from the other
/// half, and against two views after the partition.
#[test]
fn each_half_of_a_domain_has_an_aggregator() {
    let mut fleet = Fleet::new(12, 1, 10, 200.0);
    fleet.run(3_000, |_| {});
    let members = fleet.running("d0");
    fleet.separated = (0..6).collect();
    // Each separated candidate is waited for in turn.
    fleet.run(8_000, |_| {});
    let halves: [Vec<usize>; 2] = [(0..6).collect(), (6..12).collect()];
    for half in &halves {
        let aggregators = fleet.aggregators(half);
        assert_eq!(aggregators.len(), 1, "{aggregators:?}");
        let aggregator = fleet.index(aggregators.first().expect("one"));
        assert!(half.contains(&aggregator));
        assert!(fleet.coverage(half) > 0.99);
    }
    fleet.separated.clear();
    fleet.run(2_000, |fleet| {
        let error_ms = fleet.worst_age_error_ms();
        assert!(error_ms <= MAX_AGE_ERROR_MS, "{error_ms} ms");
    });
    assert_eq!(fleet.aggregators(&members).len(), 1);
}

/// Guards against loads that pass for recent and samples that count twice when messages are late,
/// arrive twice or change their order.
#[test]
fn late_repeated_and_reordered_messages_do_no_harm() {
    let mut fleet = Fleet::new(12, 2, 10, 100.0);
    fleet.run(3_000, |_| {});
    fleet.faults = Faults {
        max_delay_ms: 900,
        duplicated_percent: 30,
    };
    fleet.run(10_000, |fleet| {
        let error_ms = fleet.worst_age_error_ms();
        assert!(error_ms <= MAX_AGE_ERROR_MS + 100, "{error_ms} ms");
    });
    fleet.requests_per_s = 0.0;
    fleet.run(3_000, |_| {});
    let counted: u32 = fleet.counted_samples().values().sum();
    assert!(counted <= fleet.sent_samples, "samples count twice");
    assert!(
        counted * 100 >= fleet.sent_samples * 99,
        "{counted} of {} samples arrived",
        fleet.sent_samples
    );
}

/// Guards against messages to instances that do not understand them, and against others that lose
/// their view because the first by rank is such an instance.
#[test]
fn instances_of_an_older_version_get_no_messages() {
    let mut fleet = Fleet::new(12, 1, 10, 100.0);
    for index in 0..6 {
        fleet.nodes[index].is_older_version = true;
    }
    fleet.run(5_000, |_| {});
    let members = fleet.running("d0");
    assert_eq!(members.len(), 6);
    assert_eq!(fleet.aggregators(&members).len(), 1);
    assert!(fleet.coverage(&members) > 0.9);
}

/// Guards against an instance that chooses without a view for long after its start.
#[test]
fn an_instance_that_starts_asks_for_the_complete_view() {
    let mut fleet = Fleet::new(25, 1, 30, 200.0);
    fleet.run(4_000, |_| {});
    let aggregators = fleet.aggregators(&fleet.running("d0"));
    let aggregator = fleet.index(aggregators.first().expect("one"));
    let started = (aggregator + 1) % 25;
    fleet.restart(started);
    fleet.run(400, |_| {});
    assert!(fleet.coverage(&[started]) > 0.9);
}

/// Guards against a usual level that follows short rises, differs between instances, or is the same
/// for targets that differ.
#[test]
fn the_usual_work_percentage_ignores_short_rises() {
    fn work_percent(target: usize, now: Millis) -> u32 {
        let usual = if target.is_multiple_of(2) { 55 } else { 120 };
        let is_rise = (now.0 + target as u64 * 1_700) % 4_000 < 600;
        if is_rise { usual * 5 / 2 } else { usual }
    }
    let mut fleet = Fleet::new(24, 3, 30, 115.0);
    fleet.work_percent = work_percent;
    fleet.run(6_000, |_| {});
    fleet.run(10_000, |fleet| {
        for node in &fleet.nodes {
            for (index, (target, domain)) in fleet.targets.iter().enumerate() {
                let usual = if index.is_multiple_of(2) { 55 } else { 120 };
                if *domain == node.domain {
                    let level = node.view.usual_work_percent(target, Some(1));
                    assert_eq!(level, Some(usual), "{target} at {}", node.name);
                }
            }
        }
    });
}

/// Guards against messages that take more than the budget of an instance. Prints what each instance
/// receives and how much of its domain it knows.
#[test]
fn received_bytes_stay_within_the_budget() {
    println!(
        "instances targets requests/s | received mean max | sent mean max | known, mean age ms"
    );
    let sizes = [
        (74, 3, 95, 349.0, 10),
        (300, 3, 300, 1_400.0, 10),
        (1_700, 8, 1_700, 8_000.0, 3),
    ];
    for (instances, domains, targets, requests_per_s, seconds) in sizes {
        let mut fleet = Fleet::new(instances, domains, targets, requests_per_s);
        fleet.run(2_000, |_| {});
        for node in &mut fleet.nodes {
            (node.received_bytes, node.sent_bytes) = (0, 0);
        }
        fleet.run(seconds * 1_000, |_| {});
        let per_s = |bytes: usize| bytes as u64 / seconds;
        let received: Vec<u64> = fleet
            .nodes
            .iter()
            .map(|n| per_s(n.received_bytes))
            .collect();
        let sent: Vec<u64> = fleet.nodes.iter().map(|n| per_s(n.sent_bytes)).collect();
        let mean = |values: &[u64]| values.iter().sum::<u64>() / values.len() as u64;
        let max = |values: &[u64]| values.iter().max().copied().unwrap_or_default();
        let members = fleet.running("d0");
        let ages: Vec<u64> = members
            .iter()
            .map(|&index| fleet.nodes[index].view.coverage(fleet.now).1.0)
            .collect();
        println!(
            "{instances} {targets} {requests_per_s} | {} {} | {} {} | {:.2} {}",
            mean(&received),
            max(&received),
            mean(&sent),
            max(&sent),
            fleet.coverage(&members),
            mean(&ages)
        );
        // A budget that was saved up for a second may be used within the measured time.
        let allowed = RECEIVED_BYTES_PER_S + RECEIVED_BYTES_PER_S / seconds;
        assert!(max(&received) <= allowed, "{instances} instances");
    }
}

/// Guards against an aggregator that sends more than the budget of a receiver when many targets
/// change at once.
#[test]
fn an_aggregator_with_many_changes_keeps_to_the_budget_of_each_receiver() {
    let mut exchange = ViewExchange::new("a", "x", 1);
    exchange.activate();
    let mut view = TargetView::new();
    let names: Vec<String> = (0..10).map(|index| format!("p{index}")).collect();
    let members: Vec<ViewMember<'_>> = names
        .iter()
        .map(|name| ViewMember {
            name,
            failure_domain: "x",
        })
        .collect();
    let mut bytes_by_receiver = BTreeMap::new();
    for step in 1..=125_u64 {
        let now = Millis(5_000 + step * 200);
        for index in 0..300 {
            let running = step as u32 * 7 + index;
            view.observe(now, &load(&format!("t{index}"), 1, 0, running % 32));
        }
        // The others send nothing, so that this instance becomes the aggregator.
        for message in exchange.step(now, &mut view, &members, false).messages {
            if let Outgoing::Summaries { receivers, message } = message {
                let sizes = message.records.iter().map(SummaryRecord::encoded_bytes);
                let bytes = MESSAGE_BYTES as usize + 1 + sizes.sum::<usize>();
                for receiver in receivers {
                    *bytes_by_receiver.entry(receiver).or_insert(0) += bytes as u64;
                }
            }
        }
    }
    assert_eq!(bytes_by_receiver.len(), 10, "{bytes_by_receiver:?}");
    for (receiver, bytes) in bytes_by_receiver {
        assert!(bytes >= RECEIVED_BYTES_PER_S * 10, "the budget is not used");
        // 25 s, and the second that is saved up.
        assert!(bytes <= RECEIVED_BYTES_PER_S * 26, "{receiver}: {bytes}");
    }
}

/// Guards against messages that waited while this instance was frozen and come from a sender that it
/// has not heard before: nothing tells how long they waited.
#[test]
fn a_new_sender_is_ignored_right_after_an_interruption() {
    let mut exchange = ViewExchange::new("a", "x", 1);
    exchange.activate();
    exchange.set_targets(TargetNames::new([("t", Some(1))].into_iter()));
    let mut view = TargetView::new();
    let message = |sequence, sender_uptime_ms| ObservationMessage {
        sender: None,
        stamp: stamp(sequence, sender_uptime_ms),
        records: vec![load("t", 1, 0, 5).record()],
    };
    let _step = exchange.step(Millis(5_000), &mut view, &[], false);
    let resumed_at = Millis(9_000);
    exchange.receive_observations(resumed_at, &mut view, &message(1, 500));
    exchange.receive_observations(resumed_at, &mut view, &message(2, 1_500));
    assert_eq!(view.load(resumed_at, "t", Some(1)), None);
    for now in [9_200, 9_400, 9_600] {
        let _step = exchange.step(Millis(now), &mut view, &[], false);
    }
    let later = Millis(9_700);
    exchange.receive_observations(later, &mut view, &message(3, 5_200));
    assert!(view.load(later, "t", Some(1)).is_some());
}

/// Guards against a member without a view that cannot hear the first aggregator by rank and turns to
/// one that can hear it.
#[test]
fn a_member_that_names_itself_gets_summaries_from_another_aggregator() {
    let members = ["a", "b", "c"].map(|name| ViewMember {
        name,
        failure_domain: "x",
    });
    let others = |local: &str| -> Vec<ViewMember<'_>> {
        let others = members.iter().filter(|member| member.name != local);
        others.copied().collect()
    };
    let mut served = 0;
    for local in ["a", "b", "c"] {
        let mut exchange = ViewExchange::new(local, "x", 1);
        exchange.activate();
        let mut view = TargetView::new();
        let peers = others(local);
        let now = Millis(5_000);
        let _step = exchange.step(now, &mut view, &peers, false);
        let first = exchange.aggregator().expect("there is one").to_owned();
        if first == local {
            continue;
        }
        let asking = peers.iter().find(|peer| peer.name != first);
        let asking = asking.expect("there is a third instance").name;
        let request = ObservationMessage {
            sender: Some(asking.to_owned()),
            stamp: stamp(1, 500),
            records: Vec::new(),
        };
        exchange.receive_observations(now, &mut view, &request);
        let step = exchange.step(Millis(5_200), &mut view, &peers, false);
        served += step
            .messages
            .iter()
            .filter(|message| {
                matches!(message, Outgoing::Summaries { receivers, .. }
                    if *receivers == [asking.to_owned()])
            })
            .count();
    }
    assert_eq!(served, 2, "both that are not the first one by rank");
}
