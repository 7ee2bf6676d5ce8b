//! Guards against a started program that finds its port in use, because a child that another thread
//! forked meanwhile holds the listener of the search until it executes its program.

use std::env;
use std::net::TcpListener;
use std::process::Command;
use std::thread;
use std::time::Duration;

use arbutus_standins::fleet;
use arbutus_standins::process::Process;

#[test]
fn a_free_address_can_be_bound_while_processes_are_started() {
    const THREADS: usize = 12;
    const ROUNDS: usize = 60;
    let log = env::temp_dir().join(format!("ports-{}.log", std::process::id()));
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                for _ in 0..ROUNDS {
                    let address = fleet::free_address().expect("a port is free");
                    TcpListener::bind(address).expect("the port is free");
                    let mut command = Command::new("true");
                    let mut process =
                        Process::start("true", &mut command, &log).expect("a process starts");
                    let ended = process.wait(Duration::from_secs(5)).expect("it is a child");
                    assert!(ended.is_some());
                }
            });
        }
    });
    std::fs::remove_file(log).expect("the log exists");
}
