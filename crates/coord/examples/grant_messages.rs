//! Measures the number of messages to grant the slots of one target, and how long calls wait for a
//! slot.
//!
//! Each line of the output is one target with its holders. All holders get the same load of calls
//! at random times, and messages take 1 ms. Run it with
//! `cargo run --release -p arbutus-coord --example grant_messages`.

use std::collections::VecDeque;

use arbutus_coord::Millis;
use arbutus_coord::entity::Entity;
use arbutus_coord::entity::Instance;
use arbutus_coord::grant::GrantHolder;
use arbutus_coord::grant::GrantOwner;
use arbutus_coord::grant::GrantReply;
use arbutus_coord::grant::GrantRequest;
use arbutus_coord::grant::GrantSettings;
use arbutus_coord::grant::OwnerInput;
use arbutus_coord::grant::Slot;
use arbutus_coord::grant::TargetReport;

const DURATION_MS: u64 = 120_000;
/// Waiting times are not recorded during the slow start, when calls wait longer.
const WARM_UP_MS: u64 = 5_000;
const REPORT_INTERVAL_MS: u64 = 250;

/// One line of the output.
struct Case {
    name: &'static str,
    holders: usize,
    capacity: u32,
    /// The calls per second of all holders together.
    calls_per_s: f64,
    call_ms: u64,
    /// The number of targets that one instance uses with the same load.
    targets: f64,
    renew_ms: u64,
    lifetime_ms: u64,
}

struct HolderInstance {
    holder: GrantHolder,
    running: Vec<(Millis, Slot)>,
    waiting: VecDeque<(Millis, u64)>,
}

/// The same calls in a single queue for all slots. Their waiting times are a lower bound for those
/// under any division of the slots among holders.
struct SharedQueue {
    free_at: Vec<u64>,
    waits: Vec<u64>,
}

impl SharedQueue {
    fn arrive(&mut self, now: u64, call_ms: u64) {
        let Some(free_at) = self.free_at.iter_mut().min() else {
            return;
        };
        let starts_at = now.max(*free_at);
        *free_at = starts_at + call_ms;
        if now >= WARM_UP_MS {
            self.waits.push(starts_at - now);
        }
    }
}

struct Random(u64);

