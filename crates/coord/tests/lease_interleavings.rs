//! Tests under random delays, losses, duplicates and pauses that a lease never has two holders at
//! the same time and that no two holders share a fencing token.

use std::collections::BTreeMap;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use arbutus_coord::Millis;
use arbutus_coord::claim::Holder;
use arbutus_coord::lease::Input;
use arbutus_coord::lease::LeaseClient;
use arbutus_coord::lease::LeaseRead;
use arbutus_coord::lease::LeaseRecord;
use arbutus_coord::lease::LeaseWrite;
use arbutus_coord::lease::Output;

const DEFAULT_SEED: u64 = 20_261_204;
const SCRIPT_LENGTH: usize = 4_000;
const SCRIPTS: u64 = 600;
const CLIENTS: usize = 3;
const DURATION_MS: Millis = Millis(1_000);
const RECOVERY_MS: u64 = 8_000;
/// Clock rates in percent of true time, at the limits that the lease covers.
const CLOCK_RATES_PERCENT: [u64; CLIENTS] = [90, 100, 110];

#[derive(Clone, Debug)]
enum Event {
    /// A read or write of a client arrives at the platform.
    RequestArrives(usize, Output),
    /// The result of a read or write arrives at a client.
    ResponseArrives(usize, Input),
}

struct Client {
    lease: LeaseClient,
    paused_until: u64,
    clock_offset: u64,
    /// The number of the operation in progress, which is reported as failed after its time limit.
    operation: u64,
    times_out_at: Option<u64>,
    is_reading: bool,
}

struct Simulation {
    script: Vec<u16>,
    position: usize,
    now: u64,
    clients: Vec<Client>,
    /// Events with their due time and the number of their operation.
    events: Vec<(u64, u64, Event)>,
    object: Option<(u64, LeaseRecord)>,
    /// The client that first used each token.
    tokens: BTreeMap<u64, usize>,
    /// The number of steps at which a client held the lease.
    held_steps: u64,
    failure: Option<String>,
}

fn seed() -> u64 {
    let text = std::env::var("ARBUTUS_SEED").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED)
}

impl Simulation {
    fn new(script: Vec<u16>) -> Self {
        let client = |index: usize| {
            let holder = Holder {
                instance: format!("i{index}"),
                boot_id: index as u64,
            };
            Client {
                lease: LeaseClient::new(holder, DURATION_MS),
                paused_until: 0,
                clock_offset: 7_000 * index as u64,
                operation: 0,
                times_out_at: None,
                is_reading: false,
            }
        };
        Self {
            script,
            position: 0,
            now: 0,
            clients: (0..CLIENTS).map(client).collect(),
            events: Vec::new(),
            object: None,
            tokens: BTreeMap::new(),
            held_steps: 0,
            failure: None,
        }
    }

    /// Returns the next number of the script modulo `limit`, or 0 when the script has ended.
    fn choose(&mut self, limit: usize) -> usize {
        let value = self.script.get(self.position).copied().unwrap_or(0);
        self.position += 1;
        usize::from(value) % limit
    }

    fn run(&mut self) {
        while self.position < self.script.len() && self.failure.is_none() {
            if self.choose(150) == 1 {
                let index = self.choose(CLIENTS);
                let pause = [900, 1_100, 1_300, 5_000][self.choose(4)];
                self.clients[index].paused_until = self.now + pause;
            }
            self.advance();
        }
        self.held_steps = 0;
        let end = self.now + RECOVERY_MS;
        while self.now < end && self.failure.is_none() {
            self.advance();
        }
        if self.held_steps == 0 && self.failure.is_none() {
            self.failure = Some("no client acquired the lease after the last fault".to_owned());
        }
    }

    fn local_time(&self, index: usize) -> Millis {
        Millis(self.now * CLOCK_RATES_PERCENT[index] / 100 + self.clients[index].clock_offset)
    }

