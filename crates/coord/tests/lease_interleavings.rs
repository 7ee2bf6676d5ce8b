//! Guards against two holders of a lease at the same time, and against a fencing token that two
//! holders share.

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
const SETTLING_MS: u64 = 8_000;
/// Clock rates in percent, at the limits that the lease covers.
const RATES: [u64; CLIENTS] = [90, 100, 110];

#[derive(Clone, Debug)]
enum Event {
    Arrives(usize, Output),
    Returns(usize, Input),
}

struct Client {
    lease: LeaseClient,
    paused_until: u64,
    offset: u64,
    /// Numbers the operation in progress, whose time limit the shell reports as a failure.
    operation: u64,
    overdue_at: Option<u64>,
    reading: bool,
}

struct World {
    script: Vec<u16>,
    position: usize,
    now: u64,
    clients: Vec<Client>,
    events: Vec<(u64, u64, Event)>,
    object: Option<(u64, LeaseRecord)>,
    tokens: BTreeMap<u64, usize>,
    held: u64,
    fault: Option<String>,
}

fn seed() -> u64 {
    let text = std::env::var("ARBUTUS_SEED").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED)
}

impl World {
    fn new(script: Vec<u16>) -> Self {
        let client = |index: usize| {
            let holder = Holder {
                instance: format!("i{index}"),
                boot_id: index as u64,
            };
            Client {
                lease: LeaseClient::new(holder, DURATION_MS),
                paused_until: 0,
                offset: 7_000 * index as u64,
                operation: 0,
                overdue_at: None,
                reading: false,
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
            held: 0,
            fault: None,
        }
    }

    fn choose(&mut self, limit: usize) -> usize {
        let value = self.script.get(self.position).copied().unwrap_or(0);
        self.position += 1;
        usize::from(value) % limit
    }

    fn run(&mut self) {
        while self.position < self.script.len() && self.fault.is_none() {
            if self.choose(150) == 1 {
                let index = self.choose(CLIENTS);
                let pause = [900, 1_100, 1_300, 5_000][self.choose(4)];
                self.clients[index].paused_until = self.now + pause;
            }
            self.advance();
        }
        self.held = 0;
        let end = self.now + SETTLING_MS;
        while self.now < end && self.fault.is_none() {
            self.advance();
        }
        if self.held == 0 && self.fault.is_none() {
            self.fault = Some("no client holds the lease although nothing fails".to_owned());
        }
    }

    fn local(&self, index: usize) -> Millis {
        Millis(self.now * RATES[index] / 100 + self.clients[index].offset)
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
                .overdue_at
                .is_some_and(|overdue| overdue <= self.now)
            {
                let reading = self.clients[index].reading;
                let input = if reading {
                    Input::Read(None)
                } else {
                    Input::NotConfirmed
                };
                self.report(index, input);
            }
            self.drive(index, Input::Tick);
        }
        self.check();
    }

    fn deliver(&mut self, operation: u64, event: Event) {
        match event {
            Event::Arrives(index, Output::Read) => {
                let read = match &self.object {
                    None => LeaseRead::Absent,
                    Some((version, record)) => LeaseRead::Found {
                        version: *version,
                        record: record.clone(),
                    },
                };
                self.send(operation, &Event::Returns(index, Input::Read(Some(read))));
            }
            Event::Arrives(index, Output::Write(write)) => {
                let input = self.store(write);
                self.send(operation, &Event::Returns(index, input));
            }
            Event::Returns(index, input) => {
                let client = &self.clients[index];
                if self.now < client.paused_until {
                    let due = client.paused_until;
                    self.events
                        .push((due, operation, Event::Returns(index, input)));
                } else if client.operation == operation && client.overdue_at.is_some() {
                    self.report(index, input);
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

    fn report(&mut self, index: usize, input: Input) {
        self.clients[index].overdue_at = None;
        self.drive(index, input);
    }

    fn drive(&mut self, index: usize, input: Input) {
        let now = self.local(index);
        let Some(output) = self.clients[index].lease.handle(now, input) else {
            return;
        };
        let client = &mut self.clients[index];
        client.operation += 1;
        client.overdue_at = Some(self.now + 400);
        client.reading = matches!(output, Output::Read);
        let operation = client.operation;
        self.send(operation, &Event::Arrives(index, output));
    }

    fn check(&mut self) {
        let holders: Vec<(usize, u64)> = (0..CLIENTS)
            .filter_map(|index| {
                let token = self.clients[index].lease.token(self.local(index))?;
                Some((index, token.0))
            })
            .collect();
        if holders.len() > 1 {
            self.fault = Some(format!("at {}: holders {holders:?}", self.now));
        }
        self.held += holders.len() as u64;
        for (index, token) in holders {
            let first = *self.tokens.entry(token).or_insert(index);
            let highest = self.tokens.last_key_value().map_or(0, |(token, _)| *token);
            if first != index || token < highest {
                self.fault = Some(format!("token {token} of {first} is used by {index}"));
            }
        }
    }
}

fn check(script: Vec<u16>) -> TestResult {
    let mut world = World::new(script);
    world.run();
    match world.fault {
        None => TestResult::passed(),
        Some(fault) => TestResult::error(format!("seed {}: {fault}", seed())),
    }
}

#[test]
fn holders_do_not_overlap_and_tokens_rise() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SCRIPT_LENGTH, seed()))
        .tests(SCRIPTS)
        .max_tests(SCRIPTS)
        .quickcheck(check as fn(Vec<u16>) -> TestResult);
}
