//! Tests that generated requests follow the scenario and depend only on the scenario and the seed.

use std::env;

use arbutus_standins::loadgen::arrivals::Arrival;
use arbutus_standins::loadgen::arrivals::generate_arrivals;
use arbutus_standins::loadgen::event::Action;
use arbutus_standins::loadgen::event::TimedEvent;
use arbutus_standins::loadgen::scenario::Burst;
use arbutus_standins::loadgen::scenario::Scenario;

const DEFAULT_SEED: u64 = 11;

/// Returns the seed in the environment variable `ARBUTUS_SEED`, or the default.
fn seed() -> u64 {
    let seed = env::var("ARBUTUS_SEED").ok();
    let seed = seed.and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("ARBUTUS_SEED={seed}");
    seed
}

fn load_long_scenario(name: &str) -> Scenario {
    let mut scenario = Scenario::load(name).expect("the scenario is built in");
    scenario.duration_s = 200.0;
    scenario
}

fn original_requests(arrivals: &[Arrival]) -> Vec<&Arrival> {
    arrivals
        .iter()
        .filter(|each| !each.is_client_retry)
        .collect()
}

/// Guards against requests at another rate or with other gaps than configured. All
/// results that are reported for a share of the deployment's capacity would then be wrong.
#[test]
fn arrivals_have_the_configured_rate_and_exponential_gaps() {
    let seed = seed();
    for name in ["kamagama", "rustwell"] {
        let scenario = load_long_scenario(name);
        let all = generate_arrivals(&scenario, seed, "r");
        let originals = original_requests(&all);
        let expected = scenario.rate_per_s * scenario.duration_s;
        let standard_deviations = (originals.len() as f64 - expected) / expected.sqrt();
        assert!(
            standard_deviations.abs() < 4.0,
            "{standard_deviations} standard deviations"
        );
        let gaps: Vec<f64> = originals
            .windows(2)
            .map(|pair| (pair[1].scheduled_us - pair[0].scheduled_us) as f64)
            .collect();
        let mean_gap = gaps.iter().sum::<f64>() / gaps.len() as f64;
        let square_sum: f64 = gaps.iter().map(|gap| (gap - mean_gap).powi(2)).sum();
        let variation_coefficient = (square_sum / gaps.len() as f64).sqrt() / mean_gap;
        assert!(
            (variation_coefficient - 1.0).abs() < 0.05,
            "coefficient of variation {variation_coefficient}"
        );
    }
}

/// Guards against deployments that receive different requests in a comparison.
#[test]
fn the_seed_determines_all_arrivals() {
    let scenario = load_long_scenario("rustwell");
    let seed = seed();
    assert_eq!(
        generate_arrivals(&scenario, seed, "r"),
        generate_arrivals(&scenario, seed, "r")
    );
    assert_ne!(
        generate_arrivals(&scenario, seed, "r"),
        generate_arrivals(&scenario, seed + 1, "r")
    );
}

/// Guards against a burst that also changes the load of other organisations. Fairness is measured
/// by the effect of a burst on the other organisations, so their own load has to stay the same.
#[test]
fn a_burst_of_one_organisation_changes_only_its_arrivals() {
    let mut scenario = load_long_scenario("kamagama");
    let count = |all: &[Arrival], organisation: usize, from_s: u64, to_s: u64| {
        all.iter()
            .filter(|each| each.organisation == organisation && !each.is_client_retry)
            .filter(|each| (from_s * 1_000_000..to_s * 1_000_000).contains(&each.scheduled_us))
            .count() as f64
    };
    scenario.bursts.push(Burst {
        from_s: 100.0,
        to_s: 200.0,
        organisation: Some(scenario.organisations[0].name.clone()),
        factor: 3.0,
    });
    let all = generate_arrivals(&scenario, seed(), "r");
    let rate_change =
        |organisation| count(&all, organisation, 100, 200) / count(&all, organisation, 0, 100);
    assert!(
        (rate_change(0) - 3.0).abs() < 0.4,
        "rate of the organisation changed by a factor of {}",
        rate_change(0)
    );
    assert!(
        (rate_change(1) - 1.0).abs() < 0.25,
        "rate of another organisation changed by a factor of {}",
        rate_change(1)
    );
}

/// Guards against an event that is parsed as another one, or a malformed event that is accepted: the
/// run would not inject the intended fault.
#[test]
fn events_are_parsed() {
    let drain: TimedEvent = "12.5:drain:gent-a".parse().expect("the event is valid");
    assert_eq!(drain.at_s.to_bits(), 12.5_f64.to_bits());
    assert_eq!(drain.action, Action::Drain("gent-a".to_owned()));
    let fault: TimedEvent = r#"3:service:hearth-llm={"slow_factor":4.0}"#
        .parse()
        .expect("the event is valid");
    assert_eq!(
        fault.action.describe(),
        r#"service hearth-llm {"slow_factor":4.0}"#
    );
    assert_eq!("3:service:hearth-llm".parse::<TimedEvent>().ok(), None);
    assert_eq!("drain:gent-a".parse::<TimedEvent>().ok(), None);
    let yaml = "{at_s: 1, action: {undrain: gent-a}}";
    let event: TimedEvent = serde_norway::from_str(yaml).expect("the event is valid");
    assert_eq!(event.action, Action::Undrain("gent-a".to_owned()));
}
