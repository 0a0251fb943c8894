//! The etcd client.

use std::sync::Arc;

use error_stack::Report;

use super::{call::HttpTransport, message, request, response, watch::WatchStream};
use crate::{
    CallKind, KeyValue, Lease, LeaseId, RangeOutcome, RangeRequest, RejectReason, StoreError,
    StoreResult, Txn, TxnOutcome, WatchOptions,
};

const MS_PER_S: u64 = 1000;

/// Endpoints and timeouts of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EtcdOptions {
    /// The base URLs of the service, such as `http://10.0.0.1:2379`; tried in order.
    pub endpoints: Vec<String>,
    /// The timeout of a call to one endpoint.
    pub call_timeout_ms: u64,
    /// The time without traffic after which a watch is reopened on a new connection.
    pub watch_idle_timeout_ms: u64,
}

impl EtcdOptions {
    /// Creates options for one endpoint with the default timeouts.
    #[must_use]
    pub fn new(endpoint: impl Into<String>) -> Self {
        Self {
            endpoints: vec![endpoint.into()],
            call_timeout_ms: 2000,
            watch_idle_timeout_ms: 3000,
        }
    }
}

/// A client of a key-value service that implements etcd v3's JSON mapping over HTTP.
#[derive(Clone, Debug)]
pub struct EtcdJson {
    transport: Arc<HttpTransport>,
    watch_idle_timeout_ms: u64,
}

impl EtcdJson {
    /// Creates a client; it connects on the first call.
    ///
    /// # Errors
    /// `Rejected(Invalid)` without an endpoint; `NotApplied` if the HTTP client cannot be built.
    pub fn new(options: &EtcdOptions) -> StoreResult<Self> {
        if options.endpoints.is_empty() {
            let report = Report::new(StoreError::Rejected(RejectReason::Invalid));
            return Err(report.attach("the options contain no endpoint"));
        }
        Ok(Self {
            transport: Arc::new(HttpTransport::new(options)?),
            watch_idle_timeout_ms: options.watch_idle_timeout_ms,
        })
    }
}

impl KeyValue for EtcdJson {
    type Watch = WatchStream;

    async fn range(&self, request: &RangeRequest) -> StoreResult<RangeOutcome> {
        let message = request::range(request);
        let response = self
            .transport
            .call("/v3/kv/range", &message, CallKind::Read)
            .await?;
        response::range(&response)
            .map_err(|e| Report::new(e).change_context(StoreError::Unavailable))
    }

    async fn commit(&self, txn: &Txn) -> StoreResult<TxnOutcome> {
        let (kind, malformed) = if txn.is_read_only() {
            (CallKind::Read, StoreError::Unavailable)
        } else {
            (CallKind::Write, StoreError::MayHaveApplied)
        };
        let message = request::txn(txn);
        let response = self.transport.call("/v3/kv/txn", &message, kind).await?;
        response::txn(&response).map_err(|e| Report::new(e).change_context(malformed))
    }

    async fn grant_lease(&self, ttl_ms: u64) -> StoreResult<Lease> {
        let message = message::LeaseGrant {
            ttl_s: ttl_ms.div_ceil(MS_PER_S).max(1),
        };
        let response = self
            .transport
            .call("/v3/lease/grant", &message, CallKind::Write)
            .await?;
        response::lease(&response).ok_or_else(|| Report::new(StoreError::MayHaveApplied))
    }

    async fn keep_alive(&self, lease: LeaseId) -> StoreResult<Lease> {
        let message = message::LeaseRef { id: lease.0 };
        let response: message::StreamMessage<message::LeaseResponse> = self
            .transport
            .call("/v3/lease/keepalive", &message, CallKind::Write)
            .await?;
        let response = response
            .result
            .ok_or_else(|| Report::new(StoreError::MayHaveApplied))?;
        response::lease(&response)
            .ok_or_else(|| Report::new(StoreError::Rejected(RejectReason::LeaseNotFound)))
    }

    async fn revoke(&self, lease: LeaseId) -> StoreResult<()> {
        let message = message::LeaseRef { id: lease.0 };
        let _: message::IgnoredResponse = self
            .transport
            .call("/v3/lease/revoke", &message, CallKind::Write)
            .await?;
        Ok(())
    }

    fn watch(&self, options: WatchOptions) -> WatchStream {
        WatchStream::start(
            Arc::clone(&self.transport),
            options,
            self.watch_idle_timeout_ms,
        )
    }
}
