//! A stand-in of what surrounds an instance on the users' platform: the store, targets with stages
//! and streams, and a client.
//!
//! All servers run in one thread. Tests change the store and the targets' faults while instances
//! run, and look at what targets have run.

pub mod client;
pub mod example;
pub mod instance;
pub mod store;
pub mod target;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::thread;

use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime;

use crate::simulated_platform::store::Store;
use crate::simulated_platform::target::Target;

/// The servers of the platform's side.
#[derive(Debug)]
pub struct SimulatedPlatform {
    /// The store.
    pub store: Arc<Store>,
    /// The targets.
    pub targets: Vec<Arc<Target>>,
}

impl SimulatedPlatform {
    /// Starts the store and the targets, and enters the targets into the store.
    ///
    /// # Errors
    ///
    /// Returns an error when a server cannot be started.
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
        let serving = Arc::clone(&store);
        thread::Builder::new()
            .name("platform-side".to_owned())
            .spawn(move || {
                runtime.block_on(async move {
                    for (listener, target) in servers {
                        tokio::spawn(accept(listener, move |request| {
                            target::respond_to(Arc::clone(&target), request)
                        }));
                    }
                    accept(listener, move |request| {
                        store::respond_to(Arc::clone(&serving), request)
                    })
                    .await;
                });
            })?;
        Ok(Self {
            store,
            targets: started,
        })
    }

    /// Returns the identifiers of the requests that any target ran, in the order of their runs.
    #[must_use]
    pub fn executed_request_ids(&self) -> Vec<String> {
        let mut runs: Vec<(std::time::Instant, String)> = Vec::new();
        for target in &self.targets {
            runs.extend(
                target
                    .executed_requests()
                    .into_iter()
                    .map(|run| (run.started_at, run.request_id)),
            );
        }
        runs.sort();
        runs.into_iter().map(|(_, request)| request).collect()
    }
}

fn local_address(listener: &TcpListener) -> io::Result<SocketAddrV4> {
    match listener.local_addr()? {
        std::net::SocketAddr::V4(address) => Ok(address),
        std::net::SocketAddr::V6(_) => Err(io::ErrorKind::Unsupported.into()),
    }
}

async fn accept<F, A, B>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = io::Result<Response<B>>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    while let Ok((stream, _)) = listener.accept().await {
        let answer = answer.clone();
        tokio::spawn(async move {
            let connection =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer));
            // A connection that a fault broke off ends with an error.
            let _ended = connection.await;
        });
    }
}
