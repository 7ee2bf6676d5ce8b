//! Startup and shutdown of an instance.

use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::process;
use std::rc::Rc;

use displaydoc::Display;
use log::LevelFilter;
use log::error;
use log::info;
use log::warn;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::announce::Announcer;
use crate::background;
use crate::frontend;
use crate::logging;
use crate::logging::DroppedLineCount;
use crate::net;
use crate::net::sleep;
use crate::peer::PeerConnections;
use crate::peer_messages::PEER_PROTOCOL;
use crate::peer_server::PeerServer;
use crate::readiness;
use crate::rollouts;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::stage_queues::StageQueues;
use crate::target_reports;
use crate::watch::StoreState;
use crate::watcher_selection;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_platform::settings;
use arbutus_platform::settings::SettingsError;
use arbutus_platform::store::InstanceEntry;

/// The port of the metrics endpoint; `deploy/system.toml` contains it too.
pub const METRICS_PORT: u16 = 9_464;
/// Delay before a failed task is first restarted; doubles with each failure.
const MIN_RESTART_DELAY_MS: Millis = Millis(50);
/// Maximum delay before a failed task is restarted.
const MAX_RESTART_DELAY_MS: Millis = Millis(2_000);
/// Minimum time between SIGTERM and the end of the intake. The load balancer probes readiness once a second and
/// removes an instance after two failed probes.
const MIN_SHUTDOWN_MS: Millis = Millis(3_200);
/// Time reserved before the end of the grace period, when the process would be killed.
const EXIT_MARGIN_MS: Millis = Millis(250);
/// Time reserved before the exit for closing the client connections, if requests are in progress
/// until then.
const CLOSING_MS: Millis = Millis(250);
/// Maximum time for writing the last log lines. One poll can pass before the decision to exit; the
/// rest of the margin is for dropping the tasks.
const LOG_DRAIN_TIMEOUT_MS: Millis = Millis(100);
/// How often an instance that shuts down checks whether its requests have completed.
const SHUTDOWN_POLL_MS: Millis = Millis(50);
/// Exit status after a violated invariant.
const EXIT_INVARIANT_VIOLATED: i32 = 70;

/// Why an instance could not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// {0}
    Settings(SettingsError),
    /// cannot listen on {address}: {cause}
    Listen {
        /// The address that cannot be bound.
        address: SocketAddrV4,
        /// The error of the system call.
        cause: io::Error,
    },
    /// cannot initialise the process: {0}
    System(io::Error),
}

impl std::error::Error for StartError {}

/// Reads and validates the settings file that the platform designates.
///
/// # Errors
///
/// Returns an error when the file cannot be read or is invalid.
pub fn check_settings() -> Result<(), StartError> {
    let path = settings::file_path().map_err(StartError::Settings)?;
    settings::read(&path).map_err(StartError::Settings)?;
    Ok(())
}

/// Runs an instance until it receives SIGTERM.
///
/// # Errors
///
/// Returns an error when the instance cannot start.
pub fn run() -> Result<(), StartError> {
    let log_queue = logging::start(LevelFilter::Info).map_err(StartError::System)?;
    exit_on_panic();
    let result = run_instance(&log_queue.dropped_lines());
    log_queue.drain(LOG_DRAIN_TIMEOUT_MS.to_duration());
    result
}

/// Runs an instance; its tasks have been dropped, and have logged, when this returns.
fn run_instance(dropped_lines: &DroppedLineCount) -> Result<(), StartError> {
    let path = settings::file_path().map_err(StartError::Settings)?;
    let settings = settings::read(&path).map_err(StartError::Settings)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::System)?;
    let shared = Shared::new(settings, Clock::new());
    let local_set = LocalSet::new();
    local_set.block_on(
        &runtime,
        run_until_terminated(Rc::clone(&shared), &path, dropped_lines.clone()),
    )?;
    drop(local_set);
    info!(
        requests_cut_off = shared.cut_off_request_count.get(),
        log_lines_dropped = dropped_lines.total(),
        since_sigterm_ms = shared.shutdown_elapsed_ms().map_or(0, |ms| ms.0);
        "all tasks ended; exiting"
    );
    Ok(())
}

/// Exits the process on a panic: the panic may leave shared state partially updated, so no task may
/// continue to use it.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        process::exit(EXIT_INVARIANT_VIOLATED);
    }));
}

