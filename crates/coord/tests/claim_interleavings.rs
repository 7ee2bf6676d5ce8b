//! Guards against a non-idempotent request that runs twice, is lost without a record, or is
//! refused as not run although it ran.

mod claim_world;

use std::collections::BTreeSet;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use arbutus_coord::claim::ClaimState;
use arbutus_coord::claim::Shard;
use claim_world::Ending;
use claim_world::World;

const DEFAULT_SEED: u64 = 20_261_204;
const SCRIPT_LENGTH: usize = 600;
const SCRIPTS: u64 = 2_000;

fn seed() -> u64 {
    let text = std::env::var("ARBUTUS_SEED").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED)
}

fn check(script: Vec<u16>) -> TestResult {
    let mut world = World::new(script);
    let shard = world.run();
    let mut faults = world.faults.clone();
    check_runs(&world, &mut faults);
    check_endings(&world, &mut faults);
    check_records(&world, &shard, &mut faults);
    if faults.is_empty() {
        TestResult::passed()
    } else {
        TestResult::error(format!("seed {}: {}", seed(), faults.join("; ")))
    }
}

/// Each key runs at most once.
fn check_runs(world: &World, faults: &mut Vec<String>) {
    for (key, runs) in &world.runs {
        if runs.len() > 1 {
            faults.push(format!("{key} ran {} times: {runs:?}", runs.len()));
        }
    }
}

/// Each call that a surviving instance accepted has a true ending.
fn check_endings(world: &World, faults: &mut Vec<String>) {
    for (attempt, (key, boot_id)) in &world.accepted {
        let runs = world.runs.get(key).map_or(&[][..], Vec::as_slice);
        match world.endings.get(attempt) {
            None if world.is_running(*boot_id) => faults.push(format!("{attempt} has no ending")),
            Some(Ending::NotRun | Ending::Conflict) if runs.contains(attempt) => {
                faults.push(format!("{attempt} ran but was refused as not run"));
            }
            Some(Ending::Answer(Some(body))) => {
                let expected: Vec<String> =
                    runs.iter().map(|run| format!("ran as {run}")).collect();
                if !expected.contains(body) {
                    faults.push(format!(
                        "{attempt} has a response of another request: {body}"
                    ));
                }
            }
            _ => {}
        }
    }
}

/// Each run is settled with its own response or listed as unknown, and nothing else is.
fn check_records(world: &World, shard: &Shard, faults: &mut Vec<String>) {
    if world.undecided() > 0 {
        faults.push(format!(
            "{} closing commands are undecided",
            world.undecided()
        ));
    }
    if let Err(error) = shard.verify() {
        faults.push(error.to_string());
    }
    for (key, runs) in &world.runs {
        let record = world.record(shard, key);
        let listed = record.is_some_and(|record| {
            runs.contains(&record.attempt) && record.state != ClaimState::Released
        });
        if !listed {
            faults.push(format!("{key} ran but has no record"));
        }
    }
    let keys: BTreeSet<_> = world.accepted.values().map(|(key, _)| key).collect();
    let records = keys.into_iter().map(|key| (key, world.record(shard, key)));
    for (key, record) in records {
        let Some(record) = record else { continue };
        let runs = world.runs.get(key);
        let ran = runs.is_some_and(|runs| runs.contains(&record.attempt));
        match &record.state {
            ClaimState::Claimed => faults.push(format!("{key} is still claimed: {record:?}")),
            ClaimState::Settled { response, .. } => {
                if response.body != Some(format!("ran as {}", record.attempt)) || !ran {
                    faults.push(format!("{key} has a wrong record: {record:?}"));
                }
            }
            ClaimState::Released if ran => faults.push(format!("{key} was released but ran")),
            ClaimState::Released | ClaimState::Unknown { .. } => {}
        }
    }
}

#[test]
fn every_request_runs_at_most_once_and_ends_with_a_true_record() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SCRIPT_LENGTH, seed()))
        .tests(SCRIPTS)
        .max_tests(SCRIPTS)
        .quickcheck(check as fn(Vec<u16>) -> TestResult);
}
