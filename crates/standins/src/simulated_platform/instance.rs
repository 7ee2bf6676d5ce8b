//! Starts instances as processes with a settings file, as the platform does.

use std::fs;
use std::io;
use std::io::PipeReader;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::process::Process;
use crate::simulated_platform::client::ClientRequest;
use crate::usage;
use crate::usage::ProcessUsage;
use arbutus_coord::Millis;
use arbutus_platform::names::READINESS_PATH;
use arbutus_platform::settings;
use arbutus_platform::settings::InstanceSettings;
use arbutus_policy::serving::retry_budget::RetryLimits;
use arbutus_policy::serving::rollout::RolloutLimits;

/// Time after SIGTERM after which the platform kills an instance.
pub const SHUTDOWN_GRACE_MS: Millis = Millis(5_000);
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Duration of one wait for the end of a process; waits are repeated until it has ended.
const EXIT_WAIT: Duration = Duration::from_secs(1);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Last byte of the loopback address of the next instance.
static NEXT_HOST_NUMBER: AtomicU8 = AtomicU8::new(1);

/// Sends a GET request to each instance, and returns the statuses of the responses.
///
/// # Panics
///
/// Panics if an instance does not accept the connection.
#[must_use]
pub fn statuses(instances: &[InstanceProcess], path: &str) -> Vec<u16> {
    let calls = instances.iter().map(|instance| {
        let response = ClientRequest::new("GET", path, path).call(instance.client_address());
        response.expect("the instance accepts connections").status
    });
    calls.collect()
}

/// Limits in the settings of an instance: on its process, and on roll-outs.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Memory of the process.
    pub memory_bytes: u64,
    /// Open files and connections; `None` to leave the field out of the settings file.
    pub file_descriptors: Option<u64>,
    /// Limits for roll-outs; `None` to leave the fields out of the settings file.
    pub rollout_limits: Option<RolloutLimits>,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self {
            memory_bytes: 128 * 1_048_576,
            file_descriptors: None,
            rollout_limits: None,
        }
    }
}

/// A running instance.
///
/// When it is dropped, its process is killed, and its settings file and log are deleted. The log is
/// kept after [`InstanceProcess::keep_log`] and if the test has panicked.
#[derive(Debug)]
pub struct InstanceProcess {
    process: Process,
    program: PathBuf,
    settings: InstanceSettings,
    settings_file: PathBuf,
    keep_log_file: bool,
}

impl InstanceProcess {
    /// Starts an instance that listens on a loopback address of its own.
    ///
    /// `program` is the executable `arbutusd`. The settings and the log are written to `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be written or the process cannot be started.
    pub fn start(
        program: &Path,
        directory: &Path,
        store: SocketAddrV4,
        failure_domain: &str,
    ) -> io::Result<Self> {
        let limits = ResourceLimits::default();
        Self::start_with_limits(program, directory, store, failure_domain, limits)
    }

    /// Starts an instance as [`InstanceProcess::start`] does, with these limits in its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be written or the process cannot be started.
    pub fn start_with_limits(
        program: &Path,
        directory: &Path,
        store: SocketAddrV4,
        failure_domain: &str,
        limits: ResourceLimits,
    ) -> io::Result<Self> {
        let host_number = NEXT_HOST_NUMBER.fetch_add(1, Ordering::Relaxed);
        // Test processes that run in parallel have different networks, so that the fixed ports below
        // do not conflict.
        let pid = process::id();
        let [network, subnet] = [pid / 250 % 200 + 20, pid % 250].map(|octet| octet as u8);
        let ip = Ipv4Addr::new(127, network, subnet, host_number);
        let settings = InstanceSettings {
            name: format!("instance-{host_number}"),
            ip,
            failure_domain: failure_domain.to_owned(),
            client_address: SocketAddrV4::new(ip, 8_625),
            readiness_address: SocketAddrV4::new(ip, 8_621),
            peer_ports: (7_740, 7_755),
            store_address: store,
            memory_bytes: limits.memory_bytes,
            file_descriptors: limits.file_descriptors,
            link_mbps: 10,
            shutdown_grace_ms: SHUTDOWN_GRACE_MS,
            retry_limits: RetryLimits {
                ratio: 0.2,
                extra_retries: 119.0,
                window_ms: Millis(10_000),
            },
            cold_rate_factor: 1.5,
            extra_cold_rate_per_s: 5.0,
            shares_target_load: false,
            rollout_limits: limits.rollout_limits,
        };
        let settings_file =
            directory.join(format!("settings-{}-{host_number}.toml", process::id()));
        let text = settings::encode(&settings).map_err(io::Error::other)?;
        fs::write(&settings_file, text)?;
        let process = spawn(program, &settings.name, &settings_file)?;
        Ok(Self {
            process,
            program: program.to_owned(),
            settings,
            settings_file,
            keep_log_file: false,
        })
    }

