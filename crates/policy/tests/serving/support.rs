//! Values and builders that several test modules share.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use arbutus_coord::Millis;
use arbutus_policy::serving::model::ClientLimits;
use arbutus_policy::serving::model::Configuration;
use arbutus_policy::serving::model::Destination;
use arbutus_policy::serving::model::Route;
use arbutus_policy::serving::model::RouteKind;
use arbutus_policy::serving::model::StageSpec;
use arbutus_policy::serving::model::TargetEntry;

/// Returns a warm target that accepts work.
pub fn target(id: &str, service: &str, failure_domain: &str) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        incarnation: Some(1),
        service: service.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        failure_domain: failure_domain.to_owned(),
        slots: 4,
        accepts_work: true,
        cold_remaining_ms: Millis::ZERO,
        version: None,
    }
}

/// Returns a stage whose results have a size of 0 bytes.
pub fn stage(service: &str, depends_on: &[usize]) -> StageSpec {
    StageSpec {
        service: service.to_owned(),
        depends_on: depends_on.to_vec(),
        result_bytes: 0,
    }
}

/// Returns a route of the host `a.example`.
pub fn route(name: &str, path_prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind,
        destinations: vec![Destination {
            service: "engines".to_owned(),
            weight: 1.0,
        }],
        timeout_ms: Millis(800),
        objective_ms: Millis(100),
        priority: 0,
        max_attempts: 2,
        anonymous: false,
        declares_prompt_parts: false,
        resumable: false,
        stages: Vec::new(),
    }
}

/// Returns a configuration without organisations.
pub fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    Configuration {
        version,
        routes,
        services: BTreeMap::new(),
        organisations_by_key: None,
        client_limits: ClientLimits::default(),
    }
}

/// Returns the maximum number of times in any window of the given length.
pub fn most_in_window(times: &[Millis], length_ms: u64) -> usize {
    times
        .iter()
        .map(|&start| {
            let inside = times
                .iter()
                .filter(|&&time| time >= start && time < start + Millis(length_ms));
            inside.count()
        })
        .max()
        .unwrap_or(0)
}

/// Asserts that two numbers differ by rounding only.
#[track_caller]
pub fn assert_close(left: f64, right: f64) {
    assert!((left - right).abs() < 1e-6, "{left} instead of {right}");
}
