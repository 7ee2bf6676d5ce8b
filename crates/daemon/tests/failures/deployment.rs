//! A deployment of real processes, clients for it, and waits with a time limit.

use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::TryLockError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use arbutus_standins::executions::ExecutionList;
use arbutus_standins::fleet::Fleet;
use arbutus_standins::fleet::FleetSpec;
use arbutus_standins::fleet::ServiceTargets;
use arbutus_standins::generated_text::GeneratedText;
use arbutus_standins::sse;
use arbutus_standins::target::TargetStats;

pub const ENGINE_SERVICE: &str = "hearth-llm";
pub const LOOKUP_SERVICE: &str = "ship-desk";
pub const DEPOSIT_SERVICE: &str = "order-desk";
pub const CHAT_PIPELINE: &str = "chat";
pub const LOOKUP_PIPELINE: &str = "lookup";
pub const DEPOSIT_PIPELINE: &str = "deposit";
pub const MAX_TOKENS: u32 = 80;
/// Time within which drains and configurations take effect (promises P3 and P8 in
/// `docs/design.md`).
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(5);
/// Time limit for waits; longer than the deadline of the longest pipeline, which is 10 s.
pub const TIMEOUT: Duration = Duration::from_secs(12);

const POLL: Duration = Duration::from_millis(25);
const CLIENT_PAUSE: Duration = Duration::from_millis(10);
const CONFIGURATION: &str = "
sites: [arita, hakata]
services:
  hearth-llm: {kind: engine}
  ship-desk: {kind: plain}
  order-desk: {kind: plain, deduplicates: false}
classes:
  counter: {priority: 0, stall_ms: 1000, hedge: false}
pipelines:
  chat:
    class: counter
    idempotent: true
    deadline_ms: 10000
    stages:
      - {name: generate, service: hearth-llm, max_tokens: 80}
  lookup:
    class: counter
    idempotent: true
    deadline_ms: 6000
    stages:
      - {name: stock, service: ship-desk}
  deposit:
    class: counter
    idempotent: false
    deadline_ms: 6000
    stages:
      - {name: pay, service: order-desk}
organisations:
  kamagama: {weight: 1}
";

/// One lock for each deployment that may run at the same time. More deployments would slow each
/// other down.
static DEPLOYMENT_LOCKS: [Mutex<()>; 3] = [const { Mutex::new(()) }; 3];

pub struct Deployment {
    pub fleet: Fleet,
    pub directory: PathBuf,
    _deployment_lock: MutexGuard<'static, ()>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub replayed: bool,
    pub body: Value,
}

/// The events of one stream, or the error response to it.
#[derive(Clone, Debug, Default)]
pub struct StreamResult {
    pub tokens: Vec<(u64, String)>,
    pub done: Option<Value>,
    pub error: Option<Value>,
}

impl StreamResult {
    /// Checks that each token arrived once and in order, followed by the `done` event.
    pub fn assert_complete(&self, input: &Value) {
        let text = GeneratedText::new(input, MAX_TOKENS);
        let expected: Vec<(u64, String)> = (0..text.len())
            .map(|offset| (u64::from(offset), text.token(offset)))
            .collect();
        assert_eq!(self.tokens, expected, "{input}: {:?}", self.error);
        let done = self
            .done
            .as_ref()
            .expect("the stream ends with a `done` event");
        assert_eq!(done["tokens"], text.len(), "{input}");
    }
}

/// Describes the targets of a service; `options` are command line options of the target.
pub fn service_targets(service: &str, per_failure_domain: usize, options: &str) -> ServiceTargets {
    let kind = if service == ENGINE_SERVICE {
        "engine"
    } else {
        "plain"
    };
    ServiceTargets {
        service: service.to_owned(),
        kind: kind.to_owned(),
        per_failure_domain,
        options: options.split_whitespace().map(str::to_owned).collect(),
    }
}

/// Waits until a condition holds, and returns how long it took.
pub fn wait_until(bound: Duration, what: &str, condition: impl Fn() -> bool) -> Duration {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < bound,
            "did not happen within {bound:?}: {what}"
        );
        thread::sleep(POLL);
    }
    started_at.elapsed()
}

