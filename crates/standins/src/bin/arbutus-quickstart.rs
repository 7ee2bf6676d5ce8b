//! Starts both example deployments with few instances and sends a request through each pipeline.
//!
//! Then starts instances on the simulated platform and sends a request to every kind of route.

use std::env;
use std::error::Error;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use arbutus_config::Deployment;
use arbutus_config::committed::read_sources;
use arbutus_config::deployment::ServiceKind;
use arbutus_standins::executions::ExecutionList;
use arbutus_standins::fleet::Fleet;
use arbutus_standins::fleet::FleetSpec;
use arbutus_standins::fleet::ServiceTargets;
use arbutus_standins::generated_text::GeneratedText;
use arbutus_standins::simulated_platform::SimulatedPlatform;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example;
use arbutus_standins::simulated_platform::instance::InstanceProcess;

type QuickstartResult<T> = Result<T, Box<dyn Error>>;

/// An example deployment, whose configuration is in the directory `examples`.
struct Example {
    cluster: &'static str,
    failure_domains: &'static [&'static str],
}

const EXAMPLES: [Example; 2] = [
    Example {
        cluster: "kamagama",
        failure_domains: &["arita", "hakata", "kumamoto", "kagoshima"],
    },
    Example {
        cluster: "rustwell",
        failure_domains: &["gent-a", "gent-b", "brugge-c"],
    },
];

const INSTANCES_PER_FAILURE_DOMAIN: usize = 2;
const TOKEN_MS: &str = "10";

