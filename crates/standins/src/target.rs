//! A stand-in for a target: a model engine, an encoder, a retriever, a reranker or a plain
//! service.
//!
//! It is an HTTP server with limited concurrency, a cold start, injected faults and counters. The
//! modules [`crate::calls`] and `engine` handle its requests.

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

const MAX_CONNECTIONS: usize = 1_024;
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Number of load samples that are kept, which limits the age of load reports to 10 seconds.
const MAX_LOAD_SAMPLES: usize = 400;
const REGISTER_ATTEMPTS: u32 = 300;
const REGISTER_INTERVAL: Duration = Duration::from_millis(200);
/// A cold target multiplies its durations by this factor.
const COLD_DURATION_FACTOR: f64 = 2.0;
/// Durations vary at random by this fraction in both directions.
const DURATION_JITTER: f64 = 0.1;

/// What a target computes; this determines its paths and outputs.
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

/// How a target crashes when an input contains the text of the fault `crash_on`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashMode {
    /// The process exits with status 101.
    #[default]
    ExitProcess,
    /// The server closes connections without a response from then on; for targets that run inside
    /// the process of a test.
    DropConnections,
}

/// Configuration of a stand-in target.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Name of the target, unique in the instance list of the platform.
    pub name: String,
    /// Service that the target belongs to.
    pub service: String,
    /// Failure domain that the target belongs to.
    pub failure_domain: String,
    /// What the target computes.
    pub kind: TargetKind,
    /// Platform that the target registers with; `None` means that it does not register.
    pub platform: Option<SocketAddr>,
    /// Limits on concurrent calls while warm and cold.
    pub limits: CallLimits,
    /// Execution time of a call, or the time to the first token of a stream.
    pub service_ms: Millis,
    /// Time between the tokens of a stream.
    pub token_ms: Millis,
    /// Number of prompt prefixes that an engine caches; the least recently used one is evicted.
    pub cached_prefixes: usize,
    /// Age of the load figures in load reports.
    pub load_lag_ms: Millis,
    /// Seed of the random durations and faults.
    pub seed: u64,
    /// Whether calls with the same idempotency key are executed only once.
    pub deduplicates: bool,
    /// Whether an order is rejected if its fencing token is lower than that of an earlier order.
    pub checks_fencing: bool,
    /// How the target crashes.
    pub crash_mode: CrashMode,
}

impl TargetSpec {
    /// Creates the specification of a target that does not register with a platform, with default
    /// limits and durations.
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

    fn list_entry(&self, address: SocketAddr, is_leaving: bool) -> ListEntry {
        ListEntry {
            name: self.name.clone(),
            kind: EntryKind::Target,
            service: self.service.clone(),
            failure_domain: self.failure_domain.clone(),
            address: address.to_string(),
            state: if is_leaving {
                EntryState::Leaving
            } else {
                EntryState::Live
            },
        }
    }
}

/// Counters since the start of a target, served at `GET /stats`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetStats {
    /// Calls received, including rejected ones.
    pub calls: u64,
    /// Calls whose complete response was sent.
    pub completed: u64,
    /// Calls executed, except streams of engines. The field `execution` of an output is the value
    /// of this counter after the execution.
    pub executed: u64,
    /// Calls that failed because of the fault `fail_share`.
    pub failed: u64,
    /// Calls rejected because the target was cold and at its limit.
    pub cold_failures: u64,
    /// Calls rejected because the queue was full.
    pub queue_full: u64,
    /// Calls whose deadline passed while they were queued.
    pub expired: u64,
    /// Calls that were cancelled before their complete response was sent.
    pub cancelled: u64,
    /// Calls whose client disconnected before the complete response was sent.
    pub client_gone: u64,
    /// Calls whose response is the output of an earlier call with the same idempotency key.
    pub deduplicated: u64,
    /// Tokens sent in streams.
    pub tokens: u64,
    /// Streams that started at a token offset above 0.
    pub resumed: u64,
    /// Streams whose prompt prefix was cached.
    pub prefix_hits: u64,
    /// Streams whose prompt prefix was not cached.
    pub prefix_misses: u64,
    /// Execution time of all calls in milliseconds, without queueing.
    pub spent_ms: u64,
    /// Execution time in milliseconds of the calls whose complete response was not sent.
    pub wasted_ms: u64,
    /// Orders accepted.
    pub orders: u64,
    /// Orders rejected because an earlier order had a higher fencing token.
    pub orders_refused: u64,
    /// Highest fencing token of all orders.
    pub highest_fencing_token: u64,
}

