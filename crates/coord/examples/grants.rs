//! Simulates an owner that grants the slots of one target to instances, without sockets or threads.
//!
//! Prints the allowed slots, the slots in use and the messages over time, while the target warms
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

struct HolderInstance {
    holder: GrantHolder,
    calls: Vec<(Millis, Slot)>,
    waiting: u32,
}

struct Target {
    owner: GrantOwner,
    boot_id: u64,
    warm_at: u64,
    instances: Vec<HolderInstance>,
    messages: u32,
    started: u32,
}

impl Target {
    fn handle(&mut self, now: Millis, input: OwnerInput) {
        for output in self.owner.handle(now, input) {
            let instance = &mut self.instances[output.holder.index() as usize];
            instance.holder.on_reply(now, &output.reply);
            self.messages += 1;
        }
        self.owner.verify().expect("the owner keeps its invariants");
    }

    fn report(&mut self, now: Millis) {
        let in_flight = self
            .instances
            .iter()
            .map(|instance| instance.holder.in_use())
            .sum();
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

    fn run_instance(&mut self, now: Millis, index: u32) {
        let instance = &mut self.instances[index as usize];
        for (_, slot) in instance
            .calls
            .extract_if(.., |(ends_at, _)| *ends_at <= now)
        {
            instance.holder.release(slot);
        }
        // Each instance gets a call every 60 ms: about 12 concurrent calls of 120 ms, which is 1.5
        // times the capacity.
        let arrives = (now.0 / STEP_MS + u64::from(index) * 2).is_multiple_of(12);
        instance.waiting = (instance.waiting + u32::from(arrives)).min(5);
        while instance.waiting > 0
            && let Some(slot) = instance.holder.try_acquire(now)
        {
            instance.waiting -= 1;
            instance.calls.push((now + Millis(CALL_MS), slot));
            self.started += 1;
        }
        instance.holder.set_waiting(instance.waiting);
        if let Some(request) = instance.holder.poll(now) {
            self.messages += 1;
            let holder = Instance::from_index(index);
            self.handle(now, OwnerInput::Request { holder, request });
        }
    }

    fn print(&mut self, now: Millis) {
        let in_use: u32 = self
            .instances
            .iter()
            .map(|instance| instance.holder.in_use())
            .sum();
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
    let instance = |index| HolderInstance {
        holder: GrantHolder::new(settings, index),
        calls: Vec::new(),
        waiting: 0,
    };
    let mut target = Target {
        owner: GrantOwner::new(Millis::ZERO, settings, true),
        boot_id: 1,
        warm_at: 1_000,
        instances: (0..u64::from(HOLDERS)).map(instance).collect(),
        messages: 0,
        started: 0,
    };
    for step in 0..2_400 {
        let now = Millis(step * STEP_MS);
        match now.0 {
            4_000 => {
                println!("a new owner takes over");
                target.owner = GrantOwner::new(now, settings, false);
                for instance in &mut target.instances {
                    instance.holder.change_owner();
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
            target.run_instance(now, index);
        }
        if now.0.is_multiple_of(PRINT_INTERVAL_MS) {
            target.print(now);
        }
    }
}
