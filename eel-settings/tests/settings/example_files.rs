//! Guards against annotated example files in `etc/` that no longer load, so that an operator who copies one cannot
//! start a node.

use std::path::{Path, PathBuf};

use eel_settings::{EntrySettings, TargetSettings};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../etc")
        .join(name)
}

#[test]
fn entry_example() {
    let settings = EntrySettings::load(&example("entry.ini")).unwrap();
    assert_eq!(settings.node.data_centre.as_str(), "cascadia-a");
    assert_eq!(settings.store.prefix.as_str(), "/eelgrassgap");
    assert_eq!(settings.tls.key, example("tls/entry-1.key"));
    assert_eq!(settings.telemetry.log_file, None);
    assert!(settings.batch.enabled);
}

#[test]
fn target_example() {
    let settings = TargetSettings::load(&example("target.ini")).unwrap();
    assert_eq!(settings.node.pool.as_str(), "scribe-runners");
    assert_eq!(settings.target.url.as_str(), "http://127.0.0.1:8000");
    assert!(!settings.target.honours_fencing);
}

#[test]
fn missing_file() {
    let err = EntrySettings::load(&example("none.ini")).unwrap_err();
    assert!(err.to_string().starts_with("cannot read the settings file"));
}
