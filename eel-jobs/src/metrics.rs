//! Prometheus metrics of batch job processing.

use eel_batch::{Outcome, Part};
use eel_verdict::Reason;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Labels of `jobs_refused`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    pub(crate) reason: &'static str,
}

impl From<Reason> for RefusalLabels {
    fn from(reason: Reason) -> Self {
        Self {
            reason: reason.as_str(),
        }
    }
}

/// Metrics of batch job processing on one node, registered with the prefix `jobs_`.
#[derive(Debug, Default)]
pub struct Metrics {
    pub(crate) jobs_accepted: Counter,
    pub(crate) jobs_refused: Family<RefusalLabels, Counter>,
    pub(crate) chunks_claimed: Counter,
    pub(crate) chunks_done: Counter,
    pub(crate) chunks_lost: Counter,
    pub(crate) items_sent: Counter,
    pub(crate) items_answered: Counter,
    pub(crate) items_failed: Counter,
    pub(crate) chunks_held: Gauge,
    pub(crate) lease_held: Gauge,
    pub(crate) live_jobs: Gauge,
    pub(crate) late_jobs: Gauge,
}

impl Metrics {
    /// Registers all metrics in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        self.register_jobs(registry);
        self.register_work(registry);
    }

    fn register_jobs(&self, registry: &mut Registry) {
        registry.register(
            "jobs_accepted",
            "Jobs kept by this node",
            self.jobs_accepted.clone(),
        );
        registry.register(
            "jobs_refused",
            "Submissions that were not kept or not known to be, by reason",
            self.jobs_refused.clone(),
        );
        registry.register(
            "jobs_live",
            "Jobs that have not been archived, on all nodes",
            self.live_jobs.clone(),
        );
        registry.register(
            "jobs_late",
            "Jobs with an open chunk that miss their deadline at the present rate, on all nodes",
            self.late_jobs.clone(),
        );
    }

    fn register_work(&self, registry: &mut Registry) {
        let counters = [
            (
                "jobs_chunks_claimed",
                "Chunks claimed",
                &self.chunks_claimed,
            ),
            (
                "jobs_chunks_done",
                "Chunks whose items all have results",
                &self.chunks_done,
            ),
            (
                "jobs_chunks_lost",
                "Chunks whose claim was lost",
                &self.chunks_lost,
            ),
            ("jobs_items_sent", "Items sent to targets", &self.items_sent),
            (
                "jobs_items_answered",
                "Answers committed",
                &self.items_answered,
            ),
            (
                "jobs_items_failed",
                "Final errors of items committed",
                &self.items_failed,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "jobs_chunks_held",
            "Chunks that the node works on",
            self.chunks_held.clone(),
        );
        registry.register(
            "jobs_lease_held",
            "1 while the node holds its lease",
            self.lease_held.clone(),
        );
    }

    /// Counts the results of a committed part.
    pub(crate) fn on_committed(&self, part: &Part) {
        for result in &part.results {
            match result.outcome {
                Outcome::Response(_) => self.items_answered.inc(),
                Outcome::Error(_) => self.items_failed.inc(),
            };
        }
        if part.done.is_some() {
            self.chunks_done.inc();
        }
    }
}
