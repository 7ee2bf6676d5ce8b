//! The memory that bodies of requests take, for all clients together.
//!
//! A body of known length is charged when it begins, so bodies that have begun can always end, and
//! one that does not fit waits without being read. A body that makes no progress gives way to those
//! that wait. Small bodies have a part of the memory to themselves.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::body::BodyError;
use crate::shared::Shared;
use arbutus_coord::Millis;

/// Fraction of the memory of the process. The bodies of responses and the buffers of connections
/// have the same fraction each, and the rest is for the process itself.
const MAX_MEMORY_FRACTION: u64 = 4;
/// Bodies up to this size may use the whole memory, and larger ones three quarters of it.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// A body progresses when at least this many bytes have arrived.
pub const PROGRESS_BYTES: usize = 4 * 1024;
/// Time without progress after which a body gives way when there is too little memory.
pub const STALL_TIMEOUT_MS: Millis = Millis(500);
/// How often a body that waits for memory looks for bodies that have come to a halt.
const RETRY_INTERVAL_MS: Millis = Millis(50);

/// The memory that bodies of requests share.
#[derive(Debug)]
pub struct ClientMemory {
    max_bytes: usize,
    held_bytes: Cell<usize>,
    receiving: RefCell<BTreeMap<u64, Rc<Receiving>>>,
    next_id: Cell<u64>,
    freed: Notify,
    /// When no body was found that had come to a halt.
    searched_at: Cell<Option<Millis>>,
}

/// A body of which a part may have arrived.
#[derive(Debug)]
struct Receiving {
    /// `None` once the body has given way.
    content: RefCell<Option<(Vec<u8>, MemoryCharge)>>,
    progress: Cell<BodyProgress>,
    evicted: Notify,
}

/// When a body last progressed.
#[derive(Clone, Copy, Debug)]
pub struct BodyProgress {
    at: Millis,
    bytes_since: usize,
}

impl BodyProgress {
    /// Returns the progress of a body that begins.
    #[must_use]
    pub const fn new(now: Millis) -> Self {
        Self {
            at: now,
            bytes_since: 0,
        }
    }

    /// Returns the progress after further bytes.
    #[must_use]
    pub const fn with_bytes(self, now: Millis, bytes: usize) -> Self {
        let bytes_since = self.bytes_since.saturating_add(bytes);
        if bytes_since >= PROGRESS_BYTES {
            return Self::new(now);
        }
        Self {
            bytes_since,
            ..self
        }
    }

    /// Returns for how long there has been no progress.
    #[must_use]
    pub fn stalled_ms(self, now: Millis) -> Millis {
        now - self.at
    }
}

/// A part of the memory, given back when dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    memory: Rc<ClientMemory>,
    bytes: usize,
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        let held_bytes = &self.memory.held_bytes;
        held_bytes.set(held_bytes.get() - self.bytes);
        if self.bytes > 0 {
            // The others that wait look again after their interval.
            self.memory.freed.notify_one();
        }
    }
}

/// A complete body, charged to the memory until it is dropped.
#[derive(Debug)]
pub struct ChargedBody {
    bytes: Bytes,
    _charge: MemoryCharge,
}

impl ChargedBody {
    /// Returns the content.
    #[must_use]
    pub const fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// Removes a body from those that may give way.
struct ReceivingGuard<'a> {
    memory: &'a ClientMemory,
    id: u64,
}

impl Drop for ReceivingGuard<'_> {
    fn drop(&mut self) {
        self.memory.receiving.borrow_mut().remove(&self.id);
    }
}

impl ClientMemory {
    /// Creates the share of a process that may use `process_bytes`.
    #[must_use]
    pub fn new(process_bytes: u64) -> Rc<Self> {
        let max_bytes = process_bytes / MAX_MEMORY_FRACTION;
        Rc::new(Self {
            max_bytes: usize::try_from(max_bytes).unwrap_or(usize::MAX),
            held_bytes: Cell::new(0),
            receiving: RefCell::new(BTreeMap::new()),
            next_id: Cell::new(0),
            freed: Notify::new(),
            searched_at: Cell::new(None),
        })
    }

