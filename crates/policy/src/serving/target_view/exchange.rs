//! Decides which messages about targets an instance sends, to whom and when.
//!
//! Every member of a failure domain sends observations to its aggregator, and the aggregator sends
//! summaries to the members and to the aggregators of the other domains. All messages are optional:
//! without them, each instance uses what it observed itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::serving::target_view::NewSamples;
use crate::serving::target_view::Receivers;
use crate::serving::target_view::TargetView;
use crate::serving::target_view::aggregator::AGGREGATOR_SILENCE_MS;
use crate::serving::target_view::aggregator::AggregatorChoice;
use crate::serving::target_view::messages::MessageStamp;
use crate::serving::target_view::messages::ObservationRecord;
use crate::serving::target_view::messages::SummaryRecord;
use crate::serving::target_view::messages::TargetNames;
use crate::serving::target_view::messages::TargetObservation;
use crate::serving::target_view::messages::TargetSummary;
use arbutus_coord::Millis;

/// How often [`ViewExchange::step`] is called.
pub const STEP_INTERVAL_MS: Millis = Millis(200);
/// What one instance receives, without the headers of the network.
pub const RECEIVED_BYTES_PER_S: u64 = 3_000;
/// The part of [`RECEIVED_BYTES_PER_S`] of an aggregator that is for observations of its domain; the
/// rest is for the other aggregators. Most requests stay in their domain.
const OBSERVED_BYTES_PER_S: u64 = 2_200;
/// What one aggregator sends to all receivers together: 8 % of the slowest links (10 Mbit/s).
const SENT_BYTES_PER_S: u64 = 100_000;
/// Summaries are sent when the budget allows this many bytes of them. Otherwise the 35 bytes around
/// the records would take most of the budget of a large domain.
const MIN_SUMMARY_BYTES: u64 = 96;
/// Observations are sent when the budget allows about one. In a large domain, the loads of a larger
/// message would be outdated when the budget allows it.
const MIN_OBSERVATION_BYTES: u64 = 28;
/// An instance whose last step was longer ago than this was frozen or had no processor time.
const INTERRUPTION_MS: Millis = Millis(600);
/// Time in which messages that waited during an interruption are received.
const BACKLOG_MS: Millis = Millis(500);
/// An aggregator that has nothing to tell sends an empty message at this interval, so that it does
/// not pass for silent.
const HEARTBEAT_INTERVAL_MS: Millis = Millis(400);
/// The same between aggregators, whose budget for each other is smaller.
const AGGREGATOR_HEARTBEAT_INTERVAL_MS: Millis = Millis(800);
/// How long the aggregator of another failure domain may send nothing before another one is chosen.
const REMOTE_SILENCE_MS: Millis = Millis(2_500);
/// How long an instance that sends observations gets summaries although another aggregator would be
/// responsible for it.
const REQUESTER_VALID_MS: Millis = Millis(2_000);
/// A member whose aggregator is not the first one by rank sends at least at this interval, so that it
/// gets summaries.
const REQUEST_INTERVAL_MS: Millis = Millis(1_000);
/// Bytes of a message without its records and the name of the sender: frame header 5, variant 1,
/// lengths 3, stamp 14.
pub const MESSAGE_BYTES: u64 = 23;
/// Size of the reply to an instance that has started: what it may receive in two seconds.
pub const KNOWN_TARGETS_BYTES: usize = 6_000;

/// An instance that takes part in the exchange.
#[derive(Clone, Copy, Debug)]
pub struct ViewMember<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Failure domain of the instance.
    pub failure_domain: &'a str,
}

/// Observations of one instance, for the aggregator of its failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservationMessage {
    /// Name of the instance, if it needs summaries of the receiver, which may not know that it is
    /// the aggregator.
    pub sender: Option<String>,
    /// Identifies the message.
    pub stamp: MessageStamp,
    /// The observations.
    pub records: Vec<ObservationRecord>,
}

/// Summaries of an aggregator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SummaryMessage {
    /// Name of the aggregator.
    pub sender: String,
    /// Identifies the message.
    pub stamp: MessageStamp,
    /// The summaries.
    pub records: Vec<SummaryRecord>,
}

/// A message that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Outgoing {
    /// Observations for an aggregator.
    Observations {
        /// The aggregator.
        receiver: String,
        /// The message.
        message: ObservationMessage,
    },
    /// Summaries for each of some instances.
    Summaries {
        /// The instances.
        receivers: Vec<String>,
        /// The message.
        message: SummaryMessage,
    },
    /// A request for all that an aggregator knows.
    KnownTargets {
        /// The aggregator.
        receiver: String,
    },
}

