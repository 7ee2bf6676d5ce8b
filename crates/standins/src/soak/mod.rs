//! A randomized soak: real instances as processes, faults from outside them, promises checked from
//! what clients and targets see.
//!
//! A seed decides which faults come when. Instances reach the store and the targets through proxies
//! that delay, reset, silence or cut connections one way; instances are stopped, paused, killed and
//! started again; targets answer wrongly; the store goes away; configurations change. Faults come
//! in series and overlap. At the end all is mended, and every kind of request has to succeed.

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
use crate::soak::checks::Harm;
use crate::soak::checks::HarmedTime;
use crate::soak::checks::Record;
use crate::soak::clients::Asked;
use crate::soak::clients::ClientSpec;
use crate::soak::proxy::Behaviour;
use crate::soak::proxy::Proxy;
use arbutus_policy::serving::model::RouteKind;

/// The longest pause between two faults, in milliseconds.
const LONGEST_GAP_MS: u64 = 450;
/// The time after which a change of the configuration must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Clients are moved away from an instance that stops within this time.
const MOVED_AWAY: Duration = Duration::from_secs(3);
/// The time between the end of all faults and the last requests. A paused target is tried again
/// within four seconds, an instance that could not be reached after twelve at most.
const SETTLED: Duration = Duration::from_secs(5);
const READY_POLL: Duration = Duration::from_millis(50);
/// Instances that were started are ready within this time after all faults.
const READY_WITHIN: Duration = Duration::from_secs(15);
/// How often a last request may be sent: one target may still be avoided.
const LAST_TRIES: usize = 3;

/// What a soak does.
#[derive(Clone, Debug)]
pub struct SoakSpec {
    /// The program of an instance.
    pub program: PathBuf,
    /// A directory for settings and logs.
    pub directory: PathBuf,
    /// Decides the faults.
    pub seed: u64,
    /// The number of instances.
    pub instances: usize,
    /// The number of clients.
    pub clients: usize,
    /// How long faults come.
    pub duration: Duration,
}

/// What a soak showed.
#[derive(Debug)]
pub struct SoakResult {
    /// The requests that were sent.
    pub requests: usize,
    /// The requests that got a whole answer of a target.
    pub served: usize,
    /// The faults that were injected.
    pub faults: usize,
    /// The promises that were broken.
    pub violations: Vec<String>,
    /// Where the logs of the instances are, if a promise was broken.
    pub logs: Vec<PathBuf>,
}

/// What ends a fault.
enum Repair {
    Target(usize),
    StorePath(usize),
    Store,
    Resume(usize),
    StartAgain(usize),
    /// Ends when the instance is ready.
    AwaitReady(usize),
}

struct Soak {
    side: SimulatedPlatform,
    /// Keeps the proxies alive.
    _runtime: Runtime,
    target_paths: Vec<Proxy>,
    store_paths: Vec<Proxy>,
    instances: Vec<InstanceProcess>,
    spec: Arc<ClientSpec>,
    version: u64,
    /// When the present version must be in force.
    in_force_at: Option<Instant>,
    repairs: Vec<(Instant, Repair)>,
    /// The harm that has not ended.
    open: Vec<HarmedTime>,
    harmed: Vec<HarmedTime>,
    faults: usize,
}

/// Runs a soak.
///
/// # Errors
///
/// Returns an error when something cannot be started or signalled.
pub fn run(spec: &SoakSpec) -> io::Result<SoakResult> {
    let mut soak = Soak::start(spec)?;
    let clients: Vec<JoinHandle<Vec<clients::Seen>>> = (0..spec.clients)
        .map(|client| {
            let shared = Arc::clone(&soak.spec);
            let seed = spec.seed;
            thread::spawn(move || clients::run(&shared, seed, client))
        })
        .collect();
    soak.harm(spec)?;
    soak.mend_all()?;
    soak.spec.stop.store(true, Ordering::Relaxed);
    let mut record = Record::default();
    for client in clients {
        let seen = client
            .join()
            .map_err(|_panic| io::Error::other("a client failed"))?;
        record.seen.extend(seen);
    }
    let broken_at_the_end = soak.last_requests(&mut record);
    for id in soak.side.executed_request_ids() {
        *record.runs.entry(id).or_default() += 1;
    }
    record.harmed.append(&mut soak.harmed);
    let mut broken = record.broken();
    broken.extend(broken_at_the_end);
    let logs = if broken.is_empty() {
        Vec::new()
    } else {
        soak.instances
            .iter_mut()
            .map(InstanceProcess::keep_log)
            .collect()
    };
    Ok(SoakResult {
        requests: record.seen.len(),
        served: record.seen.iter().filter(|seen| seen.is_served()).count(),
        faults: soak.faults,
        violations: broken,
        logs,
    })
}

