//! The state of one target, as an entry node sees it.

use eel_types::{Class, LoadReport, Name};
use eel_verdict::Reason;

use crate::{Breaker, BreakerOptions, BreakerState};

/// Weight of the latest sample in the moving average of the time to first byte.
const EWMA_WEIGHT: f32 = 0.1;

/// A target as the membership view declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// The VM that the target runs on.
    pub vm: Name,
    /// The data centre of the VM.
    pub data_centre: Name,
    /// Whether the entry node runs in the same data centre.
    pub same_data_centre: bool,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target gave a complete response.
    Answered {
        /// The time from the start of the attempt to the first byte of the response.
        first_byte_us: u64,
    },
    /// The target node refused the request.
    Refused(Reason),
    /// The link or the target failed, or made no progress in time.
    Failed,
    /// This entry node cancelled the attempt for a reason unrelated to the target.
    Cancelled,
}

/// The state of a target at one point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetStatus {
    /// Attempts of this entry node in flight at the target, online and batch.
    pub in_flight: u32,
    /// Whether the target gets no new work because it is leaving.
    pub leaving: bool,
    /// The state of the target's breaker.
    pub breaker: BreakerState,
    /// The moving average of the time to first byte; 0 before the first response and after an ejection.
    pub first_byte_us: f32,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InFlight {
    pub(crate) online: u32,
    pub(crate) batch: u32,
}

#[derive(Debug)]
struct ReceivedReport {
    report: LoadReport,
    at_ms: u64,
    /// Online requests of other entry nodes, averaged over the reports.
    others: f32,
    /// Batch items that this entry node has started on the credits of the report.
    batch_started: u32,
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) info: TargetInfo,
    pub(crate) leaving: bool,
    pub(crate) breaker: Breaker,
    pub(crate) in_flight: InFlight,
    pub(crate) first_byte_us: f32,
    pub(crate) samples: u32,
    latest_report: Option<ReceivedReport>,
    full_until_ms: u64,
}

impl Target {
    pub(crate) fn new(now_ms: u64, info: TargetInfo, breaker: BreakerOptions) -> Self {
        Self {
            info,
            leaving: false,
            breaker: Breaker::new(now_ms, breaker),
            in_flight: InFlight::default(),
            first_byte_us: 0.0,
            samples: 0,
            latest_report: None,
            full_until_ms: 0,
        }
    }

    /// Records a load report.
    ///
    /// Reports lag behind the own attempts, so the load from other entry nodes is averaged over `smoothing_ms`: the
    /// difference between the averages of the reported load and of the own attempts does not depend on the lag.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn on_report(&mut self, now_ms: u64, report: LoadReport, smoothing_ms: u64) {
        let reported = (report.running_online + report.queued_online) as f32;
        let sample = reported - self.in_flight.online as f32;
        let others = match &self.latest_report {
            Some(latest_report) => {
                let age_ms = now_ms.saturating_sub(latest_report.at_ms) as f32;
                let weight = age_ms / (age_ms + smoothing_ms.max(1) as f32);
                latest_report.others + weight * (sample - latest_report.others)
            }
            None => sample,
        };
        self.latest_report = Some(ReceivedReport {
            report,
            at_ms: now_ms,
            others,
            batch_started: 0,
        });
    }

    pub(crate) fn on_start(&mut self, class: Class) {
        if class.is_online() {
            self.in_flight.online += 1;
            return;
        }
        self.in_flight.batch += 1;
        if let Some(latest_report) = &mut self.latest_report {
            latest_report.batch_started += 1;
        }
    }

    pub(crate) fn on_end(&mut self, class: Class) {
        let count = match class {
            Class::Batch => &mut self.in_flight.batch,
            Class::Urgent | Class::Interactive => &mut self.in_flight.online,
        };
        *count = count.saturating_sub(1);
    }

    pub(crate) fn on_first_byte(&mut self, first_byte_us: f32) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.first_byte_us = first_byte_us;
        } else {
            self.first_byte_us += EWMA_WEIGHT * (first_byte_us - self.first_byte_us);
        }
    }

    /// Discards the measured times to first byte, so that the target is measured afresh.
    pub(crate) fn reset_latency(&mut self) {
        self.samples = 0;
        self.first_byte_us = 0.0;
    }

    pub(crate) fn set_full_until(&mut self, full_until_ms: u64) {
        self.full_until_ms = full_until_ms;
    }

    pub(crate) fn is_refusing(&self, now_ms: u64) -> bool {
        now_ms < self.full_until_ms
    }

    pub(crate) fn slots(&self, assumed: u32) -> u32 {
        let slots = self
            .latest_report
            .as_ref()
            .map_or(assumed, |latest_report| latest_report.report.slots);
        slots.max(1)
    }

    /// Estimates the online requests at the target: those of other entry nodes, averaged over the reports, plus the own
    /// ones in flight. A stale report is ignored.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn load(&self, now_ms: u64, stale_ms: u64) -> f32 {
        let own = self.in_flight.online as f32;
        match &self.latest_report {
            Some(latest_report) if now_ms.saturating_sub(latest_report.at_ms) < stale_ms => {
                latest_report.others.max(0.0) + own
            }
            _ => own,
        }
    }

    /// Returns the load with one more request as a share of the slots. Above 1, that request would be queued.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn occupancy(&self, now_ms: u64, stale_ms: u64, assumed_slots: u32) -> f32 {
        let load = self.load(now_ms, stale_ms) + 1.0;
        load / self.slots(assumed_slots) as f32
    }

    /// Returns how many batch items this entry node may still send on the credits of the latest report.
    pub(crate) fn batch_credits(&self, now_ms: u64) -> u32 {
        match &self.latest_report {
            Some(latest_report) => {
                let age_ms = now_ms.saturating_sub(latest_report.at_ms);
                if age_ms >= u64::from(latest_report.report.credit_valid_ms) {
                    return 0;
                }
                latest_report
                    .report
                    .batch_credits
                    .saturating_sub(latest_report.batch_started)
            }
            None => 0,
        }
    }
}
