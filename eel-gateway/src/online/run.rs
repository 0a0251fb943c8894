//! Runs the attempts of one request until a target responds or the request is refused.

use std::time::Instant;

use eel_fleet::Rejection;
use eel_verdict::Refusal;

use super::{
    plan::Attempts,
    request::{Request, whole_ms},
};
use crate::target::{Answer, exchange};

/// Sends the request to one target after another until one responds.
///
/// # Errors
///
/// The refusal to send to the caller.
pub async fn ask(
    request: &mut Request,
    attempts: &mut Attempts,
    last_event_id: Option<u64>,
) -> Result<Answer, Refusal> {
    loop {
        let now = Instant::now();
        if now >= request.deadline {
            return Err(attempts.time_out());
        }
        let held = match request.place().await {
            Ok(held) => held,
            Err(rejection) => {
                log_rejection(request, &rejection);
                return Err(attempts.reject(rejection.retry_after_ms));
            }
        };
        let (key, target) = (held.key, held.target.id.clone());
        let patience = attempts.patience(&request.route);
        let now = Instant::now();
        let until = patience.map_or(request.deadline, |patience| {
            (now + patience).min(request.deadline)
        });
        let pool = &request.context.pool;
        let answered = exchange(
            pool,
            held,
            &request.outgoing,
            last_event_id,
            until,
            request.deadline,
        )
        .await;
        match answered {
            Ok(answer) => return Ok(answer),
            Err(failure) => {
                attempts.on_failure(failure);
                log::info!(
                    target: "online", request_id = request.outgoing.request_id.as_str(), target_id = target.as_str(),
                    attempt_ms = whole_ms(now.elapsed()),
                    verdict = failure.verdict().as_str(), again = attempts.may_go_on(&request.route);
                    "An attempt brought no answer: {failure}."
                );
                request.exclude(key);
                if !attempts.may_go_on(&request.route) {
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
