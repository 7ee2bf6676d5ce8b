//! Child processes that are stopped by their identifier.

use std::fs::File;
use std::io;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

const EXIT_POLL: Duration = Duration::from_millis(10);

/// A child process; it is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program whose output goes to a log file.
    ///
    /// # Errors
    ///
    /// Returns why the program or its log file cannot be opened.
    pub fn start(name: &str, command: &mut Command, log: &Path) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let errors = output.try_clone()?;
        let child = command
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|error| {
                let program = command.get_program().to_string_lossy();
                io::Error::new(error.kind(), format!("starting {program}: {error}"))
            })?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process identifier.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks the process to shut down gracefully.
    ///
    /// # Errors
    ///
    /// Returns why the signal cannot be sent.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Stops the process from running until [`Process::resume`].
    ///
    /// # Errors
    ///
    /// Returns why the signal cannot be sent.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a paused process run again.
    ///
    /// # Errors
    ///
    /// Returns why the signal cannot be sent.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns why the process cannot be killed.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits for the end of the process, and returns nothing when it still runs after the span.
    ///
    /// # Errors
    ///
    /// Returns why the process cannot be waited for.
    pub fn wait(&mut self, span: Duration) -> io::Result<Option<ExitStatus>> {
        let end = Instant::now() + span;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= end {
                return Ok(None);
            }
            thread::sleep(EXIT_POLL);
        }
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A child that has ended already cannot be killed, which is no fault here.
        drop(self.kill());
    }
}
