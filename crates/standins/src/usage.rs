//! CPU time, memory and threads of a process, read from the proc file system.

use std::fs;
use std::io;
use std::time::Duration;

/// The unit of times in `/proc` on Linux (`USER_HZ`), which is independent of the kernel's tick
/// rate.
const TICKS_PER_SECOND: u64 = 100;
/// Index of the user time (`utime`) in `/proc/PID/stat`, counted from the field after the program
/// name.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time (`stime`), counted in the same way.
const SYSTEM_TIME_FIELD: usize = 12;

/// Resource usage of a process at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// User and system time since the start of the process.
    pub cpu_time: Duration,
    /// Resident memory in kilobytes.
    pub resident_kb: u64,
    /// Largest resident memory since the start of the process, in kilobytes.
    pub peak_resident_kb: u64,
    /// Number of threads.
    pub threads: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exist or the proc file system cannot be read.
    pub fn read(process_id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat"))?;
        // The program name may contain spaces and parentheses; it ends at the last parenthesis.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks =
            field_or_zero(&fields, USER_TIME_FIELD) + field_or_zero(&fields, SYSTEM_TIME_FIELD);
        let status = fs::read_to_string(format!("/proc/{process_id}/status"))?;
        Ok(Self {
            cpu_time: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            resident_kb: status_value_or_zero(&status, "VmRSS:"),
            peak_resident_kb: status_value_or_zero(&status, "VmHWM:"),
            threads: status_value_or_zero(&status, "Threads:"),
        })
    }
}

/// Returns the number of files and connections that a process has open.
///
/// # Errors
///
/// Returns an error if the process does not exist or the proc file system cannot be read.
pub fn open_file_count(process_id: u32) -> io::Result<usize> {
    Ok(fs::read_dir(format!("/proc/{process_id}/fd"))?.count())
}

fn field_or_zero(fields: &[&str], index: usize) -> u64 {
    fields
        .get(index)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0)
}

fn status_value_or_zero(status: &str, name: &str) -> u64 {
    status
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
