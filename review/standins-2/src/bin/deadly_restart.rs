//! A booking crashes each engine that runs it, and is refused after two crashes. Then the instances
//! are stopped and started in turn. The booking comes again at each of them once it is in touch.
//! Counts how often it reaches engines later than `contact_ms` after it has crashed the third one.

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
use review_standins_2::instance::Instance;
use review_standins_2::instance::TemporaryFolder;
use review_standins_2::record::Record;
use review_standins_2::store::Store;

const CONTACT_MS: u64 = 3_000;
const ALLOWED_RETRIES: usize = 3;
const GRACE: Duration = Duration::from_secs(8);
const IN_TOUCH: Duration = Duration::from_millis(3_300);
const RESEND_PAUSE: Duration = Duration::from_millis(800);
const DEADLY_BODY: &[u8] = b"anniversary round for grave 12, with the text that crashes an engine";
const CONFIG: &str = r#"{"version":7,"route_list":[{"name":"r-booking","host":"orders.example","path_prefix":"/booking/","kind":"unsafe","timeout_ms":1500,"goal_ms":150,"priority":2,"service":"rondeboek","max_attempts":1,"stages":[],"anonymous":true,"sticky":false,"resumable":false}],"services":[{"name":"rondeboek","health_path":"/healthz","max_connections":248,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#;

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let code = run(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("cannot run: {error}");
        COULD_NOT_RUN
    });
    ExitCode::from(code as u8)
}

struct Requester {
    record: Record,
    sent: usize,
}

impl Requester {
    fn send(&mut self, instance: &Instance, what: &str, body: &[u8]) -> u16 {
        self.sent += 1;
        let id = format!("{what}-{}", self.sent);
        let path = format!("/booking/{what}");
        let request = client::request("POST", "orders.example", &path, &id, 1_500, "", body);
        let answer = client::call(instance.frontend, &request, Duration::from_millis(1_500));
        let status = answer.map_or(0, |answer| answer.status());
        self.record.line(&format!(
            "requester sent {id} to {}: {status}",
            instance.name
        ));
        status
    }
}

fn run(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let trouble = has_trouble();
    let temporary = TemporaryFolder::create()?;
    let network = Network::of_this_process();
    let store = Store::start(network.host(200))?;
    store.put("config", "main", CONFIG);
    let crashes: Arc<Mutex<Vec<u64>>> = Arc::default();
    let (seen, log) = (Arc::clone(&crashes), record.clone());
    let handler = move |engine: &Engine, request: &Message, writer: &mut TcpStream| {
        thread::sleep(Duration::from_millis(30));
        if request.body == DEADLY_BODY {
            log.line(&format!(
                "engine {} runs the deadly booking and crashes",
                engine.id()
            ));
            seen.lock().unwrap().push(log.now_ms());
            return Outcome::Crash;
        }
        engine::answer(writer, request, "200 OK", &[b'b'; 800])
    };
    let handler: engine::Handler = Arc::new(handler);
    let mut engines = Vec::new();
    for number in 0..4_u8 {
        let settings = EngineSettings {
            name: &format!("i-{number}"),
            service: "rondeboek",
            zone: if number % 2 == 0 { "gent-a" } else { "gent-b" },
            slots: 6,
            cold: Duration::ZERO,
            downtime: Duration::from_secs(3),
        };
        let host = network.host(100 + number);
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
    let mut instances = Vec::new();
    for number in 0..5_u8 {
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
    thread::sleep(Duration::from_secs(4));
    let mut requester = Requester {
        record: record.clone(),
        sent: 0,
    };
    for instance in &instances {
        let body = format!("booking at {}", instance.name);
        if requester.send(instance, "ordinary", body.as_bytes()) != 200 {
            return Ok(COULD_NOT_RUN);
        }
    }
    // The booking is refused everywhere after it has crashed two engines.
    for instance in &instances {
        requester.send(instance, "deadly", DEADLY_BODY);
        thread::sleep(RESEND_PAUSE);
    }
    if crashes.lock().unwrap().len() != 2 {
        record.line("the booking was not refused after two crashes");
    }
    for index in 0..instances.len() {
        let instance = &mut instances[index];
        if trouble {
            record.line(&format!("SIGTERM to {}", instance.name));
            instance.terminate();
            let until = Instant::now() + GRACE;
            while instance.ended().is_none() && Instant::now() < until {
                thread::sleep(Duration::from_millis(20));
            }
            instance.kill();
            instance.restart()?;
            if !instance.wait_until_ready() {
                return Ok(COULD_NOT_RUN);
            }
            record.line(&format!("{} is ready again", instance.name));
        }
        thread::sleep(IN_TOUCH);
        for _ in 0..2 {
            requester.send(&instances[index], "deadly", DEADLY_BODY);
            thread::sleep(RESEND_PAUSE);
        }
    }
    let crashes = crashes.lock().unwrap();
    let Some(third) = crashes.get(2) else {
        record.line(&format!("{} crashes: the rule held", crashes.len()));
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
