//! A deployment of separate processes, its callers, and waits with a bound.

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

pub const ENGINES: &str = "hearth-llm";
pub const LOOKUPS: &str = "ship-desk";
pub const BOOKINGS: &str = "order-desk";
pub const CHAT: &str = "chat";
pub const LOOKUP: &str = "lookup";
pub const DEPOSIT: &str = "deposit";
pub const MAX_TOKENS: u32 = 80;
/// The bound of P3 and P8.
pub const BOUND: Duration = Duration::from_secs(5);
/// The last token has to arrive before the deadline of the longest pipeline.
pub const PATIENCE: Duration = Duration::from_secs(12);

const POLL: Duration = Duration::from_millis(25);
const CALLER_PAUSE: Duration = Duration::from_millis(10);
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

/// The deployments that run at once; more would slow each other down.
static PLACES: [Mutex<()>; 3] = [const { Mutex::new(()) }; 3];

pub struct Deployment {
    pub fleet: Fleet,
    pub directory: PathBuf,
    _place: MutexGuard<'static, ()>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub replayed: bool,
    pub body: Value,
}

/// The events of one stream.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    pub tokens: Vec<(u64, String)>,
    pub done: Option<Value>,
    pub error: Option<Value>,
}

impl Streamed {
    /// Checks that each token arrived once and in order, and then `done`.
    pub fn assert_whole(&self, input: &Value) {
        let text = GeneratedText::new(input, MAX_TOKENS);
        let expected: Vec<(u64, String)> = (0..text.len())
            .map(|offset| (u64::from(offset), text.token(offset)))
            .collect();
        assert_eq!(self.tokens, expected, "{input}: {:?}", self.error);
        let done = self.done.as_ref().expect("the stream ends with `done`");
        assert_eq!(done["tokens"], text.len(), "{input}");
    }
}

/// Describes the targets of a service.
pub fn targets(service: &str, per_failure_domain: usize, options: &str) -> ServiceTargets {
    let kind = if service == ENGINES {
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

/// Waits until a condition holds and returns how long it took.
pub fn eventually(bound: Duration, what: &str, condition: impl Fn() -> bool) -> Duration {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < bound, "not within {bound:?}: {what}");
        thread::sleep(POLL);
    }
    begun.elapsed()
}

