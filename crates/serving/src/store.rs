//! HTTP client of the platform's store.

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
use arbutus_coord::Millis;
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
}

impl std::error::Error for StoreError {}

/// Client of the store; each concurrent call uses its own connection.
#[derive(Debug)]
pub struct StoreClient {
    shared: Rc<Shared>,
    idle: RefCell<Vec<Connection>>,
}

impl StoreClient {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new(shared: Rc<Shared>) -> Self {
        Self {
            shared,
            idle: RefCell::new(Vec::new()),
        }
    }

    /// Reads all objects of a kind. Returns them with the revision of the first page.
    ///
    /// # Errors
    ///
    /// Returns an error when a page cannot be read.
    pub async fn list(&self, kind: ObjectKind) -> Result<(Vec<StoredObject>, u64), StoreError> {
        let mut objects: Vec<StoredObject> = Vec::new();
        let mut revision = None;
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
            let first_revision = *revision.get_or_insert(page.revision);
            let is_last_page = !page.has_more || page.objects.is_empty();
            objects.extend(page.objects);
            if is_last_page {
                return Ok((objects, first_revision));
            }
        }
    }

    /// Waits up to `wait_ms` for changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns an error when the call fails. Status 410 means that the store no longer has the
    /// history since the revision.
    pub async fn watch(
        &self,
        kind: ObjectKind,
        revision: u64,
        wait_ms: Millis,
    ) -> Result<WatchResponse, StoreError> {
        let timeout_ms = wait_ms + CALL_TIMEOUT_MS;
        self.read_changes(kind, revision, wait_ms, timeout_ms).await
    }

    /// Returns the changes after a revision without waiting for one.
    ///
    /// # Errors
    ///
    /// Returns an error as [`StoreClient::watch`] does.
    pub async fn changes_since(
        &self,
        kind: ObjectKind,
        revision: u64,
    ) -> Result<WatchResponse, StoreError> {
        self.read_changes(kind, revision, Millis::ZERO, SHORT_CALL_TIMEOUT_MS)
            .await
    }

    async fn read_changes(
        &self,
        kind: ObjectKind,
        revision: u64,
        wait_ms: Millis,
        timeout_ms: Millis,
    ) -> Result<WatchResponse, StoreError> {
        let path = watch_path(kind, revision, wait_ms);
        let body = self
            .call(kind, Method::GET, &path, None, timeout_ms)
            .await?;
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
        let body = body::read_up_to(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(StoreError::Body)?;
        self.idle.borrow_mut().push(connection);
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
