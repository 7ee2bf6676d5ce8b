//! A short soak test with a fixed seed, and with the seeds that have failed before.

use std::path::PathBuf;
use std::time::Duration;

use arbutus_standins::soak;
use arbutus_standins::soak::SoakSpec;

/// With this seed, each kind of fault occurs within [`FIXED_SECONDS`].
const FIXED_SEED: u64 = 11;
const FIXED_SECONDS: u64 = 6;
const INSTANCES: usize = 4;
const CLIENTS: usize = 8;
/// Seeds that have failed before, one per line: seed, seconds, cause.
const KNOWN_SEEDS: &str = include_str!("../../../KNOWN-SEEDS.txt");

fn run_soak(seed: u64, seconds: u64) {
    let result = soak::run(&SoakSpec {
        program: PathBuf::from(env!("CARGO_BIN_EXE_arbutusd")),
        directory: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        seed,
        instances: INSTANCES,
        clients: CLIENTS,
        duration: Duration::from_secs(seconds),
    });
    let result = result.expect("the soak test starts");
    assert!(
        result.violations.is_empty(),
        "seed {seed}, logs {:?}:\n{}",
        result.logs,
        result.violations.join("\n")
    );
    assert!(result.served * 2 > result.requests, "{result:?}");
}

#[test]
fn short_soak_violates_no_invariant() {
    run_soak(FIXED_SEED, FIXED_SECONDS);
}

#[test]
fn known_seeds_violate_no_invariant() {
    for line in KNOWN_SEEDS.lines().filter(|line| !line.starts_with('#')) {
        let mut words = line.split_whitespace();
        let mut number = || words.next().and_then(|word| word.parse().ok());
        let (seed, seconds) = (number(), number());
        run_soak(seed.expect("a seed"), seconds.expect("seconds"));
    }
}
