//! The life of an instance.

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
use crate::logging::DroppedLines;
use crate::net;
use crate::net::sleep;
use crate::owner::Owners;
use crate::peer::PeerLinks;
use crate::peer::PeerServer;
use crate::readiness;
use crate::role;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use crate::watch::StoreState;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_platform::settings;
use arbutus_platform::settings::SettingsError;
use arbutus_platform::store::InstanceEntry;
use arbutus_platform::store::ObjectKind;

/// The port of the metrics; `deploy/system.toml` names it too.
pub const METRICS_PORT: u16 = 9_464;
/// The first pause before a failed task is started again; doubles each time.
const FIRST_RESTART_MS: Millis = Millis(50);
/// The longest pause before a failed task is started again.
const LONGEST_RESTART_MS: Millis = Millis(2_000);
/// The balancer takes an instance out after two misses, a second apart.
const SHORTEST_LEAVING_MS: Millis = Millis(3_200);
/// The process ends this long before it would be killed.
const GRACE_MARGIN_MS: Millis = Millis(250);
/// How often a leaving instance looks whether its requests have finished.
const LEAVING_POLL_MS: Millis = Millis(50);
/// The exit status after a broken invariant.
const EXIT_BROKEN_INVARIANT: i32 = 70;

/// An instance that could not be started.
#[derive(Debug, Display)]
pub enum StartError {
    /// {0}
    Settings(SettingsError),
    /// {address}: {cause}
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// Why it cannot be used.
        cause: io::Error,
    },
    /// the process could not be set up: {0}
    System(io::Error),
}

impl std::error::Error for StartError {}

/// Reads the settings that the platform names and validates them.
///
/// # Errors
///
/// Returns what is wrong with them.
pub fn check_settings() -> Result<(), StartError> {
    let path = settings::path().map_err(StartError::Settings)?;
    settings::read(&path).map_err(StartError::Settings)?;
    Ok(())
}

/// Runs an instance until it is asked to stop.
///
/// # Errors
///
/// Returns why it could not be started.
pub fn run() -> Result<(), StartError> {
    let dropped = logging::start(LevelFilter::Info).map_err(StartError::System)?;
    stop_on_panic();
    let path = settings::path().map_err(StartError::Settings)?;
    let settings = settings::read(&path).map_err(StartError::Settings)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::System)?;
    let shared = Shared::new(settings, Clock::new());
    let local = LocalSet::new();
    local.block_on(&runtime, live(shared, &path, dropped))
}

/// A panic is a broken invariant; state that it left half changed must not be used any further.
fn stop_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        process::exit(EXIT_BROKEN_INVARIANT);
    }));
}

async fn live(shared: Rc<Shared>, path: &Path, dropped: DroppedLines) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::System)?;
    let mut reload = signal(SignalKind::hangup()).map_err(StartError::System)?;
    start(&shared, dropped).await?;
    loop {
        tokio::select! {
            _signal = terminate.recv() => break,
            _signal = reload.recv() => reread(&shared, path),
        }
    }
    leave(&shared).await;
    Ok(())
}

