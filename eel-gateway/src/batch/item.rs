//! Runs one batch item at one target.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::{Duration, Instant},
};

use eel_events::{EventBuffer, Repeats, each, event_data, event_id};
use eel_fleet::{AttemptOutcome, TargetEntry};
use eel_ledger::{Claim, Item, JobHead, MAX_TEXT_BYTES, Progress, RunOutcome};
use eel_platform::shared_parts_of;
use eel_quarantine::MAX_FIRST_EVENTS;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

use crate::{
    context::Context,
    quarantine::{self, Suspects},
    slots::SlotGuard,
    target::{
        AttemptFailure, OutgoingRequest, ResponseTrace, TargetResponse, continues_stream, exchange,
    },
};

/// How long a run may receive no complete event before it is interrupted, to be tried at another target; doubled for each
/// run before it that was silent for too long and brought no event since, as all targets may be slow.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum number of doublings; the deadline of a run comes first.
const MAX_IDLE_DOUBLINGS: u32 = 6;
/// The maximum time from the start of a run to its deadline.
const MAX_RUN_TIME: Duration = Duration::from_mins(1);

/// One run of one item, with the item's progress.
pub struct Run {
    pub context: Arc<Context>,
    pub head: JobHead,
    pub item: Item,
    pub progress: SharedProgress,
    /// How long after the start of the run its item may be given up, in ms.
    pub left_ms: u64,
    /// What the log says of the response.
    pub response: ResponseTrace,
    /// The id of the last event that the item had when the run ended; `None` if it has no event.
    pub last_event: Option<u64>,
}

/// The progress of a running item, shared by its run and by the task that saves it.
#[derive(Clone, Debug, Default)]
pub struct SharedProgress(Arc<Mutex<Progress>>);

impl SharedProgress {
    pub fn new(progress: Progress) -> Self {
        Self(Arc::new(Mutex::new(progress)))
    }

