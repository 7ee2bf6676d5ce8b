//! Structured logging to standard output.
//!
//! A separate thread writes the lines from a bounded queue, so that a slow consumer of the output
//! never delays a request. Lines that do not fit into the queue are dropped and counted. The
//! housekeeping task logs the count; if that line is dropped too, it logs the new count later. The
//! logger is never dropped, so the process drains the queue explicitly before it exits.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use env_logger::Target;
use log::LevelFilter;

/// Capacity of the queue in lines: about two seconds of output of a busy instance.
const MAX_QUEUED_LINES: usize = 1_024;
/// How often a drain checks whether a full queue has space for its marker.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The number of log lines that were dropped.
#[derive(Clone, Debug, Default)]
pub struct DroppedLineCount(Arc<AtomicU64>);

impl DroppedLineCount {
    /// Returns the number of lines dropped since the process started.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

enum QueueEntry {
    Line(Vec<u8>),
    /// Marks the end of a drain; acknowledged when all earlier lines are written.
    DrainMarker(SyncSender<()>),
}

/// The queue of the logging thread.
#[derive(Debug)]
pub struct LogQueue {
    entries: SyncSender<QueueEntry>,
    dropped: DroppedLineCount,
}

impl LogQueue {
    /// Returns the count of dropped lines, which is updated until the process exits.
    #[must_use]
    pub fn dropped_lines(&self) -> DroppedLineCount {
        self.dropped.clone()
    }

    /// Waits until the lines that are queued now are written, at most for `timeout`. Lines that the
    /// output has not taken by then are lost if the process exits.
    pub fn drain(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let (acknowledgement, acknowledged) = sync_channel(1);
        let mut marker = QueueEntry::DrainMarker(acknowledgement);
        // `SyncSender` can wait for space without a bound or not at all.
        while let Err(TrySendError::Full(rejected)) = self.entries.try_send(marker) {
            if Instant::now() >= deadline {
                return;
            }
            marker = rejected;
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        // Fails if the output is too slow or closed; there is no other place to report that.
        let _incomplete =
            acknowledged.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

struct QueueWriter {
    entries: SyncSender<QueueEntry>,
    dropped: DroppedLineCount,
}

impl Write for QueueWriter {
    /// Queues one complete line; the logger formats a line before writing it.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let line = QueueEntry::Line(buf.to_vec());
        if self.entries.try_send(line).is_err() {
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts the logging thread and installs the logger.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
pub fn start(level: LevelFilter) -> io::Result<LogQueue> {
    let (entries, queue) = sync_channel(MAX_QUEUED_LINES);
    let dropped = DroppedLineCount::default();
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || {
            let mut output = io::stdout().lock();
            for entry in queue {
                let line = match entry {
                    QueueEntry::Line(line) => line,
                    QueueEntry::DrainMarker(acknowledgement) => {
                        // Fails if the drain has timed out.
                        let _timed_out = acknowledgement.try_send(());
                        continue;
                    }
                };
                // Standard output is the only place where the failure could be reported.
                if output
                    .write_all(&line)
                    .and_then(|()| output.flush())
                    .is_err()
                {
                    return;
                }
            }
        })?;
    let writer = QueueWriter {
        entries: entries.clone(),
        dropped: dropped.clone(),
    };
    env_logger::Builder::new()
        .filter_level(LevelFilter::Warn)
        .filter_module("arbutus_serving", level)
        .format(write_line)
        .target(Target::Pipe(Box::new(writer)))
        .init();
    Ok(LogQueue { entries, dropped })
}

/// Writes each key-value pair as `key=value`, quoted if necessary.
struct KeyValueWriter<'a>(&'a mut env_logger::fmt::Formatter);

impl<'kvs> log::kv::VisitSource<'kvs> for KeyValueWriter<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let written = if text.contains([' ', '"', '=']) {
            write!(self.0, " {key}={text:?}")
        } else {
            write!(self.0, " {key}={text}")
        };
        written.map_err(log::kv::Error::boxed)
    }
}

fn write_line(
    formatter: &mut env_logger::fmt::Formatter,
    record: &log::Record<'_>,
) -> io::Result<()> {
    let time = formatter.timestamp_millis();
    write!(
        formatter,
        "time={time} level={} msg=\"{}\"",
        record.level(),
        record.args()
    )?;
    record
        .key_values()
        .visit(&mut KeyValueWriter(formatter))
        .map_err(io::Error::other)?;
    writeln!(formatter)
}
