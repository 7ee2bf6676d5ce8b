//! An example configuration with every kind of route, its targets, and requests to it.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::simulated_platform::client::ClientRequest;
use crate::simulated_platform::target::EVENT_COUNT;
use arbutus_coord::Millis;
use arbutus_platform::names;
use arbutus_policy::serving::model::ClientLimits;
use arbutus_policy::serving::model::Configuration;
use arbutus_policy::serving::model::Destination;
use arbutus_policy::serving::model::OrganisationSpec;
use arbutus_policy::serving::model::Route;
use arbutus_policy::serving::model::RouteKind;
use arbutus_policy::serving::model::ServiceSpec;
use arbutus_policy::serving::model::StageServiceSpec;
use arbutus_policy::serving::model::StageSpec;

/// Identifier, service and failure domain of each target.
pub const TARGETS: [(&str, &str, &str); 6] = [
    ("d1", "desk", "x"),
    ("d2", "desk", "y"),
    ("e1", "engines", "x"),
    ("e2", "engines", "y"),
    ("f1", "first", "x"),
    ("s1", "second", "y"),
];

/// Targets of [`TARGETS`] and further ones of the service `engines`, so that some of them remain
/// while others crash.
pub const TARGETS_WITH_SPARE_ENGINES: [(&str, &str, &str); 16] = [
    ("d1", "desk", "x"),
    ("d2", "desk", "y"),
    ("e1", "engines", "x"),
    ("e2", "engines", "y"),
    ("f1", "first", "x"),
    ("s1", "second", "y"),
    ("e3", "engines", "x"),
    ("e4", "engines", "y"),
    ("e5", "engines", "x"),
    ("e6", "engines", "y"),
    ("e7", "engines", "x"),
    ("e8", "engines", "y"),
    ("e9", "engines", "x"),
    ("e10", "engines", "y"),
    ("e11", "engines", "x"),
    ("e12", "engines", "y"),
];

/// Returns a route of the host `a.example` to one service.
///
/// It is resumable if its path prefix contains `resumable`.
#[must_use]
pub fn route(path_prefix: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        name: path_prefix.to_owned(),
        host: "a.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind,
        destinations: vec![Destination {
            service: service.to_owned(),
            weight: 1.0,
        }],
        timeout_ms: Millis(3_000),
        objective_ms: Millis(500),
        priority: 0,
        max_attempts: 2,
        anonymous: false,
        declares_prompt_parts: kind == RouteKind::Stream,
        resumable: path_prefix.contains("resumable"),
        stages: Vec::new(),
    }
}

fn service(stage: Option<StageServiceSpec>) -> ServiceSpec {
    ServiceSpec {
        health_path: "/healthz".to_owned(),
        max_connections: 100,
        cold_duration_ms: Millis::ZERO,
        max_cold_requests_per_s: 0.0,
        slots: None,
        token_capacity: None,
        stage,
    }
}

/// Returns a configuration with every kind of route and this version.
#[must_use]
pub fn configuration(version: u64) -> Configuration {
    let mut staged = route("/staged-resumable/", RouteKind::Stream, "engines");
    let stage = |service: &str, depends_on: &[usize]| StageSpec {
        service: service.to_owned(),
        depends_on: depends_on.to_vec(),
        result_bytes: 100,
    };
    staged.stages = vec![stage("first", &[]), stage("second", &[0])];
    let stage_service = StageServiceSpec {
        slots: 1,
        max_pieces_per_call: 8,
        call_overhead_ms: 30.0,
        ms_per_piece: 1.0,
        result_space_bytes: 1_000_000,
        result_retention_ms: Millis(4_000),
    };
    let organisation = OrganisationSpec {
        name: "bakers".to_owned(),
        priority: None,
    };
    Configuration {
        version,
        routes: vec![
            route("/safe/", RouteKind::Safe, "desk"),
            route("/unsafe/", RouteKind::Unsafe, "desk"),
            route("/resumable/", RouteKind::Stream, "engines"),
            route("/stream/", RouteKind::Stream, "engines"),
            staged,
        ],
        services: BTreeMap::from([
            ("desk".to_owned(), service(None)),
            ("engines".to_owned(), service(None)),
            ("first".to_owned(), service(Some(stage_service))),
            ("second".to_owned(), service(Some(stage_service))),
        ]),
        organisations_by_key: Some(BTreeMap::from([("key".to_owned(), organisation)])),
        client_limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 10_000,
            header_timeout_ms: Millis(500),
            idle_timeout_ms: Millis(2_000),
        },
    }
}

/// Returns a request for a stream on a route of the example configuration.
#[must_use]
pub fn stream_request(path: &str, id: &str) -> ClientRequest {
    ClientRequest::new("POST", path, id)
        .with_header(names::TOKEN_COUNTS.as_str(), "100,48")
        .with_header(names::PROMPT_PARTS.as_str(), "aa:50,bb:50")
}

/// Returns a request for the stream whose route has two stages before the engine.
///
/// `pieces` holds the number of pieces of each stage, separated by commas.
#[must_use]
pub fn staged_stream_request(id: &str, pieces: &str, piece_key: &str) -> ClientRequest {
    stream_request("/staged-resumable/1", id)
        .with_header(names::PIECE_COUNTS.as_str(), pieces)
        .with_header(names::PIECE_KEY.as_str(), piece_key)
}

/// Returns the body of a complete stream.
#[must_use]
pub fn complete_stream_body() -> String {
    let events = (1..=EVENT_COUNT).map(|event| format!("id: {event}\ndata: token {event}\n\n"));
    events.collect::<Vec<String>>().concat()
}

/// Returns the example configuration with further routes, whose names and paths have nothing in
/// common with each other. The same number of routes gives the same routes, and a larger one the
/// same routes and others.
#[must_use]
pub fn configuration_with_more_routes(version: u64, count: usize) -> Configuration {
    let mut configuration = configuration(version);
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    configuration.routes.extend((0..count).map(|_| {
        let path_prefix = format!("/{:010x}/{:04x}/", rng.random::<u64>(), rng.random::<u16>());
        let mut route = route(&path_prefix, RouteKind::Safe, "desk");
        route.name = format!("r-{:08x}", rng.random::<u32>());
        route
    }));
    configuration
}
