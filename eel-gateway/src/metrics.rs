//! Metrics of the gateway node.

use eel_fleet::AttemptOutcome;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Upper bounds of the latency buckets, in seconds: from a round trip within a data centre to the longest deadline.
const BUCKETS_S: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    pub outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StreamEndLabels {
    pub framing: &'static str,
    pub end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConnectionEndLabel {
    pub end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EvidenceLabel {
    pub evidence: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    pub cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResumedLabel {
    pub source: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QuotaLabels {
    pub tenant: String,
    pub outcome: &'static str,
}

/// Counters, gauges and histograms of the node.
#[derive(Default)]
pub struct Metrics {
    pub requests: Family<OutcomeLabel, Counter>,
    /// Requests that were refused because their body could not be received, by the cause.
    pub refused_bodies: Family<OutcomeLabel, Counter>,
    /// Bytes that arriving and arrived bodies and unread responses hold.
    pub held_bytes: Gauge,
    /// Slow bodies and unread responses whose memory was given to others.
    pub evicted_holds: Counter,
    /// Connections that were closed for new ones.
    pub closed_connections: Counter,
    /// Attempts of requests and items at targets, by outcome.
    pub attempts: Family<OutcomeLabel, Counter>,
    /// Attempts of requests that did not run, by what proves it.
    pub not_run_attempts: Family<EvidenceLabel, Counter>,
    pub items: Family<OutcomeLabel, Counter>,
    /// Items that have no output, by the cause.
    pub errored_items: Family<CauseLabel, Counter>,
    /// Streams from targets, by the framing of their body and by how they ended.
    pub stream_ends: Family<StreamEndLabels, Counter>,
    /// Streams that ended with their connection, by what their target showed of the end.
    pub connection_ends: Family<ConnectionEndLabel, Counter>,
    /// Streams that began at another version than the default one of their service.
    pub recorded_streams: Counter,
    /// Streams that callers resumed, by the source of their version, or why it is unknown.
    pub resumed_streams: Family<ResumedLabel, Counter>,
    /// Targets that ended as they began a response.
    pub early_ends: Counter,
    /// The sets of parts with which requests are rejected.
    pub blocked_parts: Gauge,
    /// The requests that are rejected when they come again.
    pub blocked_requests: Gauge,
    /// The targets that limit the rate of requests.
    pub limited_targets: Gauge,
    /// The targets that have just started or recovered and get a small share.
    pub warming_targets: Gauge,
    /// Attempts at targets that limit the rate of requests.
    pub limited_attempts: Counter,
    /// Requests of tenants with quotas, by tenant and by what the quota decided. The number of names is bounded.
    pub quota_requests: Family<QuotaLabels, Counter>,
    /// Datagrams with notices of quotas that were sent.
    pub quota_notices: Counter,
    pub store_failures: Counter,
    /// Result calls for which the watch was behind, so that the results were read from the store.
    pub result_reads: Counter,
    /// The number of datagrams that the last load report was split into.
    pub report_parts: Gauge,
    /// Whether the last call to the store succeeded (1) or failed (0).
    pub store_reachable: Gauge,
    pub route_table_version: Gauge,
    /// The time that queued online requests waited for a slot.
    pub wait_seconds: Latency,
    /// The time from the start of an attempt to the head of the response.
    pub first_byte_seconds: Latency,
}

pub struct Latency(pub Histogram);

impl Default for Latency {
    fn default() -> Self {
        Self(Histogram::new(BUCKETS_S))
    }
}

impl Metrics {
    pub fn register(&self, registry: &mut Registry) {
        self.register_quotas(registry);
        registry.register(
            "requests",
            "Online requests by outcome",
            self.requests.clone(),
        );
        self.register_caller_limits(registry);
        self.register_target_limits(registry);
        registry.register(
            "attempts",
            "Attempts at targets by outcome",
            self.attempts.clone(),
        );
        registry.register(
            "not_run_attempts",
            "Attempts at targets that did not run by what proves it",
            self.not_run_attempts.clone(),
        );
        registry.register(
            "items",
            "Runs of batch items by outcome",
            self.items.clone(),
        );
        registry.register(
            "errored_items",
            "Batch items that have no output by cause",
            self.errored_items.clone(),
        );
        registry.register(
            "stream_ends",
            "Streams from targets by the framing of their body and by how they ended",
            self.stream_ends.clone(),
        );
        registry.register(
            "connection_ends",
            "Streams that ended with their connection by what their target showed of the end",
            self.connection_ends.clone(),
        );
        registry.register(
            "recorded_streams",
            "Streams begun at another version than the default one of their service",
            self.recorded_streams.clone(),
        );
        registry.register(
            "resumed_streams",
            "Streams that callers resumed by the source of their version",
            self.resumed_streams.clone(),
        );
        registry.register(
            "early_ends",
            "Targets that ended as they began a response",
            self.early_ends.clone(),
        );
        registry.register(
            "blocked_parts",
            "Sets of prompt parts with which requests are rejected",
            self.blocked_parts.clone(),
        );
        registry.register(
            "blocked_requests",
            "Requests that are rejected when they come again",
            self.blocked_requests.clone(),
        );
        registry.register(
            "store_failures",
            "Failed calls to the store",
            self.store_failures.clone(),
        );
        registry.register(
            "store_reachable",
            "Whether the store answers",
            self.store_reachable.clone(),
        );
        registry.register(
            "result_reads",
            "Result calls that read the store because the watch was behind",
            self.result_reads.clone(),
        );
        registry.register(
            "report_parts",
            "Datagrams that the last load report was split into",
            self.report_parts.clone(),
        );
        registry.register(
            "route_table_version",
            "Version of the routes in force",
            self.route_table_version.clone(),
        );
        registry.register(
            "wait_seconds",
            "Wait of requests for a slot",
            self.wait_seconds.0.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Time from sending to the head of an answer",
            self.first_byte_seconds.0.clone(),
        );
    }

    fn register_quotas(&self, registry: &mut Registry) {
        registry.register(
            "quota_requests",
            "Requests of tenants with quotas by tenant and by what the quota decided",
            self.quota_requests.clone(),
        );
        registry.register(
            "quota_notices",
            "Datagrams with notices of quotas",
            self.quota_notices.clone(),
        );
    }

    fn register_target_limits(&self, registry: &mut Registry) {
        registry.register(
            "limited_targets",
            "Targets that limit the rate of requests",
            self.limited_targets.clone(),
        );
        registry.register(
            "warming_targets",
            "Targets that have just started or recovered and get a small share",
            self.warming_targets.clone(),
        );
        registry.register(
            "limited_attempts",
            "Attempts at targets that limit the rate of requests",
            self.limited_attempts.clone(),
        );
    }

    fn register_caller_limits(&self, registry: &mut Registry) {
        registry.register(
            "refused_bodies",
            "Requests refused because their body could not be received by cause",
            self.refused_bodies.clone(),
        );
        registry.register(
            "held_bytes",
            "Bytes that bodies and unread responses hold",
            self.held_bytes.clone(),
        );
        registry.register(
            "evicted_holds",
            "Slow bodies and unread responses whose memory was given to others",
            self.evicted_holds.clone(),
        );
        registry.register(
            "closed_connections",
            "Connections that were closed for new ones",
            self.closed_connections.clone(),
        );
    }

    pub fn count_body(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.refused_bodies.get_or_create(&label).inc();
    }

    pub fn count_request(&self, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub fn count_quota(&self, tenant: &str, outcome: &'static str) {
        let labels = QuotaLabels {
            tenant: tenant.to_owned(),
            outcome,
        };
        self.quota_requests.get_or_create(&labels).inc();
    }

    pub fn count_not_run(&self, evidence: &'static str) {
        let label = EvidenceLabel { evidence };
        self.not_run_attempts.get_or_create(&label).inc();
    }

    pub fn count_item(&self, outcome: &'static str) {
        self.items.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub fn count_errored(&self, cause: &'static str) {
        self.errored_items
            .get_or_create(&CauseLabel { cause })
            .inc();
    }

    pub fn count_stream_end(&self, framing: &'static str, end: &'static str) {
        let labels = StreamEndLabels { framing, end };
        self.stream_ends.get_or_create(&labels).inc();
    }

    pub fn count_connection_end(&self, end: &'static str) {
        self.connection_ends
            .get_or_create(&ConnectionEndLabel { end })
            .inc();
    }

    pub fn count_attempt(&self, outcome: AttemptOutcome) {
        let outcome = match outcome {
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::Errored => "errored",
            AttemptOutcome::Full => "full",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Cancelled => "broken_off",
        };
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }
}
