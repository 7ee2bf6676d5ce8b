//! A stand-in of a target: a model engine, an encoder, a retriever, a reranker or a plain
//! service.
//!
//! A target is a server with a capacity, a cold start, faults and counters. How calls run is in
//! [`crate::calls`] and [`crate::engine`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::call_limiter::CallLimiter;
use crate::call_limiter::CallLimits;
use crate::client::Client;
use crate::executions::Executions;
use crate::http::HttpServer;
use crate::http::bind;
use crate::platform::FAILURE_DOMAIN_HEADER;
use crate::target_faults::TargetFaults;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_coord::rendezvous::stable_hash;
use arbutus_wire::platform::EntryKind;
use arbutus_wire::platform::EntryState;
use arbutus_wire::platform::ListEntry;
use arbutus_wire::target::LoadReport;

const MAX_WORKERS: usize = 1_024;
const SAMPLE_EVERY: Duration = Duration::from_millis(25);
const MAX_SAMPLES: usize = 400;
const REGISTER_ATTEMPTS: u32 = 300;
const REGISTER_EVERY: Duration = Duration::from_millis(200);
/// Calls on a cold target take longer by this factor.
const COLD_FACTOR: f64 = 2.0;
/// Times vary by this share in both directions.
const JITTER: f64 = 0.1;

/// What a target does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum TargetKind {
    /// A model engine that streams tokens.
    Engine,
    /// An encoder.
    Encoder,
    /// A retriever.
    Retriever,
    /// A reranker.
    Reranker,
    /// A plain service.
    Plain,
}

/// What happens when a target crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashMode {
    /// The process exits.
    #[default]
    ExitProcess,
    /// The server drops every connection from then on; for targets inside a test's process.
    DropConnections,
}

/// The description of a target.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// The unique name.
    pub name: String,
    /// The service.
    pub service: String,
    /// The failure domain.
    pub failure_domain: String,
    /// What the target does.
    pub kind: TargetKind,
    /// The platform at which the target registers itself.
    pub platform: Option<SocketAddr>,
    /// The capacity and the cold start.
    pub limits: CallLimits,
    /// The time of a call, or until the first token.
    pub service_ms: Millis,
    /// The time between tokens.
    pub token_ms: Millis,
    /// The number of prompt prefixes that an engine caches.
    pub cached_prefixes: usize,
    /// The lag of the load report.
    pub load_lag_ms: Millis,
    /// The seed of variations and faults.
    pub seed: u64,
    /// Whether a repeated idempotency key is run only once.
    pub deduplicates: bool,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// What happens when the target crashes.
    pub crash_mode: CrashMode,
}

impl TargetSpec {
    /// Creates a description with the usual sizes.
    #[must_use]
    pub fn new(name: &str, service: &str, failure_domain: &str, kind: TargetKind) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            failure_domain: failure_domain.to_owned(),
            kind,
            platform: None,
            limits: CallLimits {
                capacity: 8,
                cold_capacity: 2,
                cold_ms: Millis(1_000),
            },
            service_ms: Millis(20),
            token_ms: Millis(10),
            cached_prefixes: 64,
            load_lag_ms: Millis(100),
            seed: 1,
            deduplicates: false,
            checks_fencing: false,
            crash_mode: CrashMode::ExitProcess,
        }
    }

    fn list_entry(&self, address: SocketAddr, leaving: bool) -> ListEntry {
        ListEntry {
            name: self.name.clone(),
            kind: EntryKind::Target,
            service: self.service.clone(),
            failure_domain: self.failure_domain.clone(),
            address: address.to_string(),
            state: if leaving {
                EntryState::Leaving
            } else {
                EntryState::Live
            },
        }
    }
}

