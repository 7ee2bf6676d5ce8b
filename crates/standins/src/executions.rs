//! Records the executions of calls by idempotency key.
//!
//! Tests read the counts to find double executions. A target that deduplicates responds with the
//! recorded output instead of executing the call again.

use std::collections::BTreeMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// How long a call waits for an earlier one with the same key before it is executed nevertheless.
const DUPLICATE_WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of executions of calls with one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCount {
    /// Idempotency key of the calls.
    pub key: String,
    /// Value of the field `marker` of the client's input, empty if there is none.
    pub marker: String,
    /// How often a call with the key was executed.
    pub count: u32,
}

/// Response body of `GET /executions`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionList {
    /// Counts in ascending order of the keys.
    pub executions: Vec<ExecutionCount>,
}

#[derive(Debug, Default)]
struct Record {
    marker: String,
    count: u32,
    in_progress: bool,
    output: Option<Value>,
}

/// The executions of one target by idempotency key.
#[derive(Debug, Default)]
pub struct Executions {
    records: Mutex<BTreeMap<String, Record>>,
    call_ended: Condvar,
}

impl Executions {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the output of an earlier call with this key; waits first if one is in progress.
    ///
    /// If there is no output, the key is marked as in progress. The caller then has to execute the
    /// call and to finish with [`Self::record_execution`] or [`Self::end_call`].
    pub fn output_or_begin(&self, key: &str) -> Option<Value> {
        let records = self.lock();
        let is_in_progress = |records: &mut BTreeMap<String, Record>| {
            records.get(key).is_some_and(|record| record.in_progress)
        };
        let mut records = self
            .call_ended
            .wait_timeout_while(records, DUPLICATE_WAIT_TIMEOUT, is_in_progress)
            .unwrap_or_else(PoisonError::into_inner)
            .0;
        let record = records.entry(key.to_owned()).or_default();
        if record.output.is_none() {
            record.in_progress = true;
        }
        record.output.clone()
    }

    /// Counts an execution and stores its output for later calls with the key.
    pub fn record_execution(&self, key: &str, marker: &str, output: &Value) {
        let mut records = self.lock();
        let record = records.entry(key.to_owned()).or_default();
        marker.clone_into(&mut record.marker);
        record.count += 1;
        record.in_progress = false;
        record.output = Some(output.clone());
        self.call_ended.notify_all();
    }

    /// Ends a call that [`Self::output_or_begin`] has begun, whether or not it was executed.
    pub fn end_call(&self, key: &str) {
        if let Some(record) = self.lock().get_mut(key) {
            record.in_progress = false;
        }
        self.call_ended.notify_all();
    }

    /// Returns the counts of all keys with at least one execution.
    #[must_use]
    pub fn list(&self) -> ExecutionList {
        let executions = self
            .lock()
            .iter()
            .filter(|(_, record)| record.count > 0)
            .map(|(key, record)| ExecutionCount {
                key: key.clone(),
                marker: record.marker.clone(),
                count: record.count,
            })
            .collect();
        ExecutionList { executions }
    }
}
