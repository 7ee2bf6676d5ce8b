//! Guards against pace and ramp weights that do not reach the instances that choose targets, or that
//! change without evidence.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_policy::serving::target_advisor::AdvisedTarget;
use arbutus_policy::serving::target_advisor::TargetAdvisor;
use arbutus_policy::serving::target_pace::PaceSample;
use arbutus_policy::serving::target_ramp::MIN_WEIGHT;
use arbutus_policy::serving::target_ramp::OutcomeCounts;
use arbutus_policy::serving::target_ramp::RampCause;
use arbutus_policy::serving::target_ramp::RampChange;
use arbutus_policy::serving::target_ramp::RampState;
use arbutus_policy::serving::target_view::NewSamples;
use arbutus_policy::serving::target_view::TargetView;
use arbutus_policy::serving::target_view::exchange::Outgoing;
use arbutus_policy::serving::target_view::exchange::STEP_INTERVAL_MS;
use arbutus_policy::serving::target_view::exchange::ViewExchange;
use arbutus_policy::serving::target_view::exchange::ViewMember;
use arbutus_policy::serving::target_view::messages::TargetNames;
use arbutus_policy::serving::target_view::messages::TargetObservation;

const NAMES: [&str; 2] = ["a", "b"];
const TARGETS: [&str; 3] = ["t0", "t1", "t2"];
const INCARNATION: Option<u64> = Some(1);
const OBJECTIVE_MS: Millis = Millis(1_200);

struct Node {
    view: TargetView,
    exchange: ViewExchange,
    advisor: TargetAdvisor,
    changes: Vec<RampChange>,
    is_running: bool,
}

/// Two instances of a failure domain.
struct Pair {
    now: Millis,
    nodes: Vec<Node>,
}

impl Pair {
    fn new() -> Self {
        let nodes = (1..).zip(NAMES).map(|(incarnation, name)| {
            let mut exchange = ViewExchange::new(name, "d", incarnation);
            exchange.activate();
            let names = TARGETS.map(|target| (target, INCARNATION));
            exchange.set_targets(TargetNames::new(names.into_iter()));
            let mut advisor = TargetAdvisor::default();
            let targets = TARGETS.map(|target| (target.to_owned(), target_of(INCARNATION)));
            advisor.set_targets(BTreeMap::from(targets));
            Node {
                view: TargetView::new(),
                exchange,
                advisor,
                changes: Vec::new(),
                is_running: true,
            }
        });
        let mut pair = Self {
            now: Millis(10_000),
            nodes: nodes.collect(),
        };
        pair.run(Millis(1_000), |_| {});
        pair
    }

    fn aggregator(&self) -> usize {
        let mut nodes = self.nodes.iter();
        let position = nodes.position(|node| node.is_running && node.exchange.is_aggregator());
        position.expect("an instance is the aggregator")
    }

    fn member(&self) -> usize {
        1 - self.aggregator()
    }