async fn run_until_terminated(
    shared: Rc<Shared>,
    path: &Path,
    dropped_lines: DroppedLineCount,
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::System)?;
    let mut reload = signal(SignalKind::hangup()).map_err(StartError::System)?;
    start_tasks(&shared, dropped_lines).await?;
    loop {
        tokio::select! {
            _signal = terminate.recv() => break,
            _signal = reload.recv() => log_settings_change(&shared, path),
        }
    }
    shut_down(&shared).await;
    shared.begin_exit();
    Ok(())
}

/// Binds all sockets and starts all tasks.
async fn start_tasks(
    shared: &Rc<Shared>,
    dropped_lines: DroppedLineCount,
) -> Result<(), StartError> {
    let settings = &shared.settings;
    let peer_address = SocketAddrV4::new(settings.ip, settings.peer_ports.0);
    let client_listener = bind_listener(settings.client_address)?;
    let readiness_listener = bind_listener(settings.readiness_address)?;
    let metrics_listener = bind_listener(SocketAddrV4::new(settings.ip, METRICS_PORT))?;
    let peer_listener = bind_listener(peer_address)?;
    info!(
        instance = settings.name.as_str(), failure_domain = settings.failure_domain.as_str(),
        clients:% = settings.client_address, peers:% = peer_address,
        store:% = settings.store_address, version = env!("CARGO_PKG_VERSION");
        "started"
    );
    let store = StoreState::new(Rc::clone(shared));
    let queues = StageQueues::new(Rc::clone(shared));
    let connections = PeerConnections::new(Rc::clone(shared), Rc::clone(&store));
    let stage_client = StageClient::new(
        Rc::clone(shared),
        Rc::clone(&queues),
        Rc::clone(&connections),
    );
    connections.set_stage_client(&stage_client);
    let announcer = Announcer::bind(Rc::clone(shared), Rc::clone(&stage_client), peer_address)
        .await
        .map_err(|cause| StartError::Listen {
            address: peer_address,
            cause,
        })?;
    let listening_announcer = Rc::clone(&announcer);
    supervise("announcements", move || {
        Rc::clone(&listening_announcer).listen()
    });
    supervise("announcer", move || Rc::clone(&announcer).announce());
    for kind in shared.object_kinds() {
        let store = Rc::clone(&store);
        supervise("store-watch", move || Rc::clone(&store).run_watch(kind));
    }
    let probe_store = Rc::clone(&store);
    supervise("store-probe", move || Rc::clone(&probe_store).probe());
    start_registration(shared, &store, peer_address);
    let server = Rc::new(PeerServer {
        shared: Rc::clone(shared),
        queues,
        store: Rc::clone(&store),
    });
    supervise("peers", move || {
        Rc::clone(&server).run(Rc::clone(&peer_listener))
    });
    for listener in [readiness_listener, metrics_listener] {
        let shared = Rc::clone(shared);
        supervise("questions", move || {
            readiness::run(Rc::clone(&shared), Rc::clone(&listener))
        });
    }
    let frontend_shared = Rc::clone(shared);
    let frontend_stage_client = Rc::clone(&stage_client);
    supervise("clients", move || {
        frontend::run(
            Rc::clone(&frontend_shared),
            Rc::clone(&frontend_stage_client),
            Rc::clone(&client_listener),
        )
    });
    let (selection_shared, selection_store) = (Rc::clone(shared), Rc::clone(&store));
    let (selection_stage_client, selection_connections) =
        (Rc::clone(&stage_client), Rc::clone(&connections));
    supervise("store-role", move || {
        watcher_selection::run(
            Rc::clone(&selection_shared),
            Rc::clone(&selection_store),
            Rc::clone(&selection_stage_client),
            Rc::clone(&selection_connections),
        )
    });
    let (request_shared, request_connections) = (Rc::clone(shared), Rc::clone(&connections));
    supervise("ask-peers", move || {
        background::request_peer_objects(
            Rc::clone(&request_shared),
            Rc::clone(&store),
            Rc::clone(&request_connections),
        )
    });
    start_report_tasks(shared, stage_client, connections);
    let housekeeping_shared = Rc::clone(shared);
    supervise("housekeeping", move || {
        background::run_housekeeping(Rc::clone(&housekeeping_shared), dropped_lines.clone())
    });
    Ok(())
}

