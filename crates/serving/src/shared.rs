//! State shared by all tasks of an instance.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::info;
use tokio::sync::watch;

use crate::body::BodyMemory;
use crate::client_limits::LimitReason;
use crate::client_limits::LimitRecord;
use crate::client_memory::ClientMemory;
use crate::metrics::Metrics;
use crate::net::sleep;
use crate::pool::Pool;
use crate::rollouts::Rollouts;
use crate::target_reports;
use crate::target_reports::TargetReports;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_platform::settings::InstanceSettings;
use arbutus_platform::store::InstanceEntry;
use arbutus_platform::store::ObjectKind;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_policy::serving::batch::QueueName;
use arbutus_policy::serving::cold_targets;
use arbutus_policy::serving::cold_targets::ColdTargetPacer;
use arbutus_policy::serving::crash_quarantine;
use arbutus_policy::serving::crash_quarantine::CrashQuarantine;
use arbutus_policy::serving::crash_quarantine::CrashReport;
use arbutus_policy::serving::first_event::FirstEventForecast;
use arbutus_policy::serving::leaving_targets::LeavingReport;
use arbutus_policy::serving::model::ClientLimits;
use arbutus_policy::serving::model::ServiceSpec;
use arbutus_policy::serving::prompt_quarantine::PartHash;
use arbutus_policy::serving::prompt_quarantine::PromptCrash;
use arbutus_policy::serving::prompt_quarantine::PromptQuarantine;
use arbutus_policy::serving::request_durations::RequestDurations;
use arbutus_policy::serving::retry_budget::WindowedRetryBudget;
use arbutus_policy::serving::routes::RouteTable;
use arbutus_policy::serving::target_backoff::TargetBackoffs;
use arbutus_policy::serving::target_directory::TargetChange;
use arbutus_policy::serving::target_directory::TargetDirectory;
use arbutus_policy::serving::target_limits::LimitReport;
use arbutus_policy::serving::target_limits::SenderRank;
use arbutus_policy::serving::target_limits::TargetLimits;
use arbutus_policy::serving::target_selection::TargetStates;

/// Time reserved before the end of the grace period for sending the last responses.
const LAST_RESPONSE_MARGIN_MS: Millis = Millis(500);
/// How long a backlog report stays valid; owners repeat reports while there is a backlog.
const BACKLOG_REPORT_VALID_MS: Millis = Millis(700);

/// The lifecycle phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The configuration or the list of targets is not known yet.
    Starting,
    /// The instance serves requests.
    Serving,
    /// The instance has received SIGTERM. It still accepts requests, because clients and the load
    /// balancer need time to move to other instances.
    Leaving,
    /// The instance accepts no connections any more, and closes each open one after its request in
    /// progress. The process exits when all connections are closed. For others, it is leaving.
    #[strum(serialize = "leaving")]
    Closing,
}

impl Phase {
    /// Returns whether the instance has received SIGTERM.
    #[must_use]
    pub fn is_shutting_down(self) -> bool {
        matches!(self, Self::Leaving | Self::Closing)
    }
}

/// Reports to all peers that are sent together.
#[derive(Debug, Default)]
pub struct PendingReports {
    /// Requests that crash targets.
    pub crashes: Vec<CrashReport>,
    /// Requests whose quarantine a response ended, and when.
    pub responses: Vec<(Fingerprint, Millis)>,
    /// Crashes of which the parts of a prompt are suspected, and when they occurred.
    pub prompt_crashes: Vec<(Millis, PromptCrash)>,
    /// Suspected prompt parts of requests that got a response.
    pub cleared_parts: BTreeSet<PartHash>,
    /// Limits of targets, and when they were observed.
    pub limits: Vec<(Millis, LimitReport)>,
    /// Targets that shut down.
    pub leaving: Vec<LeavingReport>,
}

