//! Measures the CPU time, memory and traffic of the control plane per instance, for several numbers
//! of instances.
//!
//! No client sends requests, so the instances use resources only for gossip, load reports, grants,
//! watches, claims and leases.

use std::env;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use arbutus_standins::fleet::Fleet;
use arbutus_standins::fleet::FleetSpec;
use arbutus_standins::fleet::ServiceTargets;
use arbutus_standins::usage::ProcessUsage;

type ControlResult<T> = Result<T, Box<dyn Error>>;

const INSTANCE_COUNTS: [usize; 4] = [2, 4, 8, 16];
const FAILURE_DOMAIN_COUNT: usize = 2;
/// About the ratio in the planned deployment, which has 5,500 targets and 1,700 instances.
const TARGETS_PER_INSTANCE: usize = 3;
/// Time between the start and the measurement. Gossip retransmits the updates of the start for some
/// seconds, which would raise the measured traffic.
const SETTLE_DURATION: Duration = Duration::from_secs(15);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(10);
const CONFIGURATION: &str = "
services:
  engine: { kind: engine }
classes:
  bench: { priority: 0 }
organisations:
  bench: {}
pipelines:
  stream: { class: bench, idempotent: true, deadline_ms: 4000, stages: [{ name: generate, service: engine }] }
";

/// Resource usage and sent traffic, summed over all instances.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    cpu_time: Duration,
    resident_kb: u64,
    peer_bytes: f64,
    peer_datagrams: f64,
    peer_calls: f64,
    platform_calls: f64,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arbutus-control: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> ControlResult<()> {
    let program = env::current_exe()?;
    let binary_directory = program
        .parent()
        .ok_or("cannot determine the directory of the program")?;
    let scratch_directory = env::temp_dir().join(format!("arbutus-control-{}", std::process::id()));
    std::fs::create_dir_all(&scratch_directory)?;
    std::fs::write(scratch_directory.join("base.yaml"), CONFIGURATION)?;
    println!(
        "instances  core %  resident KB  bytes/s  datagrams/s  calls/s  platform calls/s (all)"
    );
    for instances in INSTANCE_COUNTS {
        measure(instances, binary_directory, &scratch_directory)?;
    }
    std::fs::remove_dir_all(&scratch_directory)?;
    Ok(())
}

fn measure(
    instances: usize,
    binary_directory: &Path,
    scratch_directory: &Path,
) -> ControlResult<()> {
    let options = ["--cold-ms", "0"];
    let spec = FleetSpec {
        cluster: "control".to_owned(),
        failure_domains: (0..FAILURE_DOMAIN_COUNT)
            .map(|index| format!("domain-{index}"))
            .collect(),
        instances_per_failure_domain: instances / FAILURE_DOMAIN_COUNT,
        services: vec![ServiceTargets {
            service: "engine".to_owned(),
            kind: "engine".to_owned(),
            per_failure_domain: TARGETS_PER_INSTANCE * instances / FAILURE_DOMAIN_COUNT,
            options: options.iter().map(ToString::to_string).collect(),
        }],
        configuration: scratch_directory.to_owned(),
    };
    let fleet = Fleet::start(
        &spec,
        binary_directory,
        &scratch_directory.join(instances.to_string()),
    )?;
    thread::sleep(SETTLE_DURATION);
    let before = read_totals(&fleet)?;
    thread::sleep(MEASUREMENT_DURATION);
    let after = read_totals(&fleet)?;
    let instance_count = instances as f64;
    let seconds = MEASUREMENT_DURATION.as_secs_f64();
    let cpu_time = after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64();
    println!(
        "{instances:9}  {:6.2}  {:11.0}  {:7.0}  {:11.1}  {:7.2}  {:.1}",
        cpu_time / seconds / instance_count * 100.0,
        after.resident_kb as f64 / instance_count,
        (after.peer_bytes - before.peer_bytes) / seconds / instance_count,
        (after.peer_datagrams - before.peer_datagrams) / seconds / instance_count,
        (after.peer_calls - before.peer_calls) / seconds / instance_count,
        (after.platform_calls - before.platform_calls) / seconds,
    );
    fleet.shut_down()?;
    Ok(())
}

fn read_totals(fleet: &Fleet) -> ControlResult<Totals> {
    let mut totals = Totals::default();
    for instance in &fleet.instances {
        let usage = ProcessUsage::read(instance.process.id())?;
        totals.cpu_time += usage.cpu_time;
        totals.resident_kb += usage.resident_kb;
        let metrics = fetch_metrics(fleet, instance.settings.http_address)?;
        totals.peer_bytes += metric_value(&metrics, "arbutus_peer_bytes_sent");
        totals.peer_datagrams += metric_value(&metrics, "arbutus_peer_datagrams_sent");
        totals.peer_calls += metric_value(&metrics, "arbutus_peer_calls_sent");
        totals.platform_calls += metric_value(&metrics, "arbutus_platform_calls_total");
    }
    Ok(totals)
}

fn fetch_metrics(fleet: &Fleet, address: SocketAddr) -> ControlResult<String> {
    let mut response = fleet
        .agent()
        .get(format!("http://{address}/metrics"))
        .call()?;
    Ok(response.body_mut().read_to_string()?)
}

fn metric_value(text: &str, name: &str) -> f64 {
    let value = |line: &str| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok();
    text.lines().find_map(value).unwrap_or(0.0)
}