/// Identifies a call in progress, so that it can be cancelled.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunningCallId {
    /// Request that the call belongs to.
    pub request_id: String,
    /// Identifier of the attempt.
    pub attempt_id: String,
}

/// State of a target, shared by the threads of its connections.
#[derive(Debug)]
pub struct TargetState {
    /// Configuration of the target.
    pub spec: TargetSpec,
    /// Clock of deadlines, load samples and the warm-up.
    pub clock: Clock,
    /// Limits the concurrent calls.
    pub limiter: Arc<CallLimiter>,
    /// Executions of calls with an idempotency key.
    pub executions: Executions,
    /// Identifies this start of the target; a restart changes it.
    pub boot_id: u64,
    pub(crate) crashed: AtomicBool,
    address: SocketAddr,
    is_leaving: AtomicBool,
    last_execution: AtomicU64,
    faults: Mutex<TargetFaults>,
    stats: Mutex<TargetStats>,
    rng: Mutex<ChaCha8Rng>,
    cached_prefixes: Mutex<VecDeque<u64>>,
    load_samples: Mutex<VecDeque<(Millis, LoadReport)>>,
    pub(crate) models: Mutex<BTreeSet<String>>,
    pub(crate) running: Mutex<BTreeMap<RunningCallId, Arc<AtomicBool>>>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl TargetState {
    fn new(spec: TargetSpec, address: SocketAddr) -> Self {
        let clock = Clock::new();
        let start_identity = format!("{} {address} {}", spec.name, Clock::unix_time());
        Self {
            limiter: Arc::new(CallLimiter::new(spec.limits, clock)),
            executions: Executions::default(),
            boot_id: stable_hash(start_identity.as_bytes()),
            crashed: AtomicBool::new(false),
            address,
            is_leaving: AtomicBool::new(false),
            last_execution: AtomicU64::new(0),
            faults: Mutex::new(TargetFaults::new(spec.load_lag_ms)),
            stats: Mutex::new(TargetStats::default()),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(spec.seed)),
            cached_prefixes: Mutex::new(VecDeque::new()),
            load_samples: Mutex::new(VecDeque::new()),
            models: Mutex::new(BTreeSet::new()),
            running: Mutex::new(BTreeMap::new()),
            clock,
            spec,
        }
    }

    /// Returns a copy of the faults in effect.
    #[must_use]
    pub fn faults(&self) -> TargetFaults {
        lock(&self.faults).clone()
    }

    pub(crate) fn update_faults<T>(&self, change: impl FnOnce(&mut TargetFaults) -> T) -> T {
        change(&mut lock(&self.faults))
    }

    /// Returns a copy of the counters.
    #[must_use]
    pub fn stats(&self) -> TargetStats {
        let mut stats = lock(&self.stats).clone();
        stats.executed = self.last_execution.load(Ordering::SeqCst);
        stats
    }

    pub(crate) fn update_stats(&self, change: impl FnOnce(&mut TargetStats)) {
        change(&mut lock(&self.stats));
    }

    /// Counts an execution and returns its number; the first one is 1.
    pub(crate) fn next_execution_number(&self) -> u64 {
        self.last_execution.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Returns `true` with this probability, using the seeded random number generator.
    pub(crate) fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && lock(&self.rng).random::<f64>() < probability
    }

    /// Multiplies a configured duration by random jitter, by the cold factor if the target is cold,
    /// and by the fault `slow_factor`.
    pub(crate) fn actual_duration(&self, configured: Millis) -> Duration {
        let jitter =
            1.0 - DURATION_JITTER + lock(&self.rng).random::<f64>() * 2.0 * DURATION_JITTER;
        let cold = if self.limiter.load().warm {
            1.0
        } else {
            COLD_DURATION_FACTOR
        };
        let slow = lock(&self.faults).slow_factor.max(0.0);
        configured.to_duration().mul_f64(jitter * cold * slow)
    }

