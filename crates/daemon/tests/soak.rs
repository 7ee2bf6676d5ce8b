//! A short soak with a fixed seed, and the seeds that failed once.

use std::path::PathBuf;
use std::time::Duration;

use arbutus_standins::soak;
use arbutus_standins::soak::SoakSpec;

/// A seed whose faults include each kind within the time.
const FIXED_SEED: u64 = 11;
const FIXED_SECONDS: u64 = 6;
const INSTANCES: usize = 4;
const CLIENTS: usize = 8;
/// The seeds that failed once, one a line: seed, seconds, cause.
const KNOWN_SEEDS: &str = include_str!("../../../KNOWN-SEEDS.txt");

fn run(seed: u64, seconds: u64) {
    let result = soak::run(&SoakSpec {
        program: PathBuf::from(env!("CARGO_BIN_EXE_arbutusd")),
        directory: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        seed,
        instances: INSTANCES,
        clients: CLIENTS,
        duration: Duration::from_secs(seconds),
    });
    let result = result.expect("the soak runs");
    assert!(
        result.violations.is_empty(),
        "seed {seed}, logs {:?}:\n{}",
        result.logs,
        result.violations.join("\n")
    );
    assert!(result.served * 2 > result.requests, "{result:?}");
}

#[test]
fn a_short_soak_breaks_no_promise() {
    run(FIXED_SEED, FIXED_SECONDS);
}

#[test]
fn seeds_that_failed_once_break_no_promise() {
    for line in KNOWN_SEEDS.lines().filter(|line| !line.starts_with('#')) {
        let mut words = line.split_whitespace();
        let mut number = || words.next().and_then(|word| word.parse().ok());
        let (seed, seconds) = (number(), number());
        run(seed.expect("a seed"), seconds.expect("seconds"));
    }
}
