//! Guards against stage budgets that exceed the time until the deadline, or that ignore the latency
//! of a stage.

mod common;

use arbutus_coord::Millis;
use arbutus_policy::stage_budget::StageBudgetSettings;
use arbutus_policy::stage_budget::StageBudgets;

/// Checks that the four stages together use exactly the remaining time if each uses its whole
/// budget. The latencies are recorded for the four stages in turn.
fn budgets_add_up_to_the_remaining_time(remaining: u16, latencies: Vec<u16>) -> bool {
    let mut budgets = StageBudgets::new(StageBudgetSettings::default(), 4);
    for (index, latency) in latencies.into_iter().enumerate() {
        budgets.record(Millis(index as u64), index % 4, Millis(u64::from(latency)));
    }
    let mut left = Millis(u64::from(remaining));
    for stage in 0..4 {
        let stage_budget = budgets.budget(stage, left);
        if stage_budget > left || (stage == 3 && stage_budget != left) {
            return false;
        }
        left = left - stage_budget;
    }
    left == Millis::ZERO
}

#[test]
fn the_budgets_of_all_stages_add_up_to_the_remaining_time() {
    common::checker(1_000)
        .quickcheck(budgets_add_up_to_the_remaining_time as fn(u16, Vec<u16>) -> bool);
}

#[test]
fn a_slow_stage_gets_a_larger_budget_once_it_is_measured() {
    let mut budgets = StageBudgets::new(StageBudgetSettings::default(), 2);
    assert_eq!(budgets.budget(0, Millis(1_000)), Millis(500));
    assert_eq!(budgets.expected_latency(0, 0.9), None);
    for step in 0..40 {
        budgets.record(Millis(step), 0, Millis(100));
        budgets.record(Millis(step), 1, Millis(300));
    }
    // The histograms keep two significant digits.
    let first_budget = budgets.budget(0, Millis(1_000));
    assert!((245..=255).contains(&first_budget.0), "{first_budget}");
    let expected = budgets
        .expected_latency(1, 0.9)
        .expect("the stage has enough latencies");
    assert!((297..=303).contains(&expected.0), "{expected}");
}
