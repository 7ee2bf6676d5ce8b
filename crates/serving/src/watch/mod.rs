//! Local copy of the store objects.
//!
//! A watcher runs one task per kind of objects, which lists the objects and then waits for changes;
//! see [`liveness`] for a store that stops responding. Other instances follow a watcher; see
//! [`crate::watcher_selection`]. During a store outage, an instance also takes newer objects from
//! any peer.

mod liveness;
mod returns;
mod store_role;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use log::info;
use log::warn;
use tokio::sync::watch;

use crate::net::sleep;
use crate::peer_messages::PeerReply;
use crate::rollouts;
use crate::shared::Shared;
use crate::store::SHORT_CALL_TIMEOUT_MS;
use crate::store::StoreClient;
use crate::store::StoreError;
use crate::store_version::StoreVersion;
use crate::target_reports;
use crate::update::ObjectCache;
use crate::update::StateUpdate;
use crate::update::UpdateContent;
use arbutus_coord::Millis;
use arbutus_platform::configuration;
use arbutus_platform::store::CONFIGURATION_OBJECT_NAME;
use arbutus_platform::store::InstanceEntry;
use arbutus_platform::store::ObjectChange;
use arbutus_platform::store::ObjectKind;
use arbutus_platform::store::StoredObject;
use arbutus_platform::store::create_path;
use arbutus_platform::store::decode_instance;
use arbutus_platform::store::decode_target;
use arbutus_platform::store::encode_instance;
use arbutus_platform::store::object_path;
use arbutus_policy::serving::model::TargetEntry;
use arbutus_policy::serving::pending_watch::ReportedChanges;
use arbutus_policy::serving::routes::RouteTable;
use arbutus_policy::serving::store_role::StoreRole;
use arbutus_policy::serving::store_role::StoreRoleState;
use arbutus_policy::serving::target_directory::TargetChange;

/// Pause after a change, so that one call returns all changes that follow closely. Changes must
/// take effect within 2 s of their acknowledgement.
const COALESCE_MS: Millis = Millis(120);
/// Pause after a change of the instance list, which is not urgent.
const COALESCE_INSTANCES_MS: Millis = Millis(1_000);
/// Delay after the first failed call; doubles with each failure. Any successful call ends the
/// delay.
const MIN_RETRY_DELAY_MS: Millis = Millis(250);
/// Maximum delay after a failed call.
const MAX_RETRY_DELAY_MS: Millis = Millis(2_000);
/// Delay before another attempt to register this instance.
const REGISTRATION_RETRY_DELAY_MS: Millis = Millis(500);
/// Time after a store outage during which a missing entry may have expired rather than have been
/// removed. Its owner registers it again within 2 s of the store's recovery.
const OUTAGE_EXPIRY_MS: Millis = Millis(3_000);

/// An update as it is sent.
#[derive(Debug)]
struct CompressedUpdate {
    /// The version after the update.
    version: StoreVersion,
    after_outage: bool,
    bytes: Bytes,
}

/// The local copy of the store objects, and the role of this instance.
#[derive(Debug)]
pub struct StoreState {
    shared: Rc<Shared>,
    client: StoreClient,
    caches: RefCell<BTreeMap<ObjectKind, ObjectCache>>,
    /// The updates that were compressed since the last change of their kind, by the version that
    /// they start from.
    compressed_updates: RefCell<BTreeMap<(ObjectKind, StoreVersion), CompressedUpdate>>,
    /// Whether the store responds, and since when.
    reachability: watch::Sender<(bool, Millis)>,
    /// The latest version that the store was read at, up to date.
    store_version: watch::Sender<StoreVersion>,
    /// When the store last came back from an older copy.
    returned_at: watch::Sender<Option<Millis>>,
    /// The era for which the objects are held.
    era: Cell<Option<u64>>,
    reported_changes: RefCell<ReportedChanges>,
    role_state: RefCell<StoreRoleState>,
    /// The current role in `role_state`, for tasks that wait for it to change.
    role: watch::Sender<StoreRole>,
    /// Whether the store has responded since the role last changed.
    responded_in_role: Cell<bool>,
    /// Incremented on each change of the objects, the role or the reachability of the store.
    changes_sender: watch::Sender<u64>,
}