/// Starts all tasks of an instance.
async fn start(shared: &Rc<Shared>, dropped: DroppedLines) -> Result<(), StartError> {
    let settings = &shared.settings;
    let peer_address = SocketAddrV4::new(settings.ip, settings.peer_ports.0);
    let clients = listener(settings.client_address)?;
    let questions = listener(settings.readiness_address)?;
    let metrics = listener(SocketAddrV4::new(settings.ip, METRICS_PORT))?;
    let peers = listener(peer_address)?;
    info!(
        instance = settings.name.as_str(), failure_domain = settings.failure_domain.as_str(),
        clients:% = settings.client_address, peers:% = peer_address,
        store:% = settings.store_address, version = env!("CARGO_PKG_VERSION");
        "started"
    );
    let store = StoreState::new(Rc::clone(shared));
    let owners = Owners::new(Rc::clone(shared));
    let links = PeerLinks::new(Rc::clone(shared), Rc::clone(&store));
    let stages = StageClient::new(Rc::clone(shared), Rc::clone(&owners), Rc::clone(&links));
    links.set_client(&stages);
    let announcer = Announcer::bind(Rc::clone(shared), Rc::clone(&stages), peer_address)
        .await
        .map_err(|cause| StartError::Listen {
            address: peer_address,
            cause,
        })?;
    let listening = Rc::clone(&announcer);
    supervise("announcements", move || Rc::clone(&listening).listen());
    supervise("announcer", move || Rc::clone(&announcer).announce());
    for kind in ObjectKind::ALL {
        let store = Rc::clone(&store);
        supervise("store-watch", move || Rc::clone(&store).follow(kind));
    }
    let probed = Rc::clone(&store);
    supervise("store-probe", move || Rc::clone(&probed).probe());
    let entry = InstanceEntry {
        name: settings.name.clone(),
        address: peer_address,
        failure_domain: settings.failure_domain.clone(),
    };
    let registered = Rc::clone(&store);
    supervise("register", move || {
        Rc::clone(&registered).register(entry.clone())
    });
    let server = Rc::new(PeerServer {
        shared: Rc::clone(shared),
        owners,
        store: Rc::clone(&store),
    });
    supervise("peers", move || Rc::clone(&server).run(Rc::clone(&peers)));
    for listener in [questions, metrics] {
        let shared = Rc::clone(shared);
        supervise("questions", move || {
            readiness::run(Rc::clone(&shared), Rc::clone(&listener))
        });
    }
    let accepting = Rc::clone(shared);
    let submitting = Rc::clone(&stages);
    supervise("clients", move || {
        frontend::run(
            Rc::clone(&accepting),
            Rc::clone(&submitting),
            Rc::clone(&clients),
        )
    });
    let (choosing, chosen) = (Rc::clone(shared), Rc::clone(&store));
    let (ranked, told) = (Rc::clone(&stages), Rc::clone(&links));
    supervise("store-role", move || {
        role::choose(
            Rc::clone(&choosing),
            Rc::clone(&chosen),
            Rc::clone(&ranked),
            Rc::clone(&told),
        )
    });
    let (asking, asked) = (Rc::clone(shared), Rc::clone(&links));
    supervise("ask-peers", move || {
        background::ask_peers(Rc::clone(&asking), Rc::clone(&store), Rc::clone(&asked))
    });
    let crashing = Rc::clone(shared);
    supervise("share-crashes", move || {
        background::share_crashes(Rc::clone(&crashing), Rc::clone(&links))
    });
    let housed = Rc::clone(shared);
    supervise("housekeeping", move || {
        background::keep_house(Rc::clone(&housed), dropped.clone())
    });
    Ok(())
}

fn listener(address: SocketAddrV4) -> Result<Rc<TcpListener>, StartError> {
    net::listen(address)
        .map(Rc::new)
        .map_err(|cause| StartError::Listen { address, cause })
}

/// Runs a task and starts it again, after a growing pause, each time it fails.
fn supervise<F>(name: &'static str, mut task: impl FnMut() -> F + 'static)
where
    F: Future<Output = Result<(), String>> + 'static,
{
    spawn_local(async move {
        let mut pause_ms = FIRST_RESTART_MS;
        while let Err(reason) = task().await {
            error!(task = name, reason = reason.as_str(), pause_ms = pause_ms.0; "a task failed and is started again");
            sleep(pause_ms).await;
            pause_ms = pause_ms.times(2).min(LONGEST_RESTART_MS);
        }
    });
}

/// Rereads the settings; what they bind at the start stays as it is until a restart.
fn reread(shared: &Shared, path: &Path) {
    match settings::read(path) {
        Ok(settings) => {
            let restart_needed = settings.client_address != shared.settings.client_address
                || settings.store_address != shared.settings.store_address;
            info!(restart_needed; "the settings were read again");
        }
        Err(error) => warn!(error:%; "the settings could not be read again, the old ones stay"),
    }
}

/// Finishes what is in progress.
async fn leave(shared: &Shared) {
    shared.leave();
    let begun = shared.now();
    let end = begun + shared.settings.shutdown_grace_ms - GRACE_MARGIN_MS;
    let earliest = (begun + SHORTEST_LEAVING_MS).min(end);
    while shared.now() < earliest || (shared.in_progress.get() > 0 && shared.now() < end) {
        sleep(LEAVING_POLL_MS).await;
    }
    info!(in_progress = shared.in_progress.get(), took_ms = (shared.now() - begun).0; "stopped");
    // The log's thread writes what is queued.
    sleep(LEAVING_POLL_MS).await;
}
