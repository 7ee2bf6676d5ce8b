//! Command line of the instance daemon.

use std::env;
use std::fs;
use std::process::ExitCode;
use std::sync::Arc;

use getopts::Options;
use log::info;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use tiny_http::Server;

use arbutus_config::Settings;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutusd::claims;
use arbutusd::connection_waker::ConnectionWaker;
use arbutusd::events::NodeEvents;
use arbutusd::gossip::GossipNode;
use arbutusd::grants;
use arbutusd::http;
use arbutusd::lifecycle::Lifecycle;
use arbutusd::limits;
use arbutusd::node::Node;
use arbutusd::orders;
use arbutusd::stop::Stop;
use arbutusd::supervisor::ChildResult;
use arbutusd::supervisor::Supervisor;
use arbutusd::supervisor::stop_process_on_panic;
use arbutusd::watcher;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const STARTUP_POLL_MS: Millis = Millis(20);
const FINISH_POLL_MS: Millis = Millis(20);
/// The balancer reads `/readyz` each second and sends requests until then.
const LEAVING_GRACE_MS: Millis = Millis(1_500);

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "settings", "the settings of this instance", "FILE");
    options.optflag(
        "",
        "platform",
        "serve on the users' platform, which names the settings file",
    );
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
    if matches.opt_present("platform") {
        return serve_on_platform(matches.opt_present("check"));
    }
    let Some(file) = matches.opt_str("settings") else {
        eprintln!("arbutusd: --settings FILE or --platform is needed");
        return ExitCode::from(EXIT_USAGE);
    };
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

/// Runs an instance on the users' platform, or only checks its settings.
fn serve_on_platform(only_check: bool) -> ExitCode {
    let result = if only_check {
        arbutus_serving::run::check_settings()
    } else {
        arbutus_serving::run::run()
    };
    match result {
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
    // A later process of the same name has a higher boot identifier.
    let node = Arc::new(Node::new(settings, Clock::unix_time().0));
    watch_signals(signals, node.terminate.clone());
    let events = Arc::new(NodeEvents::new(Arc::clone(&node)));
    let gossip = GossipNode::bind(&node.settings, node.boot_id, node.clock, events)
        .map_err(|error| format!("{}: {error}", node.settings.peer_address))?;
    node.set_gossip(Arc::clone(&gossip));
    let server =
        http::bind(&node).map_err(|error| format!("{}: {error}", node.settings.http_address))?;
    let stop = Stop::new();
    let running = tree(&node, &gossip, server)
        .start(&stop, &node.metrics)
        .map_err(|error| error.to_string())?;
    info!(instance = node.settings.name.as_str(), address:% = node.settings.http_address; "started");
    serve_until_terminated(&node);
    stop.raise();
    running.join();
    info!("stopped");
    Ok(())
}

type Task = fn(&Arc<Node>, &Stop) -> ChildResult;

/// Builds the supervisor tree.
fn tree(node: &Arc<Node>, gossip: &Arc<GossipNode<NodeEvents>>, server: Server) -> Supervisor {
    let task = |run: Task| {
        let node = Arc::clone(node);
        move |stop: &Stop| run(&node, stop)
    };
    let http_node = Arc::clone(node);
    let listener = node.settings.http_address;
    let connection_waker = Arc::new(ConnectionWaker::new(node.clock));
    let observed = Arc::clone(&connection_waker);
    let (receiver, timer, fetcher, peers) = (
        Arc::clone(gossip),
        Arc::clone(gossip),
        Arc::clone(gossip),
        Arc::clone(gossip),
    );
    Supervisor::new("root")
        .with_branch(
            Supervisor::new("gossip")
                .with_task("receiver", move |stop| receiver.run_receiver(stop))
                .with_task("timer", move |stop| timer.run_timer(stop))
                .with_task("fetcher", move |stop| fetcher.run_fetcher(stop))
                .with_task("peers", move |stop| peers.run_server(stop)),
        )
        .with_branch(
            Supervisor::new("platform")
                .with_task("configuration", task(watcher::run_configuration))
                .with_task("lists", task(watcher::run_lists))
                .with_task("orders", task(orders::run))
                .with_task("claims", task(claims::background::run)),
        )
        .with_branch(
            grant_reports(node)
                .with_task("limits", task(limits::run_demand_reports))
                .with_task("sync", task(grants::run_sync))
                .with_task("requests", task(grants::run_requests)),
        )
        .with_branch(
            Supervisor::new("callers")
                .with_task("http", move |stop| {
                    http::serve(&http_node, &server, &observed, stop)
                })
                .with_task("relief", move |stop| connection_waker.run(listener, stop)),
        )
}

fn grant_reports(node: &Arc<Node>) -> Supervisor {
    let mut branch = Supervisor::new("grants");
    for index in 0..grants::REPORT_TASKS {
        let node = Arc::clone(node);
        branch = branch.with_task("reports", move |stop| {
            grants::run_reports(&node, index, stop)
        });
    }
    branch
}

/// Serves until termination is requested, then finishes what is in progress.
fn serve_until_terminated(node: &Node) {
    let terminate = &node.terminate;
    let starting = Lifecycle::new(node.phase.clone());
    while !can_serve(node) {
        if terminate.wait(STARTUP_POLL_MS) {
            let _leaving = starting.leave();
            return;
        }
    }
    let serving = starting.serve();
    info!("serving");
    while !terminate.wait(Millis(1_000)) {}
    let _leaving = serving.leave();
    node.gossip().leave();
    info!(in_flight = node.in_flight(); "leaving, requests in progress finish");
    let finish = Stop::new();
    let earliest = node.now() + LEAVING_GRACE_MS;
    while node.now() < earliest || node.in_flight() > 0 {
        let _raised = finish.wait(FINISH_POLL_MS);
    }
}

/// Returns whether a configuration and the targets are known and their slots can be granted.
fn can_serve(node: &Node) -> bool {
    let settings = node.slots.settings();
    // An owner that has just started grants nothing before earlier grants have expired.
    node.active().generation > 0
        && node.directory().revision() > 0
        && node.now() > settings.lifetime_ms + settings.takeover_margin_ms
}

fn watch_signals(mut signals: Signals, terminate: Stop) {
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            terminate.raise();
        }
    });
}
