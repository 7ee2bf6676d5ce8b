//! The load balancer of the load generator: spreads requests over the instances that are ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::Client;

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
const READY_STATUS: u16 = 200;

/// Selects an instance of a deployment for each request, in round-robin order.
#[derive(Debug)]
pub struct LoadBalancer {
    instances: Vec<InstanceState>,
    next_index: AtomicUsize,
}

#[derive(Debug)]
struct InstanceState {
    address: SocketAddr,
    ready: AtomicBool,
}

impl LoadBalancer {
    /// Starts a load balancer.
    ///
    /// With `probes_readiness`, instances that are not ready are skipped.
    #[must_use]
    pub fn start(addresses: &[SocketAddr], probes_readiness: bool) -> Arc<Self> {
        let instances = addresses
            .iter()
            .map(|&address| InstanceState {
                address,
                ready: AtomicBool::new(true),
            })
            .collect();
        let load_balancer = Arc::new(Self {
            instances,
            next_index: AtomicUsize::new(0),
        });
        if probes_readiness {
            for index in 0..addresses.len() {
                let weak_reference = Arc::downgrade(&load_balancer);
                thread::spawn(move || probe_readiness(&weak_reference, index));
            }
        }
        load_balancer
    }

    /// Returns the addresses of all instances, ready or not.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|each| each.address).collect()
    }

    /// Returns the next instance that is ready, or the next one if none is ready.
    ///
    /// Returns `None` if the deployment has no instances.
    #[must_use]
    pub fn next_instance(&self) -> Option<SocketAddr> {
        let first = self.next_index.fetch_add(1, Ordering::Relaxed);
        let count = self.instances.len();
        let round_robin = || (0..count).map(|offset| &self.instances[(first + offset) % count]);
        round_robin()
            .find(|instance| instance.ready.load(Ordering::Relaxed))
            .or_else(|| round_robin().next())
            .map(|instance| instance.address)
    }
}

/// Probes one instance periodically for as long as the load balancer exists.
fn probe_readiness(load_balancer: &Weak<LoadBalancer>, index: usize) {
    let client = Client::with_timeout(PROBE_TIMEOUT);
    while let Some(load_balancer) = load_balancer.upgrade() {
        let instance = &load_balancer.instances[index];
        let status = client.status(instance.address, "/readyz");
        instance
            .ready
            .store(status == Some(READY_STATUS), Ordering::Relaxed);
        drop(load_balancer);
        thread::sleep(PROBE_INTERVAL);
    }
}
