//! A fleet of instances that exchange views of targets over a simulated network.
//!
//! The load that a target reports is the time of the report, so that the true age of each viewed load
//! is known.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use arbutus_coord::Millis;
use arbutus_policy::serving::target_ramp::OutcomeCounts;
use arbutus_policy::serving::target_view::NewSamples;
use arbutus_policy::serving::target_view::TargetView;
use arbutus_policy::serving::target_view::exchange::MESSAGE_BYTES;
use arbutus_policy::serving::target_view::exchange::ObservationMessage;
use arbutus_policy::serving::target_view::exchange::Outgoing;
use arbutus_policy::serving::target_view::exchange::STEP_INTERVAL_MS;
use arbutus_policy::serving::target_view::exchange::SummaryMessage;
use arbutus_policy::serving::target_view::exchange::ViewExchange;
use arbutus_policy::serving::target_view::exchange::ViewMember;
use arbutus_policy::serving::target_view::messages::ObservationRecord;
use arbutus_policy::serving::target_view::messages::SummaryRecord;
use arbutus_policy::serving::target_view::messages::TargetNames;
use arbutus_policy::serving::target_view::messages::TargetObservation;

/// Time between two moments of the simulation.
const TICK_MS: u64 = 20;
/// Fastest transmission of a message.
const MIN_DELAY_MS: u64 = 20;
/// Uptime of the first instances when the simulation starts.
const START: Millis = Millis(1_000);

/// What a message says.
#[derive(Clone, Debug)]
pub enum Content {
    Observations(ObservationMessage),
    Summaries(SummaryMessage),
    KnownTargets,
    Reply(SummaryMessage),
}

#[derive(Clone, Debug)]
struct Message {
    deliver_at: u64,
    sender: usize,
    receiver: usize,
    content: Content,
}

/// Whether an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Running,
    Frozen,
    Killed,
}

/// One simulated instance.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub domain: String,
    pub view: TargetView,
    pub exchange: ViewExchange,
    pub state: State,
    pub is_older_version: bool,
    pub received_bytes: usize,
    pub sent_bytes: usize,
    pub aggregator_changes: usize,
    pub samples: Vec<NewSamples>,
    inbox: Vec<Message>,
}

/// Faults of the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub max_delay_ms: u64,
    pub duplicated_percent: u32,
}

/// The instances, the targets and the network between them.
pub struct Fleet {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub targets: Vec<(String, String)>,
    pub requests_per_s: f64,
    pub faults: Faults,
    /// Instances that are separated from all others; they can reach each other.
    pub separated: BTreeSet<usize>,
    /// Work percentage that a target reports at a time.
    pub work_percent: fn(usize, Millis) -> u32,
    pub sent_samples: u32,
    random: ChaCha8Rng,
    network: Vec<Message>,
    requests_due: f64,
}

impl Fleet {
    /// Creates a fleet with running instances and targets that are spread over the domains.
    pub fn new(instances: usize, domains: usize, targets: usize, requests_per_s: f64) -> Self {
        let targets: Vec<(String, String)> = (0..targets)
            .map(|index| (format!("target-{index}"), format!("d{}", index % domains)))
            .collect();
        let mut fleet = Self {
            now: START,
            nodes: Vec::new(),
            targets,
            requests_per_s,
            faults: Faults::default(),
            separated: BTreeSet::new(),
            work_percent: |_, _| 100,
            sent_samples: 0,
            random: ChaCha8Rng::seed_from_u64(5),
            network: Vec::new(),
            requests_due: 0.0,
        };
        for index in 0..instances {
            let node = fleet.node(
                &format!("instance-{index}"),
                &format!("d{}", index % domains),
            );
            fleet.nodes.push(node);
        }
        fleet
    }

    fn node(&mut self, name: &str, domain: &str) -> Node {
        let mut exchange = ViewExchange::new(name, domain, self.random.random());
        let targets = self.targets.iter().map(|(id, _)| (id.as_str(), Some(1)));
        exchange.set_targets(TargetNames::new(targets));
        exchange.activate();
        Node {
            name: name.to_owned(),
            domain: domain.to_owned(),
            view: TargetView::new(),
            exchange,
            state: State::Running,
            is_older_version: false,
            received_bytes: 0,
            sent_bytes: 0,
            aggregator_changes: 0,
            samples: Vec::new(),
            inbox: Vec::new(),
        }
    }

