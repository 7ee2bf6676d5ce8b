//! Runs the soak of the path on the users' platform with one seed after the other.

use std::env;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options;

use arbutus_standins::soak;
use arbutus_standins::soak::SoakSpec;

const DEFAULT_INSTANCES: usize = 4;
const DEFAULT_CLIENTS: usize = 8;
const DEFAULT_SECONDS: u64 = 12;

fn main() -> ExitCode {
    match run() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(broken) => {
            println!("{broken} seeds broke a promise");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("arbutus-soak: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<usize, Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt(
        "",
        "first",
        "the first seed; a random one if left out",
        "SEED",
    );
    options.optopt("", "seeds", "the number of seeds (1)", "COUNT");
    options.optopt("", "seconds", "how long faults come (12)", "SECONDS");
    options.optopt("", "instances", "the number of instances (4)", "COUNT");
    options.optopt("", "clients", "the number of clients (8)", "COUNT");
    options.optopt(
        "",
        "program",
        "the program of an instance (beside this one)",
        "PATH",
    );
    options.optflag("h", "help", "shows this text");
    let given = options.parse(env::args().skip(1))?;
    if given.opt_present("help") {
        println!("{}", options.usage("arbutus-soak [OPTIONS]"));
        return Ok(0);
    }
    let first = given.opt_get_default("first", u64::from(rand::random::<u32>()))?;
    let seeds: u64 = given.opt_get_default("seeds", 1)?;
    let beside = env::current_exe()?.with_file_name("arbutusd");
    let program = given.opt_str("program").map_or(beside, PathBuf::from);
    let mut broken = 0;
    for seed in first..first + seeds {
        let result = soak::run(&SoakSpec {
            program: program.clone(),
            directory: env::temp_dir(),
            seed,
            instances: given.opt_get_default("instances", DEFAULT_INSTANCES)?,
            clients: given.opt_get_default("clients", DEFAULT_CLIENTS)?,
            duration: Duration::from_secs(given.opt_get_default("seconds", DEFAULT_SECONDS)?),
        })?;
        println!(
            "seed {seed}: {} requests, {} served, {} faults, {} promises broken",
            result.requests,
            result.served,
            result.faults,
            result.violations.len()
        );
        for reason in &result.violations {
            println!("  {reason}");
        }
        for log in &result.logs {
            println!("  log: {}", log.display());
        }
        broken += usize::from(!result.violations.is_empty());
    }
    Ok(broken)
}
