//! Running the tool, directories with configuration files, and a scripted server.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde_json::Value;

/// The result of one run of the tool.
#[derive(Debug)]
pub struct Run {
    pub status: i32,
    pub output: String,
    pub errors: String,
}

impl Run {
    pub fn json(&self) -> Value {
        match serde_json::from_str(&self.output) {
            Ok(value) => value,
            Err(error) => panic!("{error}: {self:?}"),
        }
    }
}

/// Runs the tool to its end.
pub fn ctl(arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_arbutusctl"));
    let output: Output = command.args(arguments).output().expect("the tool starts");
    Run {
        status: output.status.code().expect("the tool exits by itself"),
        output: String::from_utf8_lossy(&output.stdout).into_owned(),
        errors: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// A directory that is removed at the end of its test.
#[derive(Debug)]
pub struct Scratch {
    path: PathBuf,
}

static NEXT: AtomicU32 = AtomicU32::new(0);

impl Scratch {
    /// Creates a copy of the Kamagama example with another weight for an organisation.
    pub fn with_weight(weight: u32) -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
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

    pub fn directory(&self) -> &str {
        self.path.to_str().expect("the path is UTF-8")
    }
}

fn weight_line(weight: u32) -> String {
    format!("island-studios: {{weight: {weight}}}")
}

impl Drop for Scratch {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.path));
    }
}

/// Returns an address at which nothing listens.
pub fn closed_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(loopback()).expect("a port is free");
    listener.local_addr().expect("it is bound")
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
