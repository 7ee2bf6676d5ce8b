//! A randomized soak test: injects faults around instance processes and checks guarantees from what
//! clients and targets observe.
//!
//! A seed determines the faults, which can overlap. Instances reach the store and the targets
//! through proxies that delay, reset or hold connections, or hold only the responses; instances are
//! terminated in overlapping series, paused, killed and restarted; targets send faulty responses; the store becomes
//! unavailable; the configuration changes. After all faults have ended, every kind of request has
//! to succeed at every instance.

pub mod checks;
pub mod clients;
pub mod proxy;

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use strum::IntoEnumIterator;
use tokio::runtime;
use tokio::runtime::Runtime;

use crate::simulated_platform::SimulatedPlatform;
use crate::simulated_platform::example;
use crate::simulated_platform::instance::InstanceProcess;
use crate::simulated_platform::target::Fault;
use crate::soak::checks::FaultPeriod;
use crate::soak::checks::InstanceFault;
use crate::soak::checks::Shutdown;
use crate::soak::checks::SoakRecord;
use crate::soak::clients::ClientContext;
use crate::soak::clients::RequestKind;
use crate::soak::proxy::Proxy;
use crate::soak::proxy::ProxyMode;
use arbutus_policy::serving::model::RouteKind;

/// Longest pause between two faults, in milliseconds.
const MAX_FAULT_INTERVAL_MS: u64 = 450;
/// Time within which instances have to apply a new configuration.
const CONFIGURATION_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Delay of the responses of targets, so that requests of the last moments are still at a target
/// when a process exits.
const RESPONSE_DELAY: Duration = Duration::from_millis(25);
/// Longest time between two SIGTERM of a series, in milliseconds. A shutdown takes at least ten
/// times as long.
const MAX_TERMINATION_INTERVAL_MS: u64 = 300;
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time between the end of all faults and the final requests. Instances call a failed target again
/// within 4 s. They call an unreachable instance again after at most 12 s, which can be later
/// than the final requests.
const FINAL_REQUEST_DELAY: Duration = Duration::from_secs(5);
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time after the end of all faults until restarted instances are ready.
const READINESS_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest number of attempts for each final request. The first one can fail because a target is
/// still excluded after earlier failures.
const MAX_FINAL_ATTEMPTS: usize = 3;

/// Parameters of a soak test.
#[derive(Clone, Debug)]
pub struct SoakSpec {
    /// Executable of the instances.
    pub program: PathBuf,
    /// Directory for settings and logs of the instances.
    pub directory: PathBuf,
    /// Seed of the faults and of the clients' requests.
    pub seed: u64,
    /// Number of instances.
    pub instances: usize,
    /// Number of concurrent clients.
    pub clients: usize,
    /// Time during which faults are injected.
    pub duration: Duration,
}

/// Result of a soak test.
#[derive(Debug)]
pub struct SoakResult {
    /// Requests that clients sent.
    pub requests: usize,
    /// Requests with a complete successful response.
    pub served: usize,
    /// Number of injected faults and configuration changes.
    pub faults: usize,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
    /// Log files of the instances; empty without a violation.
    pub logs: Vec<PathBuf>,
}

/// An action that ends or continues a fault, with the index of the target or instance.
enum Recovery {
    /// Lets the proxy of a target forward again.
    TargetProxy(usize),
    /// Lets the proxy between an instance and the store forward again.
    StoreProxy(usize),
    /// Makes the store available.
    Store,
    /// Resumes a paused instance.
    Resume(usize),
    /// Terminates the next instance of a series.
    Terminate(usize, HangUp),
    /// Restarts a terminated instance if it has exited, and otherwise checks again later.
    CheckExit(usize),
    /// Restarts a killed instance.
    Restart(usize),
    /// Ends the fault of a restarted instance if it is ready, and otherwise checks again later.
    CheckReadiness(usize),
}

/// Whether an instance receives SIGHUP together with SIGTERM.
#[derive(Clone, Copy, PartialEq, Eq)]
enum HangUp {
    No,
    Before,
    After,
}

