//! Tests of the quarantine of prompt parts that crash targets.

use std::collections::BTreeSet;
use std::env;

use quickcheck::Arbitrary;
use quickcheck::Gen;

use arbutus_coord::Millis;
use arbutus_policy::serving::prompt_quarantine::PartHash;
use arbutus_policy::serving::prompt_quarantine::PromptCrash;
use arbutus_policy::serving::prompt_quarantine::PromptQuarantine;
use arbutus_policy::serving::prompt_quarantine::TargetHash;

const DEFAULT_SEED: u64 = 19;
/// Later than the time in which other instances can report a response.
const AFTER_OBJECTIONS: Millis = Millis(3_000);
const CRASH_INTERVAL: Millis = Millis(500);

fn parts(ids: &[&str]) -> BTreeSet<PartHash> {
    ids.iter().map(|id| PartHash::new("engines", id)).collect()
}

fn crash(ids: &[&str], target: &str) -> PromptCrash {
    PromptCrash {
        parts: parts(ids),
        target: TargetHash::new(target, Some(1)),
    }
}

/// Records crashes at [`CRASH_INTERVAL`], each at another target and with these parts.
fn record_crashes(quarantine: &mut PromptQuarantine, crashes: &[&[&str]]) -> Millis {
    let mut now = Millis(10_000);
    for (index, ids) in crashes.iter().enumerate() {
        quarantine.record_crash(now, Millis::ZERO, &crash(ids, &format!("target-{index}")));
        now = now + CRASH_INTERVAL;
    }
    now + AFTER_OBJECTIONS
}

fn is_refused(quarantine: &PromptQuarantine, now: Millis, ids: &[&str]) -> bool {
    quarantine.refusal(now, &parts(ids)).is_some()
}

/// Guards against requests with one part in common that crash one target after the other.
#[test]
fn a_part_that_crashed_three_targets_is_refused_in_other_requests() {
    let mut quarantine = PromptQuarantine::new();
    let mut now = record_crashes(
        &mut quarantine,
        &[&["all", "one", "deadly"], &["all", "two", "deadly"]],
    );
    assert!(!is_refused(&quarantine, now, &["all", "three", "deadly"]));
    quarantine.record_crash(
        now,
        Millis::ZERO,
        &crash(&["all", "three", "deadly"], "target-3"),
    );
    assert!(!is_refused(&quarantine, now, &["all", "four", "deadly"]));
    now = now + AFTER_OBJECTIONS;
    assert!(is_refused(&quarantine, now, &["all", "four", "deadly"]));
    assert!(is_refused(&quarantine, now, &["all", "deadly", "deeper"]));
}

/// Guards against refusals of sound requests that share all parts with the crashing ones but the one
/// that crashes targets, also of those that were at a target when it crashed.
#[test]
fn requests_without_the_crashing_part_are_not_refused() {
    let mut quarantine = PromptQuarantine::new();
    let deadly: &[&str] = &["all", "popular", "deadly"];
    let now = record_crashes(&mut quarantine, &[deadly, deadly, deadly, deadly]);
    assert!(is_refused(&quarantine, now, deadly));
    assert!(!is_refused(&quarantine, now, &["all", "popular"]));
    assert!(!is_refused(&quarantine, now, &["all", "other"]));
    // Sound requests wait at the targets that crash.
    for target in ["target-0", "target-1", "target-3"] {
        quarantine.record_crash(now, Millis::ZERO, &crash(&["all", "other"], target));
        quarantine.record_crash(now, Millis::ZERO, &crash(&["all", "popular"], target));
    }
    assert!(is_refused(&quarantine, now, deadly));
    assert!(!is_refused(&quarantine, now, &["all", "popular"]));
    assert!(!is_refused(&quarantine, now, &["all", "other"]));
}

