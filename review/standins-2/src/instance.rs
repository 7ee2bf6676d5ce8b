//! Instances: processes with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A running instance; it is killed when dropped.
#[derive(Debug)]
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Child,
}

/// The settings that differ between cases.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub zones: Vec<String>,
    pub memory_mb: u32,
}

impl Deployment {
    pub fn start(&self, name: &str, zone: &str, ip: Ipv4Addr) -> io::Result<Instance> {
        let zones: Vec<String> = self
            .zones
            .iter()
            .map(|zone| format!("{zone} = \"flanders\""))
            .collect();
        let text = format!(
            r#"node_name = "{name}"
role = "instance"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "flanders"
internal_ports = [7740,7755]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","stages"]
[zones]
{zones}
[listen]
frontend = "{ip}:8625"
readiness = "{ip}:8621"
control_plane = "{ip}:8628"
[limits]
cpu_share = 0.17
cores = 1
memory_mb = {memory_mb}
file_descriptors = 2870
link_mbps = 700.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 126
cold_multiplier = 1.5
cold_tolerance = 5
evacuate_ms = 5000
recover_s = 12
pass_ms = 120
reuse_window_s = 10
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#,
            zones = zones.join("\n"),
            memory_mb = self.memory_mb,
            store = self.store,
        );
        let settings_file = self.folder.join(format!("{name}.toml"));
        let log_file = self.folder.join(format!("{name}.log"));
        fs::write(&settings_file, text)?;
        let child = spawn(&settings_file, &log_file)?;
        Ok(Instance {
            name: name.to_owned(),
            zone: zone.to_owned(),
            frontend: SocketAddr::from((ip, 8625)),
            readiness: SocketAddr::from((ip, 8621)),
            settings_file,
            log_file,
            child,
        })
    }
}

fn spawn(settings_file: &Path, log_file: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log_file)?;
    Command::new("target/release/arbutusd")
        .arg("--platform")
        .env("ARBUTUSHAVEN_BOOT", settings_file)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

impl Instance {
    pub fn is_ready(&self) -> bool {
        client::get_status(self.readiness, "/readyz", Duration::from_millis(500)) == Some(200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.settings_file, &self.log_file)?;
        Ok(())
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) -> bool {
        const SIGTERM: i32 = 15;
        // SAFETY: the process is a child that was not waited for yet.
        unsafe { kill(self.child.id() as i32, SIGTERM) == 0 }
    }

    /// Stops the process, or lets it go on.
    pub fn pause(&self, is_paused: bool) -> bool {
        const SIGCONT: i32 = 18;
        const SIGSTOP: i32 = 19;
        let signal = if is_paused { SIGSTOP } else { SIGCONT };
        // SAFETY: the process is a child that was not waited for yet.
        unsafe { kill(self.child.id() as i32, signal) == 0 }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns how the process ended; `None` if it runs.
    pub fn ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// Returns the peak resident memory in kilobytes.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder, removed when dropped.
#[derive(Debug)]
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
