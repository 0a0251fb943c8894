//! Runs the attempts of one request until a target responds or the request is refused.

use std::time::Instant;

use eel_fleet::Rejection;
use eel_verdict::Refusal;

use super::{
    attempts::Attempts,
    request::{Request, whole_ms},
};
use crate::target::{TargetResponse, exchange};

/// Sends the request to one target after another until one responds.
///
/// # Errors
///
/// The refusal to send to the caller.
pub async fn run_attempts(
    request: &mut Request,
    attempts: &mut Attempts,
    last_event_id: Option<u64>,
) -> Result<TargetResponse, Refusal> {
    loop {
        let now = Instant::now();
        if now >= request.deadline {
            return Err(attempts.time_out());
        }
        let slot = match request.acquire_slot().await {
            Ok(slot) => slot,
            Err(rejection) => {
                log_rejection(request, &rejection);
                return Err(attempts.reject(rejection.retry_after_ms));
            }
        };
        let (key, target) = (slot.key, slot.target.id.clone());
        let attempt_timeout = attempts.attempt_timeout(&request.route);
        let now = Instant::now();
        let until = attempt_timeout.map_or(request.deadline, |attempt_timeout| {
            (now + attempt_timeout).min(request.deadline)
        });
        let pool = &request.context.pool;
        let result = exchange(
            pool,
            slot,
            &request.outgoing,
            last_event_id,
            until,
            request.deadline,
        )
        .await;
        match result {
            Ok(target_response) => return Ok(target_response),
            Err(failure) => {
                attempts.on_failure(failure);
                log::info!(
                    target: "online", request_id = request.outgoing.request_id.as_str(), target_id = target.as_str(),
                    attempt_ms = whole_ms(now.elapsed()),
                    verdict = failure.verdict().as_str(), again = attempts.may_retry(&request.route);
                    "An attempt brought no answer: {failure}."
                );
                request.exclude(key);
                if !attempts.may_retry(&request.route) {
                    return Err(attempts.give_up());
                }
            }
        }
    }
}

fn log_rejection(request: &Request, rejection: &Rejection) {
    log::info!(
        target: "online", request_id = request.outgoing.request_id.as_str(), service = request.service.as_str(),
        expected_wait_ms = rejection.expected_wait_ms, ahead = rejection.ahead, slots = rejection.slots,
        retry_after_ms = rejection.retry_after_ms;
        "A request found no slot in time."
    );
}
