//! Targets that send bytes without end, in a head or a body, until the node closes the connection.
//!
//! Guards against a node that collects them until its memory is used up, and against a connection that stays open.

use eel_platform::standin::{Cut, Ending, Framing, RawResponse, RawTarget};

use crate::fixture::{RawFleet, raw_fleet, wait_until};

use Ending::{EndlessBody, EndlessEvents, EndlessHead};

/// How much a node with the smallest memory, 120 MB, may take of one response that its caller does not read: a quarter.
const MAX_TAKEN_BYTES: u64 = 30 << 20;

const fn endless(ending: Ending) -> RawResponse {
    RawResponse {
        framing: Framing::Connection,
        cut: Cut::BetweenEvents,
        ending,
    }
}

impl RawFleet {
    fn taken_bytes(&self) -> u64 {
        self.targets.iter().map(RawTarget::endless_bytes).sum()
    }

    async fn wait_closed(&self, count: u64) {
        wait_until("the connections are closed", async || {
            self.targets.iter().map(RawTarget::closed).sum::<u64>() >= count
        })
        .await;
    }
}

#[tokio::test]
async fn online_requests() {
    for ending in [EndlessHead, EndlessBody, EndlessEvents] {
        for path in [
            "/once/1",
            "/idempotent/1",
            "/once-stream/1",
            "/resumable-stream/1",
        ] {
            let raw = raw_fleet(&[endless(ending); 2]).await;
            let sent = raw
                .fleet
                .post(0, path, "r1")
                .header("x-eelgrassgap-deadline-ms", "1500");
            let response = sent.send().await;
            // The caller keeps the response without reading it until the node has closed its connection to the target.
            raw.wait_closed(1).await;
            let taken_bytes = raw.taken_bytes();
            assert!(
                taken_bytes <= MAX_TAKEN_BYTES,
                "{ending:?}, {path}: {taken_bytes}"
            );
            let is_success = match response {
                Ok(response) => response.status().is_success() && response.bytes().await.is_ok(),
                Err(_) => false,
            };
            assert!(!is_success, "{ending:?}, {path}");
        }
    }
}

#[tokio::test]
async fn batch_items() {
    for ending in [EndlessHead, EndlessBody, EndlessEvents] {
        // The route allows two failed runs.
        let raw = raw_fleet(&[endless(ending); 2]).await;
        assert_eq!(raw.fleet.submit(0, "j1", &["stream/1"]).await, 202);
        raw.wait_closed(2).await;
        let taken_bytes = raw.taken_bytes();
        assert!(
            taken_bytes <= 2 * MAX_TAKEN_BYTES,
            "{ending:?}: {taken_bytes}"
        );
        let results = raw.fleet.results(0, "j1", 1).await;
        assert_eq!(results[0]["state"], "completed", "{ending:?}");
        let text = "word1\nword2\nword3\nword4\nword5";
        assert_eq!(results[0]["text"], text, "{ending:?}");
    }
}
