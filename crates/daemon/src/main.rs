//! Command line of the instance daemon.

use std::env;
use std::fs;
use std::process::ExitCode;
use std::sync::Arc;

use arbutus_config::Settings;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutusd::http;
use arbutusd::lifecycle::Lifecycle;
use arbutusd::node::Node;
use arbutusd::stop::Stop;
use arbutusd::supervisor::Supervisor;
use arbutusd::supervisor::stop_process_on_panic;
use arbutusd::watcher;
use getopts::Options;
use log::info;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const STARTUP_POLL_MS: Millis = Millis(20);
const FINISH_POLL_MS: Millis = Millis(20);
/// The balancer reads `/readyz` each second and sends requests until then.
const LEAVING_GRACE_MS: Millis = Millis(1_500);

fn main() -> ExitCode {
    let mut options = Options::new();
    options.reqopt("", "settings", "the settings of this instance", "FILE");
    options.optflag("", "check", "validate the settings and exit");
    options.optflag("h", "help", "print this help");
    let arguments: Vec<String> = env::args().skip(1).collect();
    if arguments
        .iter()
        .any(|argument| argument == "--help" || argument == "-h")
    {
        println!("{}", options.usage("arbutusd runs one instance."));
        return ExitCode::SUCCESS;
    }
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("arbutusd: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let file = matches.opt_str("settings").unwrap_or_default();
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("arbutusd: {file}: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    if matches.opt_present("check") {
        println!("{file}: ok");
        return ExitCode::SUCCESS;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    stop_process_on_panic();
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arbutusd: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn read_settings(file: &str) -> Result<Settings, String> {
    let text = fs::read_to_string(file).map_err(|error| error.to_string())?;
    serde_norway::from_str(&text).map_err(|error| error.to_string())
}

fn run(settings: Settings) -> Result<(), String> {
    let signals = Signals::new([SIGTERM, SIGINT]).map_err(|error| error.to_string())?;
    let terminate = Stop::new();
    watch_signals(signals, terminate.clone());
    let node = Arc::new(Node::new(settings, Clock::wall().0));
    let server =
        http::bind(&node).map_err(|error| format!("{}: {error}", node.settings.http_address))?;
    let stop = Stop::new();
    let http_node = Arc::clone(&node);
    let watcher_node = Arc::clone(&node);
    let running = Supervisor::new("root")
        .with_branch(
            Supervisor::new("callers")
                .with_task("http", move |stop| http::serve(&http_node, &server, stop)),
        )
        .with_branch(
            Supervisor::new("platform")
                .with_task("watcher", move |stop| watcher::run(&watcher_node, stop)),
        )
        .start(&stop, &node.metrics)
        .map_err(|error| error.to_string())?;
    info!(instance = node.settings.name.as_str(), address:% = node.settings.http_address; "started");
    serve_until(&node, &terminate);
    stop.raise();
    running.join();
    info!("stopped");
    Ok(())
}

/// Serves until termination is requested, then finishes what is in progress.
fn serve_until(node: &Node, terminate: &Stop) {
    let starting = Lifecycle::new(node.phase.clone());
    while node.active().generation == 0 {
        if terminate.wait(STARTUP_POLL_MS) {
            let _leaving = starting.leave();
            return;
        }
    }
    let serving = starting.serve();
    info!("serving");
    while !terminate.wait(Millis(1_000)) {}
    let _leaving = serving.leave();
    info!(in_flight = node.in_flight(); "leaving, requests in progress finish");
    let finish = Stop::new();
    let earliest = node.now() + LEAVING_GRACE_MS;
    while node.now() < earliest || node.in_flight() > 0 {
        let _raised = finish.wait(FINISH_POLL_MS);
    }
}

fn watch_signals(mut signals: Signals, terminate: Stop) {
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            terminate.raise();
        }
    });
}