/// Guards against a quarantine of a part that other requests show to be sound.
#[test]
fn a_response_clears_the_parts_of_its_request() {
    let mut quarantine = PromptQuarantine::new();
    let now = record_crashes(&mut quarantine, &[&["all", "one"], &["all", "one"]]);
    assert_eq!(
        quarantine.record_response(now, &parts(&["all", "two"])),
        parts(&["all"])
    );
    quarantine.record_crash(now, Millis::ZERO, &crash(&["all", "one"], "target-3"));
    let now = now + AFTER_OBJECTIONS;
    assert!(!is_refused(&quarantine, now, &["all", "two"]));
    assert!(is_refused(&quarantine, now, &["all", "one"]));
    quarantine.record_response(now, &parts(&["all", "one"]));
    assert!(!is_refused(&quarantine, now, &["all", "one"]));
    assert!(quarantine.is_empty());
}

/// Guards against a quarantine of popular parts when several targets are lost at the same time.
#[test]
fn targets_that_crash_together_count_once() {
    let mut quarantine = PromptQuarantine::new();
    for target in ["a", "b", "c", "d"] {
        quarantine.record_crash(
            Millis(10_000),
            Millis::ZERO,
            &crash(&["all", "one"], target),
        );
    }
    assert!(!is_refused(&quarantine, Millis(13_000), &["all", "one"]));
}

/// Guards against a quarantine for a single target that breaks connections.
#[test]
fn crashes_of_one_incarnation_of_a_target_count_once() {
    let mut quarantine = PromptQuarantine::new();
    for index in 0..5 {
        let now = Millis(10_000) + CRASH_INTERVAL.times(index);
        quarantine.record_crash(now, Millis::ZERO, &crash(&["all", "one"], "a"));
    }
    assert!(!is_refused(&quarantine, Millis(20_000), &["all", "one"]));
}

/// Guards against instances that start during the quarantine and need several crashes of their own
/// until they refuse the requests.
#[test]
fn an_instance_without_the_earlier_crashes_gets_them_at_its_start_or_for_its_first_report() {
    let mut quarantine = PromptQuarantine::new();
    let deadly: &[&str] = &["all", "deadly"];
    let now = record_crashes(&mut quarantine, &[deadly, deadly, deadly]);
    let mut restarted = PromptQuarantine::new();
    let report = crash(deadly, "target-9");
    restarted.record_crash(now, Millis::ZERO, &report);
    restarted.merge_earlier(now, &quarantine.earlier_crashes(now, &report));
    let mut started = PromptQuarantine::new();
    started.merge_earlier(now, &quarantine.all_crashes(now));
    let now = now + AFTER_OBJECTIONS;
    for quarantine in [&restarted, &started] {
        assert!(is_refused(quarantine, now, &["all", "deadly", "other"]));
        assert!(!is_refused(quarantine, now, &["all", "other"]));
    }
}

/// Guards against a part that crashes several targets each time its quarantine ends.
#[test]
fn one_crash_after_the_quarantine_starts_it_again() {
    let mut quarantine = PromptQuarantine::new();
    let deadly: &[&str] = &["all", "deadly"];
    let now = record_crashes(&mut quarantine, &[deadly, deadly, deadly]);
    let expired = now + Millis(60_000);
    assert!(!is_refused(&quarantine, expired, deadly));
    quarantine.record_crash(expired, Millis::ZERO, &crash(deadly, "target-9"));
    assert!(is_refused(&quarantine, expired + AFTER_OBJECTIONS, deadly));
}

/// Guards against a part that hides behind others: each of its requests has a further part of its
/// own and is tried several times, so that part alone explains the crashes of its request.
#[test]
fn a_part_is_found_behind_parts_that_repeated_requests_have_in_common() {
    for has_sound_requests in [false, true] {
        let mut quarantine = PromptQuarantine::new();
        let mut now = Millis(10_000);
        let mut crash_count = 0;
        for number in 0..30 {
            let own_part = format!("own-{number}");
            let deadly: &[&str] = &["all", "deadly", &own_part];
            for _ in 0..4 {
                now = now + CRASH_INTERVAL;
                if !is_refused(&quarantine, now, deadly) {
                    crash_count += 1;
                    let target = format!("target-{crash_count}");
                    quarantine.record_crash(now, Millis::ZERO, &crash(deadly, &target));
                }
            }
            if has_sound_requests {
                now = now + CRASH_INTERVAL;
                assert!(!is_refused(&quarantine, now, &["all", &own_part]));
                quarantine.record_response(now, &parts(&["all"]));
            }
        }
        assert!(crash_count <= 8, "{crash_count} crashes");
    }
}