    /// Calls `act` before each step of the exchange; messages arrive before the next one.
    fn run(&mut self, duration_ms: Millis, mut act: impl FnMut(&mut Self)) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.now = self.now + STEP_INTERVAL_MS;
            act(self);
            for sender in 0..NAMES.len() {
                self.step(sender);
            }
        }
    }

    fn step(&mut self, sender: usize) {
        let now = self.now;
        let receiver = 1 - sender;
        let is_connected = self.nodes[receiver].is_running;
        let node = &mut self.nodes[sender];
        if !node.is_running {
            return;
        }
        let peers = [ViewMember {
            name: NAMES[receiver],
            failure_domain: "d",
        }];
        let peers = if is_connected { &peers[..] } else { &[] };
        let step = node
            .advisor
            .step(now, &mut node.view, &mut node.exchange, peers, false);
        node.changes.extend(node.advisor.take_changes());
        for message in step.messages {
            self.deliver(sender, receiver, message);
        }
    }

    fn deliver(&mut self, sender: usize, receiver: usize, outgoing: Outgoing) {
        let now = self.now;
        let node = &mut self.nodes[receiver];
        match outgoing {
            Outgoing::Observations { message, .. } => {
                let samples = node
                    .exchange
                    .receive_observations(now, &mut node.view, &message);
                node.advisor.add_samples(now, &samples);
            }
            Outgoing::Summaries { message, .. } => {
                node.exchange
                    .receive_summaries(now, &mut node.view, "d", &message);
            }
            Outgoing::KnownTargets { .. } => {
                let reply = node.exchange.known_targets(now, &node.view);
                let node = &mut self.nodes[sender];
                node.exchange
                    .receive_summaries(now, &mut node.view, "d", &reply);
                node.exchange.record_known_targets();
            }
        }
    }

    fn start(&mut self, target: &str) {
        for node in &mut self.nodes {
            node.advisor
                .record_start(self.now, target, target_of(INCARNATION));
            let weight = node.advisor.weight(self.now, target);
            node.view
                .set_start_weight(self.now, target, INCARNATION, weight);
        }
    }

    /// Lets an instance get a response of a target with a load report.
    fn respond(&mut self, node: usize, target: &str, pace: PaceSample, outcomes: OutcomeCounts) {
        let observation = TargetObservation {
            target: target.to_owned(),
            incarnation: INCARNATION,
            running: 3,
            slots: Some(32),
            work_percent: Some(100),
            pace,
            outcomes,
            ..TargetObservation::default()
        };
        self.nodes[node].view.observe(self.now, &observation);
    }

    fn weight(&self, node: usize, target: &str) -> f64 {
        self.nodes[node].view.ramp_weight(self.now, target)
    }
}

fn target_of(incarnation: Option<u64>) -> AdvisedTarget {
    AdvisedTarget {
        service: "s".to_owned(),
        incarnation,
    }
}

fn in_time() -> OutcomeCounts {
    OutcomeCounts::of_response(Millis(100), OBJECTIVE_MS)
}

/// Guards against instances that give a target less than a normal share without any evidence, such
/// as after their own start.
#[test]
fn without_samples_all_weights_and_paces_are_1() {
    let mut pair = Pair::new();
    pair.run(Millis(10_000), |pair| {
        for (node, target) in TARGETS.into_iter().enumerate().take(NAMES.len()) {
            pair.respond(
                node,
                target,
                PaceSample::default(),
                OutcomeCounts::default(),
            );
        }
        for (node, target) in (0..NAMES.len()).flat_map(|node| TARGETS.map(|id| (node, id))) {
            assert!((pair.weight(node, target) - 1.0).abs() < f64::EPSILON);
            let pace = pair.nodes[node].view.pace(pair.now, target);
            assert!((pace - 1.0).abs() < f64::EPSILON);
        }
    });
    for node in &pair.nodes {
        assert_eq!(node.advisor.ramping_count(pair.now), 0);
        assert_eq!(node.changes, []);
    }
}

/// Guards against a started target that gets a normal share at once, and against one that keeps a
/// small share although its responses are in time. Only one of the two instances gets responses.
#[test]
fn responses_in_time_raise_the_weight_of_a_started_target_at_both_instances() {
    for is_responded_to_aggregator in [false, true] {
        let mut pair = Pair::new();
        let (aggregator, member) = (pair.aggregator(), pair.member());
        let responded = if is_responded_to_aggregator {
            aggregator
        } else {
            member
        };
        pair.start("t0");
        for node in [aggregator, member] {
            assert!(pair.weight(node, "t0") < 0.2, "the weight is low at first");
        }
        let mut weights = vec![pair.weight(1 - responded, "t0")];
        pair.run(Millis(8_000), |pair| {
            pair.respond(responded, "t0", PaceSample::default(), in_time());
            weights.push(pair.weight(1 - responded, "t0"));
        });
        assert!(weights.iter().any(|weight| (0.3..0.7).contains(weight)));
        for node in [aggregator, member] {
            assert!(pair.weight(node, "t0") > 0.94, "{weights:?}");
            assert!((pair.weight(node, "t1") - 1.0).abs() < f64::EPSILON);
        }
        let changes = &pair.nodes[aggregator].changes;
        let steps: Vec<_> = changes
            .iter()
            .map(|change| (change.state, change.cause))
            .collect();
        let expected = [
            (RampState::Ramping, Some(RampCause::Started)),
            (RampState::Steady, None),
        ];
        assert_eq!(steps, expected);
        assert_eq!(pair.nodes[member].changes, []);
    }
}

