//! Requesters on kept connections stop reading a stream for three seconds and then read on. Counts
//! the streams that a sound engine sent to their end and whose connection broke before their end.

use std::net::TcpStream;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use review_standins_2::BROKEN;
use review_standins_2::COULD_NOT_RUN;
use review_standins_2::HELD;
use review_standins_2::Network;
use review_standins_2::client;
use review_standins_2::client::Connection;
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

const ALLOWED: usize = 3;
const REQUESTERS: usize = 8;
const PAUSE: Duration = Duration::from_millis(3_000);
/// The largest stream of the class `visit-dossier` on the sheet of rustwell-rounds.
const EVENTS: u64 = 140;
const EVENT_BYTES: usize = 420;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
const WINDOW_BYTES: i32 = 4_096;
const CONFIG: &str = r#"{"version":7,"route_list":[{"name":"r-dossier","host":"assist.example","path_prefix":"/dossier/","kind":"stream","timeout_ms":15000,"goal_ms":3000,"priority":1,"service":"bloemtaal","max_attempts":1,"stages":[],"anonymous":true,"sticky":true,"resumable":false,"gap_target_ms":500}],"services":[{"name":"bloemtaal","health_path":"/healthz","max_connections":832,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":8.9}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#;

const PROMPT: &str = "X-Arbutushaven-Model: m\r\nX-Arbutushaven-Token-Usage: 6610,140\r\nX-Arbutushaven-Prompt-Prefix: 5c1e07a2:512,91bd3f06:4870,e4402b7d:1228\r\n";

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
    // Another pause than that of the case, to find the shortest one that breaks the rule.
    let other_pause = std::env::var("PAUSE_MS")
        .ok()
        .and_then(|text| text.parse().ok());
    let pause = other_pause.map_or(PAUSE, Duration::from_millis);
    let pause = if has_trouble() { pause } else { Duration::ZERO };
    let temporary = TemporaryFolder::create()?;
    let network = Network::of_this_process();
    let store = Store::start(network.host(200))?;
    store.put("config", "main", CONFIG);
    let answered: Arc<Mutex<Vec<String>>> = Arc::default();
    let (seen, log) = (Arc::clone(&answered), record.clone());
    let handler = move |engine: &Engine, request: &Message, writer: &mut TcpStream| {
        let id = request
            .header("X-Arbutushaven-Request-Id")
            .unwrap_or("")
            .to_owned();
        let events = if request.target().ends_with("long") {
            EVENTS
        } else {
            3
        };
        if engine::begin_stream(writer, request).is_err() {
            return Outcome::Close;
        }
        let data = "f".repeat(EVENT_BYTES);
        for event in 1..=events {
            thread::sleep(EVENT_INTERVAL);
            if let Err(error) = engine::write_event(writer, event, &data) {
                log.line(&format!(
                    "engine {} could not send event {event} of {id}: {error}",
                    engine.id()
                ));
                return Outcome::Close;
            }
        }
        if engine::end_stream(writer).is_err() {
            return Outcome::Close;
        }
        log.line(&format!("engine {} sent {id} to its end", engine.id()));
        seen.lock().unwrap().push(id);
        Outcome::Answered
    };
    let handler: engine::Handler = Arc::new(handler);
    let mut engines = Vec::new();
    for (number, zone) in ["gent-a", "gent-b"].into_iter().enumerate() {
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
            return Ok(COULD_NOT_RUN);
        }
    }
    thread::sleep(Duration::from_secs(4));
    let mut handles = Vec::new();
    for number in 0..REQUESTERS {
        let address = instances[number % 2].frontend;
        let record = record.clone();
        handles.push(thread::spawn(move || -> std::io::Result<(String, bool)> {
            let mut connection = Connection::open(address)?;
            connection.set_small_window(WINDOW_BYTES)?;
            let first = format!("short-{number}");
            let request = client::request(
                "POST",
                "assist.example",
                "/dossier/short",
                &first,
                15_000,
                PROMPT,
                b"grave 12",
            );
            connection.send(&request)?;
            let answer = connection.receive(Duration::from_secs(15), |_| {})?;
            record.line(&format!(
                "{first} got {}, complete: {}",
                answer.status(),
                answer.is_complete
            ));
            let id = format!("long-{number}");
            let request = client::request(
                "POST",
                "assist.example",
                "/dossier/long",
                &id,
                15_000,
                PROMPT,
                b"all graves",
            );
            connection.send(&request)?;
            record.line(&format!("requester sends {id}"));
            let mut has_paused = false;
            let answer = connection.receive(Duration::from_secs(15), |_| {
                if !has_paused && !pause.is_zero() {
                    has_paused = true;
                    record.line(&format!("requester of {id} stops reading"));
                    thread::sleep(pause);
                    record.line(&format!("requester of {id} reads on"));
                }
            })?;
            let events = answer.text().matches("id: ").count();
            record.line(&format!(
                "{id} got {}, {events} events, complete: {}",
                answer.status(),
                answer.is_complete
            ));
            Ok((id, answer.status() == 200 && answer.is_complete))
        }));
    }
    let mut lost = 0;
    for handle in handles {
        match handle.join().unwrap() {
            Ok((id, complete)) => {
                let sent = answered.lock().unwrap().contains(&id);
                record.line(&format!(
                    "{id}: sent to its end by an engine: {sent}, received to its end: {complete}"
                ));
                lost += usize::from(!complete);
            }
            Err(error) => {
                record.line(&format!("requester failed: {error}"));
                return Ok(COULD_NOT_RUN);
            }
        }
    }
    record.line(&format!("{lost} requests lost, {ALLOWED} allowed"));
    Ok(if lost > ALLOWED { BROKEN } else { HELD })
}