/// Guards against a refusal of all requests that share a part, when several other parts crash
/// targets and none of them has reached the threshold yet.
#[test]
fn a_part_with_recent_responses_is_not_refused() {
    let mut quarantine = PromptQuarantine::new();
    let (one, two): (&[&str], &[&str]) = (&["all", "one"], &["all", "two"]);
    let now = record_crashes(&mut quarantine, &[one, one, two, two]);
    quarantine.record_response(now, &parts(&["all"]));
    let now = now + Millis(1);
    for target in ["a", "b", "c"] {
        quarantine.record_crash(now, Millis::ZERO, &crash(&["all", "three"], target));
    }
    assert!(!is_refused(
        &quarantine,
        now + Millis(500),
        &["all", "sound"]
    ));
}

/// An instance of the simulation, and the reports on their way to it.
#[derive(Default)]
struct Instance {
    quarantine: PromptQuarantine,
    inbox: Vec<(Millis, Report)>,
}

#[derive(Clone)]
enum Report {
    Crash(PromptCrash),
    Cleared(BTreeSet<PartHash>),
}

/// Guards against crashes that go on while instances exchange their reports with a delay, and
/// against refusals of sound requests meanwhile.
#[test]
fn crashes_stop_and_sound_requests_are_served_at_all_instances() {
    const INSTANCES: u32 = 20;
    const TARGETS: u32 = 12;
    const REPORT_DELAY: Millis = Millis(300);
    const STEP: Millis = Millis(50);
    let seed = env::var("ARBUTUS_SEED").map_or(DEFAULT_SEED, |seed| {
        seed.parse().expect("ARBUTUS_SEED is a number")
    });
    for seed in seed..seed + 20 {
        let mut random = Gen::from_size_and_seed(1, seed);
        let mut below = |bound: u32| u32::arbitrary(&mut random) % bound;
        let mut instances: Vec<Instance> = (0..INSTANCES).map(|_| Instance::default()).collect();
        let mut crash_count = 0_u64;
        let (mut sound_count, mut refused_sound_count) = (0_u64, 0_u64);
        let mut now = Millis(10_000);
        while now < Millis(40_000) {
            now = now + STEP;
            for instance in &mut instances {
                for (due_at, report) in std::mem::take(&mut instance.inbox) {
                    match report {
                        _ if due_at > now => instance.inbox.push((due_at, report)),
                        Report::Crash(crash) => {
                            let age_ms = now - due_at + REPORT_DELAY;
                            instance.quarantine.record_crash(now, age_ms, &crash);
                        }
                        Report::Cleared(parts) => {
                            instance.quarantine.record_response(now, &parts);
                        }
                    }
                }
            }
            let index = below(INSTANCES) as usize;
            let subject = format!("subject-{}", below(30));
            let is_deadly = below(10) == 0;
            let ids: Vec<&str> = if is_deadly {
                vec!["all", "subject-0", "deadly"]
            } else {
                vec!["all", &subject]
            };
            if is_refused(&instances[index].quarantine, now, &ids) {
                refused_sound_count += u64::from(!is_deadly);
                continue;
            }
            let report = if is_deadly {
                crash_count += 1;
                let target = format!("target-{}", below(TARGETS));
                let target = TargetHash::new(&target, Some(crash_count));
                let crash = PromptCrash {
                    parts: parts(&ids),
                    target,
                };
                instances[index]
                    .quarantine
                    .record_crash(now, Millis::ZERO, &crash);
                Report::Crash(crash)
            } else {
                sound_count += 1;
                Report::Cleared(
                    instances[index]
                        .quarantine
                        .record_response(now, &parts(&ids)),
                )
            };
            for (other, instance) in instances.iter_mut().enumerate() {
                if other != index {
                    instance.inbox.push((now + REPORT_DELAY, report.clone()));
                }
            }
        }
        assert!(crash_count <= 8, "seed {seed}: {crash_count} crashes");
        assert!(
            refused_sound_count * 50 <= sound_count,
            "seed {seed}: {refused_sound_count} of {sound_count} sound requests refused"
        );
    }
}
