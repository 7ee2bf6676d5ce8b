//! The platform's balancer: spreads requests over the instances that are ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::Client;

const CHECK_EVERY: Duration = Duration::from_secs(1);
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);
const READY: u16 = 200;

/// The instances of a deployment and their state.
#[derive(Debug)]
pub struct Balancer {
    instances: Vec<Backend>,
    next: AtomicUsize,
}

#[derive(Debug)]
struct Backend {
    address: SocketAddr,
    ready: AtomicBool,
}

impl Balancer {
    /// Creates a balancer; with `checks`, instances that are not ready are skipped.
    #[must_use]
    pub fn start(addresses: &[SocketAddr], checks: bool) -> Arc<Self> {
        let instances = addresses
            .iter()
            .map(|&address| Backend {
                address,
                ready: AtomicBool::new(true),
            })
            .collect();
        let balancer = Arc::new(Self {
            instances,
            next: AtomicUsize::new(0),
        });
        if checks {
            for position in 0..addresses.len() {
                let checked = Arc::downgrade(&balancer);
                thread::spawn(move || check(&checked, position));
            }
        }
        balancer
    }

    /// Returns all addresses.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|each| each.address).collect()
    }

    /// Returns the next instance that is ready, or just the next one if none is.
    #[must_use]
    pub fn pick(&self) -> Option<SocketAddr> {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.instances.len();
        let in_turn = || (0..count).map(|step| &self.instances[(start + step) % count]);
        in_turn()
            .find(|instance| instance.ready.load(Ordering::Relaxed))
            .or_else(|| in_turn().next())
            .map(|instance| instance.address)
    }
}

/// Checks one instance each second for as long as the balancer exists.
fn check(balancer: &Weak<Balancer>, position: usize) {
    let client = Client::with_timeout(CHECK_TIMEOUT);
    while let Some(balancer) = balancer.upgrade() {
        let instance = &balancer.instances[position];
        let status = client.status(instance.address, "/readyz");
        instance
            .ready
            .store(status == Some(READY), Ordering::Relaxed);
        drop(balancer);
        thread::sleep(CHECK_EVERY);
    }
}