struct SoakRun {
    platform: SimulatedPlatform,
    /// Runs the proxies until it is dropped.
    _runtime: Runtime,
    /// One proxy for each target.
    target_proxies: Vec<Proxy>,
    /// One proxy to the store for each instance.
    store_proxies: Vec<Proxy>,
    instances: Vec<InstanceProcess>,
    client_context: Arc<ClientContext>,
    /// Version of the newest configuration in the store.
    version: u64,
    /// When every instance must have applied the newest configuration; `None` once clients send
    /// requests to the route that it added.
    version_required_at: Option<Instant>,
    /// Recoveries and when they are due.
    recoveries: Vec<(Instant, Recovery)>,
    active_faults: Vec<FaultPeriod>,
    ended_faults: Vec<FaultPeriod>,
    shutdowns: Vec<Shutdown>,
    fault_count: usize,
}

/// Runs a soak test.
///
/// # Errors
///
/// Returns an error if a process cannot be started or signalled, or does not become ready.
pub fn run(spec: &SoakSpec) -> io::Result<SoakResult> {
    let mut soak = SoakRun::start(spec)?;
    let clients: Vec<JoinHandle<Vec<clients::Observation>>> = (0..spec.clients)
        .map(|client| {
            let context = Arc::clone(&soak.client_context);
            let seed = spec.seed;
            thread::spawn(move || clients::run(&context, seed, client))
        })
        .collect();
    soak.inject_faults(spec)?;
    soak.recover_all()?;
    soak.client_context.stop.store(true, Ordering::Relaxed);
    let mut record = SoakRecord::default();
    for client in clients {
        let observations = client
            .join()
            .map_err(|_panic| io::Error::other("a client thread panicked"))?;
        record.observations.extend(observations);
    }
    let final_violations = soak.send_final_requests(&mut record);
    for id in soak.platform.executed_request_ids() {
        *record.executions.entry(id).or_default() += 1;
    }
    record.fault_periods.append(&mut soak.ended_faults);
    record.shutdowns.append(&mut soak.shutdowns);
    let mut violations = record.violations();
    violations.extend(final_violations);
    let logs = if violations.is_empty() {
        Vec::new()
    } else {
        soak.keep_logs()
    };
    Ok(SoakResult {
        requests: record.observations.len(),
        served: record
            .observations
            .iter()
            .filter(|each| each.is_served())
            .count(),
        faults: soak.fault_count,
        violations,
        logs,
    })
}

impl SoakRun {
    fn start(spec: &SoakSpec) -> io::Result<Self> {
        let platform = SimulatedPlatform::start(&example::TARGETS)?;
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let mut target_proxies = Vec::new();
        for target in &platform.targets {
            let proxy = Proxy::start(runtime.handle(), target.entry().address)?;
            target.set_proxy(proxy.address);
            target.set_response_delay(RESPONSE_DELAY);
            platform.store.put_target(&target.entry())?;
            target_proxies.push(proxy);
        }
        platform
            .store
            .put_configuration(&example::configuration(1))?;
        let mut store_proxies = Vec::new();
        let mut instances = Vec::new();
        for index in 0..spec.instances {
            let proxy = Proxy::start(runtime.handle(), platform.store.address)?;
            let domain = ["x", "y"][index % 2];
            let instance =
                InstanceProcess::start(&spec.program, &spec.directory, proxy.address, domain)?;
            store_proxies.push(proxy);
            instances.push(instance);
        }
        for instance in &instances {
            instance.wait_until_ready()?;
        }
        let addresses = instances.iter().map(InstanceProcess::client_address);
        let client_context = ClientContext {
            instances: addresses.collect(),
            required_version: AtomicU64::new(1),
            stop: AtomicBool::new(false),
        };
        let mut soak = Self {
            platform,
            _runtime: runtime,
            target_proxies,
            store_proxies,
            instances,
            client_context: Arc::new(client_context),
            version: 1,
            version_required_at: None,
            recoveries: Vec::new(),
            active_faults: Vec::new(),
            ended_faults: Vec::new(),
            shutdowns: Vec::new(),
            fault_count: 0,
        };
        soak.write_configuration()?;
        thread::sleep(CONFIGURATION_TIME_LIMIT);
        soak.require_version();
        Ok(soak)
    }

