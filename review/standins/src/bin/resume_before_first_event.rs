//! A model engine crashes between the head and the first event of a stream that may be resumed. The
//! engines number the events from 0.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use review_standins::instance::Instance;
use review_standins::record;
use review_standins::record::Record;
use review_standins::requester;
use review_standins::requester::Requester;
use review_standins::site;
use review_standins::site::Streams;
use review_standins::store::Store;

/// One crash among these stays within a share of 0.17.
const ENGINES: usize = 6;
const EVENTS: u32 = 6;
const LIMIT: Duration = Duration::from_millis(12_000);
const CONTACT: Duration = Duration::from_millis(4_000);

fn main() -> ExitCode {
    record::limit_run(100);
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> std::io::Result<bool> {
    let path = std::env::args().nth(1).unwrap_or("record.txt".to_owned());
    let record = Record::create(&path)?;
    let store = Store::start()?;
    site::write_config(&store);
    let (results, given) = Default::default();
    let streams = Streams {
        first_id: 0,
        events: EVENTS,
        crash_next: Arc::new(AtomicBool::new(false)),
    };
    for number in 1..=ENGINES {
        let (id, zone) = (format!("i-llm-{number}"), ["arita", "hakata"][number % 2]);
        site::start_engine(
            &store,
            &record,
            &id,
            zone,
            streams.clone(),
            &results,
            &given,
        )?;
    }
    for (id, zone) in [("i-glaze-1", "arita"), ("i-glaze-2", "hakata")] {
        site::start_stage(&store, &record, id, zone, &results, Default::default())?;
    }
    let first = Instance::start(&record, "edge-arita-1", "arita", store.address)?;
    let _second = Instance::start(&record, "edge-hakata-1", "hakata", store.address)?;
    thread::sleep(CONTACT);
    streams
        .crash_next
        .store(record::has_trouble(), Ordering::SeqCst);
    let id = requester::new_id();
    let headers = [
        ("X-Arbutushaven-Model", "m"),
        ("X-Arbutushaven-Token-Usage", "1460,80"),
        ("X-Arbutushaven-Prompt-Prefix", "5c1e07a2:800,91bd3f06:660"),
        ("X-Arbutushaven-Pieces", "1"),
        ("X-Arbutushaven-Piece-Key", "7c1e07a291bd"),
    ];
    let mut requester = Requester::connect(&record, first.frontend)?;
    let answer = requester.call(&id, "POST /consult/c", LIMIT, &headers, b"prompt")?;
    let body = answer.body_text();
    let ids: Vec<u32> = body
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    let summary = format!(
        "the requester got {} and a complete body with the events {ids:?} of 0 to {}",
        answer.start,
        EVENTS - 1
    );
    record.line(&summary);
    println!("{summary}");
    if answer.status() != 200 {
        return Err(std::io::Error::other("the consult was not served"));
    }
    Ok(ids.into_iter().eq(0..EVENTS))
}
