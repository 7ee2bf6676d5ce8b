//! The record of a run: one line for each event, with the time since the start of the run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            started: Instant::now(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:>7} ms  {text}");
        drop(file);
        if std::env::var_os("VERBOSE").is_some() {
            println!("{now:>7} ms  {text}");
        }
    }
}