    /// Injects random faults for the duration of the test and ends them when they are due.
    fn inject_faults(&mut self, spec: &SoakSpec) -> io::Result<()> {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        let end = Instant::now() + spec.duration;
        while Instant::now() < end {
            self.inject_fault(&mut rng)?;
            self.fault_count += 1;
            let next_fault_at =
                Instant::now() + Duration::from_millis(rng.random_range(0..MAX_FAULT_INTERVAL_MS));
            self.recover_until(next_fault_at)?;
        }
        Ok(())
    }

    /// Injects one random fault, or changes the configuration.
    ///
    /// If the selected instance is already down, a target fault is injected instead of a process
    /// fault.
    fn inject_fault(&mut self, rng: &mut ChaCha8Rng) -> io::Result<()> {
        let duration = Duration::from_millis(rng.random_range(200..3_000));
        let ends_at = Instant::now() + duration;
        let instance = rng.random_range(0..self.instances.len());
        let target = rng.random_range(0..self.target_proxies.len());
        let mode = match rng.random_range(0..4) {
            0 => ProxyMode::Delay(duration / 10),
            1 => ProxyMode::Reset,
            2 => ProxyMode::HoldAll,
            _ => ProxyMode::HoldResponses,
        };
        match rng.random_range(0..10) {
            0 | 1 => {
                self.target_proxies[target].set_mode(mode);
                self.recoveries
                    .push((ends_at, Recovery::TargetProxy(target)));
            }
            2 => {
                self.store_proxies[instance].set_mode(mode);
                self.record_fault_start(instance, InstanceFault::Store);
                self.recoveries
                    .push((ends_at, Recovery::StoreProxy(instance)));
            }
            3 => {
                self.platform.store.set_unavailable(true);
                for instance in 0..self.instances.len() {
                    self.record_fault_start(instance, InstanceFault::Store);
                }
                self.recoveries.push((ends_at, Recovery::Store));
            }
            4 if !self.is_down(instance) => {
                self.record_fault_start(instance, InstanceFault::Process);
                self.instances[instance].pause()?;
                self.recoveries.push((ends_at, Recovery::Resume(instance)));
            }
            5 if !self.is_down(instance) => {
                self.record_fault_start(instance, InstanceFault::Process);
                self.instances[instance].kill()?;
                self.recoveries.push((ends_at, Recovery::Restart(instance)));
            }
            6 if !self.is_down(instance) => self.terminate_series(rng, instance),
            7 => self.write_configuration()?,
            _ => {
                let fault = match rng.random_range(0..6) {
                    0 => Fault::RejectUnexecuted,
                    1 => Fault::AbortAfterEvents(rng.random_range(0..5)),
                    2 => Fault::WrongRequestId,
                    3 => Fault::TruncateBody,
                    4 => Fault::DelayResponse(duration / 2),
                    _ => Fault::CloseWithoutResponse,
                };
                self.platform.targets[target].add_fault(fault);
            }
        }
        Ok(())
    }

    /// Terminates instances at short random intervals, some together with SIGHUP, so that their
    /// shutdowns overlap; those that are down when it is their turn are left out.
    fn terminate_series(&mut self, rng: &mut ChaCha8Rng, first: usize) {
        let mut at = Instant::now();
        for number in 0..rng.random_range(1..=self.instances.len()) {
            let instance = (first + number) % self.instances.len();
            let hang_up = match rng.random_range(0..4) {
                0 => HangUp::Before,
                1 => HangUp::After,
                _ => HangUp::No,
            };
            self.recoveries
                .push((at, Recovery::Terminate(instance, hang_up)));
            at += Duration::from_millis(rng.random_range(0..MAX_TERMINATION_INTERVAL_MS));
        }
    }

