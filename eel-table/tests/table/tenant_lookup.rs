//! The lookup of a tenant by a key.
//!
//! Guards against a key of two tenants that identifies one of them, in any order of the claims, and against keys in debug
//! output.

use eel_table::{Tenant, Tenants};

fn tenants(listed: &[(&str, &[&str])]) -> Tenants {
    Tenants::new(listed.iter().map(|(name, keys)| {
        let tenant = Tenant {
            name: (*name).into(),
            priority: 0,
            quota: None,
        };
        (tenant, keys.iter().map(|it| (*it).into()).collect())
    }))
}

#[test]
fn claimed_keys() {
    let listed: [(&str, &[&str]); 5] = [
        ("alpha", &["own", "own", "two", "three"]),
        ("beta", &["two", "two", "three"]),
        ("alpha", &["two", "second"]),
        ("gamma", &["three"]),
        ("delta", &[]),
    ];
    let tenants = tenants(&listed);
    let cases = [
        ("own", Some("alpha")),
        ("second", Some("alpha")),
        ("two", None),
        ("three", None),
        ("", None),
    ];
    for (key, expected) in cases {
        let found = tenants.find(key).map(|it| it.name.as_str());
        assert_eq!(found, expected, "{key}");
    }
    assert_eq!(tenants.keys_len(), 2);
    let debug = format!("{tenants:?}");
    assert!(
        listed
            .iter()
            .flat_map(|it| it.1)
            .all(|it| !debug.contains(it)),
        "{debug}"
    );
}
