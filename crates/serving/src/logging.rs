//! Structured logs on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so a slow reader of the output
//! never delays a request. Lines that do not fit are dropped and counted; housekeeping logs the
//! count, again if that line is dropped too.

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

/// The lines that may wait for the output: about two seconds of a busy instance.
const QUEUED_LINES: usize = 1_024;

/// Counts what the log dropped.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Returns the number of lines that were dropped since the start.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: DroppedLines,
}

impl Write for QueueWriter {
    /// Takes one whole line; the logger formats a line before it writes.
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

/// Starts the log of the process.
///
/// # Errors
///
/// Returns an error when the writing thread cannot be started.
pub fn start(level: LevelFilter) -> io::Result<DroppedLines> {
    let (lines, queue) = sync_channel::<Vec<u8>>(QUEUED_LINES);
    let dropped = DroppedLines::default();
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || {
            let mut output = io::stdout().lock();
            for line in queue {
                // Without an output there is nowhere to report the failure to.
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

/// Writes each pair as `key=value`, quoted where needed.
struct Pairs<'a>(&'a mut env_logger::fmt::Formatter);

impl<'kvs> log::kv::VisitSource<'kvs> for Pairs<'_> {
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
        .visit(&mut Pairs(formatter))
        .map_err(io::Error::other)?;
    writeln!(formatter)
}
