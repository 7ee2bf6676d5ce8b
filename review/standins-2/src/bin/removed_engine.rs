//! Engines leave: their entries are removed, and they serve on for a while. The store cuts off
//! waiting watches, as it may. Counts the requests that reach an engine later than `drain_ms` after
//! the store has acknowledged its removal.

use std::net::TcpStream;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use review_standins_2::BROKEN;
use review_standins_2::COULD_NOT_RUN;
use review_standins_2::HELD;
use review_standins_2::Network;
use review_standins_2::client;
use review_standins_2::engine;
use review_standins_2::engine::Engine;
use review_standins_2::engine::EngineSettings;
use review_standins_2::has_trouble;
use review_standins_2::http::Message;
use review_standins_2::instance::Deployment;
use review_standins_2::instance::TemporaryFolder;
use review_standins_2::record::Record;
use review_standins_2::store::Store;

const DRAIN_MS: u64 = 2_000;
const CUT_INTERVAL: Duration = Duration::from_millis(400);
const CUTS_PER_REMOVAL: usize = 9;
const REMOVALS: usize = 4;
const CONFIG: &str = r#"{"version":7,"route_list":[{"name":"r-report","host":"reports.example","path_prefix":"/report/","kind":"safe","timeout_ms":1500,"goal_ms":150,"priority":2,"service":"rondeboek","max_attempts":2,"stages":[],"anonymous":true,"sticky":false,"resumable":false}],"services":[{"name":"rondeboek","health_path":"/healthz","max_connections":248,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#;

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let code = run(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("cannot run: {error}");
        COULD_NOT_RUN
    });
    ExitCode::from(code as u8)
}

fn run(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let trouble = has_trouble();
    let temporary = TemporaryFolder::create()?;
    let network = Network::of_this_process();
    let store = Store::start(network.host(200))?;
    store.put("config", "main", CONFIG);
    let arrivals: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let (seen, log) = (Arc::clone(&arrivals), record.clone());
    let handler = move |engine: &Engine, request: &Message, writer: &mut TcpStream| {
        seen.lock()
            .unwrap()
            .push((engine.name.clone(), log.now_ms()));
        thread::sleep(Duration::from_millis(15));
        engine::answer(writer, request, "200 OK", &[b'r'; 800])
    };
    let handler: engine::Handler = Arc::new(handler);
    let mut engines = Vec::new();
    for number in 0..6_u8 {
        let settings = EngineSettings {
            name: &format!("i-{number}"),
            service: "rondeboek",
            zone: if number % 2 == 0 { "gent-a" } else { "gent-b" },
            slots: 6,
            cold: Duration::ZERO,
            downtime: Duration::from_secs(3),
        };
        engines.push(Engine::start(
            network.host(100 + number),
            &store,
            &settings,
            Arc::clone(&handler),
        )?);
    }
    let deployment = Deployment {
        folder: temporary.0.clone(),
        store: store.address,
        zones: vec!["gent-a".to_owned(), "gent-b".to_owned()],
        memory_mb: 182,
    };
    let mut instances = Vec::new();
    for number in 0..4_u8 {
        let zone = if number % 2 == 0 { "gent-a" } else { "gent-b" };
        instances.push(deployment.start(
            &format!("edge-{zone}-{number}"),
            zone,
            network.host(1 + number),
        )?);
    }
    for instance in &instances {
        if !instance.wait_until_ready() {
            return Ok(COULD_NOT_RUN);
        }
    }
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut handles = Vec::new();
    for (number, instance) in instances.iter().enumerate() {
        let (address, is_over) = (instance.frontend, Arc::clone(&is_over));
        handles.push(thread::spawn(move || {
            let mut failed = 0;
            let mut sent = 0;
            while !is_over.load(Ordering::Relaxed) {
                sent += 1;
                let id = format!("r-{number}-{sent}");
                let request =
                    client::request("GET", "reports.example", "/report/a", &id, 1_500, "", b"");
                let answer = client::call(address, &request, Duration::from_millis(1_500));
                failed += usize::from(!answer.is_ok_and(|answer| answer.status() == 200));
                thread::sleep(Duration::from_millis(10));
            }
            (sent, failed)
        }));
    }
    let mut removals = Vec::new();
    let mut cuts = 0;
    while removals.len() < REMOVALS {
        if trouble {
            record.line("the store cuts off waiting watches");
            store.cut_watches();
        }
        cuts += 1;
        if cuts % CUTS_PER_REMOVAL == 0 {
            let engine = &engines[removals.len()];
            engine.leave_silently();
            let at = record.now_ms();
            record.line(&format!(
                "the store acknowledges the removal of {}",
                engine.name
            ));
            removals.push((engine.name.clone(), at));
        }
        thread::sleep(CUT_INTERVAL);
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    for handle in handles {
        let (sent, failed) = handle.join().unwrap();
        record.line(&format!("{sent} requests sent, {failed} without success"));
    }
    let arrivals = arrivals.lock().unwrap();
    let mut late_total = 0;
    for (name, removed_at) in removals {
        let after = arrivals
            .iter()
            .filter(|(other, at)| *other == name && *at > removed_at);
        let last = after.map(|(_, at)| at - removed_at).max().unwrap_or(0);
        let late = arrivals
            .iter()
            .filter(|(other, at)| *other == name && *at > removed_at + DRAIN_MS)
            .count();
        record.line(&format!(
            "{name}: last request {last} ms after its removal, {late} later than {DRAIN_MS} ms"
        ));
        late_total += late;
    }
    Ok(if late_total > 0 { BROKEN } else { HELD })
}
