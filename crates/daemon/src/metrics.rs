//! The metrics of an instance, exported in the `OpenMetrics` text format.

use std::fmt;
use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use arbutus_coord::Millis;

/// The labels of the histograms of requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// The organisation.
    pub organisation: String,
    /// The class of the pipeline.
    pub class: String,
}

/// The labels of the counter of finished requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The organisation.
    pub organisation: String,
    /// The class of the pipeline.
    pub class: String,
    /// `answered`, `late` (after the deadline) or the problem type.
    pub outcome: String,
}

/// The labels of the counter of stage attempts.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct AttemptLabels {
    /// The service that executes the stage.
    pub service: String,
    /// `done` and `remote_done` for a success, else the kind of failure. The prefix `remote_` marks
    /// calls that were forwarded to another failure domain.
    pub outcome: String,
}

/// The labels of the counter of restarts.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ChildLabels {
    /// The name of the supervised task.
    pub child: String,
}

/// The labels of the counter of events that have no metric of their own.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct EventLabels {
    /// The kind of event.
    pub event: String,
}

type HistogramFamily = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// All metrics of an instance. Clones share their values.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    /// Finished requests by outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Time from the arrival of a request until its result is known, which includes
    /// the writing of streamed tokens but not that of other responses.
    pub request_seconds: HistogramFamily,
    /// Time from the arrival of a request to the first token of its response.
    pub first_token_seconds: HistogramFamily,
    /// Time between consecutive tokens of a stream.
    pub token_gap_seconds: HistogramFamily,
    /// Attempts to execute a stage, by outcome.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Restarts of supervised tasks after an error.
    pub child_restarts: Family<ChildLabels, Counter>,
    /// Events that have no metric of their own.
    pub events: Family<EventLabels, Counter>,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// The generation of the active configuration, 0 before the first one.
    pub generation: Gauge,
    /// Bytes of datagrams and peer calls sent to other instances. Like the next two metrics, it is
    /// a gauge because it copies a counter of the gossip layer.
    pub peer_bytes_sent: Gauge,
    /// Datagrams sent to other instances.
    pub peer_datagrams_sent: Gauge,
    /// Calls made to other instances.
    pub peer_calls_sent: Gauge,
    /// Calls made to the platform.
    pub platform_calls: Counter,
}

impl Metrics {
    /// Creates all metrics with the value zero.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("arbutus");
        let requests = Family::default();
        let request_seconds = HistogramFamily::new_with_constructor(duration_histogram);
        let first_token_seconds = HistogramFamily::new_with_constructor(duration_histogram);
        let token_gap_seconds = HistogramFamily::new_with_constructor(duration_histogram);
        let attempts = Family::default();
        let child_restarts = Family::default();
        let events = Family::default();
        let in_flight = Gauge::default();
        let generation = Gauge::default();
        let peer_bytes_sent = Gauge::default();
        let peer_datagrams_sent = Gauge::default();
        let peer_calls_sent = Gauge::default();
        let platform_calls = Counter::default();
        registry.register(
            "peer_calls_sent",
            "Calls made to other instances",
            Gauge::clone(&peer_calls_sent),
        );
        registry.register(
            "peer_bytes_sent",
            "Bytes sent to other instances",
            Gauge::clone(&peer_bytes_sent),
        );
        registry.register(
            "peer_datagrams_sent",
            "Datagrams sent to other instances",
            Gauge::clone(&peer_datagrams_sent),
        );
        registry.register(
            "platform_calls",
            "Calls made to the platform",
            Counter::clone(&platform_calls),
        );
        registry.register(
            "requests",
            "Requests by how they ended",
            Family::clone(&requests),
        );
        registry.register(
            "request_seconds",
            "Time from arrival to the end of the answer",
            request_seconds.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time from arrival to the first token",
            first_token_seconds.clone(),
        );
        registry.register(
            "token_gap_seconds",
            "Time between two tokens of a stream",
            token_gap_seconds.clone(),
        );
        registry.register(
            "attempts",
            "Stage attempts by how they ended",
            Family::clone(&attempts),
        );
        registry.register(
            "child_restarts",
            "Restarts of supervised children",
            Family::clone(&child_restarts),
        );
        registry.register("events", "Other events", Family::clone(&events));
        registry.register(
            "in_flight",
            "Requests in progress",
            Gauge::clone(&in_flight),
        );
        registry.register(
            "generation",
            "Generation of the configuration in force",
            Gauge::clone(&generation),
        );
        Self {
            registry: Arc::new(registry),
            requests,
            request_seconds,
            first_token_seconds,
            token_gap_seconds,
            attempts,
            child_restarts,
            events,
            in_flight,
            generation,
            peer_bytes_sent,
            peer_datagrams_sent,
            peer_calls_sent,
            platform_calls,
        }
    }

    /// Counts one event of a kind.
    pub fn count(&self, event: &str) {
        self.events
            .get_or_create(&EventLabels {
                event: event.to_owned(),
            })
            .inc();
    }

    /// Counts several events of a kind. A count of zero creates no time series.
    pub fn count_by(&self, event: &str, count: u64) {
        if count > 0 {
            self.events
                .get_or_create(&EventLabels {
                    event: event.to_owned(),
                })
                .inc_by(count);
        }
    }

    /// Returns all metrics in the text format.
    ///
    /// # Panics
    ///
    /// Panics when formatting fails, which cannot happen when the output is a string.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("formatting into a string succeeds");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

/// Converts a duration to seconds, the unit of the exported histograms.
#[must_use]
pub fn seconds(duration: Millis) -> f64 {
    duration.to_duration().as_secs_f64()
}

fn duration_histogram() -> Histogram {
    // 16 buckets from 2 ms to 65 s cover both the time between tokens and the duration of long
    // streams.
    Histogram::new(exponential_buckets(0.002, 2.0, 16))
}
