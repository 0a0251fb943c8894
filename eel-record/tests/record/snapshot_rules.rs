//! Guards against a snapshot that falls back to an older version of a record, or loses a model that is in use.

use eel_record::{RecordKey, Snapshot, StoredRecord};
use eel_types::Revision;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::json;

fn stored(path: &str, revision: u64, text: &str) -> StoredRecord {
    StoredRecord {
        path: path.into(),
        revision: Revision(revision),
        value: text.as_bytes().to_vec(),
    }
}

fn service(revision: u64, schema: u32, model: &str, slots: u32) -> StoredRecord {
    let spec = json!({ "pool": "p", "protocol": "openai", "model": model, "slots": slots,
        "limits": { "slots": slots } });
    let record = json!({ "schema": schema, "kind": "service", "name": "s", "spec": spec });
    stored("service/s", revision, &record.to_string())
}

fn model(revision: u64, name: &str) -> StoredRecord {
    let spec = json!({ "version": "v", "weights": "w" });
    let record = json!({ "schema": 1, "kind": "model", "name": name, "spec": spec });
    stored(&format!("model/{name}"), revision, &record.to_string())
}

fn start() -> Snapshot {
    let records = [model(2, "m"), service(3, 1, "m", 1)];
    let outcome = Snapshot::from_records(Revision(3), &Snapshot::default(), records);
    assert!(
        outcome.problems.iter().all(|p| p.field == "spec.limits"),
        "{:?}",
        outcome.problems
    );
    outcome.snapshot
}

/// Name, next content of the store, slots and revision of the service then in force, and the reported problem.
type Case = (
    &'static str,
    Vec<StoredRecord>,
    Option<(u32, u64)>,
    &'static str,
);

#[test]
fn refused_versions_keep_the_old() {
    let cases: [Case; 9] = [
        (
            "valid",
            vec![model(2, "m"), service(5, 1, "m", 4)],
            Some((4, 5)),
            "unknown field",
        ),
        (
            "schema 2",
            vec![model(2, "m"), service(5, 2, "m", 4)],
            Some((4, 5)),
            "unknown field",
        ),
        (
            "too new",
            vec![model(2, "m"), service(5, 3, "m", 4)],
            Some((1, 3)),
            "schema 3 is newer",
        ),
        (
            "invalid",
            vec![model(2, "m"), service(5, 1, "m", 0)],
            Some((1, 3)),
            "0 is not allowed",
        ),
        (
            "not JSON",
            vec![model(2, "m"), stored("service/s", 5, "{")],
            Some((1, 3)),
            "EOF",
        ),
        (
            "misplaced",
            vec![
                model(2, "m"),
                stored(
                    "service/s",
                    5,
                    std::str::from_utf8(&model(5, "m").value).unwrap(),
                ),
            ],
            Some((1, 3)),
            "stored as service/s",
        ),
        (
            "unknown model",
            vec![model(2, "m"), service(5, 1, "n", 4)],
            Some((1, 3)),
            "no record model/n exists",
        ),
        (
            "older revision",
            vec![model(2, "m"), service(2, 1, "m", 4)],
            Some((1, 3)),
            "revision 2 is older than 3",
        ),
        ("deleted", vec![model(2, "m")], None, ""),
    ];
    for (name, records, expected, problem) in cases {
        let outcome = Snapshot::from_records(Revision(5), &start(), records);
        let slots = outcome.snapshot.services.get("s").map(|s| s.slots);
        let key: RecordKey = "service/s".parse().unwrap();
        let revision = outcome.snapshot.in_force.get(&key).map(|r| r.0);
        assert_eq!(slots.zip(revision), expected, "{name}");
        let texts: Vec<_> = outcome.problems.iter().map(ToString::to_string).collect();
        assert!(
            problem.is_empty() || texts.iter().any(|t| t.contains(problem)),
            "{name}: {texts:?}"
        );
    }
}

#[test]
fn model_in_use_stays() {
    let outcome = Snapshot::from_records(Revision(5), &start(), [service(3, 1, "m", 1)]);
    assert!(outcome.snapshot.models.contains_key("m"));
    let texts: Vec<_> = outcome.problems.iter().map(ToString::to_string).collect();
    assert_eq!(texts, ["service/s: spec.model: no record model/m exists"]);
}

#[test]
fn new_service_waits_for_its_model() {
    let first = Snapshot::from_records(Revision(3), &Snapshot::default(), [service(3, 1, "m", 1)]);
    assert!(first.snapshot.services.is_empty());
    let records = [service(3, 1, "m", 1), model(4, "m")];
    let second = Snapshot::from_records(Revision(4), &first.snapshot, records);
    assert!(second.snapshot.services.contains_key("s"));
}

/// An update from the store with an arbitrary revision and arbitrary record versions.
#[derive(Clone, Debug)]
struct Message {
    revision: u64,
    service: Option<(u64, u32, u32)>,
    model: Option<u64>,
}

impl Arbitrary for Message {
    fn arbitrary(g: &mut Gen) -> Self {
        let revision = u64::arbitrary(g) % 12;
        let service = Option::<(u64, u32, u32)>::arbitrary(g);
        Self {
            revision,
            service: service.map(|(r, schema, slots)| (r % 12, schema % 3 + 1, slots % 4)),
            model: Option::<u64>::arbitrary(g).map(|r| r % 12),
        }
    }
}

fn never_goes_down(messages: Vec<Message>) -> bool {
    let mut snapshot = Snapshot::default();
    for message in messages {
        let service = message
            .service
            .map(|(r, schema, slots)| service(r, schema, "m", slots));
        let records = service
            .into_iter()
            .chain(message.model.map(|r| model(r, "m")));
        let next = Snapshot::from_records(Revision(message.revision), &snapshot, records).snapshot;
        let kept = snapshot.in_force.iter();
        let went_down = kept
            .clone()
            .any(|(key, r)| next.in_force.get(key).is_some_and(|n| n < r));
        let has_models = next
            .services
            .values()
            .all(|s| next.models.contains_key(s.model.as_ref().unwrap()));
        if went_down || next.revision < snapshot.revision || !has_models {
            return false;
        }
        snapshot = next;
    }
    true
}

#[test]
fn revisions_never_go_down() {
    const SEED: u64 = 0x5eed_0005;
    println!("seed {SEED:#x}");
    let property: fn(Vec<Message>) -> bool = never_goes_down;
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(20, SEED))
        .quickcheck(property);
}
