//! Routes a caller's request to the job calls, to batch submission or to online serving.

use std::sync::Arc;

use eel_platform::{JobCall, decode_job_call, hide_api_keys};
use eel_table::{Route, RouteKind, RouteTable, Tenant};
use eel_verdict::{Reason, Refusal};
use http::{HeaderMap, Method, Request, Response, Uri, Version, header};
use hyper::body::Incoming;

use super::{
    Body,
    caller::{identify, identify_any, is_revoked, until_revoked},
    received::receive_body,
    refuse,
};
use crate::{batch, context::Context, online, quotas};

/// When callers should retry at a node that has not read the routes yet, in ms: its first call to the store reads them.
pub(super) const NO_ROUTES_RETRY_MS: u64 = 500;

/// Handles one request of a caller.
pub async fn handle(context: Arc<Context>, mut request: Request<Incoming>) -> Response<Body> {
    hide_api_keys(request.headers_mut());
    if let Some(call) = decode_job_call(request.method(), request.uri()) {
        return match identify_job_caller(&context, request.headers()) {
            Ok(tenant) => handle_job_call(&context, call, tenant, request.headers()).await,
            Err(refusal) => refuse(&refusal),
        };
    }
    if request.headers().get_all(header::HOST).iter().count() > 1 {
        return refuse(&Refusal::not_run(Reason::BadRequest));
    }
    let Some(table) = context.table.load_full() else {
        return refuse(&Refusal::not_run(Reason::StoreUnavailable).retry_after(NO_ROUTES_RETRY_MS));
    };
    let Some(route) = find_route(&table, request.uri(), request.headers()) else {
        return refuse(&no_route(&context));
    };
    if request.version() < Version::HTTP_11 && matches!(route.kind, RouteKind::Stream { .. }) {
        // In HTTP/1.0 a truncated stream looks complete.
        return refuse(&Refusal::not_run(Reason::BadRequest));
    }
    let tenant = match identify(&context, &table, &route, request.headers()) {
        Ok(tenant) => tenant,
        Err(refusal) => return on_unidentified(&context, &route, &refusal),
    };
    let is_submission =
        matches!(route.kind, RouteKind::Batch { .. }) && request.method() == Method::POST;
    // Targets run the items of a job, which quotas do not limit, but not its submission.
    let limited = tenant.as_ref().filter(|_| !is_submission);
    let permit = match quotas::admit(&context, limited) {
        Ok(permit) => permit,
        Err(refusal) => {
            context.metrics.count_request(refusal.reason.as_str());
            return refuse(&refusal);
        }
    };
    let (head, body) = request.into_parts();
    let limit = table.limits.body_bytes;
    let body = match receive_body(&context, &head.extensions, body, limit).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    if is_revoked(&context, tenant.as_deref(), &head.headers) {
        let refusal = Refusal::not_run(Reason::Unauthorized);
        return on_unidentified(&context, &route, &refusal);
    }
    match route.kind {
        RouteKind::Batch { due_ms, give_up_ms } if head.method == Method::POST => {
            let times = batch::JobTimes { due_ms, give_up_ms };
            batch::submit(&context, &route, times, tenant, &head.headers, &body).await
        }
        _ => online::serve(context, route, tenant, permit, head, body).await,
    }
}

/// Returns the tenant that calls about a job; `None` if there are no tenants.
fn identify_job_caller(
    context: &Context,
    headers: &HeaderMap,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    let no_routes = || {
        let refusal = Refusal::not_run(Reason::StoreUnavailable);
        refusal.retry_after(NO_ROUTES_RETRY_MS)
    };
    let table = context.table.load_full().ok_or_else(no_routes)?;
    identify_any(context, &table, headers)
}

/// Refuses a request without a valid key.
fn on_unidentified(context: &Context, route: &Route, refusal: &Refusal) -> Response<Body> {
    context.metrics.count_request(refusal.reason.as_str());
    log::debug!(
        target: "http", route = route.name.as_str(), reason = refusal.reason.as_str();
        "A request has no valid key."
    );
    refuse(refusal)
}

async fn handle_job_call(
    context: &Arc<Context>,
    call: JobCall,
    tenant: Option<Arc<Tenant>>,
    headers: &HeaderMap,
) -> Response<Body> {
    let revoked = until_revoked(context, tenant.as_deref(), headers);
    let tenant = tenant.as_ref().map(|it| &it.name);
    match call {
        JobCall::Results { job, from } => {
            let wait_ms = eel_platform::results_wait_ms(headers);
            tokio::select! {
                biased;
                () = revoked => refuse(&Refusal::not_run(Reason::Unauthorized)),
                results = batch::results(context, &job, tenant, from, wait_ms) => results,
            }
        }
        JobCall::ItemBody { job, item } => batch::item_body(context, &job, tenant, &item).await,
        JobCall::End { job } => batch::end(context, &job, tenant).await,
    }
}

fn find_route(table: &RouteTable, uri: &Uri, headers: &HeaderMap) -> Option<Arc<Route>> {
    let host = headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.or_else(|| uri.host())?;
    table.find(host, uri.path()).cloned()
}

/// Refuses a request without a route. A node whose routes may be stale cannot tell that a route does not exist.
fn no_route(context: &Context) -> Refusal {
    if context.is_store_fresh() {
        Refusal::not_run(Reason::UnknownService)
    } else {
        Refusal::not_run(Reason::StoreUnavailable).retry_after(NO_ROUTES_RETRY_MS)
    }
}
