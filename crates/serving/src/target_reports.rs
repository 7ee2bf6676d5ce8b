//! Exchange with peers of what is known about the load of targets.
//!
//! Active for services whose targets report how long work takes, and for services with a configured
//! memory for tokens if the settings ask for it. Otherwise no message is sent.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use http::StatusCode;
use log::info;

use crate::net::sleep;
use crate::peer::PeerConnections;
use crate::peer_messages::PeerCommand;
use crate::peer_messages::PeerReply;
use crate::peer_messages::TARGET_VIEW_PROTOCOL;
use crate::request::RequestContext;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::target_attempt::TargetAttempt;
use arbutus_coord::Millis;
use arbutus_platform::response::ReportedLoad;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::target_advisor::AdvisedTarget;
use arbutus_policy::serving::target_advisor::TargetAdvisor;
use arbutus_policy::serving::target_pace::PaceSample;
use arbutus_policy::serving::target_ramp::OutcomeCounts;
use arbutus_policy::serving::target_ramp::RampChange;
use arbutus_policy::serving::target_selection::TargetOutcome;
use arbutus_policy::serving::target_view::TargetView;
use arbutus_policy::serving::target_view::exchange::AggregatorChange;
use arbutus_policy::serving::target_view::exchange::ObservationMessage;
use arbutus_policy::serving::target_view::exchange::Outgoing;
use arbutus_policy::serving::target_view::exchange::STEP_INTERVAL_MS;
use arbutus_policy::serving::target_view::exchange::SummaryMessage;
use arbutus_policy::serving::target_view::exchange::ViewExchange;
use arbutus_policy::serving::target_view::exchange::ViewMember;
use arbutus_policy::serving::target_view::messages::TargetNames;
use arbutus_policy::serving::target_view::messages::TargetObservation;

/// Time after the first list of targets in which targets that appear may have been running before.
const LIST_SETTLED_MS: Millis = Millis(5_000);
/// Minimum time between two log lines about the ramp of a target.
const RAMP_LOG_INTERVAL_MS: Millis = Millis(1_000);

/// The view of the targets, and the exchange that keeps it up to date.
#[derive(Debug)]
pub struct TargetReports {
    /// What is known of the targets.
    pub view: RefCell<TargetView>,
    exchange: RefCell<ViewExchange>,
    /// Services whose targets report how long work takes.
    reporting_services: RefCell<BTreeSet<String>>,
    /// Determines pace and ramp weights while this instance is the aggregator.
    advisor: RefCell<TargetAdvisor>,
    /// When the list of targets was first known.
    listed_at: Cell<Option<Millis>>,
    /// When a log line about the ramp of a target was written last.
    ramp_logged_at: RefCell<BTreeMap<String, Millis>>,
}

impl TargetReports {
    /// Creates the view of the instance `name`, without targets.
    #[must_use]
    pub fn new(name: &str, failure_domain: &str) -> Self {
        let exchange = ViewExchange::new(name, failure_domain, rand::random());
        Self {
            view: RefCell::new(TargetView::new()),
            exchange: RefCell::new(exchange),
            reporting_services: RefCell::new(BTreeSet::new()),
            advisor: RefCell::new(TargetAdvisor::default()),
            listed_at: Cell::new(None),
            ramp_logged_at: RefCell::new(BTreeMap::new()),
        }
    }

    fn add_reporting_service(&self, service: &str) {
        let mut services = self.reporting_services.borrow_mut();
        if !services.contains(service) {
            info!(service; "targets report how long work takes; sharing their load with peers");
            services.insert(service.to_owned());
        }
    }
}

/// Returns whether instances share the load of the targets of a service.
#[must_use]
pub fn is_shared(shared: &Shared, service: &str) -> bool {
    let services = shared.target_reports.reporting_services.borrow();
    services.contains(service) || is_configured(shared, service)
}

fn is_configured(shared: &Shared, service: &str) -> bool {
    shared.settings.shares_target_load
        && shared
            .service(service)
            .is_some_and(|spec| spec.token_capacity.is_some())
}

