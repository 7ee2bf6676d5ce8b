//! The cases of the third review that are scripts: each starts instances of the product with the
//! command of the deploy file, and a store, engines and clients of its own, all on loopback.
//!
//! Usage: `review-3 CASE RECORD`, in the root of the repository. Exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment, the case does
//! the same without the disruption.

mod platform;

use std::env;
use std::fs;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform::Behaviour;
use platform::ClientRequest;
use platform::Engine;
use platform::Failure;
use platform::Instance;
use platform::Record;
use platform::Run;
use platform::Store;
use platform::call;
use platform::configuration;

struct Setting {
    record: Arc<Record>,
    store: Arc<Store>,
    directory: PathBuf,
    /// Whether the disruption takes place.
    has_trouble: bool,
}

impl Setting {
    fn instance(&self, number: u8, zone: &str) -> Result<Instance, Failure> {
        let address = self.store.listen(&format!("edge-{zone}-{number}"))?;
        let instance = Instance::start(&self.directory, number, zone, address)?;
        self.record.line(&format!(
            "instance {} starts, store {address}",
            instance.name
        ));
        Ok(instance)
    }

    fn engine(&self, id: &str, zone: &str, behaviour: Behaviour) -> Result<Arc<Engine>, Failure> {
        Engine::start(id, "desk", zone, &self.store, &self.record, behaviour)
    }

    fn line(&self, text: &str) {
        self.record.line(text);
    }
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE RECORD");
        process::exit(2);
    };
    let directory = env::temp_dir().join(format!("review-3-{}", process::id()));
    let result = run(case, Path::new(record), &directory);
    let _gone = fs::remove_dir_all(&directory);
    match result {
        Ok(is_broken) => process::exit(i32::from(is_broken)),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            process::exit(2);
        }
    }
}