impl StoreState {
    /// Creates an empty copy; the instance is a watcher at first.
    #[must_use]
    pub fn new(shared: Rc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            client: StoreClient::new(Rc::clone(&shared)),
            role_state: RefCell::new(StoreRoleState::new(&shared.settings.name)),
            shared,
            caches: RefCell::new(BTreeMap::new()),
            compressed_updates: RefCell::new(BTreeMap::new()),
            reachability: watch::Sender::new((true, Millis::ZERO)),
            store_version: watch::Sender::new(StoreVersion::default()),
            returned_at: watch::Sender::new(None),
            era: Cell::new(None),
            reported_changes: RefCell::new(ReportedChanges::default()),
            role: watch::Sender::new(StoreRole::Watcher),
            responded_in_role: Cell::new(false),
            changes_sender: watch::Sender::new(0),
        })
    }

    /// Returns whether the store responded to the most recent call.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.reachability.borrow().0
    }

    /// Returns the known version of each kind of objects.
    #[must_use]
    pub fn versions(&self) -> Vec<(ObjectKind, StoreVersion)> {
        let caches = self.caches.borrow();
        let version = |kind| caches.get(&kind).map(ObjectCache::version);
        self.shared
            .object_kinds()
            .map(|kind| (kind, version(kind).unwrap_or_default()))
            .collect()
    }

    /// Returns the update from a version of a kind to the current one, or `None` if the version is
    /// current.
    #[must_use]
    pub fn update_since(&self, kind: ObjectKind, version: StoreVersion) -> Option<StateUpdate> {
        let after_outage = self.is_after_outage(self.shared.now());
        let caches = self.caches.borrow();
        caches.get(&kind)?.update_since(version, after_outage)
    }

    /// Returns the update from a version of a kind to the current one as a message, and the current
    /// version; `None` if the version is current.
    ///
    /// Large updates are compressed once for all peers that start from the same version.
    #[must_use]
    pub fn compressed_update_since(
        &self,
        kind: ObjectKind,
        version: StoreVersion,
    ) -> Option<(StoreVersion, PeerReply)> {
        let after_outage = self.is_after_outage(self.shared.now());
        let caches = self.caches.borrow();
        let cache = caches.get(&kind)?;
        let mut compressed_updates = self.compressed_updates.borrow_mut();
        compressed_updates
            .retain(|(other, _), update| *other != kind || update.version == cache.version());
        if let Some(update) = compressed_updates.get(&(kind, version))
            && update.after_outage == after_outage
        {
            let reply = PeerReply::CompressedObjects(kind, update.bytes.clone());
            return Some((update.version, reply));
        }
        let update = cache.update_since(version, after_outage)?;
        let current = update.version;
        if !update.is_worth_compressing() {
            return Some((current, PeerReply::Objects(kind, update)));
        }
        match update.compress() {
            Ok(bytes) => {
                let compressed = CompressedUpdate {
                    version: current,
                    after_outage,
                    bytes: bytes.clone(),
                };
                compressed_updates.insert((kind, version), compressed);
                Some((current, PeerReply::CompressedObjects(kind, bytes)))
            }
            Err(error) => {
                warn!(kind = kind.label(), error:%; "cannot compress an update; sending it as it is");
                Some((current, PeerReply::Objects(kind, update)))
            }
        }
    }

    /// Applies an update from a peer if it is newer, unless this instance receives changes from the
    /// store itself.
    pub fn apply_peer_update(&self, kind: ObjectKind, update: StateUpdate) {
        let is_watcher = self.is_watcher();
        let mut caches = self.caches.borrow_mut();
        let cache = caches.entry(kind).or_default();
        if !cache.can_apply(&update) || (is_watcher && self.is_reachable()) {
            return;
        }
        let (version, after_outage) = (update.version, update.after_outage);
        info!(
            kind = kind.label(), known = cache.version().revision(), revision = version.revision(),
            era = version.era(), follows = !is_watcher;
            "applied store objects from a peer"
        );
        drop(caches);
        if version.era() > 0 {
            self.client.record_era(version.era());
        }
        match update.content {
            UpdateContent::Objects(objects) => self.replace(kind, version, objects, after_outage),
            UpdateContent::Changes { changes, .. } => {
                self.apply_changes(kind, changes, version, after_outage);
            }
        }
    }

    /// Waits until this instance is a watcher, or until it is not one if `expected` is false.
    async fn wait_for_watcher_role(&self, expected: bool) {
        let mut role = self.role.subscribe();
        let wait = role.wait_for(|role| (*role == StoreRole::Watcher) == expected);
        if wait.await.is_err() {
            // Not reached: the sender lives as long as the process.
            std::future::pending::<()>().await;
        }
    }

    /// Watches one kind of objects while this instance is a watcher.
    ///
    /// # Errors
    ///
    /// Never returns; supervised tasks must have a `Result` as their return type.
    pub async fn run_watch(self: Rc<Self>, kind: ObjectKind) -> Result<(), String> {
        loop {
            self.wait_for_watcher_role(true).await;
            tokio::select! {
                () = self.wait_for_watcher_role(false) => {}
                () = self.watch_kind(kind) => {}
            }
        }
    }

    /// Repeatedly lists the objects of a kind and then watches for changes.
    ///
    /// The objects are listed even if a peer has sent them: a store that has dropped its history does
    /// not tell a watch from an earlier revision which changes it misses.
    async fn watch_kind(&self, kind: ObjectKind) {
        let mut delay_ms = MIN_RETRY_DELAY_MS;
        let mut reachability = self.reachability.subscribe();
        loop {
            match self.client.list(kind).await {
                Ok((objects, version)) => {
                    delay_ms = MIN_RETRY_DELAY_MS;
                    self.record_reachability(true);
                    let objects = objects
                        .into_iter()
                        .map(|object| (object.name.clone(), object))
                        .collect();
                    self.check_era();
                    let after_outage = self.is_after_outage(self.shared.now());
                    self.replace(kind, version, objects, after_outage);
                    self.watch_changes(kind, version).await;
                }
                Err(StoreError::OtherEra) => self.check_era(),
                Err(error) => {
                    warn!(kind = kind.label(), error:%, pause_ms = delay_ms.0; "cannot list store objects");
                    self.record_reachability(false);
                    tokio::select! {
                        () = sleep(delay_ms) => {}
                        () = wait_for_recovery(&mut reachability) => {}
                    }
                    delay_ms = delay_ms.times(2).min(MAX_RETRY_DELAY_MS);
                }
            }
        }
    }

    /// Applies changes until the objects have to be listed again.
    async fn watch_changes(&self, kind: ObjectKind, mut version: StoreVersion) {
        let coalesce_ms = if kind == ObjectKind::Instances {
            COALESCE_INSTANCES_MS
        } else {
            COALESCE_MS
        };
        let mut reachability = self.reachability.subscribe();
        loop {
            let result = tokio::select! {
                result = self.wait_for_changes(kind, version) => result,
                // After an outage, the store may never respond to the pending call.
                () = wait_for_recovery(&mut reachability) => return,
            };
            match result {
                Ok(response) => {
                    if response.undecodable > 0 {
                        warn!(kind = kind.label(), changes = response.undecodable; "cannot decode some store changes");
                    }
                    version = StoreVersion::new(version.era(), response.revision);
                    for &change in &response.change_revisions {
                        self.reported_changes.borrow_mut().record(change);
                    }
                    if !response.changes.is_empty() {
                        let after_outage = self.is_after_outage(self.shared.now());
                        self.apply_changes(kind, response.changes, version, after_outage);
                        sleep(coalesce_ms).await;
                    }
                }
                Err(StoreError::OtherEra) => {
                    self.check_era();
                    return;
                }
                Err(StoreError::Status(StatusCode::GONE)) => {
                    let revision = version.revision();
                    info!(kind = kind.label(), revision; "the store no longer has the history; listing all objects again");
                    return;
                }
                Err(error) => {
                    let revision = version.revision();
                    warn!(kind = kind.label(), revision, error:%; "watch call failed");
                    self.record_reachability(false);
                    sleep(MIN_RETRY_DELAY_MS).await;
                    return;
                }
            }
        }
    }

    /// Records whether the store responded to a call.
    ///
    /// Followers are notified of a change immediately, so that they can follow another watcher.
    fn record_reachability(&self, responds: bool) {
        let now = self.shared.now();
        self.update_role(|role_state| role_state.record_store_status(now, responds));
        self.responded_in_role.set(responds);
        let has_changed = self.is_reachable() != responds;
        // Subscribers wait for the store to recover, so they are not notified of an outage.
        self.reachability.send_if_modified(|state| {
            if has_changed {
                *state = (responds, now);
            }
            has_changed && responds
        });
        if has_changed {
            if responds {
                info!("the store responds again");
            }
            self.changes_sender.send_modify(|count| *count += 1);
        }
    }

    /// Adds this instance to the instance list in the store.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry cannot be encoded.
    pub async fn register(self: Rc<Self>, entry: InstanceEntry) -> Result<(), String> {
        let kind = ObjectKind::Instances;
        let body = encode_instance(&entry).map_err(|error| error.to_string())?;
        let path = object_path(kind, &entry.name);
        loop {
            let replace_call = self.client.call(
                kind,
                Method::PUT,
                &path,
                Some(body.clone()),
                SHORT_CALL_TIMEOUT_MS,
            );
            let result = match replace_call.await {
                Err(StoreError::Status(StatusCode::NOT_FOUND)) => {
                    let path = create_path(kind);
                    self.client
                        .call(
                            kind,
                            Method::POST,
                            &path,
                            Some(body.clone()),
                            SHORT_CALL_TIMEOUT_MS,
                        )
                        .await
                }
                result => result,
            };
            match result {
                Ok(_) => return Ok(()),
                Err(error) => {
                    warn!(error:%; "cannot register this instance in the store");
                    sleep(REGISTRATION_RETRY_DELAY_MS).await;
                }
            }
        }
    }

    /// Returns whether entries may have expired because of a store outage.
    fn is_after_outage(&self, now: Millis) -> bool {
        let (is_reachable, since) = *self.reachability.borrow();
        !is_reachable || (since > Millis::ZERO && since + OUTAGE_EXPIRY_MS > now)
    }

    fn replace(
        &self,
        kind: ObjectKind,
        version: StoreVersion,
        objects: BTreeMap<String, StoredObject>,
        after_outage: bool,
    ) {
        self.check_era();
        let mut caches = self.caches.borrow_mut();
        let cache = caches.entry(kind).or_default();
        let objects = if self.is_after_return() {
            returns::merge_objects(kind, cache.objects(), objects)
        } else {
            objects
        };
        if !cache.replace(version, objects) {
            return;
        }
        self.changes_sender.send_modify(|count| *count += 1);
        if kind == ObjectKind::Targets {
            let entries = cache
                .objects()
                .values()
                .filter_map(decode_target_entry)
                .collect();
            let now = self.shared.now();
            let mut directory = self.shared.directory.borrow_mut();
            let changes = if self.is_after_return() {
                directory.replace_by_copy(now, entries)
            } else {
                directory.replace(now, entries, after_outage)
            };
            drop(directory);
            self.shared.apply_target_changes(&changes);
        } else {
            self.apply_objects(kind, cache.objects());
        }
    }

    fn apply_changes(
        &self,
        kind: ObjectKind,
        changes: Vec<ObjectChange>,
        version: StoreVersion,
        after_outage: bool,
    ) {
        self.check_era();
        let mut caches = self.caches.borrow_mut();
        let cache = caches.entry(kind).or_default();
        if !cache.apply_changes(version, changes.clone()) {
            return;
        }
        self.changes_sender.send_modify(|count| *count += 1);
        if kind == ObjectKind::Targets {
            self.apply_target_changes(changes, after_outage);
        } else {
            self.apply_objects(kind, cache.objects());
        }
    }

    fn apply_target_changes(&self, changes: Vec<ObjectChange>, after_outage: bool) {
        let now = self.shared.now();
        let mut directory = self.shared.directory.borrow_mut();
        let target_changes: Vec<TargetChange> = changes
            .into_iter()
            .filter_map(|change| match change {
                ObjectChange::Removed(name) => directory.remove(now, &name, after_outage),
                // An entry that cannot be decoded removes the target, even if an earlier version
                // was valid.
                ObjectChange::Written(object) => match decode_target_entry(&object) {
                    Some(entry) => directory.upsert(now, entry),
                    None => directory.remove(now, &object.name, false),
                },
            })
            .collect();
        drop(directory);
        self.shared.apply_target_changes(&target_changes);
    }

    fn apply_objects(&self, kind: ObjectKind, objects: &BTreeMap<String, StoredObject>) {
        match kind {
            ObjectKind::Configuration => {
                let Some(object) = objects.get(CONFIGURATION_OBJECT_NAME) else {
                    return;
                };
                match configuration::decode(&object.content) {
                    Ok(configuration) => {
                        let _is_newer = self
                            .shared
                            .apply_configuration(RouteTable::new(configuration));
                    }
                    Err(error) => {
                        warn!(revision = object.revision, error:%; "cannot decode the configuration; keeping the current one");
                    }
                }
            }
            ObjectKind::Evacuations => {
                let mut domains: BTreeSet<String> = objects.keys().cloned().collect();
                if self.is_after_return() {
                    let directory = self.shared.directory.borrow();
                    domains.extend(directory.evacuated().cloned());
                }
                let now = self.shared.now();
                let (evacuated, ended) = self
                    .shared
                    .directory
                    .borrow_mut()
                    .set_evacuated(now, domains);
                if !evacuated.is_empty() || !ended.is_empty() {
                    info!(evacuated:?, returned:? = ended; "evacuated failure domains changed");
                    target_reports::record_evacuations_ended(&self.shared, &ended);
                    self.shared.apply_target_changes(&[]);
                }
            }
            ObjectKind::Instances => {
                let entries = objects
                    .values()
                    .filter_map(|object| match decode_instance(object) {
                        Ok(entry) => Some((entry.name.clone(), entry)),
                        Err(error) => {
                            warn!(name = object.name.as_str(), error:%; "cannot decode an instance entry");
                            None
                        }
                    })
                    .collect();
                self.set_instances(entries);
            }
            ObjectKind::Rollouts => rollouts::apply_objects(&self.shared, objects),
            ObjectKind::Targets => {}
        }
    }
}

/// Waits until the store responds again after an outage.
async fn wait_for_recovery(reachability: &mut watch::Receiver<(bool, Millis)>) {
    if reachability.changed().await.is_err() {
        // Not reached: the sender lives as long as the process.
        std::future::pending::<()>().await;
    }
}

fn decode_target_entry(object: &StoredObject) -> Option<TargetEntry> {
    match decode_target(object) {
        Ok(entry) => Some(entry),
        Err(error) => {
            info!(name = object.name.as_str(), error:%; "cannot decode a target entry");
            None
        }
    }
}
