//! The messages of etcd v3's JSON mapping that this client uses.

use serde::{Deserialize, Serialize};

use super::int64;

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Range {
    pub key: String,
    #[serde(rename = "range_end", skip_serializing_if = "Option::is_none")]
    pub end: Option<String>,
    #[serde(with = "int64")]
    pub limit: u32,
    #[serde(with = "int64")]
    pub revision: u64,
    pub count_only: bool,
    pub keys_only: bool,
    #[serde(with = "int64")]
    pub min_mod_revision: u64,
}

#[derive(Debug, Serialize)]
pub struct Put {
    pub key: String,
    pub value: String,
    #[serde(with = "int64")]
    pub lease: i64,
}

#[derive(Debug, Serialize)]
pub struct DeleteRange {
    pub key: String,
    #[serde(rename = "range_end", skip_serializing_if = "Option::is_none")]
    pub end: Option<String>,
}

#[derive(Debug, Serialize)]
pub enum RequestOp {
    #[serde(rename = "request_range")]
    Range(Range),
    #[serde(rename = "request_put")]
    Put(Put),
    #[serde(rename = "request_delete_range")]
    DeleteRange(DeleteRange),
}

#[derive(Debug, Serialize)]
pub struct Compare {
    pub key: String,
    pub result: CompareResult,
    pub target: CompareTarget,
    #[serde(flatten)]
    pub operand: CompareOperand,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareResult {
    Equal,
    Greater,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    Create,
    Mod,
    Value,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CompareOperand {
    CreateRevision(String),
    ModRevision(String),
    Value(String),
}

#[derive(Debug, Serialize)]
pub struct Txn {
    pub compare: Vec<Compare>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

#[derive(Debug, Serialize)]
pub struct LeaseGrant {
    #[serde(rename = "TTL", with = "int64")]
    pub ttl_s: u64,
}

#[derive(Debug, Serialize)]
pub struct LeaseRef {
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

#[derive(Debug, Serialize)]
pub struct Watch {
    pub create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub struct WatchCreate {
    pub key: String,
    pub range_end: String,
    #[serde(with = "int64")]
    pub start_revision: u64,
    pub progress_notify: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Header {
    #[serde(with = "int64")]
    pub revision: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Kv {
    pub key: String,
    pub value: String,
    #[serde(with = "int64")]
    pub create_revision: u64,
    #[serde(with = "int64")]
    pub mod_revision: u64,
    #[serde(with = "int64")]
    pub version: u64,
    #[serde(with = "int64")]
    pub lease: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    pub header: Option<Header>,
    pub kvs: Vec<Kv>,
    pub more: bool,
    #[serde(with = "int64")]
    pub count: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRangeResponse {
    #[serde(with = "int64")]
    pub deleted: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutResponse {}

#[derive(Debug, Deserialize)]
pub enum ResponseOp {
    #[serde(rename = "response_range", alias = "responseRange")]
    Range(RangeResponse),
    #[serde(rename = "response_put", alias = "responsePut")]
    Put(PutResponse),
    #[serde(rename = "response_delete_range", alias = "responseDeleteRange")]
    DeleteRange(DeleteRangeResponse),
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    pub header: Option<Header>,
    pub succeeded: bool,
    pub responses: Vec<ResponseOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    #[serde(rename = "TTL", with = "int64")]
    pub ttl_s: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct IgnoredResponse {}

/// One message of a streamed response.
#[derive(Debug, Deserialize)]
pub struct StreamMessage<T> {
    pub result: Option<T>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    pub header: Header,
    pub created: bool,
    pub canceled: bool,
    #[serde(with = "int64")]
    pub compact_revision: u64,
    pub events: Vec<Event>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Event {
    pub r#type: EventType,
    pub kv: Kv,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    #[default]
    Put,
    Delete,
}

/// The body of an error response; `code` is a gRPC status code.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct ErrorResponse {
    pub code: u32,
    pub message: String,
}
