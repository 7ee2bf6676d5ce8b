//! Measures the cost of membership, documents and drains for each instance, depending on the number
//! of instances.
//!
//! One thread runs all instances in simulated time with a network latency of 1 ms, and encodes and
//! decodes each packet as the daemon does. For each number of instances it prints, per instance,
//! the processor time per second of simulated time, the bytes sent per second (in brackets those of
//! the instance that sends most) and the memory. It also prints the time until all instances know
//! of a drain, a new generation and a crash.
//!
//! The window `quiet` contains no changes. The window `changes` contains a new configuration
//! generation every 10.8 s (8,000 a day), a drain and a crash. Then a partition separates half of
//! the failure domains from the rest until each side regards the other as dead; the window `heal`
//! starts when the partition ends, and lasts until all instances know each other again. System
//! calls are not included.
//!
//! Run it with `cargo run --release -p arbutus-coord --example scale [NUMBER..]`.

use std::collections::BTreeMap;
use std::env;
use std::fs;
use std::net::SocketAddr;

use arbutus_coord::Millis;
use arbutus_coord::document::Document;
use arbutus_coord::document::DocumentKind;
use arbutus_coord::drain::DrainSubject;
use arbutus_coord::gossip::Gossip;
use arbutus_coord::gossip::Input;
use arbutus_coord::gossip::Output;
use arbutus_coord::membership::Member;
use arbutus_coord::membership::MemberState;
use arbutus_coord::membership::MembershipSpec;
use arbutus_coord::membership::Packet;

const SIZES: [usize; 4] = [100, 400, 850, 1_700];
const DOMAINS: usize = 8;
const FIRST_PORT: u16 = 10_000;
const STARTUP_MS: Millis = Millis(20_000);
const QUIET_MS: Millis = Millis(30_000);
const PARTITION_TIMEOUT_MS: Millis = Millis(300_000);
const GENERATION_INTERVAL_MS: Millis = Millis(10_800);
const GENERATIONS: u64 = 3;
const DOCUMENT_BYTES: usize = 40_000;

/// The clock ticks per second in which `/proc` reports processor time (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// The bytes that a datagram adds to a packet: protocol version, name of the deployment and kind of
/// body.
const DATAGRAM_OVERHEAD_BYTES: usize = 12;

/// The encoded size of the digest of one bucket of members.
const BUCKET_BYTES: usize = 10;

/// The bytes that frames and headers add to the content of a call or of a reply.
const CALL_OVERHEAD_BYTES: usize = 60;

struct Deployment {
    now: Millis,
    instances: Vec<Gossip>,
    running: Vec<bool>,
    partitioned: bool,
    bytes_sent: Vec<usize>,
    /// The sender, receiver and encoding of the packets in transit, by time of delivery.
    packets: BTreeMap<Millis, Vec<(usize, usize, Vec<u8>)>>,
    /// The instances that may have a tick due, by time.
    wake_ups: BTreeMap<Millis, Vec<usize>>,
}

struct Window {
    started_at: Millis,
    processor_seconds: f64,
    bytes_sent: Vec<usize>,
}

fn main() {
    let arguments: Vec<usize> = env::args().skip(1).flat_map(|n| n.parse()).collect();
    let sizes = if arguments.is_empty() {
        SIZES.to_vec()
    } else {
        arguments
    };
    println!("instances  window   % of a core  bytes/s (maximum)  time until known everywhere");
    for size in sizes {
        measure(size);
    }
}

