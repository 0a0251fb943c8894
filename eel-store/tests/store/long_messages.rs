//! A service that sends many changes as one message of a watch, as after an outage of a node.
//!
//! Guards against a watch that is closed and opened again at the same revision without end, so that its node never sees them.

use std::time::Duration;

use eel_store::{KeyValue as _, WatchEvent, WatchOptions};
use eel_types::Revision;
use futures_util::StreamExt as _;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time::timeout,
};

use crate::fixture::client;

/// The size of each value in base64, as saved progress of items has it.
const VALUE_BYTES: usize = 512 * 1024;
/// How long a sound client may take to read a message.
const READ_TIME: Duration = Duration::from_secs(20);

/// Returns a response that opens a watch and then sends `changes` changes in one message.
fn response(changes: u64) -> String {
    let created = r#"{"result":{"header":{"revision":"1"},"created":true}}"#;
    let value = "AAAA".repeat(VALUE_BYTES / 4);
    let events: Vec<String> = (2..changes + 2)
        .map(|it| format!(r#"{{"kv":{{"key":"YQ==","value":"{value}","mod_revision":"{it}","create_revision":"2","version":"1"}}}}"#))
        .collect();
    let last = changes + 1;
    let events = events.join(",");
    format!(
        "HTTP/1.1 200 OK\r\n\r\n{created}\n{{\"result\":{{\"header\":{{\"revision\":\"{last}\"}},\"events\":[{events}]}}}}\n"
    )
}

/// Returns whether a watch gets `changes` changes of one message, or learns that it has to read the keys again.
async fn is_delivered(changes: u64) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let response = response(changes);
    let server = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let response = response.clone();
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4096]).await;
                let _ = stream.write_all(response.as_bytes()).await;
                let _ = stream.read(&mut [0; 1]).await;
            });
        }
    });
    let mut watch = client(vec![format!("http://{address}")]).watch(WatchOptions {
        prefix: "a".into(),
        from_revision: Some(Revision(2)),
    });
    let delivery = async {
        while let Some(event) = watch.next().await {
            let is_last = match event {
                WatchEvent::Put(pair) => pair.mod_revision.0 == changes + 1,
                WatchEvent::Compacted { .. } => true,
                _ => false,
            };
            if is_last {
                return true;
            }
        }
        false
    };
    let is_delivered = timeout(READ_TIME, delivery).await.unwrap_or(false);
    server.abort();
    is_delivered
}

#[tokio::test]
async fn changes_in_one_message() {
    for changes in [1, 16, 30, 40, 60] {
        assert!(is_delivered(changes).await, "{changes} changes");
    }
}
