//! Guards against a wrong outcome of writes whose response was lost: the write may have been applied, overwritten
//! since, or never applied because another client wrote first or the store was down.

use eel_standin::kv::Faults;
use eel_store::{
    CommitOutcome, Compare, KeyValue as _, Op, StoreError, Txn, WriteToken, commit_and_resolve,
};
use eel_types::Revision;

use crate::fixture::{create, get, put, service, text};

fn token(key: &str, value: &str) -> WriteToken {
    WriteToken {
        key: key.into(),
        value: value.to_owned().into(),
    }
}

fn lost(lost_responses: u32) -> Faults {
    Faults {
        lost_responses,
        ..Faults::default()
    }
}

fn update(key: &str, revision: u64, value: &str) -> Txn {
    Txn {
        compares: vec![Compare::ModRevision {
            key: key.into(),
            revision: Revision(revision),
        }],
        success: vec![Op::put(key, value.to_owned())],
        failure: Vec::new(),
    }
}

#[tokio::test]
async fn lost_answers_settle() {
    // Number of lost responses, whether another client wrote the key before, expected outcome.
    let cases = [
        (0, false, Some(true)),
        (1, false, Some(true)),
        (2, false, Some(true)),
        (0, true, Some(false)),
        (1, true, Some(false)),
        (9, false, None),
    ];
    for (lost_responses, taken, expected) in cases {
        let (server, client) = service().await;
        if taken {
            client.commit(&put("k", "other")).await.expect("a write");
        }
        server.set_faults(lost(lost_responses));
        let outcome = commit_and_resolve(&client, &create("k", "mine"), &token("k", "mine")).await;
        let outcome = outcome.expect("it was sent");
        let case = format!("{lost_responses} lost, taken {taken}: {outcome:?}");
        match expected {
            Some(true) => assert_eq!(
                outcome,
                CommitOutcome::Applied {
                    revision: Revision(2)
                },
                "{case}"
            ),
            Some(false) => {
                let CommitOutcome::NotApplied {
                    current: Some(pair),
                } = &outcome
                else {
                    panic!("{case}");
                };
                assert_eq!(text(pair), "other", "{case}");
            }
            None => assert_eq!(outcome, CommitOutcome::Unknown, "{case}"),
        }
        let pair = get(&client, "k").await.expect("one of the two");
        assert_eq!(pair.version, 1, "{case}");
    }
}

#[tokio::test]
async fn overwritten_write_found() {
    let (server, client) = service().await;
    client.commit(&put("k", "base")).await.expect("a write");
    server.set_faults(lost(1));
    let mine = update("k", 2, "mine");
    let error = client
        .commit(&mine)
        .await
        .expect_err("the response is lost");
    assert_eq!(*error.current_context(), StoreError::MayHaveApplied);
    client.commit(&put("k", "later")).await.expect("a write");
    server.set_faults(lost(1)); // the response to the copy is lost too, so the client is in doubt
    let outcome = commit_and_resolve(&client, &mine, &token("k", "mine")).await;
    let revision = Revision(3);
    assert_eq!(
        outcome.expect("it was sent"),
        CommitOutcome::Applied { revision }
    );
}

#[tokio::test]
async fn history_ends_at_base() {
    let (server, client) = service().await;
    for n in 0..40 {
        let value = n.to_string();
        client.commit(&put("k", &value)).await.expect("a write");
    }
    client.commit(&put("k", "winner")).await.expect("a write");
    server.set_faults(lost(1));
    let outcome = commit_and_resolve(&client, &update("k", 41, "mine"), &token("k", "mine")).await;
    let Ok(CommitOutcome::NotApplied {
        current: Some(pair),
    }) = outcome
    else {
        panic!("{outcome:?}");
    };
    assert_eq!(text(&pair), "winner");
}

#[tokio::test]
async fn down_is_not_applied() {
    let (mut server, client) = service().await;
    server.stop().await;
    let outcome = commit_and_resolve(&client, &create("k", "mine"), &token("k", "mine")).await;
    let error = outcome.expect_err("it never left");
    assert_eq!(*error.current_context(), StoreError::NotApplied);
    server.resume().await.expect("the same port");
    assert_eq!(get(&client, "k").await, None);
}