fn main() -> ExitCode {
    match run() {
        Ok(()) => {
            println!("quickstart: ok");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("quickstart: failed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> QuickstartResult<()> {
    let program = env::current_exe()?;
    let binary_directory = program
        .parent()
        .ok_or("cannot determine the directory of the program")?;
    let scratch_directory =
        env::temp_dir().join(format!("arbutus-quickstart-{}", std::process::id()));
    for example in &EXAMPLES {
        run_example(
            example,
            binary_directory,
            &scratch_directory.join(example.cluster),
        )?;
    }
    run_on_simulated_platform(binary_directory, &scratch_directory)?;
    std::fs::remove_dir_all(&scratch_directory)?;
    Ok(())
}

fn run_example(
    example: &Example,
    binary_directory: &Path,
    directory: &Path,
) -> QuickstartResult<()> {
    let cluster = example.cluster;
    let configuration = Path::new("examples").join(cluster);
    let site = example.failure_domains[0];
    let deployment = read_sources(&configuration)?
        .deployment(site)
        .map_err(|errors| format!("{cluster}: {errors}"))?;
    let spec = FleetSpec {
        cluster: cluster.to_owned(),
        failure_domains: example
            .failure_domains
            .iter()
            .map(ToString::to_string)
            .collect(),
        instances_per_failure_domain: INSTANCES_PER_FAILURE_DOMAIN,
        services: service_targets(&deployment),
        configuration,
    };
    let started_at = Instant::now();
    let fleet = Fleet::start(&spec, binary_directory, directory)?;
    println!(
        "{cluster}: {} instances and {} targets in {} failure domains are ready after {} ms",
        fleet.instances.len(),
        fleet.targets.len(),
        spec.failure_domains.len(),
        started_at.elapsed().as_millis(),
    );
    let organisation = deployment
        .organisations
        .keys()
        .next()
        .ok_or("the deployment has no organisations")?;
    for (name, pipeline) in &deployment.pipelines {
        let last = pipeline.stages.last().ok_or("a pipeline has no stages")?;
        if deployment.services[&last.service].kind == ServiceKind::Engine {
            check_stream(&fleet, cluster, name, organisation, last.max_tokens)?;
        } else if pipeline.idempotent {
            check_lookup(&fleet, cluster, name, organisation)?;
        } else {
            check_booking(&fleet, cluster, name, organisation, &last.service)?;
        }
    }
    if !fleet.shut_down()? {
        return Err(format!("{cluster}: an instance did not exit with status 0").into());
    }
    println!("{cluster}: all instances have shut down gracefully");
    Ok(())
}

/// Starts instances on the simulated platform and sends each kind of request through them.
fn run_on_simulated_platform(binary_directory: &Path, directory: &Path) -> QuickstartResult<()> {
    let platform = SimulatedPlatform::start(&example::TARGETS)?;
    platform
        .store
        .put_configuration(&example::configuration(1))?;
    let mut instances = Vec::new();
    for domain in ["x", "y", "x", "y"] {
        let program = binary_directory.join("arbutusd");
        let store = platform.store.address;
        instances.push(InstanceProcess::start(&program, directory, store, domain)?);
    }
    for instance in &instances {
        instance.wait_until_ready()?;
    }
    let count = instances.len();
    println!("platform: {count} instances in 2 failure domains are ready");
    let requests = [
        ("lookup", ClientRequest::new("GET", "/safe/1", "lookup")),
        (
            "booking",
            ClientRequest::new("POST", "/unsafe/1", "booking"),
        ),
        ("stream", example::stream_request("/stream/1", "stream")),
        (
            "stream after stages",
            example::staged_stream_request("staged", "2,3", "key"),
        ),
    ];
    for ((name, request), instance) in requests.iter().zip(&instances) {
        let response = request.call(instance.client_address())?;
        if response.status != 200 || !response.is_complete {
            return Err(format!("platform: {name}: {response:?}").into());
        }
        let bytes = response.body.len();
        println!(
            "platform: {name}: status {}, {bytes} bytes, complete",
            response.status
        );
    }
    for instance in &mut instances {
        instance.terminate()?;
    }
    for instance in &mut instances {
        if !instance.wait()? {
            return Err("platform: an instance did not exit with status 0".into());
        }
    }
    println!("platform: all instances have shut down gracefully");
    Ok(())
}

/// Returns one target per failure domain for each service, without a cold state.
fn service_targets(deployment: &Deployment) -> Vec<ServiceTargets> {
    let to_targets = |(service, spec): (&String, &arbutus_config::deployment::ServiceSpec)| {
        let options = [
            "--service-ms",
            "5",
            "--token-ms",
            TOKEN_MS,
            "--cold-ms",
            "0",
        ];
        ServiceTargets {
            service: service.clone(),
            kind: spec.kind.to_string(),
            per_failure_domain: 1,
            options: options.iter().map(ToString::to_string).collect(),
        }
    };
    deployment.services.iter().map(to_targets).collect()
}

fn check_stream(
    fleet: &Fleet,
    cluster: &str,
    pipeline: &str,
    organisation: &str,
    max_tokens: u32,
) -> QuickstartResult<()> {
    let address = fleet.instance_addresses()[0];
    let input = json!({ "marker": format!("{cluster}-{pipeline}"), "prompt": "how long to fire" });
    let started_at = Instant::now();
    let response = fleet
        .agent()
        .post(format!("http://{address}/v1/pipelines/{pipeline}"))
        .header("Organisation", organisation)
        .header("Accept", "text/event-stream")
        .send_json(&input)?;
    let status = response.status().as_u16();
    let mut first_token_ms = None;
    let mut text = String::new();
    let mut last_event = String::new();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line?;
        if let Some(event) = line.strip_prefix("event: ") {
            event.clone_into(&mut last_event);
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if last_event == "token" {
            first_token_ms.get_or_insert(started_at.elapsed().as_millis());
            let token: Value = serde_json::from_str(data)?;
            text.push_str(token["text"].as_str().unwrap_or_default());
        }
    }
    let expected = GeneratedText::new(&input, max_tokens).full_text();
    if status != 200 || last_event != "done" || text != expected {
        let detail = format!("{cluster}: {pipeline}: status {status}, last event {last_event:?}");
        return Err(detail.into());
    }
    println!(
        "{cluster}: {pipeline}: first token after {} ms, {} tokens in {} ms, done",
        first_token_ms.unwrap_or_default(),
        text.split_whitespace().count(),
        started_at.elapsed().as_millis(),
    );
    Ok(())
}

fn check_lookup(
    fleet: &Fleet,
    cluster: &str,
    pipeline: &str,
    organisation: &str,
) -> QuickstartResult<()> {
    let address = fleet.instance_addresses()[0];
    let input = json!({ "marker": format!("{cluster}-{pipeline}") });
    let started_at = Instant::now();
    let (status, _replayed, response) =
        send_request(fleet, address, pipeline, organisation, None, &input)?;
    if status != 200 {
        return Err(format!("{cluster}: {pipeline}: status {status}: {response}").into());
    }
    println!(
        "{cluster}: {pipeline}: response after {} ms",
        started_at.elapsed().as_millis()
    );
    Ok(())
}

/// Sends a booking, retries it in another failure domain with the same idempotency key, and checks
/// that both responses are equal and that it was executed once.
fn check_booking(
    fleet: &Fleet,
    cluster: &str,
    pipeline: &str,
    organisation: &str,
    service: &str,
) -> QuickstartResult<()> {
    let addresses = fleet.instance_addresses();
    let (first, other) = (addresses[0], addresses[addresses.len() - 1]);
    let key = format!("{cluster}-{pipeline}-1");
    let input = json!({ "marker": key });
    let started_at = Instant::now();
    let (status, _, response) =
        send_request(fleet, first, pipeline, organisation, Some(&key), &input)?;
    if status != 200 {
        return Err(format!("{cluster}: {pipeline}: status {status}: {response}").into());
    }
    println!(
        "{cluster}: {pipeline}: booked in {} ms",
        started_at.elapsed().as_millis()
    );
    let (status, replayed, retried) =
        send_request(fleet, other, pipeline, organisation, Some(&key), &input)?;
    let executions = count_executions(fleet, service, &key)?;
    if status != 200 || retried != response || executions != 1 {
        let detail = format!(
            "{cluster}: {pipeline}: retry has status {status}, {executions} executions: {retried}"
        );
        return Err(detail.into());
    }
    println!(
        "{cluster}: {pipeline}: retried in another failure domain, same response (replayed: \
         {replayed}), 1 execution"
    );
    Ok(())
}

fn send_request(
    fleet: &Fleet,
    address: SocketAddr,
    pipeline: &str,
    organisation: &str,
    key: Option<&str>,
    input: &Value,
) -> QuickstartResult<(u16, bool, Value)> {
    let mut request = fleet
        .agent()
        .post(format!("http://{address}/v1/pipelines/{pipeline}"))
        .header("Organisation", organisation);
    if let Some(key) = key {
        request = request.header("Idempotency-Key", key);
    }
    let mut response = request.send_json(input)?;
    let replayed = response.headers().contains_key("Idempotency-Replayed");
    Ok((
        response.status().as_u16(),
        replayed,
        response.body_mut().read_json()?,
    ))
}

/// Counts the executions with an idempotency key at all targets of a service.
fn count_executions(fleet: &Fleet, service: &str, key: &str) -> QuickstartResult<u32> {
    let mut total = 0;
    for target in fleet
        .targets
        .iter()
        .filter(|target| target.service == service)
    {
        let list = fleet.get(target.address, "/executions")?;
        let list: ExecutionList = serde_json::from_value(list)?;
        let of_key = list
            .executions
            .iter()
            .filter(|execution| execution.key == key);
        total += of_key.map(|execution| execution.count).sum::<u32>();
    }
    Ok(total)
}
