//! Guards against arrivals that are not what the scenario says or differ between runs.

use std::env;

use arbutus_standins::loadgen::arrivals::Arrival;
use arbutus_standins::loadgen::arrivals::arrivals;
use arbutus_standins::loadgen::event::Action;
use arbutus_standins::loadgen::event::TimedEvent;
use arbutus_standins::loadgen::scenario::Burst;
use arbutus_standins::loadgen::scenario::Scenario;

const DEFAULT_SEED: u64 = 11;

fn seed() -> u64 {
    let seed = env::var("ARBUTUS_SEED").ok();
    let seed = seed.and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("ARBUTUS_SEED={seed}");
    seed
}

fn scenario(name: &str) -> Scenario {
    let mut scenario = Scenario::load(name).expect("the scenario is built in");
    scenario.duration_s = 200.0;
    scenario
}

fn first_copies(arrivals: &[Arrival]) -> Vec<&Arrival> {
    arrivals.iter().filter(|each| !each.is_resend).collect()
}

/// A rate that is off would shift every figure that is given as a share of capacity.
#[test]
fn arrivals_have_the_stated_rate_and_are_exponential() {
    let seed = seed();
    for name in ["kamagama", "rustwell"] {
        let scenario = scenario(name);
        let all = arrivals(&scenario, seed, "r");
        let first = first_copies(&all);
        let expected = scenario.rate_per_s * scenario.duration_s;
        let deviations = (first.len() as f64 - expected) / expected.sqrt();
        assert!(deviations.abs() < 4.0, "{deviations} standard deviations");
        let gaps: Vec<f64> = first
            .windows(2)
            .map(|pair| (pair[1].at_us - pair[0].at_us) as f64)
            .collect();
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        let squares: f64 = gaps.iter().map(|gap| (gap - mean).powi(2)).sum();
        let variation = (squares / gaps.len() as f64).sqrt() / mean;
        assert!((variation - 1.0).abs() < 0.05, "variation {variation}");
    }
}

/// A comparison is worthless if both sides receive different requests.
#[test]
fn arrivals_are_a_function_of_the_seed() {
    let scenario = scenario("rustwell");
    let seed = seed();
    assert_eq!(
        arrivals(&scenario, seed, "r"),
        arrivals(&scenario, seed, "r")
    );
    assert_ne!(
        arrivals(&scenario, seed, "r"),
        arrivals(&scenario, seed + 1, "r")
    );
}

/// Fairness is measured as what happens to others during a burst of one organisation.
#[test]
fn a_burst_of_one_organisation_changes_only_its_arrivals() {
    let mut scenario = scenario("kamagama");
    let count = |all: &[Arrival], organisation: usize, from_s: u64, to_s: u64| {
        all.iter()
            .filter(|each| each.organisation == organisation && !each.is_resend)
            .filter(|each| (from_s * 1_000_000..to_s * 1_000_000).contains(&each.at_us))
            .count() as f64
    };
    scenario.bursts.push(Burst {
        from_s: 100.0,
        to_s: 200.0,
        organisation: Some(scenario.organisations[0].name.clone()),
        factor: 3.0,
    });
    let all = arrivals(&scenario, seed(), "r");
    let growth =
        |organisation| count(&all, organisation, 100, 200) / count(&all, organisation, 0, 100);
    assert!((growth(0) - 3.0).abs() < 0.4, "burst factor {}", growth(0));
    assert!((growth(1) - 1.0).abs() < 0.25, "other factor {}", growth(1));
}

/// An event that is parsed as another one makes a run show nothing.
#[test]
fn events_are_parsed() {
    let drain: TimedEvent = "12.5:drain:gent-a".parse().expect("it is valid");
    assert_eq!(drain.at_s.to_bits(), 12.5_f64.to_bits());
    assert_eq!(drain.action, Action::Drain("gent-a".to_owned()));
    let fault: TimedEvent = r#"3:service:hearth-llm={"slow_factor":4.0}"#
        .parse()
        .expect("it is valid");
    assert_eq!(
        fault.action.describe(),
        r#"service hearth-llm {"slow_factor":4.0}"#
    );
    assert_eq!("3:service:hearth-llm".parse::<TimedEvent>().ok(), None);
    assert_eq!("drain:gent-a".parse::<TimedEvent>().ok(), None);
    let yaml = "{at_s: 1, action: {undrain: gent-a}}";
    let event: TimedEvent = serde_norway::from_str(yaml).expect("it is valid");
    assert_eq!(event.action, Action::Undrain("gent-a".to_owned()));
}
