//! Implements the [`Host`] interface that batch job processing uses to reach the entry node.

use std::sync::Arc;

use bytes::Bytes;
use eel_batch::Response;
use eel_jobs::{Host, ItemRequest, ServicePolicy};
use eel_record::{Protocol, ServiceSpec};
use eel_telemetry::trace;
use eel_types::{Class, Name, RequestId};
use eel_verdict::{Reason, Refusal};
use eel_wire::message::Header;
use http::HeaderMap;

use crate::{
    node::Context,
    serve::{Completion, Request, check_access, run_once},
};

/// Gives batch job processing access to the callers, services and targets of the node.
pub(crate) struct BatchHost(Arc<Context>);

impl BatchHost {
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self(context)
    }

    /// Builds the request of an item, with the pool and timeout of the service's record in force.
    fn request(&self, item: &ItemRequest) -> Result<Request, Refusal> {
        let live = self.0.config.live();
        let service = live.snapshot.services.get(&item.service);
        let service = service.ok_or(Refusal::not_run(Reason::UnknownService))?;
        let timeout_at_ms = self.now_ms() + service.timeout_ms;
        Ok(Request {
            id: RequestId::random(&mut rand::rng()),
            caller: item.caller.clone(),
            service: item.service.clone(),
            pool: service.pool.clone(),
            class: Class::Batch,
            deadline_ms: timeout_at_ms.min(item.deadline_ms),
            repeatable: item.repeatable,
            method: item.method.as_str().into(),
            path: item.url.clone(),
            headers: headers(item),
            body: item.body.clone(),
            prefix_hash: prefix_hash(service, &item.body),
        })
    }
}

impl Host for BatchHost {
    fn authenticate(&self, headers: &HeaderMap) -> Result<Name, Refusal> {
        self.0.config.live().callers.authenticate(headers)
    }

    fn authorize(&self, caller: &Name, service: &Name) -> Result<ServicePolicy, Refusal> {
        let live = self.0.config.live();
        let spec = live.snapshot.services.get(service);
        let spec = spec.ok_or(Refusal::not_run(Reason::UnknownService))?;
        check_access(&live.snapshot, caller, service)?;
        let repeatable = spec.repeatable && spec.routes.iter().all(|route| route.repeatable);
        Ok(ServicePolicy { repeatable })
    }

    fn credits(&self, service: &Name) -> u32 {
        let live = self.0.config.live();
        let service = live.snapshot.services.get(service);
        service.map_or(0, |service| self.0.routing.batch_credits(&service.pool))
    }

    async fn send(&self, item: ItemRequest) -> Result<Response, Refusal> {
        let request = self.request(&item)?;
        let span = trace::start_span("item", trace::parent_context(None, self.0.is_sampled()));
        tokio::select! {
            response = run_once(&self.0, &request, item.attempt, &span) => {
                let (status, body) = response?;
                Ok(Response::from_bytes(status, &body))
            }
            () = item.cancel.cancelled() => Err(Refusal::may_have_run(Reason::Cancelled)),
        }
    }

    fn now_ms(&self) -> u64 {
        self.0.clock.now_ms()
    }
}

fn headers(item: &ItemRequest) -> Vec<Header> {
    let header = |name: &str, value: &str| Header {
        name: name.into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    vec![
        header("content-type", "application/json"),
        header("idempotency-key", &item.idempotency_key),
    ]
}

fn prefix_hash(service: &ServiceSpec, body: &[u8]) -> Option<u64> {
    match service.protocol {
        Protocol::Openai => Completion::parse(body).ok()?.prefix_hash,
        Protocol::Plain => None,
    }
}
