//! Runs randomized soak tests of instances on a simulated platform, with consecutive seeds.

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
const DEFAULT_DURATION_S: u64 = 12;

fn main() -> ExitCode {
    match run() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed_seeds) => {
            println!("{failed_seeds} seeds with violated guarantees");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("arbutus-soak: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns the number of seeds with violated guarantees.
fn run() -> Result<usize, Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt("", "first", "first seed (default: random)", "SEED");
    options.optopt("", "seeds", "number of seeds (default 1)", "COUNT");
    options.optopt(
        "",
        "seconds",
        "time during which faults are injected, in seconds (default 12)",
        "SECONDS",
    );
    options.optopt("", "instances", "number of instances (default 4)", "COUNT");
    options.optopt("", "clients", "number of clients (default 8)", "COUNT");
    options.optopt(
        "",
        "program",
        "executable of the instances (default: arbutusd in the directory of this program)",
        "PATH",
    );
    options.optflag("h", "help", "print this help");
    let matches = options.parse(env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: arbutus-soak [options]"));
        return Ok(0);
    }
    let first_seed = matches.opt_get_default("first", u64::from(rand::random::<u32>()))?;
    let seed_count: u64 = matches.opt_get_default("seeds", 1)?;
    let default_program = env::current_exe()?.with_file_name("arbutusd");
    let program = matches
        .opt_str("program")
        .map_or(default_program, PathBuf::from);
    let mut failed_seeds = 0;
    for seed in first_seed..first_seed + seed_count {
        let result = soak::run(&SoakSpec {
            program: program.clone(),
            directory: env::temp_dir(),
            seed,
            instances: matches.opt_get_default("instances", DEFAULT_INSTANCES)?,
            clients: matches.opt_get_default("clients", DEFAULT_CLIENTS)?,
            duration: Duration::from_secs(matches.opt_get_default("seconds", DEFAULT_DURATION_S)?),
        })?;
        println!(
            "seed {seed}: {} requests, {} served, {} faults, {} violations",
            result.requests,
            result.served,
            result.faults,
            result.violations.len()
        );
        for violation in &result.violations {
            println!("  {violation}");
        }
        for log in &result.logs {
            println!("  log: {}", log.display());
        }
        failed_seeds += usize::from(!result.violations.is_empty());
    }
    Ok(failed_seeds)
}
