//! Guards against roll-outs that complete a bad version, give it more requests than allowed, or roll
//! back a good one, because the evidence of single instances is too small or because instances
//! disagree.

use std::env;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::rollout_model::World;
use crate::rollout_scenario::BadVersion;
use crate::rollout_scenario::Condition;
use crate::rollout_scenario::Harm;
use crate::rollout_scenario::Outcome;
use crate::rollout_scenario::Scenario;
use arbutus_policy::serving::rollout::RolloutLimits;
use arbutus_policy::serving::rollout::RolloutState;
use arbutus_policy::serving::rollout::VersionSide;

const DEFAULT_SEED: u64 = 20_261_206;
/// Time by which a rollback may be later while the store is unstable.
const OUTER_MS: u64 = 6_000;

/// Returns the seed of a case, derived from `ARBUTUS_SEED` or a default.
fn seed(case: u64) -> u64 {
    let base = env::var("ARBUTUS_SEED").map_or(DEFAULT_SEED, |seed| {
        seed.parse().expect("ARBUTUS_SEED is a number")
    });
    base + case
}

fn run(scenario: &Scenario, case: u64) -> Outcome {
    World::new(scenario.clone(), ChaCha8Rng::seed_from_u64(seed(case))).run()
}

/// Returns what is wrong with the result of a run.
fn violations(scenario: &Scenario, outcome: &Outcome) -> Vec<String> {
    let mut found = Vec::new();
    let expected = if scenario.bad.is_some() {
        RolloutState::RolledBack
    } else {
        RolloutState::Completed
    };
    match outcome.decisions[..] {
        [(at, state)] => {
            if state != expected {
                found.push(format!("decided {state}"));
            }
            if at > scenario.duration_ms {
                found.push(format!("decided {} ms late", at - scenario.duration_ms));
            }
        }
        [] => found.push("no decision".to_owned()),
        _ => found.push(format!("several decisions: {:?}", outcome.decisions)),
    }
    if outcome
        .decisions
        .iter()
        .any(|it| it.1 == RolloutState::Completed)
    {
        if outcome.old_in_flight_at_end > 0 {
            found.push(format!(
                "{} in progress at old targets",
                outcome.old_in_flight_at_end
            ));
        }
        if outcome.sent_old_after_end > 0 {
            found.push(format!(
                "{} sent to stopped targets",
                outcome.sent_old_after_end
            ));
        }
    }
    if scenario.bad.is_some() {
        let limits = RolloutLimits::default();
        let bound =
            limits.exposure_share * outcome.sent_all as f64 + limits.exposure_tolerance as f64;
        if outcome.sent_new as f64 > bound {
            found.push(format!("{} exposed, bound {bound}", outcome.sent_new));
        }
        let is_unstable = scenario.store_outage.is_some() || scenario.lost_writes > 0.0;
        let allowed_ms = limits.rollback_ms.0 + if is_unstable { OUTER_MS } else { 0 };
        if let Some(counted_at) = outcome.counted_at
            && outcome.last_sent_new_at > counted_at + allowed_ms
        {
            let late_ms = outcome.last_sent_new_at - counted_at;
            found.push(format!("exposed {late_ms} ms after the 50th bad response"));
        }
    }
    found
}

/// Runs scenarios several times and fails with all violations.
fn check(scenarios: &[(&str, Scenario)], runs: u64) {
    let mut failures = Vec::new();
    for (index, (name, scenario)) in scenarios.iter().enumerate() {
        for run_index in 0..runs {
            let case = index as u64 * 1_000 + run_index;
            let outcome = run(scenario, case);
            let found = violations(scenario, &outcome);
            if !found.is_empty() {
                failures.push(format!(
                    "{name}, ARBUTUS_SEED={} run {case}: {found:?}; {outcome:?}",
                    seed(0)
                ));
            }
        }
    }
    assert!(
        failures.is_empty(),
        "{} failures:\n{}",
        failures.len(),
        failures.join("\n")
    );
}

fn bad(harm: Harm, condition: Condition, fraction: f64) -> BadVersion {
    BadVersion {
        harm,
        condition,
        fraction,
    }
}