impl Soak {
    fn start(spec: &SoakSpec) -> io::Result<Self> {
        let side = SimulatedPlatform::start(&example::TARGETS)?;
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let mut target_paths = Vec::new();
        for target in &side.targets {
            let path = Proxy::start(runtime.handle(), target.entry().address)?;
            target.set_proxy(path.address);
            side.store.put_target(&target.entry())?;
            target_paths.push(path);
        }
        side.store.put_configuration(&example::configuration(1))?;
        let mut store_paths = Vec::new();
        let mut instances = Vec::new();
        for index in 0..spec.instances {
            let path = Proxy::start(runtime.handle(), side.store.address)?;
            let domain = ["x", "y"][index % 2];
            let instance =
                InstanceProcess::start(&spec.program, &spec.directory, path.address, domain)?;
            store_paths.push(path);
            instances.push(instance);
        }
        for instance in &instances {
            instance.wait_until_ready()?;
        }
        let addresses = instances.iter().map(InstanceProcess::client_address);
        let client_spec = ClientSpec {
            instances: addresses.collect(),
            version: AtomicU64::new(1),
            stop: AtomicBool::new(false),
        };
        let mut soak = Self {
            side,
            _runtime: runtime,
            target_paths,
            store_paths,
            instances,
            spec: Arc::new(client_spec),
            version: 1,
            in_force_at: None,
            repairs: Vec::new(),
            open: Vec::new(),
            harmed: Vec::new(),
            faults: 0,
        };
        soak.configure()?;
        thread::sleep(IN_FORCE);
        soak.announce_version();
        Ok(soak)
    }

    /// Injects faults until the time is over.
    fn harm(&mut self, spec: &SoakSpec) -> io::Result<()> {
        let mut random = ChaCha8Rng::seed_from_u64(spec.seed);
        let end = Instant::now() + spec.duration;
        while Instant::now() < end {
            self.inject(&mut random)?;
            self.faults += 1;
            let until =
                Instant::now() + Duration::from_millis(random.random_range(0..LONGEST_GAP_MS));
            self.mend_until(until)?;
        }
        Ok(())
    }

    fn inject(&mut self, random: &mut ChaCha8Rng) -> io::Result<()> {
        let lasts = Duration::from_millis(random.random_range(200..3_000));
        let until = Instant::now() + lasts;
        let instance = random.random_range(0..self.instances.len());
        let target = random.random_range(0..self.target_paths.len());
        let behaviour = match random.random_range(0..4) {
            0 => Behaviour::Delay(lasts / 10),
            1 => Behaviour::Reset,
            2 => Behaviour::Silent,
            _ => Behaviour::AnswersLost,
        };
        match random.random_range(0..10) {
            0 | 1 => {
                self.target_paths[target].set(behaviour);
                self.repairs.push((until, Repair::Target(target)));
            }
            2 => {
                self.store_paths[instance].set(behaviour);
                self.begin_harm(instance, Harm::Store);
                self.repairs.push((until, Repair::StorePath(instance)));
            }
            3 => {
                self.side.store.set_unavailable(true);
                for instance in 0..self.instances.len() {
                    self.begin_harm(instance, Harm::Store);
                }
                self.repairs.push((until, Repair::Store));
            }
            4 if !self.is_down(instance) => {
                self.begin_harm(instance, Harm::Process);
                self.instances[instance].pause()?;
                self.repairs.push((until, Repair::Resume(instance)));
            }
            5 if !self.is_down(instance) => {
                self.begin_harm(instance, Harm::Process);
                self.instances[instance].kill()?;
                self.repairs.push((until, Repair::StartAgain(instance)));
            }
            6 if !self.is_down(instance) => self.stop(instance)?,
            7 => self.configure()?,
            _ => {
                let fault = match random.random_range(0..6) {
                    0 => Fault::RejectUnexecuted,
                    1 => Fault::AbortAfterEvents(random.random_range(0..5)),
                    2 => Fault::WrongRequestId,
                    3 => Fault::TruncateBody,
                    4 => Fault::DelayResponse(lasts / 2),
                    _ => Fault::CloseWithoutResponse,
                };
                self.side.targets[target].add_fault(fault);
            }
        }
        Ok(())
    }

    /// Asks an instance to stop; clients are moved away while it finishes, and it is started again.
    fn stop(&mut self, instance: usize) -> io::Result<()> {
        self.instances[instance].terminate()?;
        let moved_away = Instant::now() + MOVED_AWAY;
        self.open.push(HarmedTime {
            instance,
            harm: Harm::Process,
            from: moved_away,
            to: moved_away,
        });
        self.repairs
            .push((moved_away, Repair::StartAgain(instance)));
        Ok(())
    }

