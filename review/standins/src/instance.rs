//! Processes of the product, started with the command of the deploy file.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

const PROGRAM: &str = "target/release/arbutusd";
const METRICS_PORT: u16 = 9_464;
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// A running instance; dropping it kills the process.
pub struct Instance {
    pub name: String,
    /// Where requesters connect.
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    settings_path: String,
    log_path: String,
    child: Child,
}

impl Instance {
    /// Starts an instance on a loopback address of its own and waits until it is ready.
    pub fn start(record: &Record, name: &str, zone: &str, store: SocketAddr) -> io::Result<Self> {
        let ip = free_ip()?;
        let folder = std::env::temp_dir().display().to_string();
        let id = std::process::id();
        let settings_path = format!("{folder}/review-{id}-{name}.toml");
        let log_path = format!("{folder}/review-{id}-{name}.log");
        fs::write(&settings_path, settings(name, zone, &ip, store))?;
        let mut command = Command::new(PROGRAM);
        command
            .arg("--platform")
            .env("ARBUTUSHAVEN_BOOT", &settings_path)
            .stdin(Stdio::null())
            .stdout(fs::File::create(&log_path)?)
            .stderr(fs::File::options().append(true).open(&log_path)?);
        // SAFETY: `prctl` may be called between fork and exec; it only has the kernel end the
        // process when the stand-in ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let instance = Self {
            name: name.to_owned(),
            frontend: format!("{ip}:8625").parse().expect("an address"),
            readiness: format!("{ip}:8621").parse().expect("an address"),
            settings_path,
            log_path,
            child: command.spawn()?,
        };
        instance.wait_ready(Duration::from_secs(10))?;
        record.line(&format!(
            "instance {name} pid {} is ready",
            instance.child.id()
        ));
        Ok(instance)
    }

    /// Asks for the readiness, as the balancer does once a second.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let stream = TcpStream::connect_timeout(&self.readiness, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            let bytes = http::encode("GET /readyz HTTP/1.1", &[("Host", "balancer")], b"");
            io::Write::write_all(&mut &stream, &bytes)?;
            Ok(http::read_message(&mut http::reader(&stream)?)?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > limit {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that was not waited for, so its id is its own.
        unsafe {
            kill(self.child.id().cast_signed(), signal);
        }
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the log lines that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _removed = fs::remove_file(&self.log_path);
        }
        let _removed = fs::remove_file(&self.settings_path);
    }
}

/// Returns a loopback address on which the ports of an instance are free.
fn free_ip() -> io::Result<String> {
    let id = std::process::id();
    for attempt in 0..200u32 {
        let number = id.wrapping_mul(131).wrapping_add(attempt * 7);
        let ip = format!(
            "127.{}.{}.{}",
            64 + number % 128,
            number / 128 % 250,
            1 + number / 32_000 % 250
        );
        let ports = [8_621, 8_625, 8_628, 7_740, METRICS_PORT];
        let sockets = ports.map(|port| TcpListener::bind((ip.as_str(), port)));
        if sockets.iter().all(Result::is_ok) {
            return Ok(ip);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

fn settings(name: &str, zone: &str, ip: &str, store: SocketAddr) -> String {
    format!(
        r#"node_name = "{name}"
role = "instance"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "kyushu"
internal_ports = [7740, 7755]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "stages"]
[zones]
arita = "kyushu"
hakata = "kyushu"
[listen]
frontend = "{ip}:8625"
readiness = "{ip}:8621"
control_plane = "{ip}:8628"
[limits]
cpu_share = 0.17
cores = 1
memory_mb = 182
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
budget_slack = 119
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
"#
    )
}