    pub fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Run {
    /// Runs the item at the target of `slot` until it ends or is interrupted.
    pub async fn run(&mut self, slot: SlotGuard) -> RunOutcome {
        let Some(outgoing) = to_outgoing(&self.head, &self.item).map(Arc::new) else {
            return RunOutcome::Unsendable;
        };
        let now = Instant::now();
        let deadline = now + Duration::from_millis(self.left_ms).min(MAX_RUN_TIME);
        let pool = &self.context.pool;
        let target = slot.target.clone();
        let idle_timeout = self.idle_timeout();
        let until = (now + idle_timeout).min(deadline);
        let last_event = self.progress.lock().last_event;
        match exchange(pool, slot, &outgoing, last_event, until, deadline).await {
            Ok(mut target_response) => {
                self.response = target_response.trace();
                let (status, headers) = (target_response.status, &target_response.headers);
                let may_continue = last_event.is_none() || continues_stream(status, headers);
                if status.is_success() && !may_continue {
                    log::info!(
                        target: "jobs", request_id = self.item.id.as_str(), target_id = target.id.as_str(), status = status.as_u16();
                        "A response does not continue the text of an item."
                    );
                    target_response.fail(AttemptFailure::InvalidResponse);
                    return self.interrupted();
                }
                let outgoing = &outgoing;
                self.read(outgoing, target_response, idle_timeout, deadline)
                    .await
            }
            Err(failure) => {
                log::debug!(target: "jobs", "A run of item {} got no response: {failure}.", self.item.id);
                self.failed(&outgoing, failure, &target, 0).await
            }
        }
    }

    async fn read(
        &mut self,
        outgoing: &Arc<OutgoingRequest>,
        mut target_response: TargetResponse,
        idle_timeout: Duration,
        deadline: Instant,
    ) -> RunOutcome {
        let status = target_response.status;
        let claim = claim_of(status);
        let is_doubtful = claim.is_some() && !target_response.fields.is_signed;
        let version = target_response.slot.target.version.clone();
        let last_event = self.progress.lock().last_event;
        let resumes = last_event.is_some();
        let mut buffer = EventBuffer::continuing(last_event, Repeats::PassedOver);
        let mut until = Instant::now() + idle_timeout;
        loop {
            match target_response.next(until.min(deadline)).await {
                Ok(Some(bytes)) if status.is_success() => {
                    let had_only_begun = buffer.scanner().events() <= MAX_FIRST_EVENTS;
                    let pushed = buffer.push(&bytes);
                    if had_only_begun && buffer.scanner().events() > MAX_FIRST_EVENTS {
                        quarantine::on_progress(&self.context, &outgoing.suspects);
                    }
                    let complete = match pushed {
                        Ok(Some(complete)) => complete,
                        Ok(None) => continue,
                        Err(error) => {
                            log::debug!(target: "jobs", "A run of item {} was interrupted: {error}.", self.item.id);
                            target_response.fail(AttemptFailure::InvalidResponse);
                            return self.interrupted();
                        }
                    };
                    until = Instant::now() + idle_timeout;
                    let mut progress = self.progress.lock();
                    let held_bytes = progress.text.len();
                    each(&complete).for_each(|event| append_event(&mut progress, event));
                    self.count_text(progress.text.len() - held_bytes);
                    if progress.last_event.is_some() {
                        progress.version.clone_from(&version);
                    }
                    if progress.text.len() > MAX_TEXT_BYTES {
                        drop(progress);
                        log::info!(target: "jobs", request_id = self.item.id.as_str(); "The text of an item is too long to be listed.");
                        target_response.fail(AttemptFailure::InvalidResponse);
                        return RunOutcome::Discarded(self.take_progress());
                    }
                }
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(failure) => {
                    log::debug!(target: "jobs", "A run of item {} was interrupted: {failure}.", self.item.id);
                    let target = target_response.slot.target.clone();
                    drop(target_response);
                    let events = buffer.scanner().events();
                    let run_outcome = self.failed(outgoing, failure, &target, events).await;
                    return match (claim, run_outcome) {
                        // The target may have meant it, and must not be asked without a limit.
                        (Some(claim), RunOutcome::Interrupted(progress)) => {
                            RunOutcome::Doubtful(progress, claim)
                        }
                        (_, run_outcome) => run_outcome,
                    };
                }
            }
        }
        // Every item has output, so that a success without an event is not all of it.
        let has_output = resumes || buffer.scanner().has_events();
        let is_complete = has_output
            && target_response
                .framing
                .is_complete(buffer.scanner(), resumes);
        if status.is_success() && !is_complete {
            log::debug!(target: "jobs", "A run of item {} ended early.", self.item.id);
            let failure = target_response.fail(AttemptFailure::Truncated);
            let target = target_response.slot.target.clone();
            drop(target_response);
            let events = buffer.scanner().events();
            return self.failed(outgoing, failure, &target, events).await;
        }
        let pool = &self.context.pool;
        if is_doubtful {
            // The next run is better sent elsewhere: the same answer from there says nothing new.
            target_response.finish_as(AttemptOutcome::Errored, pool);
        } else {
            target_response.finish(pool);
        }
        if status.is_success() {
            quarantine::on_completed(&self.context, &outgoing.suspects);
        }
        let progress = self.take_progress();
        match claim {
            Some(claim) if is_doubtful => RunOutcome::Doubtful(progress, claim),
            Some(Claim::Failed) => RunOutcome::Failed(progress),
            Some(Claim::Rejected) => RunOutcome::Rejected,
            None if status.is_success() => RunOutcome::Completed(progress),
            None => RunOutcome::Interrupted(progress),
        }
    }

    /// Counts what was added to the text, and wakes the worker if the texts of all items take too much memory.
    fn count_text(&self, added_bytes: usize) {
        let earlier_bytes = self
            .context
            .text_bytes
            .fetch_add(added_bytes, Ordering::Relaxed);
        if earlier_bytes + added_bytes > self.context.max_text_bytes {
            self.context.batch_wake.notify_one();
        }
    }

    fn idle_timeout(&self) -> Duration {
        let doublings = self.progress.lock().silences.min(MAX_IDLE_DOUBLINGS);
        IDLE_TIMEOUT * (1 << doublings)
    }

    /// Returns the outcome of a run whose `target` failed or was silent after so many events.
    async fn failed(
        &mut self,
        outgoing: &Arc<OutgoingRequest>,
        failure: AttemptFailure,
        target: &TargetEntry,
        events: u64,
    ) -> RunOutcome {
        match failure {
            AttemptFailure::TimedOut => self.progress.lock().silences += 1,
            AttemptFailure::InvalidResponse | AttemptFailure::Truncated
                if events <= MAX_FIRST_EVENTS =>
            {
                quarantine::on_early_end(&self.context, target, outgoing).await;
            }
            _ => {}
        }
        self.interrupted()
    }

    fn take_progress(&mut self) -> Progress {
        let progress = std::mem::take(&mut *self.progress.lock());
        self.last_event = progress.last_event;
        progress
    }

    /// Returns the outcome of an interrupted run, with the item's progress.
    pub fn interrupted(&mut self) -> RunOutcome {
        RunOutcome::Interrupted(self.take_progress())
    }
}

/// Returns what a response with this status says of a run without output; `None` if it says nothing.
fn claim_of(status: StatusCode) -> Option<Claim> {
    match status {
        StatusCode::INTERNAL_SERVER_ERROR => Some(Claim::Failed),
        StatusCode::UNPROCESSABLE_ENTITY => Some(Claim::Rejected),
        _ => None,
    }
}

/// Returns what can crash targets in an item.
pub fn suspects_of(item: &Item) -> Suspects {
    let headers = item
        .headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()));
    Suspects::of_item(&item.id, shared_parts_of(headers))
}

fn to_outgoing(head: &JobHead, item: &Item) -> Option<OutgoingRequest> {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_str(value).ok()?);
    }
    headers.insert(header::HOST, HeaderValue::from_str(&head.host).ok()?);
    Some(OutgoingRequest {
        method: Method::POST,
        uri: item.path.parse().ok()?,
        headers,
        body: item.body.clone(),
        request_id: item.id.as_str().to_owned(),
        adds_id: true,
        is_continuable: true,
        suspects: suspects_of(item),
        tenant: head.tenant.clone(),
    })
}

/// Appends the text of an event to the progress, unless the event has no id or was received before.
fn append_event(progress: &mut Progress, event: &[u8]) {
    let Some(id) = event_id(event) else {
        return;
    };
    if progress.last_event.is_some_and(|last| id <= last) {
        return;
    }
    for data in event_data(event) {
        if progress.last_event.is_some() || !progress.text.is_empty() {
            progress.text.push('\n');
        }
        progress.text.push_str(&String::from_utf8_lossy(data));
    }
    progress.last_event = Some(id);
    progress.silences = 0;
}