    /// Returns the number of bytes that are charged.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Returns whether more than half of the memory is in use.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.held_bytes.get() > self.max_bytes / 2
    }

    /// Reads a body of up to `max_bytes`, and waits for memory if there is too little.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is larger or cut off, if it came to a halt while others waited
    /// for memory, or if it has waited until the instance has to end its requests.
    pub async fn read(
        self: &Rc<Self>,
        shared: &Shared,
        body: &mut Incoming,
        max_bytes: usize,
    ) -> Result<ChargedBody, BodyError> {
        let declared_bytes = body.size_hint().exact();
        let declared_bytes = declared_bytes.and_then(|bytes| usize::try_from(bytes).ok());
        if declared_bytes.is_some_and(|bytes| bytes > max_bytes) {
            return Err(BodyError::TooLarge);
        }
        let id = self.next_id.replace(self.next_id.get() + 1);
        let charge = MemoryCharge {
            memory: Rc::clone(self),
            bytes: 0,
        };
        let receiving = Rc::new(Receiving {
            content: RefCell::new(Some((Vec::new(), charge))),
            progress: Cell::new(BodyProgress::new(shared.now())),
            evicted: Notify::new(),
        });
        let entry = Rc::clone(&receiving);
        self.receiving.borrow_mut().insert(id, entry);
        let _guard = ReceivingGuard { memory: self, id };
        self.charge(shared, &receiving, declared_bytes.unwrap_or(0))
            .await?;
        // The wait for memory is no fault of the client.
        receiving.progress.set(BodyProgress::new(shared.now()));
        loop {
            let frame = tokio::select! {
                biased;
                () = receiving.evicted.notified() => return Err(BodyError::Stalled),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else {
                break;
            };
            // Trailers are dropped.
            let Ok(data) = frame.map_err(BodyError::Interrupted)?.into_data() else {
                continue;
            };
            let progress = receiving.progress.get();
            let progress = progress.with_bytes(shared.now(), data.len());
            receiving.progress.set(progress);
            let length = receiving.length()?.saturating_add(data.len());
            if length > max_bytes {
                return Err(BodyError::TooLarge);
            }
            let capacity = match declared_bytes {
                Some(declared_bytes) => declared_bytes,
                None => length.next_power_of_two().min(max_bytes),
            };
            self.charge(shared, &receiving, capacity).await?;
            receiving.push(&data, capacity)?;
        }
        let content = receiving.content.take();
        let (content, charge) = content.ok_or(BodyError::Stalled)?;
        Ok(ChargedBody {
            bytes: Bytes::from(content),
            _charge: charge,
        })
    }

    /// Increases the charge of a body to a number of bytes, and waits until that is possible.
    async fn charge(
        &self,
        shared: &Shared,
        receiving: &Receiving,
        bytes: usize,
    ) -> Result<(), BodyError> {
        loop {
            {
                let mut content = receiving.content.borrow_mut();
                let (_, charge) = content.as_mut().ok_or(BodyError::Stalled)?;
                let added_bytes = bytes.saturating_sub(charge.bytes);
                let max_bytes = if bytes <= SMALL_BODY_BYTES {
                    self.max_bytes
                } else {
                    self.max_bytes - self.max_bytes / 4
                };
                let held_bytes = self.held_bytes.get() + added_bytes;
                // One body alone always fits, also where the configured limit on bodies is larger.
                let is_alone = self.held_bytes.get() == charge.bytes;
                if added_bytes == 0 || held_bytes <= max_bytes || is_alone {
                    charge.bytes += added_bytes;
                    self.held_bytes.set(held_bytes);
                    return Ok(());
                }
            }
            if shared.is_past_shutdown_deadline() {
                return Err(BodyError::Stalled);
            }
            if !self.evict_stalled(shared.now(), receiving) {
                let freed = self.freed.notified();
                let _retried = timeout(RETRY_INTERVAL_MS.to_duration(), freed).await;
            }
        }
    }

    /// Drops the body that holds most and progresses least, by the product of its charge and the
    /// time since its last progress; returns whether there was one that had come to a halt.
    fn evict_stalled(&self, now: Millis, waiting: &Receiving) -> bool {
        // All that wait search at most once per interval together, which bounds the processor time.
        let searched_at = self.searched_at.get();
        if searched_at.is_some_and(|at| now - at < RETRY_INTERVAL_MS) {
            return false;
        }
        let bodies = self.receiving.borrow();
        let stalled = bodies.values().filter_map(|body| {
            let stalled_ms = body.progress.get().stalled_ms(now);
            let held_bytes = body.charged_bytes();
            let gives_way = stalled_ms >= STALL_TIMEOUT_MS
                && held_bytes > 0
                && !std::ptr::eq(Rc::as_ptr(body), waiting);
            gives_way.then_some((held_bytes as u64 * stalled_ms.0, body))
        });
        let Some((_, body)) = stalled.max_by_key(|(rank, _)| *rank) else {
            self.searched_at.set(Some(now));
            return false;
        };
        drop(body.content.take());
        body.evicted.notify_one();
        true
    }
}

impl Receiving {
    fn length(&self) -> Result<usize, BodyError> {
        let content = self.content.borrow();
        let content = content.as_ref().ok_or(BodyError::Stalled)?;
        Ok(content.0.len())
    }

    fn charged_bytes(&self) -> usize {
        let content = self.content.borrow();
        content.as_ref().map_or(0, |(_, charge)| charge.bytes)
    }

    /// Appends data. The allocation grows in steps, at most to `max_capacity`, because the pages of
    /// a large allocation may become resident before they are written.
    fn push(&self, data: &[u8], max_capacity: usize) -> Result<(), BodyError> {
        let mut content = self.content.borrow_mut();
        let (content, _) = content.as_mut().ok_or(BodyError::Stalled)?;
        let length = content.len() + data.len();
        if length > content.capacity() {
            let capacity = length.next_power_of_two().min(max_capacity).max(length);
            content.reserve_exact(capacity - content.len());
        }
        content.extend_from_slice(data);
        Ok(())
    }
}
