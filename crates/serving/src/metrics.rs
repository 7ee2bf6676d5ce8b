//! Metrics in the `OpenMetrics` text format.

use std::fmt;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Metric;
use prometheus_client::registry::Registry;

use arbutus_coord::Millis;

/// Labels of the metrics of a request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RequestLabels {
    /// The name of the organisation, or `-` if the request has none.
    pub organisation: String,
    /// The route's kind and priority, such as `stream-0`.
    pub class: String,
}

/// Labels of a completed request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The name of the organisation, or `-` if the request has none.
    pub organisation: String,
    /// The route's kind and priority, such as `stream-0`.
    pub class: String,
    /// How the request ended.
    pub outcome: &'static str,
}

/// Labels of an attempt or a store call.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct EventLabels {
    /// The service, or the kind of store objects.
    pub subject: String,
    /// The outcome, such as `answered`.
    pub event: &'static str,
}

/// Labels of clients that were refused or closed because of a limit.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct LimitLabels {
    /// Why, such as `stalled_body`.
    pub reason: &'static str,
}

type Histograms = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// The metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Completed requests.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Time from the arrival of a request to the end of its response.
    response_seconds: Histograms,
    /// Time from the arrival of a request to the first event of its stream.
    first_event_seconds: Histograms,
    /// Time from the arrival of a request to the completion of its stages.
    stage_seconds: Histograms,
    /// Attempts by service and outcome.
    pub attempts: Family<EventLabels, Counter>,
    /// Store calls by object kind and outcome.
    pub store_calls: Family<EventLabels, Counter>,
    /// Number of pieces per stage call.
    pub pieces_per_call: Histogram,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Open client connections.
    pub client_connections: Gauge,
    /// Clients that were refused or closed because of a limit.
    pub limited_clients: Family<LimitLabels, Counter>,
    /// Memory that the bodies of requests hold, in bytes.
    pub request_body_bytes: Gauge,
    /// Requests whose head arrived after SIGTERM.
    pub accepted_during_shutdown: Counter,
    /// Log lines dropped since the process started.
    pub log_lines_dropped: Gauge,
    /// Targets that name a limit on their requests.
    pub limited_targets: Gauge,
    /// The era of the store; 0 if it names none.
    pub store_era: Gauge,
    /// Targets that have asked this instance for a pause that lasts.
    pub paused_targets: Gauge,
    /// Targets whose load the shared view knows.
    pub viewed_targets: Gauge,
    /// Mean age of these loads.
    pub view_age_ms: Gauge,
    /// Targets that this instance, as the aggregator, gives less than a normal share.
    pub ramping_targets: Gauge,
    /// Changes of the aggregator of this failure domain.
    pub aggregator_changes: Counter,
    /// Requests sent while an order is in force, by service and version side.
    rollout_sends: Family<EventLabels, Counter>,
    /// Phases and states of roll-outs that began, by service.
    rollout_steps: Family<EventLabels, Counter>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

/// Returns a histogram of durations with buckets from 5 ms to 20 s.
fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 13))
}

/// Registers a metric.
fn register<M: Metric + Clone + Default>(registry: &mut Registry, name: &str, help: &str) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

/// Registers a histogram of durations for each organisation and class.
fn register_histograms(registry: &mut Registry, name: &str, help: &str) -> Histograms {
    let constructor: fn() -> Histogram = duration_histogram;
    let histograms = Histograms::new_with_constructor(constructor);
    registry.register(name, help, histograms.clone());
    histograms
}

fn register_pieces_per_call(registry: &mut Registry) -> Histogram {
    let histogram = Histogram::new(exponential_buckets(1.0, 2.0, 7));
    let help = "Pieces of a stage call of the own queues";
    registry.register("call_pieces", help, histogram.clone());
    histogram
}

