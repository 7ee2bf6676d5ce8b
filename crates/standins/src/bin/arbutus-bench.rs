//! Measures the latency and resource use of requests through one instance, and the latency of direct
//! calls to a target for comparison.

use std::env;
use std::error::Error;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde_json::json;
use ureq::Agent;

use arbutus_standins::fleet::Fleet;
use arbutus_standins::fleet::FleetSpec;
use arbutus_standins::fleet::ServiceTargets;
use arbutus_standins::usage::ProcessUsage;

type BenchResult<T> = Result<T, Box<dyn Error>>;

const LATENCY_CALLS: u32 = 400;
const THROUGHPUT_DURATION: Duration = Duration::from_secs(4);
const THROUGHPUT_CLIENTS: usize = 16;
const OPEN_STREAMS: usize = 200;
const MAX_LATENCY_US: u64 = 60_000_000;
const CONFIGURATION: &str = "
services:
  engine: { kind: engine }
  plain: { kind: plain }
classes:
  bench: { priority: 0, stall_ms: 5000 }
organisations:
  bench: {}
pipelines:
  lookup: { class: bench, idempotent: true, deadline_ms: 20000, stages: [{ name: call, service: plain }] }
  stream: { class: bench, idempotent: true, deadline_ms: 60000, stages: [{ name: generate, service: engine, max_tokens: 100 }] }
  long-stream: { class: bench, idempotent: true, deadline_ms: 60000, stages: [{ name: generate, service: engine, max_tokens: 400 }] }
  booking: { class: bench, idempotent: false, deadline_ms: 20000, stages: [{ name: book, service: plain }] }
";