/// Records the load that a target reports in a response.
pub fn record_load(shared: &Shared, entry: &TargetEntry, load: &ReportedLoad) {
    let reports = &shared.target_reports;
    if load.work_percent.is_some() {
        reports.add_reporting_service(&entry.service);
    }
    if !is_shared(shared, &entry.service) {
        return;
    }
    reports.exchange.borrow_mut().activate();
    let observation = TargetObservation {
        target: entry.id.clone(),
        incarnation: entry.incarnation,
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        work_percent: load.work_percent,
        ..TargetObservation::default()
    };
    let mut view = reports.view.borrow_mut();
    view.observe(shared.now(), &observation);
}

/// Records that the list of targets is known, from which on [`record_appeared`] starts ramps.
pub fn record_list(shared: &Shared) {
    shared.target_reports.listed_at.set(Some(shared.now()));
}

/// Starts the ramp of a target that has appeared or was restarted, unless this instance has just
/// read the list of targets for the first time.
pub fn record_appeared(shared: &Shared, id: &str) {
    let listed_at = shared.target_reports.listed_at.get();
    let is_settled = listed_at.is_some_and(|at| at + LIST_SETTLED_MS <= shared.now());
    if !is_settled {
        return;
    }
    let known = shared.directory.borrow().get(id).cloned();
    if let Some(known) = known {
        start_ramp(shared, &known.entry);
    }
}

/// Starts the ramps of the targets of failure domains whose evacuation has ended.
pub fn record_evacuations_ended(shared: &Shared, domains: &[String]) {
    let directory = shared.directory.borrow();
    let returned = directory
        .iter()
        .filter(|known| domains.contains(&known.entry.failure_domain));
    for known in returned {
        start_ramp(shared, &known.entry);
    }
}

fn start_ramp(shared: &Shared, entry: &TargetEntry) {
    if !is_shared(shared, &entry.service) {
        return;
    }
    let now = shared.now();
    let reports = &shared.target_reports;
    let mut advisor = reports.advisor.borrow_mut();
    advisor.record_start(now, &entry.id, advised_target(entry));
    let weight = advisor.weight(now, &entry.id);
    let mut view = reports.view.borrow_mut();
    view.set_start_weight(now, &entry.id, entry.incarnation, weight);
}

fn advised_target(entry: &TargetEntry) -> AdvisedTarget {
    AdvisedTarget {
        service: entry.service.clone(),
        incarnation: entry.incarnation,
    }
}

/// Records the first event of a stream of an attempt. Called before the forecast learns from it.
pub fn record_first_event(context: &RequestContext, attempt: &TargetAttempt) {
    let shared = &context.shared;
    let entry = attempt.target();
    if !is_shared(shared, &entry.service) {
        return;
    }
    let observed_ms = shared.now() - attempt.sent_at();
    let expected_ms = {
        let forecast = shared.first_event_forecast.borrow();
        forecast.expected_ms(&entry.service, context.prompt_tokens())
    };
    let pace = PaceSample::new(expected_ms, observed_ms);
    let outcomes = OutcomeCounts::of_response(observed_ms, context.route.objective_ms);
    add_samples(shared, entry, pace, outcomes);
}

/// Records a complete response that is not a stream. A client can cause an error of status 4xx, which
/// therefore says nothing against the target.
pub fn record_response(context: &RequestContext, attempt: &TargetAttempt, status: StatusCode) {
    let shared = &context.shared;
    let entry = attempt.target();
    if !is_shared(shared, &entry.service) {
        return;
    }
    let outcomes = if status.is_server_error() {
        OutcomeCounts::one_failed()
    } else {
        let observed_ms = shared.now() - attempt.sent_at();
        OutcomeCounts::of_response(observed_ms, context.route.objective_ms)
    };
    add_samples(shared, entry, PaceSample::default(), outcomes);
}

/// Records a refusal or a failed connection. Other outcomes are recorded by [`record_first_event`]
/// and [`record_response`].
pub fn record_outcome(shared: &Shared, entry: &TargetEntry, outcome: TargetOutcome) {
    let outcomes = match outcome {
        TargetOutcome::Full => OutcomeCounts::one_refused(),
        TargetOutcome::Broken => OutcomeCounts::one_failed(),
        TargetOutcome::Responded | TargetOutcome::Failed | TargetOutcome::Abandoned => return,
    };
    if is_shared(shared, &entry.service) {
        add_samples(shared, entry, PaceSample::default(), outcomes);
    }
}