/// A change of the aggregator of the local failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AggregatorChange {
    /// The previous aggregator, if there was one.
    pub previous: Option<String>,
    /// The new aggregator.
    pub current: Option<String>,
}

/// What one step of the exchange results in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExchangeStep {
    /// The messages to send.
    pub messages: Vec<Outgoing>,
    /// The samples of this instance, if it is the aggregator.
    pub local_samples: Vec<NewSamples>,
    /// Set if the aggregator of the local domain changed.
    pub aggregator_change: Option<AggregatorChange>,
}

/// A number of bytes that grows with time.
#[derive(Clone, Copy, Debug, Default)]
struct ByteBudget {
    available_milli_bytes: u64,
    updated_at: Millis,
}

/// The exchange of one instance with its peers.
#[derive(Debug)]
pub struct ViewExchange {
    name: String,
    failure_domain: String,
    incarnation: u32,
    latest_sequence: u32,
    is_active: bool,
    names: TargetNames,
    aggregators: AggregatorChoice,
    aggregator: Option<String>,
    has_known_targets: bool,
    known_targets_asked_at: Option<Millis>,
    observation_budget: ByteBudget,
    observations_sent_at: Millis,
    summary_budgets: BTreeMap<Receivers, ByteBudget>,
    summaries_sent_at: BTreeMap<Receivers, Millis>,
    last_step_at: Option<Millis>,
    /// Instances that asked for summaries, and when.
    requesters: BTreeMap<String, Millis>,
}

impl ViewExchange {
    /// Creates the exchange of the instance `name`; `incarnation` is a random number of this run.
    #[must_use]
    pub fn new(name: &str, failure_domain: &str, incarnation: u32) -> Self {
        Self {
            name: name.to_owned(),
            failure_domain: failure_domain.to_owned(),
            incarnation,
            latest_sequence: 0,
            is_active: false,
            names: TargetNames::default(),
            aggregators: AggregatorChoice::default(),
            aggregator: None,
            has_known_targets: false,
            known_targets_asked_at: None,
            observation_budget: ByteBudget::default(),
            observations_sent_at: Millis::ZERO,
            summary_budgets: BTreeMap::new(),
            summaries_sent_at: BTreeMap::new(),
            last_step_at: None,
            requesters: BTreeMap::new(),
        }
    }

    /// Starts the exchange. Before, no message is sent; a message of a peer starts it, too.
    pub fn activate(&mut self) {
        self.is_active = true;
    }

    /// Returns whether the exchange has started.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Replaces the targets whose records are understood.
    pub fn set_targets(&mut self, names: TargetNames) {
        self.names = names;
    }

    /// Returns the aggregator of the local failure domain, as of the last step.
    #[must_use]
    pub fn aggregator(&self) -> Option<&str> {
        self.aggregator.as_deref()
    }

    /// Returns whether this instance is the aggregator, as of the last step.
    #[must_use]
    pub fn is_aggregator(&self) -> bool {
        self.aggregator.as_deref() == Some(self.name.as_str())
    }

