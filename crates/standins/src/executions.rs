//! The executions of non-idempotent calls, counted by idempotency key.

use std::collections::BTreeMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

const DUPLICATE_WAIT: Duration = Duration::from_secs(10);

/// How often a call with one key was executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The idempotency key that the target received.
    pub key: String,
    /// The marker of the caller's input, empty if there is none.
    pub marker: String,
    /// The number of executions.
    pub count: u32,
}

/// The answer to `GET /executions`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionList {
    /// The executions in the order of their keys.
    pub executions: Vec<Execution>,
}

#[derive(Debug, Default)]
struct Record {
    marker: String,
    count: u32,
    running: bool,
    output: Option<Value>,
}

/// The executions of one target.
#[derive(Debug, Default)]
pub struct Executions {
    records: Mutex<BTreeMap<String, Record>>,
    finished: Condvar,
}

impl Executions {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the output of an earlier call with this key, and waits for one that runs.
    ///
    /// Without such a call, the caller has to run it, and to end it with [`Self::finish`] or
    /// [`Self::abandon`].
    pub fn deduplicate(&self, key: &str) -> Option<Value> {
        let records = self.lock();
        let running = |records: &mut BTreeMap<String, Record>| {
            records.get(key).is_some_and(|record| record.running)
        };
        let mut records = self
            .finished
            .wait_timeout_while(records, DUPLICATE_WAIT, running)
            .unwrap_or_else(PoisonError::into_inner)
            .0;
        let record = records.entry(key.to_owned()).or_default();
        if record.output.is_none() {
            record.running = true;
        }
        record.output.clone()
    }

    /// Counts an execution.
    pub fn finish(&self, key: &str, marker: &str, output: &Value) {
        let mut records = self.lock();
        let record = records.entry(key.to_owned()).or_default();
        marker.clone_into(&mut record.marker);
        record.count += 1;
        record.running = false;
        record.output = Some(output.clone());
        self.finished.notify_all();
    }

    /// Notes that a call ended without an execution.
    pub fn abandon(&self, key: &str) {
        if let Some(record) = self.lock().get_mut(key) {
            record.running = false;
        }
        self.finished.notify_all();
    }

    /// Lists the keys that were executed.
    #[must_use]
    pub fn list(&self) -> ExecutionList {
        let executions = self
            .lock()
            .iter()
            .filter(|(_, record)| record.count > 0)
            .map(|(key, record)| Execution {
                key: key.clone(),
                marker: record.marker.clone(),
                count: record.count,
            })
            .collect();
        ExecutionList { executions }
    }
}
