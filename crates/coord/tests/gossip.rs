//! Tests the detection of failed members and the spread of configurations and drains, with packet
//! loss, duplicates, delays, pauses, crashes and partitions.

mod network;

use std::env;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;
use quickcheck::Testable;

use arbutus_coord::Millis;
use arbutus_coord::document::Document;
use arbutus_coord::document::DocumentKind;
use arbutus_coord::drain::DrainSubject;
use arbutus_coord::gossip::Input;
use arbutus_coord::gossip::Output;
use arbutus_coord::membership::Member;
use arbutus_coord::membership::MemberState;
use network::Faults;
use network::Network;
use network::address;
use network::name;

const DEFAULT_SEED: u64 = 11;
const INSTANCES: usize = 9;
const DOMAINS: usize = 3;
const MAX_DETECTION_MS: Millis = Millis(8_000);
const MAX_DRAIN_SPREAD_MS: Millis = Millis(5_000);
const MAX_HEAL_MS: Millis = Millis(60_000);

fn check(tests: u64, property: impl Testable) {
    let seed = env::var("ARBUTUS_SEED").map_or(DEFAULT_SEED, |seed| {
        seed.parse().expect("ARBUTUS_SEED is a number")
    });
    println!("ARBUTUS_SEED={seed}");
    QuickCheck::new()
        .tests(tests)
        .max_tests(tests * 4)
        .rng(Gen::from_size_and_seed(24, seed))
        .quickcheck(property);
}

/// One step of a random schedule of faults and changes.
///
/// The `usize` is the index of an instance; the `u64` is a duration in milliseconds, or the number
/// of a generation.
#[derive(Clone, Copy, Debug)]
enum Step {
    Crash(usize),
    Start(usize),
    Pause(usize, u64),
    Faults(Faults),
    Generation(usize, u64),
    Drain(usize, bool),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % INSTANCES;
        let number = u64::arbitrary(g);
        match u8::arbitrary(g) % 9 {
            0 => Self::Crash(index),
            1 => Self::Start(index),
            2 => Self::Pause(index, number % 12_000),
            3 => Self::Faults(Faults {
                loss_percent: number % 40,
                duplicate_percent: number % 30,
                max_delay_ms: number % 600,
                partitioned: bool::arbitrary(g),
                blocked_pair: None,
            }),
            4 => Self::Generation(index, number % 20 + 1),
            5 => Self::Drain(index, bool::arbitrary(g)),
            _ => Self::Wait(number % 6_000),
        }
    }
}

fn generation(number: u64, content: u8) -> Document {
    Document {
        kind: DocumentKind::Configuration,
        number,
        content: vec![b'x', content, b'y'],
    }
}

fn change_drain(network: &mut Network, index: usize, subject: DrainSubject, drained: bool) {
    if let Some(node) = network.nodes.get(&index) {
        let entry = node.gossip.drains().next_entry(subject, drained);
        network.handle(index, Input::Drains(&[entry]));
    }
}

fn apply_step(network: &mut Network, step: Step) {
    match step {
        Step::Crash(index) => {
            network.nodes.remove(&index);
        }
        Step::Start(index) => network.start(index),
        Step::Pause(index, duration) => {
            let until = network.now + Millis(duration);
            if let Some(node) = network.nodes.get_mut(&index) {
                node.paused_until = until;
            }
        }
        Step::Faults(faults) => network.faults = faults,
        Step::Generation(index, number) => {
            let document = generation(number, 0);
            network.handle(index, Input::Document(&document));
        }
        Step::Drain(index, drained) => {
            let subject = DrainSubject::Instance(name(index % 3));
            change_drain(network, index, subject, drained);
        }
        Step::Wait(duration) => network.run(Millis(duration)),
    }
}

