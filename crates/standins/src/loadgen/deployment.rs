//! Deployments that receive load: given by their addresses, or started for the run.

use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Fleet;
use crate::fleet::FleetSpec;
use crate::fleet::ServiceTargets;

/// The processes of a deployment that a run starts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetLoad {
    /// The failure domains.
    pub failure_domains: Vec<String>,
    /// The number of instances in each failure domain.
    pub instances_per_failure_domain: usize,
    /// The targets.
    pub services: Vec<ServiceLoad>,
}

/// The targets of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    /// The service.
    pub service: String,
    /// The kind, as `arbutus-target` takes it.
    pub kind: String,
    /// The number of targets in each failure domain.
    pub per_failure_domain: usize,
    /// Further options of `arbutus-target`.
    #[serde(default)]
    pub options: Vec<String>,
}

/// A deployment that receives load.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The label for reports.
    pub label: String,
    /// The instances' HTTP addresses.
    pub instances: Vec<SocketAddr>,
    /// The platform, from which the targets are read.
    pub platform: Option<SocketAddr>,
    /// Whether instances that are not ready are skipped.
    pub balancer: bool,
    started: Option<Arc<Started>>,
}

/// A fleet that ends with the last handle.
#[derive(Debug)]
struct Started {
    fleet: Mutex<Fleet>,
    directory: PathBuf,
}

impl Drop for Started {
    fn drop(&mut self) {
        // The logs of a run are of no use after it.
        drop(fs::remove_dir_all(&self.directory));
    }
}

impl Deployment {
    /// Creates a deployment whose processes run already.
    #[must_use]
    pub fn new(label: &str, instances: Vec<SocketAddr>, platform: Option<SocketAddr>) -> Self {
        Self {
            label: label.to_owned(),
            instances,
            platform,
            balancer: true,
            started: None,
        }
    }

    /// Sets whether instances that are not ready are skipped.
    #[must_use]
    pub fn with_balancer(mut self, balancer: bool) -> Self {
        self.balancer = balancer;
        self
    }

    /// Starts a deployment from the programs beside the running one.
    ///
    /// # Errors
    ///
    /// Returns what could not be started.
    pub fn start(label: &str, load: &FleetLoad, configuration: &Path) -> io::Result<Self> {
        let program = env::current_exe()?;
        let binaries = program.parent().unwrap_or(Path::new("."));
        let name = format!("arbutus-loadgen-{}-{label}", std::process::id());
        let directory = env::temp_dir().join(name);
        let spec = FleetSpec {
            cluster: label.to_owned(),
            failure_domains: load.failure_domains.clone(),
            instances_per_failure_domain: load.instances_per_failure_domain,
            services: load.services.iter().map(ServiceLoad::targets).collect(),
            configuration: configuration.to_owned(),
        };
        let fleet = Fleet::start(&spec, binaries, &directory)?;
        Ok(Self {
            label: label.to_owned(),
            instances: fleet.instance_addresses(),
            platform: Some(fleet.platform),
            balancer: true,
            started: Some(Arc::new(Started {
                fleet: Mutex::new(fleet),
                directory,
            })),
        })
    }

    /// Returns the fleet, if the deployment was started for the run.
    #[must_use]
    pub fn fleet(&self) -> Option<MutexGuard<'_, Fleet>> {
        let started = self.started.as_ref()?;
        Some(started.fleet.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ServiceLoad {
    fn targets(&self) -> ServiceTargets {
        ServiceTargets {
            service: self.service.clone(),
            kind: self.kind.clone(),
            per_failure_domain: self.per_failure_domain,
            options: self.options.clone(),
        }
    }
}