    fn terminate(&mut self, instance: usize, hang_up: HangUp) -> io::Result<()> {
        if self.is_down(instance) {
            return Ok(());
        }
        if hang_up == HangUp::Before {
            self.instances[instance].hang_up()?;
        }
        self.shutdowns.push(Shutdown {
            instance,
            terminated_at: Instant::now(),
            exit: None,
            ready_at: None,
        });
        self.instances[instance].terminate()?;
        if hang_up == HangUp::After {
            self.instances[instance].hang_up()?;
        }
        self.check_exit(instance)
    }

    /// Restarts a terminated instance if it has exited, and kills it at the end of its grace period
    /// as the platform does.
    fn check_exit(&mut self, instance: usize) -> io::Result<()> {
        let is_success = self.instances[instance].exit_success()?;
        let now = Instant::now();
        let Some(shutdown) = self.active_shutdown(instance) else {
            return Ok(());
        };
        if is_success.is_none() && now < shutdown.grace_end() {
            self.recoveries
                .push((now + EXIT_POLL_INTERVAL, Recovery::CheckExit(instance)));
            return Ok(());
        }
        shutdown.exit = Some((now, is_success == Some(true)));
        self.instances[instance].kill()?;
        self.instances[instance].restart()?;
        self.schedule_readiness_check(instance);
        Ok(())
    }

    /// Returns the shutdown of an instance that has not become ready again.
    fn active_shutdown(&mut self, instance: usize) -> Option<&mut Shutdown> {
        self.shutdowns
            .iter_mut()
            .find(|shutdown| shutdown.instance == instance && shutdown.ready_at.is_none())
    }

    /// Writes a configuration with one more route to the store.
    ///
    /// Does nothing while instances may still be applying the previous one.
    fn write_configuration(&mut self) -> io::Result<()> {
        if self.version_required_at.is_some() {
            return Ok(());
        }
        self.version += 1;
        let mut configuration = example::configuration(self.version);
        for version in 2..=self.version {
            let prefix = clients::route_prefix(version);
            let route = example::route(&prefix, RouteKind::Safe, "desk");
            configuration.routes.push(route);
        }
        self.platform.store.put_configuration(&configuration)?;
        self.version_required_at = Some(Instant::now() + CONFIGURATION_TIME_LIMIT);
        Ok(())
    }

    /// Makes clients send requests to the route of the newest configuration.
    fn require_version(&mut self) {
        self.version_required_at = None;
        self.client_context
            .required_version
            .store(self.version, Ordering::Relaxed);
    }

    /// Returns whether a process fault or a shutdown of the instance has not ended.
    fn is_down(&self, instance: usize) -> bool {
        let has_fault = self
            .active_faults
            .iter()
            .any(|period| period.instance == instance && period.fault == InstanceFault::Process);
        has_fault
            || self
                .shutdowns
                .iter()
                .any(|shutdown| shutdown.instance == instance && shutdown.ready_at.is_none())
    }

    fn record_fault_start(&mut self, instance: usize, fault: InstanceFault) {
        let now = Instant::now();
        self.active_faults.push(FaultPeriod {
            instance,
            fault,
            from: now,
            to: now,
        });
    }

    fn record_fault_end(&mut self, instance: usize, fault: InstanceFault) {
        let now = Instant::now();
        let matches = |period: &FaultPeriod| period.instance == instance && period.fault == fault;
        if let Some(index) = self.active_faults.iter().position(matches) {
            let mut period = self.active_faults.remove(index);
            period.to = now.max(period.from);
            self.ended_faults.push(period);
        }
    }

