//! Child processes with a log file, which can be signalled, paused and killed.

use std::fs::File;
use std::io;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use rustix::process::kill_process;

const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Held while a process is started and while a port is searched for. A child has all sockets of its
/// parent until it executes its program, so a port that is tried meanwhile would stay in use after
/// the search has closed it.
static START_LOCK: Mutex<()> = Mutex::new(());

/// Prevents the start of processes until the guard is dropped.
pub(crate) fn lock_starts() -> MutexGuard<'static, ()> {
    START_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A child process; it is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program and appends its standard output and error to a log file.
    ///
    /// `name` identifies the process to callers and is not passed to the program.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be opened or the program cannot be started.
    pub fn start(name: &str, command: &mut Command, log: &Path) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let error_output = output.try_clone()?;
        Self::start_with_output(name, command, output.into(), error_output.into())
    }

    /// Starts a program with this standard output and error.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn start_with_output(
        name: &str,
        command: &mut Command,
        output: Stdio,
        error_output: Stdio,
    ) -> io::Result<Self> {
        let _starts = lock_starts();
        let child = command
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(error_output)
            .spawn()
            .map_err(|error| {
                let program = command.get_program().to_string_lossy();
                io::Error::new(error.kind(), format!("cannot start {program}: {error}"))
            })?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Returns the name given to [`Process::start`].
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process identifier.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM, which requests a graceful shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Sends SIGHUP, which requests that the settings are read again.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn hang_up(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Limits the number of open files of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the limit cannot be set.
    pub fn limit_open_files(&self, count: u64) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        let limit = Rlimit {
            current: Some(count),
            maximum: Some(count),
        };
        rustix::process::prlimit(Pid::from_raw(pid), Resource::Nofile, limit)?;
        Ok(())
    }

    /// Suspends the process with SIGSTOP until [`Process::resume`].
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed or waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits until the process has ended; returns `None` if it is still running after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the process cannot be read.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // `drop` cannot return an error; none is expected, even if the child has already ended.
        drop(self.kill());
    }
}
