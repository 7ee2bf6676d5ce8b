//! Runs `arbutusctl` and creates directories with configuration files.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde_json::Value;

/// The result of a run of `arbutusctl`.
#[derive(Debug)]
pub struct CommandOutput {
    pub status: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    pub fn json(&self) -> Value {
        match serde_json::from_str(&self.stdout) {
            Ok(value) => value,
            Err(error) => panic!("{error}: {self:?}"),
        }
    }
}

/// Runs `arbutusctl` and waits until it exits.
pub fn run_arbutusctl(arguments: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_arbutusctl"));
    let output: Output = command.args(arguments).output().expect("arbutusctl starts");
    CommandOutput {
        status: output
            .status
            .code()
            .expect("arbutusctl exits without a signal"),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// A temporary directory with configuration files, which is removed when it is dropped.
#[derive(Debug)]
pub struct ConfigDirectory {
    path: PathBuf,
}

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

impl ConfigDirectory {
    /// Copies the Kamagama example, with the given weight for the organisation `island-studios`.
    pub fn with_weight(weight: u32) -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("arbutusctl-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(path.join("overlays")).expect("the directory is new");
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kamagama");
        let base = fs::read_to_string(example.join("base.yaml")).expect("the example exists");
        let changed = base.replace("island-studios: {weight: 1}", &weight_line(weight));
        fs::write(path.join("base.yaml"), changed).expect("the directory is writable");
        let overlay = "overlays/hakata.yaml";
        fs::copy(example.join(overlay), path.join(overlay)).expect("the example exists");
        Self { path }
    }

    pub fn path(&self) -> &str {
        self.path.to_str().expect("the path is UTF-8")
    }
}

fn weight_line(weight: u32) -> String {
    format!("island-studios: {{weight: {weight}}}")
}

impl Drop for ConfigDirectory {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.path));
    }
}

/// Returns an address without a listener.
pub fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(loopback()).expect("a port is free");
    listener.local_addr().expect("the listener is bound")
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
