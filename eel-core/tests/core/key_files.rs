//! Guards against generated certificates that nodes cannot load, existing ones that are overwritten by a second run of
//! the command, and private keys that other users can read.

use std::{fs, os::unix::fs::PermissionsExt as _};

use eel_core::keys::{Options, Outcome, keys};
use eel_wire::credentials::{CredentialPaths, Credentials};

#[test]
fn node_credentials_load() {
    let temporary = tempfile::tempdir().unwrap();
    let directory = temporary.path().join("tls");
    let authority = Options::Authority {
        directory: directory.clone(),
    };
    keys(&authority).unwrap();
    let node = |name: &str, replace| Options::Node {
        directory: directory.clone(),
        name: name.into(),
        replace,
    };
    let Outcome::Certificate { certificate, key } = keys(&node("vm-1", false)).unwrap() else {
        panic!("no certificate");
    };
    assert_eq!(
        fs::metadata(&key).unwrap().permissions().mode() & 0o777,
        0o600
    );
    let paths = CredentialPaths {
        ca: directory.join("ca.pem"),
        certificate: certificate.clone(),
        key,
    };
    Credentials::load(&paths).unwrap();

    let before = fs::read(&certificate).unwrap();
    assert!(keys(&node("vm-1", false)).is_err());
    assert_eq!(fs::read(&certificate).unwrap(), before);
    keys(&node("vm-1", true)).unwrap();
    assert_ne!(fs::read(&certificate).unwrap(), before);
    Credentials::load(&paths).unwrap();

    for refused in ["ca", "../vm", ""] {
        assert!(keys(&node(refused, true)).is_err());
    }
    assert!(keys(&authority).is_err());
}

#[test]
fn caller_key_matches_its_digest() {
    let made = keys(&Options::Caller { secret: [7; 32] }).unwrap();
    let Outcome::Caller { key, sha256 } = made else {
        panic!("no caller key");
    };
    assert_eq!(key, format!("eel-{}", "07".repeat(32)));
    assert_eq!(sha256.len(), 64);
}
