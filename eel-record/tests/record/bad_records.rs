//! Guards against mistakes in a record file that the operator cannot find: each must be reported with its line, its
//! field and the allowed values.

use std::fs;

use eel_record::{load_directory, parse_file};

/// Builds a record file in which the lines of `spec` start at line 5.
fn file(schema: u32, kind: &str, spec: &str) -> String {
    format!(
        "{{\n\"schema\": {schema},\n\"kind\": \"{kind}\", \"name\": \"x\",\n\"spec\": {{\n{spec}\n}}\n}}"
    )
}

/// Schema version, kind, `spec` and the expected start of the message.
const MISTAKES: &[(u32, &str, &str, &str)] = &[
    (
        1,
        "service",
        "\"pool\": \"p\",\n\"protocol\": \"gopher\"",
        "f:6: service/x: spec.protocol: unknown variant `gopher`, expected `openai` or `plain`",
    ),
    (
        1,
        "service",
        "\"protocol\": \"plain\"",
        "f:4: service/x: spec: missing field `pool`",
    ),
    (
        1,
        "service",
        "\"pool\": \"p\",\n\"protocol\": \"plain\",\n\"max_queue\": -1",
        "f:7: service/x: spec.max_queue: invalid value: integer `-1`",
    ),
    (
        1,
        "service",
        "\"pool\": \"p\",\n\"protocol\": \"plain\",\n\"max_queue\": 100001",
        "f:7: service/x: spec.max_queue: 100001 is not allowed, allowed is 0 to 100000",
    ),
    (
        2,
        "service",
        "\"pool\": \"p\",\n\"protocol\": \"plain\",\n\"limits\": {\n\"queue\": 100001 }",
        "f:8: service/x: spec.limits.queue: 100001 is not allowed",
    ),
    (
        2,
        "service",
        "\"pool\": \"p\",\n\"protocol\": \"openai\"",
        "f:4: service/x: spec.model: none is not allowed, allowed is the model that it runs",
    ),
    (
        2,
        "service",
        "\"pool\": \"p\", \"protocol\": \"plain\",\n\"class\": \"batch\"",
        "f:6: service/x: spec.class: batch is not allowed, allowed is urgent or interactive",
    ),
    (
        2,
        "service",
        "\"pool\": \"p\", \"protocol\": \"plain\",\n\"routes\": [\n{\"method\": \"post\", \"path_prefix\": \"/\", \"repeatable\": true}]",
        "f:7: service/x: spec.routes[0].method: post is not allowed",
    ),
    (
        2,
        "model",
        "\"versions\": [\n{\"name\": \"a\", \"weights\": \"w\", \"share_percent\": 40}]",
        "f:5: model/x: spec.versions: a total share of 40% is not allowed",
    ),
    (
        1,
        "model",
        "\"version\": \"a\",\n\"weights\": \"\"",
        "f:6: model/x: spec.weights: '' is not allowed",
    ),
    (
        1,
        "caller",
        "\"services\": [\"*\"],\n\"key_sha256\": \"AB\"",
        "f:6: caller/x: spec.key_sha256: 'AB' is not allowed, allowed is 64 hexadecimal digits",
    ),
    (
        2,
        "job",
        "\"caller\": \"c\", \"service\": \"s\", \"deadline_unix_ms\": 1",
        "f:4: job/x: spec.items: 0 items is not allowed",
    ),
    (
        3,
        "service",
        "\"anything\": 1",
        "f:2: service/x: schema: schema 3 is newer than 2",
    ),
    (0, "service", "", "f:2: schema: 0 is not 1 or 2"),
    (
        1,
        "server",
        "",
        "f:3: kind: 'server' is not one of model, service, caller, job",
    ),
    (
        1,
        "service",
        "\"pool\": \"p\",\n\"protocol\": ",
        "f:7: expected value at line 7",
    ),
    (
        1,
        "service",
        "\"pool\": \"p\", \"protocol\": \"plain\",\n\"slot\": 1",
        "f:6: service/x: spec.slot: warning: unknown field",
    ),
];

#[test]
fn mistakes_name_their_line() {
    for (schema, kind, spec, expected) in MISTAKES {
        let (_, problems) = parse_file("f", &file(*schema, kind, spec));
        let texts: Vec<_> = problems.iter().map(ToString::to_string).collect();
        assert_eq!(texts.len(), 1, "{expected}: {texts:?}");
        assert!(texts[0].starts_with(expected), "{expected}: {texts:?}");
    }
}

#[test]
fn references_and_duplicates() {
    let directory = tempfile::tempdir().unwrap();
    let service = file(
        1,
        "service",
        "\"pool\": \"p\", \"protocol\": \"openai\",\n\"model\": \"none\"",
    );
    let caller = file(
        1,
        "caller",
        "\"key_sha256\": \"0\",\n\"services\": [\"x\",\n\"y\"]",
    );
    let caller = caller.replace("\"0\"", &format!("\"{}\"", "0".repeat(64)));
    fs::write(
        directory.path().join("a.json"),
        format!("[\n{service},\n{service}]"),
    )
    .unwrap();
    fs::write(directory.path().join("b.json"), caller).unwrap();
    fs::write(directory.path().join("notes.txt"), "not a record").unwrap();
    let declarations = load_directory(directory.path()).unwrap();
    let prefix = format!("{}/", directory.path().display());
    let problems = declarations.problems.iter();
    let texts: Vec<_> = problems
        .map(|p| p.to_string().replace(&prefix, ""))
        .collect();
    let expected = [
        "a.json:12: service/x: name: declared twice, first in a.json:2"
            .replace("first in ", &format!("first in {prefix}")),
        "a.json:7: service/x: spec.model: no record model/none exists".to_owned(),
        "b.json:7: caller/x: spec.services[1]: no record service/y exists".to_owned(),
    ];
    let mut expected: Vec<_> = expected.iter().map(|e| e.replace(&prefix, "")).collect();
    expected.sort();
    let mut texts = texts;
    texts.sort();
    assert_eq!(texts, expected);
    assert!(declarations.has_errors());
}