/// State shared by all tasks of an instance, which run on one thread.
#[derive(Debug)]
pub struct Shared {
    /// The settings at the start of the process.
    pub settings: InstanceSettings,
    /// Time since the start of the process.
    pub clock: Clock,
    /// The metrics of this instance.
    pub metrics: Metrics,
    /// The connections to targets.
    pub pool: Rc<Pool>,
    /// The known targets.
    pub directory: RefCell<TargetDirectory>,
    /// Load and recent failures of each target.
    pub target_states: RefCell<TargetStates>,
    /// What all instances together know of the load of targets.
    pub target_reports: TargetReports,
    /// How long the services take to the first event of a stream.
    pub first_event_forecast: RefCell<FirstEventForecast>,
    /// How long requests take.
    pub request_durations: RefCell<RequestDurations>,
    /// Limits the rate of requests to cold targets, which were started recently.
    pub cold_target_pacer: RefCell<ColdTargetPacer>,
    /// The limits that targets name.
    pub target_limits: RefCell<TargetLimits>,
    /// The pauses that targets ask for.
    pub target_backoffs: RefCell<TargetBackoffs>,
    /// The requests that are suspected of crashing targets.
    pub crash_quarantine: RefCell<CrashQuarantine>,
    /// The prompt parts that are suspected of crashing targets.
    pub prompt_quarantine: RefCell<PromptQuarantine>,
    /// The memory that the bodies of responses share.
    pub body_memory: Rc<BodyMemory>,
    /// The memory that the bodies of requests share.
    pub client_memory: Rc<ClientMemory>,
    limit_record: LimitRecord,
    /// Number of requests in progress.
    pub in_progress: Cell<usize>,
    /// Number of open client connections.
    pub client_connection_count: Cell<usize>,
    /// Number of requests that were in progress when the process began to exit.
    pub cut_off_request_count: Cell<usize>,
    route_table: RefCell<Option<Rc<RouteTable>>>,
    instances: RefCell<BTreeMap<String, InstanceEntry>>,
    retry_budgets: RefCell<BTreeMap<String, WindowedRetryBudget>>,
    /// The backlog of each stage queue, and when it was reported.
    backlogs: RefCell<BTreeMap<QueueName, (Millis, Millis)>>,
    /// Reports about crashes that still have to be sent to peers.
    pub pending_reports: RefCell<PendingReports>,
    /// The roll-outs of the versions of services.
    pub rollouts: RefCell<Rollouts>,
    /// Identifies this run of the process; a later run has a greater value unless the clock of the
    /// machine was set back.
    pub process_incarnation: u64,
    targets_known: Cell<bool>,
    /// Whether the orders are known, without which a version under trial could get all requests.
    rollouts_known: Cell<bool>,
    phase: watch::Sender<Phase>,
    /// When the process received SIGTERM.
    sigterm_at: Cell<Option<Millis>>,
    is_exiting: Cell<bool>,
    /// Incremented on each change of targets or services.
    target_changes: watch::Sender<u64>,
}

