//! The supervisor tree.
//!
//! A supervisor runs each child in a thread of its own. A child that returns an error is
//! restarted after a growing delay and counted. A panic is a broken invariant: the panic hook
//! that [`exit_on_panic`] installs ends the process, so no thread goes on with state that
//! a panic left half changed.

use std::io;
use std::panic;
use std::process;
use std::thread;
use std::thread::JoinHandle;

use log::error;
use log::warn;

use crate::metrics::ChildLabels;
use crate::metrics::Metrics;
use crate::stop_signal::StopSignal;
use arbutus_coord::Millis;

const FIRST_RESTART_DELAY_MS: Millis = Millis(50);
const LONGEST_RESTART_DELAY_MS: Millis = Millis(5_000);
const EXIT_STATUS_BROKEN_INVARIANT: i32 = 70;

/// The result of one run of a child; an error leads to a restart.
pub type ChildResult = Result<(), String>;

type Run = Box<dyn FnMut(&StopSignal) -> ChildResult + Send>;

enum Child {
    Task { name: &'static str, run: Run },
    Branch(Supervisor),
}

/// A node of the supervisor tree.
#[expect(missing_debug_implementations, reason = "children are closures")]
pub struct Supervisor {
    name: &'static str,
    children: Vec<Child>,
}

/// The threads of a started supervisor.
#[derive(Debug)]
pub struct Running {
    threads: Vec<JoinHandle<()>>,
}

impl Supervisor {
    /// Creates a supervisor without children.
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            children: Vec::new(),
        }
    }

    /// Adds a task that runs until the stop flag is raised.
    #[must_use]
    pub fn with_task(
        mut self,
        name: &'static str,
        run: impl FnMut(&StopSignal) -> ChildResult + Send + 'static,
    ) -> Self {
        self.children.push(Child::Task {
            name,
            run: Box::new(run),
        });
        self
    }

    /// Adds a subtree.
    #[must_use]
    pub fn with_branch(mut self, branch: Self) -> Self {
        self.children.push(Child::Branch(branch));
        self
    }

    /// Starts all children.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when a thread cannot be started.
    pub fn start(self, stop: &StopSignal, metrics: &Metrics) -> io::Result<Running> {
        let mut threads = Vec::new();
        for child in self.children {
            match child {
                Child::Task { name, run } => {
                    let stop = stop.clone();
                    let metrics = metrics.clone();
                    let branch = self.name;
                    threads.push(
                        thread::Builder::new()
                            .name(name.to_owned())
                            .spawn(move || supervise(branch, name, run, &stop, &metrics))?,
                    );
                }
                Child::Branch(branch) => threads.extend(branch.start(stop, metrics)?.threads),
            }
        }
        Ok(Running { threads })
    }
}

impl Running {
    /// Waits until all threads have ended.
    pub fn join(self) {
        for thread in self.threads {
            // A panic has already ended the process through the hook.
            drop(thread.join());
        }
    }
}

fn supervise(
    branch: &'static str,
    name: &'static str,
    mut run: Run,
    stop: &StopSignal,
    metrics: &Metrics,
) {
    let mut delay_ms = FIRST_RESTART_DELAY_MS;
    while !stop.is_raised() {
        let Err(reason) = run(stop) else { return };
        metrics
            .child_restarts
            .get_or_create(&ChildLabels {
                child: name.to_owned(),
            })
            .inc();
        warn!(branch, child = name, reason = reason.as_str(); "child failed and will be restarted");
        if stop.wait(delay_ms) {
            return;
        }
        delay_ms = delay_ms.times(2).min(LONGEST_RESTART_DELAY_MS);
    }
}

/// Makes every panic end the process after it has been logged.
pub fn exit_on_panic() {
    panic::set_hook(Box::new(|info| {
        error!(info:% = info; "broken invariant, the process stops");
        process::exit(EXIT_STATUS_BROKEN_INVARIANT);
    }));
}
