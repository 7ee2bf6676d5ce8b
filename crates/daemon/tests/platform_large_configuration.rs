//! Tests of configurations that take long to transfer, with real processes and limited links.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use arbutus_standins::simulated_platform::SimulatedPlatform;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example;
use arbutus_standins::simulated_platform::instance::InstanceProcess;

/// A link of 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// One instance of this many watches the store; the others follow it.
const INSTANCES: usize = 12;
/// The configuration with this many routes is 1 MB long, the largest object of the store.
const ROUTES: usize = 3_600;
/// A change has to be in force this long after it was acknowledged.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);
/// The second change arrives while the first one is still being distributed.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which the instances select the watcher of the store.
const SETTLING_TIME: Duration = Duration::from_secs(3);

fn start_instances(platform: &SimulatedPlatform) -> Vec<InstanceProcess> {
    let program = Path::new(env!("CARGO_BIN_EXE_arbutusd"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let instances: Vec<InstanceProcess> = (0..INSTANCES)
        .map(|_| {
            let store = platform
                .store_address_with_link(LINK_BYTES_PER_S)
                .expect("the relay has a port");
            InstanceProcess::start(program, directory, store, "x").expect("the instance starts")
        })
        .collect();
    for instance in &instances {
        instance.wait_until_ready().expect("the instance is ready");
    }
    instances
}

/// Returns how many instances serve a path.
fn serving_count(instances: &[InstanceProcess], path: &str) -> usize {
    let request = ClientRequest::new("GET", path, "probe");
    let statuses = instances.iter().map(|instance| {
        let response = request.call(instance.client_address());
        response.expect("the instance accepts connections").status
    });
    statuses.filter(|&status| status == 200).count()
}

/// Guards against a large configuration that takes longer to distribute than it may take to be in
/// force: followers that hear nothing during its transfer leave their watcher, drop what they have
/// received and ask for another copy, until the links are full of copies that nobody awaits.
#[test]
fn a_large_configuration_is_in_force_in_time_and_is_sent_to_each_instance_once() {
    let platform = SimulatedPlatform::start(&example::TARGETS).expect("the platform starts");
    platform.limit_instance_links(LINK_BYTES_PER_S);
    platform
        .store
        .put_configuration(&example::configuration(1))
        .expect("the object can be encoded");
    let instances = start_instances(&platform);
    thread::sleep(SETTLING_TIME);
    let larger = example::configuration_with_more_routes(2, ROUTES);
    let newest = example::configuration_with_more_routes(3, ROUTES + 1);
    let content_bytes = arbutus_platform::configuration::encode(&newest)
        .expect("the configuration can be encoded")
        .len();
    let bytes_before = platform.link_bytes();
    let store = &platform.store;
    store
        .put_configuration(&larger)
        .expect("the object can be encoded");
    let larger_at = Instant::now();
    thread::sleep(CHANGE_INTERVAL);
    store
        .put_configuration(&newest)
        .expect("the object can be encoded");
    let newest_at = Instant::now();
    let [.., last_of_larger] = larger.routes.as_slice() else {
        unreachable!("the configuration has routes");
    };
    let [.., last_of_newest] = newest.routes.as_slice() else {
        unreachable!("the configuration has routes");
    };
    thread::sleep((larger_at + CONFIGURATION_BOUND).saturating_duration_since(Instant::now()));
    let serving_larger = serving_count(&instances, &last_of_larger.path_prefix);
    thread::sleep((newest_at + CONFIGURATION_BOUND).saturating_duration_since(Instant::now()));
    let serving_newest = serving_count(&instances, &last_of_newest.path_prefix);
    // Copies that nobody awaits any more are sent after the bound.
    thread::sleep(CONFIGURATION_BOUND);
    let copies = (platform.link_bytes() - bytes_before) as f64 / content_bytes as f64;
    assert_eq!(
        (serving_larger, serving_newest),
        (INSTANCES, INSTANCES),
        "{copies:.1} copies of {content_bytes} bytes were sent"
    );
    // Each instance gets each of the two versions once, from the store or from its watcher.
    assert!(
        copies <= 2.0 * INSTANCES as f64,
        "{copies:.1} copies of {content_bytes} bytes were sent"
    );
}
