//! The HTTP interface of the key-value service.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    message::{
        Compaction, DeleteRange, ErrorResponse, LeaseRequest, Put, Range, RequestOp, Streamed, Txn,
        Watch,
    },
    shared::Shared,
    txn::Refusal,
};

const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
const GRPC_UNAVAILABLE: u32 = 14;

/// Handles the requests of all paths.
pub struct Api {
    pub shared: Arc<Shared>,
}

/// The kind of a call, for the counts and for faults that exempt reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    KeepAlive,
}

struct CallResult {
    kind: CallKind,
    body: Result<Vec<u8>, Refusal>,
}

#[async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let path = req.uri().path().to_owned();
        let Ok(body) = req.payload_with_max_size(MAX_BODY_BYTES).await.cloned() else {
            send_refusal(res, Refusal::TooLarge);
            return;
        };
        let bytes_in = u64::try_from(body.len()).unwrap_or(0);
        self.shared.count(|c| c.bytes_in += bytes_in);
        let faults = self.shared.faults();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.unavailable {
            send_unavailable(res);
            return;
        }
        if path == "/v3/watch" {
            self.watch(&body, res);
            return;
        }
        let outcome = self.dispatch(&path, &body);
        self.count(outcome.kind);
        tokio::time::sleep(Duration::from_millis(faults.response_delay_ms)).await;
        if outcome.kind != CallKind::Read && self.shared.take_lost_response() {
            truncate(res);
            return;
        }
        self.send(outcome.body, res);
    }
}

impl Api {
    fn dispatch(&self, path: &str, body: &Bytes) -> CallResult {
        let shared = &self.shared;
        let (kind, body) = match path {
            "/v3/kv/range" => (
                CallKind::Read,
                decode_and_call(body, |range: Range| shared.range(&range)),
            ),
            "/v3/kv/txn" => return self.txn(body),
            "/v3/kv/put" => (
                CallKind::Write,
                decode_and_call(body, |put: Put| {
                    shared.commit(&single_op_txn(RequestOp::Put(put)))
                }),
            ),
            "/v3/kv/deleterange" => (
                CallKind::Write,
                decode_and_call(body, |delete: DeleteRange| {
                    shared.commit(&single_op_txn(RequestOp::Delete(delete)))
                }),
            ),
            "/v3/kv/compaction" => (
                CallKind::Write,
                decode_and_call(body, |c: Compaction| shared.compact(c.revision.unsigned())),
            ),
            "/v3/lease/grant" => (
                CallKind::Write,
                decode_and_call(body, |lease: LeaseRequest| {
                    Ok(shared.grant(lease.id.0, lease.ttl_s.unsigned()))
                }),
            ),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => (
                CallKind::Write,
                decode_and_call(body, |lease: LeaseRequest| shared.revoke(lease.id.0)),
            ),
            "/v3/lease/keepalive" => (
                CallKind::KeepAlive,
                decode_and_call(body, |lease: LeaseRequest| {
                    let result = shared.extend(lease.id.0);
                    Ok(Streamed { result })
                }),
            ),
            "/v3/lease/timetolive" | "/v3/kv/lease/timetolive" => (
                CallKind::Read,
                decode_and_call(body, |lease: LeaseRequest| {
                    Ok(shared.time_to_live(lease.id.0))
                }),
            ),
            _ => (CallKind::Read, Err(Refusal::Invalid)),
        };
        CallResult { kind, body }
    }

    fn txn(&self, body: &Bytes) -> CallResult {
        let Ok(txn) = serde_json::from_slice::<Txn>(body) else {
            return CallResult {
                kind: CallKind::Read,
                body: Err(Refusal::Invalid),
            };
        };
        let mut ops = txn.success.iter().chain(&txn.failure);
        let kind = if ops.all(|op| matches!(op, RequestOp::Range(_))) {
            CallKind::Read
        } else {
            CallKind::Write
        };
        let body = self.shared.commit(&txn).map(|response| encode(&response));
        CallResult { kind, body }
    }

    fn watch(&self, body: &Bytes, res: &mut Response) {
        match serde_json::from_slice::<Watch>(body) {
            Ok(watch) => res.stream(self.shared.open_watch(&watch.create_request)),
            Err(_) => send_refusal(res, Refusal::Invalid),
        }
    }

    fn count(&self, kind: CallKind) {
        self.shared.count(|counts| match kind {
            CallKind::Read => counts.reads += 1,
            CallKind::Write => counts.writes += 1,
            CallKind::KeepAlive => counts.keep_alives += 1,
        });
    }

    fn send(&self, body: Result<Vec<u8>, Refusal>, res: &mut Response) {
        match body {
            Ok(body) => {
                let bytes_out = u64::try_from(body.len()).unwrap_or(0);
                self.shared.count(|c| c.bytes_out += bytes_out);
                let _ = res.write_body(body);
            }
            Err(refusal) => send_refusal(res, refusal),
        }
    }
}

fn decode_and_call<Q: DeserializeOwned, A: Serialize>(
    body: &Bytes,
    call: impl FnOnce(Q) -> Result<A, Refusal>,
) -> Result<Vec<u8>, Refusal> {
    let request = serde_json::from_slice(body).map_err(|_| Refusal::Invalid)?;
    call(request).map(|response| encode(&response))
}

fn encode(response: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(response).unwrap_or_default()
}

fn single_op_txn(op: RequestOp) -> Txn {
    Txn {
        success: vec![op],
        ..Txn::default()
    }
}

/// Closes the connection in the middle of the response.
fn truncate(res: &mut Response) {
    let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    res.stream(stream::iter([Err::<Bytes, _>(reset)]));
}

fn send_refusal(res: &mut Response, refusal: Refusal) {
    let (status, code, message) = match refusal {
        Refusal::Invalid => (StatusCode::BAD_REQUEST, 3, "etcdserver: invalid request"),
        Refusal::TooLarge => (
            StatusCode::BAD_REQUEST,
            3,
            "etcdserver: request is too large",
        ),
        Refusal::LeaseNotFound => (
            StatusCode::NOT_FOUND,
            5,
            "etcdserver: requested lease not found",
        ),
        Refusal::Compacted => (
            StatusCode::BAD_REQUEST,
            11,
            "etcdserver: mvcc: required revision has been compacted",
        ),
    };
    send_error(res, status, code, message);
}

fn send_unavailable(res: &mut Response) {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    send_error(res, status, GRPC_UNAVAILABLE, "etcdserver: no leader");
}

fn send_error(res: &mut Response, status: StatusCode, code: u32, message: &'static str) {
    res.status_code(status);
    let response = ErrorResponse {
        error: message,
        code,
        message,
    };
    let _ = res.write_body(encode(&response));
}
