//! Guards against choices that treat all targets and all requests alike: the largest prompts at slow
//! targets, prompts read again at each short slowdown, and many instances at one target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::support::target;
use arbutus_coord::Millis;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::target_work;
use arbutus_policy::serving::target_work::Candidate;
use arbutus_policy::serving::target_work::RequestWork;

const FAST_PERCENT: u32 = 55;
const SLOW_PERCENT: u32 = 120;

fn entries(count: usize) -> Vec<TargetEntry> {
    let names = (0..count).map(|index| format!("t{index}"));
    names
        .map(|name| TargetEntry {
            slots: 32,
            ..target(&name, "s", "x")
        })
        .collect()
}

/// Every fourth target is fast.
fn candidates(entries: &[TargetEntry]) -> Vec<Candidate<'_>> {
    let rated = entries.iter().enumerate().map(|(index, entry)| {
        let work_percent = if index % 4 == 0 {
            FAST_PERCENT
        } else {
            SLOW_PERCENT
        };
        Candidate {
            entry,
            running: 2,
            work_percent,
            usual_work_percent: work_percent,
            pace: 1.0,
            is_paused: false,
            ramp_weight: 1.0,
        }
    });
    rated.collect()
}

fn request(prefix: &str, prefix_tokens: u64, prompt_tokens: u64) -> RequestWork<'_> {
    RequestWork {
        shared_prefix: Some((prefix, prefix_tokens)),
        prompt_tokens,
        base_ms: 40.0,
        ms_per_token: 0.01,
        objective_ms: Millis(1_200),
        slack_ms: Millis(800),
        local_domain: "x",
    }
}

fn choices(
    candidates: &[Candidate<'_>],
    prefixes: usize,
    tokens: u64,
) -> BTreeMap<usize, Vec<String>> {
    let mut chosen: BTreeMap<usize, Vec<String>> = BTreeMap::new();
    for number in 0..prefixes {
        let prefix = format!("p{number}");
        let request = request(&prefix, 500, tokens);
        let index = target_work::select(candidates, &request, number as u64);
        let index = index.expect("there are candidates");
        chosen.entry(index).or_default().push(prefix);
    }
    chosen
}

#[test]
fn the_largest_prompts_go_to_fast_targets() {
    let entries = entries(8);
    let chosen = choices(&candidates(&entries), 200, 50_000);
    let targets: BTreeSet<usize> = chosen.keys().copied().collect();
    assert_eq!(targets, BTreeSet::from([0, 4]));
}

#[test]
fn small_prompts_are_divided_in_proportion_to_the_speed() {
    let entries = entries(8);
    let chosen = choices(&candidates(&entries), 2_000, 600);
    let of_fast = chosen[&0].len() + chosen[&4].len();
    // Two fast ones of 1 / 0.55 each, and six slow ones of 1 / 1.2 each.
    let expected = 2_000.0 * (2.0 / 0.55) / (2.0 / 0.55 + 6.0 / 1.2);
    assert!((of_fast as f64 - expected).abs() < 120.0, "{of_fast}");
}

#[test]
fn a_short_slowdown_moves_large_prompts_only() {
    let entries = entries(4);
    let calm = candidates(&entries);
    let mut noisy = calm.clone();
    noisy[2].work_percent = SLOW_PERCENT * 5 / 2;
    let prefixes: Vec<String> = choices(&calm, 400, 600)[&2].clone();
    assert!(prefixes.len() > 20, "{}", prefixes.len());
    for prefix in &prefixes {
        let small = target_work::select(&noisy, &request(prefix, 500, 600), 1);
        assert_eq!(small, Some(2), "the prefix is cached there");
        let large = target_work::select(&noisy, &request(prefix, 500, 40_000), 1);
        assert_ne!(large, Some(2), "the objective would be missed");
    }
}

#[test]
fn a_request_without_time_to_spare_goes_to_the_fastest_target() {
    let entries = entries(4);
    let candidates = candidates(&entries);
    for number in 0..50 {
        let prefix = format!("p{number}");
        let late = RequestWork {
            slack_ms: Millis::ZERO,
            ..request(&prefix, 100, 3_000)
        };
        assert_eq!(target_work::select(&candidates, &late, number), Some(0));
    }
}

#[test]
fn full_and_paused_targets_get_nothing_while_others_have_room() {
    let entries = entries(4);
    let mut candidates = candidates(&entries);
    candidates[0].running = 40;
    candidates[1].is_paused = true;
    let chosen = choices(&candidates, 200, 2_000);
    let targets: BTreeSet<usize> = chosen.keys().copied().collect();
    assert_eq!(targets, BTreeSet::from([2, 3]));
    for candidate in &mut candidates {
        candidate.is_paused = true;
    }
    assert!(!choices(&candidates, 10, 2_000).is_empty());
}

#[test]
fn a_ramping_target_gets_its_part_of_a_share() {
    let entries = entries(4);
    let mut candidates = candidates(&entries);
    for candidate in &mut candidates {
        candidate.usual_work_percent = 100;
        candidate.work_percent = 100;
    }
    let normal = choices(&candidates, 4_000, 600)[&3].len();
    candidates[3].ramp_weight = 0.1;
    let ramping = choices(&candidates, 4_000, 600)[&3].len();
    assert!((normal / 20..normal / 5).contains(&ramping), "{ramping}");
    // Nothing else is there: it gets the requests.
    let only = target_work::select(&candidates[3..], &request("p", 0, 600), 9);
    assert_eq!(only, Some(0));
}

/// Plain requests of many instances that act on the same report of two nearly equal targets.
#[test]
fn plain_requests_are_divided_among_close_targets() {
    let entries = entries(3);
    let mut candidates = candidates(&entries);
    for (candidate, running) in candidates.iter_mut().zip([2, 2, 3]) {
        candidate.usual_work_percent = 100;
        candidate.work_percent = 100;
        candidate.running = running;
    }
    let mut counts = [0_usize; 3];
    for number in 0..3_000 {
        let plain = RequestWork {
            shared_prefix: None,
            prompt_tokens: 0,
            base_ms: 60.0,
            ms_per_token: 0.0,
            objective_ms: Millis(300),
            slack_ms: Millis(290),
            local_domain: "x",
        };
        counts[target_work::select(&candidates, &plain, number).expect("candidates")] += 1;
    }
    assert!(counts.iter().all(|&count| count >= 900), "{counts:?}");
}