impl Metrics {
    /// Creates and registers all metrics.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("arbutus");
        let response_seconds = register_histograms(
            &mut registry,
            "answer_seconds",
            "Time to the end of an answer",
        );
        let first_event_seconds = register_histograms(
            &mut registry,
            "first_seconds",
            "Time to the head of an answer or the first event",
        );
        let stage_seconds = register_histograms(
            &mut registry,
            "stage_seconds",
            "Time of the stages before a request",
        );
        let pieces_per_call = register_pieces_per_call(&mut registry);
        Self {
            requests: register(&mut registry, "requests", "Ended requests"),
            response_seconds,
            first_event_seconds,
            stage_seconds,
            attempts: register(&mut registry, "sends", "Sends to targets"),
            store_calls: register(&mut registry, "store_calls", "Calls to the store"),
            pieces_per_call,
            in_progress: register(&mut registry, "in_progress", "Requests in progress"),
            client_connections: register(
                &mut registry,
                "client_connections",
                "Open client connections",
            ),
            limited_clients: register(
                &mut registry,
                "limited_clients",
                "Clients refused or closed because of a limit",
            ),
            request_body_bytes: register(
                &mut registry,
                "request_body_bytes",
                "Memory that bodies of requests hold",
            ),
            accepted_during_shutdown: register(
                &mut registry,
                "accepted_during_shutdown",
                "Requests accepted during the shutdown",
            ),
            log_lines_dropped: register(
                &mut registry,
                "log_lines_dropped",
                "Lines that the log dropped",
            ),
            store_era: register(
                &mut registry,
                "store_era",
                "Era of the store, which rises when it comes back from an older copy",
            ),
            limited_targets: register(
                &mut registry,
                "limited_targets",
                "Targets that name a limit on their requests",
            ),
            paused_targets: register(
                &mut registry,
                "paused_targets",
                "Targets that asked for a pause that lasts",
            ),
            viewed_targets: register(
                &mut registry,
                "viewed_targets",
                "Targets whose load the shared view knows",
            ),
            view_age_ms: register(
                &mut registry,
                "view_age_ms",
                "Mean age of the loads in the shared view",
            ),
            ramping_targets: register(
                &mut registry,
                "ramping_targets",
                "Targets that the aggregator gives less than a normal share",
            ),
            aggregator_changes: register(
                &mut registry,
                "aggregator_changes",
                "Changes of the aggregator of the failure domain",
            ),
            rollout_sends: register(
                &mut registry,
                "rollout_sends",
                "Sends to targets while a roll-out is in progress",
            ),
            rollout_steps: register(
                &mut registry,
                "rollout_steps",
                "Phases and states of roll-outs that began",
            ),
            registry,
        }
    }

    /// Counts a request that is sent to the old or new version of a service.
    pub fn count_rollout_send(&self, service: &str, side: &'static str) {
        let labels = EventLabels {
            subject: service.to_owned(),
            event: side,
        };
        self.rollout_sends.get_or_create(&labels).inc();
    }

    /// Counts a phase or state of a roll-out that began.
    pub fn count_rollout_step(&self, service: &str, step: &'static str) {
        let labels = EventLabels {
            subject: service.to_owned(),
            event: step,
        };
        self.rollout_steps.get_or_create(&labels).inc();
    }

    /// Records the time to the end of a response.
    pub fn record_response(&self, labels: &RequestLabels, duration_ms: Millis) {
        observe(&self.response_seconds, labels, duration_ms);
    }

    /// Records the time to the first event of a stream.
    pub fn record_first_event(&self, labels: &RequestLabels, duration_ms: Millis) {
        observe(&self.first_event_seconds, labels, duration_ms);
    }

    /// Records the time from the arrival of a request to the completion of its stages.
    pub fn record_stages(&self, labels: &RequestLabels, duration_ms: Millis) {
        observe(&self.stage_seconds, labels, duration_ms);
    }

    /// Counts the outcome of an attempt at a target of a service.
    pub fn count_attempt(&self, service: &str, event: &'static str) {
        let labels = EventLabels {
            subject: service.to_owned(),
            event,
        };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts a store call for a kind of objects by its outcome.
    pub fn count_store_call(&self, subject: &str, event: &'static str) {
        let labels = EventLabels {
            subject: subject.to_owned(),
            event,
        };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Encodes all metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!(error:%; "cannot encode the metrics");
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn observe(family: &Histograms, labels: &RequestLabels, duration_ms: Millis) {
    family
        .get_or_create(labels)
        .observe(duration_ms.0 as f64 / 1_000.0);
}
