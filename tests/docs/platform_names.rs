//! Names of the users' platform occur only in its adapter, `eel-platform`.
//!
//! Guards against other crates that depend on the platform, which happens when its wire or store names are used
//! directly.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Names that the platform uses on the wire and in its store.
const NAMES: [&str; 18] = [
    "x-eelgrassgap-",
    "/eelgrassgap/readiness",
    "/eelgrassgap/lots",
    "/eelgrassgap/items",
    "kv-txn",
    "kv-range",
    "kv-watch",
    "kv-lease",
    "op/config",
    "op/retire",
    "servers/",
    "pathPrefix",
    "routeType",
    "maxQueueS",
    "expectRev",
    "EELGRASSGAP_NODE_FILE",
    "nodeName",
    "gapAimMs",
];

/// Returns the source files of every crate except the adapter.
fn sources() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut directories = vec![root.join("src")];
    for entry in fs::read_dir(root).expect("a directory") {
        let path = entry.expect("an entry").path();
        let is_crate = path
            .file_name()
            .is_some_and(|name| name.to_string_lossy().starts_with("eel-"));
        directories.extend(is_crate.then(|| path.join("src")));
    }
    let mut files = Vec::new();
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(directory).expect("a directory") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                directories.push(path);
            } else {
                files.push(path);
            }
        }
    }
    files
}

#[test]
fn adapter_only() {
    let files = sources();
    assert!(files.len() > 100, "{} files", files.len());
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file");
        for name in NAMES {
            assert!(!text.contains(name), "{name} occurs in {}", file.display());
        }
    }
}
