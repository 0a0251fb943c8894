//! One online request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eel_fleet::{Arrival, Rejection, TargetKey, stable_hash};
use eel_platform::caller_fields;
use eel_table::Route;
use eel_types::Name;
use http::{Uri, request::Parts};

use crate::{context::Context, slots::Held, target::Outgoing};

/// The time that a target takes for a first answer once it has a request, in ms: reading a prompt and one step.
const FIRST_ANSWER_MS: u64 = 40;
/// How much sooner than the caller's deadline the final answer is given.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);

/// One online request.
pub struct Request {
    pub context: Arc<Context>,
    pub route: Arc<Route>,
    pub service: Name,
    pub outgoing: Outgoing,
    pub arrived: Instant,
    /// When the final answer is due.
    pub deadline: Instant,
    /// The last event that the caller had before it came.
    pub last_event_id: Option<u64>,
    excluded: Vec<TargetKey>,
    /// How long it has waited for slots.
    pub waited: Duration,
}

impl Request {
    /// Takes in a request; `None` if its route leads nowhere.
    pub fn new(context: Arc<Context>, route: Arc<Route>, head: Parts, body: Bytes) -> Option<Self> {
        let fields = caller_fields(&head.headers);
        let request_id = fields.request_id.unwrap_or_else(|| "".into());
        let service = route.service_for(&request_id)?.clone();
        let arrived = Instant::now();
        let allowed_ms = fields.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let allowed = Duration::from_millis(allowed_ms).saturating_sub(DEADLINE_MARGIN);
        Some(Self {
            context,
            route,
            service,
            outgoing: Outgoing {
                method: head.method,
                uri: origin_form(head.uri),
                headers: head.headers,
                body,
                request_id: request_id.as_str().to_owned(),
                adds_id: false,
            },
            arrived,
            deadline: arrived + allowed,
            last_event_id: fields.last_event_id,
            excluded: Vec::new(),
            waited: Duration::ZERO,
        })
    }

    /// Waits for a slot.
    pub async fn place(&mut self) -> Result<Held, Rejection> {
        let now = Instant::now();
        let now_ms = self.context.clock.now_ms();
        let left_ms = whole_ms(self.deadline.saturating_duration_since(now));
        let spent_ms = whole_ms(now.saturating_duration_since(self.arrived));
        let goal_left_ms = self
            .route
            .goal_ms
            .saturating_sub(spent_ms + FIRST_ANSWER_MS);
        let arrival = Arrival {
            service: &self.service,
            priority: self.route.priority,
            start_by_ms: now_ms + goal_left_ms.min(left_ms),
            give_up_ms: now_ms + left_ms.saturating_sub(FIRST_ANSWER_MS),
            excluded: self.excluded.clone(),
            tie_breaker: stable_hash(&self.outgoing.request_id),
        };
        let placed = self.context.slots.place(arrival).await;
        self.waited += now.elapsed();
        placed
    }

    /// Avoids a target from now on.
    pub fn exclude(&mut self, key: TargetKey) {
        self.excluded.push(key);
    }
}

fn origin_form(uri: Uri) -> Uri {
    let path = uri.path_and_query().map(http::uri::PathAndQuery::as_str);
    path.and_then(|path| path.parse().ok()).unwrap_or(uri)
}

/// Returns a duration in whole milliseconds.
pub fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
