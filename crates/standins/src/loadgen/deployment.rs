//! Deployments that receive load: already running, or started for the run.

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

/// Processes of a deployment that is started for a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetLayout {
    /// Names of the failure domains.
    pub failure_domains: Vec<String>,
    /// Instances in each failure domain.
    pub instances_per_failure_domain: usize,
    /// Targets of each service.
    pub services: Vec<ServiceLayout>,
}

/// Targets of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLayout {
    /// Name of the service.
    pub service: String,
    /// Kind of the targets: the value of the option `--kind` of `arbutus-target`.
    pub kind: String,
    /// Targets in each failure domain.
    pub per_failure_domain: usize,
    /// Further command-line options of `arbutus-target`.
    #[serde(default)]
    pub options: Vec<String>,
}

/// A deployment that receives load.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name in reports.
    pub label: String,
    /// HTTP addresses of the instances.
    pub instances: Vec<SocketAddr>,
    /// Address of the platform, which lists the targets.
    ///
    /// Without it, costs and bookings are not reported, and no faults can be injected into targets.
    pub platform: Option<SocketAddr>,
    /// Whether requests skip instances that are not ready.
    pub probes_readiness: bool,
    /// The processes, if the deployment was started for the run.
    started_fleet: Option<Arc<StartedFleet>>,
}

/// A fleet whose processes are killed when the last clone of its deployment is dropped.
#[derive(Debug)]
struct StartedFleet {
    fleet: Mutex<Fleet>,
    directory: PathBuf,
}

impl Drop for StartedFleet {
    fn drop(&mut self) {
        // The logs are not needed after the run. A directory that cannot be removed is left behind.
        drop(fs::remove_dir_all(&self.directory));
    }
}

impl Deployment {
    /// Creates a deployment whose processes are already running.
    #[must_use]
    pub fn new(label: &str, instances: Vec<SocketAddr>, platform: Option<SocketAddr>) -> Self {
        Self {
            label: label.to_owned(),
            instances,
            platform,
            probes_readiness: true,
            started_fleet: None,
        }
    }

    /// Sets whether requests skip instances that are not ready.
    #[must_use]
    pub fn with_readiness_probes(mut self, probes_readiness: bool) -> Self {
        self.probes_readiness = probes_readiness;
        self
    }

    /// Starts a deployment with the programs in the directory of the current executable.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started.
    pub fn start(label: &str, layout: &FleetLayout, configuration: &Path) -> io::Result<Self> {
        let program = env::current_exe()?;
        let binary_directory = program.parent().unwrap_or(Path::new("."));
        let directory_name = format!("arbutus-loadgen-{}-{label}", std::process::id());
        let directory = env::temp_dir().join(directory_name);
        let spec = FleetSpec {
            cluster: label.to_owned(),
            failure_domains: layout.failure_domains.clone(),
            instances_per_failure_domain: layout.instances_per_failure_domain,
            services: layout
                .services
                .iter()
                .map(ServiceLayout::service_targets)
                .collect(),
            configuration: configuration.to_owned(),
        };
        let fleet = Fleet::start(&spec, binary_directory, &directory)?;
        Ok(Self {
            label: label.to_owned(),
            instances: fleet.instance_addresses(),
            platform: Some(fleet.platform),
            probes_readiness: true,
            started_fleet: Some(Arc::new(StartedFleet {
                fleet: Mutex::new(fleet),
                directory,
            })),
        })
    }

    /// Returns the fleet, or `None` if the deployment was already running.
    #[must_use]
    pub fn fleet(&self) -> Option<MutexGuard<'_, Fleet>> {
        let started = self.started_fleet.as_ref()?;
        Some(started.fleet.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ServiceLayout {
    fn service_targets(&self) -> ServiceTargets {
        ServiceTargets {
            service: self.service.clone(),
            kind: self.kind.clone(),
            per_failure_domain: self.per_failure_domain,
            options: self.options.clone(),
        }
    }
}
