//! A run in which a server reports that it drains, some time after a disruption of another kind.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::instance::Instance;
use crate::record;
use crate::record::Record;
use crate::requester;
use crate::requester::Requester;
use crate::site;
use crate::site::Runs;
use crate::store::Store;

const REQUESTERS: usize = 6;
const BOOKING_WORK: Duration = Duration::from_millis(100);
const BOOKING_LIMIT: Duration = Duration::from_millis(1_500);
const CONTACT: Duration = Duration::from_millis(4_000);
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long the server serves after its report: `drain_ms` and a little longer.
const DRAIN_AND_LONGER: Duration = Duration::from_millis(4_000);

/// A booking and how it ended.
struct Booking {
    sent_at: Instant,
    status: Option<u16>,
}

/// Runs the case and returns its exit status. `disturb` makes what precedes the drain.
pub fn main(disturb: impl FnOnce(&Store, &Record) -> std::io::Result<()>) -> ExitCode {
    record::limit_run(100);
    match run(disturb) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(disturb: impl FnOnce(&Store, &Record) -> std::io::Result<()>) -> std::io::Result<bool> {
    let path = std::env::args().nth(1).unwrap_or("record.txt".to_owned());
    let record = Record::create(&path)?;
    let store = Store::start()?;
    site::write_config(&store);
    let runs = Runs::default();
    let leaving = site::start_plain(&store, &record, "i-order-1", "arita", BOOKING_WORK, &runs)?;
    for (id, zone) in [
        ("i-order-2", "arita"),
        ("i-order-3", "hakata"),
        ("i-order-4", "hakata"),
    ] {
        site::start_plain(&store, &record, id, zone, BOOKING_WORK, &runs)?;
    }
    let second_store = store.at_another_address()?;
    let first = Instance::start(&record, "edge-arita-1", "arita", store.address)?;
    let second = Instance::start(&record, "edge-hakata-1", "hakata", second_store.address)?;
    let bookings: Arc<Mutex<Vec<Booking>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|number| {
            let frontend = [first.frontend, second.frontend][number % 2];
            let (record, bookings) = (record.clone(), Arc::clone(&bookings));
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || book_until(&record, frontend, &bookings, &is_over))
        })
        .collect();
    thread::sleep(CONTACT);
    disturb(&store, &record)?;
    thread::sleep(CONTACT);
    leaving.report_draining(&store);
    let drained_at = Instant::now();
    record.line("the store accepts that i-order-1 drains");
    thread::sleep(DRAIN_AND_LONGER);
    leaving.exit();
    record.line("i-order-1 exits");
    thread::sleep(Duration::from_millis(1_000));
    is_over.store(true, Ordering::SeqCst);
    for requester in requesters {
        requester.join().expect("a requester does not panic");
    }

    let runs = runs.lock().expect("no panic holds the lock");
    let bookings = bookings.lock().expect("no panic holds the lock");
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.target == leaving.id && run.at > drained_at + DRAIN)
        .collect();
    let lost = bookings
        .iter()
        .filter(|booking| booking.sent_at > drained_at + DRAIN && booking.status != Some(200))
        .count();
    let summary = format!(
        "{} of {} bookings reached i-order-1 more than {DRAIN:?} after the store had accepted that \
         it drains; {lost} bookings that were sent later than that were not served",
        late.len(),
        bookings.len(),
    );
    record.line(&summary);
    for instance in [&first, &second] {
        for line in instance
            .log_lines("cannot list store objects")
            .iter()
            .take(2)
        {
            record.line(&format!("{} wrote: {line}", instance.name));
        }
    }
    println!("{summary}");
    if bookings.iter().all(|booking| booking.status != Some(200)) {
        return Err(std::io::Error::other("no booking was served"));
    }
    Ok(late.is_empty())
}

/// Books one crock after the other on a kept connection.
fn book_until(
    record: &Record,
    frontend: SocketAddr,
    bookings: &Mutex<Vec<Booking>>,
    is_over: &AtomicBool,
) {
    let give_up = Instant::now() + Duration::from_secs(60);
    let mut connection = None;
    while !is_over.load(Ordering::SeqCst) && Instant::now() < give_up {
        let Ok(mut requester) = connection
            .take()
            .map_or_else(|| Requester::connect(record, frontend), Ok)
        else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let id = requester::new_id();
        let sent_at = Instant::now();
        let answer = requester.call(&id, "POST /booking/b", BOOKING_LIMIT, &[], b"one crock");
        let status = answer.as_ref().ok().map(|answer| answer.status());
        if status == Some(200) {
            connection = Some(requester);
        }
        let mut bookings = bookings.lock().expect("no panic holds the lock");
        bookings.push(Booking { sent_at, status });
        drop(bookings);
        thread::sleep(Duration::from_millis(100));
    }
}