fn add_samples(shared: &Shared, entry: &TargetEntry, pace: PaceSample, outcomes: OutcomeCounts) {
    let directory = shared.directory.borrow();
    // An attempt may end after its target was restarted or removed.
    let is_present = directory
        .get(&entry.id)
        .is_some_and(|known| known.entry.incarnation == entry.incarnation);
    if is_present {
        let mut view = shared.target_reports.view.borrow_mut();
        view.add_samples(&entry.id, entry.incarnation, pace, outcomes);
    }
}

/// Handles a command of a peer about the load of targets; ignores other commands.
pub fn handle_command(shared: &Shared, command: PeerCommand, replies: &mut Vec<PeerReply>) {
    match command {
        PeerCommand::TargetObservations(message) => merge_observations(shared, &message),
        PeerCommand::TargetSummaries(message) => merge_summaries(shared, &message),
        PeerCommand::KnownTargets => {
            replies.push(PeerReply::TargetSummaries(known_targets(shared)));
        }
        _ => {}
    }
}

/// Merges what a member of the failure domain observed.
fn merge_observations(shared: &Shared, message: &ObservationMessage) {
    let reports = &shared.target_reports;
    let mut view = reports.view.borrow_mut();
    let mut exchange = reports.exchange.borrow_mut();
    let samples = exchange.receive_observations(shared.now(), &mut view, message);
    let mut advisor = reports.advisor.borrow_mut();
    advisor.add_samples(shared.now(), &samples);
}

/// Merges what an aggregator knows.
fn merge_summaries(shared: &Shared, message: &SummaryMessage) {
    // Only a known instance can be an aggregator.
    let Some(sender) = shared.peer(&message.sender) else {
        return;
    };
    let reports = &shared.target_reports;
    let mut view = reports.view.borrow_mut();
    let mut exchange = reports.exchange.borrow_mut();
    let domain = &sender.failure_domain;
    exchange.receive_summaries(shared.now(), &mut view, domain, message);
}

/// Merges the reply to a request for all that an aggregator knows.
pub fn merge_known_targets(shared: &Shared, message: &SummaryMessage) {
    merge_summaries(shared, message);
    let mut exchange = shared.target_reports.exchange.borrow_mut();
    exchange.record_known_targets();
}

/// Returns all that this instance knows, for a peer that has started.
fn known_targets(shared: &Shared) -> SummaryMessage {
    let reports = &shared.target_reports;
    let view = reports.view.borrow();
    let mut exchange = reports.exchange.borrow_mut();
    exchange.known_targets(shared.now(), &view)
}

/// Sends what changed to the aggregator or, if this instance is the aggregator, to the others.
///
/// # Errors
///
/// Never returns; supervised tasks must have a `Result` as their return type.
pub async fn run(
    shared: Rc<Shared>,
    stage_client: Rc<StageClient>,
    connections: Rc<PeerConnections>,
) -> Result<(), String> {
    let mut target_changes = shared.subscribe_target_changes();
    target_changes.mark_changed();
    loop {
        sleep(STEP_INTERVAL_MS).await;
        activate_if_configured(&shared);
        if !shared.target_reports.exchange.borrow().is_active() {
            continue;
        }
        if target_changes.has_changed().unwrap_or(false) {
            target_changes.mark_unchanged();
            update_targets(&shared);
        }
        add_services_of_reports(&shared);
        let step = {
            let peers = shared.peers();
            let members: Vec<ViewMember<'_>> = peers
                .iter()
                .filter(|peer| {
                    peer.peer_protocol >= TARGET_VIEW_PROTOCOL
                        && !stage_client.is_unavailable(&peer.name)
                })
                .map(|peer| ViewMember {
                    name: &peer.name,
                    failure_domain: &peer.failure_domain,
                })
                .collect();
            let reports = &shared.target_reports;
            let is_shutting_down = shared.phase().is_shutting_down();
            let mut view = reports.view.borrow_mut();
            let mut exchange = reports.exchange.borrow_mut();
            let mut advisor = reports.advisor.borrow_mut();
            let now = shared.now();
            advisor.step(now, &mut view, &mut exchange, &members, is_shutting_down)
        };
        log_ramp_changes(&shared);
        if let Some(change) = step.aggregator_change {
            record_aggregator_change(&shared, &change);
        }
        for outgoing in step.messages {
            send(&connections, outgoing);
        }
        update_metrics(&shared);
    }
}

