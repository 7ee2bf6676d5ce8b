//! Starts a fleet: the stand-in for the platform, stand-in targets and instances as separate
//! processes on loopback.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use serde_json::Value;
use ureq::Agent;

use crate::process;
use crate::process::Process;
use arbutus_config::Settings;
use arbutus_config::committed::CONFIG_KEY;
use arbutus_config::committed::CommitMetadata;
use arbutus_config::committed::CommittedConfig;
use arbutus_wire::platform::EntryKind;
use arbutus_wire::platform::EntryState;
use arbutus_wire::platform::ListEntry;

/// How long a process may take to become ready, and an instance to exit after SIGTERM.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const PORT_RANGE: Range<u16> = 18_000..32_000;
const PORT_ATTEMPTS: usize = 64;

/// Stand-in targets of one service.
#[derive(Clone, Debug)]
pub struct ServiceTargets {
    /// Service that the targets belong to.
    pub service: String,
    /// Value of the option `--kind` of `arbutus-target`.
    pub kind: String,
    /// Number of targets in each failure domain.
    pub per_failure_domain: usize,
    /// Further command-line options of `arbutus-target`.
    pub options: Vec<String>,
}

/// Processes and configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Setting `cluster` of the instances.
    pub cluster: String,
    /// Names of the failure domains; each is also the site of its instances.
    pub failure_domains: Vec<String>,
    /// Number of instances in each failure domain.
    pub instances_per_failure_domain: usize,
    /// Targets of each service.
    pub services: Vec<ServiceTargets>,
    /// Directory with `base.yaml` and `overlays`, committed as the first configuration.
    pub configuration: PathBuf,
}

/// A running process of `arbutusd`.
#[derive(Debug)]
pub struct InstanceProcess {
    /// Handle of the process.
    pub process: Process,
    /// Settings of the instance.
    pub settings: Settings,
    settings_file: PathBuf,
}

/// A running process of `arbutus-target`.
#[derive(Debug)]
pub struct TargetProcess {
    /// Handle of the process.
    pub process: Process,
    /// Service that the target belongs to.
    pub service: String,
    /// Failure domain that the target belongs to.
    pub failure_domain: String,
    /// HTTP address of the target.
    pub address: SocketAddr,
}

/// A running fleet; dropping it kills its processes.
#[derive(Debug)]
pub struct Fleet {
    /// HTTP address of the stand-in for the platform.
    pub platform: SocketAddr,
    /// Instances, grouped by failure domain in the order of [`FleetSpec::failure_domains`].
    pub instances: Vec<InstanceProcess>,
    /// Targets, grouped by failure domain in the order of [`FleetSpec::failure_domains`].
    pub targets: Vec<TargetProcess>,
    platform_process: Process,
    agent: Agent,
    binary_directory: PathBuf,
    directory: PathBuf,
}

impl Fleet {
    /// Starts a fleet and waits until each instance is ready.
    ///
    /// `binary_directory` contains the programs. Settings and logs are written to `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready in time.
    pub fn start(spec: &FleetSpec, binary_directory: &Path, directory: &Path) -> io::Result<Self> {
        fs::create_dir_all(directory)?;
        let platform = free_address()?;
        let mut command = Command::new(binary_directory.join("arbutus-platform"));
        command.args(["--listen", &platform.to_string()]);
        let platform_process =
            Process::start("platform", &mut command, &directory.join("platform.log"))?;
        let mut fleet = Self {
            platform,
            instances: Vec::new(),
            targets: Vec::new(),
            platform_process,
            agent: new_agent(),
            binary_directory: binary_directory.to_owned(),
            directory: directory.to_owned(),
        };
        fleet.wait_for_success(&format!("http://{platform}/stats"))?;
        fleet.commit_configuration(&spec.configuration)?;
        fleet.start_targets(spec)?;
        fleet.start_instances(spec)?;
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Returns an HTTP client; it does not treat error statuses as errors.
    #[must_use]
    pub fn agent(&self) -> &Agent {
        &self.agent
    }

    /// Returns the HTTP addresses of all instances.
    #[must_use]
    pub fn instance_addresses(&self) -> Vec<SocketAddr> {
        self.instances
            .iter()
            .map(|instance| instance.settings.http_address)
            .collect()
    }

    /// Returns the process of the stand-in for the platform.
    #[must_use]
    pub fn platform_process(&self) -> &Process {
        &self.platform_process
    }

    /// Sends `POST` with a JSON body to a process and returns the status and the body of the
    /// response; the body is null if it is not JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    pub fn post(&self, address: SocketAddr, path: &str, body: &Value) -> io::Result<(u16, Value)> {
        let mut response = self
            .agent
            .post(format!("http://{address}{path}"))
            .send_json(body)
            .map_err(io::Error::other)?;
        let status = response.status().as_u16();
        Ok((
            status,
            response.body_mut().read_json().unwrap_or(Value::Null),
        ))
    }

