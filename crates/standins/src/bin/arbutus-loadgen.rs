//! Sends the load of a scenario to one or two deployments and reports the results.

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::str::FromStr;

use getopts::Matches;
use getopts::Options;

use arbutus_coord::Clock;
use arbutus_standins::loadgen::deployment::Deployment;
use arbutus_standins::loadgen::event::TimedEvent;
use arbutus_standins::loadgen::run::run;
use arbutus_standins::loadgen::scenario::Scenario;
use arbutus_standins::report::plot;
use arbutus_standins::report::summary::Summary;
use arbutus_standins::report::text::TextReport;

const USAGE: &str = "Usage: arbutus-loadgen --scenario NAME|FILE \
                     (--start DIRECTORY | --instances ADDRESS,.. [--platform ADDRESS]) [options]";
const DEFAULT_SEED: u64 = 1;
const EXIT_VIOLATIONS: u8 = 1;
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    match run_command() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_VIOLATIONS),
        Err(error) => {
            eprintln!("arbutus-loadgen: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn define_options() -> Options {
    let mut options = Options::new();
    let scenario = "kamagama, rustwell or a YAML or JSON file";
    options.optopt("", "scenario", scenario, "NAME|FILE");
    options.optopt("", "instances", "HTTP addresses of the instances", "LIST");
    options.optopt(
        "",
        "platform",
        "address of the platform, which lists the targets",
        "ADDRESS",
    );
    let start = "start the processes of the scenario with the configuration in DIRECTORY";
    options.optopt("", "start", start, "DIRECTORY");
    let configuration =
        "take deadlines and classes from this configuration (default: that of --start)";
    options.optopt("", "configuration", configuration, "DIRECTORY");
    options.optopt("", "label", "name of the deployment in reports", "TEXT");
    options.optflag(
        "",
        "compare",
        "send the same arrivals to a second deployment",
    );
    options.optopt(
        "",
        "instances-b",
        "HTTP addresses of the second deployment's instances",
        "LIST",
    );
    options.optopt(
        "",
        "platform-b",
        "address of the second deployment's platform",
        "ADDRESS",
    );
    options.optopt(
        "",
        "start-b",
        "start the second deployment with the configuration in DIRECTORY",
        "DIRECTORY",
    );
    options.optopt(
        "",
        "label-b",
        "name of the second deployment in reports",
        "TEXT",
    );
    options.optflag(
        "",
        "no-balancer",
        "do not probe readiness; send requests to all instances",
    );
    options.optopt("", "seed", "seed of the arrivals (default 1)", "N");
    options.optopt("", "rate", "requests per second", "N");
    options.optopt(
        "",
        "duration",
        "time during which requests are sent, in seconds",
        "S",
    );
    options.optopt(
        "",
        "warmup",
        "time at the start that the report omits, in seconds",
        "S",
    );
    let event = "add an event: TIME:ACTION:NAME with drain, undrain, kill, terminate, pause, resume \
                 or restart; or TIME:KIND:NAME=JSON with target, service, domain, platform or post";
    options.optmulti("", "event", event, "EVENT");
    options.optopt("", "json", "write the summary to this file", "FILE");
    options.optopt("", "svg", "write the plot to this file", "FILE");
    options.optflag("h", "help", "print this help");
    options
}

fn parse_optional<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, Box<dyn Error>>
where
    T::Err: Error + 'static,
{
    let parse = |text: String| {
        text.parse()
            .map_err(|error| format!("--{name} {text}: {error}").into())
    };
    matches.opt_str(name).map(parse).transpose()
}

fn parse_addresses(matches: &Matches, name: &str) -> Result<Vec<SocketAddr>, Box<dyn Error>> {
    let list = matches
        .opt_str(name)
        .ok_or_else(|| format!("the option --{name} is required"))?;
    list.split(',')
        .map(|address| {
            address
                .parse()
                .map_err(|error| format!("--{name} {address}: {error}").into())
        })
        .collect()
}

fn create_deployment(
    matches: &Matches,
    scenario: &Scenario,
    suffix: &str,
    label: &str,
) -> Result<Deployment, Box<dyn Error>> {
    let option = |name: &str| format!("{name}{suffix}");
    let label = matches
        .opt_str(&option("label"))
        .unwrap_or_else(|| label.to_owned());
    let deployment = match matches.opt_str(&option("start")) {
        Some(configuration) => {
            Deployment::start(&label, &scenario.fleet, Path::new(&configuration))?
        }
        None => Deployment::new(
            &label,
            parse_addresses(matches, &option("instances"))?,
            parse_optional(matches, &option("platform"))?,
        ),
    };
    Ok(deployment.with_readiness_probes(!matches.opt_present("no-balancer")))
}

fn load_scenario(matches: &Matches) -> Result<Scenario, Box<dyn Error>> {
    let name = matches
        .opt_str("scenario")
        .ok_or("the option --scenario is required")?;
    let mut scenario = Scenario::load(&name)?;
    scenario.rate_per_s = parse_optional(matches, "rate")?.unwrap_or(scenario.rate_per_s);
    scenario.duration_s = parse_optional(matches, "duration")?.unwrap_or(scenario.duration_s);
    scenario.warmup_s = parse_optional(matches, "warmup")?.unwrap_or(scenario.warmup_s);
    let configuration = matches.opt_str("configuration");
    if let Some(directory) = configuration.or_else(|| matches.opt_str("start")) {
        scenario.apply_configuration(Path::new(&directory))?;
    }
    for event in matches.opt_strs("event") {
        scenario.events.push(event.parse::<TimedEvent>()?);
    }
    scenario.validate()?;
    Ok(scenario)
}

/// Returns the number of violations.
fn run_command() -> Result<u64, Box<dyn Error>> {
    let options = define_options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(0);
    }
    let scenario = load_scenario(&matches)?;
    let seed = parse_optional(&matches, "seed")?.unwrap_or(DEFAULT_SEED);
    let mut deployments = vec![create_deployment(&matches, &scenario, "", "a")?];
    if matches.opt_present("compare") {
        deployments.push(create_deployment(&matches, &scenario, "-b", "b")?);
    }
    // Targets count the executions by marker, so each run needs markers of its own.
    let run_id = format!("{:x}", Clock::unix_time().0);
    let data = run(&scenario, seed, &run_id, &deployments);
    let summary = Summary::new(&data);
    print!("{}", TextReport(&summary));
    if let Some(path) = matches.opt_str("json") {
        fs::write(&path, serde_json::to_vec_pretty(&summary)?)
            .map_err(|error| format!("{path}: {error}"))?;
    }
    if let Some(path) = matches.opt_str("svg") {
        plot::write(&summary, Path::new(&path))?;
    }
    Ok(summary.violations())
}