fn measure(size: usize) {
    let resident_before = resident_bytes();
    let mut deployment = Deployment::new(size);
    deployment.run(STARTUP_MS, |_| false);
    let window = deployment.start_window();
    deployment.run(QUIET_MS, |_| false);
    deployment.print("quiet", &window, "");
    let memory_bytes = (resident_bytes() - resident_before) / size as f64;

    let window = deployment.start_window();
    let mut generation_ms = Vec::new();
    for number in 2..2 + GENERATIONS {
        let start = deployment.now;
        deployment.publish_generation(size / 2, number);
        let spread_time = deployment.run(GENERATION_INTERVAL_MS, |deployment| {
            deployment.all_running(|gossip| {
                let kind = DocumentKind::Configuration;
                gossip.documents().version(&kind).number == number
            })
        });
        generation_ms.push(spread_time.0.to_string());
        deployment.run(GENERATION_INTERVAL_MS - (deployment.now - start), |_| false);
    }
    let drain = deployment.drain_domain();
    let crash = deployment.crash_instance(size / 3);
    let generation_ms = generation_ms.join(" ");
    let spread_times = format!("generations {generation_ms}, drain {drain}, crash {crash}");
    deployment.print("changes", &window, &spread_times);
    println!(
        "{size:9}  memory   {:.2} MB for each instance",
        memory_bytes / 1e6
    );

    deployment.partitioned = true;
    let running = deployment.running_count();
    let partition_detection = deployment.run(PARTITION_TIMEOUT_MS, |deployment| {
        deployment.all_running(|gossip| {
            gossip.membership().peer_count() <= usize::midpoint(running, DOMAINS)
        })
    });
    deployment.run(QUIET_MS, |_| false);
    deployment.partitioned = false;
    let window = deployment.start_window();
    let domains_reached = deployment.run(PARTITION_TIMEOUT_MS, |deployment| {
        deployment.all_running(|gossip| {
            let mut domains = (0..DOMAINS).map(domain);
            domains.all(|domain| {
                gossip
                    .membership()
                    .accepting_work_in(&domain)
                    .next()
                    .is_some()
            })
        })
    });
    let members_reached = deployment.run(PARTITION_TIMEOUT_MS, |deployment| {
        deployment.all_running(|gossip| gossip.membership().peer_count() + 1 == running)
    });
    deployment.print(
        "heal",
        &window,
        &format!(
            "partition detected {partition_detection}, domains reached {domains_reached}, members reached {}",
            domains_reached + members_reached
        ),
    );
}

impl Deployment {
    /// Creates instances that all know each other and have the first generation.
    fn new(size: usize) -> Self {
        let members: Vec<Member> = (0..size).map(member).collect();
        let create = |local_member: &Member| {
            let seed = u64::from(local_member.peer_address.port());
            Gossip::new(
                MembershipSpec::default(),
                local_member.clone(),
                seed,
                Millis::ZERO,
            )
        };
        let mut deployment = Self {
            now: Millis::ZERO,
            instances: members.iter().map(create).collect(),
            running: vec![true; size],
            partitioned: false,
            bytes_sent: vec![0; size],
            packets: BTreeMap::new(),
            wake_ups: BTreeMap::new(),
        };
        let first = document(1);
        for index in 0..size {
            deployment.handle(index, Input::Members(&members));
            // The outputs are dropped so that no instance announces the first generation, which all
            // of them have.
            drop(deployment.instances[index].handle(Millis::ZERO, Input::Document(&first)));
        }
        deployment
    }

