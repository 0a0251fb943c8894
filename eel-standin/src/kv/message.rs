//! The messages of etcd v3's JSON interface (gRPC gateway), limited to the fields that the stand-in uses.

use base64::{Engine as _, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// A 64-bit integer: serialised as a string, deserialised from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub i64);

impl From<u64> for Int64 {
    fn from(number: u64) -> Self {
        Self(i64::try_from(number).unwrap_or(i64::MAX))
    }
}

impl Int64 {
    /// Returns the number, or 0 if it is negative.
    pub fn unsigned(self) -> u64 {
        u64::try_from(self.0).unwrap_or(0)
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

/// Bytes, serialised in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Base64(pub Bytes);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = BASE64_STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(Bytes::from(bytes)))
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Range {
    pub key: Base64,
    #[serde(rename = "range_end", alias = "rangeEnd")]
    pub end: Base64,
    pub limit: Int64,
    pub revision: Int64,
    pub count_only: bool,
    pub keys_only: bool,
    pub min_mod_revision: Int64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Put {
    pub key: Base64,
    pub value: Base64,
    pub lease: Int64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRange {
    pub key: Base64,
    #[serde(rename = "range_end", alias = "rangeEnd")]
    pub end: Base64,
}

#[derive(Clone, Debug, Deserialize)]
pub enum RequestOp {
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(DeleteRange),
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    pub key: Base64,
    pub result: CompareResult,
    pub target: CompareTarget,
    pub version: Int64,
    #[serde(alias = "createRevision")]
    pub create_revision: Int64,
    #[serde(alias = "modRevision")]
    pub mod_revision: Int64,
    pub value: Base64,
    pub lease: Int64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Txn {
    pub compare: Vec<Compare>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    #[serde(rename = "ID")]
    pub id: Int64,
    #[serde(rename = "TTL")]
    pub ttl_s: Int64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compaction {
    pub revision: Int64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Watch {
    pub create_request: WatchCreate,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    pub key: Base64,
    #[serde(rename = "range_end", alias = "rangeEnd")]
    pub end: Base64,
    pub start_revision: Int64,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub struct Header {
    pub revision: Int64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Kv {
    pub key: Base64,
    pub create_revision: Int64,
    pub mod_revision: Int64,
    pub version: Int64,
    pub value: Base64,
    pub lease: Int64,
}

#[derive(Debug, Serialize)]
pub struct RangeResponse {
    pub header: Header,
    pub kvs: Vec<Kv>,
    pub more: bool,
    pub count: Int64,
}

#[derive(Debug, Serialize)]
pub struct PutResponse {
    pub header: Header,
}

#[derive(Debug, Serialize)]
pub struct DeleteRangeResponse {
    pub header: Header,
    pub deleted: Int64,
}

#[derive(Debug, Serialize)]
pub enum ResponseOp {
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_delete_range")]
    Delete(DeleteRangeResponse),
}

#[derive(Debug, Serialize)]
pub struct TxnResponse {
    pub header: Header,
    pub succeeded: bool,
    pub responses: Vec<ResponseOp>,
}

#[derive(Debug, Serialize)]
pub struct LeaseResponse {
    pub header: Header,
    #[serde(rename = "ID")]
    pub id: Int64,
    #[serde(rename = "TTL")]
    pub ttl_s: Int64,
}

/// One message of a streamed response.
#[derive(Debug, Serialize)]
pub struct Streamed<T> {
    pub result: T,
}

#[derive(Debug, Serialize)]
pub struct WatchResponse {
    pub header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub compact_revision: Option<Int64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Event {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub r#type: Option<EventType>,
    pub kv: Kv,
}

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    Delete,
}

#[derive(Debug, Serialize)]
pub struct ErrorResponse {
    pub error: &'static str,
    pub code: u32,
    pub message: &'static str,
}
