//! Structured logging to standard output.
//!
//! A separate thread writes the lines from a bounded queue, so that a slow consumer of the output
//! never delays a request. Lines that do not fit into the queue are dropped and counted. The
//! housekeeping task logs the count; if that line is dropped too, it logs the new count later.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use env_logger::Target;
use log::LevelFilter;

/// Capacity of the queue in lines: about two seconds of output of a busy instance.
const MAX_QUEUED_LINES: usize = 1_024;

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

struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: DroppedLineCount,
}

impl Write for QueueWriter {
    /// Queues one complete line; the logger formats a line before writing it.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(buf.to_vec()).is_err() {
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
pub fn start(level: LevelFilter) -> io::Result<DroppedLineCount> {
    let (lines, queue) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
    let dropped = DroppedLineCount::default();
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || {
            let mut output = io::stdout().lock();
            for line in queue {
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
        lines,
        dropped: dropped.clone(),
    };
    env_logger::Builder::new()
        .filter_level(LevelFilter::Warn)
        .filter_module("arbutus_serving", level)
        .format(write_line)
        .target(Target::Pipe(Box::new(writer)))
        .init();
    Ok(dropped)
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