    /// Sends `GET` to a process and returns the JSON body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response or its body is not JSON.
    pub fn get(&self, address: SocketAddr, path: &str) -> io::Result<Value> {
        let url = format!("http://{address}{path}");
        let mut response = self.agent.get(url).call().map_err(io::Error::other)?;
        response.body_mut().read_json().map_err(io::Error::other)
    }

    /// Restarts an instance whose process has ended, with the same settings, and waits until it is
    /// ready.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be started or does not become ready in time.
    pub fn restart_instance(&mut self, index: usize) -> io::Result<()> {
        let instance = &mut self.instances[index];
        let name = instance.settings.name.clone();
        let file = instance.settings_file.clone();
        instance.process = start_instance(&self.binary_directory, &self.directory, &name, &file)?;
        let address = instance.settings.http_address;
        self.wait_for_success(&format!("http://{address}/readyz"))
    }

    /// Waits until the readiness path of every instance responds with a success status.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first instance that does not become ready in time.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        for address in self.instance_addresses() {
            self.wait_for_success(&format!("http://{address}/readyz"))?;
        }
        Ok(())
    }

    /// Shuts all instances down gracefully; returns whether each of them exited with status 0.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be signalled or waited for.
    pub fn shut_down(mut self) -> io::Result<bool> {
        for instance in &self.instances {
            instance.process.terminate()?;
        }
        let mut all_succeeded = true;
        for instance in &mut self.instances {
            let status = instance.process.wait(START_STOP_TIMEOUT)?;
            all_succeeded &= status.is_some_and(|status| status.success());
        }
        Ok(all_succeeded)
    }

    fn commit_configuration(&self, directory: &Path) -> io::Result<()> {
        let metadata = CommitMetadata {
            generation: 1,
            author: "fleet".to_owned(),
            token: "fleet-1".to_owned(),
            ..CommitMetadata::default()
        };
        let committed = CommittedConfig::from_directory(directory, metadata)
            .map_err(|error| io::Error::other(error.to_string()))?;
        let response = self
            .agent
            .put(format!("http://{}/v1/objects/{CONFIG_KEY}", self.platform))
            .header("If-None-Match", "*")
            .send_json(&committed)
            .map_err(io::Error::other)?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "cannot commit the configuration: the platform responded with status {}",
            response.status()
        )))
    }

    fn start_targets(&mut self, spec: &FleetSpec) -> io::Result<()> {
        for failure_domain in &spec.failure_domains {
            for service in &spec.services {
                for index in 0..service.per_failure_domain {
                    let name = format!("{}-{failure_domain}-{index}", service.service);
                    let target = self.start_target(&name, service, failure_domain)?;
                    self.targets.push(target);
                }
            }
        }
        for target in &self.targets {
            self.wait_for_success(&format!("http://{}/v1/load", target.address))?;
        }
        Ok(())
    }

    /// Starts one target without waiting until it is ready. It is not added to `targets`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free or the process cannot be started.
    pub fn start_target(
        &self,
        name: &str,
        service: &ServiceTargets,
        failure_domain: &str,
    ) -> io::Result<TargetProcess> {
        let address = free_address()?;
        let mut command = Command::new(self.binary_directory.join("arbutus-target"));
        command
            .args(["--listen", &address.to_string()])
            .args(["--name", name])
            .args(["--service", &service.service])
            .args(["--failure-domain", failure_domain])
            .args(["--kind", &service.kind])
            .args(["--platform", &self.platform.to_string()])
            .args(&service.options);
        let log = self.directory.join(format!("{name}.log"));
        Ok(TargetProcess {
            process: Process::start(name, &mut command, &log)?,
            service: service.service.clone(),
            failure_domain: failure_domain.to_owned(),
            address,
        })
    }

    fn start_instances(&mut self, spec: &FleetSpec) -> io::Result<()> {
        let mut all_settings = Vec::new();
        for failure_domain in &spec.failure_domains {
            for index in 0..spec.instances_per_failure_domain {
                let value = serde_json::json!({
                    "name": format!("{failure_domain}-{index}"),
                    "cluster": spec.cluster,
                    "site": failure_domain,
                    "failure_domain": failure_domain,
                    "http_address": free_address()?,
                    "peer_address": free_address()?,
                    "platform_address": self.platform,
                    "fault_injection": true,
                });
                all_settings.push(serde_json::from_value::<Settings>(value)?);
            }
        }
        let seeds = seed_addresses(&all_settings);
        for mut settings in all_settings {
            settings.seeds.clone_from(&seeds);
            self.register_instance(&settings)?;
            // JSON is valid YAML.
            let settings_file = self.directory.join(format!("{}.yaml", settings.name));
            fs::write(&settings_file, serde_json::to_string_pretty(&settings)?)?;
            let process = start_instance(
                &self.binary_directory,
                &self.directory,
                &settings.name,
                &settings_file,
            )?;
            self.instances.push(InstanceProcess {
                process,
                settings,
                settings_file,
            });
        }
        Ok(())
    }

    /// Adds an instance to the instance list of the platform.
    ///
    /// The real platform starts the instances itself and therefore knows them.
    fn register_instance(&self, settings: &Settings) -> io::Result<()> {
        let entry = ListEntry {
            name: settings.name.clone(),
            kind: EntryKind::Instance,
            service: String::new(),
            failure_domain: settings.failure_domain.clone(),
            address: settings.peer_address.to_string(),
            state: EntryState::Live,
        };
        let url = format!("http://{}/v1/instances/{}", self.platform, entry.name);
        self.agent
            .put(url)
            .send_json(&entry)
            .map_err(io::Error::other)?;
        Ok(())
    }

    fn wait_for_success(&self, url: &str) -> io::Result<()> {
        let deadline = Instant::now() + START_STOP_TIMEOUT;
        loop {
            let response = self.agent.get(url).call();
            if response.is_ok_and(|response| response.status().is_success()) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(io::Error::other(format!(
                    "{url} did not respond with a success status in time"
                )));
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
    }
}