/// Returns a scenario of the given size for each kind of bad version.
fn bad_versions(base: &Scenario) -> Vec<(&'static str, Scenario)> {
    let later = Condition::Later(base.duration_ms / 6);
    // In 12 s, the new version gets about 25 requests of the rare route.
    let (rare_fails, rare_slow) = if base.duration_ms > 20_000 {
        (0.3, 0.5)
    } else {
        (0.6, 0.8)
    };
    [
        ("fails", bad(Harm::Fails, Condition::Always, 0.2)),
        ("slow", bad(Harm::IsSlow, Condition::Always, 0.3)),
        (
            "fails on the rare route",
            bad(Harm::Fails, Condition::OnRareRoute, rare_fails),
        ),
        (
            "slow on the rare route",
            bad(Harm::IsSlow, Condition::OnRareRoute, rare_slow),
        ),
        (
            "fails under load",
            bad(Harm::Fails, Condition::UnderLoad, 0.4),
        ),
        (
            "slow under load",
            bad(Harm::IsSlow, Condition::UnderLoad, 0.4),
        ),
        ("fails later", bad(Harm::Fails, later, 0.3)),
        ("slow later", bad(Harm::IsSlow, later, 0.4)),
    ]
    .map(|(name, bad)| {
        (
            name,
            Scenario {
                bad: Some(bad),
                ..base.clone()
            },
        )
    })
    .to_vec()
}

/// Returns scenarios with faults that are over before the shift has to begin, in each of which a good
/// version is completed.
fn disturbances(base: &Scenario) -> Vec<(&'static str, Scenario)> {
    let base = || base.clone();
    let slow = |slow_target| Scenario {
        slow_target,
        ..base()
    };
    vec![
        (
            "service fault",
            Scenario {
                service_fault: Some((6_000, 9_000)),
                ..base()
            },
        ),
        (
            "burst",
            Scenario {
                burst: Some((6_000, 9_000)),
                ..base()
            },
        ),
        ("slow old target", slow(Some(VersionSide::Old))),
        ("slow new target", slow(Some(VersionSide::New))),
        (
            "decider killed",
            Scenario {
                decider_kills: vec![5_000, 12_000],
                ..base()
            },
        ),
        (
            "network cut",
            Scenario {
                cut: Some((5_000, 10_000, 0.34, false)),
                ..base()
            },
        ),
        (
            "cut from the network and the store",
            Scenario {
                cut: Some((5_000, 10_000, 0.34, true)),
                ..base()
            },
        ),
        (
            "store outage",
            Scenario {
                store_outage: Some((4_000, 14_000)),
                ..base()
            },
        ),
        (
            "lost writes",
            Scenario {
                lost_writes: 0.7,
                ..base()
            },
        ),
        (
            "message faults",
            Scenario {
                message_faults: 0.08,
                ..base()
            },
        ),
        (
            "few targets",
            Scenario {
                old_targets: 5,
                new_targets: 5,
                ..base()
            },
        ),
    ]
}

/// A good version was not completed in time, because each instance had too few requests to the new
/// version to judge it.
#[test]
fn good_versions_are_completed_at_all_sizes() {
    let sizes = [(3, 100.0, 3), (74, 349.0, 3), (300, 700.0, 1)];
    for (members, rate_per_s, runs) in sizes {
        let base = Scenario::new(members, rate_per_s, 20_000);
        check(&[("good", base)], runs);
    }
}

/// Streams that last seconds leave little of a short duration to collect evidence.
#[test]
fn good_versions_are_completed_within_12_s() {
    check(&[("good", Scenario::new(74, 349.0, 12_000))], 10);
}

/// A bad version was completed, or got too many requests.
#[test]
fn bad_versions_are_rolled_back() {
    for (members, rate_per_s) in [(3, 200.0), (74, 349.0), (300, 1_400.0)] {
        check(
            &bad_versions(&Scenario::new(members, rate_per_s, 30_000)),
            2,
        );
    }
}

/// As above, with little time for evidence.
#[test]
fn bad_versions_are_rolled_back_within_12_s() {
    check(&bad_versions(&Scenario::new(74, 349.0, 12_000)), 2);
}

/// A fault that is none of the version led to its rollback, or to a decision that instances did not
/// know of.
#[test]
fn good_versions_are_completed_despite_faults() {
    for (members, rate_per_s) in [(9, 200.0), (74, 349.0)] {
        let base = Scenario::new(members, rate_per_s, 40_000);
        check(&disturbances(&base), if members < 50 { 2 } else { 1 });
    }
}

/// A fault hid a bad version, or instances that could not reach the decider exceeded the exposure.
#[test]
fn bad_versions_are_rolled_back_despite_faults() {
    for (members, rate_per_s) in [(9, 200.0)] {
        let base = Scenario::new(members, rate_per_s, 40_000);
        for (disturbance, disturbed) in disturbances(&base) {
            println!("{members} instances, {disturbance}");
            check(&bad_versions(&disturbed), 1);
        }
    }
}