/// Counters of a target, served at `/stats`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetStats {
    /// Calls that arrived.
    pub calls: u64,
    /// Calls that were answered whole.
    pub completed: u64,
    /// Calls that were executed; equals the sequence number of the last execution.
    pub executed: u64,
    /// Calls that failed by a fault.
    pub failed: u64,
    /// Calls that failed because the target was cold.
    pub cold_failures: u64,
    /// Calls that the full queue refused.
    pub queue_full: u64,
    /// Calls whose deadline passed in the queue.
    pub expired: u64,
    /// Calls that were cancelled.
    pub cancelled: u64,
    /// Calls whose client went away before the whole answer was sent.
    pub client_gone: u64,
    /// Calls answered from an earlier execution.
    pub deduplicated: u64,
    /// Tokens that were sent.
    pub tokens: u64,
    /// Streams that started at an offset.
    pub resumed: u64,
    /// Prompts whose prefix was cached.
    pub prefix_hits: u64,
    /// Prompts whose prefix was not cached.
    pub prefix_misses: u64,
    /// The time spent on all calls.
    pub spent_ms: u64,
    /// The time spent on calls whose whole answer nobody got.
    pub wasted_ms: u64,
    /// Orders that were accepted.
    pub orders: u64,
    /// Orders that were refused because of an old fencing token.
    pub orders_refused: u64,
    /// The highest fencing token that arrived.
    pub highest_fencing_token: u64,
}

/// The key of a running call: request and attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunningKey {
    /// The identifier of the request.
    pub request_id: String,
    /// The identifier of the attempt.
    pub attempt_id: String,
}

/// The state of a target that its workers share.
#[derive(Debug)]
pub struct TargetState {
    /// The description.
    pub spec: TargetSpec,
    /// The source of time.
    pub clock: Clock,
    /// The capacity.
    pub limiter: Arc<CallLimiter>,
    /// The executions of non-idempotent calls.
    pub executions: Executions,
    /// A value that changes with each start.
    pub boot_id: u64,
    pub(crate) crashed: AtomicBool,
    address: SocketAddr,
    leaving: AtomicBool,
    sequence: AtomicU64,
    faults: Mutex<TargetFaults>,
    stats: Mutex<TargetStats>,
    rng: Mutex<ChaCha8Rng>,
    prefixes: Mutex<VecDeque<u64>>,
    samples: Mutex<VecDeque<(Millis, LoadReport)>>,
    pub(crate) models: Mutex<BTreeSet<String>>,
    pub(crate) running: Mutex<BTreeMap<RunningKey, Arc<AtomicBool>>>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl TargetState {
    fn new(spec: TargetSpec, address: SocketAddr) -> Self {
        let clock = Clock::new();
        let start = format!("{} {address} {}", spec.name, Clock::unix_time());
        Self {
            limiter: Arc::new(CallLimiter::new(spec.limits, clock)),
            executions: Executions::default(),
            boot_id: stable_hash(start.as_bytes()),
            crashed: AtomicBool::new(false),
            address,
            leaving: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            faults: Mutex::new(TargetFaults::new(spec.load_lag_ms)),
            stats: Mutex::new(TargetStats::default()),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(spec.seed)),
            prefixes: Mutex::new(VecDeque::new()),
            samples: Mutex::new(VecDeque::new()),
            models: Mutex::new(BTreeSet::new()),
            running: Mutex::new(BTreeMap::new()),
            clock,
            spec,
        }
    }

    /// Returns the faults in effect.
    #[must_use]
    pub fn faults(&self) -> TargetFaults {
        lock(&self.faults).clone()
    }

    pub(crate) fn with_faults<T>(&self, change: impl FnOnce(&mut TargetFaults) -> T) -> T {
        change(&mut lock(&self.faults))
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> TargetStats {
        let mut stats = lock(&self.stats).clone();
        stats.executed = self.sequence.load(Ordering::SeqCst);
        stats
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut TargetStats)) {
        change(&mut lock(&self.stats));
    }

    pub(crate) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Draws whether an event with a probability happens.
    pub(crate) fn draw(&self, share: f64) -> bool {
        share > 0.0 && lock(&self.rng).random::<f64>() < share
    }

    /// Returns how long something takes now, given its usual time.
    pub(crate) fn duration(&self, usual: Millis) -> Duration {
        let jitter = 1.0 - JITTER + lock(&self.rng).random::<f64>() * 2.0 * JITTER;
        let cold = if self.limiter.load().warm {
            1.0
        } else {
            COLD_FACTOR
        };
        let slow = lock(&self.faults).slow_factor.max(0.0);
        usual.to_duration().mul_f64(jitter * cold * slow)
    }

    /// Looks up a prompt prefix, and caches it.
    pub(crate) fn touch_prefix(&self, prefix: u64) -> bool {
        let mut prefixes = lock(&self.prefixes);
        let position = prefixes.iter().position(|&cached| cached == prefix);
        if let Some(position) = position {
            prefixes.remove(position);
        }
        prefixes.push_back(prefix);
        if prefixes.len() > self.spec.cached_prefixes {
            prefixes.pop_front();
        }
        position.is_some()
    }

