//! An attempt to have a target execute a request, with its connection.

use std::rc::Rc;

use http::HeaderMap;

use crate::connection::CallError;
use crate::connection::Connection;
use crate::pool::PooledConnection;
use crate::request::RequestContext;
use crate::rollouts;
use crate::rollouts::RequestEvidence;
use crate::shared::Shared;
use crate::target_reports;
use arbutus_coord::Millis;
use arbutus_platform::response;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::target_selection::TargetOutcome;

/// Records the outcome of an attempt when dropped.
#[derive(Debug)]
struct AttemptRecord {
    shared: Rc<Shared>,
    entry: TargetEntry,
    evidence: Option<RequestEvidence>,
    sent_at: Millis,
    outcome: TargetOutcome,
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut target_states = self.shared.target_states.borrow_mut();
        target_states.record_outcome(now, &self.entry.id, self.outcome);
        target_reports::record_outcome(&self.shared, &self.entry, self.outcome);
        let event = self.outcome.into();
        self.shared
            .metrics
            .count_attempt(&self.entry.service, event);
        if let Some(evidence) = &self.evidence {
            rollouts::record_end(&self.shared, &self.entry, evidence, self.outcome);
        }
    }
}

/// An attempt in progress.
#[derive(Debug)]
pub struct TargetAttempt {
    record: AttemptRecord,
    connection: PooledConnection,
}

impl TargetAttempt {
    /// Begins an attempt.
    #[must_use]
    pub fn new(context: &RequestContext, entry: TargetEntry, connection: PooledConnection) -> Self {
        let shared = &context.shared;
        shared.target_states.borrow_mut().record_send(&entry.id);
        let record = AttemptRecord {
            shared: Rc::clone(shared),
            evidence: rollouts::record_send(shared, &context.route.name, &entry),
            entry,
            sent_at: shared.now(),
            outcome: TargetOutcome::Abandoned,
        };
        Self { record, connection }
    }

    /// Returns the target of the attempt.
    #[must_use]
    pub fn target(&self) -> &TargetEntry {
        &self.record.entry
    }

    /// Returns when the attempt began to send its request.
    #[must_use]
    pub fn sent_at(&self) -> Millis {
        self.record.sent_at
    }

    /// Returns the connection of the attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was closed before the request was written.
    pub fn connection(&mut self) -> Result<&mut Connection, CallError> {
        self.connection.get()
    }

    /// Returns whether the connection had a request before.
    #[must_use]
    pub fn is_connection_reused(&self) -> bool {
        self.connection.is_reused()
    }

    /// Ends the attempt and closes its connection.
    pub fn close(mut self, outcome: TargetOutcome) {
        self.record.outcome = outcome;
    }

    /// Ends the attempt and returns its connection to the pool. The response body must have been
    /// read completely.
    pub fn release(mut self, outcome: TargetOutcome, headers: &HeaderMap) {
        self.record.outcome = outcome;
        if !response::closes_connection(headers) {
            let now = self.record.shared.now();
            self.connection
                .release(now, response::keep_alive_timeout_ms(headers));
        }
    }
}