    fn advance(&mut self) {
        self.now += 10;
        while let Some(position) = self.events.iter().position(|event| event.0 <= self.now) {
            let (_, operation, event) = self.events.remove(position);
            self.deliver(operation, event);
        }
        for index in 0..CLIENTS {
            if self.now < self.clients[index].paused_until {
                continue;
            }
            if self.clients[index]
                .times_out_at
                .is_some_and(|times_out_at| times_out_at <= self.now)
            {
                let is_reading = self.clients[index].is_reading;
                let input = if is_reading {
                    Input::Read(None)
                } else {
                    Input::NotConfirmed
                };
                self.pass_result(index, input);
            }
            self.handle_input(index, Input::Tick);
        }
        self.check_invariants();
    }

    fn deliver(&mut self, operation: u64, event: Event) {
        match event {
            Event::RequestArrives(index, Output::Read) => {
                let read = match &self.object {
                    None => LeaseRead::Absent,
                    Some((version, record)) => LeaseRead::Found {
                        version: *version,
                        record: record.clone(),
                    },
                };
                self.send(
                    operation,
                    &Event::ResponseArrives(index, Input::Read(Some(read))),
                );
            }
            Event::RequestArrives(index, Output::Write(write)) => {
                let input = self.store(write);
                self.send(operation, &Event::ResponseArrives(index, input));
            }
            Event::ResponseArrives(index, input) => {
                let client = &self.clients[index];
                if self.now < client.paused_until {
                    let due = client.paused_until;
                    self.events
                        .push((due, operation, Event::ResponseArrives(index, input)));
                } else if client.operation == operation && client.times_out_at.is_some() {
                    self.pass_result(index, input);
                }
            }
        }
    }

    fn store(&mut self, write: LeaseWrite) -> Input {
        let current = self.object.as_ref().map(|(version, _)| *version);
        if current != write.expected {
            return Input::NotConfirmed;
        }
        let version = current.unwrap_or(0) + 1;
        self.object = Some((version, write.record));
        Input::Written { version }
    }

    fn send(&mut self, operation: u64, event: &Event) {
        let copies = [1, 1, 1, 1, 1, 1, 1, 1, 0, 2][self.choose(10)];
        for _ in 0..copies {
            let delay = [10, 10, 10, 10, 50, 200, 350, 450, 700, 1_500][self.choose(10)];
            self.events
                .push((self.now + delay, operation, event.clone()));
        }
    }

    fn pass_result(&mut self, index: usize, input: Input) {
        self.clients[index].times_out_at = None;
        self.handle_input(index, input);
    }

    fn handle_input(&mut self, index: usize, input: Input) {
        let now = self.local_time(index);
        let Some(output) = self.clients[index].lease.handle(now, input) else {
            return;
        };
        let client = &mut self.clients[index];
        client.operation += 1;
        client.times_out_at = Some(self.now + 400);
        client.is_reading = matches!(output, Output::Read);
        let operation = client.operation;
        self.send(operation, &Event::RequestArrives(index, output));
    }

    fn check_invariants(&mut self) {
        let holders: Vec<(usize, u64)> = (0..CLIENTS)
            .filter_map(|index| {
                let token = self.clients[index].lease.token(self.local_time(index))?;
                Some((index, token.0))
            })
            .collect();
        if holders.len() > 1 {
            self.failure = Some(format!("several holders at {} ms: {holders:?}", self.now));
        }
        self.held_steps += holders.len() as u64;
        for (index, token) in holders {
            let first_user = *self.tokens.entry(token).or_insert(index);
            let highest_token = self.tokens.last_key_value().map_or(0, |(token, _)| *token);
            if first_user != index || token < highest_token {
                self.failure = Some(format!(
                    "client {index} uses token {token}, which client {first_user} used first; \
                     the highest token is {highest_token}"
                ));
            }
        }
    }
}

fn check_script(script: Vec<u16>) -> TestResult {
    let mut simulation = Simulation::new(script);
    simulation.run();
    match simulation.failure {
        None => TestResult::passed(),
        Some(failure) => TestResult::error(format!("seed {}: {failure}", seed())),
    }
}

#[test]
fn holders_do_not_overlap_and_tokens_increase() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SCRIPT_LENGTH, seed()))
        .tests(SCRIPTS)
        .max_tests(SCRIPTS)
        .quickcheck(check_script as fn(Vec<u16>) -> TestResult);
}