/// Writes the entry of this instance to the store, and again when the store has lost it.
fn start_registration(shared: &Shared, store: &Rc<StoreState>, peer_address: SocketAddrV4) {
    let settings = &shared.settings;
    let entry = InstanceEntry {
        name: settings.name.clone(),
        address: peer_address,
        failure_domain: settings.failure_domain.clone(),
        peer_protocol: PEER_PROTOCOL,
        link_mbps: settings.link_mbps,
    };
    let (register_store, register_entry) = (Rc::clone(store), entry.clone());
    supervise("register", move || {
        Rc::clone(&register_store).register(register_entry.clone())
    });
    let return_store = Rc::clone(store);
    supervise("store-returns", move || {
        Rc::clone(&return_store).recover_from_returns(entry.clone())
    });
}

/// Starts the exchange of reports about crashes, limits, loads and roll-outs with the other
/// instances.
fn start_report_tasks(
    shared: &Rc<Shared>,
    stage_client: Rc<StageClient>,
    connections: Rc<PeerConnections>,
) {
    let view_stage_client = Rc::clone(&stage_client);
    let (view_shared, view_connections) = (Rc::clone(shared), Rc::clone(&connections));
    supervise("target-reports", move || {
        target_reports::run(
            Rc::clone(&view_shared),
            Rc::clone(&view_stage_client),
            Rc::clone(&view_connections),
        )
    });
    let (rollout_shared, rollout_connections) = (Rc::clone(shared), Rc::clone(&connections));
    supervise("rollouts", move || {
        rollouts::task::run(
            Rc::clone(&rollout_shared),
            Rc::clone(&stage_client),
            Rc::clone(&rollout_connections),
        )
    });
    let (request_shared, request_connections) = (Rc::clone(shared), Rc::clone(&connections));
    supervise("ask-quarantine", move || {
        background::request_peer_reports(
            Rc::clone(&request_shared),
            Rc::clone(&request_connections),
        )
    });
    let report_shared = Rc::clone(shared);
    supervise("share-crashes", move || {
        background::send_reports(Rc::clone(&report_shared), Rc::clone(&connections))
    });
}

fn bind_listener(address: SocketAddrV4) -> Result<Rc<TcpListener>, StartError> {
    net::listen(address)
        .map(Rc::new)
        .map_err(|cause| StartError::Listen { address, cause })
}

/// Runs a task, and restarts it with exponential backoff whenever it fails.
fn supervise<F>(name: &'static str, mut task: impl FnMut() -> F + 'static)
where
    F: Future<Output = Result<(), String>> + 'static,
{
    spawn_local(async move {
        let mut delay_ms = MIN_RESTART_DELAY_MS;
        while let Err(reason) = task().await {
            error!(task = name, reason = reason.as_str(), pause_ms = delay_ms.0; "task failed; restarting it");
            sleep(delay_ms).await;
            delay_ms = delay_ms.times(2).min(MAX_RESTART_DELAY_MS);
        }
    });
}

/// Reads the settings file again and logs whether the client or store address has changed. Changed
/// settings take effect only after a restart.
fn log_settings_change(shared: &Shared, path: &Path) {
    match settings::read(path) {
        Ok(settings) => {
            let restart_needed = settings.client_address != shared.settings.client_address
                || settings.store_address != shared.settings.store_address;
            info!(restart_needed; "settings file read after SIGHUP; changes take effect after a restart");
        }
        Err(error) => warn!(error:%; "cannot read the settings file after SIGHUP"),
    }
}

/// Shuts down: completes all requests that were read, at most until the end of the grace period.
///
/// That no request is in progress does not end the shutdown, because clients may send further ones.
/// It only ends the intake, and the process exits when all client connections are closed.
async fn shut_down(shared: &Shared) {
    shared.begin_shutdown();
    let started_at = shared.now();
    let latest_exit = started_at + shared.settings.shutdown_grace_ms - EXIT_MARGIN_MS;
    let latest_closing = latest_exit - CLOSING_MS;
    let earliest_closing = (started_at + MIN_SHUTDOWN_MS).min(latest_closing);
    while shared.now() < earliest_closing
        || (shared.in_progress.get() > 0 && shared.now() < latest_closing)
    {
        sleep(SHUTDOWN_POLL_MS).await;
    }
    shared.begin_closing();
    // The first pause lets the listener accept the connections that are established already.
    loop {
        sleep(SHUTDOWN_POLL_MS).await;
        if shared.client_connection_count.get() == 0 || shared.now() >= latest_exit {
            break;
        }
    }
    let client_connections = shared.client_connection_count.get();
    let reason = if client_connections == 0 {
        "all connections closed"
    } else {
        "grace period over"
    };
    info!(
        in_progress = shared.in_progress.get(), client_connections,
        took_ms = (shared.now() - started_at).0, reason;
        "stopped"
    );
}