impl Deployment {
    /// Starts a deployment with the same instances and targets in each failure domain.
    pub fn start(
        name: &str,
        failure_domains: &[&str],
        instances_per_failure_domain: usize,
        services: Vec<ServiceTargets>,
    ) -> Self {
        let place = take_place();
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
            _place: place,
        }
    }

    pub fn address(&self, instance: usize) -> SocketAddr {
        self.fleet.instances[instance].settings.http_address
    }

    /// Sends a request; nothing is returned when the connection breaks.
    pub fn request(
        &self,
        instance: SocketAddr,
        pipeline: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Option<Answer> {
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
        let mut answer = request.send_json(body).ok()?;
        Some(Answer {
            status: answer.status().as_u16(),
            replayed: answer.headers().contains_key("Idempotency-Replayed"),
            body: answer.body_mut().read_json().ok()?,
        })
    }

    /// Reads a stream to its end, whole or not.
    pub fn stream(&self, instance: SocketAddr, body: &Value) -> Streamed {
        let url = format!("http://{instance}/v1/pipelines/{CHAT}");
        let answer = self
            .fleet
            .agent()
            .post(url)
            .header("Organisation", "kamagama")
            .header("Accept", "text/event-stream")
            .send_json(body);
        let mut streamed = Streamed::default();
        let Ok(mut answer) = answer else {
            return streamed;
        };
        if answer.status().as_u16() != 200 {
            streamed.error = answer.body_mut().read_json().ok();
            return streamed;
        }
        let mut reader = BufReader::new(answer.body_mut().as_reader());
        while let Ok(Some(event)) = sse::next_event(&mut reader) {
            let data: Value = serde_json::from_str(&event.data).expect("the data are JSON");
            match event.name.as_str() {
                "token" => {
                    let offset = data["offset"].as_u64().expect("a token has an offset");
                    let text = data["text"].as_str().expect("a token has a text");
                    streamed.tokens.push((offset, text.to_owned()));
                }
                "done" => streamed.done = Some(data),
                _ => streamed.error = Some(data),
            }
        }
        streamed
    }

    /// Posts an order or faults and checks that they were accepted.
    pub fn post(&self, address: SocketAddr, path: &str, body: &Value) {
        let answer = self.fleet.post(address, path, body);
        let (status, answer) = answer.expect("the process answers");
        assert_eq!(status, 200, "{path} {body}: {answer}");
    }

    pub fn platform_faults(&self, faults: &Value) {
        self.post(self.fleet.platform, "/faults", faults);
    }

    /// Sets the faults of all targets of a service.
    pub fn target_faults(&self, service: &str, faults: &Value) {
        for target in &self.fleet.targets {
            if target.service == service {
                self.post(target.address, "/faults", faults);
            }
        }
    }

    /// Returns the counters of a target that runs.
    pub fn stats(&self, target: usize) -> TargetStats {
        let stats = self.fleet.get(self.fleet.targets[target].address, "/stats");
        serde_json::from_value(stats.expect("the target answers")).expect("the counters are valid")
    }

    /// Returns the calls that arrived at the targets of a failure domain.
    pub fn calls_in(&self, failure_domain: &str) -> u64 {
        let targets = self.fleet.targets.iter().enumerate();
        targets
            .filter(|(_, target)| target.failure_domain == failure_domain)
            .map(|(index, _)| self.stats(index).calls)
            .sum()
    }

    /// Returns how often the targets that still run have executed a key.
    pub fn executions(&self, key: &str) -> u32 {
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

    /// Returns a counter of events of an instance.
    pub fn events(&self, instance: SocketAddr, event: &str) -> u64 {
        let url = format!("http://{instance}/metrics");
        let mut answer = self
            .fleet
            .agent()
            .get(url)
            .call()
            .expect("the instance answers");
        let text = answer.body_mut().read_to_string().expect("it is a text");
        let label = format!("event=\"{event}\"");
        let line = text.lines().find(|line| line.contains(&label));
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
        value.unwrap_or(0)
    }

    pub fn readiness(&self, instance: SocketAddr) -> Option<u16> {
        let url = format!("http://{instance}/readyz");
        let answer = self.fleet.agent().get(url).call().ok()?;
        Some(answer.status().as_u16())
    }

    /// Cuts the instances of the two failure domains off from each other, or connects them again.
    ///
    /// An instance can only cut off members that it knows, so all of them have to be known first.
    pub fn partition(&self, cut: bool) {
        let domains = ["arita", "hakata"];
        let all = self.fleet.instances.len();
        for instance in &self.fleet.instances {
            eventually(
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
            let own = instance.settings.failure_domain.as_str();
            let blocked: BTreeSet<&str> = domains
                .into_iter()
                .filter(|&other| cut && other != own)
                .collect();
            let faults = json!({ "block_failure_domains": blocked });
            self.post(instance.settings.http_address, "/admin/faults", &faults);
        }
    }

    /// Sends lookups through some instances while `act` runs, and returns all answers.
    pub fn under_lookups<T>(
        &self,
        instances: &[SocketAddr],
        callers_each: usize,
        act: impl FnOnce() -> T,
    ) -> (T, Vec<(SocketAddr, Option<Answer>)>) {
        let ended = AtomicBool::new(false);
        let answers = Mutex::new(Vec::new());
        let call = |instance: SocketAddr, caller: usize| {
            let mut number = 0;
            while !ended.load(Ordering::SeqCst) {
                let body = json!({ "marker": format!("{instance}-{caller}-{number}") });
                let answer = self.request(instance, LOOKUP, None, &body);
                if let Some(answer) = answer.as_ref().filter(|answer| answer.status == 200) {
                    assert_eq!(answer.body["origin"], body, "the answer of another request");
                }
                answers
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push((instance, answer));
                number += 1;
                thread::sleep(CALLER_PAUSE);
            }
        };
        let result = thread::scope(|scope| {
            // The callers also end when `act` panics; otherwise the scope would wait for them.
            let _end = EndOnDrop(&ended);
            for &instance in instances {
                for caller in 0..callers_each {
                    let call = &call;
                    scope.spawn(move || call(instance, caller));
                }
            }
            act()
        });
        let answers = answers.into_inner().unwrap_or_else(PoisonError::into_inner);
        (result, answers)
    }

    /// Ends all instances gracefully and removes the logs.
    pub fn stop(self) {
        let clean = self.fleet.shut_down().expect("the instances end");
        assert!(clean, "a status was not 0");
        fs::remove_dir_all(self.directory).expect("the directory can be removed");
    }
}

fn take_place() -> MutexGuard<'static, ()> {
    loop {
        for place in &PLACES {
            match place.try_lock() {
                Ok(taken) => return taken,
                Err(TryLockError::Poisoned(error)) => return error.into_inner(),
                Err(TryLockError::WouldBlock) => {}
            }
        }
        thread::sleep(POLL);
    }
}

struct EndOnDrop<'a>(&'a AtomicBool);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Writes a configuration that differs from others in its comment.
pub fn write_configuration(directory: &Path, comment: &str) {
    fs::create_dir_all(directory.join("overlays")).expect("the directory is writable");
    let text = format!("# {comment}\n{CONFIGURATION}");
    fs::write(directory.join("base.yaml"), text).expect("the directory is writable");
}

/// Returns the directory of the programs.
pub fn binaries() -> &'static Path {
    let daemon = Path::new(env!("CARGO_BIN_EXE_arbutusd"));
    daemon.parent().expect("a program has a directory")
}