fn main() -> ExitCode {
    match run_benchmarks() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arbutus-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_benchmarks() -> BenchResult<()> {
    let program = env::current_exe()?;
    let binary_directory = program
        .parent()
        .ok_or("cannot determine the directory of the program")?;
    let directory = env::temp_dir().join(format!("arbutus-bench-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    std::fs::write(directory.join("base.yaml"), CONFIGURATION)?;
    let fleet = start_fleet(binary_directory, &directory)?;
    let bench = Bench::new(&fleet)?;
    bench.measure_call_latency()?;
    bench.measure_booking_latency()?;
    bench.measure_stream_latency()?;
    bench.measure_call_throughput()?;
    bench.measure_open_streams()?;
    fleet.shut_down()?;
    std::fs::remove_dir_all(&directory)?;
    Ok(())
}

fn start_fleet(binary_directory: &Path, directory: &Path) -> BenchResult<Fleet> {
    let service = |service: &str, kind: &str, options: &[&str]| ServiceTargets {
        service: service.to_owned(),
        kind: kind.to_owned(),
        per_failure_domain: 1,
        options: options.iter().map(ToString::to_string).collect(),
    };
    let warm_options = ["--cold-ms", "0", "--capacity", "400"];
    let spec = FleetSpec {
        cluster: "bench".to_owned(),
        failure_domains: vec!["a".to_owned()],
        instances_per_failure_domain: 1,
        services: vec![
            service(
                "plain",
                "plain",
                &[&warm_options[..], &["--service-ms", "0"]].concat(),
            ),
            service(
                "engine",
                "engine",
                &[&warm_options[..], &["--service-ms", "5", "--token-ms", "5"]].concat(),
            ),
        ],
        configuration: directory.to_owned(),
    };
    Ok(Fleet::start(&spec, binary_directory, directory)?)
}

struct Bench<'a> {
    agent: &'a Agent,
    instance_address: SocketAddr,
    instance_process_id: u32,
    plain_address: SocketAddr,
    engine_address: SocketAddr,
}

impl<'a> Bench<'a> {
    fn new(fleet: &'a Fleet) -> BenchResult<Self> {
        let target_address = |service: &str| {
            let mut targets = fleet.targets.iter();
            targets
                .find(|target| target.service == service)
                .map(|target| target.address)
        };
        let instance = fleet.instances.first().ok_or("the fleet has no instance")?;
        let bench = Self {
            agent: fleet.agent(),
            instance_address: instance.settings.http_address,
            instance_process_id: instance.process.id(),
            plain_address: target_address("plain").ok_or("the fleet has no plain target")?,
            engine_address: target_address("engine").ok_or("the fleet has no engine")?,
        };
        bench.wait_until_serving()?;
        Ok(bench)
    }

    /// Waits until a request succeeds, because an instance gets its first slots at targets only after
    /// it is ready.
    fn wait_until_serving(&self) -> BenchResult<()> {
        for _ in 0..100 {
            if call_instance(self.agent, self.instance_address, "lookup", None)? == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the instance serves no requests".into())
    }

    fn measure_call_latency(&self) -> BenchResult<()> {
        let mut direct = new_histogram()?;
        let mut forwarded = new_histogram()?;
        // Direct and forwarded calls alternate, so that the load of the machine affects both.
        for _ in 0..LATENCY_CALLS {
            let started_at = Instant::now();
            call_target(self.agent, self.plain_address)?;
            record_elapsed(&mut direct, started_at);
            let started_at = Instant::now();
            call_instance(self.agent, self.instance_address, "lookup", None)?;
            record_elapsed(&mut forwarded, started_at);
        }
        print_percentiles("call, direct", &direct);
        print_percentiles("call, through an instance", &forwarded);
        let added_us = forwarded
            .value_at_quantile(0.5)
            .saturating_sub(direct.value_at_quantile(0.5));
        println!("call, median latency added by an instance: {added_us} us");
        Ok(())
    }

    fn measure_booking_latency(&self) -> BenchResult<()> {
        let mut forwarded = new_histogram()?;
        for index in 0..LATENCY_CALLS / 4 {
            let key = format!("bench-{index}");
            let started_at = Instant::now();
            call_instance(self.agent, self.instance_address, "booking", Some(&key))?;
            record_elapsed(&mut forwarded, started_at);
        }
        print_percentiles("non-idempotent call, through an instance", &forwarded);
        Ok(())
    }

    fn measure_stream_latency(&self) -> BenchResult<()> {
        let mut direct_first_token = new_histogram()?;
        let mut direct_token_gap = new_histogram()?;
        let mut forwarded_first_token = new_histogram()?;
        let mut forwarded_token_gap = new_histogram()?;
        for _ in 0..5 {
            self.stream_from_target(&mut direct_first_token, &mut direct_token_gap)?;
            self.stream_from_instance(
                "stream",
                &mut forwarded_first_token,
                &mut forwarded_token_gap,
            )?;
        }
        print_percentiles("first token, direct", &direct_first_token);
        print_percentiles("first token, through an instance", &forwarded_first_token);
        print_percentiles("token gap, direct", &direct_token_gap);
        print_percentiles("token gap, through an instance", &forwarded_token_gap);
        Ok(())
    }

    fn stream_from_target(
        &self,
        first_token: &mut Histogram<u64>,
        token_gap: &mut Histogram<u64>,
    ) -> BenchResult<()> {
        let started_at = Instant::now();
        let response = self
            .agent
            .post(format!("http://{}/v1/generate", self.engine_address))
            .header("Request-Id", "r")
            .header("Stage-Id", "s")
            .header("Attempt-Id", "a")
            .header("Deadline-Ms", "60000")
            .send_json(json!({ "input": {}, "max_tokens": 100, "resume_at": 0 }))?;
        read_stream(
            response.into_body().into_reader(),
            started_at,
            first_token,
            token_gap,
        )
    }

    fn stream_from_instance(
        &self,
        pipeline: &str,
        first_token: &mut Histogram<u64>,
        token_gap: &mut Histogram<u64>,
    ) -> BenchResult<()> {
        let started_at = Instant::now();
        let response = self
            .agent
            .post(format!(
                "http://{}/v1/pipelines/{pipeline}",
                self.instance_address
            ))
            .header("Organisation", "bench")
            .header("Accept", "text/event-stream")
            .send_json(json!({}))?;
        read_stream(
            response.into_body().into_reader(),
            started_at,
            first_token,
            token_gap,
        )
    }

    fn measure_call_throughput(&self) -> BenchResult<()> {
        let before = ProcessUsage::read(self.instance_process_id)?;
        let calls = Arc::new(AtomicU64::new(0));
        let started_at = Instant::now();
        thread::scope(|scope| {
            for _ in 0..THROUGHPUT_CLIENTS {
                scope.spawn(|| {
                    while started_at.elapsed() < THROUGHPUT_DURATION {
                        let status =
                            call_instance(self.agent, self.instance_address, "lookup", None);
                        if status.is_ok_and(|status| status == 200) {
                            calls.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                });
            }
        });
        let elapsed = started_at.elapsed().as_secs_f64();
        let after = ProcessUsage::read(self.instance_process_id)?;
        let calls = calls.load(Ordering::Relaxed);
        let cpu_s = after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64();
        println!(
            "calls: {:.0} per second with {THROUGHPUT_CLIENTS} clients, {:.0} us of CPU time \
             each, {:.0} per second and core",
            calls as f64 / elapsed,
            cpu_s * 1e6 / calls.max(1) as f64,
            calls as f64 / cpu_s.max(0.001),
        );
        Ok(())
    }

    fn measure_open_streams(&self) -> BenchResult<()> {
        let idle = ProcessUsage::read(self.instance_process_id)?;
        let tokens = AtomicU64::new(0);
        let mut under_load = idle;
        thread::scope(|scope| -> BenchResult<()> {
            for _ in 0..OPEN_STREAMS {
                scope.spawn(|| {
                    let (Ok(mut first_token), Ok(mut token_gap)) =
                        (new_histogram(), new_histogram())
                    else {
                        return;
                    };
                    if self
                        .stream_from_instance("long-stream", &mut first_token, &mut token_gap)
                        .is_ok()
                    {
                        tokens.fetch_add(first_token.len() + token_gap.len(), Ordering::Relaxed);
                    }
                });
            }
            // After this delay, all streams are open and none has ended: each has 300 to 400 tokens
            // at intervals of 5 ms.
            thread::sleep(Duration::from_millis(1_200));
            under_load = ProcessUsage::read(self.instance_process_id)?;
            Ok(())
        })?;
        let after = ProcessUsage::read(self.instance_process_id)?;
        let tokens = tokens.load(Ordering::Relaxed);
        let cpu_s = after.cpu_time.saturating_sub(idle.cpu_time).as_secs_f64();
        println!(
            "streams: {OPEN_STREAMS} open, {} KB and {:.1} threads each; idle instance: {} KB, {} \
             threads",
            under_load.resident_kb.saturating_sub(idle.resident_kb) / OPEN_STREAMS as u64,
            under_load.threads.saturating_sub(idle.threads) as f64 / OPEN_STREAMS as f64,
            idle.resident_kb,
            idle.threads,
        );
        println!(
            "tokens: {tokens}, {:.1} us of CPU time each, {:.0} per second and core",
            cpu_s * 1e6 / tokens.max(1) as f64,
            tokens as f64 / cpu_s.max(0.001),
        );
        Ok(())
    }
}

fn call_target(agent: &Agent, address: SocketAddr) -> BenchResult<()> {
    let mut response = agent
        .post(format!("http://{address}/v1/call"))
        .header("Request-Id", "r")
        .header("Stage-Id", "s")
        .header("Attempt-Id", "a")
        .header("Deadline-Ms", "10000")
        .send_json(json!({ "input": {} }))?;
    response.body_mut().read_to_string()?;
    Ok(())
}

fn call_instance(
    agent: &Agent,
    address: SocketAddr,
    pipeline: &str,
    key: Option<&str>,
) -> BenchResult<u16> {
    let mut request = agent
        .post(format!("http://{address}/v1/pipelines/{pipeline}"))
        .header("Organisation", "bench");
    if let Some(key) = key {
        request = request.header("Idempotency-Key", key);
    }
    let mut response = request.send_json(json!({}))?;
    response.body_mut().read_to_string()?;
    Ok(response.status().as_u16())
}

fn read_stream(
    reader: impl std::io::Read,
    started_at: Instant,
    first_token: &mut Histogram<u64>,
    token_gap: &mut Histogram<u64>,
) -> BenchResult<()> {
    let mut previous_at = started_at;
    let mut tokens = 0;
    for line in BufReader::new(reader).lines() {
        if line? != "event: token" {
            continue;
        }
        record_elapsed(
            if tokens == 0 {
                &mut *first_token
            } else {
                &mut *token_gap
            },
            previous_at,
        );
        previous_at = Instant::now();
        tokens += 1;
    }
    Ok(())
}

fn new_histogram() -> BenchResult<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?)
}

fn record_elapsed(histogram: &mut Histogram<u64>, started_at: Instant) {
    histogram
        .saturating_record(u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX));
}

fn print_percentiles(name: &str, histogram: &Histogram<u64>) {
    println!(
        "{name}: {} us at the median, {} us at the 99th percentile, {} samples",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        histogram.len(),
    );
}
