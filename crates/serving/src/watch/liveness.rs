//! Whether the store responds, and whether a pending watch still reports changes.
//!
//! A pending watch looks the same when the store has stopped responding, or has lost the response
//! and left the connection open. Periodic reads on another connection notice the first; the revision
//! that they return, compared with that of the watch, shows the second.

use std::pin::pin;
use std::rc::Rc;

use http::Method;
use log::info;
use log::warn;

use super::StoreState;
use crate::net::sleep;
use crate::store::SHORT_CALL_TIMEOUT_MS;
use crate::store::StoreError;
use crate::store_version::StoreVersion;
use arbutus_coord::Millis;
use arbutus_platform::store::ObjectKind;
use arbutus_platform::store::WatchResponse;
use arbutus_platform::store::stale_list_path;
use arbutus_policy::serving::pending_watch::PendingWatch;

/// How long a watch call waits for a change. An unchanged store costs three calls per minute and
/// kind.
const LONG_POLL_MS: Millis = Millis(20_000);
/// Interval of the calls that check whether the store responds. If it does not, followers switch to
/// another watcher, and changes must still take effect within 2 s.
const PROBE_INTERVAL_MS: Millis = Millis(500);
/// Every so many probes, one is up to date and shows the revision of the store. Changes whose watch
/// response was lost must take effect within 3 s, of which passing them on to followers can take
/// 1 s. The other probes may be stale, which costs a tenth.
const PROBES_PER_VERSION_READ: u32 = 3;

impl StoreState {
    /// Periodically checks whether the store responds, and reads its version.
    ///
    /// # Errors
    ///
    /// Never returns; supervised tasks must have a `Result` as their return type.
    pub async fn probe(self: Rc<Self>) -> Result<(), String> {
        let mut stale_probes = 0;
        loop {
            if !self.is_watcher() {
                // A new watcher has just listed all objects. Instances that start watch only until
                // they find one to follow, while the entries of all others change the revision.
                stale_probes = 0;
                self.wait_for_watcher_role(true).await;
            }
            let responds = if stale_probes + 1 == PROBES_PER_VERSION_READ {
                stale_probes = 0;
                self.read_version().await
            } else {
                stale_probes += 1;
                self.probe_stale().await
            };
            if let Err(error) = &responds
                && self.is_reachable()
            {
                warn!(error:%; "the store does not respond");
            }
            self.record_reachability(responds.is_ok());
            self.check_era();
            sleep(PROBE_INTERVAL_MS).await;
        }
    }

    async fn probe_stale(&self) -> Result<(), StoreError> {
        let kind = ObjectKind::Evacuations;
        let path = stale_list_path(kind);
        let call = self
            .client
            .call(kind, Method::GET, &path, None, SHORT_CALL_TIMEOUT_MS);
        call.await.map(drop)
    }

    async fn read_version(&self) -> Result<(), StoreError> {
        let version = self.client.read_version().await?;
        self.store_version.send_if_modified(|known| {
            let is_later = version > *known;
            *known = version.max(*known);
            is_later
        });
        Ok(())
    }

    /// Waits for changes of a kind after a version, and checks the pending watch whenever the store
    /// is known to be at a later revision.
    ///
    /// # Errors
    ///
    /// Returns an error when the watch or a check fails.
    pub(super) async fn wait_for_changes(
        &self,
        kind: ObjectKind,
        version: StoreVersion,
    ) -> Result<WatchResponse, StoreError> {
        let mut store_version = self.store_version.subscribe();
        let mut pending = PendingWatch::new(version.revision());
        let known = *store_version.borrow_and_update();
        self.record_store_version(&mut pending, version, known)?;
        let mut response = pin!(self.client.watch(kind, version, LONG_POLL_MS));
        loop {
            let check_due = async {
                match pending.check_due_at() {
                    Some(due_at) => sleep(due_at - self.shared.now()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                response = response.as_mut() => return response,
                Ok(()) = store_version.changed() => {
                    let known = *store_version.borrow_and_update();
                    self.record_store_version(&mut pending, version, known)?;
                }
                () = check_due => {
                    if pending.is_explained_by(&self.reported_changes.borrow()) {
                        continue;
                    }
                    let since = StoreVersion::new(version.era(), pending.revision());
                    let checked = self.client.changes_since(kind, since).await?;
                    if !checked.changes.is_empty() || checked.undecodable > 0 {
                        info!(
                            kind = kind.label(), watched = version.revision(), revision = checked.revision,
                            changes = checked.changes.len();
                            "a watch did not report changes of the store"
                        );
                        return Ok(checked);
                    }
                    pending.record_unchanged(checked.revision);
                }
            }
        }
    }

    /// Records the known version of the store for a watch after `watched`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is in another era, so that the watch reports nothing any more.
    fn record_store_version(
        &self,
        pending: &mut PendingWatch,
        watched: StoreVersion,
        known: StoreVersion,
    ) -> Result<(), StoreError> {
        if known.era() > watched.era() {
            return Err(StoreError::OtherEra);
        }
        if known.era() == watched.era() {
            pending.record_store_revision(self.shared.now(), known.revision());
        }
        Ok(())
    }
}
