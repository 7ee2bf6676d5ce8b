//! Guards against members that are lost or revived wrongly, configurations that revert, and
//! drains that do not arrive, under losses, duplicates, delays, pauses, crashes and partitions.

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
const DETECTION_BOUND: Millis = Millis(8_000);
const DRAIN_BOUND: Millis = Millis(5_000);
const HEAL_BOUND: Millis = Millis(60_000);

fn check(tests: u64, property: impl Testable) {
    let seed = env::var("ARBUTUS_SEED").map_or(DEFAULT_SEED, |seed| seed.parse().expect("a seed"));
    println!("ARBUTUS_SEED={seed}");
    QuickCheck::new()
        .tests(tests)
        .max_tests(tests * 4)
        .rng(Gen::from_size_and_seed(24, seed))
        .quickcheck(property);
}

/// One step of a random history.
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
                cut_pair: None,
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

fn order(network: &mut Network, index: usize, subject: DrainSubject, drained: bool) {
    if let Some(node) = network.nodes.get(&index) {
        let entry = node.gossip.drains().next_entry(subject, drained);
        network.input(index, Input::Drains(&[entry]));
    }
}

fn apply(network: &mut Network, step: Step) {
    match step {
        Step::Crash(index) => {
            network.nodes.remove(&index);
        }
        Step::Start(index) => network.start(index),
        Step::Pause(index, span) => {
            let until = network.now + Millis(span);
            if let Some(node) = network.nodes.get_mut(&index) {
                node.paused_until = until;
            }
        }
        Step::Faults(faults) => network.faults = faults,
        Step::Generation(index, number) => {
            let document = generation(number, 0);
            network.input(index, Input::Document(&document));
        }
        Step::Drain(index, drained) => {
            let subject = DrainSubject::Instance(name(index % 3));
            order(network, index, subject, drained);
        }
        Step::Wait(span) => network.run(Millis(span)),
    }
}

/// Guards against live members that stay dead, dead ones that stay alive, restarted ones that are
/// confused with the old process, generations that fall (asserted at each input), and
/// configurations and drains that differ after a heal.
#[test]
fn random_histories_converge_after_the_faults_end() {
    fn property(steps: Vec<Step>, seed: u64) -> TestResult {
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        for step in steps {
            apply(&mut network, step);
        }
        network.faults = Faults::default();
        network.run(HEAL_BOUND);
        if let Some(wrong) = network.wrong_view() {
            return TestResult::error(wrong);
        }
        for index in 0..INSTANCES {
            if !network.nodes.contains_key(&index) && !network.is_dead_everywhere(index) {
                return TestResult::error(format!("{index} is not dead everywhere"));
            }
        }
        let knowledge = |index: &usize| {
            let gossip = &network.nodes[index].gossip;
            let digest = gossip.membership().digest();
            (
                gossip.documents().versions(),
                gossip.drains().digest(),
                digest,
            )
        };
        let all: Vec<_> = network.nodes.keys().map(knowledge).collect();
        if all.windows(2).any(|pair| pair[0] != pair[1]) {
            return TestResult::error(format!("knowledge differs: {all:?}"));
        }
        let suspect = |index: &usize| {
            network.nodes[index]
                .gossip
                .membership()
                .is_self_suspect(network.now)
        };
        if network.nodes.keys().any(suspect) {
            return TestResult::error("an instance still regards itself as suspect");
        }
        TestResult::passed()
    }
    check(60, property as fn(Vec<Step>, u64) -> TestResult);
}

/// Guards against crashes that are found late, and live members that are declared dead, with up
/// to 10 % loss.
#[test]
fn crashes_are_detected_within_the_bound() {
    fn property(victim: usize, seed: u64) -> TestResult {
        let victim = victim % INSTANCES;
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        network.faults.loss_percent = seed % 10;
        network.faults.max_delay_ms = 5;
        network.run(Millis(20_000));
        network.nodes.remove(&victim);
        network.run(DETECTION_BOUND);
        if !network.is_dead_everywhere(victim) {
            return TestResult::error("the crash was not detected everywhere");
        }
        let victim = name(victim);
        for (index, node) in &network.nodes {
            if let Some((dead, _)) = node.deaths_seen.iter().find(|(dead, _)| *dead != victim) {
                return TestResult::error(format!("{index} declared {dead} dead"));
            }
        }
        TestResult::passed()
    }
    check(60, property as fn(usize, u64) -> TestResult);
}

