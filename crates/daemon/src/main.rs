//! Command line and startup of the instance daemon.

use std::env;
use std::fs;
use std::process::ExitCode;
use std::sync::Arc;

use getopts::Options;
use log::info;
use log::warn;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use tiny_http::Server;

use arbutus_config::Settings;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutusd::claims;
use arbutusd::connection_waker::ConnectionWaker;
use arbutusd::gossip::GossipNode;
use arbutusd::gossip_handler::NodeGossipHandler;
use arbutusd::grants;
use arbutusd::http;
use arbutusd::lifecycle::Lifecycle;
use arbutusd::limits;
use arbutusd::node::Node;
use arbutusd::orders;
use arbutusd::stop_signal::StopSignal;
use arbutusd::supervisor::ChildResult;
use arbutusd::supervisor::Supervisor;
use arbutusd::supervisor::exit_on_panic;
use arbutusd::watcher;

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE: u8 = 2;
const STARTUP_POLL_MS: Millis = Millis(20);
const IN_FLIGHT_POLL_MS: Millis = Millis(20);
/// The load balancer probes `/readyz` every second and sends requests until a probe fails.
const SHUTDOWN_GRACE_MS: Millis = Millis(1_500);
/// Upper bound of the wait for requests in progress, because clients choose their deadlines.
const MAX_IN_FLIGHT_WAIT_MS: Millis = Millis(120_000);

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt(
        "",
        "settings",
        "read the settings of this instance from FILE",
        "FILE",
    );
    options.optflag(
        "",
        "platform",
        "run on the users' platform, which provides the path of the settings file",
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
        return run_on_users_platform(matches.opt_present("check"));
    }
    let Some(file) = matches.opt_str("settings") else {
        eprintln!("arbutusd: either --settings FILE or --platform is required");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("arbutusd: {file}: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    if matches.opt_present("check") {
        println!("{file}: ok");
        return ExitCode::SUCCESS;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    exit_on_panic();
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arbutusd: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Runs an instance on the users' platform, or only validates its settings.
fn run_on_users_platform(check_only: bool) -> ExitCode {
    let result = if check_only {
        arbutus_serving::run::check_settings()
    } else {
        arbutus_serving::run::run()
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arbutusd: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn read_settings(file: &str) -> Result<Settings, String> {
    let text = fs::read_to_string(file).map_err(|error| error.to_string())?;
    serde_norway::from_str(&text).map_err(|error| error.to_string())
}

fn run(settings: Settings) -> Result<(), String> {
    let signals = Signals::new([SIGTERM, SIGINT]).map_err(|error| error.to_string())?;
    // The boot identifier grows over time, so that peers can tell a newer process of the same
    // instance from an older one.
    let node = Arc::new(Node::new(settings, Clock::unix_time().0));
    watch_signals(signals, node.terminate.clone());
    let gossip_handler = Arc::new(NodeGossipHandler::new(Arc::clone(&node)));
    let gossip = GossipNode::bind(&node.settings, node.boot_id, node.clock, gossip_handler)
        .map_err(|error| format!("{}: {error}", node.settings.peer_address))?;
    node.set_gossip(Arc::clone(&gossip));
    let server =
        http::bind(&node).map_err(|error| format!("{}: {error}", node.settings.http_address))?;
    let stop = StopSignal::new();
    let running_tasks = supervisor_tree(&node, &gossip, server)
        .start(&stop, &node.metrics)
        .map_err(|error| error.to_string())?;
    info!(instance = node.settings.name.as_str(), address:% = node.settings.http_address; "started");
    serve_until_terminated(&node);
    stop.raise();
    running_tasks.join();
    info!("stopped");
    Ok(())
}

type Task = fn(&Arc<Node>, &StopSignal) -> ChildResult;

fn supervisor_tree(
    node: &Arc<Node>,
    gossip: &Arc<GossipNode<NodeGossipHandler>>,
    server: Server,
) -> Supervisor {
    let task = |run: Task| {
        let node = Arc::clone(node);
        move |stop: &StopSignal| run(&node, stop)
    };
    let http_node = Arc::clone(node);
    let listener = node.settings.http_address;
    let connection_waker = Arc::new(ConnectionWaker::new(node.clock));
    let http_connection_waker = Arc::clone(&connection_waker);
    let (receiver, timer, fetcher, peers) = (
        Arc::clone(gossip),
        Arc::clone(gossip),
        Arc::clone(gossip),
        Arc::clone(gossip),
    );
    Supervisor::new("root")
        .with_subtree(
            Supervisor::new("gossip")
                .with_task("receiver", move |stop| receiver.run_receiver(stop))
                .with_task("timer", move |stop| timer.run_timer(stop))
                .with_task("fetcher", move |stop| fetcher.run_fetcher(stop))
                .with_task("peers", move |stop| peers.run_server(stop)),
        )
        .with_subtree(
            Supervisor::new("platform")
                .with_task("configuration", task(watcher::run_configuration_watch))
                .with_task("lists", task(watcher::run_list_polls))
                .with_task("orders", task(orders::run))
                .with_task("claims", task(claims::background::run)),
        )
        .with_subtree(
            grants_subtree(node)
                .with_task("limits", task(limits::run_demand_reports))
                .with_task("sync", task(grants::run_assignment_updates))
                .with_task("requests", task(grants::run_grant_messages)),
        )
        .with_subtree(
            Supervisor::new("callers")
                .with_task("http", move |stop| {
                    http::serve(&http_node, &server, &http_connection_waker, stop)
                })
                .with_task("relief", move |stop| connection_waker.run(listener, stop)),
        )
}

/// Returns the supervisor of the grant tasks, with the tasks that poll load reports.
fn grants_subtree(node: &Arc<Node>) -> Supervisor {
    let mut subtree = Supervisor::new("grants");
    for index in 0..grants::REPORT_TASKS {
        let node = Arc::clone(node);
        subtree = subtree.with_task("reports", move |stop| {
            grants::run_load_report_polls(&node, index, stop)
        });
    }
    subtree
}

/// Serves until termination is requested, then waits for the requests in progress.
fn serve_until_terminated(node: &Node) {
    let terminate = &node.terminate;
    let starting = Lifecycle::new(node.phase.clone());
    while !can_serve(node) {
        if terminate.wait(STARTUP_POLL_MS) {
            let _shutting_down = starting.shut_down();
            return;
        }
    }
    let serving = starting.start_serving();
    info!("serving");
    while !terminate.wait(Millis(1_000)) {}
    let _shutting_down = serving.shut_down();
    node.gossip().announce_shutdown();
    info!(in_flight = node.in_flight(); "shutting down; waiting for requests in progress");
    // This signal is never raised, so its `wait` only sleeps.
    let poll_timer = StopSignal::new();
    let grace_end = node.now() + SHUTDOWN_GRACE_MS;
    while node.now() < grace_end {
        let _raised = poll_timer.wait(IN_FLIGHT_POLL_MS);
    }
    // Requests that are counted before this are finished, and later ones are refused.
    node.intake_end.raise();
    let wait_end = node.now() + MAX_IN_FLIGHT_WAIT_MS;
    while node.in_flight() > 0 && node.now() < wait_end {
        let _raised = poll_timer.wait(IN_FLIGHT_POLL_MS);
    }
    if node.in_flight() > 0 {
        warn!(in_flight = node.in_flight(); "stopped waiting for requests in progress");
    }
}

/// Returns whether the configuration and targets are known and this instance can grant the slots of
/// the targets that it owns.
fn can_serve(node: &Node) -> bool {
    let settings = node.slots.grant_settings();
    // An owner that has just started grants no slots until the grants of its predecessor have
    // expired.
    node.active_configuration().generation > 0
        && node.directory().revision() > 0
        && node.now() > settings.lifetime_ms + settings.takeover_margin_ms
}

fn watch_signals(mut signals: Signals, terminate: StopSignal) {
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            terminate.raise();
        }
    });
}
