//! Starts stand-ins and instances as child processes, and ends them by their handle.
//!
//! Stand-ins inside a test's own process are started with `Platform::start` and
//! `Target::start` on port 0.

use std::env;
use std::error::Error;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::target::TargetSpec;

/// How long a process may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
const EXIT_POLL: Duration = Duration::from_millis(20);
const LISTENING: &str = "listening ";

/// Why a process could not be started or signalled.
#[derive(Debug, displaydoc::Display)]
pub enum LaunchError {
    /// the program {0} is not built
    NotBuilt(String),
    /// the process cannot be started or signalled: {0}
    Io(io::Error),
    /// the process does not listen; its first line was "{0}"
    NotListening(String),
}

impl Error for LaunchError {}

impl From<io::Error> for LaunchError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Finds a program of the workspace beside the running one.
///
/// # Errors
///
/// Returns an error when the program is not built.
pub fn program(name: &str) -> Result<PathBuf, LaunchError> {
    let this = env::current_exe()?;
    // Test programs are in a directory below the one of the binaries.
    this.ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join(name))
        .find(|path| path.is_file())
        .ok_or_else(|| LaunchError::NotBuilt(name.to_owned()))
}

/// A child process, which is killed when the handle is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program with its output inherited.
    ///
    /// # Errors
    ///
    /// Returns an error when the program cannot be started.
    pub fn start(program: &Path, arguments: &[String]) -> Result<Self, LaunchError> {
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .spawn()?;
        Ok(Self { child })
    }

    /// Starts a program and waits for the address that it prints.
    ///
    /// # Errors
    ///
    /// Returns an error when the program cannot be started or does not listen in time.
    pub fn start_listening(
        program: &Path,
        arguments: &[String],
    ) -> Result<(Self, SocketAddr), LaunchError> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take();
        let process = Self { child };
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            let mut lines = stdout
                .map(BufReader::new)
                .into_iter()
                .flat_map(BufRead::lines);
            let first = lines.next().and_then(Result::ok).unwrap_or_default();
            // The receiver is gone when the start timed out.
            drop(sender.send(first));
            // The rest is read so that the process never blocks on its output.
            for line in lines.map_while(Result::ok) {
                println!("{line}");
            }
        });
        let first = receiver.recv_timeout(START_TIMEOUT).unwrap_or_default();
        let address = first
            .strip_prefix(LISTENING)
            .and_then(|text| text.parse().ok());
        match address {
            Some(address) => Ok((process, address)),
            None => Err(LaunchError::NotListening(first)),
        }
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&mut self) {
        // Killing a process that has exited already is no error.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Asks the process to end.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn terminate(&self) -> Result<(), LaunchError> {
        self.signal("-TERM")
    }

    /// Pauses the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn pause(&self) -> Result<(), LaunchError> {
        self.signal("-STOP")
    }

    /// Resumes the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent.
    pub fn resume(&self) -> Result<(), LaunchError> {
        self.signal("-CONT")
    }

    /// Waits until the process has exited, and returns `None` if it runs on.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be waited for.
    pub fn wait(&mut self, timeout: Duration) -> Result<Option<ExitStatus>, LaunchError> {
        let until = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= until {
                return Ok(None);
            }
            thread::sleep(EXIT_POLL);
        }
    }

    fn signal(&self, signal: &str) -> Result<(), LaunchError> {
        let id = self.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(LaunchError::Io(io::Error::other("kill failed")))
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts the platform as a child process.
///
/// # Errors
///
/// Returns an error when the program is not built or does not start.
pub fn platform(listen: SocketAddr) -> Result<(Process, SocketAddr), LaunchError> {
    let arguments = ["--listen".to_owned(), listen.to_string()];
    Process::start_listening(&program("arbutus-platform")?, &arguments)
}

/// Starts a target as a child process.
///
/// # Errors
///
/// Returns an error when the program is not built or does not start.
pub fn target(listen: SocketAddr, spec: &TargetSpec) -> Result<(Process, SocketAddr), LaunchError> {
    let mut arguments = vec!["--listen".to_owned(), listen.to_string()];
    arguments.extend(target_arguments(spec));
    Process::start_listening(&program("arbutus-target")?, &arguments)
}

/// Returns the command-line arguments that describe a target.
#[must_use]
pub fn target_arguments(spec: &TargetSpec) -> Vec<String> {
    let mut arguments = Vec::new();
    let mut option = |name: &str, value: &dyn ToString| {
        arguments.push(format!("--{name}"));
        arguments.push(value.to_string());
    };
    option("name", &spec.name);
    option("service", &spec.service);
    option("failure-domain", &spec.failure_domain);
    option("kind", &spec.kind);
    option("capacity", &spec.size.capacity);
    option("cold-capacity", &spec.size.cold_capacity);
    option("cold-ms", &spec.size.cold_ms.0);
    option("service-ms", &spec.service_ms.0);
    option("token-ms", &spec.token_ms.0);
    option("cached-prefixes", &spec.cached_prefixes);
    option("load-lag-ms", &spec.load_lag_ms.0);
    option("seed", &spec.seed);
    if let Some(platform) = &spec.platform {
        option("platform", platform);
    }
    if spec.deduplicates {
        arguments.push("--deduplicates".to_owned());
    }
    if spec.checks_fencing {
        arguments.push("--checks-fencing".to_owned());
    }
    arguments
}
