//! Instances as processes, as the platform starts them.

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::process::Command;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::process::Process;
use crate::simulated_platform::client::ClientRequest;
use arbutus_coord::Millis;
use arbutus_platform::names::READINESS_PATH;
use arbutus_platform::settings;
use arbutus_platform::settings::InstanceSettings;
use arbutus_policy::serving::retry_budget::RetryLimits;

/// How long an instance may take until it is ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// How long one wait for the end of a process lasts; there are as many as it takes.
const ONE_WAIT: Duration = Duration::from_secs(1);
const POLL: Duration = Duration::from_millis(20);

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// A running instance; it is killed when dropped.
#[derive(Debug)]
pub struct InstanceProcess {
    process: Process,
    program: PathBuf,
    settings: InstanceSettings,
    file: PathBuf,
    keeps_log: bool,
}

impl InstanceProcess {
    /// Starts an instance with an address of its own on the loopback network.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be started.
    pub fn start(
        program: &Path,
        directory: &Path,
        store: SocketAddrV4,
        failure_domain: &str,
    ) -> io::Result<Self> {
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let network = u8::try_from(process::id() % 200).unwrap_or(0) + 20;
        let ip = Ipv4Addr::new(127, network, 1, host);
        let settings = InstanceSettings {
            name: format!("instance-{host}"),
            ip,
            failure_domain: failure_domain.to_owned(),
            client_address: SocketAddrV4::new(ip, 8_625),
            readiness_address: SocketAddrV4::new(ip, 8_621),
            peer_ports: (7_740, 7_755),
            store_address: store,
            memory_bytes: 128 * 1_048_576,
            shutdown_grace_ms: Millis(5_000),
            retry_limits: RetryLimits {
                ratio: 0.2,
                extra_retries: 119.0,
                window_ms: Millis(10_000),
            },
            cold_rate_factor: 1.5,
            extra_cold_rate_per_s: 5.0,
        };
        let file = directory.join(format!("settings-{}-{host}.toml", process::id()));
        let text = settings::encode(&settings).map_err(io::Error::other)?;
        fs::write(&file, text)?;
        let process = spawn(program, &settings.name, &file)?;
        Ok(Self {
            process,
            program: program.to_owned(),
            settings,
            file,
            keeps_log: false,
        })
    }

    /// Starts the instance again with the same settings, after its process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process = spawn(&self.program, &self.settings.name, &self.file)?;
        Ok(())
    }

    /// Keeps the log of the instance's processes, and returns where it is.
    pub fn keep_log(&mut self) -> PathBuf {
        self.keeps_log = true;
        log_file(&self.file)
    }

    /// Returns where clients connect.
    #[must_use]
    pub fn client_address(&self) -> SocketAddrV4 {
        self.settings.client_address
    }

    /// Returns whether the instance says that it is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let asked = ClientRequest::new("GET", READINESS_PATH, "-");
        let answer = asked.call(self.settings.readiness_address);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the instance is ready.
    ///
    /// # Errors
    ///
    /// Returns an error when it is not ready in time.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let end = Instant::now() + READY_WITHIN;
        while !self.is_ready() {
            if Instant::now() > end {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(POLL);
        }
        Ok(())
    }

    /// Asks the instance to stop.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be signalled.
    pub fn terminate(&self) -> io::Result<()> {
        self.process.terminate()
    }

    /// Stops the process until it is resumed.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be signalled.
    pub fn pause(&self) -> io::Result<()> {
        self.process.pause()
    }

    /// Resumes a paused process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be signalled.
    pub fn resume(&self) -> io::Result<()> {
        self.process.resume()
    }

    /// Ends the process at once.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be killed.
    pub fn kill(&mut self) -> io::Result<()> {
        self.process.kill()
    }

    /// Waits until the process has ended, and returns whether it ended well.
    ///
    /// # Errors
    ///
    /// Returns an error when its state cannot be read.
    pub fn wait(&mut self) -> io::Result<bool> {
        loop {
            if let Some(status) = self.process.wait(ONE_WAIT)? {
                return Ok(status.success());
            }
        }
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _left = fs::remove_file(&self.file);
        // The log of a failed test says why.
        if !self.keeps_log && !thread::panicking() {
            let _left = fs::remove_file(log_file(&self.file));
        }
    }
}

fn log_file(settings: &Path) -> PathBuf {
    settings.with_extension("log")
}

fn spawn(program: &Path, name: &str, settings: &Path) -> io::Result<Process> {
    let mut command = Command::new(program);
    command
        .arg("--platform")
        .env(settings::SETTINGS_PATH_VARIABLE, settings);
    Process::start(name, &mut command, &log_file(settings))
}