    /// Replaces an instance by a new run of it.
    pub fn restart(&mut self, index: usize) {
        let (name, domain) = (
            self.nodes[index].name.clone(),
            self.nodes[index].domain.clone(),
        );
        self.nodes[index] = self.node(&name, &domain);
    }

    /// Returns the running instances of a domain.
    pub fn running(&self, domain: &str) -> Vec<usize> {
        let indices = 0..self.nodes.len();
        indices
            .filter(|&index| {
                let node = &self.nodes[index];
                node.domain == domain && node.state == State::Running && !node.is_older_version
            })
            .collect()
    }

    /// Returns the aggregators that the given instances use.
    pub fn aggregators(&self, members: &[usize]) -> BTreeSet<String> {
        let aggregators = members
            .iter()
            .map(|&index| self.nodes[index].exchange.aggregator());
        aggregators.flatten().map(str::to_owned).collect()
    }

    /// Returns the index of an instance.
    pub fn index(&self, name: &str) -> usize {
        let position = self.nodes.iter().position(|node| node.name == name);
        position.expect("the instance exists")
    }

    /// Lets time pass; `check` is called after each moment.
    pub fn run(&mut self, duration_ms: u64, mut check: impl FnMut(&Self)) {
        let end = self.now + Millis(duration_ms);
        while self.now < end {
            self.now = self.now + Millis(TICK_MS);
            self.send_requests();
            self.deliver();
            for index in 0..self.nodes.len() {
                // Instances have different phases.
                let phase = self.now.0 + index as u64 * TICK_MS;
                if phase.is_multiple_of(STEP_INTERVAL_MS.0) {
                    self.step(index);
                }
            }
            check(self);
        }
    }

    /// Sends requests from random instances to targets, of the same domain in nine of ten cases.
    fn send_requests(&mut self) {
        self.requests_due += self.requests_per_s * TICK_MS as f64 / 1_000.0;
        while self.requests_due >= 1.0 {
            self.requests_due -= 1.0;
            let index = self.random.random_range(0..self.nodes.len());
            let mut target = self.random.random_range(0..self.targets.len());
            if self.random.random_range(0..10) > 0 {
                let domain = &self.nodes[index].domain;
                while self.targets[target].1 != *domain {
                    target = (target + 1) % self.targets.len();
                }
            }
            if self.nodes[index].state == State::Running {
                self.observe(index, target);
            }
        }
    }

    /// Has an instance get a response of a target.
    pub fn observe(&mut self, index: usize, target: usize) {
        let observation = TargetObservation {
            target: self.targets[target].0.clone(),
            incarnation: Some(1),
            running: self.now.0 as u32,
            slots: Some(32),
            work_percent: Some((self.work_percent)(target, self.now)),
            outcomes: OutcomeCounts {
                in_time: 1,
                ..OutcomeCounts::default()
            },
            ..TargetObservation::default()
        };
        self.sent_samples += 1;
        self.nodes[index].view.observe(self.now, &observation);
    }

