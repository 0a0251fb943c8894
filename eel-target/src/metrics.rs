//! Prometheus metrics of the target node.

use std::sync::Arc;

use eel_telemetry::metrics::registry;
use eel_types::Class;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// The outcome of an attempt, as a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Outcome {
    Answered,
    Refused,
    Failed,
}

/// The priority class, as a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum ClassLabel {
    Urgent,
    Interactive,
    Batch,
}

impl From<Class> for ClassLabel {
    fn from(class: Class) -> Self {
        match class {
            Class::Urgent => Self::Urgent,
            Class::Interactive => Self::Interactive,
            Class::Batch => Self::Batch,
        }
    }
}

/// Labels of `target_attempts`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AttemptLabels {
    pub(crate) class: ClassLabel,
    pub(crate) outcome: Outcome,
}

/// The metrics of one target node. They are registered under the names of the fields with the prefix `target_`, except
/// `revision`, which is `target_configuration_revision`.
pub(crate) struct Metrics {
    pub(crate) attempts: Family<AttemptLabels, Counter>,
    pub(crate) preemptions: Counter,
    /// Attempts settled at the request of an entry node.
    pub(crate) settlements: Counter,
    pub(crate) links: Gauge,
    pub(crate) revision: Gauge,
    /// The time that started requests, online and batch, waited for a slot.
    pub(crate) wait_seconds: Histogram,
    /// The time from the start of a request to the first part of its response body.
    pub(crate) first_byte_seconds: Histogram,
}

impl Metrics {
    /// Creates the metrics and the registry that holds them.
    pub(crate) fn register() -> (Arc<Self>, Registry) {
        let metrics = Self {
            attempts: Family::default(),
            preemptions: Counter::default(),
            settlements: Counter::default(),
            links: Gauge::default(),
            revision: Gauge::default(),
            wait_seconds: Histogram::new(exponential_buckets(0.000_5, 2.0, 16)),
            first_byte_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
        };
        let mut registry = registry();
        metrics.register_all(&mut registry);
        (Arc::new(metrics), registry)
    }

    fn register_all(&self, registry: &mut Registry) {
        registry.register(
            "target_attempts",
            "Attempts by class and outcome",
            self.attempts.clone(),
        );
        registry.register(
            "target_preemptions",
            "Batch items cancelled for online requests",
            self.preemptions.clone(),
        );
        registry.register(
            "target_settlements",
            "Attempts settled over a fresh link",
            self.settlements.clone(),
        );
        registry.register(
            "target_links",
            "Open links from entry nodes",
            self.links.clone(),
        );
        registry.register(
            "target_configuration_revision",
            "Revision of the configuration in force",
            self.revision.clone(),
        );
        registry.register(
            "target_wait_seconds",
            "Time that online requests waited for a slot",
            self.wait_seconds.clone(),
        );
        registry.register(
            "target_first_byte_seconds",
            "Time from the start to the first byte of the answer",
            self.first_byte_seconds.clone(),
        );
    }
}
