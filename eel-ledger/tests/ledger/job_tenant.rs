//! The tenant in a job's head.
//!
//! Guards against a head that nodes of another version cannot read, and a job that the wrong tenant may use.

use eel_ledger::{JobHead, Ledger, submission};
use eel_types::Name;
use serde::{Deserialize, Serialize};

use crate::fixture::{Values, head, items, keys, submit};

/// A head as versions without tenants know it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierHead {
    host: Name,
    submitted_unix_ms: u64,
    due_unix_ms: u64,
    give_up_unix_ms: u64,
    max_attempts: u32,
    items: u32,
    parts: u32,
}

fn earlier_head() -> EarlierHead {
    EarlierHead {
        host: "a.example".into(),
        submitted_unix_ms: 1_000,
        due_unix_ms: 19_000,
        give_up_unix_ms: 61_000,
        max_attempts: 3,
        items: 2,
        parts: 1,
    }
}

fn with_tenant(tenant: Option<&str>) -> JobHead {
    JobHead {
        tenant: tenant.map(Name::from),
        ..head()
    }
}

#[test]
fn heads_of_both_versions() {
    for tenant in [None, Some("alpha"), Some("")] {
        let txn = submission(&keys(), "j1", with_tenant(tenant), &items(2));
        let mut values = Values::default();
        values.apply(&txn.expect("a transaction"));
        let mut ledger = Ledger::new(keys());
        values.read(&mut ledger);
        let read = ledger.job("j1").and_then(|it| it.head()).expect("a head");
        assert_eq!(read.tenant.as_deref(), tenant);
        let stored = &values.0[&keys().head("j1")];
        let earlier: EarlierHead = postcard::from_bytes(stored).expect("a head");
        assert_eq!(earlier, earlier_head());
    }
}

#[test]
fn head_of_an_earlier_version() {
    let stored = postcard::to_stdvec(&earlier_head()).expect("a value");
    let mut values = Values::default();
    values.apply(&submit("j1", 2));
    values.0.insert(keys().head("j1"), stored.into());
    let mut ledger = Ledger::new(keys());
    values.read(&mut ledger);
    let read = ledger.job("j1").and_then(|it| it.head()).expect("a head");
    assert_eq!((read.items, &read.tenant), (2, &None));
}

#[test]
fn use_by_tenants() {
    let cases = [
        (Some("alpha"), Some("alpha"), true),
        (Some("alpha"), Some("beta"), false),
        (Some("alpha"), None, true),
        (None, Some("beta"), true),
        (None, None, true),
    ];
    for (owner, tenant, expected) in cases {
        let tenant = tenant.map(Name::from);
        let is_allowed = with_tenant(owner).may_be_used_by(tenant.as_ref());
        assert_eq!(is_allowed, expected, "{owner:?} {tenant:?}");
    }
}
