//! Accepts a job if it can meet its deadline.
//!
//! The jobs of a service run in deadline order, so a job waits for the work that is due before it and delays the work
//! that is due after it.

/// The unfinished work of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Queued {
    /// The deadline of the job, in Unix time.
    pub deadline_unix_ms: u64,
    /// The number of items without a result.
    pub items: u64,
}

/// The job to accept or refuse.
pub type Candidate = Queued;

/// Whether a job is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The job and all jobs accepted before can meet their deadlines.
    Accept,
    /// The job cannot meet its deadline, or would make an accepted job miss its own.
    Refuse {
        /// The earliest deadline with which the job would be accepted, in Unix time.
        earliest_deadline_unix_ms: u64,
        /// The time until all queued work is finished, at most [`MAX_RETRY_AFTER_MS`].
        retry_after_ms: u64,
    },
}

/// The maximum retry-after time of a refusal.
pub const MAX_RETRY_AFTER_MS: u64 = 600_000;
const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// The share of the measured rate that is used to plan deadlines.
const PLANNED_SHARE: f64 = 0.9;

/// Decides whether to accept `job`, given the queued work of its service and the rate at which items finish.
///
/// Without a measured rate, only a job whose deadline has passed is refused.
#[must_use]
pub fn decide(
    now_unix_ms: u64,
    queued: &[Queued],
    items_per_s: Option<f64>,
    job: Candidate,
) -> Decision {
    let Some(rate) = items_per_s.filter(|rate| *rate > 0.0) else {
        return without_rate(now_unix_ms, job);
    };
    let mut queued = queued.to_vec();
    queued.sort_by_key(|work| work.deadline_unix_ms);
    let rate = rate * PLANNED_SHARE;
    let earliest_deadline_unix_ms = earliest_deadline(now_unix_ms, &queued, rate, job.items);
    let meets_own = earliest_deadline_unix_ms <= job.deadline_unix_ms;
    if meets_own && keeps_later_deadlines(now_unix_ms, &queued, rate, job) {
        return Decision::Accept;
    }
    let ahead: u64 = queued.iter().map(|work| work.items).sum();
    Decision::Refuse {
        earliest_deadline_unix_ms,
        retry_after_ms: work_ms(ahead, rate).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
    }
}

fn without_rate(now_unix_ms: u64, job: Candidate) -> Decision {
    if job.deadline_unix_ms > now_unix_ms {
        return Decision::Accept;
    }
    Decision::Refuse {
        earliest_deadline_unix_ms: now_unix_ms + MIN_RETRY_AFTER_MS,
        retry_after_ms: MIN_RETRY_AFTER_MS,
    }
}

/// Returns the earliest deadline that a job of `items` can meet without making a later job miss its own.
fn earliest_deadline(now_unix_ms: u64, queued: &[Queued], rate: f64, items: u64) -> u64 {
    let own_ms = work_ms(items, rate);
    let slack_ms = min_slack_ms(now_unix_ms, queued, rate);
    let mut ahead = 0;
    let mut previous_unix_ms = now_unix_ms;
    for (position, work) in queued.iter().enumerate() {
        let finish_unix_ms = now_unix_ms + work_ms(ahead + items, rate);
        let due_unix_ms = finish_unix_ms.max(previous_unix_ms);
        if slack_ms[position] >= own_ms && due_unix_ms < work.deadline_unix_ms {
            return due_unix_ms;
        }
        ahead += work.items;
        previous_unix_ms = work.deadline_unix_ms;
    }
    (now_unix_ms + work_ms(ahead + items, rate)).max(previous_unix_ms)
}

/// Returns for each position the minimum slack of the jobs from there on; 0 if one of them is late.
fn min_slack_ms(now_unix_ms: u64, queued: &[Queued], rate: f64) -> Vec<u64> {
    let mut ahead = 0;
    let mut slack_ms: Vec<u64> = queued
        .iter()
        .map(|work| {
            ahead += work.items;
            let finish_unix_ms = now_unix_ms + work_ms(ahead, rate);
            work.deadline_unix_ms.saturating_sub(finish_unix_ms)
        })
        .collect();
    for position in (1..slack_ms.len()).rev() {
        slack_ms[position - 1] = slack_ms[position - 1].min(slack_ms[position]);
    }
    slack_ms
}

fn keeps_later_deadlines(now_unix_ms: u64, queued: &[Queued], rate: f64, job: Candidate) -> bool {
    let position = queued.partition_point(|work| work.deadline_unix_ms <= job.deadline_unix_ms);
    let ahead: u64 = queued[..position].iter().map(|work| work.items).sum();
    let finish_unix_ms = now_unix_ms + work_ms(ahead + job.items, rate);
    let slack_ms = min_slack_ms(now_unix_ms, queued, rate);
    let own_ms = work_ms(job.items, rate);
    finish_unix_ms <= job.deadline_unix_ms && slack_ms.get(position).is_none_or(|ms| *ms >= own_ms)
}

fn work_ms(items: u64, rate: f64) -> u64 {
    #[expect(clippy::cast_precision_loss, reason = "a count of items")]
    let ms = items as f64 * 1_000.0 / rate;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "saturates, and is never negative"
    )]
    let ms = ms.ceil() as u64;
    ms
}
