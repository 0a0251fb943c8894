//! The state of one online request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eel_fleet::{Arrival, Dispatcher, FIRST_OUTPUT_MS, Rejection, TargetKey, stable_hash};
use eel_platform::caller_fields;
use eel_quarantine::TrialEnd;
use eel_table::{Route, Tenant};
use eel_types::Name;
use http::{Uri, request::Parts};

use crate::{
    context::Context,
    http::is_revoked,
    origins,
    quarantine::{Suspects, Trial},
    quotas::QuotaPermit,
    slots::SlotGuard,
    target::OutgoingRequest,
};

/// How long before the caller's deadline the final response is sent.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);

/// One online request, from its arrival to its final response.
pub struct Request {
    pub context: Arc<Context>,
    pub route: Arc<Route>,
    pub service: Name,
    pub outgoing: Arc<OutgoingRequest>,
    /// The tenant whose key the caller sent; `None` if the request needs no key.
    pub tenant: Option<Arc<Tenant>>,
    /// The token of the tenant's quota; `None` if the tenant has no quota.
    pub permit: Option<QuotaPermit>,
    pub arrived: Instant,
    /// The time by which the final response must be sent.
    pub deadline: Instant,
    /// The last event that the caller already has, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// The id of the caller's attempt that brought the first event of that stream.
    pub resumes: Option<Name>,
    /// Whether the caller resumes a stream, if its route allows it.
    is_resumed: bool,
    /// The version of the targets that may get further attempts, once the caller has events of a stream that can be
    /// continued; empty if the target that began the stream announces none, so that nothing can continue it.
    pub version: Option<Name>,
    /// Whether the caller has got the start of a response, so that the request can be neither rejected nor refused.
    pub has_response: bool,
    /// The trial of what blocks the request, if it is one: it is sent to one target only.
    pub trial: Option<Trial>,
    excluded: Vec<TargetKey>,
    /// The total time spent waiting for slots.
    pub waited: Duration,
}

impl Request {
    /// Creates the state of a request; `None` if its route has no service.
    pub fn new(
        context: Arc<Context>,
        route: Arc<Route>,
        tenant: Option<Arc<Tenant>>,
        head: Parts,
        body: Bytes,
    ) -> Option<Self> {
        let fields = caller_fields(&head.headers);
        let request_id = fields.request_id.unwrap_or_else(|| "".into());
        // A resumed stream continues at the service that began it.
        let resumed = fields
            .resumes
            .as_ref()
            .filter(|_| route.kind.is_resumable());
        let service = route.service_for(resumed.unwrap_or(&request_id))?.clone();
        let tenant_name = tenant.as_ref().map(|it| it.name.clone());
        let suspects = Suspects::of_request(&request_id, tenant_name.as_ref(), &head, &body);
        let is_continuable = route.kind.is_resumable();
        let arrived = Instant::now();
        let allowed_ms = fields.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
        let allowed = Duration::from_millis(allowed_ms).saturating_sub(DEADLINE_MARGIN);
        Some(Self {
            context,
            route,
            service,
            outgoing: Arc::new(OutgoingRequest {
                method: head.method,
                uri: origin_form(head.uri),
                suspects,
                headers: head.headers,
                body,
                request_id: request_id.as_str().to_owned(),
                adds_id: false,
                is_continuable,
                tenant: tenant_name,
            }),
            tenant,
            permit: None,
            arrived,
            deadline: arrived + allowed,
            last_event_id: fields.last_event_id,
            is_resumed: fields.resumes_stream,
            resumes: fields.resumes,
            version: None,
            has_response: false,
            trial: None,
            excluded: Vec::new(),
            waited: Duration::ZERO,
        })
    }

    /// Acquires a slot at a target that is not excluded; waits at most until [`FIRST_OUTPUT_MS`] before the deadline. A
    /// request that has a response, or whose caller has events already, waits that long rather than being rejected, unless
    /// no target is left that can continue it. If `may_reuse`, it may be sent again to a target that had it before if no other one can continue it.
    pub async fn acquire_slot(&mut self, may_reuse: bool) -> Result<SlotGuard, Rejection> {
        let now = Instant::now();
        let now_ms = self.context.clock.now_ms();
        let left_ms = whole_ms(self.deadline.saturating_duration_since(now));
        let spent_ms = whole_ms(now.saturating_duration_since(self.arrived));
        let goal_left_ms = self
            .route
            .goal_ms
            .saturating_sub(spent_ms + FIRST_OUTPUT_MS);
        let arrival = Arrival {
            service: &self.service,
            tenant: self.tenant.as_ref().map(|it| it.name.clone()),
            tenant_priority: self.tenant.as_ref().map_or(0, |it| it.priority),
            priority: self.route.priority,
            start_by_ms: now_ms + goal_left_ms.min(left_ms),
            give_up_ms: now_ms + left_ms.saturating_sub(FIRST_OUTPUT_MS),
            accepts_late: self.has_response || self.resumes_stream(),
            excluded: self.excluded_now(may_reuse),
            version: self.version.clone().or_else(|| self.version_to_begin()),
            tie_breaker: stable_hash(&self.outgoing.request_id),
        };
        let acquired = self.context.slots.acquire(arrival).await;
        self.waited += now.elapsed();
        acquired
    }

    /// Returns whether the caller's key has been revoked since the request arrived.
    pub fn is_revoked(&self) -> bool {
        is_revoked(
            &self.context,
            self.tenant.as_deref(),
            &self.outgoing.headers,
        )
    }

    /// Returns the name of the caller's tenant; empty if there is none.
    pub fn tenant_name(&self) -> &str {
        self.tenant.as_ref().map_or("", |it| it.name.as_str())
    }

    /// Returns whether the caller resumes a stream.
    pub fn resumes_stream(&self) -> bool {
        self.route.kind.is_resumable() && self.is_resumed
    }

    /// Returns the only version at which the stream of a request may begin now, if it can be resumed.
    fn version_to_begin(&self) -> Option<Name> {
        let required = || origins::required_version(&self.context, &self.service);
        self.route.kind.is_resumable().then(required).flatten()
    }

    fn excluded_now(&self, may_reuse: bool) -> Vec<TargetKey> {
        let has_other = |version: &Name| {
            let excluded = &self.excluded;
            let lists = |it: &Dispatcher| {
                it.selector()
                    .lists_version(&self.service, version, excluded)
            };
            self.context.slots.read(lists)
        };
        match &self.version {
            Some(version) if may_reuse && !has_other(version) => Vec::new(),
            _ => self.excluded.clone(),
        }
    }

    /// Sets how the trial ends that this request may be, if neither a crash nor a response decides it.
    pub fn set_trial_end(&mut self, end: TrialEnd) {
        if let Some(trial) = &mut self.trial {
            trial.set_end(end);
        }
    }

    /// Records whether an attempt may have run. If none has, the quota's token is given back at the end.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        if let Some(permit) = &mut self.permit {
            permit.set_may_have_run(may_have_run);
        }
    }

    /// Excludes a target from further attempts.
    pub fn exclude(&mut self, key: TargetKey) {
        self.excluded.push(key);
    }

    /// Allows further attempts at a target that was excluded.
    pub fn readmit(&mut self, key: TargetKey) {
        self.excluded.retain(|it| *it != key);
    }
}

fn origin_form(uri: Uri) -> Uri {
    let path = uri.path_and_query().map(http::uri::PathAndQuery::as_str);
    path.and_then(|path| path.parse().ok()).unwrap_or(uri)
}

/// Returns a duration in whole milliseconds, rounded down.
pub fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
