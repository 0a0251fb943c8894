//! Targets that pause before they have read the whole request.
//!
//! Guards against a connection that is closed while its target reads nothing for a second: a request that is longer than
//! the target's receive window stays unsent for that time, and the caller gets an error in place of the response.

use std::{net::SocketAddr, time::Duration};

use eel_platform::standin::{StandInTarget, routes};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::fixture::{Fleet, events, fleet};

/// Longer than any time after which a node looks for another target.
const PAUSE: Duration = Duration::from_millis(1_200);
/// More than the receive window of a connection that is not read.
const BODY_BYTES: usize = 3_000_000;

/// Starts a proxy before `target` that reads nothing from each connection for [`PAUSE`].
async fn paused_proxy(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            tokio::spawn(async move {
                sleep(PAUSE).await;
                let mut target = TcpStream::connect(target).await.expect("a connection");
                let _ = copy_bidirectional(&mut caller, &mut target).await;
            });
        }
    });
    address
}

async fn paused_fleet() -> Fleet {
    let mut fleet = fleet(0, 0).await;
    let mut table = routes(2);
    table["limits"]["maxBodyBytes"] = (2 * BODY_BYTES).into();
    fleet.store.put("op/config", &table.to_string());
    let target = StandInTarget::start("scribe", "i-0").await;
    let target = target.expect("a target");
    let proxy = paused_proxy(target.address()).await;
    target.announce_at(&fleet.store, "ready", proxy);
    fleet.targets.push(target);
    fleet.add_node("node-0", true).await;
    fleet
}

#[tokio::test]
async fn long_request_is_answered() {
    for path in ["/once/1", "/idempotent/1"] {
        let fleet = paused_fleet().await;
        let sent = fleet.post(0, path, "r1").body(vec![b'x'; BODY_BYTES]);
        let response = sent.send().await.expect("a response");
        assert_eq!(response.status(), 200, "{path}");
        let body = response.bytes().await.expect("a body");
        assert_eq!(body.len(), BODY_BYTES, "{path}");
    }
}

#[tokio::test]
async fn stream_of_a_long_request_is_complete() {
    for path in ["/once-stream/1", "/resumable-stream/1"] {
        let fleet = paused_fleet().await;
        let sent = fleet.post(0, path, "r1").body(vec![b'x'; BODY_BYTES]);
        let response = sent.send().await.expect("a response");
        assert_eq!(response.status(), 200, "{path}");
        assert_eq!(events(response).await, (vec![1, 2, 3, 4, 5], true));
    }
}
