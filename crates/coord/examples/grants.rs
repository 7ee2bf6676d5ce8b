//! Divides the slots of one target among instances, without sockets or threads.
//!
//! Prints how the allowed slots, the slots in use and the messages develop while the target warms
//! up, its owner changes, it restarts, and it is drained. Run it with
//! `cargo run -p arbutus-coord --example grants`.

use arbutus_coord::Millis;
use arbutus_coord::entity::Entity;
use arbutus_coord::entity::Instance;
use arbutus_coord::grant::GrantHolder;
use arbutus_coord::grant::GrantOwner;
use arbutus_coord::grant::GrantSettings;
use arbutus_coord::grant::OwnerInput;
use arbutus_coord::grant::Slot;
use arbutus_coord::grant::TargetReport;

const HOLDERS: u32 = 6;
const CAPACITY: u32 = 8;
const CALL_MS: u64 = 120;
const STEP_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 250;
const PRINT_INTERVAL_MS: u64 = 500;

struct Node {
    holder: GrantHolder,
    calls: Vec<(Millis, Slot)>,
    waiting: u32,
}

struct Target {
    owner: GrantOwner,
    boot_id: u64,
    warm_at: u64,
    nodes: Vec<Node>,
    messages: u32,
    started: u32,
}

impl Target {
    fn handle(&mut self, now: Millis, input: OwnerInput) {
        for output in self.owner.handle(now, input) {
            let node = &mut self.nodes[output.holder.index() as usize];
            node.holder.on_reply(now, &output.reply);
            self.messages += 1;
        }
        self.owner.verify().expect("the owner keeps its invariants");
    }

    fn report(&mut self, now: Millis) {
        let in_flight = self.nodes.iter().map(|node| node.holder.in_use()).sum();
        let report = TargetReport {
            boot_id: self.boot_id,
            warm: now.0 >= self.warm_at,
            capacity: CAPACITY,
            cold_capacity: 1,
            in_flight,
            queued: 0,
            age_ms: Millis::ZERO,
        };
        self.handle(now, OwnerInput::Report(report));
    }

    fn run_node(&mut self, now: Millis, index: u32) {
        let node = &mut self.nodes[index as usize];
        for (_, slot) in node.calls.extract_if(.., |(ends_at, _)| *ends_at <= now) {
            node.holder.release(slot);
        }
        // One call every 60 ms at each instance: about 12 calls of 120 ms at once, 1.5 x capacity.
        let arrives = (now.0 / STEP_MS + u64::from(index) * 2).is_multiple_of(12);
        node.waiting = (node.waiting + u32::from(arrives)).min(5);
        while node.waiting > 0
            && let Some(slot) = node.holder.try_acquire(now)
        {
            node.waiting -= 1;
            node.calls.push((now + Millis(CALL_MS), slot));
            self.started += 1;
        }
        node.holder.set_waiting(node.waiting);
        if let Some(request) = node.holder.poll(now) {
            self.messages += 1;
            let holder = Instance::from_index(index);
            self.handle(now, OwnerInput::Request { holder, request });
        }
    }

    fn print(&mut self, now: Millis) {
        let in_use: u32 = self.nodes.iter().map(|node| node.holder.in_use()).sum();
        println!(
            "{:>7}  allowed {}  reserved {}  in use {}  started {:>3}  messages {:>3}",
            now.to_string(),
            self.owner.allowed(now),
            self.owner.reserved(),
            in_use,
            self.started,
            self.messages
        );
        self.started = 0;
        self.messages = 0;
    }
}

fn main() {
    let settings = GrantSettings::default();
    let node = |index| Node {
        holder: GrantHolder::new(settings, index),
        calls: Vec::new(),
        waiting: 0,
    };
    let mut target = Target {
        owner: GrantOwner::new(Millis::ZERO, settings, true),
        boot_id: 1,
        warm_at: 1_000,
        nodes: (0..u64::from(HOLDERS)).map(node).collect(),
        messages: 0,
        started: 0,
    };
    for step in 0..2_400 {
        let now = Millis(step * STEP_MS);
        match now.0 {
            4_000 => {
                println!("a new owner takes over");
                target.owner = GrantOwner::new(now, settings, false);
                for node in &mut target.nodes {
                    node.holder.change_owner();
                }
            }
            7_500 => {
                println!("the target restarts");
                target.boot_id = 2;
                target.warm_at = 8_500;
            }
            10_500 => {
                println!("the target is drained");
                target.handle(now, OwnerInput::Blocked(true));
            }
            _ => {}
        }
        if now.0.is_multiple_of(REPORT_INTERVAL_MS) {
            target.report(now);
        }
        for index in 0..HOLDERS {
            target.run_node(now, index);
        }
        if now.0.is_multiple_of(PRINT_INTERVAL_MS) {
            target.print(now);
        }
    }
}