/// Guards against a member that sends a normal share to a target that refuses the requests of
/// another instance, also after a time without any reports.
#[test]
fn refusals_reduce_the_weight_at_the_other_instance() {
    let mut pair = Pair::new();
    let (aggregator, member) = (pair.aggregator(), pair.member());
    pair.run(Millis(6_000), |pair| {
        for target in ["t1", "t2"] {
            pair.respond(aggregator, target, PaceSample::default(), in_time());
        }
        let refused = OutcomeCounts::one_refused();
        pair.nodes[aggregator]
            .view
            .add_samples("t0", INCARNATION, PaceSample::default(), refused);
    });
    let weight = pair.weight(member, "t0");
    assert!(weight < MIN_WEIGHT + 0.06, "the weight is {weight}");
    assert_eq!(pair.nodes[aggregator].advisor.ramping_count(pair.now), 1);
    pair.run(Millis(55_000), |_| {});
    let weight = pair.weight(member, "t0");
    assert!(weight < 0.6, "the weight is {weight} without a response");
}

/// Guards against a pace that only the instance knows that observed it.
#[test]
fn the_pace_of_a_slow_target_reaches_the_other_instance() {
    let mut pair = Pair::new();
    let (aggregator, member) = (pair.aggregator(), pair.member());
    pair.run(Millis(10_000), |pair| {
        let pace = PaceSample::new(Millis(200), Millis(500));
        pair.respond(member, "t0", pace, in_time());
    });
    for node in [aggregator, member] {
        let pace = pair.nodes[node].view.pace(pair.now, "t0");
        assert!((1.5..2.6).contains(&pace), "the pace is {pace}");
    }
}

/// Guards against a new aggregator that takes all targets as steady, and against one that starts a
/// ramp again that the previous aggregator had completed.
#[test]
fn a_new_aggregator_takes_over_the_weights() {
    let mut pair = Pair::new();
    let (aggregator, member) = (pair.aggregator(), pair.member());
    pair.start("t1");
    pair.run(Millis(12_000), |pair| {
        for target in ["t1", "t2"] {
            pair.respond(aggregator, target, PaceSample::default(), in_time());
        }
        let failed = OutcomeCounts::one_failed();
        pair.nodes[aggregator]
            .view
            .add_samples("t0", INCARNATION, PaceSample::default(), failed);
    });
    pair.start("t2");
    pair.nodes[aggregator].is_running = false;
    pair.run(Millis(600), |_| {});
    assert_eq!(pair.aggregator(), member);
    assert!(pair.weight(member, "t0") < 0.2);
    assert!(pair.weight(member, "t1") > 0.94);
    assert!(pair.weight(member, "t2") < 0.2);
}

/// Guards against failures of an earlier run of a target that count for the present one.
#[test]
fn samples_of_an_earlier_run_are_ignored() {
    let mut pair = Pair::new();
    let aggregator = pair.aggregator();
    pair.nodes[aggregator]
        .advisor
        .record_start(pair.now, "t0", target_of(Some(2)));
    let advisor = &mut pair.nodes[aggregator].advisor;
    let weight = advisor.weight(pair.now, "t0");
    for (incarnation, counts) in [(INCARNATION, false), (Some(2), true)] {
        let sample = NewSamples {
            target: "t0".to_owned(),
            incarnation,
            pace: PaceSample::default(),
            outcomes: OutcomeCounts::one_failed(),
        };
        advisor.add_samples(pair.now, &[sample]);
        let has_fallen = advisor.weight(pair.now, "t0") < weight;
        assert_eq!(has_fallen, counts, "incarnation {incarnation:?}");
    }
}