    /// Waits until the given time and executes each recovery when it is due.
    fn recover_until(&mut self, until: Instant) -> io::Result<()> {
        while Instant::now() < until {
            let now = Instant::now();
            if self.version_required_at.is_some_and(|at| at <= now) {
                self.require_version();
            }
            let (due, later) = std::mem::take(&mut self.recoveries)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.recoveries = later;
            let due: Vec<(Instant, Recovery)> = due;
            for (_, recovery) in due {
                self.recover(&recovery)?;
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    fn recover(&mut self, recovery: &Recovery) -> io::Result<()> {
        match *recovery {
            Recovery::TargetProxy(target) => self.target_proxies[target].set_mode(ProxyMode::Pass),
            Recovery::StoreProxy(instance) => {
                self.store_proxies[instance].set_mode(ProxyMode::Pass);
                self.record_fault_end(instance, InstanceFault::Store);
            }
            Recovery::Store => {
                self.platform.store.set_unavailable(false);
                for instance in 0..self.instances.len() {
                    self.record_fault_end(instance, InstanceFault::Store);
                }
            }
            Recovery::Resume(instance) => {
                self.instances[instance].resume()?;
                self.record_fault_end(instance, InstanceFault::Process);
            }
            Recovery::Terminate(instance, hang_up) => self.terminate(instance, hang_up)?,
            Recovery::CheckExit(instance) => self.check_exit(instance)?,
            Recovery::Restart(instance) => {
                // The exit status does not matter, because the process may have been killed.
                let _is_success = self.instances[instance].wait()?;
                self.instances[instance].restart()?;
                self.schedule_readiness_check(instance);
            }
            Recovery::CheckReadiness(instance) => {
                if self.instances[instance].is_ready() {
                    self.record_fault_end(instance, InstanceFault::Process);
                    // Right after SIGTERM, a process may still be ready. Its shutdown is over only
                    // after its exit; otherwise nothing would restart it.
                    let shutdown = self.active_shutdown(instance);
                    if let Some(shutdown) = shutdown.filter(|shutdown| shutdown.exit.is_some()) {
                        shutdown.ready_at = Some(Instant::now());
                    }
                } else {
                    self.schedule_readiness_check(instance);
                }
            }
        }
        Ok(())
    }

    /// Schedules a readiness check of a restarted instance, which may have to wait for an
    /// unavailable store.
    fn schedule_readiness_check(&mut self, instance: usize) {
        let check_at = Instant::now() + READINESS_POLL_INTERVAL;
        self.recoveries
            .push((check_at, Recovery::CheckReadiness(instance)));
    }

    fn keep_logs(&mut self) -> Vec<PathBuf> {
        let instances = self.instances.iter_mut();
        instances.map(InstanceProcess::keep_log).collect()
    }

    /// Executes the remaining recoveries, and waits until restarted instances are ready and the final
    /// requests can be sent.
    fn recover_all(&mut self) -> io::Result<()> {
        let mut timeout_at = None;
        while let Some(last_due) = self.recoveries.iter().map(|(at, _)| *at).max() {
            let timeout_at = *timeout_at.get_or_insert(last_due + READINESS_TIMEOUT);
            if Instant::now() > timeout_at {
                return Err(io::Error::other(format!(
                    "an instance is not ready after the end of all faults; logs {:?}",
                    self.keep_logs()
                )));
            }
            // The last recovery may be overdue; it would otherwise never be executed.
            let until = last_due.max(Instant::now()) + Duration::from_millis(10);
            self.recover_until(until)?;
        }
        for target in &self.platform.targets {
            target.clear_faults();
        }
        thread::sleep(FINAL_REQUEST_DELAY);
        self.require_version();
        Ok(())
    }

    /// Sends each kind of request to each instance after the end of all faults, and describes those
    /// that are not served.
    fn send_final_requests(&self, record: &mut SoakRecord) -> Vec<String> {
        let mut violations = Vec::new();
        let version = self.client_context.required_version.load(Ordering::Relaxed);
        for instance in 0..self.instances.len() {
            for kind in RequestKind::iter() {
                let kind = match kind {
                    RequestKind::NewRoute(_) => RequestKind::NewRoute(version),
                    other => other,
                };
                let attempts = (0..MAX_FINAL_ATTEMPTS).map(|number| {
                    let id = format!("last-{instance}-{kind}-{number}");
                    clients::send_request(&self.client_context, kind, instance, id, None, false).0
                });
                let mut served = false;
                for observation in attempts {
                    served = observation.is_served();
                    record.observations.push(observation);
                    if served {
                        break;
                    }
                }
                if !served {
                    violations.push(format!(
                        "instance {instance} does not serve {kind} requests after the end of all faults"
                    ));
                }
            }
        }
        violations
    }
}
