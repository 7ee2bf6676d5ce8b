//! A store, targets and instance processes for the tests of the users' platform.

use std::path::Path;

use arbutus_standins::simulated_platform::SimulatedPlatform;
use arbutus_standins::simulated_platform::example;
use arbutus_standins::simulated_platform::example::configuration;
use arbutus_standins::simulated_platform::instance::InstanceProcess;

pub struct TestCluster {
    pub platform: SimulatedPlatform,
    pub instances: Vec<InstanceProcess>,
}

/// Starts the store and the targets of the platform, and instances in two failure domains.
pub fn start_cluster(instances: usize) -> TestCluster {
    start_cluster_with_targets(instances, &example::TARGETS)
}

/// Starts a cluster with targets of these identifiers, services and failure domains.
pub fn start_cluster_with_targets(instances: usize, targets: &[(&str, &str, &str)]) -> TestCluster {
    let platform = SimulatedPlatform::start(targets).expect("the store and targets start");
    let first = configuration(1);
    platform
        .store
        .put_configuration(&first)
        .expect("the object can be encoded");
    let program = Path::new(env!("CARGO_BIN_EXE_arbutusd"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let instances: Vec<InstanceProcess> = (0..instances)
        .map(|index| {
            let domain = ["x", "y"][index % 2];
            InstanceProcess::start(program, directory, platform.store.address, domain)
                .expect("the instance starts")
        })
        .collect();
    for instance in &instances {
        instance.wait_until_ready().expect("the instance is ready");
    }
    TestCluster {
        platform,
        instances,
    }
}
