//! Shows how to embed the gossip state machine in a program.
//!
//! Four instances in two failure domains discover each other, spread a drain and detect that one of
//! them has stopped. The program simulates the network and the clock: it delivers each packet to
//! its receiver and passes the time to each instance. Run it with
//! `cargo run -p arbutus-coord --example membership`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use arbutus_coord::Millis;
use arbutus_coord::drain::DrainSubject;
use arbutus_coord::gossip::Gossip;
use arbutus_coord::gossip::Input;
use arbutus_coord::gossip::Output;
use arbutus_coord::membership::Member;
use arbutus_coord::membership::MemberState;
use arbutus_coord::membership::MembershipSpec;

const INSTANCES: u16 = 4;
const FIRST_PORT: u16 = 7_000;

struct Simulation {
    now: Millis,
    instances: BTreeMap<SocketAddr, Gossip>,
}

fn main() {
    let mut simulation = Simulation {
        now: Millis::ZERO,
        instances: BTreeMap::new(),
    };
    let seed = address(0);
    for index in 0..INSTANCES {
        // The boot identifier has to rise with each start of an instance; a real program uses the
        // wall-clock time.
        let local_member = Member {
            name: format!("instance-{index}"),
            failure_domain: format!("domain-{}", index % 2),
            peer_address: address(index),
            http_address: address(index),
            boot_id: 1,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let random_seed = u64::from(index);
        let gossip = Gossip::new(
            MembershipSpec::default(),
            local_member,
            random_seed,
            simulation.now,
        );
        simulation.instances.insert(address(index), gossip);
        simulation.handle(address(index), Input::Seeds(&[seed]));
    }
    simulation.run(Millis(5_000));

    let gossip = &simulation.instances[&address(1)];
    let entry = gossip
        .drains()
        .next_entry(DrainSubject::FailureDomain("domain-0".to_owned()), true);
    simulation.handle(address(1), Input::Drains(&[entry]));
    simulation.run(Millis(1_000));

    simulation.instances.remove(&address(2));
    simulation.run(Millis(8_000));
    for gossip in simulation.instances.values() {
        println!(
            "members known to {}:",
            gossip.membership().local_member().name
        );
        for member in gossip.membership().members() {
            println!("  {} is {}", member.name, member.state);
        }
    }
}

impl Simulation {
    /// Passes an input to an instance and carries out its outputs.
    fn handle(&mut self, at: SocketAddr, input: Input<'_>) {
        let Some(gossip) = self.instances.get_mut(&at) else {
            return;
        };
        for output in gossip.handle(self.now, input) {
            match output {
                Output::Send { to, packet } => {
                    let packet = &packet;
                    self.handle(to, Input::Received { from: at, packet });
                }
                Output::FetchMembers { from } => {
                    let buckets = self.instances[&at].membership().digest_buckets();
                    if let Some(peer) = self.instances.get(&from) {
                        let members = peer.membership().members_in_differing_buckets(buckets);
                        self.handle(at, Input::Members(&members));
                    }
                }
                Output::MemberChanged(member) => {
                    println!(
                        "{}: {at} sees {} as {}",
                        self.now, member.name, member.state
                    );
                }
                Output::DrainsChanged(entries) => {
                    println!("{}: {at} receives {} drain entry", self.now, entries.len());
                }
                // In this program there are no documents and no pauses, and all drains fit into a
                // packet.
                Output::FetchDocument { .. }
                | Output::ExchangeDrains { .. }
                | Output::DocumentChanged(_)
                | Output::SelfSuspect(_)
                | Output::Superseded { .. } => {}
            }
        }
    }

    /// Advances the simulated time; a real program waits until the earliest `wake_at`.
    fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + Millis(10);
            let addresses: Vec<SocketAddr> = self.instances.keys().copied().collect();
            for at in addresses {
                if self.instances[&at].wake_at() <= self.now {
                    self.handle(at, Input::Tick);
                }
            }
        }
    }
}

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index))
}