    /// Ends the process, or the server, as if it had crashed.
    pub(crate) fn crash(&self) {
        if self.spec.crash_mode == CrashMode::ExitProcess {
            eprintln!("{} crashes on an input", self.spec.name);
            std::process::exit(101);
        }
        self.crashed.store(true, Ordering::SeqCst);
    }

    fn sample(&self) {
        let load = self.limiter.load();
        let report = LoadReport {
            boot_id: self.boot_id,
            warm: load.warm,
            capacity: self.spec.limits.capacity,
            cold_capacity: self.spec.limits.cold_capacity,
            in_flight: load.in_flight,
            queued: load.queued,
            age_ms: Millis::ZERO,
            models: lock(&self.models).iter().cloned().collect(),
        };
        let mut samples = lock(&self.samples);
        samples.push_back((self.clock.now(), report));
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
    }

    /// Returns the report of the load as it was before the lag.
    #[must_use]
    pub fn load_report(&self) -> Option<LoadReport> {
        let lag = lock(&self.faults).load_lag_ms;
        let now = self.clock.now();
        let samples = lock(&self.samples);
        let is_old_enough = |(at, _): &&(Millis, LoadReport)| *at + lag <= now;
        let newest = samples.iter().rev().find(is_old_enough);
        // A target that has just started has nothing older to report.
        let (at, report) = newest.or(samples.front())?;
        let mut report = report.clone();
        report.age_ms = now - *at;
        Some(report)
    }

    pub(crate) fn set_leaving(self: &Arc<Self>, leaving: bool) {
        if self.leaving.swap(leaving, Ordering::SeqCst) != leaving {
            self.register();
        }
    }

    /// Writes the target's entry to the platform's list, in the background.
    fn register(self: &Arc<Self>) {
        let Some(platform) = self.spec.platform else {
            return;
        };
        let state = Arc::downgrade(self);
        let leaving = self.leaving.load(Ordering::SeqCst);
        thread::spawn(move || register(&state, platform, leaving));
    }
}

fn register(state: &Weak<TargetState>, platform: SocketAddr, leaving: bool) {
    let client = Client::new();
    for _ in 0..REGISTER_ATTEMPTS {
        let Some(state) = state.upgrade() else {
            return;
        };
        if state.leaving.load(Ordering::SeqCst) != leaving {
            return;
        }
        let entry = state.spec.list_entry(state.address, leaving);
        let path = format!("/v1/instances/{}", entry.name);
        let headers = [(FAILURE_DOMAIN_HEADER, entry.failure_domain.as_str())];
        if client.put(platform, &path, &headers, &entry).is_ok() {
            return;
        }
        drop(state);
        thread::sleep(REGISTER_EVERY);
    }
    eprintln!("cannot register at the platform");
}

fn sample(state: &Weak<TargetState>) {
    while let Some(state) = state.upgrade() {
        state.sample();
        drop(state);
        thread::sleep(SAMPLE_EVERY);
    }
}

/// A running stand-in of a target.
#[derive(Debug)]
pub struct Target {
    server: HttpServer,
    state: Arc<TargetState>,
}

impl Target {
    /// Starts a target, and registers it in the background if it has a platform.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(listen: SocketAddr, spec: TargetSpec) -> io::Result<Self> {
        let listener = bind(listen)?;
        let state = Arc::new(TargetState::new(spec, listener.local_addr()?));
        state.sample();
        let handler = Arc::new(crate::calls::TargetHandler::new(Arc::clone(&state)));
        let server = HttpServer::start(listener, MAX_WORKERS, handler)?;
        let sampled = Arc::downgrade(&state);
        thread::Builder::new()
            .name("load".to_owned())
            .spawn(move || sample(&sampled))?;
        state.register();
        Ok(Self { server, state })
    }

    /// Returns the address that the target listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the state.
    #[must_use]
    pub fn state(&self) -> &Arc<TargetState> {
        &self.state
    }

    /// Stops the target as if it had crashed; see [`HttpServer::stop`].
    pub fn stop(&self) {
        self.state.crashed.store(true, Ordering::SeqCst);
        self.server.stop();
    }
}
