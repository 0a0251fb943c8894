//! Authenticates a caller's request, resolves its service and reads its body.

use std::time::Duration;

use bytes::Bytes;
use eel_record::{Protocol, ServiceSpec, Snapshot};
use eel_types::{Name, RequestId};
use eel_verdict::{Reason, Refusal};
use eel_wire::message::Header;
use http::{HeaderMap, HeaderName, Method};
use salvo::http::ParseError;

use super::{completion::Completion, request::Request};
use crate::node::Context;

/// The header that names the service if neither the path nor the model does.
pub(crate) const SERVICE: &str = "x-eel-service";
/// The header that carries the time limit of the request, in milliseconds. It counts from when the body has been read.
pub(crate) const DEADLINE_MS: &str = "x-eel-deadline-ms";
/// The header that is `false` if the request must not run more than once. It can only restrict what the record allows.
pub(crate) const REPEATABLE: &str = "x-eel-repeatable";

const SERVICES_PREFIX: &str = "/services/";
/// The timeout for reading the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// The limit on the body for all services; a service's record can only lower it.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Authenticates and authorizes the caller of `req`, reads the body and returns the request to send to a target.
///
/// # Errors
///
/// Refuses the request as not run if its key, service, body or deadline is not acceptable.
pub(crate) async fn accept(
    context: &Context,
    id: RequestId,
    req: &mut salvo::Request,
) -> Result<Request, Refusal> {
    let live = context.config.live();
    let caller = live.callers.authenticate(req.headers())?;
    let address = Address::of(req)?;
    let limit_bytes = address.body_limit(&live.snapshot);
    let body = read_body(req, limit_bytes).await?;
    let completion = match address.protocol {
        Protocol::Openai => {
            let parsed = Completion::parse(&body);
            Some(parsed.map_err(|_| Refusal::not_run(Reason::BadRequest))?)
        }
        Protocol::Plain => None,
    };
    let model = completion.as_ref().and_then(|body| body.model.as_deref());
    let found = find_service(&live.snapshot, &address, model);
    let (name, service) = found.ok_or(Refusal::not_run(Reason::UnknownService))?;
    check_access(&live.snapshot, &caller, name)?;
    if body.len() as u64 > service.max_body_bytes {
        return Err(Refusal::not_run(Reason::TooLarge));
    }
    let time_left_ms = time_left_ms(req.headers(), service)?;
    Ok(Request {
        id,
        caller,
        service: name.clone(),
        pool: service.pool.clone(),
        class: service.class,
        deadline_ms: context.clock.now_ms() + time_left_ms,
        repeatable: is_repeatable(req.headers(), req.method(), &address.path, service),
        method: req.method().as_str().into(),
        path: address.path.as_str().into(),
        headers: forwarded_headers(req.headers()),
        body,
        prefix_hash: completion.and_then(|body| body.prefix_hash),
    })
}

/// The service and path that a request is addressed to.
struct Address {
    protocol: Protocol,
    service: Option<Name>,
    path: String,
}

impl Address {
    /// Parses `/services/{name}/{path}`, or one of the completion paths, beside which [`SERVICE`] may name the service.
    ///
    /// # Errors
    ///
    /// [`Reason::UnknownService`] for any other path.
    fn of(req: &salvo::Request) -> Result<Self, Refusal> {
        let uri = req.uri();
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        if let Some(rest) = path.strip_prefix(SERVICES_PREFIX) {
            let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
            return Ok(Self {
                protocol: Protocol::Plain,
                service: Some(service.into()),
                path: format!("/{path}"),
            });
        }
        if !matches!(uri.path(), "/v1/completions" | "/v1/chat/completions") {
            return Err(Refusal::not_run(Reason::UnknownService));
        }
        Ok(Self {
            protocol: Protocol::Openai,
            service: req.header::<String>(SERVICE).map(Name::from),
            path: path.to_owned(),
        })
    }

    /// Returns the limit on the body. The service may be known only once the body has been parsed for its model; until
    /// then the general limit applies.
    fn body_limit(&self, snapshot: &Snapshot) -> u64 {
        let named = self.service.as_ref();
        let service = named.and_then(|name| snapshot.services.get(name));
        service
            .map_or(MAX_BODY_BYTES, |service| service.max_body_bytes)
            .min(MAX_BODY_BYTES)
    }
}

async fn read_body(req: &mut salvo::Request, limit_bytes: u64) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    let body = tokio::time::timeout(BODY_TIMEOUT, req.payload_with_max_size(limit)).await;
    match body {
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(ParseError::PayloadTooLarge)) => Err(Refusal::not_run(Reason::TooLarge)),
        Ok(Err(_)) => Err(Refusal::not_run(Reason::BadRequest)),
        Err(_) => Err(Refusal::not_run(Reason::RequestTimeout)),
    }
}

/// Finds the service by its name, or by the model that the body names.
fn find_service<'a>(
    snapshot: &'a Snapshot,
    address: &Address,
    model: Option<&str>,
) -> Option<(&'a Name, &'a ServiceSpec)> {
    let named = address.service.as_deref().or(model);
    let by_name = named.and_then(|name| snapshot.services.get_key_value(name));
    let by_model = || {
        let runs = |spec: &ServiceSpec| model.is_some() && spec.model.as_deref() == model;
        snapshot.services.iter().find(|(_, spec)| runs(spec))
    };
    let found = match address.service {
        Some(_) => by_name,
        None => by_name.or_else(by_model),
    };
    found.filter(|(_, spec)| spec.protocol == address.protocol)
}

/// Checks that the record of `caller` lists `service` or `*`.
///
/// # Errors
///
/// [`Reason::Forbidden`], as not run.
pub(crate) fn check_access(
    snapshot: &Snapshot,
    caller: &Name,
    service: &Name,
) -> Result<(), Refusal> {
    let allowed = snapshot.callers.get(caller).is_some_and(|caller| {
        let mut services = caller.services.iter();
        services.any(|name| name == service || name.as_str() == "*")
    });
    if allowed {
        Ok(())
    } else {
        Err(Refusal::not_run(Reason::Forbidden))
    }
}

fn time_left_ms(headers: &HeaderMap, service: &ServiceSpec) -> Result<u64, Refusal> {
    let Some(value) = headers.get(DEADLINE_MS) else {
        return Ok(service.timeout_ms);
    };
    let requested_ms = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    let requested_ms = requested_ms.ok_or(Refusal::not_run(Reason::BadRequest))?;
    Ok(requested_ms.min(service.timeout_ms))
}

fn is_repeatable(headers: &HeaderMap, method: &Method, path: &str, service: &ServiceSpec) -> bool {
    let forbidden = headers
        .get(REPEATABLE)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"false"));
    let route = service.routes.iter().find(|route| {
        let method_fits = route.method.as_str() == "*" || route.method.as_str() == method.as_str();
        method_fits && path.starts_with(route.path_prefix.as_str())
    });
    !forbidden && route.map_or(service.repeatable, |route| route.repeatable)
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| Header {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Returns `false` for the headers of the connection (RFC 9110, section 7.6.1), the caller's key, the trace context and
/// this system's own headers.
fn is_forwarded(name: &HeaderName) -> bool {
    !matches!(
        name.as_str(),
        "authorization"
            | "connection"
            | "content-length"
            | "expect"
            | "host"
            | "keep-alive"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "traceparent"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | SERVICE
            | DEADLINE_MS
            | REPEATABLE
    )
}