/// Starts the exchange if the load of a service is shared by configuration.
fn activate_if_configured(shared: &Shared) {
    if !shared.settings.shares_target_load {
        return;
    }
    let table = shared.route_table();
    let is_configured = table.is_some_and(|table| {
        let mut services = table.configuration().services.values();
        services.any(|spec| spec.token_capacity.is_some())
    });
    if is_configured {
        shared.target_reports.exchange.borrow_mut().activate();
    }
}

fn update_targets(shared: &Shared) {
    let directory = shared.directory.borrow();
    let targets = directory
        .iter()
        .map(|known| (known.entry.id.as_str(), known.entry.incarnation));
    let mut exchange = shared.target_reports.exchange.borrow_mut();
    exchange.set_targets(TargetNames::new(targets));
    let advised = directory
        .iter()
        .map(|known| (known.entry.id.clone(), advised_target(&known.entry)));
    let mut advisor = shared.target_reports.advisor.borrow_mut();
    advisor.set_targets(advised.collect());
}

/// Adds the services of targets that report how long work takes to a peer.
fn add_services_of_reports(shared: &Shared) {
    let reports = &shared.target_reports;
    let (directory, view) = (shared.directory.borrow(), reports.view.borrow());
    for known in directory.iter() {
        let (id, incarnation) = (&known.entry.id, known.entry.incarnation);
        if view.usual_work_percent(id, incarnation).is_some() {
            reports.add_reporting_service(&known.entry.service);
        }
    }
}

fn send(connections: &Rc<PeerConnections>, outgoing: Outgoing) {
    match outgoing {
        Outgoing::Observations { receiver, message } => {
            connections.send_droppable(&receiver, PeerCommand::TargetObservations(message));
        }
        Outgoing::Summaries { receivers, message } => {
            for receiver in receivers {
                let command = PeerCommand::TargetSummaries(message.clone());
                connections.send_droppable(&receiver, command);
            }
        }
        Outgoing::KnownTargets { receiver } => {
            connections.send_droppable(&receiver, PeerCommand::KnownTargets);
        }
    }
}

fn record_aggregator_change(shared: &Shared, change: &AggregatorChange) {
    shared.metrics.aggregator_changes.inc();
    let previous = change.previous.as_deref().unwrap_or("-");
    let current = change.current.as_deref().unwrap_or("-");
    info!(previous, current; "aggregator of target reports changed");
}

/// Writes a line for each ramp that began, fell or ended, at most one a second for each target.
fn log_ramp_changes(shared: &Shared) {
    let reports = &shared.target_reports;
    let now = shared.now();
    let mut logged_at = reports.ramp_logged_at.borrow_mut();
    logged_at.retain(|_, at| now < *at + RAMP_LOG_INTERVAL_MS);
    for change in reports.advisor.borrow_mut().take_changes() {
        if logged_at.contains_key(&change.target) {
            continue;
        }
        log_ramp_change(&change);
        logged_at.insert(change.target, now);
    }
}

fn log_ramp_change(change: &RampChange) {
    let target_id = change.target.as_str();
    let state: &'static str = change.state.into();
    let weight = change.weight;
    match change.cause {
        Some(cause) => {
            let cause: &'static str = cause.into();
            info!(target_id, state, weight, cause; "weight of a target reduced");
        }
        None => info!(target_id, state, weight; "target has a normal share"),
    }
}

fn update_metrics(shared: &Shared) {
    let view = shared.target_reports.view.borrow();
    let (count, mean_age_ms) = view.coverage(shared.now());
    let metrics = &shared.metrics;
    let count = i64::try_from(count).unwrap_or(i64::MAX);
    metrics.viewed_targets.set(count);
    let mean_age_ms = i64::try_from(mean_age_ms.0).unwrap_or(i64::MAX);
    metrics.view_age_ms.set(mean_age_ms);
    let ramping = shared.target_reports.advisor.borrow();
    let ramping = ramping.ramping_count(shared.now());
    metrics
        .ramping_targets
        .set(i64::try_from(ramping).unwrap_or(i64::MAX));
}