    fn handle(&mut self, index: usize, input: Input<'_>) {
        if !self.running[index] {
            return;
        }
        let outputs = self.instances[index].handle(self.now, input);
        for output in outputs {
            self.carry_out(index, output);
        }
        let wake_at = self.instances[index].wake_at().max(self.now + Millis(1));
        self.wake_ups.entry(wake_at).or_default().push(index);
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { to, packet } => {
                let bytes =
                    postcard::to_extend(&packet, Vec::new()).expect("the value is encodable");
                self.bytes_sent[index] += bytes.len() + DATAGRAM_OVERHEAD_BYTES;
                let delivery = (index, index_of(to), bytes);
                if !self.is_partitioned(index, delivery.1) {
                    let due = self.packets.entry(self.now + Millis(1)).or_default();
                    due.push(delivery);
                }
            }
            Output::FetchMembers { from } => {
                let buckets = self.instances[index].membership().digest_buckets();
                let members = self.instances[index_of(from)]
                    .membership()
                    .members_in_differing_buckets(buckets);
                self.bytes_sent[index] += buckets.len() * BUCKET_BYTES;
                self.count_call_bytes(index, index_of(from), &members);
                self.handle(index, Input::Members(&members));
            }
            Output::FetchDocument {
                from,
                kind,
                known_version,
            } => {
                let reply = self.instances[index_of(from)]
                    .documents()
                    .reply_to_fetch(&kind, known_version);
                self.count_call_bytes(index, index_of(from), &reply);
                let (kind, reply) = (&kind, &reply);
                self.handle(index, Input::DocumentReply { kind, reply });
            }
            Output::ExchangeDrains { .. }
            | Output::MemberChanged(_)
            | Output::DocumentChanged(_)
            | Output::DrainsChanged(_)
            | Output::SelfSuspect(_)
            | Output::Superseded { .. } => {}
        }
    }

    fn count_call_bytes(
        &mut self,
        requester: usize,
        replier: usize,
        reply: &impl serde::Serialize,
    ) {
        let bytes = postcard::to_extend(reply, Vec::new()).expect("the value is encodable");
        self.bytes_sent[replier] += bytes.len() + CALL_OVERHEAD_BYTES;
        self.bytes_sent[requester] += CALL_OVERHEAD_BYTES;
    }

    /// Returns whether the partition separates two instances.
    fn is_partitioned(&self, one: usize, other: usize) -> bool {
        let side = |index: usize| index % DOMAINS < DOMAINS / 2;
        self.partitioned && side(one) != side(other)
    }

    /// Advances the simulated time until the condition holds or the duration ends, and returns the
    /// time that passed.
    fn run(&mut self, duration: Millis, done: impl Fn(&Self) -> bool) -> Millis {
        let start = self.now;
        while self.now < start + duration && !(self.now.0.is_multiple_of(10) && done(self)) {
            self.now = self.now + Millis(1);
            for (from, to, bytes) in self.packets.remove(&self.now).unwrap_or_default() {
                let packet: Packet =
                    postcard::from_bytes(&bytes).expect("the packet was encoded by this program");
                let from = address(from);
                let packet = &packet;
                self.handle(to, Input::Received { from, packet });
            }
            for index in self.wake_ups.remove(&self.now).unwrap_or_default() {
                if self.instances[index].wake_at() <= self.now {
                    self.handle(index, Input::Tick);
                }
            }
        }
        self.now - start
    }

    fn all_running(&self, condition: impl Fn(&Gossip) -> bool) -> bool {
        let mut running = self.instances.iter().zip(&self.running);
        running.all(|(gossip, &running)| !running || condition(gossip))
    }

    fn running_count(&self) -> usize {
        self.running.iter().filter(|running| **running).count()
    }

    fn publish_generation(&mut self, index: usize, number: u64) {
        self.handle(index, Input::Document(&document(number)));
    }

    /// Drains a failure domain and returns the time until all running instances know of it.
    fn drain_domain(&mut self) -> Millis {
        let subject = DrainSubject::FailureDomain("domain-1".to_owned());
        let entry = self.instances[0].drains().next_entry(subject.clone(), true);
        self.handle(0, Input::Drains(&[entry]));
        self.run(QUIET_MS, |deployment| {
            deployment.all_running(|gossip| gossip.drains().is_drained(&subject))
        })
    }

    /// Stops an instance and returns the time until all other instances regard it as dead.
    fn crash_instance(&mut self, index: usize) -> Millis {
        self.running[index] = false;
        let name = member(index).name;
        self.run(QUIET_MS, |deployment| {
            deployment.all_running(|gossip| {
                let seen = gossip.membership().get(&name);
                seen.is_none_or(|seen| seen.state == MemberState::Dead)
            })
        })
    }

    fn start_window(&self) -> Window {
        Window {
            started_at: self.now,
            processor_seconds: processor_seconds(),
            bytes_sent: self.bytes_sent.clone(),
        }
    }

    fn print(&self, name: &str, window: &Window, spread_times: &str) {
        let size = self.instances.len();
        let seconds = (self.now - window.started_at).0 as f64 / 1e3;
        let used_seconds = processor_seconds() - window.processor_seconds;
        let percent = 100.0 * used_seconds / seconds / size as f64;
        let sent = self.bytes_sent.iter().zip(&window.bytes_sent);
        let sent: Vec<usize> = sent.map(|(now, before)| now - before).collect();
        let mean = sent.iter().sum::<usize>() as f64 / size as f64 / seconds;
        let maximum = sent.iter().max().copied().unwrap_or(0) as f64 / seconds;
        println!("{size:9}  {name:7}  {percent:11.4}  {mean:7.0} ({maximum:7.0})  {spread_times}");
    }
}

fn document(number: u64) -> Document {
    let mut content = vec![b'x'; DOCUMENT_BYTES];
    for (index, byte) in content.iter_mut().enumerate() {
        *byte = index.wrapping_mul(index / 7) as u8;
    }
    // Between two generations, the author at the start, a setting and the time at the end differ.
    for at in [0, DOCUMENT_BYTES / 2, DOCUMENT_BYTES - 100] {
        let change = format!("organisations: weight: {number}");
        content[at..at + change.len()].copy_from_slice(change.as_bytes());
    }
    Document {
        kind: DocumentKind::Configuration,
        number,
        content,
    }
}

fn member(index: usize) -> Member {
    Member {
        name: format!("instance-{index:04}"),
        failure_domain: domain(index % DOMAINS),
        peer_address: address(index),
        http_address: address(index),
        boot_id: 1_796_000_000_000 + index as u64,
        incarnation: 0,
        state: MemberState::Alive,
    }
}

fn domain(index: usize) -> String {
    format!("domain-{index}")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], FIRST_PORT + index as u16))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

/// Returns the processor time of this process. Unlike the elapsed time, it does not depend on the
/// load of the machine.
fn processor_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    // User and system time are the 14th and 15th fields of the file; the text after the process
    // name starts with the third.
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.flat_map(str::parse::<f64>).sum::<f64>() / TICKS_PER_SECOND
}

fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
}