fn run(case: &str, record: &Path, directory: &Path) -> Result<bool, Failure> {
    fs::create_dir_all(directory)?;
    let setting = Setting {
        record: Record::create(record)?,
        store: Arc::new(Store::default()),
        directory: directory.to_owned(),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let is_broken = match case {
        "late-drain" => late_drain(&setting),
        "lost-list" => lost_list(&setting),
        "cold-restart" => cold_restart(&setting),
        "poison" => poison(&setting),
        "silent-poison" => silent_poison(&setting),
        _ => Err("unknown case".into()),
    }?;
    setting.line(if is_broken {
        "RESULT: the rule was broken"
    } else {
        "RESULT: the rule held"
    });
    Ok(is_broken)
}

fn request(method: &'static str, route: &str, id: String) -> ClientRequest {
    ClientRequest {
        method,
        path: format!("/{route}/1"),
        id,
        deadline_ms: 1_500,
        body: "x".repeat(600),
    }
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

/// Sends requests to one address at a steady rate until it is stopped.
struct Traffic {
    is_stopped: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Traffic {
    fn start(
        setting: &Setting,
        prefix: &'static str,
        address: SocketAddrV4,
        interval: Duration,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (stopped, record) = (Arc::clone(&is_stopped), Arc::clone(&setting.record));
        let thread = thread::spawn(move || {
            let mut calls = Vec::new();
            for number in 0..4_000 {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let request = request("POST", "booking", format!("{prefix}-{number}"));
                let record = Arc::clone(&record);
                calls.push(thread::spawn(move || call(&record, address, &request)));
                thread::sleep(interval);
            }
            for call in calls {
                let _panicked = call.join();
            }
        });
        Self { is_stopped, thread }
    }

    fn stop(self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        let _panicked = self.thread.join();
    }
}

/// An engine leaves while the instance that watches the store for others is suspended.
fn late_drain(setting: &Setting) -> Result<bool, Failure> {
    const ZONE: &str = "kagoshima";
    const DRAIN_MS: f64 = 2_000.0;
    setting
        .store
        .put("config", "main", &configuration(800, 800, 1));
    let behaviour = Behaviour {
        work: Duration::from_millis(15),
        answer_bytes: 800,
        ..Behaviour::default()
    };
    let leaving = setting.engine("i-leaving", ZONE, behaviour.clone())?;
    let _staying = setting.engine("i-staying", ZONE, behaviour)?;
    let mut instances = Vec::new();
    for number in 1..=3 {
        instances.push(setting.instance(number, ZONE)?);
    }
    for instance in &instances {
        instance.wait_until_ready()?;
    }
    thread::sleep(seconds(4.0));
    let watcher = only_caller(setting, &instances, None)?;
    setting.line(&format!(
        "{} watches the store for the others",
        instances[watcher].name
    ));
    let follower = if setting.has_trouble {
        // The watching instance loses power for 3.5 s. Its successor is turned away by the store for
        // some seconds, during which the first one comes back.
        instances[watcher].kill()?;
        setting.line(&format!("{} is killed", instances[watcher].name));
        thread::sleep(seconds(2.5));
        let successor = only_caller(setting, &instances, Some(watcher))?;
        let name = instances[successor].name.clone();
        setting.line(&format!(
            "{name} watches the store now; the store turns it away for 7 s"
        ));
        setting.store.refuse(&name, true);
        thread::sleep(seconds(1.0));
        instances[watcher].spawn()?;
        instances[watcher].wait_until_ready()?;
        setting.line(&format!("{} is back and ready", instances[watcher].name));
        thread::sleep(seconds(6.0));
        setting.store.refuse(&name, false);
        setting.line(&format!("the store serves {name} again"));
        successor
    } else {
        thread::sleep(seconds(9.5));
        (watcher + 1) % instances.len()
    };
    let address = instances[follower].client_address();
    let traffic = Traffic::start(setting, "booking", address, Duration::from_millis(25));
    // Long enough for all instances and the store to count as undisturbed.
    thread::sleep(seconds(8.0));
    if setting.has_trouble {
        instances[watcher].suspend()?;
        setting.line(&format!("{} is suspended", instances[watcher].name));
    }
    thread::sleep(Duration::from_millis(20));
    setting.store.remove("servers", &leaving.id);
    let acked = Instant::now();
    setting.line("the entry of i-leaving is removed; acked by the store");
    // The engine serves on for `drain_ms` and 1.5 s more.
    thread::sleep(seconds(3.5));
    leaving.stop("it has left");
    if setting.has_trouble {
        instances[watcher].resume()?;
        setting.line(&format!("{} runs on", instances[watcher].name));
    }
    thread::sleep(seconds(0.5));
    traffic.stop();
    check_running(&mut instances)?;
    let late_ms = |run: &Run| run.started.saturating_duration_since(acked).as_secs_f64() * 1_000.0;
    let runs = leaving.runs();
    let late: Vec<f64> = runs
        .iter()
        .map(late_ms)
        .filter(|ms| *ms > DRAIN_MS)
        .collect();
    let latest = late.iter().copied().fold(0.0, f64::max);
    setting.line(&format!("{} requests reached i-leaving later than {DRAIN_MS} ms after the ack, the last one {latest:.0} ms after it", late.len()));
    Ok(!late.is_empty())
}

/// The store cuts off the watches of an instance and loses the response to the list that follows,
/// whichever instance asks for it, as an engine leaves.
fn lost_list(setting: &Setting) -> Result<bool, Failure> {
    const ZONE: &str = "kagoshima";
    const DRAIN: Duration = Duration::from_millis(2_000);
    const CONTACT: Duration = Duration::from_millis(3_000);
    setting
        .store
        .put("config", "main", &configuration(800, 800, 1));
    let behaviour = Behaviour {
        work: Duration::from_millis(15),
        answer_bytes: 800,
        ..Behaviour::default()
    };
    let leaving = setting.engine("i-leaving", ZONE, behaviour.clone())?;
    let _staying = setting.engine("i-staying", ZONE, behaviour)?;
    let mut instances = [setting.instance(1, ZONE)?, setting.instance(2, ZONE)?];
    for instance in &instances {
        instance.wait_until_ready()?;
    }
    thread::sleep(seconds(4.0));
    let watcher = only_caller(setting, &instances, None)?;
    let name = instances[watcher].name.clone();
    setting.line(&format!("{name} watches the store for the others"));
    let address = instances[watcher].client_address();
    let traffic = Traffic::start(setting, "booking", address, Duration::from_millis(25));
    thread::sleep(seconds(4.0));
    let acked = Instant::now();
    if setting.has_trouble {
        let names: Vec<String> = instances.iter().map(|other| other.name.clone()).collect();
        let store = &setting.store;
        store.remove_and_cut("servers", &leaving.id, &name, &names);
        setting.line(&format!("the store cuts off the watches of {name}"));
    } else {
        setting.store.remove("servers", &leaving.id);
    }
    setting.line("the entry of i-leaving is removed; acked by the store");
    thread::sleep(seconds(6.0));
    leaving.stop("it has left");
    thread::sleep(seconds(0.5));
    traffic.stop();
    check_running(&mut instances)?;
    let lost = setting.store.lost();
    for (name, at) in &lost {
        let at = setting.record.at(*at);
        setting.line(&format!(
            "the response to a list by {name} was lost at {at:.4}"
        ));
    }
    let lost_at = lost.iter().map(|(_, at)| *at).max();
    let runs = leaving.runs();
    let late = runs.iter().filter(|run| run.started > acked + DRAIN);
    // A lost response counts as a disruption of the store: nobody is in touch for 3 s.
    let in_touch = |run: &&Run| lost_at.is_none_or(|at| run.started > at + CONTACT);
    let late: Vec<&Run> = late.filter(in_touch).collect();
    let latest = late.iter().map(|run| run.started - acked).max();
    let latest_ms = latest.unwrap_or_default().as_millis();
    setting.line(&format!(
        "{} requests reached i-leaving later than 2000 ms after the ack and 3 s after the loss, the last one {latest_ms} ms after the ack",
        late.len()
    ));
    Ok(!late.is_empty())
}

/// Fails if an instance has ended by itself, which none of the cases expects.
fn check_running(instances: &mut [Instance]) -> Result<(), Failure> {
    for instance in instances {
        if !instance.is_running() {
            return Err(format!("{} has ended by itself", instance.name).into());
        }
    }
    Ok(())
}

/// Returns the instance that alone has been calling the store lately.
fn only_caller(
    setting: &Setting,
    instances: &[Instance],
    except: Option<usize>,
) -> Result<usize, Failure> {
    let now = Instant::now();
    let is_caller = |index: &usize| {
        let served_at = setting.store.served_at(&instances[*index].name);
        Some(*index) != except && served_at.is_some_and(|at| now - at < Duration::from_millis(800))
    };
    let callers: Vec<usize> = (0..instances.len()).filter(is_caller).collect();
    match callers.as_slice() {
        [caller] => Ok(*caller),
        _ => Err(format!("{} instances call the store", callers.len()).into()),
    }
}

/// An engine crashes and is back cold under its id while the store is away.
fn cold_restart(setting: &Setting) -> Result<bool, Failure> {
    /// `cold_per_s` x `cold_multiplier` + `cold_tolerance`.
    const BOUND: f64 = 8.9 * 1.5 + 5.0;
    setting
        .store
        .put("config", "main", &configuration(1_500, 1_500, 1));
    let behaviour = Behaviour {
        work: Duration::from_millis(15),
        answer_bytes: 800,
        cold_crash_per_s: Some(22),
        ..Behaviour::default()
    };
    let crashing = setting.engine("i-crashing", "arita", behaviour.clone())?;
    let _other = setting.engine("i-other", "arita", behaviour)?;
    let mut instances = [
        setting.instance(1, "arita")?,
        setting.instance(2, "arita")?,
        setting.instance(3, "arita")?,
    ];
    for instance in &instances {
        instance.wait_until_ready()?;
    }
    thread::sleep(seconds(4.0));
    // 48 requests a second in all.
    let interval = Duration::from_micros(62_500);
    let names = ["first", "second", "third"];
    let traffic: Vec<Traffic> = instances
        .iter()
        .zip(names)
        .map(|(instance, name)| Traffic::start(setting, name, instance.client_address(), interval))
        .collect();
    thread::sleep(seconds(4.0));
    if setting.has_trouble {
        setting.store.set_away(true);
        setting.line("the store turns all callers away");
        thread::sleep(seconds(2.0));
        crashing.stop("it crashes");
        thread::sleep(seconds(1.0));
        crashing.start_again(Duration::from_secs(3))?;
    }
    let back_at = Instant::now();
    thread::sleep(seconds(5.0));
    setting.store.set_away(false);
    setting.line("the store serves all callers");
    thread::sleep(seconds(1.0));
    for traffic in traffic {
        traffic.stop();
    }
    check_running(&mut instances)?;
    let runs = crashing.runs();
    let cold_end = back_at + Duration::from_secs(3);
    let is_cold = |run: &&Run| run.started >= back_at && run.started < cold_end;
    let cold: Vec<&Run> = runs.iter().filter(is_cold).collect();
    let in_second = |first: &&Run| {
        let since = cold.iter().filter(|run| run.started >= first.started);
        since
            .filter(|run| run.started - first.started < Duration::from_secs(1))
            .count()
    };
    let most = cold.iter().map(in_second).max().unwrap_or(0);
    setting.line(&format!(
        "at most {most} requests in one second at i-crashing in the 3 s after its start, bound {BOUND:.2} if it is cold"
    ));
    Ok(setting.has_trouble && most as f64 > BOUND)
}

/// A request that crashes the engines that run it comes again for more than a minute.
fn poison(setting: &Setting) -> Result<bool, Failure> {
    const ENGINES: usize = 9;
    setting
        .store
        .put("config", "main", &configuration(1_500, 1_500, 2));
    let behaviour = Behaviour {
        work: Duration::from_millis(15),
        answer_bytes: 800,
        deadly_body: setting.has_trouble.then(|| "poison".to_owned()),
        ..Behaviour::default()
    };
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        engines.push(setting.engine(&format!("i-{number}"), "arita", behaviour.clone())?);
    }
    let mut instances = [
        setting.instance(1, "arita")?,
        setting.instance(2, "arita")?,
        setting.instance(3, "arita")?,
    ];
    for instance in &instances {
        instance.wait_until_ready()?;
    }
    thread::sleep(seconds(4.0));
    let is_ended = Arc::new(AtomicBool::new(false));
    let restarts: Vec<_> = engines
        .iter()
        .map(|engine| restart_after_crashes(engine, &is_ended))
        .collect();
    // Every 5 s, the client sends its request, and repeats it at once at the other machines.
    for round in 0..15 {
        for repeat in 0..4 {
            let id = format!("poison-{round}-{repeat}");
            let request = ClientRequest {
                body: "poison".to_owned(),
                ..request("POST", "lookup", id)
            };
            let instance = &instances[(round + repeat) % instances.len()];
            let answer = call(&setting.record, instance.client_address(), &request);
            if answer.status == 200 {
                break;
            }
        }
        thread::sleep(seconds(5.0));
    }
    is_ended.store(true, Ordering::Relaxed);
    for restart in restarts {
        let _panicked = restart.join();
    }
    check_running(&mut instances)?;
    Ok(count_late_crashes(setting, &engines))
}

/// A request that crashes the engines that run it, which fall silent, comes again every 2 s.
fn silent_poison(setting: &Setting) -> Result<bool, Failure> {
    const ENGINES: usize = 9;
    setting
        .store
        .put("config", "main", &configuration(800, 100, 2));
    let behaviour = Behaviour {
        work: Duration::from_millis(15),
        answer_bytes: 800,
        deadly_body: setting.has_trouble.then(|| "poison".to_owned()),
        crashes_silently: true,
        ..Behaviour::default()
    };
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        engines.push(setting.engine(&format!("i-{number}"), "arita", behaviour.clone())?);
    }
    let mut instances = [
        setting.instance(1, "arita")?,
        setting.instance(2, "arita")?,
        setting.instance(3, "arita")?,
    ];
    for instance in &instances {
        instance.wait_until_ready()?;
    }
    thread::sleep(seconds(4.0));
    let is_ended = Arc::new(AtomicBool::new(false));
    let restarts: Vec<_> = engines
        .iter()
        .map(|engine| restart_after_crashes(engine, &is_ended))
        .collect();
    for round in 0..10 {
        let request = ClientRequest {
            body: "poison".to_owned(),
            ..request("POST", "lookup", format!("poison-{round}"))
        };
        let address = instances[round % instances.len()].client_address();
        call(&setting.record, address, &request);
        thread::sleep(seconds(2.0));
    }
    is_ended.store(true, Ordering::Relaxed);
    for restart in restarts {
        let _panicked = restart.join();
    }
    check_running(&mut instances)?;
    Ok(count_late_crashes(setting, &engines))
}

/// Returns whether the request crashed engines more than three times later than `contact_ms` after the
/// third crash.
fn count_late_crashes(setting: &Setting, engines: &[Arc<Engine>]) -> bool {
    const CONTACT: Duration = Duration::from_secs(3);
    let crashes = engines.iter().flat_map(|engine| engine.crashes());
    let mut crashes: Vec<(Instant, String)> = crashes.collect();
    crashes.sort();
    let Some((third, _)) = crashes.get(2) else {
        setting.line(&format!("the request crashed {} engines", crashes.len()));
        return false;
    };
    let late = crashes.iter().filter(|(at, _)| *at > *third + CONTACT);
    let late = late.count();
    setting.line(&format!("{} crashes; the request reached engines {late} times later than 3 s after the third, bound 3", crashes.len()));
    late > 3
}

/// Starts an engine again 2 s after each of its crashes.
fn restart_after_crashes(
    engine: &Arc<Engine>,
    is_ended: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (engine, is_ended) = (Arc::clone(engine), Arc::clone(is_ended));
    thread::spawn(move || {
        let mut handled = 0;
        while !is_ended.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            let crashes = engine.crashes().len();
            if crashes > handled {
                handled = crashes;
                thread::sleep(Duration::from_secs(2));
                if let Err(error) = engine.start_again(Duration::from_secs(3)) {
                    eprintln!("{} cannot start again: {error}", engine.id);
                }
            }
        }
    })
}