/// Returns the peer address of the first instance of each failure domain.
fn seed_addresses(all_settings: &[Settings]) -> Vec<SocketAddr> {
    let mut domains = BTreeSet::new();
    let is_first_of_domain = |settings: &&Settings| domains.insert(settings.failure_domain.clone());
    all_settings
        .iter()
        .filter(is_first_of_domain)
        .map(|settings| settings.peer_address)
        .collect()
}

fn start_instance(
    binary_directory: &Path,
    directory: &Path,
    name: &str,
    settings_file: &Path,
) -> io::Result<Process> {
    let mut command = Command::new(binary_directory.join("arbutusd"));
    command.arg("--settings").arg(settings_file);
    Process::start(name, &mut command, &directory.join(format!("{name}.log")))
}

fn new_agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .new_agent()
}

/// Number of ports that this process has tried; no port is returned twice until all were tried.
static TRIED_PORT_COUNT: AtomicU16 = AtomicU16::new(0);
/// First port that this process tries, chosen at random to avoid those of parallel test processes.
static FIRST_PORT: OnceLock<u16> = OnceLock::new();

/// Returns a loopback address that is free at the moment and that this process has not returned
/// before.
///
/// The port is below the usual ephemeral ports. An outgoing connection could otherwise take it
/// before the started process has bound it.
///
/// # Errors
///
/// Returns the last bind error if 64 ports in succession are in use.
pub fn free_address() -> io::Result<SocketAddr> {
    let first = *FIRST_PORT.get_or_init(|| rand::rng().random_range(PORT_RANGE));
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    let _starts = process::lock_starts();
    for _ in 0..PORT_ATTEMPTS {
        let tried = TRIED_PORT_COUNT.fetch_add(1, Ordering::Relaxed);
        let span = PORT_RANGE.end - PORT_RANGE.start;
        let port = PORT_RANGE.start + (first - PORT_RANGE.start + tried % span) % span;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        match TcpListener::bind(address) {
            Ok(listener) => return listener.local_addr(),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