impl Shared {
    /// Creates the state of an instance that has no configuration and no targets yet.
    #[must_use]
    pub fn new(settings: InstanceSettings, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            body_memory: BodyMemory::new(settings.memory_bytes),
            target_reports: TargetReports::new(&settings.name, &settings.failure_domain),
            client_memory: ClientMemory::new(settings.memory_bytes),
            limit_record: LimitRecord::default(),
            settings,
            clock,
            metrics: Metrics::new(),
            pool: Rc::new(Pool::default()),
            directory: RefCell::new(TargetDirectory::default()),
            target_states: RefCell::new(TargetStates::default()),
            first_event_forecast: RefCell::new(FirstEventForecast::default()),
            request_durations: RefCell::new(RequestDurations::default()),
            cold_target_pacer: RefCell::new(ColdTargetPacer::default()),
            target_limits: RefCell::new(TargetLimits::default()),
            target_backoffs: RefCell::new(TargetBackoffs::default()),
            crash_quarantine: RefCell::new(CrashQuarantine::new()),
            prompt_quarantine: RefCell::new(PromptQuarantine::new()),
            in_progress: Cell::new(0),
            client_connection_count: Cell::new(0),
            cut_off_request_count: Cell::new(0),
            route_table: RefCell::new(None),
            instances: RefCell::new(BTreeMap::new()),
            retry_budgets: RefCell::new(BTreeMap::new()),
            backlogs: RefCell::new(BTreeMap::new()),
            pending_reports: RefCell::new(PendingReports::default()),
            rollouts: RefCell::new(Rollouts::default()),
            process_incarnation: process_incarnation(),
            targets_known: Cell::new(false),
            rollouts_known: Cell::new(false),
            phase: watch::Sender::new(Phase::Starting),
            sigterm_at: Cell::new(None),
            is_exiting: Cell::new(false),
            target_changes: watch::Sender::new(0),
        })
    }

    /// Returns the time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Counts and logs that a limit on clients took effect.
    pub fn record_limit(&self, reason: LimitReason) {
        self.limit_record.record(self.now(), &self.metrics, reason);
    }

    /// Returns whether the bodies of requests or of responses use more than half of their memory.
    #[must_use]
    pub fn is_client_memory_short(&self) -> bool {
        self.client_memory.is_short() || self.body_memory.is_short()
    }

    /// Returns the current routes, or `None` before a configuration is known.
    #[must_use]
    pub fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.route_table.borrow().clone()
    }

    /// Returns the limits on clients of the current configuration, or the defaults before one is
    /// known.
    #[must_use]
    pub fn client_limits(&self) -> ClientLimits {
        let route_table = self.route_table.borrow();
        route_table
            .as_ref()
            .map_or_else(ClientLimits::default, |route_table| {
                route_table.configuration().client_limits
            })
    }

    /// Applies a configuration if it is newer than the current one; returns whether it was applied.
    pub fn apply_configuration(&self, table: RouteTable) -> bool {
        let version = table.configuration().version;
        let previous = self
            .route_table
            .borrow()
            .as_ref()
            .map(|table| table.configuration().version);
        if previous.is_some_and(|previous| previous >= version) {
            return false;
        }
        info!(
            version, previous:?, routes = table.configuration().routes.len();
            "configuration applied"
        );
        *self.route_table.borrow_mut() = Some(Rc::new(table));
        self.target_changes.send_modify(|count| *count += 1);
        self.update_phase();
        true
    }

    /// Updates the state that depends on targets after changes of the target list, and notifies
    /// subscribers. `changes` is empty if only the evacuated failure domains changed.
    pub fn apply_target_changes(&self, changes: &[TargetChange]) {
        for change in changes {
            let id = match change {
                TargetChange::Appeared(id) | TargetChange::Gone(id) => {
                    self.target_states.borrow_mut().remove(id);
                    self.target_reports.view.borrow_mut().remove(id);
                    self.target_limits.borrow_mut().remove(id);
                    self.pool.close_idle(id);
                    id
                }
                TargetChange::Draining(id) => id,
            };
            if matches!(change, TargetChange::Appeared(_)) {
                target_reports::record_appeared(self, id);
            }
            if matches!(change, TargetChange::Gone(_)) {
                self.cold_target_pacer.borrow_mut().remove(id);
            }
            info!(target_id = id.as_str(), change:?; "target list changed");
        }
        if !self.targets_known.replace(true) {
            target_reports::record_list(self);
            self.update_phase();
        }
        self.target_changes.send_modify(|count| *count += 1);
    }

    /// Notifies subscribers that other targets may get requests.
    pub fn notify_target_changes(&self) {
        self.target_changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of each change of targets or services.
    #[must_use]
    pub fn subscribe_target_changes(&self) -> watch::Receiver<u64> {
        self.target_changes.subscribe()
    }

    /// Returns the specification of a service, or `None` if the configuration has no such service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceSpec> {
        let table = self.route_table.borrow();
        table.as_ref()?.configuration().services.get(name).cloned()
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, instances: BTreeMap<String, InstanceEntry>) {
        if *self.instances.borrow() != instances {
            info!(instances = instances.len(); "instance list changed");
            *self.instances.borrow_mut() = instances;
        }
    }

    /// Returns the other instances, ordered by name.
    #[must_use]
    pub fn peers(&self) -> Vec<InstanceEntry> {
        self.instances
            .borrow()
            .values()
            .filter(|entry| entry.name != self.settings.name)
            .cloned()
            .collect()
    }

    /// Returns whether this instance is the one that tries quarantined requests.
    #[must_use]
    pub fn is_crash_tester(&self) -> bool {
        let instances = self.instances.borrow();
        let names = instances.keys().map(String::as_str);
        crash_quarantine::is_tester(&self.settings.name, names)
    }

    /// Returns another instance by its name, or `None` if it is not known.
    #[must_use]
    pub fn peer(&self, name: &str) -> Option<InstanceEntry> {
        self.instances.borrow().get(name).cloned()
    }

    /// Returns the number of known instances, at least 1. Limits that all instances share are
    /// divided by it.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.instances.borrow().len().max(1)
    }

    /// Returns whether this instance may send to a cold target of a service now.
    #[must_use]
    pub fn may_send_to_cold_target(&self, service: &ServiceSpec, target: &str) -> bool {
        let tolerated_per_s = service.max_cold_requests_per_s * self.settings.cold_rate_factor
            + self.settings.extra_cold_rate_per_s;
        let instances = self.instances.borrow();
        let local_name = &self.settings.name;
        let others = instances.keys().filter(|name| *name != local_name);
        cold_targets::is_designated_sender(
            target,
            local_name,
            others.map(String::as_str),
            tolerated_per_s,
        ) && self.cold_target_pacer.borrow().may_send(self.now(), target)
    }

    /// Returns the position of this instance among those that may send to a limited target.
    #[must_use]
    pub fn sender_rank(&self, target: &str) -> SenderRank {
        let directory = self.directory.borrow();
        let target_domain = directory
            .get(target)
            .map_or("", |known| known.entry.failure_domain.as_str());
        let instances = self.instances.borrow();
        let local = (
            self.settings.name.as_str(),
            self.settings.failure_domain.as_str(),
        );
        let peers = instances
            .values()
            .map(|entry| (entry.name.as_str(), entry.failure_domain.as_str()))
            .filter(|(name, _)| *name != local.0);
        SenderRank::of(target, target_domain, local, peers)
    }

    /// Counts a request, which adds to the retry budget of its service.
    pub fn record_request(&self, service: &str) {
        let limits = &self.settings.retry_limits;
        self.with_retry_budget(service, |budget| budget.record_request(self.now(), limits));
    }

    /// Takes one retry from the budget of a service; returns false if the budget is used up.
    pub fn try_retry(&self, service: &str) -> bool {
        let (limits, instances) = (&self.settings.retry_limits, self.instance_count());
        self.with_retry_budget(service, |budget| {
            budget.try_retry(self.now(), limits, instances)
        })
    }

    /// Records the backlog of a stage queue as of now.
    pub fn set_backlog(&self, queue: QueueName, backlog_ms: Millis) {
        let entry = (backlog_ms, self.now());
        self.backlogs.borrow_mut().insert(queue, entry);
    }

    /// Returns the backlog of a stage queue, or zero if there is no recent report.
    #[must_use]
    pub fn backlog_ms(&self, queue: &QueueName) -> Millis {
        let backlogs = self.backlogs.borrow();
        let report = backlogs.get(queue);
        report
            .filter(|(_, reported_at)| *reported_at + BACKLOG_REPORT_VALID_MS >= self.now())
            .map_or(Millis::ZERO, |&(backlog_ms, _)| backlog_ms)
    }

    /// Returns whether the retry budget of a service allows another retry.
    #[must_use]
    pub fn allows_retry(&self, service: &str) -> bool {
        let (limits, instances) = (&self.settings.retry_limits, self.instance_count());
        self.with_retry_budget(service, |budget| {
            budget.allows_retry(self.now(), limits, instances)
        })
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        operation: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        operation(retry_budgets.entry(service.to_owned()).or_default())
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver that is notified of each phase change.
    #[must_use]
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Returns the time since SIGTERM, or `None` before it.
    #[must_use]
    pub fn shutdown_elapsed_ms(&self) -> Option<Millis> {
        self.sigterm_at
            .get()
            .map(|sigterm_at| self.now() - sigterm_at)
    }

    /// Waits until a condition on the phase holds.
    pub async fn wait_for_phase(&self, condition: impl Fn(Phase) -> bool) {
        let mut phase = self.subscribe_phase();
        if phase.wait_for(|&phase| condition(phase)).await.is_err() {
            // Not reached: the sender lives as long as the process.
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the instance is shutting down and the time for completing requests is over.
    pub async fn wait_for_shutdown_deadline(&self) {
        self.wait_for_phase(Phase::is_shutting_down).await;
        sleep(self.completion_limit_ms() - self.shutdown_elapsed_ms().unwrap_or_default()).await;
    }

    /// Returns whether the instance is shutting down and the time for completing requests is over.
    #[must_use]
    pub fn is_past_shutdown_deadline(&self) -> bool {
        self.shutdown_elapsed_ms()
            .is_some_and(|shutdown_elapsed_ms| shutdown_elapsed_ms >= self.completion_limit_ms())
    }

    /// Returns whether a request that arrives now and may take until `deadline` ends before the
    /// process has to exit.
    #[must_use]
    pub fn can_complete_by(&self, deadline: Millis) -> bool {
        self.sigterm_at
            .get()
            .is_none_or(|sigterm_at| deadline <= sigterm_at + self.completion_limit_ms())
    }

    /// Returns the time after SIGTERM by which requests have to be complete.
    fn completion_limit_ms(&self) -> Millis {
        self.settings.shutdown_grace_ms - LAST_RESPONSE_MARGIN_MS
    }

    /// Records the time of SIGTERM and enters [`Phase::Leaving`].
    pub fn begin_shutdown(&self) {
        self.sigterm_at.set(Some(self.now()));
        self.phase.send_replace(Phase::Leaving);
        info!(in_progress = self.in_progress.get(); "shutting down; completing the requests in progress");
    }

    /// Enters [`Phase::Closing`].
    pub fn begin_closing(&self) {
        self.phase.send_replace(Phase::Closing);
        info!(
            in_progress = self.in_progress.get(),
            client_connections = self.client_connection_count.get();
            "accepting no more client connections"
        );
    }

    /// Records that the tasks are about to be dropped, so that requests which end from now on are
    /// cut off by the exit and were not left by their clients.
    pub fn begin_exit(&self) {
        self.is_exiting.set(true);
    }

    /// Returns whether the process exits without waiting for requests any longer.
    #[must_use]
    pub fn is_exiting(&self) -> bool {
        self.is_exiting.get()
    }

    /// Records that the orders of roll-outs are known.
    pub fn mark_rollouts_known(&self) {
        if !self.rollouts_known.replace(true) {
            self.update_phase();
        }
    }

    /// Returns the kinds of store objects that this instance reads.
    pub fn object_kinds(&self) -> impl Iterator<Item = ObjectKind> + use<> {
        let has_rollouts = self.settings.rollout_limits.is_some();
        ObjectKind::ALL
            .into_iter()
            .filter(move |kind| has_rollouts || *kind != ObjectKind::Rollouts)
    }

    fn update_phase(&self) {
        let is_ready = self.targets_known.get()
            && self.route_table.borrow().is_some()
            && (self.settings.rollout_limits.is_none() || self.rollouts_known.get());
        if is_ready && self.phase() == Phase::Starting {
            self.phase.send_replace(Phase::Serving);
            info!(after_ms = self.now().0; "serving");
        }
    }
}

fn process_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
