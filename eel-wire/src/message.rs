//! The messages that travel on a link.

use bytes::Bytes;
use eel_types::{Class, Incarnation, LoadReport, Name, RequestKey, Revision};
use eel_verdict::Refusal;
use serde::{Deserialize, Serialize};

/// The version of these messages; nodes with different versions refuse each other's links.
pub const PROTOCOL_VERSION: u32 = 1;

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: Name,
    /// The value.
    pub value: Bytes,
}

/// Control messages from an entry node, on the first stream of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryControl {
    /// Opens the link; always the first message.
    Hello(Hello),
    /// Asks for a sign of life and a load report.
    Ping(Ping),
    /// Brings the part of the configuration that concerns the target.
    Configure(Configuration),
}

/// Introduces the entry node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the entry node.
    pub protocol_version: u32,
    /// The entry node's VM.
    pub vm: Name,
    /// The entry node's process.
    pub incarnation: Incarnation,
    /// Counts the links of this process to this target.
    pub generation: u64,
    /// Whether nothing that came over links with a lower generation may start any more.
    pub supersedes: bool,
}

/// Asks for a sign of life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Counts the pings of the link.
    pub sequence: u64,
    /// The sender's monotonic time.
    pub sent_ms: u64,
    /// Whether the entry node has batch items for this target.
    pub wants_credits: bool,
}

/// Records in force at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The revision of the snapshot.
    pub revision: Revision,
    /// The snapshot in JSON, which nodes of other versions can read too.
    pub snapshot_json: Bytes,
}

/// Control messages from a target node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetControl {
    /// Accepts the link.
    Welcome(Welcome),
    /// Answers a ping.
    Pong(Pong),
    /// Says that the target node is shutting down and takes no new work.
    Leaving,
}

/// Introduces the target node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The target node's VM.
    pub vm: Name,
    /// The target node's process.
    pub incarnation: Incarnation,
    /// The pool that the target belongs to.
    pub pool: Name,
    /// The load at the moment.
    pub load: LoadReport,
    /// The revision of the configuration in force at the target node.
    pub revision: Revision,
}

/// A sign of life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// The sequence number of the ping.
    pub sequence: u64,
    /// The load at the moment.
    pub load: LoadReport,
    /// The revision of the configuration in force at the target node.
    pub revision: Revision,
    /// Whether the target node takes no new work.
    pub leaving: bool,
}

/// The first message of a request's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamRequest {
    /// Asks to run a request.
    Serve(Box<ServeRequest>),
    /// Asks what became of an attempt, and bars it from starting if it has not started; answered by [`Settlement`].
    Settle(RequestKey),
    /// Asks for the configuration in force at the target node; answered by [`Configuration`].
    FetchConfiguration,
}

/// A request to the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeRequest {
    /// The attempt.
    pub key: RequestKey,
    /// The caller, for fairness.
    pub caller: Name,
    /// The service.
    pub service: Name,
    /// The priority class.
    pub class: Class,
    /// The sender's monotonic time, from which the target node tells how long the message has travelled.
    pub sent_ms: u64,
    /// The time left until the caller's deadline when the message was sent.
    pub time_left_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The HTTP method.
    pub method: Name,
    /// The path and query.
    pub path: Name,
    /// The headers to pass on.
    pub headers: Vec<Header>,
    /// The W3C trace context of the caller's side.
    pub traceparent: Option<Name>,
    /// The whole body.
    pub body: Bytes,
}

/// The messages that answer [`StreamRequest::Serve`]: one `Head`, any number of `Data`, one `End`; or one `Refused`, which may
/// also cut an answer short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServeReply {
    /// Begins the answer.
    Head(ReplyHead),
    /// Continues the answer's body.
    Data(Bytes),
    /// Ends the answer; without it, the answer is not whole.
    End(ReplyEnd),
    /// Ends the attempt without a whole answer.
    Refused(ReplyRefused),
}

/// The beginning of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// The attempt that is answered.
    pub key: RequestKey,
    /// The HTTP status.
    pub status: u16,
    /// The headers to pass on.
    pub headers: Vec<Header>,
}

/// The end mark of a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyEnd {
    /// The attempt that is answered.
    pub key: RequestKey,
    /// The length of the whole body.
    pub body_bytes: u64,
    /// The load after this request.
    pub load: LoadReport,
}

/// The end of an attempt without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyRefused {
    /// The attempt that is answered.
    pub key: RequestKey,
    /// What happened and when to come back.
    pub refusal: Refusal,
    /// The load at the moment.
    pub load: LoadReport,
}

/// What a target node knows of an attempt, in answer to [`StreamRequest::Settle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The attempt has not started and never will.
    NeverStarted,
    /// The attempt has started.
    Started {
        /// Whether it has ended at the target.
        finished: bool,
    },
    /// The attempt is not remembered, but may have been forgotten: it may have run.
    Unknown,
}
