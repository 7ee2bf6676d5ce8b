//! The store of the simulated platform: objects with revisions, lists and watches.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::simulated_platform::link::Link;
use arbutus_coord::Millis;
use arbutus_platform::configuration;
use arbutus_platform::rollout;
use arbutus_platform::rollout::RolloutStatus;
use arbutus_platform::store;
use arbutus_platform::store::CONFIGURATION_OBJECT_NAME;
use arbutus_platform::store::ObjectChange;
use arbutus_platform::store::ObjectKind;
use arbutus_platform::store::StoredObject;
use arbutus_policy::serving::model::Configuration;
use arbutus_policy::serving::model::TargetEntry;

/// Begin of the JSON text that stands for a raw content.
const RAW_CONTENT_PREFIX: &str = "\"raw content ";

type ObjectsByKind = BTreeMap<ObjectKind, BTreeMap<String, StoredObject>>;

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: ObjectsByKind,
    /// Every change with its revision, for watches.
    history: Vec<(u64, ObjectKind, ObjectChange)>,
    is_unavailable: bool,
    /// Number of returns from an older copy.
    return_count: u64,
    /// The revision and the objects of the copy.
    copy: (u64, ObjectsByKind),
    /// Contents that need not be JSON texts; placeholders with their index stand for them in `objects`.
    raw_contents: Vec<Vec<u8>>,
    /// Number of responses to watches of a kind that will be lost.
    lost_watch_responses: BTreeMap<ObjectKind, usize>,
    call_count: usize,
    call_counts_by_kind: BTreeMap<ObjectKind, usize>,
    /// The statuses of roll-outs that were written, with the time of the write.
    rollout_statuses: Vec<(Instant, RolloutStatus)>,
    /// Whether the response to the next write of a status is lost.
    loses_status_response: bool,
    /// Bandwidth of the links of instances and the counter of their bytes; `None` if the links are
    /// not limited.
    instance_links: Option<(u64, Arc<AtomicU64>)>,
}

/// The store of a simulated platform.
#[derive(Debug)]
pub struct Store {
    /// Address that the store listens on.
    pub address: SocketAddrV4,
    state: Mutex<State>,
    /// Revision of the last change.
    latest_revision: watch::Sender<u64>,
}

