//! Measures what one instance adds to calls and streams, side by side with direct calls.

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

type Outcome<T> = Result<T, Box<dyn Error>>;

const LATENCY_CALLS: u32 = 400;
const THROUGHPUT_SPAN: Duration = Duration::from_secs(4);
const THROUGHPUT_CALLERS: usize = 16;
const OPEN_STREAMS: usize = 200;
const LONGEST_LATENCY_US: u64 = 60_000_000;
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
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arbutus-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Outcome<()> {
    let program = env::current_exe()?;
    let binaries = program.parent().ok_or("the program has no directory")?;
    let scratch = env::temp_dir().join(format!("arbutus-bench-{}", std::process::id()));
    std::fs::create_dir_all(&scratch)?;
    std::fs::write(scratch.join("base.yaml"), CONFIGURATION)?;
    let fleet = start(binaries, &scratch)?;
    let bench = Bench::new(&fleet)?;
    bench.call_latency()?;
    bench.booking_latency()?;
    bench.stream_latency()?;
    bench.call_throughput()?;
    bench.open_streams()?;
    fleet.shut_down()?;
    std::fs::remove_dir_all(&scratch)?;
    Ok(())
}

fn start(binaries: &Path, scratch: &Path) -> Outcome<Fleet> {
    let service = |service: &str, kind: &str, options: &[&str]| ServiceTargets {
        service: service.to_owned(),
        kind: kind.to_owned(),
        per_failure_domain: 1,
        options: options.iter().map(ToString::to_string).collect(),
    };
    let warm = ["--cold-ms", "0", "--capacity", "400"];
    let spec = FleetSpec {
        cluster: "bench".to_owned(),
        failure_domains: vec!["a".to_owned()],
        instances_per_failure_domain: 1,
        services: vec![
            service(
                "plain",
                "plain",
                &[&warm[..], &["--service-ms", "0"]].concat(),
            ),
            service(
                "engine",
                "engine",
                &[&warm[..], &["--service-ms", "5", "--token-ms", "5"]].concat(),
            ),
        ],
        configuration: scratch.to_owned(),
    };
    Ok(Fleet::start(&spec, binaries, scratch)?)
}

struct Bench<'a> {
    agent: &'a Agent,
    instance: SocketAddr,
    process_id: u32,
    plain: SocketAddr,
    engine: SocketAddr,
}

impl<'a> Bench<'a> {
    fn new(fleet: &'a Fleet) -> Outcome<Self> {
        let target = |service: &str| {
            let mut targets = fleet.targets.iter();
            targets
                .find(|target| target.service == service)
                .map(|target| target.address)
        };
        let instance = fleet.instances.first().ok_or("no instance")?;
        let bench = Self {
            agent: fleet.agent(),
            instance: instance.settings.http_address,
            process_id: instance.process.id(),
            plain: target("plain").ok_or("no plain target")?,
            engine: target("engine").ok_or("no engine")?,
        };
        bench.wait_until_served()?;
        Ok(bench)
    }

