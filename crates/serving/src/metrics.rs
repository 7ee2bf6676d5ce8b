//! Counters and histograms in the `OpenMetrics` text format.

use std::fmt;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use arbutus_coord::Millis;

/// Labels of a request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// The organisation, or `-`.
    pub organisation: String,
    /// The kind of the route and its rank, such as `stream-0`.
    pub class: String,
}

/// Labels of an ended request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The organisation, or `-`.
    pub organisation: String,
    /// The kind of the route and its rank.
    pub class: String,
    /// How the request ended.
    pub outcome: &'static str,
}

/// Labels of what happened at a service or dependency.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct EventLabels {
    /// The service, kind of objects or other subject.
    pub subject: String,
    /// What happened.
    pub event: &'static str,
}

type Histograms = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// The metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Ended requests.
    pub requests: Family<OutcomeLabels, Counter>,
    /// The time to the end of an answer.
    answer_seconds: Histograms,
    /// The time to the head of an answer or the first event of a stream.
    first_seconds: Histograms,
    /// The time that the stages before a request took.
    stage_seconds: Histograms,
    /// Sends to targets by service and how they ended.
    pub sends: Family<EventLabels, Counter>,
    /// Calls to the store by kind and how they ended.
    pub store_calls: Family<EventLabels, Counter>,
    /// The pieces of a stage call.
    pub call_pieces: Histogram,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Lines that the log dropped.
    pub log_lines_dropped: Gauge,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

/// Returns buckets from 5 ms to 20 s.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 13))
}

impl Metrics {
    /// Creates the metrics with all values at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("arbutus");
        let requests = Family::default();
        registry.register("requests", "Ended requests", requests.clone());
        let histograms = || Histograms::new_with_constructor(seconds as fn() -> Histogram);
        let answer_seconds = histograms();
        registry.register(
            "answer_seconds",
            "Time to the end of an answer",
            answer_seconds.clone(),
        );
        let first_seconds = histograms();
        registry.register(
            "first_seconds",
            "Time to the head of an answer or the first event",
            first_seconds.clone(),
        );
        let stage_seconds = histograms();
        registry.register(
            "stage_seconds",
            "Time of the stages before a request",
            stage_seconds.clone(),
        );
        let sends = Family::default();
        registry.register("sends", "Sends to targets", sends.clone());
        let store_calls = Family::default();
        registry.register("store_calls", "Calls to the store", store_calls.clone());
        let call_pieces = Histogram::new(exponential_buckets(1.0, 2.0, 7));
        registry.register(
            "call_pieces",
            "Pieces of a stage call of the own queues",
            call_pieces.clone(),
        );
        let in_progress = Gauge::default();
        registry.register("in_progress", "Requests in progress", in_progress.clone());
        let log_lines_dropped = Gauge::default();
        registry.register(
            "log_lines_dropped",
            "Lines that the log dropped",
            log_lines_dropped.clone(),
        );
        Self {
            registry,
            requests,
            answer_seconds,
            first_seconds,
            stage_seconds,
            sends,
            store_calls,
            call_pieces,
            in_progress,
            log_lines_dropped,
        }
    }

    /// Records the time to the end of an answer.
    pub fn record_response(&self, labels: &RequestLabels, took_ms: Millis) {
        observe(&self.answer_seconds, labels, took_ms);
    }

    /// Records the time to the head of an answer or the first event.
    pub fn record_first(&self, labels: &RequestLabels, took_ms: Millis) {
        observe(&self.first_seconds, labels, took_ms);
    }

    /// Records the time that the stages of a request took.
    pub fn record_stages(&self, labels: &RequestLabels, took_ms: Millis) {
        observe(&self.stage_seconds, labels, took_ms);
    }

    /// Counts what happened at a service.
    pub fn count_send(&self, service: &str, event: &'static str) {
        let labels = EventLabels {
            subject: service.to_owned(),
            event,
        };
        self.sends.get_or_create(&labels).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, subject: &str, event: &'static str) {
        let labels = EventLabels {
            subject: subject.to_owned(),
            event,
        };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Returns all values as text.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!(error:%; "the metrics could not be encoded");
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn observe(family: &Histograms, labels: &RequestLabels, took_ms: Millis) {
    family
        .get_or_create(labels)
        .observe(took_ms.0 as f64 / 1_000.0);
}
