//! A deployment of separate processes on loopback: platform, targets and instances.

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

use crate::process::Process;
use arbutus_config::Settings;
use arbutus_config::committed::CONFIG_KEY;
use arbutus_config::committed::CommitMetadata;
use arbutus_config::committed::CommittedConfig;
use arbutus_wire::platform::EntryKind;
use arbutus_wire::platform::EntryState;
use arbutus_wire::platform::ListEntry;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const PORTS: Range<u16> = 18_000..32_000;
const PORT_ATTEMPTS: usize = 64;

/// What the targets of a service are started with.
#[derive(Clone, Debug)]
pub struct ServiceTargets {
    /// The service.
    pub service: String,
    /// The kind, as `arbutus-target` takes it.
    pub kind: String,
    /// The number of targets in each failure domain.
    pub per_failure_domain: usize,
    /// Further options of `arbutus-target`.
    pub options: Vec<String>,
}

/// A deployment to start.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The name of the deployment.
    pub cluster: String,
    /// The failure domains, which are also the sites.
    pub failure_domains: Vec<String>,
    /// The number of instances in each failure domain.
    pub instances_per_failure_domain: usize,
    /// The targets.
    pub services: Vec<ServiceTargets>,
    /// The directory with `base.yaml` and `overlays`.
    pub configuration: PathBuf,
}

/// A running instance.
#[derive(Debug)]
pub struct InstanceProcess {
    /// The process.
    pub process: Process,
    /// The settings with which it was started.
    pub settings: Settings,
    settings_file: PathBuf,
}

/// A running target.
#[derive(Debug)]
pub struct TargetProcess {
    /// The process.
    pub process: Process,
    /// The service.
    pub service: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The HTTP address.
    pub address: SocketAddr,
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The platform's address.
    pub platform: SocketAddr,
    /// The instances.
    pub instances: Vec<InstanceProcess>,
    /// The targets.
    pub targets: Vec<TargetProcess>,
    platform_process: Process,
    agent: Agent,
    binaries: PathBuf,
    directory: PathBuf,
}

