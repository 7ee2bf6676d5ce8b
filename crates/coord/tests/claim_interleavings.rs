//! Tests under random delays, losses, duplicates, pauses and crashes that a non-idempotent request is
//! not executed twice, is not lost without a record, and is not reported as not executed although it
//! was.

mod claim_simulation;

use std::collections::BTreeSet;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use arbutus_coord::claim::ClaimState;
use arbutus_coord::claim::Shard;
use claim_simulation::Outcome;
use claim_simulation::Simulation;

const DEFAULT_SEED: u64 = 20_261_204;
const SCRIPT_LENGTH: usize = 600;
const SCRIPTS: u64 = 2_000;

fn seed() -> u64 {
    let text = std::env::var("ARBUTUS_SEED").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED)
}

fn check_script(script: Vec<u16>) -> TestResult {
    let mut simulation = Simulation::new(script);
    let shard = simulation.run();
    let mut failures = simulation.failures.clone();
    check_executions(&simulation, &mut failures);
    check_outcomes(&simulation, &mut failures);
    check_records(&simulation, &shard, &mut failures);
    if failures.is_empty() {
        TestResult::passed()
    } else {
        TestResult::error(format!("seed {}: {}", seed(), failures.join("; ")))
    }
}

/// Checks that each key is executed at most once.
fn check_executions(simulation: &Simulation, failures: &mut Vec<String>) {
    for (key, executions) in &simulation.executions {
        if executions.len() > 1 {
            failures.push(format!(
                "{key} was executed {} times: {executions:?}",
                executions.len()
            ));
        }
    }
}

/// Checks that each call which a surviving instance accepted has an outcome, and that it is correct.
fn check_outcomes(simulation: &Simulation, failures: &mut Vec<String>) {
    for (attempt, (key, boot_id)) in &simulation.accepted {
        let executions = simulation
            .executions
            .get(key)
            .map_or(&[][..], Vec::as_slice);
        match simulation.outcomes.get(attempt) {
            None if simulation.is_running(*boot_id) => {
                failures.push(format!("{attempt} has no outcome"))
            }
            Some(Outcome::NotExecuted | Outcome::Conflict) if executions.contains(attempt) => {
                failures.push(format!(
                    "{attempt} was executed but reported as not executed"
                ));
            }
            Some(Outcome::Response(Some(body))) => {
                let expected: Vec<String> = executions
                    .iter()
                    .map(|attempt| format!("ran as {attempt}"))
                    .collect();
                if !expected.contains(body) {
                    failures.push(format!(
                        "{attempt} got the response of another request: {body}"
                    ));
                }
            }
            _ => {}
        }
    }
}

/// Checks that each execution is settled with its own response or marked as unknown, and that no
/// other request is settled.
fn check_records(simulation: &Simulation, shard: &Shard, failures: &mut Vec<String>) {
    if simulation.undecided_commands() > 0 {
        failures.push(format!(
            "{} final commands are undecided",
            simulation.undecided_commands()
        ));
    }
    if let Err(error) = shard.verify() {
        failures.push(error.to_string());
    }
    for (key, executions) in &simulation.executions {
        let record = simulation.record(shard, key);
        let has_record = record.is_some_and(|record| {
            executions.contains(&record.attempt) && record.state != ClaimState::Released
        });
        if !has_record {
            failures.push(format!("{key} was executed but has no record"));
        }
    }
    let keys: BTreeSet<_> = simulation.accepted.values().map(|(key, _)| key).collect();
    let records = keys
        .into_iter()
        .map(|key| (key, simulation.record(shard, key)));
    for (key, record) in records {
        let Some(record) = record else { continue };
        let executions = simulation.executions.get(key);
        let was_executed =
            executions.is_some_and(|executions| executions.contains(&record.attempt));
        match &record.state {
            ClaimState::Claimed => failures.push(format!("{key} is still claimed: {record:?}")),
            ClaimState::Settled { response, .. } => {
                if response.body != Some(format!("ran as {}", record.attempt)) || !was_executed {
                    failures.push(format!("{key} has a wrong record: {record:?}"));
                }
            }
            ClaimState::Released if was_executed => {
                failures.push(format!("{key} was released although it was executed"))
            }
            ClaimState::Released | ClaimState::Unknown { .. } => {}
        }
    }
}

#[test]
fn every_request_executes_at_most_once_and_has_a_correct_record() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SCRIPT_LENGTH, seed()))
        .tests(SCRIPTS)
        .max_tests(SCRIPTS)
        .quickcheck(check_script as fn(Vec<u16>) -> TestResult);
}
