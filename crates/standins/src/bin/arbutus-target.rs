//! Runs the stand-in for a target as a process.

use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::thread;

use getopts::Matches;
use getopts::Options;

use arbutus_coord::Millis;
use arbutus_standins::target::Target;
use arbutus_standins::target::TargetKind;
use arbutus_standins::target::TargetSpec;

const USAGE: &str = "Usage: arbutus-target --listen ADDRESS --name NAME --service SERVICE \
                     --failure-domain DOMAIN --kind KIND [options]";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arbutus-target: {error}");
            ExitCode::from(2)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen on", "ADDRESS");
    options.optopt("", "name", "unique name", "NAME");
    options.optopt("", "service", "service of the target", "SERVICE");
    options.optopt("", "failure-domain", "failure domain", "DOMAIN");
    let kinds = "engine, encoder, retriever, reranker or plain";
    options.optopt("", "kind", kinds, "KIND");
    options.optopt("", "platform", "platform to register with", "ADDRESS");
    options.optopt(
        "",
        "capacity",
        "concurrent calls when warm (default 8)",
        "N",
    );
    options.optopt(
        "",
        "cold-capacity",
        "concurrent calls when cold (default 2)",
        "N",
    );
    options.optopt(
        "",
        "cold-ms",
        "duration of the cold state (default 1000)",
        "MS",
    );
    options.optopt(
        "",
        "service-ms",
        "time of a call or to the first token (default 20)",
        "MS",
    );
    options.optopt("", "token-ms", "time between tokens (default 10)", "MS");
    options.optopt(
        "",
        "cached-prefixes",
        "number of cached prompt prefixes (default 64)",
        "N",
    );
    options.optopt(
        "",
        "load-lag-ms",
        "age of the load in reports (default 100)",
        "MS",
    );
    options.optopt(
        "",
        "seed",
        "seed of random durations and faults (default 1)",
        "N",
    );
    options.optflag(
        "",
        "deduplicates",
        "execute calls with the same idempotency key only once",
    );
    options.optflag(
        "",
        "checks-fencing",
        "reject orders with lower fencing tokens than earlier ones",
    );
    options.optflag("h", "help", "print this help");
    options
}

fn parse_required<T: FromStr>(matches: &Matches, name: &str) -> Result<T, Box<dyn Error>>
where
    T::Err: Error + 'static,
{
    let value = matches
        .opt_str(name)
        .ok_or_else(|| format!("the option --{name} is required"))?;
    value
        .parse()
        .map_err(|error| format!("invalid value {value} of the option --{name}: {error}").into())
}

fn set_if_present<T: FromStr>(
    matches: &Matches,
    name: &str,
    field: &mut T,
) -> Result<(), Box<dyn Error>>
where
    T::Err: Error + 'static,
{
    if matches.opt_present(name) {
        *field = parse_required(matches, name)?;
    }
    Ok(())
}

fn parse_spec(matches: &Matches) -> Result<TargetSpec, Box<dyn Error>> {
    let name: String = parse_required(matches, "name")?;
    let service: String = parse_required(matches, "service")?;
    let failure_domain: String = parse_required(matches, "failure-domain")?;
    let kind: TargetKind = parse_required(matches, "kind")?;
    let mut spec = TargetSpec::new(&name, &service, &failure_domain, kind);
    set_if_present(matches, "capacity", &mut spec.limits.capacity)?;
    set_if_present(matches, "cold-capacity", &mut spec.limits.cold_capacity)?;
    set_millis_if_present(matches, "cold-ms", &mut spec.limits.cold_ms)?;
    set_millis_if_present(matches, "service-ms", &mut spec.service_ms)?;
    set_millis_if_present(matches, "token-ms", &mut spec.token_ms)?;
    set_if_present(matches, "cached-prefixes", &mut spec.cached_prefixes)?;
    set_millis_if_present(matches, "load-lag-ms", &mut spec.load_lag_ms)?;
    set_if_present(matches, "seed", &mut spec.seed)?;
    spec.deduplicates = matches.opt_present("deduplicates");
    spec.checks_fencing = matches.opt_present("checks-fencing");
    if matches.opt_present("platform") {
        spec.platform = Some(parse_required::<SocketAddr>(matches, "platform")?);
    }
    Ok(spec)
}

fn set_millis_if_present(
    matches: &Matches,
    name: &str,
    field: &mut Millis,
) -> Result<(), Box<dyn Error>> {
    set_if_present(matches, name, &mut field.0)
}

fn run() -> Result<(), Box<dyn Error>> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(());
    }
    let listen: SocketAddr = parse_required(&matches, "listen")?;
    let target = Target::start(listen, parse_spec(&matches)?)?;
    println!("listening {}", target.address());
    std::io::stdout().flush()?;
    loop {
        thread::park();
    }
}
