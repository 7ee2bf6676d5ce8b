//! Simulates the environment of an instance on the users' platform: the store, targets with stages
//! and streams, and a client.
//!
//! All servers run on one thread. While instances run, tests change the store, inject faults into
//! the targets and read which requests the targets have executed.

pub mod client;
pub mod example;
pub mod fault;
pub mod flooder;
pub mod instance;
pub mod link;
pub mod mangler;
pub mod repeater;
pub mod slow_client;
pub mod store;
pub mod target;
mod target_body;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::runtime;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::simulated_platform::link::Link;
use crate::simulated_platform::store::Store;
use crate::simulated_platform::target::Target;

/// Time between a crash of a target and its next incarnation.
const CRASH_DOWNTIME: Duration = Duration::from_secs(1);
const LISTEN_BACKLOG: u32 = 1_024;

/// The running servers of a simulated platform.
#[derive(Debug)]
pub struct SimulatedPlatform {
    /// The store that instances watch.
    pub store: Arc<Store>,
    /// The targets in the order of the argument of [`SimulatedPlatform::start`].
    pub targets: Vec<Arc<Target>>,
    runtime: Handle,
    /// Bytes that were sent over limited links.
    link_bytes: Arc<AtomicU64>,
}

impl SimulatedPlatform {
    /// Starts the store and the targets, and writes the entries of the targets to the store.
    ///
    /// `targets` holds the identifier, service and failure domain of each target.
    ///
    /// # Errors
    ///
    /// Returns an error if a server cannot be started.
    pub fn start(targets: &[(&str, &str, &str)]) -> io::Result<Self> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let listener = runtime.block_on(TcpListener::bind(address))?;
        let store = Arc::new(Store::new(local_address(&listener)?));
        let mut servers = Vec::new();
        let mut started = Vec::new();
        for &(id, service, failure_domain) in targets {
            let listener = runtime.block_on(TcpListener::bind(address))?;
            let target = Arc::new(Target::new(
                id,
                service,
                failure_domain,
                local_address(&listener)?,
            ));
            store.put_target(&target.entry())?;
            servers.push((listener, Arc::clone(&target)));
            started.push(target);
        }
        let served_store = Arc::clone(&store);
        let handle = runtime.handle().clone();
        thread::Builder::new()
            .name("platform-side".to_owned())
            .spawn(move || {
                runtime.block_on(async move {
                    for (listener, target) in servers {
                        tokio::spawn(serve_target(listener, target, Arc::clone(&served_store)));
                    }
                    accept_connections(
                        listener,
                        move |request| store::respond_to(Arc::clone(&served_store), request),
                        &watch::Sender::new(()).subscribe(),
                    )
                    .await;
                });
            })?;
        Ok(Self {
            store,
            targets: started,
            runtime: handle,
            link_bytes: Arc::new(AtomicU64::new(0)),
        })
    }

    /// Limits what each instance that registers from now on sends to other instances.
    pub fn limit_instance_links(&self, bytes_per_s: u64) {
        self.store
            .limit_instance_links(bytes_per_s, Arc::clone(&self.link_bytes));
    }

    /// Returns an address of the store for one instance, whose responses share a limited link.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn store_address_with_link(&self, bytes_per_s: u64) -> io::Result<SocketAddrV4> {
        let link = Link::new(bytes_per_s, Arc::clone(&self.link_bytes));
        let store = self.store.address;
        let (sender, address) = mpsc::channel();
        self.runtime.spawn(async move {
            // Fails only if the caller has gone.
            let _unsent = sender.send(link.relay(store).await);
        });
        address.recv().map_err(io::Error::other)?
    }

    /// Returns how many bytes were sent over limited links.
    #[must_use]
    pub fn link_bytes(&self) -> u64 {
        self.link_bytes.load(Ordering::Relaxed)
    }

    /// Returns the target with this identifier.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    #[must_use]
    pub fn target(&self, id: &str) -> Arc<Target> {
        let target = self.targets.iter().find(|target| target.entry().id == id);
        Arc::clone(target.expect("the target exists"))
    }

    /// Returns how often targets have executed the request with this identifier.
    #[must_use]
    pub fn execution_count(&self, id: &str) -> usize {
        let executed = self.executed_request_ids();
        executed.iter().filter(|executed| *executed == id).count()
    }

    /// Returns the identifiers of the requests that targets have executed, in the order in which
    /// the executions started.
    ///
    /// The identifier of a request that was executed several times appears several times.
    #[must_use]
    pub fn executed_request_ids(&self) -> Vec<String> {
        let mut executed: Vec<(std::time::Instant, String)> = Vec::new();
        for target in &self.targets {
            executed.extend(
                target
                    .executed_requests()
                    .into_iter()
                    .map(|request| (request.started_at, request.request_id)),
            );
        }
        executed.sort();
        executed
            .into_iter()
            .map(|(_, request_id)| request_id)
            .collect()
    }
}

fn local_address(listener: &TcpListener) -> io::Result<SocketAddrV4> {
    match listener.local_addr()? {
        std::net::SocketAddr::V4(address) => Ok(address),
        std::net::SocketAddr::V6(_) => Err(io::ErrorKind::Unsupported.into()),
    }
}

/// Serves the incarnations of a target. After each crash, connections are refused until the next
/// incarnation is in the store.
async fn serve_target(
    mut listener: TcpListener,
    target: Arc<Target>,
    store: Arc<Store>,
) -> io::Result<()> {
    let mut crashes = target.crashes();
    loop {
        let (connection_breaks, breaks) = watch::channel(());
        let served_target = Arc::clone(&target);
        let respond = move |request| target::respond_to(Arc::clone(&served_target), request);
        tokio::select! {
            () = accept_connections(listener, respond, &breaks) => return Ok(()),
            _ = crashes.changed() => {}
        }
        // The bound socket keeps the port, and refuses connections until it listens. Connections
        // break afterwards, so that a client which observes this cannot connect any more.
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(target.address.into())?;
        connection_breaks.send_replace(());
        sleep(CRASH_DOWNTIME).await;
        crashes.mark_unchanged();
        listener = socket.listen(LISTEN_BACKLOG)?;
        store.put_target(&target.entry())?;
    }
}

/// Serves connections, all of which break when `breaks` changes.
async fn accept_connections<F, R, B>(
    listener: TcpListener,
    respond: F,
    breaks: &watch::Receiver<()>,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = io::Result<Response<B>>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    while let Ok((stream, _)) = listener.accept().await {
        let respond = respond.clone();
        let mut breaks = breaks.clone();
        tokio::spawn(async move {
            let connection =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(respond));
            // Fails if an injected fault has aborted the connection.
            tokio::select! {
                _aborted = connection => {}
                Ok(()) = breaks.changed() => {}
            }
        });
    }
}
