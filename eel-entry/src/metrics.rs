//! Prometheus metrics of the entry node.

use std::sync::Arc;

use eel_telemetry::metrics::registry;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Labels of `entry_refusals`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    pub(crate) reason: &'static str,
    pub(crate) verdict: &'static str,
}

/// The metrics of one entry node. They are registered under the names of the fields with the prefix `entry_`, except
/// `revision`, which is `entry_configuration_revision`.
pub(crate) struct Metrics {
    pub(crate) requests: Counter,
    pub(crate) answers: Counter,
    pub(crate) refusals: Family<RefusalLabels, Counter>,
    pub(crate) retries: Counter,
    pub(crate) cut_streams: Counter,
    pub(crate) open_requests: Gauge,
    pub(crate) targets: Gauge,
    pub(crate) revision: Gauge,
    /// The time from sending an attempt to the head of its response.
    pub(crate) first_byte_seconds: Histogram,
}

impl Metrics {
    /// Creates the metrics and the registry that holds them.
    pub(crate) fn register() -> (Arc<Self>, Registry) {
        let metrics = Self {
            requests: Counter::default(),
            answers: Counter::default(),
            refusals: Family::default(),
            retries: Counter::default(),
            cut_streams: Counter::default(),
            open_requests: Gauge::default(),
            targets: Gauge::default(),
            revision: Gauge::default(),
            first_byte_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
        };
        let mut registry = registry();
        metrics.register_counters(&mut registry);
        metrics.register_gauges(&mut registry);
        (Arc::new(metrics), registry)
    }

    fn register_counters(&self, registry: &mut Registry) {
        registry.register("entry_requests", "Requests received", self.requests.clone());
        registry.register(
            "entry_answers",
            "Answers passed on as a whole",
            self.answers.clone(),
        );
        registry.register(
            "entry_refusals",
            "Requests that ended without a whole answer, by reason and verdict",
            self.refusals.clone(),
        );
        registry.register(
            "entry_retries",
            "Attempts after the first",
            self.retries.clone(),
        );
        registry.register(
            "entry_cut_streams",
            "Streamed answers that broke off after their first part",
            self.cut_streams.clone(),
        );
    }

    fn register_gauges(&self, registry: &mut Registry) {
        registry.register(
            "entry_open_requests",
            "Requests being served",
            self.open_requests.clone(),
        );
        registry.register("entry_targets", "Targets in use", self.targets.clone());
        registry.register(
            "entry_configuration_revision",
            "Revision of the configuration in force",
            self.revision.clone(),
        );
        registry.register(
            "entry_first_byte_seconds",
            "Time from the request to the first byte of its answer",
            self.first_byte_seconds.clone(),
        );
    }
}
