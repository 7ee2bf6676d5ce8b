//! Processor time and memory of a process, read from the proc file system.

use std::fs;
use std::io;
use std::time::Duration;

/// The clock ticks per second that Linux uses in `/proc`, whatever the kernel's own rate.
const TICKS_PER_SECOND: u64 = 100;
/// The index of the user time among the fields after the program's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// The processor time.
    pub cpu_time: Duration,
    /// The resident memory, in kilobytes.
    pub resident_kb: u64,
    /// The number of threads.
    pub threads: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// Returns why the proc file system cannot be read.
    pub fn read(process_id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat"))?;
        // The program's name may contain spaces, but the last parenthesis ends it.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = number(&fields, USER_TIME_FIELD) + number(&fields, SYSTEM_TIME_FIELD);
        let status = fs::read_to_string(format!("/proc/{process_id}/status"))?;
        Ok(Self {
            cpu_time: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            resident_kb: status_field(&status, "VmRSS:"),
            threads: status_field(&status, "Threads:"),
        })
    }
}

fn number(fields: &[&str], index: usize) -> u64 {
    fields
        .get(index)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0)
}

fn status_field(status: &str, name: &str) -> u64 {
    status
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