/// Guards against a live member that is declared dead by an instance that the refutation did not
/// reach, with 20 % loss.
#[test]
fn lost_refutations_do_not_kill_a_member() {
    fn property(seed: u64) -> TestResult {
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        network.faults.loss_percent = 20;
        network.faults.max_delay_ms = 5;
        network.run(Millis(60_000));
        let deaths = network.nodes.values().map(|node| node.deaths_seen.len());
        match deaths.sum::<usize>() {
            0 => TestResult::passed(),
            deaths => TestResult::error(format!("{deaths} wrong deaths")),
        }
    }
    check(60, property as fn(u64) -> TestResult);
}

/// Guards against an observer that relies on others to hear a refutation.
#[test]
fn every_observer_probes_a_suspect_before_it_declares_it_dead() {
    let mut network = Network::new(INSTANCES, DOMAINS, 4);
    let mut observer = network.nodes.remove(&0).expect("it runs").gossip;
    let accuser = &mut network.nodes.get_mut(&1).expect("it runs").gossip;
    let mut packet = accuser.gossip_packet();
    let mut suspect = accuser
        .membership()
        .get(&name(8))
        .cloned()
        .expect("it is known");
    suspect.state = MemberState::Suspect;
    packet.members = vec![suspect.clone()];
    let from = address(1);
    let packet = &packet;
    observer.handle(network.now, Input::Received { from, packet });
    let mut told = 0;
    for elapsed in 1..2_000 {
        let now = network.now + Millis(elapsed);
        if observer.wake_at() <= now {
            let outputs = observer.handle(now, Input::Tick);
            let tells = |output: &&Output| {
                matches!(output, Output::Send { to, packet }
                    if *to == address(8) && packet.members.contains(&suspect))
            };
            told += outputs.iter().filter(tells).count();
        }
    }
    assert!(told >= 4, "the suspect was told {told} times");
}

/// Guards against news that waits for the next probes, which takes too long in a large fleet.
#[test]
fn news_spreads_within_a_probe_period() {
    fn property(origin: usize, seed: u64) -> TestResult {
        let origin = origin % INSTANCES;
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        let subject = DrainSubject::FailureDomain("domain-1".to_owned());
        let document = generation(2, 0);
        order(&mut network, origin, subject.clone(), true);
        network.input(origin, Input::Document(&document));
        network.run(Millis(250));
        let knows = |index: &usize| {
            let gossip = &network.nodes[index].gossip;
            let configuration = gossip.documents().get(&DocumentKind::Configuration);
            gossip.drains().is_drained(&subject) && configuration.is_some()
        };
        let informed = network.nodes.keys().filter(|index| knows(index)).count();
        if informed + 1 < INSTANCES {
            return TestResult::error(format!("{informed} instances have the news"));
        }
        TestResult::passed()
    }
    check(30, property as fn(usize, u64) -> TestResult);
}

/// Guards against a drain that does not reach every reachable instance within 5 s without the
/// platform, with loss, and against a partitioned side that does not learn of it after the heal.
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
        order(&mut network, origin, subject.clone(), true);
        network.run(DRAIN_BOUND);
        for index in network.nodes.keys() {
            let drained = network.nodes[index].gossip.drains().is_drained(&subject);
            if drained != network.reachable(origin, *index) {
                return TestResult::error(format!("{index}: drained is {drained}"));
            }
        }
        network.faults = Faults::default();
        network.run(HEAL_BOUND);
        let mut nodes = network.nodes.values();
        if !nodes.all(|node| node.gossip.drains().is_drained(&subject)) {
            return TestResult::error("the drain did not arrive after the heal");
        }
        TestResult::passed()
    }
    check(60, property as fn(usize, u64) -> TestResult);
}

/// Guards against an instance that works on after a pause as if nothing had happened.
#[test]
fn a_resumed_instance_is_suspect_until_it_is_acknowledged() {
    fn property(index: usize, pause: u64, seed: u64) -> TestResult {
        let index = index % INSTANCES;
        let pause = Millis(2_600 + pause % 30_000);
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        network.nodes.get_mut(&index).expect("it runs").paused_until = network.now + pause;
        network.run(pause - Millis(1));
        // With everything lost, nobody can acknowledge the instance.
        network.faults.loss_percent = 100;
        network.run(Millis(1_200));
        if !network.nodes[&index]
            .gossip
            .membership()
            .is_self_suspect(network.now)
        {
            return TestResult::error("the resumed instance is not suspect");
        }
        network.faults = Faults::default();
        network.run(Millis(10_000));
        if network.nodes[&index]
            .gossip
            .membership()
            .is_self_suspect(network.now)
        {
            return TestResult::error("the acknowledged instance is still suspect");
        }
        match network.wrong_view() {
            Some(wrong) => TestResult::error(wrong),
            None => TestResult::passed(),
        }
    }
    check(40, property as fn(usize, u64, u64) -> TestResult);
}