/// Guards against live members that stay dead, crashed members that stay alive, restarted members
/// that are confused with the earlier process, and configurations and drains that differ after the
/// faults end. The simulated network also asserts at each input that the generation does not
/// decrease.
#[test]
fn random_schedules_converge_after_the_faults_end() {
    fn property(steps: Vec<Step>, seed: u64) -> TestResult {
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        for step in steps {
            apply_step(&mut network, step);
        }
        network.faults = Faults::default();
        network.run(MAX_HEAL_MS);
        if let Some(error) = network.find_wrong_entry() {
            return TestResult::error(error);
        }
        for index in 0..INSTANCES {
            if !network.nodes.contains_key(&index) && !network.is_dead_everywhere(index) {
                return TestResult::error(format!(
                    "a running instance still regards crashed instance {index} as live"
                ));
            }
        }
        let digests_of = |index: &usize| {
            let gossip = &network.nodes[index].gossip;
            let digest = gossip.membership().digest();
            (
                gossip.documents().versions(),
                gossip.drains().digest(),
                digest,
            )
        };
        let digests: Vec<_> = network.nodes.keys().map(digests_of).collect();
        if digests.windows(2).any(|pair| pair[0] != pair[1]) {
            return TestResult::error(format!("the digests of the instances differ: {digests:?}"));
        }
        let is_self_suspect = |index: &usize| {
            network.nodes[index]
                .gossip
                .membership()
                .is_self_suspect(network.now)
        };
        if network.nodes.keys().any(is_self_suspect) {
            return TestResult::error("an instance still regards itself as suspect");
        }
        TestResult::passed()
    }
    check(60, property as fn(Vec<Step>, u64) -> TestResult);
}

/// Guards against crashes that are detected late and against live members that are declared dead,
/// with less than 10 % packet loss.
#[test]
fn crashes_are_detected_within_the_bound() {
    fn property(crashed: usize, seed: u64) -> TestResult {
        let crashed = crashed % INSTANCES;
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        network.faults.loss_percent = seed % 10;
        network.faults.max_delay_ms = 5;
        network.run(Millis(20_000));
        network.nodes.remove(&crashed);
        network.run(MAX_DETECTION_MS);
        if !network.is_dead_everywhere(crashed) {
            return TestResult::error("an instance did not detect the crash in time");
        }
        let crashed = name(crashed);
        for (index, node) in &network.nodes {
            if let Some((dead, _)) = node
                .dead_processes
                .iter()
                .find(|(dead, _)| *dead != crashed)
            {
                return TestResult::error(format!(
                    "instance {index} declared the live member {dead} dead"
                ));
            }
        }
        TestResult::passed()
    }
    check(60, property as fn(usize, u64) -> TestResult);
}

/// Guards against a live member that is declared dead by an instance that did not receive its
/// refutation, with 20 % packet loss.
#[test]
fn a_member_is_not_declared_dead_when_refutations_are_lost() {
    fn property(seed: u64) -> TestResult {
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        network.faults.loss_percent = 20;
        network.faults.max_delay_ms = 5;
        network.run(Millis(60_000));
        let deaths = network.nodes.values().map(|node| node.dead_processes.len());
        match deaths.sum::<usize>() {
            0 => TestResult::passed(),
            deaths => TestResult::error(format!("live members were declared dead {deaths} times")),
        }
    }
    check(60, property as fn(u64) -> TestResult);
}

/// Guards against an instance that does not probe a suspect member itself, but waits for others to
/// relay a refutation.
#[test]
fn every_observer_probes_a_suspect_before_it_declares_it_dead() {
    let mut network = Network::new(INSTANCES, DOMAINS, 4);
    let mut observer = network.nodes.remove(&0).expect("the instance runs").gossip;
    let suspecting_peer = &mut network.nodes.get_mut(&1).expect("the instance runs").gossip;
    let mut packet = suspecting_peer.gossip_packet();
    let mut suspect = suspecting_peer
        .membership()
        .get(&name(8))
        .cloned()
        .expect("the member is known");
    suspect.state = MemberState::Suspect;
    packet.members = vec![suspect.clone()];
    let from = address(1);
    let packet = &packet;
    observer.handle(network.now, Input::Received { from, packet });
    let mut packets_to_suspect = 0;
    for elapsed in 1..2_000 {
        let now = network.now + Millis(elapsed);
        if observer.wake_at() <= now {
            let outputs = observer.handle(now, Input::Tick);
            let informs_suspect = |output: &&Output| {
                matches!(output, Output::Send { to, packet }
                    if *to == address(8) && packet.members.contains(&suspect))
            };
            packets_to_suspect += outputs.iter().filter(informs_suspect).count();
        }
    }
    assert!(
        packets_to_suspect >= 4,
        "the suspect member was informed {packets_to_suspect} times"
    );
}