    /// The first slots are granted some time after the instance is ready.
    fn wait_until_served(&self) -> Outcome<()> {
        for _ in 0..100 {
            if via_instance(self.agent, self.instance, "lookup", None)? == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the instance serves no request".into())
    }

    fn call_latency(&self) -> Outcome<()> {
        let mut direct = histogram()?;
        let mut through = histogram()?;
        // Alternating calls see the same machine load.
        for _ in 0..LATENCY_CALLS {
            let begun = Instant::now();
            direct_call(self.agent, self.plain)?;
            record(&mut direct, begun);
            let begun = Instant::now();
            via_instance(self.agent, self.instance, "lookup", None)?;
            record(&mut through, begun);
        }
        report("call, direct", &direct);
        report("call, through an instance", &through);
        let added = through
            .value_at_quantile(0.5)
            .saturating_sub(direct.value_at_quantile(0.5));
        println!("call, added by an instance at the median: {added} us");
        Ok(())
    }

    fn booking_latency(&self) -> Outcome<()> {
        let mut through = histogram()?;
        for index in 0..LATENCY_CALLS / 4 {
            let key = format!("bench-{index}");
            let begun = Instant::now();
            via_instance(self.agent, self.instance, "booking", Some(&key))?;
            record(&mut through, begun);
        }
        report("non-idempotent call, through an instance", &through);
        Ok(())
    }

    fn stream_latency(&self) -> Outcome<()> {
        let mut direct_first = histogram()?;
        let mut direct_gap = histogram()?;
        let mut through_first = histogram()?;
        let mut through_gap = histogram()?;
        for _ in 0..5 {
            self.direct_stream(&mut direct_first, &mut direct_gap)?;
            self.instance_stream("stream", &mut through_first, &mut through_gap)?;
        }
        report("first token, direct", &direct_first);
        report("first token, through an instance", &through_first);
        report("token gap, direct", &direct_gap);
        report("token gap, through an instance", &through_gap);
        Ok(())
    }

    fn direct_stream(&self, first: &mut Histogram<u64>, gap: &mut Histogram<u64>) -> Outcome<()> {
        let begun = Instant::now();
        let answer = self
            .agent
            .post(format!("http://{}/v1/generate", self.engine))
            .header("Request-Id", "r")
            .header("Stage-Id", "s")
            .header("Attempt-Id", "a")
            .header("Deadline-Ms", "60000")
            .send_json(json!({ "input": {}, "max_tokens": 100, "resume_at": 0 }))?;
        read_stream(answer.into_body().into_reader(), begun, first, gap)
    }

    fn instance_stream(
        &self,
        pipeline: &str,
        first: &mut Histogram<u64>,
        gap: &mut Histogram<u64>,
    ) -> Outcome<()> {
        let begun = Instant::now();
        let answer = self
            .agent
            .post(format!("http://{}/v1/pipelines/{pipeline}", self.instance))
            .header("Organisation", "bench")
            .header("Accept", "text/event-stream")
            .send_json(json!({}))?;
        read_stream(answer.into_body().into_reader(), begun, first, gap)
    }

    fn call_throughput(&self) -> Outcome<()> {
        let before = ProcessUsage::read(self.process_id)?;
        let calls = Arc::new(AtomicU64::new(0));
        let begun = Instant::now();
        thread::scope(|scope| {
            for _ in 0..THROUGHPUT_CALLERS {
                scope.spawn(|| {
                    while begun.elapsed() < THROUGHPUT_SPAN {
                        let status = via_instance(self.agent, self.instance, "lookup", None);
                        if status.is_ok_and(|status| status == 200) {
                            calls.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                });
            }
        });
        let elapsed = begun.elapsed().as_secs_f64();
        let after = ProcessUsage::read(self.process_id)?;
        let calls = calls.load(Ordering::Relaxed);
        let processor = after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64();
        println!(
            "calls: {:.0} per second with {THROUGHPUT_CALLERS} callers, {:.0} us of processor \
             time each, {:.0} per second and core",
            calls as f64 / elapsed,
            processor * 1e6 / calls.max(1) as f64,
            calls as f64 / processor.max(0.001),
        );
        Ok(())
    }

    fn open_streams(&self) -> Outcome<()> {
        let idle = ProcessUsage::read(self.process_id)?;
        let tokens = AtomicU64::new(0);
        let mut open = idle;
        thread::scope(|scope| -> Outcome<()> {
            for _ in 0..OPEN_STREAMS {
                scope.spawn(|| {
                    let (Ok(mut first), Ok(mut gap)) = (histogram(), histogram()) else {
                        return;
                    };
                    if self
                        .instance_stream("long-stream", &mut first, &mut gap)
                        .is_ok()
                    {
                        tokens.fetch_add(first.len() + gap.len(), Ordering::Relaxed);
                    }
                });
            }
            thread::sleep(Duration::from_millis(1_200));
            open = ProcessUsage::read(self.process_id)?;
            Ok(())
        })?;
        let after = ProcessUsage::read(self.process_id)?;
        let tokens = tokens.load(Ordering::Relaxed);
        let processor = after.cpu_time.saturating_sub(idle.cpu_time).as_secs_f64();
        println!(
            "streams: {OPEN_STREAMS} open take {} KB and {:.1} threads each; idle: {} KB, {} \
             threads",
            open.resident_kb.saturating_sub(idle.resident_kb) / OPEN_STREAMS as u64,
            open.threads.saturating_sub(idle.threads) as f64 / OPEN_STREAMS as f64,
            idle.resident_kb,
            idle.threads,
        );
        println!(
            "tokens: {tokens}, {:.1} us of processor time each, {:.0} per second and core",
            processor * 1e6 / tokens.max(1) as f64,
            tokens as f64 / processor.max(0.001),
        );
        Ok(())
    }
}

fn direct_call(agent: &Agent, address: SocketAddr) -> Outcome<()> {
    let mut answer = agent
        .post(format!("http://{address}/v1/call"))
        .header("Request-Id", "r")
        .header("Stage-Id", "s")
        .header("Attempt-Id", "a")
        .header("Deadline-Ms", "10000")
        .send_json(json!({ "input": {} }))?;
    answer.body_mut().read_to_string()?;
    Ok(())
}

fn via_instance(
    agent: &Agent,
    address: SocketAddr,
    pipeline: &str,
    key: Option<&str>,
) -> Outcome<u16> {
    let mut request = agent
        .post(format!("http://{address}/v1/pipelines/{pipeline}"))
        .header("Organisation", "bench");
    if let Some(key) = key {
        request = request.header("Idempotency-Key", key);
    }
    let mut answer = request.send_json(json!({}))?;
    answer.body_mut().read_to_string()?;
    Ok(answer.status().as_u16())
}

fn read_stream(
    reader: impl std::io::Read,
    begun: Instant,
    first: &mut Histogram<u64>,
    gap: &mut Histogram<u64>,
) -> Outcome<()> {
    let mut last = begun;
    let mut tokens = 0;
    for line in BufReader::new(reader).lines() {
        if line? != "event: token" {
            continue;
        }
        record(if tokens == 0 { &mut *first } else { &mut *gap }, last);
        last = Instant::now();
        tokens += 1;
    }
    Ok(())
}

fn histogram() -> Outcome<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, LONGEST_LATENCY_US, 3)?)
}

fn record(histogram: &mut Histogram<u64>, begun: Instant) {
    histogram.saturating_record(u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX));
}

fn report(name: &str, histogram: &Histogram<u64>) {
    println!(
        "{name}: {} us at the median, {} us at the 99th percentile, {} samples",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        histogram.len(),
    );
}