impl Store {
    pub(super) fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            state: Mutex::new(State::default()),
            latest_revision: watch::Sender::new(0),
        }
    }

    /// Writes the configuration object.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded.
    pub fn put_configuration(&self, configuration: &Configuration) -> io::Result<()> {
        let content = configuration::encode(configuration)?;
        self.put(
            ObjectKind::Configuration,
            CONFIGURATION_OBJECT_NAME,
            content,
        );
        Ok(())
    }

    /// Writes the configuration object as a store does that drops its history: watches that wait
    /// and watches from an earlier revision hear nothing of it.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded.
    pub fn put_configuration_without_history(
        &self,
        configuration: &Configuration,
    ) -> io::Result<()> {
        let content = configuration::encode(configuration)?;
        let mut state = self.lock();
        state.revision += 1;
        let object = StoredObject {
            name: CONFIGURATION_OBJECT_NAME.to_owned(),
            revision: state.revision,
            content,
        };
        let objects = state.objects.entry(ObjectKind::Configuration).or_default();
        objects.insert(object.name.clone(), object);
        Ok(())
    }

    /// Writes the object of a target.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded.
    pub fn put_target(&self, entry: &TargetEntry) -> io::Result<()> {
        let content = store::encode_target_content(entry)?;
        self.put(ObjectKind::Targets, &entry.id, content);
        Ok(())
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: ObjectKind, name: &str, content: String) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let object = StoredObject {
            name: name.to_owned(),
            revision,
            content,
        };
        let objects = state.objects.entry(kind).or_default();
        objects.insert(name.to_owned(), object.clone());
        let change = ObjectChange::Written(object);
        state.history.push((revision, kind, change));
        self.latest_revision.send_replace(revision);
    }

    /// Creates or replaces an object whose content is arbitrary bytes, as another writer may do.
    pub fn put_raw(&self, kind: ObjectKind, name: &str, content: &[u8]) {
        let placeholder = {
            let mut state = self.lock();
            state.raw_contents.push(content.to_vec());
            format!("{RAW_CONTENT_PREFIX}{}\"", state.raw_contents.len() - 1)
        };
        self.put(kind, name, placeholder);
    }

    /// Puts raw contents in place of their placeholders.
    fn insert_raw_contents(&self, body: &str) -> Vec<u8> {
        let raw_contents = &self.lock().raw_contents;
        let mut parts = body.split(RAW_CONTENT_PREFIX);
        let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
        for part in parts {
            let (number, rest) = part.split_once('"').expect("the placeholder has an end");
            let number: usize = number.parse().expect("the placeholder has a number");
            bytes.extend_from_slice(&raw_contents[number]);
            bytes.extend_from_slice(rest.as_bytes());
        }
        bytes
    }

    fn respond_with(&self, body: Vec<u8>) -> io::Result<Response<Full<Bytes>>> {
        let text = String::from_utf8(body).map_err(io::Error::other)?;
        respond(StatusCode::OK, self.insert_raw_contents(&text))
    }

    /// Deletes an object.
    pub fn remove(&self, kind: ObjectKind, name: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.objects.entry(kind).or_default().remove(name);
        let change = ObjectChange::Removed(name.to_owned());
        state.history.push((revision, kind, change));
        self.latest_revision.send_replace(revision);
    }

    /// Returns the number of requests received, including rejected ones.
    #[must_use]
    pub fn call_count(&self) -> usize {
        self.lock().call_count
    }

    /// Returns the number of requests for objects of a kind, including rejected ones.
    #[must_use]
    pub fn call_count_of(&self, kind: ObjectKind) -> usize {
        let state = self.lock();
        state.call_counts_by_kind.get(&kind).copied().unwrap_or(0)
    }

    /// Orders the roll-out of a service to a version.
    ///
    /// # Errors
    ///
    /// Returns an error if the order cannot be encoded.
    pub fn put_rollout(&self, service: &str, version: &str, duration_ms: Millis) -> io::Result<()> {
        let content = rollout::encode_order_content(service, version, duration_ms)?;
        self.put(ObjectKind::Rollouts, service, content);
        Ok(())
    }

    /// Returns the statuses of roll-outs that were written, with the time of each write.
    #[must_use]
    pub fn rollout_statuses(&self) -> Vec<(Instant, RolloutStatus)> {
        self.lock().rollout_statuses.clone()
    }

    /// Loses the response to the next write of a status: the write succeeds, and the connection
    /// stays open without a response.
    pub fn lose_next_status_response(&self) {
        self.lock().loses_status_response = true;
    }

    async fn write_rollout_status(
        &self,
        name: &str,
        body: &[u8],
    ) -> io::Result<Response<Full<Bytes>>> {
        let current = {
            let state = self.lock();
            let objects = state.objects.get(&ObjectKind::Rollouts);
            objects.and_then(|objects| objects.get(name).cloned())
        };
        let Some(current) = current else {
            return respond(StatusCode::NOT_FOUND, Vec::new());
        };
        if store::expected_revision(body).is_some_and(|revision| revision != current.revision) {
            return respond(StatusCode::CONFLICT, Vec::new());
        }
        let content = rollout::apply_status_write(&current.content, body)?;
        self.put(ObjectKind::Rollouts, name, content.clone());
        let written = StoredObject { content, ..current };
        let status = rollout::decode_rollout(&written)?.status;
        let loses_response = {
            let mut state = self.lock();
            let entries = status.map(|status| (Instant::now(), status));
            state.rollout_statuses.extend(entries);
            std::mem::take(&mut state.loses_status_response)
        };
        if loses_response {
            std::future::pending::<()>().await;
        }
        respond(StatusCode::OK, b"{}".to_vec())
    }

    /// Limits what each instance that registers from now on sends to other instances. `sent_bytes`
    /// counts what they send.
    pub(super) fn limit_instance_links(&self, bytes_per_s: u64, sent_bytes: Arc<AtomicU64>) {
        self.lock().instance_links = Some((bytes_per_s, sent_bytes));
    }

    /// Replaces the address of an instance that registers by that of a relay with a limited link,
    /// if links are limited. Returns other objects unchanged.
    async fn relay_if_instance(
        &self,
        kind: ObjectKind,
        object: StoredObject,
    ) -> io::Result<StoredObject> {
        let links = self.lock().instance_links.clone();
        let Some((bytes_per_s, sent_bytes)) = links.filter(|_| kind == ObjectKind::Instances)
        else {
            return Ok(object);
        };
        let mut entry = store::decode_instance(&object)?;
        let link = Link::new(bytes_per_s, sent_bytes);
        entry.address = link.relay(entry.address).await?;
        Ok(store::decode_write_request(&store::encode_instance(
            &entry,
        )?)?)
    }

    /// Loses the next responses to watches of a kind: their connections stay open and return nothing
    /// further. Returns how many were still to be lost by an earlier call.
    pub fn lose_watch_responses(&self, kind: ObjectKind, count: usize) -> usize {
        let mut state = self.lock();
        let remaining = state.lost_watch_responses.insert(kind, count);
        remaining.unwrap_or_default()
    }

    /// Returns whether the response to a watch is to be lost, and counts it.
    fn takes_lost_watch_response(&self, kind: ObjectKind) -> bool {
        let mut state = self.lock();
        let Some(remaining) = state.lost_watch_responses.get_mut(&kind) else {
            return false;
        };
        let is_lost = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_lost
    }

    /// Copies all objects.
    pub fn take_copy(&self) {
        let mut state = self.lock();
        state.copy = (state.revision, state.objects.clone());
    }

    /// Loses everything that was written since the copy: the store begins a new era at the revision of
    /// the copy, and has no earlier history.
    pub fn return_to_copy(&self) {
        let revision = {
            let mut state = self.lock();
            let (revision, objects) = state.copy.clone();
            state.revision = revision;
            state.objects = objects;
            state.history.clear();
            state.return_count += 1;
            revision
        };
        self.latest_revision.send_replace(revision);
    }

    /// Starts or ends an outage, during which all requests receive status 503.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.lock().is_unavailable = is_unavailable;
        // Wakes the waiting watches, which then respond with status 503.
        self.latest_revision.send_modify(|_| {});
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the changes after a revision, and the revision of the last change to any object.
    fn changes_after(&self, kind: ObjectKind, revision: u64) -> (Vec<ObjectChange>, u64) {
        let state = self.lock();
        let later = state
            .history
            .iter()
            .filter(|(changed_in, changed_kind, _)| {
                *changed_in > revision && *changed_kind == kind
            });
        let changes = later.map(|(_, _, change)| change.clone()).collect();
        (changes, state.revision)
    }
}

