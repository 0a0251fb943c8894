//! Guards against examples in `etc/records/` that operators copy and that are refused, and against a schema of a kind
//! without an example. They must be valid and cover both schemas of each kind.

use std::{collections::BTreeSet, path::Path};

use eel_record::{Kind, load_directory};

#[test]
fn examples_are_valid() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../etc/records");
    let declarations = load_directory(&directory).unwrap();
    assert_eq!(declarations.problems, []);
    let records = declarations.records.values().map(|d| &d.record);
    let seen: BTreeSet<_> = records.map(|r| (r.key().kind, r.schema())).collect();
    for kind in Kind::ALL {
        for schema in [1, 2] {
            assert!(seen.contains(&(kind, schema)), "{kind} schema {schema}");
        }
    }
}
