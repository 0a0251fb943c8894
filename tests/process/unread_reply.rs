//! A target node that closes its link when the entry node has received a complete reply and not yet read it.
//!
//! Guards against discarding what has been received: the target node ends once its replies are acknowledged, which the
//! entry node's transport does before the reply is read.

use std::time::Duration;

use bytes::Bytes;
use eel_types::RequestKey;
use eel_wire::{
    codec,
    message::{ReplyEnd, ReplyHead, ServeReply, StreamRequest},
};
use nix::sys::signal::Signal;
use quinn::{Connection, Endpoint, SendStream};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::{mpsc, watch},
};

use crate::{
    fleet::{CALLER_KEY, FAKE_LOAD, Platform, RawTarget, Service, serve_control},
    outcome::{CallerOutcome, call, outcome_of},
};

const DEADLINE_MS: u64 = 120_000;
/// More than all the buffers between the target and a caller that does not read.
const BODY_BYTES: usize = 24 * 1024 * 1024;
const EVENT: &str = "data: 01234567\n\n";
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";
const READ_BYTES: usize = 16 * 1024;

fn response_with(content_type: &str) -> String {
    let body = EVENT.repeat(BODY_BYTES / EVENT.len());
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ncontent-length: {BODY_BYTES}\r\n\r\n{body}"
    )
}

/// The caller reads slowly until the target node has drained, so that the rest of the reply is unread at the entry node
/// when the link closes.
#[tokio::test]
async fn long_reply_to_a_slow_caller() {
    const READ_INTERVAL: Duration = Duration::from_millis(2);
    for content_type in ["text/event-stream", "application/octet-stream"] {
        for path in ["alerts", "billing"] {
            let case = format!("{content_type}, {path}");
            let raw = RawTarget::start(&response_with(content_type), false).await;
            let mut platform = Platform::start(&[Service::Dispatch]).await;
            let (node, _) = platform
                .start_target_at("t1", "dispatch-runners", &raw.url)
                .await;
            let entry = platform.start_ready_entry("e1").await;
            let address = entry.url.trim_start_matches("http://");
            let mut caller = TcpStream::connect(address).await.expect("a connection");
            let request = format!(
                "POST /services/dispatch/{path} HTTP/1.1\r\nhost: {address}\r\n\
                 authorization: Bearer {CALLER_KEY}\r\ncontent-length: 9\r\n\
                 connection: close\r\n\r\ntow ready"
            );
            caller
                .write_all(request.as_bytes())
                .await
                .expect("a request");
            let mut part = [0; READ_BYTES];
            let mut received = caller.read(&mut part).await.expect("a part");
            node.signal(Signal::SIGTERM);
            while !node.log().contains("Drained.") {
                received += caller.read(&mut part).await.expect("a part");
                assert!(received < BODY_BYTES, "{case}: nothing is left to read");
                if received > BODY_BYTES / 2 {
                    tokio::time::sleep(READ_INTERVAL).await;
                }
            }
            entry.node.value_after("The link to t1 ended: ").await;
            let mut rest = Vec::new();
            caller.read_to_end(&mut rest).await.expect("the rest");
            received += rest.len();
            assert!(
                received > BODY_BYTES && rest.ends_with(LAST_CHUNK),
                "{case}: cut after {received} bytes: {}",
                String::from_utf8_lossy(&rest[rest.len().saturating_sub(300)..])
            );
        }
    }
}

const BODY: &[u8] = b"the answer";
const REQUESTS: usize = 8;

/// A target node that replies to its requests only once it is told to, and closes its link at once.
#[derive(Clone)]
struct ClosingTarget {
    arrived: mpsc::UnboundedSender<()>,
    reply: watch::Receiver<bool>,
}

impl ClosingTarget {
    async fn serve(self, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            if let Ok(connection) = incoming.await {
                tokio::spawn(self.clone().serve_link(connection));
            }
        }
    }

    async fn serve_link(mut self, connection: Connection) {
        let Ok((send, recv)) = connection.accept_bi().await else {
            return;
        };
        tokio::spawn(serve_control(send, recv));
        let mut requests = Vec::new();
        while requests.len() < REQUESTS {
            let Ok((send, mut recv)) = connection.accept_bi().await else {
                return;
            };
            if let Ok(Some(StreamRequest::Serve(request))) = codec::read(&mut recv).await {
                requests.push((send, request.key));
                let _ = self.arrived.send(());
            }
        }
        let _ = self.reply.wait_for(|reply| *reply).await;
        for (send, key) in &mut requests {
            write_reply(send, *key).await;
        }
        // The replies are sent before the close frame.
        tokio::time::sleep(Duration::from_millis(50)).await;
        connection.close(0u32.into(), b"");
    }
}

async fn write_reply(send: &mut SendStream, key: RequestKey) {
    let replies = [
        ServeReply::Head(ReplyHead {
            key,
            status: 200,
            headers: Vec::new(),
        }),
        ServeReply::Data(Bytes::from_static(BODY)),
        ServeReply::End(ReplyEnd {
            key,
            body_bytes: BODY.len() as u64,
            load: FAKE_LOAD,
        }),
    ];
    for reply in &replies {
        codec::write(send, reply).await.expect("an open link");
    }
    let _ = send.finish();
}

/// The entry node is stopped while the replies and the close of the link arrive, and finds all of them at once.
#[tokio::test]
async fn short_replies_to_a_frozen_entry() {
    const ROUNDS: usize = 4;
    for round in 0..ROUNDS {
        let mut platform = Platform::start(&[Service::Dispatch]).await;
        let endpoint = platform.bind_fake_target("fake", "dispatch-runners");
        let (arrived, mut arrivals) = mpsc::unbounded_channel();
        let (reply, replies) = watch::channel(false);
        let target = ClosingTarget {
            arrived,
            reply: replies,
        };
        let serving = tokio::spawn(target.serve(endpoint));
        let entry = platform.start_ready_entry("e1").await;
        let calls = (0..REQUESTS).map(|index| {
            let request = call(&entry, false, &format!("r-{index}"), DEADLINE_MS);
            tokio::spawn(outcome_of(request))
        });
        let calls: Vec<_> = calls.collect();
        for _ in 0..REQUESTS {
            arrivals.recv().await.expect("a request");
        }
        entry.node.freeze().await;
        reply.send_replace(true);
        tokio::time::sleep(Duration::from_millis(150)).await;
        entry.node.signal(Signal::SIGCONT);
        for outcome in calls {
            let outcome = outcome.await.expect("an outcome");
            assert_eq!(outcome, CallerOutcome::Success, "round {round}");
        }
        serving.abort();
    }
}