/// Responds to a request, and names the era of the response.
pub(super) async fn respond_to(
    store: Arc<Store>,
    request: Request<Incoming>,
) -> io::Result<Response<Full<Bytes>>> {
    let mut response = execute(Arc::clone(&store), request).await?;
    let era = store.lock().return_count + 1;
    store::set_era(response.headers_mut(), era);
    Ok(response)
}

async fn execute(
    store: Arc<Store>,
    request: Request<Incoming>,
) -> io::Result<Response<Full<Bytes>>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    if store.lock().is_unavailable {
        return respond(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    let path = store::parse_path(head.uri.path());
    {
        let mut state = store.lock();
        state.call_count += 1;
        if let Some((kind, _)) = path {
            *state.call_counts_by_kind.entry(kind).or_default() += 1;
        }
    }
    let Some((kind, name)) = path else {
        return respond(StatusCode::NOT_FOUND, Vec::new());
    };
    match (head.method, name) {
        (Method::GET, None) => {
            let watch_query = head.uri.query().and_then(store::parse_watch_query);
            if let Some((revision, wait_ms)) = watch_query {
                if revision > store.lock().revision {
                    return respond(StatusCode::GONE, Vec::new());
                }
                let mut revisions = store.latest_revision.subscribe();
                let waiting = async {
                    while store.changes_after(kind, revision).0.is_empty() {
                        if store.lock().is_unavailable || revisions.changed().await.is_err() {
                            return;
                        }
                    }
                };
                // After a timeout, the response contains no changes.
                let _timed_out = timeout(wait_ms.to_duration(), waiting).await;
                if store.lock().is_unavailable {
                    return respond(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
                }
                let (changes, latest) = store.changes_after(kind, revision);
                if store.takes_lost_watch_response(kind) {
                    std::future::pending::<()>().await;
                }
                return store.respond_with(store::encode_watch(kind, &changes, latest)?);
            }
            let (objects, revision) = {
                let state = store.lock();
                let objects = state.objects.get(&kind);
                let objects: Vec<StoredObject> = objects
                    .map(|objects| objects.values().cloned().collect())
                    .unwrap_or_default();
                (objects, state.revision)
            };
            store.respond_with(store::encode_list(kind, &objects, revision)?)
        }
        (Method::GET, Some(name)) => {
            let object = {
                let state = store.lock();
                let objects = state.objects.get(&kind);
                objects.and_then(|objects| objects.get(name).cloned())
            };
            match object {
                Some(object) => store.respond_with(store::encode_object(kind, &object)?),
                None => respond(StatusCode::NOT_FOUND, Vec::new()),
            }
        }
        (Method::PUT, Some(name)) if rollout::parse_status_path(kind, name).is_some() => {
            let name = rollout::parse_status_path(kind, name).unwrap_or_default();
            store.write_rollout_status(name, &body).await
        }
        (Method::PUT, Some(name)) => {
            let current_revision = {
                let state = store.lock();
                let objects = state.objects.get(&kind);
                objects.and_then(|objects| objects.get(name).map(|object| object.revision))
            };
            let Some(current_revision) = current_revision else {
                return respond(StatusCode::NOT_FOUND, Vec::new());
            };
            if store::expected_revision(&body).is_some_and(|revision| revision != current_revision)
            {
                return respond(StatusCode::CONFLICT, Vec::new());
            }
            let object = store::decode_write_request(&body)?;
            let object = store.relay_if_instance(kind, object).await?;
            store.put(kind, name, object.content);
            respond(StatusCode::OK, b"{}".to_vec())
        }
        (Method::POST, None) => {
            let object = store::decode_write_request(&body)?;
            let object = store.relay_if_instance(kind, object).await?;
            store.put(kind, &object.name, object.content);
            respond(StatusCode::OK, b"{}".to_vec())
        }
        _ => respond(StatusCode::METHOD_NOT_ALLOWED, Vec::new()),
    }
}

fn respond(status: StatusCode, body: Vec<u8>) -> io::Result<Response<Full<Bytes>>> {
    Response::builder()
        .status(status)
        .body(Full::new(Bytes::from(body)))
        .map_err(io::Error::other)
}