impl Random {
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn simulate(case: &Case) {
    let settings = GrantSettings {
        renew_interval_ms: Millis(case.renew_ms),
        lifetime_ms: Millis(case.lifetime_ms),
        ..GrantSettings::default()
    };
    let mut owner = GrantOwner::new(Millis::ZERO, settings, true);
    let mut instances: Vec<HolderInstance> = (0..case.holders)
        .map(|index| HolderInstance {
            holder: GrantHolder::new(settings, index as u64),
            running: Vec::new(),
            waiting: VecDeque::new(),
        })
        .collect();
    let mut random = Random(1);
    let mut requests: Vec<(usize, GrantRequest)> = Vec::new();
    let mut replies: Vec<(usize, GrantReply)> = Vec::new();
    let (mut sent_requests, mut sent_replies) = (0_u64, 0_u64);
    let mut waits = Vec::new();
    let mut shared = SharedQueue {
        free_at: vec![0; case.capacity as usize],
        waits: Vec::new(),
    };
    for step in 0..DURATION_MS {
        let now = Millis(step);
        for (index, reply) in replies.drain(..) {
            instances[index].holder.on_reply(now, &reply);
        }
        let mut inputs: Vec<OwnerInput> = requests
            .drain(..)
            .map(|(index, request)| OwnerInput::Request {
                holder: Instance::from_index(index as u32),
                request,
            })
            .collect();
        if step.is_multiple_of(REPORT_INTERVAL_MS) {
            let in_flight = instances
                .iter()
                .map(|instance| instance.holder.in_use())
                .sum();
            inputs.push(OwnerInput::Report(TargetReport {
                boot_id: 1,
                warm: true,
                capacity: case.capacity,
                cold_capacity: 1,
                in_flight,
                queued: 0,
                age_ms: Millis::ZERO,
            }));
        }
        for input in inputs {
            for output in owner.handle(now, input) {
                replies.push((output.holder.index() as usize, output.reply));
                sent_replies += 1;
            }
        }
        let rate = case.calls_per_s / 1_000.0 / case.holders as f64;
        for (index, instance) in instances.iter_mut().enumerate() {
            for (_, slot) in instance
                .running
                .extract_if(.., |(ends_at, _)| *ends_at <= now)
            {
                instance.holder.release(slot);
            }
            if random.uniform() < rate {
                let call_ms = (case.call_ms as f64 * (0.5 + random.uniform())) as u64;
                instance.waiting.push_back((now, call_ms));
                shared.arrive(step, call_ms);
            }
            while let Some(&(since, call_ms)) = instance.waiting.front()
                && let Some(slot) = instance.holder.try_acquire(now)
            {
                instance.waiting.pop_front();
                if step >= WARM_UP_MS {
                    waits.push((now - since).0);
                }
                instance.running.push((now + Millis(call_ms), slot));
            }
            instance.holder.set_waiting(instance.waiting.len() as u32);
            if let Some(request) = instance.holder.poll(now) {
                requests.push((index, request));
                sent_requests += 1;
            }
        }
    }
    print(case, sent_requests, sent_replies, &waits, &shared.waits);
}

fn quantile(waits: &[u64], fraction: f64) -> u64 {
    let mut sorted = waits.to_vec();
    sorted.sort_unstable();
    sorted[((sorted.len() - 1) as f64 * fraction) as usize]
}

fn print(case: &Case, requests: u64, replies: u64, waits: &[u64], shared: &[u64]) {
    let per_pair = |count: u64| count as f64 / case.holders as f64 / (DURATION_MS as f64 / 1e3);
    // An instance sends requests as a holder and replies as an owner. The targets are distributed
    // equally over the owners, so it sends as many replies as it receives.
    let per_instance = (per_pair(requests) + per_pair(replies)) * case.targets;
    println!(
        "{:<26} {:>5}/{:<5} {:>7} {:>8.2} {:>8.2} {:>10.1} {:>9.2} {:>5} {:>5} {:>5} {:>7} {:>5}",
        case.name,
        case.renew_ms,
        case.lifetime_ms,
        case.holders,
        per_pair(requests),
        per_pair(replies),
        per_instance,
        per_pair(requests + replies) * case.holders as f64 / case.calls_per_s,
        quantile(waits, 0.5),
        quantile(waits, 0.95),
        quantile(waits, 0.99),
        quantile(shared, 0.95),
        quantile(shared, 0.99)
    );
}

fn main() {
    println!("messages per second of one holder for one target, and of one instance for all;");
    println!("wait for a slot in milliseconds, in the last two columns with one shared queue");
    println!(
        "{:<26} {:>11} {:>7} {:>8} {:>8} {:>10} {:>9} {:>5} {:>5} {:>5} {:>7} {:>5}",
        "case",
        "renew/life",
        "holders",
        "requests",
        "replies",
        "instance",
        "per call",
        "50 %",
        "95 %",
        "99 %",
        "95 %",
        "99 %"
    );
    let case =
        |name, holders, capacity, calls_per_s, call_ms, targets, (renew_ms, lifetime_ms)| Case {
            name,
            holders,
            capacity,
            calls_per_s,
            call_ms,
            targets,
            renew_ms,
            lifetime_ms,
        };
    let short = (500, 1_500);
    let long = (1_000, 2_500);
    let cases = [
        case("current, engines", 6, 8, 5.6, 1_000, 7.0, short),
        case("current, plain services", 6, 8, 100.0, 50, 6.0, short),
        case("planned, subset 8", 30, 40, 6.7, 4_000, 96.0, short),
        case("planned, subset 8", 30, 40, 6.7, 4_000, 96.0, long),
        case("planned, subset 4", 15, 40, 6.7, 4_000, 48.0, long),
        case("planned, subset 2", 7, 40, 6.7, 4_000, 24.0, short),
        case("planned, subset 2", 7, 40, 6.7, 4_000, 24.0, long),
    ];
    for case in cases {
        simulate(&case);
    }
}
