//! Tests under random delays, losses, duplicates, pauses and crashes that a non-idempotent request
//! is executed at most once, that each execution has a record, and that no executed request is
//! reported as not executed.

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
    let mut sim = Simulation::new(script);
    let shard = sim.run();
    let mut errors = sim.failures.clone();
    check_executions(&sim, &mut errors);
    check_outcomes(&sim, &mut errors);
    check_records(&sim, &shard, &mut errors);
    if errors.is_empty() {
        TestResult::passed()
    } else {
        TestResult::error(format!("seed {}: {}", seed(), errors.join("; ")))
    }
}

/// Checks that each key is executed at most once.
fn check_executions(sim: &Simulation, errors: &mut Vec<String>) {
    for (key, executions) in &sim.executions {
        if executions.len() > 1 {
            errors.push(format!(
                "{key} was executed {} times: {executions:?}",
                executions.len()
            ));
        }
    }
}

/// Checks that each call has an outcome if its instance still runs, and that the outcome is correct.
fn check_outcomes(sim: &Simulation, errors: &mut Vec<String>) {
    for (attempt, (key, boot_id)) in &sim.accepted {
        let executions = sim.executions.get(key).map_or(&[][..], Vec::as_slice);
        match sim.outcomes.get(attempt) {
            None if sim.is_running(*boot_id) => errors.push(format!("{attempt} has no outcome")),
            Some(Outcome::NotExecuted | Outcome::Conflict) if executions.contains(attempt) => {
                errors.push(format!(
                    "{attempt} was executed but reported as not executed"
                ));
            }
            Some(Outcome::Response(Some(body))) => {
                let expected: Vec<String> = executions
                    .iter()
                    .map(|attempt| format!("executed as {attempt}"))
                    .collect();
                if !expected.contains(body) {
                    errors.push(format!(
                        "{attempt} got the response of another request: {body}"
                    ));
                }
            }
            _ => {}
        }
    }
}

/// Checks that the claim of each executed request is settled with the response of the execution or
/// marked as unknown, and that no claim of another request is settled.
fn check_records(sim: &Simulation, shard: &Shard, errors: &mut Vec<String>) {
    if sim.undecided_commands() > 0 {
        errors.push(format!(
            "{} final commands are undecided",
            sim.undecided_commands()
        ));
    }
    if let Err(error) = shard.verify() {
        errors.push(error.to_string());
    }
    for (key, executions) in &sim.executions {
        let record = sim.record(shard, key);
        let has_record = record.is_some_and(|record| {
            executions.contains(&record.attempt) && record.state != ClaimState::Released
        });
        if !has_record {
            errors.push(format!("{key} was executed but has no record"));
        }
    }
    let keys: BTreeSet<_> = sim.accepted.values().map(|(key, _)| key).collect();
    let records = keys.into_iter().map(|key| (key, sim.record(shard, key)));
    for (key, record) in records {
        let Some(record) = record else { continue };
        let executions = sim.executions.get(key);
        let executed = executions.is_some_and(|executions| executions.contains(&record.attempt));
        match &record.state {
            ClaimState::Claimed => errors.push(format!("{key} is still claimed: {record:?}")),
            ClaimState::Settled { response, .. } => {
                if response.body != Some(format!("executed as {}", record.attempt)) || !executed {
                    errors.push(format!("{key} has a wrong record: {record:?}"));
                }
            }
            ClaimState::Released if executed => errors.push(format!("{key} executed but released")),
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
