//! Replies of a target node that belong to another request, are duplicated or are truncated.
//!
//! Guards against the entry node passing such a response on to the caller.

use bytes::Bytes;
use eel_types::{Attempt, RequestId, RequestKey};
use eel_verdict::{Reason, Refusal};
use eel_wire::{
    codec,
    message::{ReplyEnd, ReplyHead, ReplyRefused, ServeReply, StreamRequest},
};
use quinn::{Connection, Endpoint, RecvStream, SendStream};

use crate::fleet::{FAKE_LOAD, Platform, Service, serve_control};

const BODY: &[u8] = b"the answer";

/// The replies that the fake target node sends for a request. Only `Complete` is a valid sequence.
#[derive(Clone, Copy, Debug)]
enum ReplySequence {
    Complete,
    OtherKeyAtHead,
    OtherKeyAtEnd,
    OtherAttempt,
    ShortBody,
    DuplicateHead,
    DuplicateData,
    NoEnd,
    /// The refusal of an earlier attempt with this request's id, and then its own reply.
    EarlierRefusal,
    /// The refusal of another request as the end.
    OtherRefusalAtEnd,
    /// The whole reply twice.
    Twice,
    /// The whole reply, and then a refusal.
    RefusedAfterEnd,
}

impl ReplySequence {
    fn replies(self, key: RequestKey) -> Vec<ServeReply> {
        let other = RequestKey {
            id: RequestId(key.id.0 ^ 1),
            ..key
        };
        let other_attempt = RequestKey {
            attempt: Attempt(key.attempt.0 + 1),
            ..key
        };
        let head = |key| {
            ServeReply::Head(ReplyHead {
                key,
                status: 200,
                headers: Vec::new(),
            })
        };
        let data = || ServeReply::Data(Bytes::from_static(BODY));
        let end = |key, body_bytes| {
            ServeReply::End(ReplyEnd {
                key,
                body_bytes,
                load: FAKE_LOAD,
            })
        };
        let refused = |key| {
            ServeReply::Refused(ReplyRefused {
                key,
                refusal: Refusal::not_run(Reason::Overloaded),
                load: FAKE_LOAD,
            })
        };
        let length = BODY.len() as u64;
        let complete = || vec![head(key), data(), end(key, length)];
        match self {
            Self::Complete => complete(),
            Self::EarlierRefusal => [vec![refused(other_attempt)], complete()].concat(),
            Self::OtherRefusalAtEnd => vec![head(key), data(), refused(other)],
            Self::Twice => [complete(), complete()].concat(),
            Self::RefusedAfterEnd => [complete(), vec![refused(key)]].concat(),
            Self::OtherKeyAtHead => vec![head(other), data(), end(other, length)],
            Self::OtherKeyAtEnd => vec![head(key), data(), end(other, length)],
            Self::OtherAttempt => vec![head(other_attempt), data(), end(other_attempt, length)],
            Self::ShortBody => vec![head(key), data(), end(key, length + 1)],
            Self::DuplicateHead => vec![head(key), head(key), data(), end(key, length)],
            Self::DuplicateData => vec![head(key), data(), data(), end(key, length)],
            Self::NoEnd => vec![head(key), data()],
        }
    }
}

async fn serve(endpoint: Endpoint, sequence: ReplySequence) {
    while let Some(incoming) = endpoint.accept().await {
        if let Ok(connection) = incoming.await {
            tokio::spawn(serve_link(connection, sequence));
        }
    }
}

async fn serve_link(connection: Connection, sequence: ReplySequence) {
    let Ok((send, recv)) = connection.accept_bi().await else {
        return;
    };
    tokio::spawn(serve_control(send, recv));
    while let Ok((send, recv)) = connection.accept_bi().await {
        tokio::spawn(serve_request(send, recv, sequence));
    }
}

async fn serve_request(mut send: SendStream, mut recv: RecvStream, sequence: ReplySequence) {
    let Ok(Some(StreamRequest::Serve(request))) = codec::read(&mut recv).await else {
        return;
    };
    for reply in sequence.replies(request.key) {
        if codec::write(&mut send, &reply).await.is_err() {
            return;
        }
    }
    let _ = send.finish();
    let _ = send.stopped().await;
}

#[tokio::test]
async fn only_whole_answers_pass() {
    let cases = [
        (ReplySequence::Complete, true),
        (ReplySequence::OtherKeyAtHead, false),
        (ReplySequence::OtherKeyAtEnd, false),
        (ReplySequence::OtherAttempt, false),
        (ReplySequence::ShortBody, false),
        (ReplySequence::DuplicateHead, false),
        (ReplySequence::DuplicateData, false),
        (ReplySequence::NoEnd, false),
        (ReplySequence::EarlierRefusal, false),
        (ReplySequence::OtherRefusalAtEnd, false),
        (ReplySequence::Twice, true),
        (ReplySequence::RefusedAfterEnd, true),
    ];
    for (sequence, is_complete) in cases {
        let mut platform = Platform::start(&[Service::Dispatch]).await;
        let endpoint = platform.bind_fake_target("fake", "dispatch-runners");
        let serving = tokio::spawn(serve(endpoint, sequence));
        let entry = platform.start_ready_entry("e1").await;
        let response = entry
            .post("/services/dispatch/billing", "a", "x")
            .send()
            .await;
        let response = response.expect("a response");
        if is_complete {
            assert_eq!(response.status(), 200, "{sequence:?}");
            assert_eq!(
                response.bytes().await.expect("a body"),
                BODY,
                "{sequence:?}"
            );
        } else {
            assert_eq!(response.status(), 502, "{sequence:?}");
            let verdict = response.headers()["x-eel-verdict"].to_str().expect("text");
            assert_eq!(verdict, "may-have-run", "{sequence:?}");
            let body = response.text().await.expect("a body");
            assert!(!body.contains("the answer"), "{sequence:?}: {body}");
        }
        serving.abort();
    }
}