/// Guards against a member that is declared dead, or suspected without end, because a single
/// path to it has failed.
#[test]
fn a_member_that_others_reach_stays_alive() {
    fn property(seed: u64) -> TestResult {
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        network.faults.cut_pair = Some((0, 3));
        network.run(Millis(60_000));
        let incarnations = [0, 3].map(|index: usize| {
            let me = network.nodes[&index].gossip.membership().local_member();
            me.incarnation
        });
        if incarnations != [0, 0] {
            return TestResult::error(format!("suspicions were refuted: {incarnations:?}"));
        }
        match network.wrong_view() {
            Some(wrong) => TestResult::error(wrong),
            None => TestResult::passed(),
        }
    }
    check(20, property as fn(u64) -> TestResult);
}

/// Guards against an instance without peers that waits for an acknowledgement in vain.
#[test]
fn an_instance_alone_is_not_suspect_after_a_pause() {
    let mut network = Network::new(1, 1, 3);
    network.nodes.get_mut(&0).expect("it runs").paused_until = network.now + Millis(60_000);
    network.run(Millis(60_001));
    assert!(
        !network.nodes[&0]
            .gossip
            .membership()
            .is_self_suspect(network.now)
    );
}

/// Guards against statements about the old process that override the restarted one, and against
/// an old process that goes on beside its successor.
#[test]
fn a_restarted_member_is_not_confused_with_the_old_process() {
    fn property(index: usize, seed: u64) -> TestResult {
        let index = index % INSTANCES;
        let mut network = Network::new(INSTANCES, DOMAINS, seed);
        network.faults.max_delay_ms = 400;
        network.run(Millis(5_000));
        let mut old = network.nodes.remove(&index).expect("it runs");
        network.run(Millis(seed % 6_000));
        network.start(index);
        // Round trips above the probe period raise false suspicions, so the view is checked later.
        network.run(Millis(10_000));
        network.faults = Faults::default();
        // The old process speaks up late.
        let packet = old.gossip.gossip_packet();
        for other in 0..INSTANCES {
            let from = address(index);
            let packet = &packet;
            network.input(other, Input::Received { from, packet });
        }
        network.run(Millis(20_000));
        if network.nodes.values().any(|node| node.superseded) {
            return TestResult::error("the new process regards itself as superseded");
        }
        let newer = network
            .nodes
            .get_mut(&index)
            .expect("it runs")
            .gossip
            .gossip_packet();
        let from = address(index);
        let input = Input::Received {
            from,
            packet: &newer,
        };
        let outputs = old.gossip.handle(network.now, input);
        let superseded = |output: &Output| matches!(output, Output::Superseded { .. });
        if !outputs.iter().any(superseded) {
            return TestResult::error("the old process does not notice its successor");
        }
        match network.wrong_view() {
            Some(wrong) => TestResult::error(wrong),
            None => TestResult::passed(),
        }
    }
    check(40, property as fn(usize, u64) -> TestResult);
}

/// Guards against a leaving instance that others still give new work to.
#[test]
fn a_leaving_instance_is_known_as_leaving() {
    let mut network = Network::new(INSTANCES, DOMAINS, 5);
    network.input(4, Input::Leave);
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
/// healed partition, from which the members are pulled, regards them so.
#[test]
fn deaths_are_not_pulled_from_a_peer() {
    let mut network = Network::new(INSTANCES, DOMAINS, 6);
    let members = network.nodes[&0].gossip.membership().members().cloned();
    let mut members: Vec<Member> = members.collect();
    for member in &mut members {
        member.state = MemberState::Dead;
    }
    network.input(3, Input::Members(&members));
    assert_eq!(network.wrong_view(), None);
}

/// Guards against a failure domain that stays cut off after an hour without the platform.
#[test]
fn sides_meet_again_after_a_long_partition() {
    let mut network = Network::new(INSTANCES, DOMAINS, 9);
    network.faults.partitioned = true;
    network.run(Millis(20_000));
    let document = generation(3, 1);
    network.input(0, Input::Document(&document));
    network.run(Millis(60 * 60 * 1_000));
    assert!(network.wrong_view().is_some());
    network.faults = Faults::default();
    network.run(HEAL_BOUND);
    assert_eq!(network.wrong_view(), None);
    for node in network.nodes.values() {
        let documents = node.gossip.documents();
        assert_eq!(documents.get(&DocumentKind::Configuration), Some(&document));
    }
}