    fn step(&mut self, index: usize) {
        if self.nodes[index].state != State::Running || self.nodes[index].is_older_version {
            return;
        }
        let peers: Vec<(String, String)> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, node)| *other != index && !node.is_older_version)
            .map(|(_, node)| (node.name.clone(), node.domain.clone()))
            .collect();
        let members: Vec<ViewMember<'_>> = peers
            .iter()
            .map(|(name, failure_domain)| ViewMember {
                name,
                failure_domain,
            })
            .collect();
        let node = &mut self.nodes[index];
        let step = node
            .exchange
            .step(self.now, &mut node.view, &members, false);
        node.aggregator_changes += usize::from(step.aggregator_change.is_some());
        node.samples.extend(step.local_samples);
        for message in step.messages {
            match message {
                Outgoing::Observations { receiver, message } => {
                    self.send(index, &receiver, &Content::Observations(message));
                }
                Outgoing::Summaries { receivers, message } => {
                    for receiver in receivers {
                        self.send(index, &receiver, &Content::Summaries(message.clone()));
                    }
                }
                Outgoing::KnownTargets { receiver } => {
                    self.send(index, &receiver, &Content::KnownTargets);
                }
            }
        }
    }

    fn send(&mut self, sender: usize, receiver: &str, content: &Content) {
        let number: Option<usize> = receiver
            .strip_prefix("instance-")
            .and_then(|n| n.parse().ok());
        let receiver = number.expect("the receiver is an instance");
        self.nodes[sender].sent_bytes += bytes(content);
        let is_duplicated = self.random.random_range(0..100) < self.faults.duplicated_percent;
        for _ in 0..=usize::from(is_duplicated) {
            let extra_ms = self.random.random_range(0..=self.faults.max_delay_ms);
            self.network.push(Message {
                deliver_at: self.now.0 + MIN_DELAY_MS + extra_ms,
                sender,
                receiver,
                content: content.clone(),
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now.0;
        let (due, later): (Vec<Message>, Vec<Message>) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|message| message.deliver_at <= now);
        self.network = later;
        for message in due {
            let is_cut = self.separated.contains(&message.sender)
                != self.separated.contains(&message.receiver);
            let node = &mut self.nodes[message.receiver];
            match node.state {
                State::Running | State::Frozen if !is_cut => node.inbox.push(message),
                _ => {}
            }
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].state == State::Running {
                for message in std::mem::take(&mut self.nodes[index].inbox) {
                    self.handle(index, message);
                }
            }
        }
    }

    fn handle(&mut self, index: usize, message: Message) {
        let now = self.now;
        let domain = self.nodes[message.sender].domain.clone();
        let sender_name = self.nodes[message.sender].name.clone();
        let node = &mut self.nodes[index];
        assert!(
            !node.is_older_version,
            "{sender_name} sends to an instance that does not understand"
        );
        node.received_bytes += bytes(&message.content);
        match message.content {
            Content::Observations(message) => {
                let samples = node
                    .exchange
                    .receive_observations(now, &mut node.view, &message);
                node.samples.extend(samples);
            }
            Content::Summaries(message) => {
                node.exchange
                    .receive_summaries(now, &mut node.view, &domain, &message);
            }
            Content::Reply(message) => {
                node.exchange
                    .receive_summaries(now, &mut node.view, &domain, &message);
                node.exchange.record_known_targets();
            }
            Content::KnownTargets => {
                let reply = node.exchange.known_targets(now, &node.view);
                self.send(index, &sender_name, &Content::Reply(reply));
            }
        }
    }

    /// Returns, for each instance, the largest difference between the true age of a load and its age
    /// in the view.
    pub fn worst_age_error_ms(&self) -> u64 {
        let mut worst_ms = 0;
        for node in self
            .nodes
            .iter()
            .filter(|node| node.state == State::Running)
        {
            for (target, _) in &self.targets {
                if let Some(load) = node.view.load(self.now, target, Some(1)) {
                    let true_age_ms = self.now.0 - u64::from(load.running);
                    worst_ms = worst_ms.max(true_age_ms.saturating_sub(load.age_ms.0));
                }
            }
        }
        worst_ms
    }

    /// Returns which fraction of the targets of its domain a member knows the load of, on average.
    pub fn coverage(&self, members: &[usize]) -> f64 {
        let mut known = 0;
        let mut all = 0;
        for &index in members {
            let node = &self.nodes[index];
            for (target, domain) in &self.targets {
                if *domain == node.domain {
                    all += 1;
                    known += usize::from(node.view.load(self.now, target, Some(1)).is_some());
                }
            }
        }
        f64::from(known as u32) / f64::from(all.max(1) as u32)
    }

    /// Returns the samples that all aggregators together counted, by target.
    pub fn counted_samples(&self) -> BTreeMap<String, u32> {
        let mut counted = BTreeMap::new();
        for sample in self.nodes.iter().flat_map(|node| &node.samples) {
            *counted.entry(sample.target.clone()).or_default() += sample.outcomes.in_time;
        }
        counted
    }
}

fn bytes(content: &Content) -> usize {
    let (sender, records): (usize, usize) = match content {
        Content::Observations(message) => {
            let sizes = message.records.iter().map(ObservationRecord::encoded_bytes);
            (message.sender.as_ref().map_or(0, String::len), sizes.sum())
        }
        Content::Summaries(message) | Content::Reply(message) => {
            let sizes = message.records.iter().map(SummaryRecord::encoded_bytes);
            (message.sender.len(), sizes.sum())
        }
        Content::KnownTargets => return 6,
    };
    MESSAGE_BYTES as usize + sender + records
}
