//! HTTP client of the platform's store.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use displaydoc::Display;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::Full;
use tokio::time::timeout;

use crate::body;
use crate::body::BodyError;
use crate::connection::CallError;
use crate::connection::Connection;
use crate::shared::Shared;
use crate::store_version::MAX_ERA;
use crate::store_version::StoreVersion;
use arbutus_coord::Millis;
use arbutus_platform::store;
use arbutus_platform::store::ListPage;
use arbutus_platform::store::ObjectKind;
use arbutus_platform::store::StoredObject;
use arbutus_platform::store::WatchResponse;
use arbutus_platform::store::decode_list;
use arbutus_platform::store::decode_watch;
use arbutus_platform::store::list_path;
use arbutus_platform::store::watch_path;

const CONNECT_TIMEOUT_MS: Millis = Millis(1_000);
/// Timeout of a call, in addition to the time that the call asks the store to wait.
const CALL_TIMEOUT_MS: Millis = Millis(2_000);

/// Maximum size of a response. A page of a list has about 1 MB; a watch may return several versions
/// of an object of up to 1 MB.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Timeout of calls that return little and at once. A slow store takes up to 300 ms.
pub const SHORT_CALL_TIMEOUT_MS: Millis = Millis(450);

/// Why a call to the store failed.
#[derive(Debug, Display)]
pub enum StoreError {
    /// the call failed: {0}
    Call(CallError),
    /// cannot read the response body: {0}
    Body(BodyError),
    /// the store responded with status {0}
    Status(StatusCode),
    /// cannot decode the response: {0}
    Malformed(serde_json::Error),
    /// cannot build the request: {0}
    Request(http::Error),
    /// the response is not from the current era of the store
    OtherEra,
}

impl std::error::Error for StoreError {}

/// Client of the store; each concurrent call uses its own connection.
#[derive(Debug)]
pub struct StoreClient {
    shared: Rc<Shared>,
    idle: RefCell<Vec<Connection>>,
    /// The latest era that is known; `None` as long as the store has named none.
    era: Cell<Option<u64>>,
}

impl StoreClient {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new(shared: Rc<Shared>) -> Self {
        Self {
            shared,
            idle: RefCell::new(Vec::new()),
            era: Cell::new(None),
        }
    }

    /// Returns the latest era that is known, or `None` as long as the store has named none.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        self.era.get()
    }

    /// Records that the store is in this era or a later one. Returns false if a later one is known.
    pub fn record_era(&self, era: u64) -> bool {
        let is_current = self.era.get().is_none_or(|known| known <= era);
        if is_current {
            self.era.set(Some(era));
        }
        is_current
    }

    /// Returns the version of a revision that the store has just named.
    fn version(&self, revision: u64) -> StoreVersion {
        StoreVersion::new(self.era().unwrap_or(0), revision)
    }

    /// Reads all objects of a kind. Returns them with the version of the first page.
    ///
    /// # Errors
    ///
    /// Returns an error when a page cannot be read.
    pub async fn list(
        &self,
        kind: ObjectKind,
    ) -> Result<(Vec<StoredObject>, StoreVersion), StoreError> {
        let mut objects: Vec<StoredObject> = Vec::new();
        let mut version = None;
        loop {
            let after = objects.last().map(|object| object.name.clone());
            let path = list_path(kind, after.as_deref());
            let body = self
                .call(kind, Method::GET, &path, None, CALL_TIMEOUT_MS)
                .await?;
            let page: ListPage = decode_list(kind, &body).map_err(StoreError::Malformed)?;
            if page.undecodable > 0 {
                log::warn!(kind = kind.label(), objects = page.undecodable; "cannot decode some store objects");
            }
            // A watch from this revision also returns the changes made while later pages are read.
            let page_version = self.version(page.revision);
            let first_version = *version.get_or_insert(page_version);
            if first_version.era() != page_version.era() {
                return Err(StoreError::OtherEra);
            }
            let is_last_page = !page.has_more || page.objects.is_empty();
            objects.extend(page.objects);
            if is_last_page {
                return Ok((objects, first_version));
            }
        }
    }

    /// Reads the version of the store, by the smallest list, which is that of the evacuated failure
    /// domains.
    ///
    /// # Errors
    ///
    /// Returns an error when the list cannot be read.
    pub async fn read_version(&self) -> Result<StoreVersion, StoreError> {
        let kind = ObjectKind::Evacuations;
        let path = list_path(kind, None);
        let body = self
            .call(kind, Method::GET, &path, None, SHORT_CALL_TIMEOUT_MS)
            .await?;
        let page = decode_list(kind, &body).map_err(StoreError::Malformed)?;
        Ok(self.version(page.revision))
    }

    /// Waits up to `wait_ms` for changes after a version.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails. Status 410 means that the store no longer has the
    /// history since the version.
    pub async fn watch(
        &self,
        kind: ObjectKind,
        version: StoreVersion,
        wait_ms: Millis,
    ) -> Result<WatchResponse, StoreError> {
        let timeout_ms = wait_ms + CALL_TIMEOUT_MS;
        self.read_changes(kind, version, wait_ms, timeout_ms).await
    }

    /// Returns the changes after a version without waiting for one.
    ///
    /// # Errors
    ///
    /// Returns an error as [`StoreClient::watch`] does.
    pub async fn changes_since(
        &self,
        kind: ObjectKind,
        version: StoreVersion,
    ) -> Result<WatchResponse, StoreError> {
        self.read_changes(kind, version, Millis::ZERO, SHORT_CALL_TIMEOUT_MS)
            .await
    }

    async fn read_changes(
        &self,
        kind: ObjectKind,
        version: StoreVersion,
        wait_ms: Millis,
        timeout_ms: Millis,
    ) -> Result<WatchResponse, StoreError> {
        let path = watch_path(kind, version.revision(), wait_ms);
        let body = self
            .call(kind, Method::GET, &path, None, timeout_ms)
            .await?;
        // The same revision names another state in another era.
        if self.version(0).era() != version.era() {
            return Err(StoreError::OtherEra);
        }
        decode_watch(kind, &body).map_err(StoreError::Malformed)
    }

    /// Makes one call and returns the response body.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails or its status is not a success.
    pub async fn call(
        &self,
        kind: ObjectKind,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout_ms: Millis,
    ) -> Result<Bytes, StoreError> {
        let call_future = self.call_once(method, path, body);
        let result = timeout(timeout_ms.to_duration(), call_future)
            .await
            .unwrap_or(Err(StoreError::Call(CallError::Timeout)));
        let event = match &result {
            Ok(_) => "answered",
            Err(StoreError::Status(_)) => "refused",
            Err(_) => "failed",
        };
        self.shared.metrics.count_store_call(kind.label(), event);
        result
    }

    async fn call_once(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Bytes, StoreError> {
        let address = self.shared.settings.store_address;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string());
        if body.is_some() {
            request = request.header(CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(StoreError::Request)?;
        let idle = self.take_idle();
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT_MS)
                .await
                .map_err(StoreError::Call)?,
        };
        let response = connection.send(request).await.map_err(StoreError::Call)?;
        let status = response.status();
        let era = store::era(response.headers()).filter(|&era| era <= MAX_ERA);
        let body = body::read_up_to(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(StoreError::Body)?;
        self.idle.borrow_mut().push(connection);
        // A response without a readable era is taken to be from the latest one.
        if era.is_some_and(|era| !self.record_era(era)) {
            return Err(StoreError::OtherEra);
        }
        if status.is_success() {
            Ok(body)
        } else {
            Err(StoreError::Status(status))
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(Connection::is_reusable);
        idle.pop()
    }
}
