//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Writes lines with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let elapsed_ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().expect("the record is locked by no panic");
        let _unwritable = writeln!(file, "{elapsed_ms:>7} {text}");
    }
}

/// Whether the run includes the disruption: it does unless `TROUBLE=0` is set.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process with 2 if the run takes too long. The processes that it started end with it,
/// since [`crate::instance::Instance`] asks the kernel for that.
pub fn limit_run(seconds: u64) {
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(seconds));
        eprintln!("the run took too long");
        std::process::exit(2);
    });
}
