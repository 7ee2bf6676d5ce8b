//! Embeds the gossip state machine in a program of its own.
//!
//! Four instances in two failure domains find each other, agree on a drain, and notice that one
//! of them has gone. The program plays the network: it hands each packet to its receiver and
//! tells each instance the time. Run it with `cargo run -p arbutus-coord --example membership`.

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

struct Program {
    now: Millis,
    instances: BTreeMap<SocketAddr, Gossip>,
}

fn main() {
    let mut program = Program {
        now: Millis::ZERO,
        instances: BTreeMap::new(),
    };
    let seed = address(0);
    for index in 0..INSTANCES {
        // A boot identifier has to rise with each start; a program uses the wall-clock time.
        let me = Member {
            name: format!("instance-{index}"),
            failure_domain: format!("domain-{}", index % 2),
            peer_address: address(index),
            http_address: address(index),
            boot_id: 1,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let random_seed = u64::from(index);
        let gossip = Gossip::new(MembershipSpec::default(), me, random_seed, program.now);
        program.instances.insert(address(index), gossip);
        program.handle(address(index), Input::Seeds(&[seed]));
    }
    program.run(Millis(5_000));

    let gossip = &program.instances[&address(1)];
    let order = gossip
        .drains()
        .next_entry(DrainSubject::FailureDomain("domain-0".to_owned()), true);
    program.handle(address(1), Input::Drains(&[order]));
    program.run(Millis(1_000));

    program.instances.remove(&address(2));
    program.run(Millis(8_000));
    for gossip in program.instances.values() {
        println!("{} knows:", gossip.membership().local_member().name);
        for member in gossip.membership().members() {
            println!("  {} is {}", member.name, member.state);
        }
    }
}

impl Program {
    /// Hands an input to an instance and carries out what it asks for.
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
                    println!("{}: {at} learns of {} drain", self.now, entries.len());
                }
                // This program has no documents, no pauses and few drains.
                Output::FetchDocument { .. }
                | Output::ExchangeDrains { .. }
                | Output::DocumentChanged(_)
                | Output::SelfSuspect(_)
                | Output::Superseded { .. } => {}
            }
        }
    }

    /// Lets simulated time pass; a real program waits until the earliest `wake_at`.
    fn run(&mut self, span: Millis) {
        let end = self.now + span;
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
