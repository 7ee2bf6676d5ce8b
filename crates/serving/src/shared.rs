//! What all parts of an instance share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use log::info;
use tokio::sync::watch;

use crate::metrics::Metrics;
use crate::net::sleep;
use crate::pool::Pool;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_platform::settings::InstanceSettings;
use arbutus_platform::store::InstanceEntry;
use arbutus_policy::quarantine::QuarantineEntry;
use arbutus_policy::serving::batch::QueueName;
use arbutus_policy::serving::cold_targets;
use arbutus_policy::serving::cold_targets::ColdTargetPacer;
use arbutus_policy::serving::crash_quarantine::CrashQuarantine;
use arbutus_policy::serving::model::ServiceSpec;
use arbutus_policy::serving::retry_budget::WindowedRetryBudget;
use arbutus_policy::serving::routes::RouteTable;
use arbutus_policy::serving::target_directory::TargetChange;
use arbutus_policy::serving::target_directory::TargetDirectory;
use arbutus_policy::serving::target_selection::TargetStates;

/// The last answers leave this long before the process would be killed.
const ENDING_MARGIN_MS: Millis = Millis(500);
/// How long a report of a backlog counts; owners repeat it while there is one.
const BACKLOG_VALID_MS: Millis = Millis(700);

/// The phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// No configuration or no list of targets is known yet.
    Starting,
    /// Requests are served.
    Serving,
    /// The process was asked to stop; what is in progress is finished.
    Leaving,
}

/// What all parts of an instance share.
#[derive(Debug)]
pub struct Shared {
    /// The settings of the process.
    pub settings: InstanceSettings,
    /// The time of the process.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Metrics,
    /// The connections to targets.
    pub pool: Rc<Pool>,
    /// The targets.
    pub directory: RefCell<TargetDirectory>,
    /// The load and the faults of targets.
    pub states: RefCell<TargetStates>,
    /// The sends to cold targets.
    pub cold_sends: RefCell<ColdTargetPacer>,
    /// Requests that crash targets.
    pub crashing: RefCell<CrashQuarantine>,
    /// Requests in progress.
    pub in_progress: Cell<usize>,
    table: RefCell<Option<Rc<RouteTable>>>,
    instances: RefCell<BTreeMap<String, InstanceEntry>>,
    budgets: RefCell<BTreeMap<String, WindowedRetryBudget>>,
    /// The backlog of stage queues, and when it was reported.
    backlogs: RefCell<BTreeMap<QueueName, (Millis, Millis)>>,
    /// Reports of crashes that were not sent to other instances yet.
    pub crash_reports: RefCell<Vec<QuarantineEntry>>,
    targets_known: Cell<bool>,
    phase: watch::Sender<Phase>,
    /// When the process was asked to stop.
    left_at: Cell<Option<Millis>>,
    /// Raised with each change of targets or services.
    targets_changed: watch::Sender<u64>,
}