impl Deployment {
    /// Starts a deployment with the same instances and targets in each failure domain.
    pub fn start(
        name: &str,
        failure_domains: &[&str],
        instances_per_failure_domain: usize,
        services: Vec<ServiceTargets>,
    ) -> Self {
        let lock = lock_deployment();
        let directory = env::temp_dir().join(format!("arbutus-{name}-{}", std::process::id()));
        let configuration = directory.join("configuration");
        write_configuration(&configuration, "");
        let spec = FleetSpec {
            cluster: name.to_owned(),
            failure_domains: failure_domains.iter().map(ToString::to_string).collect(),
            instances_per_failure_domain,
            services,
            configuration,
        };
        let fleet = Fleet::start(&spec, binaries(), &directory).expect("the deployment starts");
        Self {
            fleet,
            directory,
            _deployment_lock: lock,
        }
    }

    pub fn address(&self, instance: usize) -> SocketAddr {
        self.fleet.instances[instance].settings.http_address
    }

    /// Sends a request; returns `None` if the connection breaks.
    pub fn request(
        &self,
        instance: SocketAddr,
        pipeline: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Option<Response> {
        let url = format!("http://{instance}/v1/pipelines/{pipeline}");
        let request = self
            .fleet
            .agent()
            .post(url)
            .header("Organisation", "kamagama");
        let request = match key {
            Some(key) => request.header("Idempotency-Key", key),
            None => request,
        };
        let mut response = request.send_json(body).ok()?;
        Some(Response {
            status: response.status().as_u16(),
            replayed: response.headers().contains_key("Idempotency-Replayed"),
            body: response.body_mut().read_json().ok()?,
        })
    }

    /// Requests a stream, and reads it until it ends, complete or not.
    pub fn read_stream(&self, instance: SocketAddr, body: &Value) -> StreamResult {
        let url = format!("http://{instance}/v1/pipelines/{CHAT_PIPELINE}");
        let response = self
            .fleet
            .agent()
            .post(url)
            .header("Organisation", "kamagama")
            .header("Accept", "text/event-stream")
            .send_json(body);
        let mut streamed = StreamResult::default();
        let Ok(mut response) = response else {
            return streamed;
        };
        if response.status().as_u16() != 200 {
            streamed.error = response.body_mut().read_json().ok();
            return streamed;
        }
        let mut reader = BufReader::new(response.body_mut().as_reader());
        while let Ok(Some(event)) = sse::next_event(&mut reader) {
            let data: Value = serde_json::from_str(&event.data).expect("the event data are JSON");
            match event.name.as_str() {
                "token" => {
                    let offset = data["offset"].as_u64().expect("a token has an offset");
                    let text = data["text"].as_str().expect("a token has text");
                    streamed.tokens.push((offset, text.to_owned()));
                }
                "done" => streamed.done = Some(data),
                _ => streamed.error = Some(data),
            }
        }
        streamed
    }

    /// Posts a command or fault settings, and checks that they were accepted.
    pub fn post(&self, address: SocketAddr, path: &str, body: &Value) {
        let response = self.fleet.post(address, path, body);
        let (status, response) = response.expect("the process responds");
        assert_eq!(status, 200, "{path} {body}: {response}");
    }

    pub fn set_platform_faults(&self, faults: &Value) {
        self.post(self.fleet.platform, "/faults", faults);
    }

    /// Sets the faults of all targets of a service.
    pub fn set_target_faults(&self, service: &str, faults: &Value) {
        for target in &self.fleet.targets {
            if target.service == service {
                self.post(target.address, "/faults", faults);
            }
        }
    }

    /// Returns the counters of a running target.
    pub fn stats(&self, target: usize) -> TargetStats {
        let stats = self.fleet.get(self.fleet.targets[target].address, "/stats");
        serde_json::from_value(stats.expect("the target responds")).expect("the counters are valid")
    }

    /// Returns the number of calls that the targets of a failure domain have received.
    pub fn calls_in(&self, failure_domain: &str) -> u64 {
        let targets = self.fleet.targets.iter().enumerate();
        targets
            .filter(|(_, target)| target.failure_domain == failure_domain)
            .map(|(index, _)| self.stats(index).calls)
            .sum()
    }

    /// Returns how often the targets that are still running have executed a request with this key.
    pub fn execution_count(&self, key: &str) -> u32 {
        let lists = self
            .fleet
            .targets
            .iter()
            .filter_map(|target| self.fleet.get(target.address, "/executions").ok());
        let count = |list: Value| -> u32 {
            let list: ExecutionList = serde_json::from_value(list).expect("the list is valid");
            let of_key = list.executions.iter().filter(|found| found.key == key);
            of_key.map(|found| found.count).sum()
        };
        lists.map(count).sum()
    }

    pub fn status(&self, instance: SocketAddr) -> Option<Value> {
        self.fleet.get(instance, "/admin/status").ok()
    }

    /// Returns the value of an event counter of an instance.
    pub fn event_count(&self, instance: SocketAddr, event: &str) -> u64 {
        let url = format!("http://{instance}/metrics");
        let mut response = self
            .fleet
            .agent()
            .get(url)
            .call()
            .expect("the instance responds");
        let text = response
            .body_mut()
            .read_to_string()
            .expect("the body is text");
        let label = format!("event=\"{event}\"");
        let line = text.lines().find(|line| line.contains(&label));
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
        value.unwrap_or(0)
    }

    pub fn readiness(&self, instance: SocketAddr) -> Option<u16> {
        let url = format!("http://{instance}/readyz");
        let response = self.fleet.agent().get(url).call().ok()?;
        Some(response.status().as_u16())
    }

    /// Starts or ends a simulated network partition between the two failure domains.
    ///
    /// An instance can only block members that it knows, so this first waits until all are known.
    pub fn partition(&self, partitioned: bool) {
        let domains = ["arita", "hakata"];
        let all = self.fleet.instances.len();
        for instance in &self.fleet.instances {
            wait_until(
                Duration::from_secs(5),
                "every instance knows all others",
                || {
                    let status = self
                        .fleet
                        .get(instance.settings.http_address, "/admin/status");
                    let members =
                        status.map(|status| status["members"].as_array().map_or(0, Vec::len));
                    members.is_ok_and(|members| members == all)
                },
            );
        }
        for instance in &self.fleet.instances {
            let local_domain = instance.settings.failure_domain.as_str();
            let blocked: BTreeSet<&str> = domains
                .into_iter()
                .filter(|&other| partitioned && other != local_domain)
                .collect();
            let faults = json!({ "block_failure_domains": blocked });
            self.post(instance.settings.http_address, "/admin/faults", &faults);
        }
    }

    /// Sends lookups to some instances while `action` runs, and returns all responses.
    pub fn with_lookup_load<T>(
        &self,
        instances: &[SocketAddr],
        clients_per_instance: usize,
        action: impl FnOnce() -> T,
    ) -> (T, Vec<(SocketAddr, Option<Response>)>) {
        let stop_clients = AtomicBool::new(false);
        let responses = Mutex::new(Vec::new());
        let call = |instance: SocketAddr, client: usize| {
            let mut number = 0;
            while !stop_clients.load(Ordering::SeqCst) {
                let body = json!({ "marker": format!("{instance}-{client}-{number}") });
                let response = self.request(instance, LOOKUP_PIPELINE, None, &body);
                if let Some(response) = response.as_ref().filter(|response| response.status == 200)
                {
                    assert_eq!(
                        response.body["origin"], body,
                        "the response belongs to another request"
                    );
                }
                responses
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push((instance, response));
                number += 1;
                thread::sleep(CLIENT_PAUSE);
            }
        };
        let result = thread::scope(|scope| {
            // Stops the clients also if `action` panics; otherwise the scope would wait for them
            // forever.
            let _stop_on_drop = StopOnDrop(&stop_clients);
            for &instance in instances {
                for client in 0..clients_per_instance {
                    let call = &call;
                    scope.spawn(move || call(instance, client));
                }
            }
            action()
        });
        let responses = responses
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        (result, responses)
    }

    /// Shuts down all instances gracefully and removes their logs.
    pub fn stop(self) {
        let clean = self.fleet.shut_down().expect("the instances exit");
        assert!(clean, "an instance exited with a nonzero status");
        fs::remove_dir_all(self.directory).expect("the directory can be removed");
    }
}

fn lock_deployment() -> MutexGuard<'static, ()> {
    loop {
        for lock in &DEPLOYMENT_LOCKS {
            match lock.try_lock() {
                Ok(guard) => return guard,
                Err(TryLockError::Poisoned(error)) => return error.into_inner(),
                Err(TryLockError::WouldBlock) => {}
            }
        }
        thread::sleep(POLL);
    }
}

struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Writes a configuration that differs from others only in its comment.
pub fn write_configuration(directory: &Path, comment: &str) {
    fs::create_dir_all(directory.join("overlays")).expect("the directory is writable");
    let text = format!("# {comment}\n{CONFIGURATION}");
    fs::write(directory.join("base.yaml"), text).expect("the directory is writable");
}

/// Returns the directory of the workspace's programs.
pub fn binaries() -> &'static Path {
    let daemon = Path::new(env!("CARGO_BIN_EXE_arbutusd"));
    daemon.parent().expect("a program has a directory")
}