    /// Starts the instance again with the same settings, after its process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process = spawn(&self.program, &self.settings.name, &self.settings_file)?;
        Ok(())
    }

    /// Starts the instance again with the same settings, after its process has ended. Its log goes
    /// to the returned pipe, which a test may read slowly or not at all.
    ///
    /// # Errors
    ///
    /// Returns an error if the pipe cannot be created or the process cannot be started.
    pub fn restart_with_pipe(&mut self) -> io::Result<PipeReader> {
        let (reader, writer) = io::pipe()?;
        let mut command = command(&self.program, &self.settings_file);
        self.process = Process::start_with_output(
            &self.settings.name,
            &mut command,
            writer.into(),
            Stdio::inherit(),
        )?;
        Ok(reader)
    }

    /// Keeps the log file when the instance is dropped, and returns its path.
    pub fn keep_log(&mut self) -> PathBuf {
        self.keep_log_file = true;
        log_path(&self.settings_file)
    }

    /// Returns the resource usage of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or its usage cannot be read.
    pub fn usage(&self) -> io::Result<ProcessUsage> {
        ProcessUsage::read(self.process.id())
    }

    /// Returns the number of files and connections that the process has open.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn open_file_count(&self) -> io::Result<usize> {
        usage::open_file_count(self.process.id())
    }

    /// Returns the memory that the process may use according to its settings.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        self.settings.memory_bytes
    }

    /// Returns the name of the instance.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Returns the address for requests of clients.
    #[must_use]
    pub fn client_address(&self) -> SocketAddrV4 {
        self.settings.client_address
    }

    /// Returns the address for readiness probes.
    #[must_use]
    pub fn readiness_address(&self) -> SocketAddrV4 {
        self.settings.readiness_address
    }

    /// Returns whether the readiness path responds with status 200.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let request = ClientRequest::new("GET", READINESS_PATH, "-");
        let response = request.call(self.settings.readiness_address);
        response.is_ok_and(|response| response.status == 200)
    }

    /// Waits until the instance is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not ready within 10 seconds.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > deadline {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Sends SIGTERM, which requests a graceful shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be signalled.
    pub fn terminate(&self) -> io::Result<()> {
        self.process.terminate()
    }

    /// Sends SIGHUP, which requests that the settings are read again.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be signalled.
    pub fn hang_up(&self) -> io::Result<()> {
        self.process.hang_up()
    }

    /// Limits the number of open files of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the limit cannot be set.
    pub fn limit_open_files(&self, count: u64) -> io::Result<()> {
        self.process.limit_open_files(count)
    }

    /// Suspends the process until [`InstanceProcess::resume`].
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be signalled.
    pub fn pause(&self) -> io::Result<()> {
        self.process.pause()
    }

    /// Resumes a suspended process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be signalled.
    pub fn resume(&self) -> io::Result<()> {
        self.process.resume()
    }

    /// Kills the process with SIGKILL.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub fn kill(&mut self) -> io::Result<()> {
        self.process.kill()
    }

    /// Returns whether the process exited with status 0; `None` if it is still running.
    ///
    /// # Errors
    ///
    /// Returns an error if its state cannot be read.
    pub fn exit_success(&mut self) -> io::Result<Option<bool>> {
        let status = self.process.wait(Duration::ZERO)?;
        Ok(status.map(|status| status.success()))
    }

    /// Waits until the process has ended; returns whether it exited with status 0.
    ///
    /// # Errors
    ///
    /// Returns an error if its state cannot be read.
    pub fn wait(&mut self) -> io::Result<bool> {
        loop {
            if let Some(status) = self.process.wait(EXIT_WAIT)? {
                return Ok(status.success());
            }
        }
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _removed = fs::remove_file(&self.settings_file);
        // The log of a failed test is kept for its diagnosis.
        if !self.keep_log_file && !thread::panicking() {
            let _removed = fs::remove_file(log_path(&self.settings_file));
        }
    }
}

fn log_path(settings_file: &Path) -> PathBuf {
    settings_file.with_extension("log")
}

fn spawn(program: &Path, name: &str, settings_file: &Path) -> io::Result<Process> {
    let mut command = command(program, settings_file);
    Process::start(name, &mut command, &log_path(settings_file))
}

fn command(program: &Path, settings_file: &Path) -> Command {
    let mut command = Command::new(program);
    command
        .arg("--platform")
        .env(settings::SETTINGS_PATH_VARIABLE, settings_file);
    command
}