impl Shared {
    /// Creates the state of an instance that knows nothing yet.
    #[must_use]
    pub fn new(settings: InstanceSettings, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            settings,
            clock,
            metrics: Metrics::new(),
            pool: Rc::new(Pool::default()),
            directory: RefCell::new(TargetDirectory::default()),
            states: RefCell::new(TargetStates::default()),
            cold_sends: RefCell::new(ColdTargetPacer::default()),
            crashing: RefCell::new(CrashQuarantine::new()),
            in_progress: Cell::new(0),
            table: RefCell::new(None),
            instances: RefCell::new(BTreeMap::new()),
            budgets: RefCell::new(BTreeMap::new()),
            backlogs: RefCell::new(BTreeMap::new()),
            crash_reports: RefCell::new(Vec::new()),
            targets_known: Cell::new(false),
            phase: watch::Sender::new(Phase::Starting),
            left_at: Cell::new(None),
            targets_changed: watch::Sender::new(0),
        })
    }

    /// Returns the time.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the routes in force, if a configuration is known.
    #[must_use]
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force unless the present one is as new; returns whether it did.
    pub fn apply_configuration(&self, table: RouteTable) -> bool {
        let version = table.configuration().version;
        let previous = self
            .table
            .borrow()
            .as_ref()
            .map(|table| table.configuration().version);
        if previous.is_some_and(|previous| previous >= version) {
            return false;
        }
        info!(
            version, previous:?, routes = table.configuration().routes.len();
            "a configuration is in force"
        );
        *self.table.borrow_mut() = Some(Rc::new(table));
        self.targets_changed.send_modify(|count| *count += 1);
        self.update_phase();
        true
    }

    /// Follows changes of the list of targets.
    pub fn targets_changed(&self, changes: &[TargetChange]) {
        for change in changes {
            let id = match change {
                TargetChange::Added(id) | TargetChange::Removed(id) => {
                    self.states.borrow_mut().remove(id);
                    self.pool.forget(id);
                    id
                }
                TargetChange::Draining(id) => id,
            };
            if matches!(change, TargetChange::Removed(_)) {
                self.cold_sends.borrow_mut().remove(id);
            }
            info!(target_id = id.as_str(), change:?; "the list of targets changed");
        }
        if !self.targets_known.replace(true) {
            self.update_phase();
        }
        self.targets_changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is told of each change of targets or services.
    #[must_use]
    pub fn watch_targets(&self) -> watch::Receiver<u64> {
        self.targets_changed.subscribe()
    }

    /// Returns the description of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceSpec> {
        let table = self.table.borrow();
        table.as_ref()?.configuration().services.get(name).cloned()
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, instances: BTreeMap<String, InstanceEntry>) {
        if *self.instances.borrow() != instances {
            info!(instances = instances.len(); "the list of instances changed");
            *self.instances.borrow_mut() = instances;
        }
    }

    /// Returns the other instances, by name.
    #[must_use]
    pub fn peers(&self) -> Vec<InstanceEntry> {
        self.instances
            .borrow()
            .values()
            .filter(|entry| entry.name != self.settings.name)
            .cloned()
            .collect()
    }

    /// Returns the number of instances, by which shared limits are divided.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.instances.borrow().len().max(1)
    }

    /// Returns whether this instance may send to a cold target of a service now.
    #[must_use]
    pub fn may_send_cold(&self, service: &ServiceSpec, target: &str) -> bool {
        let tolerated =
            service.max_cold_requests_per_s * self.settings.cold_factor + self.settings.cold_extra;
        let instances = self.instances.borrow();
        let own = &self.settings.name;
        let others = instances.keys().filter(|name| *name != own);
        cold_targets::is_designated_sender(target, own, others.map(String::as_str), tolerated)
            && self.cold_sends.borrow().may_send(self.now(), target)
    }

    /// Counts a request for a service.
    pub fn record_request(&self, service: &str) {
        let limits = &self.settings.repeats;
        self.with_budget(service, |budget| budget.record_request(self.now(), limits));
    }

    /// Takes a repeated send to a service from the budget; returns whether there was one.
    pub fn try_repeat(&self, service: &str) -> bool {
        let (limits, instances) = (&self.settings.repeats, self.instance_count());
        self.with_budget(service, |budget| {
            budget.try_retry(self.now(), limits, instances)
        })
    }

    /// Records the backlog of a stage queue.
    pub fn set_backlog(&self, queue: QueueName, backlog_ms: Millis) {
        let entry = (backlog_ms, self.now());
        self.backlogs.borrow_mut().insert(queue, entry);
    }

    /// Returns the backlog of a stage queue, or nothing where no recent one is known.
    #[must_use]
    pub fn backlog_ms(&self, queue: &QueueName) -> Millis {
        let backlogs = self.backlogs.borrow();
        let known = backlogs.get(queue);
        known
            .filter(|(_, at)| *at + BACKLOG_VALID_MS >= self.now())
            .map_or(Millis::ZERO, |&(backlog_ms, _)| backlog_ms)
    }

    /// Returns whether a repeated send to a service is left in the budget.
    #[must_use]
    pub fn has_repeat(&self, service: &str) -> bool {
        let (limits, instances) = (&self.settings.repeats, self.instance_count());
        self.with_budget(service, |budget| {
            budget.has_retry(self.now(), limits, instances)
        })
    }

    fn with_budget<T>(
        &self,
        service: &str,
        spend: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        spend(budgets.entry(service.to_owned()).or_default())
    }

    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver that is told of each change of the phase.
    #[must_use]
    pub fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Returns how long ago the process was asked to stop, if it was.
    #[must_use]
    pub fn leaving_ms(&self) -> Option<Millis> {
        self.left_at.get().map(|at| self.now() - at)
    }

    /// Waits until requests in progress have to be answered because the process ends.
    pub async fn ending(&self) {
        let mut phase = self.watch_phase();
        if phase
            .wait_for(|&phase| phase == Phase::Leaving)
            .await
            .is_err()
        {
            // The sender lives as long as the process.
            std::future::pending::<()>().await;
        }
        sleep(self.answering_ms() - self.leaving_ms().unwrap_or_default()).await;
    }

    /// Returns whether requests in progress have to be answered because the process ends.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.leaving_ms()
            .is_some_and(|leaving_ms| leaving_ms >= self.answering_ms())
    }

    /// Returns how long after the request to stop answers are still waited for.
    fn answering_ms(&self) -> Millis {
        self.settings.shutdown_grace_ms - ENDING_MARGIN_MS
    }

    /// Begins the shutdown.
    pub fn leave(&self) {
        self.left_at.set(Some(self.now()));
        self.phase.send_replace(Phase::Leaving);
        info!(in_progress = self.in_progress.get(); "stopping, requests in progress finish");
    }

    fn update_phase(&self) {
        let known = self.targets_known.get() && self.table.borrow().is_some();
        if known && self.phase() == Phase::Starting {
            self.phase.send_replace(Phase::Serving);
            info!(after_ms = self.now().0; "serving");
        }
    }
}
