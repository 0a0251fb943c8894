//! Runs one batch item at one target.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use eel_events::{EventBuffer, InvalidEvents, Repeats, each};
use eel_fleet::{AttemptOutcome, TargetEntry};
use eel_ledger::{Claim, Item, JobHead, MAX_TEXT_BYTES, Progress, RunOutcome, TextEnd};
use eel_platform::shared_parts_of;
use eel_quarantine::MAX_FIRST_EVENTS;
use eel_types::Name;
use eel_verdict::Verdict;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

use super::progress::{SharedProgress, append_event};
use crate::{
    context::Context,
    quarantine::{self, Suspects},
    slots::SlotGuard,
    target::{
        AttemptFailure, Ending, OutgoingRequest, ResponseTrace, TargetResponse, continues_stream,
        exchange,
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

/// What the end of a response shows of the text.
enum Settled {
    /// It is whole.
    Complete,
    /// The target sends more, of which these are the first bytes.
    Continued(Bytes),
    /// It may be cut; another run shows what follows.
    Interrupted,
}

/// Why the events of a run are not used.
enum Unusable {
    Events(InvalidEvents),
    /// The text is too long to be listed.
    TooLong,
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
                    return RunOutcome::not_continued(self.take_progress());
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
        let version = target_response.slot.target.version.clone();
        let last_event = self.progress.lock().last_event;
        let resumes = last_event.is_some();
        let mut buffer = EventBuffer::continuing(last_event, Repeats::PassedOver);
        let mut until = Instant::now() + idle_timeout;
        let mut start = None;
        let failure = loop {
            let read = match start.take() {
                Some(start) => Ok(Some(start)),
                None => target_response.next(until.min(deadline)).await,
            };
            match read {
                Ok(Some(bytes)) if status.is_success() => {
                    match self.push(outgoing, &mut buffer, &bytes, version.as_ref()) {
                        Ok(true) => until = Instant::now() + idle_timeout,
                        Ok(false) => {}
                        Err(unusable) => {
                            target_response.fail(AttemptFailure::InvalidResponse);
                            return self.unusable(&unusable);
                        }
                    }
                }
                Ok(Some(_)) => {}
                Ok(None) => {
                    // Every item has output, so that a success without an event is not all of it.
                    let has_output = resumes || buffer.scanner().has_events();
                    let framing = target_response.framing;
                    if status.is_success()
                        && !(has_output && framing.is_complete(buffer.scanner(), resumes))
                    {
                        break Some(AttemptFailure::Truncated);
                    }
                    if !target_response.needs_settling() {
                        break None;
                    }
                    let brought_events = buffer.scanner().has_events();
                    let settling =
                        self.settle(outgoing, &mut target_response, brought_events, deadline);
                    match Box::pin(settling).await {
                        Settled::Complete => break None,
                        Settled::Interrupted => break Some(AttemptFailure::Unsettled),
                        Settled::Continued(bytes) => {
                            let last_event = self.progress.lock().last_event;
                            buffer = EventBuffer::continuing(last_event, Repeats::Refused);
                            start = Some(bytes);
                            until = Instant::now() + idle_timeout;
                        }
                    }
                }
                Err(failure) => break Some(failure),
            }
        };
        match failure {
            Some(failure) => {
                let events = buffer.scanner().events();
                self.broken(outgoing, target_response, failure, events)
                    .await
            }
            None => self.ended(outgoing, target_response),
        }
    }

    /// Returns the outcome of a run whose response broke off after so many events, or may have.
    async fn broken(
        &mut self,
        outgoing: &Arc<OutgoingRequest>,
        mut target_response: TargetResponse,
        failure: AttemptFailure,
        events: u64,
    ) -> RunOutcome {
        log::debug!(target: "jobs", "A run of item {} was interrupted: {failure}.", self.item.id);
        target_response.fail(failure);
        let claim = claim_of(target_response.status);
        let target = target_response.slot.target.clone();
        drop(target_response);
        let run_outcome = self.failed(outgoing, failure, &target, events).await;
        match (claim, run_outcome) {
            // The target may have meant it, and must not be asked without a limit.
            (Some(claim), RunOutcome::Interrupted(progress)) => {
                RunOutcome::doubtful(progress, claim)
            }
            (_, run_outcome) => run_outcome,
        }
    }

    /// Returns the outcome of a run whose response was read to its end.
    fn ended(&mut self, outgoing: &OutgoingRequest, target_response: TargetResponse) -> RunOutcome {
        let status = target_response.status;
        let claim = claim_of(status);
        let is_doubtful = claim.is_some() && !target_response.fields.is_signed;
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
            Some(claim) if is_doubtful => RunOutcome::doubtful(progress, claim),
            Some(claim) => RunOutcome::claimed(progress, claim),
            None if status.is_success() => RunOutcome::Completed(progress),
            None => RunOutcome::not_continued(progress),
        }
    }

    /// Adds the events that `bytes` complete to the text. Returns whether there are any.
    fn push(
        &self,
        outgoing: &OutgoingRequest,
        buffer: &mut EventBuffer,
        bytes: &[u8],
        version: Option<&Name>,
    ) -> Result<bool, Unusable> {
        let had_only_begun = buffer.scanner().events() <= MAX_FIRST_EVENTS;
        let pushed = buffer.push(bytes);
        if had_only_begun && buffer.scanner().events() > MAX_FIRST_EVENTS {
            quarantine::on_progress(&self.context, &outgoing.suspects);
        }
        let Some(complete) = pushed.map_err(Unusable::Events)? else {
            return Ok(false);
        };
        let mut progress = self.progress.lock();
        let held_bytes = progress.text.len();
        each(&complete).for_each(|event| append_event(&mut progress, event));
        self.count_text(progress.text.len() - held_bytes);
        if progress.last_event.is_some() {
            progress.version = version.cloned();
        }
        if progress.text.len() > MAX_TEXT_BYTES {
            return Err(Unusable::TooLong);
        }
        Ok(true)
    }

    /// Returns the outcome of a run whose events are not used.
    fn unusable(&mut self, unusable: &Unusable) -> RunOutcome {
        match unusable {
            Unusable::Events(error) => {
                log::debug!(target: "jobs", "A run of item {} was interrupted: {error}.", self.item.id);
                self.interrupted()
            }
            Unusable::TooLong => {
                log::info!(target: "jobs", request_id = self.item.id.as_str(); "The text of an item is too long to be listed.");
                RunOutcome::Discarded(self.take_progress())
            }
        }
    }

    /// Finds out whether the text is whole, whose response has ended with its connection.
    async fn settle(
        &mut self,
        outgoing: &OutgoingRequest,
        target_response: &mut TargetResponse,
        brought_events: bool,
        deadline: Instant,
    ) -> Settled {
        let last_event = {
            let mut progress = self.progress.lock();
            progress.end = progress.end.max(TextEnd::Possible);
            progress.last_event
        };
        // A run that resumed the text and brought nothing was such a question already.
        let asked = last_event.filter(|_| brought_events);
        let settling = target_response.settle(&self.context, outgoing, asked, deadline);
        match settling.await {
            Ending::Complete => {
                self.progress.lock().unsettled_runs = 0;
                return Settled::Complete;
            }
            Ending::Continued(bytes) => return Settled::Continued(bytes),
            Ending::Unsaid => self.progress.lock().end = TextEnd::Likely,
            // This run, which began after the last event, has brought nothing, but its target has not shown that it lives.
            Ending::Unknown if !brought_events => self.progress.lock().end = TextEnd::Likely,
            Ending::Broken | Ending::Unknown => {}
        }
        Settled::Interrupted
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
            AttemptFailure::InvalidResponse
            | AttemptFailure::Truncated
            | AttemptFailure::Unsettled
                if events <= MAX_FIRST_EVENTS =>
            {
                quarantine::on_early_end(&self.context, target, outgoing).await;
            }
            _ => {}
        }
        if failure.verdict() == Verdict::NotRun {
            return self.interrupted();
        }
        self.take_progress().unsettled()
    }

    fn take_progress(&mut self) -> Progress {
        let progress = std::mem::take(&mut *self.progress.lock());
        self.last_event = progress.last_event;
        progress
    }

    /// Returns whether the text of the item was dropped with this outcome, so that it must not be continued.
    pub fn has_dropped_text(&self, run_outcome: &RunOutcome) -> bool {
        match run_outcome {
            RunOutcome::Discarded(_) => true,
            RunOutcome::Doubtful(progress, _) => {
                self.last_event.is_some() && progress.last_event.is_none()
            }
            _ => false,
        }
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
