//! A stream request crashes each engine that runs it, just after the engine has sent the first
//! event. The requester sends the same request again and again, at any instance. Counts how often
//! it still reaches engines later than `contact_ms` after it has crashed the third one.

use std::net::TcpStream;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins_2::BROKEN;
use review_standins_2::COULD_NOT_RUN;
use review_standins_2::HELD;
use review_standins_2::Network;
use review_standins_2::client;
use review_standins_2::engine;
use review_standins_2::engine::Engine;
use review_standins_2::engine::EngineSettings;
use review_standins_2::engine::Outcome;
use review_standins_2::has_trouble;
use review_standins_2::http::Message;
use review_standins_2::instance::Deployment;
use review_standins_2::instance::TemporaryFolder;
use review_standins_2::record::Record;
use review_standins_2::store::Store;

const CONTACT_MS: u64 = 3_000;
const ALLOWED_RETRIES: usize = 3;
const RESENDS: usize = 40;
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
const DEADLY_BODY: &[u8] = b"notes for the north round, with the text that crashes an engine";
const CONFIG: &str = r#"{"version":7,"route_list":[{"name":"r-notes","host":"assist.example","path_prefix":"/notes/","kind":"stream","timeout_ms":12000,"goal_ms":2200,"priority":0,"service":"bloemtaal","max_attempts":2,"stages":[],"anonymous":true,"sticky":true,"resumable":true,"gap_target_ms":500}],"services":[{"name":"bloemtaal","health_path":"/healthz","max_connections":832,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#;

struct Arrival {
    at_ms: u64,
    crashed: bool,
}

fn prompt(session: usize) -> String {
    format!(
        "X-Arbutushaven-Model: m\r\nX-Arbutushaven-Token-Usage: 826,80\r\nX-Arbutushaven-Prompt-Prefix: 5c1e07a2:198,{session:08x}:628\r\n"
    )
}

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
    // Set to check the counterpart: the engine crashes before it sends anything.
    let before_answer = std::env::var_os("BEFORE_ANSWER").is_some();
    record.line(&format!("trouble: {trouble}"));
    let temporary = TemporaryFolder::create()?;
    let network = Network::of_this_process();
    let store = Store::start(network.host(200))?;
    store.put("config", "main", CONFIG);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let (seen, log) = (Arc::clone(&arrivals), record.clone());
    let handler = move |engine: &Engine, request: &Message, writer: &mut TcpStream| {
        let is_deadly = request.body == DEADLY_BODY;
        let id = request
            .header("X-Arbutushaven-Request-Id")
            .unwrap_or("")
            .to_owned();
        if is_deadly {
            log.line(&format!(
                "engine {} runs the deadly request as {id}",
                engine.id()
            ));
            let arrival = Arrival {
                at_ms: log.now_ms(),
                crashed: trouble,
            };
            seen.lock().unwrap().push(arrival);
        }
        if is_deadly && trouble && before_answer {
            return Outcome::Crash;
        }
        let start = request
            .header("Last-Event-Id")
            .and_then(|text| text.parse().ok());
        let start: u64 = start.unwrap_or(0);
        if engine::begin_stream(writer, request).is_err() {
            return Outcome::Close;
        }
        for event in start + 1..=6 {
            thread::sleep(Duration::from_millis(25));
            if engine::write_event(writer, event, "flowers").is_err() {
                return Outcome::Close;
            }
            if is_deadly && trouble {
                thread::sleep(Duration::from_millis(30));
                log.line(&format!("engine {} crashes", engine.id()));
                return Outcome::Crash;
            }
        }
        match engine::end_stream(writer) {
            Ok(()) => Outcome::Answered,
            Err(_) => Outcome::Close,
        }
    };
    let handler: engine::Handler = Arc::new(handler);
    let mut engines = Vec::new();
    for (number, zone) in ["gent-a", "gent-a", "gent-b", "gent-b"]
        .into_iter()
        .enumerate()
    {
        let settings = EngineSettings {
            name: &format!("i-{number}"),
            service: "bloemtaal",
            zone,
            slots: 64,
            cold: Duration::ZERO,
            downtime: Duration::from_secs(3),
        };
        let host = network.host(100 + number as u8);
        engines.push(Engine::start(
            host,
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
    let instances = [
        deployment.start("edge-gent-a-1", "gent-a", network.host(1))?,
        deployment.start("edge-gent-b-1", "gent-b", network.host(2))?,
    ];
    for instance in &instances {
        if !instance.wait_until_ready() {
            record.line(&format!("{} is not ready", instance.name));
            return Ok(COULD_NOT_RUN);
        }
    }
    thread::sleep(Duration::from_secs(4));
    // Ordinary requests before the disruption have to be served.
    let mut served = 0;
    for number in 0..10 {
        let id = format!("ordinary-{number}");
        let body = format!("notes for the south round {number}").into_bytes();
        let request = client::request(
            "POST",
            "assist.example",
            "/notes/south",
            &id,
            12_000,
            &prompt(number),
            &body,
        );
        let address = instances[number % 2].frontend;
        let answer = client::call(address, &request, Duration::from_secs(12));
        served +=
            usize::from(answer.is_ok_and(|answer| answer.status() == 200 && answer.is_complete));
    }
    record.line(&format!("{served} of 10 ordinary requests served"));
    if served < 10 {
        return Ok(COULD_NOT_RUN);
    }
    let mut handles = Vec::new();
    let started = Instant::now();
    for number in 0..RESENDS {
        let due = RESEND_INTERVAL * number as u32;
        thread::sleep(due.saturating_sub(started.elapsed()));
        let address = instances[number % 2].frontend;
        let name = instances[number % 2].name.clone();
        let record = record.clone();
        handles.push(thread::spawn(move || {
            let id = format!("deadly-{number}");
            record.line(&format!("requester sends {id} to {name}"));
            let request = client::request(
                "POST",
                "assist.example",
                "/notes/north",
                &id,
                12_000,
                &prompt(7_777),
                DEADLY_BODY,
            );
            match client::call(address, &request, Duration::from_secs(12)) {
                Ok(answer) => record.line(&format!(
                    "{id} got {}, complete: {}",
                    answer.status(),
                    answer.is_complete
                )),
                Err(error) => record.line(&format!("{id} got no answer: {error}")),
            }
        }));
    }
    for handle in handles {
        let _ = handle.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let crashes: Vec<u64> = arrivals
        .iter()
        .filter(|arrival| arrival.crashed)
        .map(|arrival| arrival.at_ms)
        .collect();
    let Some(third) = crashes.get(2) else {
        record.line(&format!(
            "{} arrivals, {} crashes: the rule held",
            arrivals.len(),
            crashes.len()
        ));
        return Ok(HELD);
    };
    let late = crashes
        .iter()
        .filter(|at| **at > third + CONTACT_MS)
        .count();
    record.line(&format!(
        "{} crashes; third at {third} ms; {late} arrivals later than {CONTACT_MS} ms after it, {ALLOWED_RETRIES} allowed",
        crashes.len()
    ));
    Ok(if late > ALLOWED_RETRIES { BROKEN } else { HELD })
}