    /// Caches a prompt prefix as the most recently used one; returns whether it was cached already.
    pub(crate) fn cache_prefix(&self, prefix: u64) -> bool {
        let mut prefixes = lock(&self.cached_prefixes);
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

    /// Crashes the process or the server, depending on the crash mode.
    pub(crate) fn crash(&self) {
        if self.spec.crash_mode == CrashMode::ExitProcess {
            eprintln!(
                "{} crashes because an input contains the text of the fault crash_on",
                self.spec.name
            );
            std::process::exit(101);
        }
        self.crashed.store(true, Ordering::SeqCst);
    }

    fn record_load_sample(&self) {
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
        let mut samples = lock(&self.load_samples);
        samples.push_back((self.clock.now(), report));
        if samples.len() > MAX_LOAD_SAMPLES {
            samples.pop_front();
        }
    }

    /// Returns the newest load sample that is at least `load_lag_ms` old, or the oldest sample if all
    /// are more recent; `None` if there is no sample yet.
    #[must_use]
    pub fn load_report(&self) -> Option<LoadReport> {
        let lag_ms = lock(&self.faults).load_lag_ms;
        let now = self.clock.now();
        let samples = lock(&self.load_samples);
        let is_old_enough = |(at, _): &&(Millis, LoadReport)| *at + lag_ms <= now;
        let newest = samples.iter().rev().find(is_old_enough);
        // Shortly after the start of the target, no sample is old enough.
        let (at, report) = newest.or(samples.front())?;
        let mut report = report.clone();
        report.age_ms = now - *at;
        Some(report)
    }

    pub(crate) fn set_leaving(self: &Arc<Self>, is_leaving: bool) {
        if self.is_leaving.swap(is_leaving, Ordering::SeqCst) != is_leaving {
            self.register();
        }
    }

    /// Writes the target's entry to the instance list of the platform, on a thread of its own.
    fn register(self: &Arc<Self>) {
        let Some(platform) = self.spec.platform else {
            return;
        };
        let state = Arc::downgrade(self);
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        thread::spawn(move || register_with_retries(&state, platform, is_leaving));
    }
}

fn register_with_retries(state: &Weak<TargetState>, platform: SocketAddr, is_leaving: bool) {
    let client = Client::new();
    for _ in 0..REGISTER_ATTEMPTS {
        let Some(state) = state.upgrade() else {
            return;
        };
        // After a change of `is_leaving`, another thread registers the new state.
        if state.is_leaving.load(Ordering::SeqCst) != is_leaving {
            return;
        }
        let entry = state.spec.list_entry(state.address, is_leaving);
        let path = format!("/v1/instances/{}", entry.name);
        let headers = [(FAILURE_DOMAIN_HEADER, entry.failure_domain.as_str())];
        if client.put(platform, &path, &headers, &entry).is_ok() {
            return;
        }
        drop(state);
        thread::sleep(REGISTER_INTERVAL);
    }
    eprintln!("cannot register with the platform: all attempts have failed");
}

fn record_load_samples(state: &Weak<TargetState>) {
    while let Some(state) = state.upgrade() {
        state.record_load_sample();
        drop(state);
        thread::sleep(LOAD_SAMPLE_INTERVAL);
    }
}

/// A running stand-in for a target.
#[derive(Debug)]
pub struct Target {
    server: HttpServer,
    state: Arc<TargetState>,
}

impl Target {
    /// Starts a target and, if its specification names a platform, registers it in the background.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or a thread cannot be started.
    pub fn start(listen: SocketAddr, spec: TargetSpec) -> io::Result<Self> {
        let listener = bind(listen)?;
        let state = Arc::new(TargetState::new(spec, listener.local_addr()?));
        state.record_load_sample();
        let handler = Arc::new(crate::calls::TargetHandler::new(Arc::clone(&state)));
        let server = HttpServer::start(listener, MAX_CONNECTIONS, handler)?;
        let sampled_state = Arc::downgrade(&state);
        thread::Builder::new()
            .name("load".to_owned())
            .spawn(move || record_load_samples(&sampled_state))?;
        state.register();
        Ok(Self { server, state })
    }

    /// Returns the address that the target listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the state, from which tests read counters and executions.
    #[must_use]
    pub fn state(&self) -> &Arc<TargetState> {
        &self.state
    }

    /// Stops the target without finishing its calls, as a crash would; see [`HttpServer::stop`].
    pub fn stop(&self) {
        self.state.crashed.store(true, Ordering::SeqCst);
        self.server.stop();
    }
}
