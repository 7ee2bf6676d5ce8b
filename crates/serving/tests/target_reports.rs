//! Guards against starts and outcomes of targets that do not reach the shared view, and against
//! weights below 1 for the targets that an instance finds at its own start.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_platform::response::ReportedLoad;
use arbutus_platform::settings::InstanceSettings;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::retry_budget::RetryLimits;
use arbutus_policy::serving::target_ramp::OutcomeCounts;
use arbutus_policy::serving::target_selection::TargetOutcome;
use arbutus_serving::shared::Shared;
use arbutus_serving::target_reports;

fn shared() -> Rc<Shared> {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let settings = InstanceSettings {
        name: "instance".to_owned(),
        ip: Ipv4Addr::LOCALHOST,
        failure_domain: "x".to_owned(),
        client_address: address,
        readiness_address: address,
        peer_ports: (1, 1),
        store_address: address,
        memory_bytes: 1,
        link_mbps: 0,
        shutdown_grace_ms: Millis(5_000),
        retry_limits: RetryLimits {
            ratio: 0.2,
            extra_retries: 1.0,
            window_ms: Millis(10_000),
        },
        cold_rate_factor: 1.0,
        extra_cold_rate_per_s: 0.0,
        file_descriptors: None,
        rollout_limits: None,
        shares_target_load: false,
    };
    Shared::new(settings, Clock::new())
}

fn target(id: &str, failure_domain: &str) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        version: None,
        incarnation: Some(1),
        service: "s".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        failure_domain: failure_domain.to_owned(),
        slots: 32,
        accepts_work: true,
        cold_remaining_ms: Millis::ZERO,
    }
}

fn list_targets(shared: &Shared, entries: Vec<TargetEntry>) {
    let mut directory = shared.directory.borrow_mut();
    let changes = directory.replace(shared.now(), entries, false);
    drop(directory);
    shared.apply_target_changes(&changes);
}

/// Lets the target report how long work takes, so that its service is shared.
fn report_work(shared: &Shared, entry: &TargetEntry) {
    let load = ReportedLoad {
        running: 1,
        waiting: 0,
        slots: Some(32),
        work_percent: Some(100),
    };
    target_reports::record_load(shared, entry, &load);
}

fn is_normal(shared: &Shared, target: &str) -> bool {
    let view = shared.target_reports.view.borrow();
    (view.ramp_weight(shared.now(), target) - 1.0).abs() < f64::EPSILON
}

#[test]
fn an_instance_that_starts_gives_the_listed_targets_a_normal_share() {
    let shared = shared();
    let known = target("a", "x");
    list_targets(&shared, vec![known.clone()]);
    report_work(&shared, &known);
    list_targets(&shared, vec![known, target("b", "x")]);
    assert!(is_normal(&shared, "a") && is_normal(&shared, "b"));
}

#[test]
fn the_end_of_an_evacuation_starts_the_ramps_of_its_domain_only() {
    let shared = shared();
    let entries = [target("a", "x"), target("b", "y")];
    list_targets(&shared, entries.to_vec());
    let domains = vec!["y".to_owned()];
    target_reports::record_evacuations_ended(&shared, &domains);
    assert!(is_normal(&shared, "b"), "the service is not shared yet");
    for entry in &entries {
        report_work(&shared, entry);
    }
    target_reports::record_evacuations_ended(&shared, &domains);
    assert!(is_normal(&shared, "a"));
    assert!(!is_normal(&shared, "b"));
}

#[test]
fn refusals_and_failures_of_present_targets_of_shared_services_are_recorded() {
    let shared = shared();
    let entry = target("a", "x");
    list_targets(&shared, vec![entry.clone()]);
    let record = |entry: &TargetEntry| {
        for outcome in [
            TargetOutcome::Full,
            TargetOutcome::Broken,
            TargetOutcome::Broken,
            TargetOutcome::Abandoned,
        ] {
            target_reports::record_outcome(&shared, entry, outcome);
        }
    };
    let taken = || {
        let mut view = shared.target_reports.view.borrow_mut();
        view.take_observations(shared.now(), usize::MAX)
    };
    record(&entry);
    assert_eq!(taken(), [], "the service is not shared yet");
    report_work(&shared, &entry);
    record(&entry);
    record(&TargetEntry {
        incarnation: Some(0),
        ..entry
    });
    let outcomes: Vec<_> = taken().iter().map(|taken| taken.outcomes).collect();
    let expected = OutcomeCounts {
        sent: 3,
        refused: 1,
        failed: 2,
        ..OutcomeCounts::default()
    };
    assert_eq!(outcomes, [expected]);
}
