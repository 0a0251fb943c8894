//! Guards against an error that claims the wrong effect: for each fault and call, the error and the state of the store.

use eel_standin::kv::{Faults, KvServer};
use eel_store::{EtcdJson, KeyValue as _, RangeRequest, StoreError, StoreResult};

use crate::fixture::{CALL_TIMEOUT_MS, SHORT_TIMEOUT_MS, client, client_opts, get, put, service};

#[derive(Clone, Copy, Debug)]
enum Fault {
    Down,
    Unavailable,
    Hang,
    Slow,
    SlowAnswer,
    AnswerLost,
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Range,
    Commit,
    Grant,
}

async fn set(server: &mut KvServer, fault: Fault) {
    let faults = Faults::default();
    let faults = match fault {
        Fault::Down => return server.stop().await,
        Fault::Unavailable => Faults {
            unavailable: true,
            ..faults
        },
        Fault::Hang => Faults {
            hang: true,
            ..faults
        },
        Fault::Slow => Faults {
            delay_ms: SHORT_TIMEOUT_MS,
            ..faults
        },
        Fault::SlowAnswer => Faults {
            response_delay_ms: CALL_TIMEOUT_MS,
            ..faults
        },
        Fault::AnswerLost => Faults {
            lost_responses: 1,
            ..faults
        },
    };
    server.set_faults(faults);
}

/// The client's timeout: short only if no response will come.
fn timeout_ms(fault: Fault) -> u64 {
    match fault {
        Fault::Hang | Fault::SlowAnswer => SHORT_TIMEOUT_MS,
        Fault::Down | Fault::Unavailable | Fault::Slow | Fault::AnswerLost => CALL_TIMEOUT_MS,
    }
}

async fn run(client: &EtcdJson, call: Call) -> StoreResult<()> {
    match call {
        Call::Range => client.range(&RangeRequest::key("k")).await.map(drop),
        Call::Commit => client.commit(&put("k", "v")).await.map(drop),
        Call::Grant => client.grant_lease(60_000).await.map(drop),
    }
}

#[tokio::test]
async fn fault_table() {
    use StoreError::{MayHaveApplied, NotApplied, Unavailable};
    // Fault, call, expected error, whether the commit is in the store afterwards.
    let cases = [
        (Fault::Down, Call::Range, Some(Unavailable), false),
        (Fault::Down, Call::Commit, Some(NotApplied), false),
        (Fault::Down, Call::Grant, Some(NotApplied), false),
        (Fault::Unavailable, Call::Range, Some(Unavailable), false),
        (
            Fault::Unavailable,
            Call::Commit,
            Some(MayHaveApplied),
            false,
        ),
        (Fault::Hang, Call::Range, Some(Unavailable), false),
        (Fault::Hang, Call::Commit, Some(MayHaveApplied), false),
        (Fault::Slow, Call::Range, None, false),
        (Fault::Slow, Call::Commit, None, true),
        (Fault::SlowAnswer, Call::Range, Some(Unavailable), false),
        (Fault::SlowAnswer, Call::Commit, Some(MayHaveApplied), true),
        (Fault::SlowAnswer, Call::Grant, Some(MayHaveApplied), false),
        (Fault::AnswerLost, Call::Range, None, false),
        (Fault::AnswerLost, Call::Commit, Some(MayHaveApplied), true),
        (Fault::AnswerLost, Call::Grant, Some(MayHaveApplied), false),
    ];
    for (fault, call, expected, in_store) in cases {
        let (mut server, client) = service().await;
        set(&mut server, fault).await;
        let tested = client_opts(vec![server.url()], timeout_ms(fault));
        let error = run(&tested, call).await.err();
        let error = error.map(|e| *e.current_context());
        assert_eq!(error, expected, "{fault:?} {call:?}");
        server.set_faults(Faults::default());
        if matches!(fault, Fault::Down) {
            server.resume().await.expect("the same port");
        }
        let found = get(&client, "k").await.is_some();
        assert_eq!(found, in_store, "{fault:?} {call:?}");
    }
}

#[tokio::test]
async fn next_endpoint_serves() {
    let (mut down, _) = service().await;
    down.stop().await;
    let (up, _) = service().await;
    let client = client(vec![down.url(), up.url()]);
    client.commit(&put("k", "v")).await.expect("the second one");
    assert!(get(&client, "k").await.is_some());
    assert_eq!((up.counts().writes, up.counts().reads), (1, 1));
}

#[tokio::test]
async fn counts_calls() {
    let (server, client) = service().await;
    let lease = client.grant_lease(60_000).await.expect("a lease");
    client.keep_alive(lease.id).await.expect("an extension");
    client.commit(&put("k", "v")).await.expect("a write");
    get(&client, "k").await.expect("the key");
    let counts = server.counts();
    assert_eq!((counts.reads, counts.writes, counts.keep_alives), (1, 2, 1));
}
