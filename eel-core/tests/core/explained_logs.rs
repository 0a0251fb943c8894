//! Guards against an `explain` that misleads the operator: lines of several logs that are not in order of time, and
//! lines of another id that merely contains the requested one, such as `j11` for `j1`.

use std::fs;

use eel_core::{
    Exit,
    explain::{Options, explain},
};

#[test]
fn lines_in_order() {
    let directory = tempfile::tempdir().expect("a directory");
    let (front, worker) = (
        directory.path().join("front"),
        directory.path().join("worker"),
    );
    let lines = "front-1 {\"unix_ms\":30,\"level\":\"INFO\",\"part\":\"jobs\",\"message\":\"A job was decided.\",\"job\":\"j1\",\"status\":202}\n\
                 front-1 {\"unix_ms\":31,\"level\":\"INFO\",\"part\":\"jobs\",\"message\":\"A job was decided.\",\"job\":\"j11\"}\n\
                 not a line of the product about j1\n\
                 {\"unix_ms\":32,\"message\":\"broken\",\"job\":\"j1\"\n";
    fs::write(&front, lines).expect("a file");
    let earlier = "{\"unix_ms\":20,\"level\":\"INFO\",\"part\":\"jobs\",\"message\":\"Earlier.\",\"job\":\"j1\"}\n";
    fs::write(&worker, earlier).expect("a file");
    let outcome = explain(&Options {
        id: "j1".into(),
        files: vec![front, worker],
    })
    .expect("an outcome");
    let found: Vec<_> = outcome
        .lines
        .iter()
        .map(|line| (line.unix_ms, line.source.as_str()))
        .collect();
    assert_eq!(found, [(20, ""), (30, "front-1")]);
    assert_eq!(outcome.exit(), Exit::Success);
    assert!(
        outcome
            .to_string()
            .ends_with("30 front-1 jobs: A job was decided. job=\"j1\" status=202")
    );
}

#[test]
fn nothing_found() {
    let directory = tempfile::tempdir().expect("a directory");
    let log = directory.path().join("log");
    fs::write(&log, "").expect("a file");
    let outcome = explain(&Options {
        id: "j1".into(),
        files: vec![log.clone()],
    })
    .expect("an outcome");
    assert_eq!(outcome.exit(), Exit::Invalid);
    let missing = Options {
        id: "j1".into(),
        files: vec![log.join("missing")],
    };
    assert!(explain(&missing).is_err());
}