/// Guards against drains and documents that wait for the next probe, which is too slow when there
/// are many instances.
#[test]
fn changes_spread_within_a_probe_period() {
    fn property(origin: usize, seed: u64) -> TestResult {
        let origin = origin % INSTANCES;
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        let subject = DrainSubject::FailureDomain("domain-1".to_owned());
        let document = generation(2, 0);
        change_drain(&mut network, origin, subject.clone(), true);
        network.handle(origin, Input::Document(&document));
        network.run(Millis(250));
        let has_both = |index: &usize| {
            let gossip = &network.nodes[index].gossip;
            let configuration = gossip.documents().get(&DocumentKind::Configuration);
            gossip.drains().is_drained(&subject) && configuration.is_some()
        };
        let informed = network.nodes.keys().filter(|index| has_both(index)).count();
        if informed + 1 < INSTANCES {
            return TestResult::error(format!(
                "only {informed} instances have the drain and the document"
            ));
        }
        TestResult::passed()
    }
    check(30, property as fn(usize, u64) -> TestResult);
}

/// Guards against a drain that does not reach every reachable instance within 5 s when packets are
/// lost and the platform does not help, and against a drain that does not reach the other side of a
/// partition after the partition ends.
#[test]
fn a_drain_reaches_all_reachable_instances() {
    fn property(origin: usize, seed: u64) -> TestResult {
        let origin = origin % INSTANCES;
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        network.faults.loss_percent = seed % 30;
        network.faults.max_delay_ms = 20;
        network.faults.partitioned = seed.is_multiple_of(2);
        network.run(Millis(seed % 10_000));
        let subject = DrainSubject::FailureDomain("domain-1".to_owned());
        change_drain(&mut network, origin, subject.clone(), true);
        network.run(MAX_DRAIN_SPREAD_MS);
        for index in network.nodes.keys() {
            let drained = network.nodes[index].gossip.drains().is_drained(&subject);
            if drained != network.is_reachable(origin, *index) {
                return TestResult::error(format!(
                    "the failure domain is drained at instance {index}: {drained}"
                ));
            }
        }
        network.faults = Faults::default();
        network.run(MAX_HEAL_MS);
        let mut nodes = network.nodes.values();
        if !nodes.all(|node| node.gossip.drains().is_drained(&subject)) {
            return TestResult::error("an instance lacks the drain after the partition");
        }
        TestResult::passed()
    }
    check(60, property as fn(usize, u64) -> TestResult);
}

/// Guards against an instance that does not notice that it was paused, although its peers may have
/// declared it dead.
#[test]
fn a_resumed_instance_regards_itself_as_suspect_until_it_is_acknowledged() {
    fn property(index: usize, pause: u64, seed: u64) -> TestResult {
        let index = index % INSTANCES;
        let pause = Millis(2_600 + pause % 30_000);
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        network
            .nodes
            .get_mut(&index)
            .expect("the instance runs")
            .paused_until = network.now + pause;
        network.run(pause - Millis(1));
        // All packets are lost, so no peer can acknowledge the instance.
        network.faults.loss_percent = 100;
        network.run(Millis(1_200));
        if !network.nodes[&index]
            .gossip
            .membership()
            .is_self_suspect(network.now)
        {
            return TestResult::error("the resumed instance does not regard itself as suspect");
        }
        network.faults = Faults::default();
        network.run(Millis(10_000));
        if network.nodes[&index]
            .gossip
            .membership()
            .is_self_suspect(network.now)
        {
            return TestResult::error("the acknowledged instance still regards itself as suspect");
        }
        match network.find_wrong_entry() {
            Some(error) => TestResult::error(error),
            None => TestResult::passed(),
        }
    }
    check(40, property as fn(usize, u64, u64) -> TestResult);
}

/// Guards against a member that becomes suspect or dead because a single instance cannot reach it.
#[test]
fn a_member_that_other_members_reach_stays_alive() {
    fn property(seed: u64) -> TestResult {
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        network.faults.blocked_pair = Some((0, 3));
        network.run(Millis(60_000));
        let incarnations = [0, 3].map(|index: usize| {
            let local_member = network.nodes[&index].gossip.membership().local_member();
            local_member.incarnation
        });
        if incarnations != [0, 0] {
            return TestResult::error(format!(
                "a member had to refute a suspicion; incarnations: {incarnations:?}"
            ));
        }
        match network.find_wrong_entry() {
            Some(error) => TestResult::error(error),
            None => TestResult::passed(),
        }
    }
    check(20, property as fn(u64) -> TestResult);
}

