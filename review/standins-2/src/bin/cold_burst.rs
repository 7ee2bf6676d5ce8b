//! All engines of a service go down and come back cold. Then many requesters come at once, while
//! the instances have used up the allowance of their core and stand still for the rest of a tenth
//! of a second. Counts the requests that a cold engine gets in one second.

use std::net::TcpStream;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Barrier;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins_2::BROKEN;
use review_standins_2::COULD_NOT_RUN;
use review_standins_2::HELD;
use review_standins_2::Network;
use review_standins_2::client;
use review_standins_2::client::Connection;
use review_standins_2::engine;
use review_standins_2::engine::Engine;
use review_standins_2::engine::EngineSettings;
use review_standins_2::has_trouble;
use review_standins_2::http::Message;
use review_standins_2::instance::Deployment;
use review_standins_2::instance::TemporaryFolder;
use review_standins_2::record::Record;
use review_standins_2::store::Store;

/// cold_per_s x cold_multiplier + cold_tolerance.
const ALLOWED_PER_S: f64 = 8.9 * 1.5 + 5.0;
/// What a core with a share of 0.17 stands still in a tenth of a second.
const CORE_PAUSE: Duration = Duration::from_millis(83);
const COLD: Duration = Duration::from_secs(3);
const CONFIG: &str = r#"{"version":7,"route_list":[{"name":"r-notes","host":"assist.example","path_prefix":"/notes/","kind":"stream","timeout_ms":12000,"goal_ms":2200,"priority":0,"service":"bloemtaal","max_attempts":2,"stages":[],"anonymous":true,"sticky":true,"resumable":true,"gap_target_ms":500}],"services":[{"name":"bloemtaal","health_path":"/healthz","max_connections":832,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":8.9}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#;

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let code = run(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("cannot run: {error}");
        COULD_NOT_RUN
    });
    ExitCode::from(code as u8)
}

fn run(folder: &Path) -> std::io::Result<i32> {
    let requesters: usize = std::env::var("REQUESTERS")
        .ok()
        .and_then(|t| t.parse().ok())
        .unwrap_or(8);
    let record = Record::create(&folder.join("record.txt"))?;
    let trouble = has_trouble();
    let temporary = TemporaryFolder::create()?;
    let network = Network::of_this_process();
    let store = Store::start(network.host(200))?;
    store.put("config", "main", CONFIG);
    let arrivals: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let (seen, log) = (Arc::clone(&arrivals), record.clone());
    let handler = move |engine: &Engine, request: &Message, writer: &mut TcpStream| {
        let cold = engine.cold_remaining();
        if !cold.is_zero() {
            seen.lock().unwrap().push((engine.id(), log.now_ms()));
        }
        if engine::begin_stream(writer, request).is_err() {
            return engine::Outcome::Close;
        }
        for event in 1..=4 {
            thread::sleep(Duration::from_millis(20));
            if engine::write_event(writer, event, "flowers").is_err() {
                return engine::Outcome::Close;
            }
        }
        match engine::end_stream(writer) {
            Ok(()) => engine::Outcome::Answered,
            Err(_) => engine::Outcome::Close,
        }
    };
    let handler: engine::Handler = Arc::new(handler);
    let mut engines = Vec::new();
    for (number, zone) in ["gent-a", "gent-b"].into_iter().enumerate() {
        let settings = EngineSettings {
            name: &format!("i-{number}"),
            service: "bloemtaal",
            zone,
            slots: 64,
            cold: COLD,
            downtime: Duration::from_secs(4),
        };
        engines.push(Engine::start(
            network.host(100 + number as u8),
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
    if trouble {
        record.line("both engines crash");
        for engine in &engines {
            engine.crash();
        }
        thread::sleep(Duration::from_millis(3_900));
        let until = Instant::now() + Duration::from_secs(3);
        while !engines.iter().all(Engine::is_up) && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        record.line("both engines are back, cold");
    }
    thread::sleep(Duration::from_millis(500));
    let barrier = Arc::new(Barrier::new(requesters * instances.len() + 1));
    let mut handles = Vec::new();
    for (machine, instance) in instances.iter().enumerate() {
        for number in 0..requesters {
            let (address, barrier) = (instance.frontend, Arc::clone(&barrier));
            handles.push(thread::spawn(move || {
                let mut connection = Connection::open(address)?;
                let id = format!("r-{machine}-{number}");
                let extra = format!("X-Arbutushaven-Model: m\r\nX-Arbutushaven-Token-Usage: 826,80\r\nX-Arbutushaven-Prompt-Prefix: 5c1e07a2:198,{machine:04x}{number:04x}:628\r\n");
                let request = client::request("POST", "assist.example", "/notes/n", &id, 12_000, &extra, id.as_bytes());
                barrier.wait();
                thread::sleep(CORE_PAUSE * number as u32 / requesters as u32);
                connection.send(&request)?;
                connection.receive(Duration::from_secs(12), |_| {}).map(|answer| (answer.status(), answer.is_complete))
            }));
        }
    }
    // All connections are open.
    thread::sleep(Duration::from_millis(200));
    for instance in &instances {
        instance.pause(true);
    }
    record.line("the instances stand still; requesters come");
    barrier.wait();
    thread::sleep(CORE_PAUSE);
    for instance in &instances {
        instance.pause(false);
    }
    record.line("the instances go on");
    let mut counts = std::collections::BTreeMap::new();
    for handle in handles {
        let result = match handle.join().unwrap() {
            Ok((status, complete)) => format!("{status}, complete: {complete}"),
            Err(error) => error.to_string(),
        };
        *counts.entry(result).or_insert(0) += 1;
    }
    record.line(&format!("answers: {counts:?}"));
    let arrivals = arrivals.lock().unwrap();
    let mut most = 0;
    for engine in &engines {
        let id = engine.id();
        let times: Vec<u64> = arrivals
            .iter()
            .filter(|(other, _)| *other == id)
            .map(|(_, at)| *at)
            .collect();
        let peak = times
            .iter()
            .map(|from| {
                times
                    .iter()
                    .filter(|at| **at >= *from && **at < from + 1_000)
                    .count()
            })
            .max()
            .unwrap_or(0);
        record.line(&format!(
            "{id}: {} requests while cold, {peak} in one second, {ALLOWED_PER_S} allowed",
            times.len()
        ));
        most = most.max(peak);
    }
    Ok(if most as f64 > ALLOWED_PER_S {
        BROKEN
    } else {
        HELD
    })
}
