//! A tree of supervised threads.
//!
//! A supervisor runs each task in its own thread. When a task returns an error, the supervisor
//! counts the failure and restarts the task after an exponential delay. A panic ends the process
//! through the hook that [`exit_on_panic`] installs, so that no thread continues with state that
//! the panic left inconsistent.

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

const INITIAL_RESTART_DELAY_MS: Millis = Millis(50);
const MAX_RESTART_DELAY_MS: Millis = Millis(5_000);
const EXIT_STATUS_PANIC: i32 = 70;

/// The result of one run of a task; an error leads to a restart.
pub type ChildResult = Result<(), String>;

type TaskFn = Box<dyn FnMut(&StopSignal) -> ChildResult + Send>;

enum Child {
    Task { name: &'static str, run: TaskFn },
    Subtree(Supervisor),
}

/// A node of the supervisor tree, with tasks and further supervisors as children.
#[expect(missing_debug_implementations, reason = "tasks are closures")]
pub struct Supervisor {
    name: &'static str,
    children: Vec<Child>,
}

/// The threads of a started supervisor tree.
#[derive(Debug)]
pub struct RunningTasks {
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

    /// Adds a task that runs until the stop signal is raised.
    ///
    /// The name becomes the thread name and the label of the restart metric.
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

    /// Adds a supervisor as a child.
    #[must_use]
    pub fn with_subtree(mut self, subtree: Self) -> Self {
        self.children.push(Child::Subtree(subtree));
        self
    }

    /// Starts a thread for each task of the tree.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if a thread cannot be started.
    pub fn start(self, stop: &StopSignal, metrics: &Metrics) -> io::Result<RunningTasks> {
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
                Child::Subtree(subtree) => threads.extend(subtree.start(stop, metrics)?.threads),
            }
        }
        Ok(RunningTasks { threads })
    }
}

impl RunningTasks {
    /// Waits until all threads have ended.
    pub fn join(self) {
        for thread in self.threads {
            // A panic ends the process in the panic hook, so the result needs no check.
            drop(thread.join());
        }
    }
}

fn supervise(
    branch: &'static str,
    name: &'static str,
    mut task: TaskFn,
    stop: &StopSignal,
    metrics: &Metrics,
) {
    let mut delay_ms = INITIAL_RESTART_DELAY_MS;
    while !stop.is_raised() {
        let Err(reason) = task(stop) else { return };
        metrics
            .child_restarts
            .get_or_create(&ChildLabels {
                child: name.to_owned(),
            })
            .inc();
        warn!(branch, child = name, reason = reason.as_str(); "task failed; restarting it after a delay");
        if stop.wait(delay_ms) {
            return;
        }
        delay_ms = delay_ms.times(2).min(MAX_RESTART_DELAY_MS);
    }
}

/// Installs a panic hook that logs the panic and exits the process.
pub fn exit_on_panic() {
    panic::set_hook(Box::new(|info| {
        error!(info:% = info; "thread panicked; exiting the process");
        process::exit(EXIT_STATUS_PANIC);
    }));
}