/// Guards against an instance without peers that regards itself as suspect forever after a pause,
/// since no peer can acknowledge it.
#[test]
fn an_instance_without_peers_is_not_suspect_after_a_pause() {
    let mut network = Network::new(1, 1, 3);
    network
        .nodes
        .get_mut(&0)
        .expect("the instance runs")
        .paused_until = network.now + Millis(60_000);
    network.run(Millis(60_001));
    assert!(
        !network.nodes[&0]
            .gossip
            .membership()
            .is_self_suspect(network.now)
    );
}

/// Guards against updates about an earlier process that override the entry of the restarted one,
/// and against an earlier process that keeps running although a later one has started.
#[test]
fn a_restarted_member_is_not_confused_with_the_earlier_process() {
    fn property(index: usize, seed: u64) -> TestResult {
        let index = index % INSTANCES;
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        network.faults.max_delay_ms = 400;
        network.run(Millis(5_000));
        let mut earlier = network.nodes.remove(&index).expect("the instance runs");
        network.run(Millis(seed % 6_000));
        network.start(index);
        // Round trips longer than the probe period cause false suspicions, so the members are only
        // checked after the delays end.
        network.run(Millis(10_000));
        network.faults = Faults::default();
        // A delayed packet of the earlier process arrives at all instances.
        let packet = earlier.gossip.gossip_packet();
        for other in 0..INSTANCES {
            let from = address(index);
            let packet = &packet;
            network.handle(other, Input::Received { from, packet });
        }
        network.run(Millis(20_000));
        if network.nodes.values().any(|node| node.superseded) {
            return TestResult::error("the later process regards itself as superseded");
        }
        let later_packet = network
            .nodes
            .get_mut(&index)
            .expect("the instance runs")
            .gossip
            .gossip_packet();
        let from = address(index);
        let input = Input::Received {
            from,
            packet: &later_packet,
        };
        let outputs = earlier.gossip.handle(network.now, input);
        let superseded = |output: &Output| matches!(output, Output::Superseded { .. });
        if !outputs.iter().any(superseded) {
            return TestResult::error("the earlier process does not notice the later one");
        }
        match network.find_wrong_entry() {
            Some(error) => TestResult::error(error),
            None => TestResult::passed(),
        }
    }
    check(40, property as fn(usize, u64) -> TestResult);
}

/// Guards against instances that still send new work to an instance that shuts down.
#[test]
fn a_leaving_instance_is_known_as_leaving() {
    let mut network = Network::new(INSTANCES, DOMAINS, 5);
    network.handle(4, Input::Leave);
    network.run(Millis(5_000));
    for node in network.nodes.values() {
        let members = node.gossip.membership();
        let seen = members.get(&name(4)).expect("the member is known");
        assert_eq!(seen.state, MemberState::Leaving);
        assert!(
            members
                .accepting_work_in("domain-1")
                .all(|member| member.name != name(4))
        );
    }
}

/// Guards against live members that are declared dead because a peer from the other side of a
/// former partition still regards them as dead when it replies to a request for members.
#[test]
fn dead_states_in_requested_members_are_ignored() {
    let mut network = Network::new(INSTANCES, DOMAINS, 6);
    let members = network.nodes[&0].gossip.membership().members().cloned();
    let mut members: Vec<Member> = members.collect();
    for member in &mut members {
        member.state = MemberState::Dead;
    }
    network.handle(3, Input::Members(&members));
    assert_eq!(network.find_wrong_entry(), None);
}

/// Guards against failure domains that do not find each other again after a partition of one hour
/// without the platform.
#[test]
fn failure_domains_rejoin_after_a_long_partition() {
    let mut network = Network::new(INSTANCES, DOMAINS, 9);
    network.faults.partitioned = true;
    network.run(Millis(20_000));
    let document = generation(3, 1);
    network.handle(0, Input::Document(&document));
    network.run(Millis(60 * 60 * 1_000));
    assert!(network.find_wrong_entry().is_some());
    network.faults = Faults::default();
    network.run(MAX_HEAL_MS);
    assert_eq!(network.find_wrong_entry(), None);
    for node in network.nodes.values() {
        let documents = node.gossip.documents();
        assert_eq!(documents.get(&DocumentKind::Configuration), Some(&document));
    }
}
