//! Guards against budgets that exceed the deadline or ignore slow stages.

mod common;

use arbutus_coord::Millis;
use arbutus_policy::stage_budget::StageBudgetSettings;
use arbutus_policy::stage_budget::StageBudgets;

/// The latencies are of four stages in turn; the stages then use their whole budgets.
fn budgets_fit(remaining: u16, latencies: Vec<u16>) -> bool {
    let mut budget = StageBudgets::new(StageBudgetSettings::default(), 4);
    for (index, latency) in latencies.into_iter().enumerate() {
        budget.record(Millis(index as u64), index % 4, Millis(u64::from(latency)));
    }
    let mut left = Millis(u64::from(remaining));
    for stage in 0..4 {
        let share = budget.budget(stage, left);
        if share > left || (stage == 3 && share != left) {
            return false;
        }
        left = left - share;
    }
    left == Millis::ZERO
}

#[test]
fn the_budgets_of_all_stages_use_the_deadline_up() {
    common::checker(1_000).quickcheck(budgets_fit as fn(u16, Vec<u16>) -> bool);
}

#[test]
fn a_slow_stage_gets_more_once_it_is_measured() {
    let mut budget = StageBudgets::new(StageBudgetSettings::default(), 2);
    assert_eq!(budget.budget(0, Millis(1_000)), Millis(500));
    assert_eq!(budget.expected_latency(0, 0.9), None);
    for step in 0..40 {
        budget.record(Millis(step), 0, Millis(100));
        budget.record(Millis(step), 1, Millis(300));
    }
    // The histograms keep two significant digits.
    let quarter = budget.budget(0, Millis(1_000));
    assert!((245..=255).contains(&quarter.0), "{quarter}");
    let expected = budget.expected_latency(1, 0.9).expect("it is measured");
    assert!((297..=303).contains(&expected.0), "{expected}");
}
