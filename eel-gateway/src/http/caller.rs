//! Identifies the tenant of a caller by the key that its request carries.

use std::sync::Arc;

use eel_platform::api_key;
use eel_table::{Route, RouteTable, Tenant};
use eel_verdict::{Reason, Refusal};
use http::HeaderMap;

use super::handler::NO_ROUTES_RETRY_MS;
use crate::context::Context;

/// Returns the tenant of a request of `route`; `None` if the request needs no key.
///
/// # Errors
///
/// The refusal of a request without a valid key.
pub(crate) fn identify(
    context: &Context,
    table: &RouteTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    if route.no_auth {
        return Ok(None);
    }
    identify_any(context, table, headers)
}

/// Returns the tenant of a call that belongs to no route; `None` if there are no tenants.
///
/// # Errors
///
/// The refusal of a call without a valid key.
pub(crate) fn identify_any(
    context: &Context,
    table: &RouteTable,
    headers: &HeaderMap,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    let Some(tenants) = table.tenants() else {
        return Ok(None);
    };
    let Some(key) = api_key(headers) else {
        return Err(Refusal::not_run(Reason::Unauthorized));
    };
    match tenants.find(key) {
        Some(tenant) => Ok(Some(tenant.clone())),
        // A newer version, which this node cannot read now, may have the key.
        None if !context.is_store_fresh() => {
            Err(Refusal::not_run(Reason::StoreUnavailable).retry_after(NO_ROUTES_RETRY_MS))
        }
        None => Err(Refusal::not_run(Reason::Unauthorized)),
    }
}
