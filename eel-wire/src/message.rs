//! The messages exchanged on a link. They are encoded with postcard, so the order of fields and variants is part of the
//! protocol.

use bytes::Bytes;
use eel_types::{Class, Incarnation, LoadReport, Name, RequestKey, Revision};
use eel_verdict::Refusal;
use serde::{Deserialize, Serialize};

/// The version of these messages. A target node refuses the link of an entry node with another version.
pub const PROTOCOL_VERSION: u32 = 1;

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The header name, in lower case.
    pub name: Name,
    /// The header value, unparsed.
    pub value: Bytes,
}

/// Control messages from an entry node, sent on the first stream of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryControl {
    /// Opens the link; always the first message.
    Hello(Hello),
    /// Requests a [`Pong`] with a load report.
    Ping(Ping),
    /// Sends the newest configuration, without the records that no target node needs.
    Configure(Configuration),
}

/// Identifies the entry node and the link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The [`PROTOCOL_VERSION`] of the entry node.
    pub protocol_version: u32,
    /// The name of the entry node's VM.
    pub vm: Name,
    /// The incarnation of the entry node's process.
    pub incarnation: Incarnation,
    /// The number of this link among those from this process to this target.
    pub generation: u64,
    /// Whether this link fences those with a lower generation: their requests that have not started must not start.
    pub supersedes: bool,
}

/// A heartbeat from an entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// The number of this ping on the link.
    pub sequence: u64,
    /// The send time on the entry node's monotonic clock.
    pub sent_ms: u64,
    /// Whether the entry node has batch items for this target.
    pub wants_credits: bool,
}

/// The records in force at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The revision of the snapshot.
    pub revision: Revision,
    /// The snapshot in JSON, which nodes of other software versions can also decode.
    pub snapshot_json: Bytes,
}

/// Control messages from a target node, sent on the first stream of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetControl {
    /// Accepts the link.
    Welcome(Welcome),
    /// Replies to a ping.
    Pong(Pong),
    /// Announces that the target node is shutting down and accepts no new work.
    Leaving,
}

/// Identifies the target node and reports its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The name of the target node's VM.
    pub vm: Name,
    /// The incarnation of the target node's process.
    pub incarnation: Incarnation,
    /// The pool that the target belongs to.
    pub pool: Name,
    /// The current load of the target node.
    pub load: LoadReport,
    /// The revision of the configuration in force at the target node.
    pub revision: Revision,
}

/// The reply to a [`Ping`], with the state of the target node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// The sequence number of the ping.
    pub sequence: u64,
    /// The current load of the target node.
    pub load: LoadReport,
    /// The revision of the configuration in force at the target node.
    pub revision: Revision,
    /// Whether the target node is shutting down and accepts no new work.
    pub leaving: bool,
}

/// The first message of a request's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamRequest {
    /// Requests that the target runs a request; the reply consists of [`ServeReply`] messages.
    Serve(Box<ServeRequest>),
    /// Asks whether an attempt has started, and prevents it from starting if it has not; the reply is a [`Settlement`].
    Settle(RequestKey),
    /// Requests the configuration in force at the target node; the reply is a [`Configuration`].
    FetchConfiguration,
}

/// A request to the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeRequest {
    /// The request and attempt number.
    pub key: RequestKey,
    /// The caller, among whom the target node schedules fairly.
    pub caller: Name,
    /// The name of the service.
    pub service: Name,
    /// The priority class, by which the target node schedules the request.
    pub class: Class,
    /// The send time on the entry node's monotonic clock, from which the target node estimates the time in transit.
    pub sent_ms: u64,
    /// The time left until the caller's deadline when the message was sent.
    pub time_left_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The HTTP method.
    pub method: Name,
    /// The path and query.
    pub path: Name,
    /// The headers to pass on to the target.
    pub headers: Vec<Header>,
    /// The W3C trace context of the entry node's span, if the request is traced.
    pub traceparent: Option<Name>,
    /// The complete body.
    pub body: Bytes,
}

/// The messages that reply to [`StreamRequest::Serve`]: one `Head`, any number of `Data` and one `End`. A `Refused` may
/// take the place of all of them, or follow a part of them and end the reply early.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServeReply {
    /// The status and headers.
    Head(ReplyHead),
    /// A piece of the body.
    Data(Bytes),
    /// The end of the reply. A reply that ends without it is truncated.
    End(ReplyEnd),
    /// The end of an attempt without a complete reply.
    Refused(ReplyRefused),
}

/// The status and headers of a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// The attempt that this replies to.
    pub key: RequestKey,
    /// The HTTP status code.
    pub status: u16,
    /// The headers to pass on to the caller.
    pub headers: Vec<Header>,
}

/// The end marker of a complete reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyEnd {
    /// The attempt that this replies to.
    pub key: RequestKey,
    /// The length of the complete body.
    pub body_bytes: u64,
    /// The load of the target node after this request.
    pub load: LoadReport,
}

/// The end of an attempt without a complete reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyRefused {
    /// The attempt that this replies to.
    pub key: RequestKey,
    /// The reason, verdict and retry delay.
    pub refusal: Refusal,
    /// The current load of the target node.
    pub load: LoadReport,
}

/// The state of an attempt at the target node; the reply to [`StreamRequest::Settle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The attempt has not started and will never start.
    NeverStarted,
    /// The attempt has started.
    Started {
        /// Whether the attempt has ended at the target.
        finished: bool,
    },
    /// The target node has no record of the attempt but may have discarded it: the attempt may have run.
    Unknown,
}