    /// Returns the messages that are due.
    ///
    /// `peers` are the other instances that understand the messages and are not known to be shutting
    /// down or unreachable. An instance that is itself shutting down is not an aggregator unless it
    /// is the only one.
    pub fn step(
        &mut self,
        now: Millis,
        view: &mut TargetView,
        peers: &[ViewMember<'_>],
        is_shutting_down: bool,
    ) -> ExchangeStep {
        let mut step = ExchangeStep::default();
        if !self.is_active {
            return step;
        }
        self.check_interruption(now, view);
        self.last_step_at = Some(now);
        let local_domain = self.failure_domain.clone();
        let domain_peers: Vec<&str> = in_domain(peers, &local_domain).collect();
        let is_candidate = !is_shutting_down || domain_peers.is_empty();
        let local = is_candidate.then_some(self.name.as_str());
        let members = domain_peers.iter().copied().chain(local);
        let aggregator = self
            .aggregators
            .choose(now, &local_domain, members, local, AGGREGATOR_SILENCE_MS)
            .map(str::to_owned);
        if aggregator != self.aggregator {
            let previous = std::mem::replace(&mut self.aggregator, aggregator.clone());
            step.aggregator_change = Some(AggregatorChange {
                previous,
                current: aggregator.clone(),
            });
        }
        let requesters = self.requesters(now, &domain_peers);
        if self.is_aggregator() {
            // What this instance observed is in its view already.
            let observations = view.take_observations(now, usize::MAX);
            let samples = observations.iter().filter_map(NewSamples::of);
            step.local_samples = samples.collect();
            let receivers = domain_peers.iter().map(|&name| name.to_owned()).collect();
            self.push_summaries(now, view, Receivers::Domain, receivers, &mut step);
            let others = self.other_aggregators(now, peers);
            self.push_summaries(now, view, Receivers::Aggregators, others, &mut step);
            return step;
        }
        // Members that cannot hear the aggregator of this instance rely on this one.
        self.push_summaries(now, view, Receivers::Domain, requesters, &mut step);
        if let Some(aggregator) = aggregator {
            self.push_observations(now, view, &aggregator, domain_peers.len(), &mut step);
            let is_due = self
                .known_targets_asked_at
                .is_none_or(|asked_at| asked_at + REQUEST_INTERVAL_MS <= now);
            if !self.has_known_targets && is_due {
                self.known_targets_asked_at = Some(now);
                let receiver = aggregator;
                step.messages.push(Outgoing::KnownTargets { receiver });
            }
        }
        step
    }

    /// Merges observations of a peer and returns the samples that are new.
    pub fn receive_observations(
        &mut self,
        now: Millis,
        view: &mut TargetView,
        message: &ObservationMessage,
    ) -> Vec<NewSamples> {
        self.is_active = true;
        if let Some(sender) = &message.sender {
            self.requesters.insert(sender.clone(), now);
        }
        self.check_interruption(now, view);
        let records = message.records.iter();
        let observations: Vec<TargetObservation> = records
            .filter_map(|record| self.names.observation(record))
            .collect();
        view.merge_observations(now, message.stamp, &observations)
    }

    /// Merges summaries of an aggregator, which is an instance of the failure domain `domain`.
    pub fn receive_summaries(
        &mut self,
        now: Millis,
        view: &mut TargetView,
        domain: &str,
        message: &SummaryMessage,
    ) {
        self.is_active = true;
        self.check_interruption(now, view);
        let records = message.records.iter();
        let summaries: Vec<TargetSummary> = records
            .filter_map(|record| self.names.summary(record))
            .collect();
        view.merge_summaries(now, message.stamp, &summaries);
        let sender = &message.sender;
        self.aggregators.record_summaries(now, domain, sender);
    }

    /// Returns the reply to an instance that asks for all that this one knows.
    pub fn known_targets(&mut self, now: Millis, view: &TargetView) -> SummaryMessage {
        let summaries = view.known_targets(now, KNOWN_TARGETS_BYTES);
        self.summary_message(now, &summaries)
    }

    /// Records that an aggregator replied to a request for all that it knows.
    pub fn record_known_targets(&mut self) {
        self.has_known_targets = true;
    }

    fn check_interruption(&mut self, now: Millis, view: &mut TargetView) {
        let due_at = self.last_step_at.map(|at| at + INTERRUPTION_MS);
        if due_at.is_some_and(|due_at| due_at < now) {
            self.last_step_at = Some(now);
            view.record_interruption(now, now + BACKLOG_MS);
        }
    }

    /// Returns the peers of the domain that asked for summaries recently.
    fn requesters(&mut self, now: Millis, domain_peers: &[&str]) -> Vec<String> {
        self.requesters
            .retain(|_, asked_at| *asked_at + REQUESTER_VALID_MS >= now);
        let requesters = self.requesters.keys();
        requesters
            .filter(|name| domain_peers.contains(&name.as_str()))
            .cloned()
            .collect()
    }

    fn other_aggregators(&mut self, now: Millis, peers: &[ViewMember<'_>]) -> Vec<String> {
        let domains: BTreeSet<&str> = peers
            .iter()
            .map(|peer| peer.failure_domain)
            .filter(|domain| *domain != self.failure_domain)
            .collect();
        let mut others = Vec::new();
        for domain in domains {
            let members = in_domain(peers, domain);
            let aggregator = self
                .aggregators
                .choose(now, domain, members, None, REMOTE_SILENCE_MS);
            others.extend(aggregator.map(str::to_owned));
        }
        others
    }

    fn push_observations(
        &mut self,
        now: Millis,
        view: &mut TargetView,
        aggregator: &str,
        domain_peers: usize,
        step: &mut ExchangeStep,
    ) {
        let bytes_per_s = OBSERVED_BYTES_PER_S / (domain_peers as u64).max(1);
        self.observation_budget.refill(now, bytes_per_s);
        let is_first = self.aggregators.is_first(&self.failure_domain, aggregator);
        let sender = (!is_first).then(|| self.name.clone());
        let name_bytes = sender.as_ref().map_or(0, String::len);
        let overhead = MESSAGE_BYTES + name_bytes as u64;
        let for_records = self.observation_budget.bytes().saturating_sub(overhead);
        let must_ask = !is_first && self.observations_sent_at + REQUEST_INTERVAL_MS <= now;
        if !must_ask && for_records < MIN_OBSERVATION_BYTES {
            return;
        }
        let observations = view.take_observations(now, for_records as usize);
        if observations.is_empty() && !must_ask {
            return;
        }
        let records: Vec<ObservationRecord> =
            observations.iter().map(TargetObservation::record).collect();
        let sizes = records.iter().map(|record| record.encoded_bytes() as u64);
        self.observation_budget.take(overhead + sizes.sum::<u64>());
        self.observations_sent_at = now;
        let message = ObservationMessage {
            sender,
            stamp: self.stamp(now),
            records,
        };
        step.messages.push(Outgoing::Observations {
            receiver: aggregator.to_owned(),
            message,
        });
    }

    fn push_summaries(
        &mut self,
        now: Millis,
        view: &mut TargetView,
        group: Receivers,
        receivers: Vec<String>,
        step: &mut ExchangeStep,
    ) {
        let count = receivers.len() as u64;
        if count == 0 {
            return;
        }
        let bytes_per_s = match group {
            Receivers::Domain => RECEIVED_BYTES_PER_S.min(SENT_BYTES_PER_S / count),
            // Each receiver hears as many other aggregators as this instance sends to.
            Receivers::Aggregators => (RECEIVED_BYTES_PER_S - OBSERVED_BYTES_PER_S) / count,
        };
        let budget = self.summary_budgets.entry(group).or_default();
        budget.refill(now, bytes_per_s);
        let overhead = MESSAGE_BYTES + self.name.len() as u64;
        let for_records = budget.bytes().saturating_sub(overhead);
        let sent_at = self.summaries_sent_at.get(&group).copied();
        let heartbeat_ms = match group {
            Receivers::Domain => HEARTBEAT_INTERVAL_MS,
            Receivers::Aggregators => AGGREGATOR_HEARTBEAT_INTERVAL_MS,
        };
        let must_send = sent_at.is_none_or(|sent_at| sent_at + heartbeat_ms <= now);
        if !must_send && for_records < MIN_SUMMARY_BYTES {
            return;
        }
        let summaries = view.take_summaries(now, group, for_records as usize);
        if summaries.is_empty() && !must_send {
            return;
        }
        let message = self.summary_message(now, &summaries);
        let sizes = message.records.iter().map(SummaryRecord::encoded_bytes);
        let bytes = overhead + sizes.sum::<usize>() as u64;
        self.summary_budgets.entry(group).or_default().take(bytes);
        self.summaries_sent_at.insert(group, now);
        step.messages
            .push(Outgoing::Summaries { receivers, message });
    }

    fn summary_message(&mut self, now: Millis, summaries: &[TargetSummary]) -> SummaryMessage {
        SummaryMessage {
            sender: self.name.clone(),
            stamp: self.stamp(now),
            records: summaries.iter().map(TargetSummary::record).collect(),
        }
    }

    fn stamp(&mut self, now: Millis) -> MessageStamp {
        self.latest_sequence = self.latest_sequence.wrapping_add(1);
        MessageStamp {
            sender_incarnation: self.incarnation,
            sequence: self.latest_sequence,
            sender_uptime_ms: now,
        }
    }
}

impl ByteBudget {
    /// Adds what the time since the last call allows, up to the bytes of one second or of one full
    /// message.
    fn refill(&mut self, now: Millis, bytes_per_s: u64) {
        let elapsed_ms = (now - self.updated_at).0;
        self.updated_at = now;
        let largest = bytes_per_s.max(2 * MIN_SUMMARY_BYTES).saturating_mul(1_000);
        let added = elapsed_ms.saturating_mul(bytes_per_s);
        self.available_milli_bytes = self
            .available_milli_bytes
            .saturating_add(added)
            .min(largest);
    }

    fn bytes(&self) -> u64 {
        self.available_milli_bytes / 1_000
    }

    fn take(&mut self, bytes: u64) {
        let taken = bytes.saturating_mul(1_000);
        self.available_milli_bytes = self.available_milli_bytes.saturating_sub(taken);
    }
}

fn in_domain<'a>(peers: &[ViewMember<'a>], domain: &str) -> impl Iterator<Item = &'a str> {
    peers
        .iter()
        .filter(move |peer| peer.failure_domain == domain)
        .map(|peer| peer.name)
}