impl Fleet {
    /// Starts a deployment and waits until each instance is ready.
    ///
    /// `binaries` holds the programs; `directory` gets settings and logs.
    ///
    /// # Errors
    ///
    /// Returns what could not be started.
    pub fn start(spec: &FleetSpec, binaries: &Path, directory: &Path) -> io::Result<Self> {
        fs::create_dir_all(directory)?;
        let platform = free_address()?;
        let mut command = Command::new(binaries.join("arbutus-platform"));
        command.args(["--listen", &platform.to_string()]);
        let platform_process =
            Process::start("platform", &mut command, &directory.join("platform.log"))?;
        let mut fleet = Self {
            platform,
            instances: Vec::new(),
            targets: Vec::new(),
            platform_process,
            agent: agent(),
            binaries: binaries.to_owned(),
            directory: directory.to_owned(),
        };
        fleet.wait_for(&format!("http://{platform}/stats"))?;
        fleet.commit_configuration(&spec.configuration)?;
        fleet.start_targets(spec)?;
        fleet.start_instances(spec)?;
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Returns the client for calls to the processes.
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

    /// Returns the address of the platform's process.
    #[must_use]
    pub fn platform_process(&self) -> &Process {
        &self.platform_process
    }

    /// Posts JSON to a path of a process and returns status and body.
    ///
    /// # Errors
    ///
    /// Returns why there was no answer.
    pub fn post(&self, address: SocketAddr, path: &str, body: &Value) -> io::Result<(u16, Value)> {
        let mut answer = self
            .agent
            .post(format!("http://{address}{path}"))
            .send_json(body)
            .map_err(io::Error::other)?;
        let status = answer.status().as_u16();
        Ok((status, answer.body_mut().read_json().unwrap_or(Value::Null)))
    }

    /// Gets JSON from a path of a process.
    ///
    /// # Errors
    ///
    /// Returns why there was no answer.
    pub fn get(&self, address: SocketAddr, path: &str) -> io::Result<Value> {
        let url = format!("http://{address}{path}");
        let mut answer = self.agent.get(url).call().map_err(io::Error::other)?;
        answer.body_mut().read_json().map_err(io::Error::other)
    }

    /// Starts an instance again after its process has ended.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be started or does not become ready.
    pub fn restart_instance(&mut self, index: usize) -> io::Result<()> {
        let instance = &mut self.instances[index];
        let name = instance.settings.name.clone();
        let file = instance.settings_file.clone();
        instance.process = start_instance(&self.binaries, &self.directory, &name, &file)?;
        let address = instance.settings.http_address;
        self.wait_for(&format!("http://{address}/readyz"))
    }

    /// Waits until every instance answers that it is ready.
    ///
    /// # Errors
    ///
    /// Returns which instance did not become ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        for address in self.instance_addresses() {
            self.wait_for(&format!("http://{address}/readyz"))?;
        }
        Ok(())
    }

    /// Shuts all instances down gracefully and returns whether each ended with status 0.
    ///
    /// # Errors
    ///
    /// Returns why a process cannot be waited for.
    pub fn shut_down(mut self) -> io::Result<bool> {
        for instance in &self.instances {
            instance.process.terminate()?;
        }
        let mut clean = true;
        for instance in &mut self.instances {
            let status = instance.process.wait(READY_TIMEOUT)?;
            clean &= status.is_some_and(|status| status.success());
        }
        Ok(clean)
    }

    fn commit_configuration(&self, directory: &Path) -> io::Result<()> {
        let stamp = CommitMetadata {
            generation: 1,
            author: "fleet".to_owned(),
            token: "fleet-1".to_owned(),
            ..CommitMetadata::default()
        };
        let committed = CommittedConfig::from_directory(directory, stamp)
            .map_err(|error| io::Error::other(error.to_string()))?;
        let answer = self
            .agent
            .put(format!("http://{}/v1/objects/{CONFIG_KEY}", self.platform))
            .header("If-None-Match", "*")
            .send_json(&committed)
            .map_err(io::Error::other)?;
        if answer.status().is_success() {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "committing the configuration: {}",
            answer.status()
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
            self.wait_for(&format!("http://{}/v1/load", target.address))?;
        }
        Ok(())
    }

    /// Starts one more target.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be started.
    pub fn start_target(
        &self,
        name: &str,
        service: &ServiceTargets,
        failure_domain: &str,
    ) -> io::Result<TargetProcess> {
        let address = free_address()?;
        let mut command = Command::new(self.binaries.join("arbutus-target"));
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
        let mut all = Vec::new();
        for failure_domain in &spec.failure_domains {
            for index in 0..spec.instances_per_failure_domain {
                let text = serde_json::json!({
                    "name": format!("{failure_domain}-{index}"),
                    "cluster": spec.cluster,
                    "site": failure_domain,
                    "failure_domain": failure_domain,
                    "http_address": free_address()?,
                    "peer_address": free_address()?,
                    "platform_address": self.platform,
                    "fault_injection": true,
                });
                all.push(serde_json::from_value::<Settings>(text)?);
            }
        }
        let seeds = seeds(&all);
        for mut settings in all {
            settings.seeds.clone_from(&seeds);
            self.register(&settings)?;
            // JSON is valid YAML.
            let settings_file = self.directory.join(format!("{}.yaml", settings.name));
            fs::write(&settings_file, serde_json::to_string_pretty(&settings)?)?;
            let process = start_instance(
                &self.binaries,
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

    /// The platform knows the instances that it runs, so the fleet enters them in its list.
    fn register(&self, settings: &Settings) -> io::Result<()> {
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

    fn wait_for(&self, url: &str) -> io::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            let answer = self.agent.get(url).call();
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(io::Error::other(format!("{url} did not become ready")));
            }
            thread::sleep(READY_POLL);
        }
    }
}

/// Returns the peer address of the first instance of each failure domain.
fn seeds(all: &[Settings]) -> Vec<SocketAddr> {
    let mut domains = BTreeSet::new();
    let first_of_domain = |settings: &&Settings| domains.insert(settings.failure_domain.clone());
    all.iter()
        .filter(first_of_domain)
        .map(|settings| settings.peer_address)
        .collect()
}

fn start_instance(
    binaries: &Path,
    directory: &Path,
    name: &str,
    settings_file: &Path,
) -> io::Result<Process> {
    let mut command = Command::new(binaries.join("arbutusd"));
    command.arg("--settings").arg(settings_file);
    Process::start(name, &mut command, &directory.join(format!("{name}.log")))
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .new_agent()
}

/// The number of ports that this process has tried, which keeps them apart.
static TRIED_PORTS: AtomicU16 = AtomicU16::new(0);
/// Where this process begins to look for ports.
static FIRST_PORT: OnceLock<u16> = OnceLock::new();

/// Returns a loopback address that is free at the moment and was not returned before.
///
/// The port is below those that the system usually gives to outgoing connections, because one of
/// them could take it before the process that is started binds it.
///
/// # Errors
///
/// Returns why no port can be had.
pub fn free_address() -> io::Result<SocketAddr> {
    let first = *FIRST_PORT.get_or_init(|| rand::rng().random_range(PORTS));
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORT_ATTEMPTS {
        let tried = TRIED_PORTS.fetch_add(1, Ordering::Relaxed);
        let span = PORTS.end - PORTS.start;
        let port = PORTS.start + (first - PORTS.start + tried % span) % span;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        match TcpListener::bind(address) {
            Ok(listener) => return listener.local_addr(),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
