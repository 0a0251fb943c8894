//! Identifies the tenant of a caller by the key that its request carries, and tells when the key is revoked.

use std::{future::pending, sync::Arc};

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

/// Returns whether the key of a request of `tenant` has been revoked since it was identified.
pub(crate) fn is_revoked(context: &Context, tenant: Option<&Tenant>, headers: &HeaderMap) -> bool {
    let (Some(tenant), Some(table)) = (tenant, context.table.load_full()) else {
        return false;
    };
    table.tenants().is_some_and(|tenants| {
        let found = api_key(headers).and_then(|key| tenants.find(key));
        found.is_none_or(|it| it.name != tenant.name)
    })
}

/// Waits until the key of a request of `tenant` is revoked; does not return if the request needed no key.
pub(crate) async fn until_revoked(context: &Context, tenant: Option<&Tenant>, headers: &HeaderMap) {
    let mut changes = context.routes_changes.subscribe();
    while !is_revoked(context, tenant, headers) {
        // `changed` fails only if the sender is dropped, which lives as long as the context.
        if tenant.is_none() || changes.changed().await.is_err() {
            pending::<()>().await;
        }
    }
}