    /// Writes a configuration with one more route.
    fn configure(&mut self) -> io::Result<()> {
        if self.in_force_at.is_some() {
            return Ok(());
        }
        self.version += 1;
        let mut configuration = example::configuration(self.version);
        for version in 2..=self.version {
            let prefix = clients::route_prefix(version);
            let route = example::route(&prefix, RouteKind::Safe, "desk");
            configuration.routes.push(route);
        }
        self.side.store.put_configuration(&configuration)?;
        self.in_force_at = Some(Instant::now() + IN_FORCE);
        Ok(())
    }

    fn announce_version(&mut self) {
        self.in_force_at = None;
        self.spec.version.store(self.version, Ordering::Relaxed);
    }

    fn is_down(&self, instance: usize) -> bool {
        self.open
            .iter()
            .any(|time| time.instance == instance && time.harm == Harm::Process)
    }

    fn begin_harm(&mut self, instance: usize, harm: Harm) {
        let now = Instant::now();
        self.open.push(HarmedTime {
            instance,
            harm,
            from: now,
            to: now,
        });
    }

    fn end_harm(&mut self, instance: usize, harm: Harm) {
        let now = Instant::now();
        let matches = |time: &HarmedTime| time.instance == instance && time.harm == harm;
        if let Some(position) = self.open.iter().position(matches) {
            let mut time = self.open.remove(position);
            time.to = now.max(time.from);
            self.harmed.push(time);
        }
    }

    /// Ends faults whose time has come, until a given time.
    fn mend_until(&mut self, until: Instant) -> io::Result<()> {
        while Instant::now() < until {
            let now = Instant::now();
            if self.in_force_at.is_some_and(|at| at <= now) {
                self.announce_version();
            }
            let (due, later) = std::mem::take(&mut self.repairs)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.repairs = later;
            let due: Vec<(Instant, Repair)> = due;
            for (_, repair) in due {
                self.mend(&repair)?;
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    fn mend(&mut self, repair: &Repair) -> io::Result<()> {
        match *repair {
            Repair::Target(target) => self.target_paths[target].set(Behaviour::Pass),
            Repair::StorePath(instance) => {
                self.store_paths[instance].set(Behaviour::Pass);
                self.end_harm(instance, Harm::Store);
            }
            Repair::Store => {
                self.side.store.set_unavailable(false);
                for instance in 0..self.instances.len() {
                    self.end_harm(instance, Harm::Store);
                }
            }
            Repair::Resume(instance) => {
                self.instances[instance].resume()?;
                self.end_harm(instance, Harm::Process);
            }
            Repair::StartAgain(instance) => {
                // How a killed process ended says nothing.
                let _ended = self.instances[instance].wait()?;
                self.instances[instance].restart()?;
                self.await_ready(instance);
            }
            Repair::AwaitReady(instance) => {
                if self.instances[instance].is_ready() {
                    self.end_harm(instance, Harm::Process);
                } else {
                    self.await_ready(instance);
                }
            }
        }
        Ok(())
    }

    /// The store may be away, so an instance that was started is looked at again and again.
    fn await_ready(&mut self, instance: usize) {
        let next = Instant::now() + READY_POLL;
        self.repairs.push((next, Repair::AwaitReady(instance)));
    }

    /// Ends all faults.
    fn mend_all(&mut self) -> io::Result<()> {
        let mut end = None;
        while let Some(last) = self.repairs.iter().map(|(at, _)| *at).max() {
            let end = *end.get_or_insert(last + READY_WITHIN);
            if Instant::now() > end {
                return Err(io::Error::other(
                    "an instance is not ready after all faults",
                ));
            }
            self.mend_until(last + Duration::from_millis(10))?;
        }
        for target in &self.side.targets {
            target.clear_faults();
        }
        thread::sleep(SETTLED);
        self.announce_version();
        Ok(())
    }

    /// Sends each kind of request to each instance once all is mended.
    fn last_requests(&self, record: &mut Record) -> Vec<String> {
        let mut broken = Vec::new();
        let version = self.spec.version.load(Ordering::Relaxed);
        for instance in 0..self.instances.len() {
            for asked in Asked::iter() {
                let asked = match asked {
                    Asked::NewRoute(_) => Asked::NewRoute(version),
                    other => other,
                };
                let tries = (0..LAST_TRIES).map(|number| {
                    let id = format!("last-{instance}-{asked}-{number}");
                    clients::ask(&self.spec, asked, instance, id)
                });
                let mut served = false;
                for seen in tries {
                    served = seen.is_served();
                    record.seen.push(seen);
                    if served {
                        break;
                    }
                }
                if !served {
                    broken.push(format!(
                        "instance {instance} does not serve {asked} at the end"
                    ));
                }
            }
        }
        broken
    }
}
