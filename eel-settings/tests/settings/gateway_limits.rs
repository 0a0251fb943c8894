//! Guards against limits of a gateway node that leave no room for an idle process, and against a missing section that
//! changes what callers may use.

use std::path::PathBuf;

use eel_settings::{GatewayLimitSettings, GatewaySettings};

const GOOD: &str = "\
[node]
name = a
data_centre = b
[listen]
peers = 127.0.0.1:1
admin = 127.0.0.1:2
[store]
endpoint = http://127.0.0.1:3
";

fn parse(limits: &str) -> Result<GatewayLimitSettings, String> {
    GatewaySettings::parse(&format!("{GOOD}{limits}"), "t.ini", PathBuf::new())
        .map(|it| it.limits)
        .map_err(|error| error.to_string())
}

#[test]
fn optional_keys() {
    let cases = [
        ("", None, None),
        ("[limits]\n", None, None),
        (
            "[limits]\nmemory_mb = 120\nmax_descriptors = 3150\n",
            Some(120),
            Some(3_150),
        ),
    ];
    for (text, memory_mb, max_descriptors) in cases {
        let expected = GatewayLimitSettings {
            memory_mb,
            max_descriptors,
        };
        assert_eq!(parse(text), Ok(expected), "{text}");
    }
}

#[test]
fn too_small() {
    let cases = [
        (
            "memory_mb = 31",
            "t.ini:10: [limits] memory_mb: '31' is not a whole number from 32 to",
        ),
        (
            "max_descriptors = 127",
            "t.ini:10: [limits] max_descriptors: '127' is not a whole number from 128 to",
        ),
        ("memory_mb = 1.5", "t.ini:10: [limits] memory_mb: '1.5'"),
        (
            "memory = 120",
            "t.ini:10: [limits] memory: unknown key, allowed are memory_mb, max_descriptors",
        ),
    ];
    for (line, expected) in cases {
        let error = parse(&format!("[limits]\n{line}\n")).unwrap_err();
        assert!(error.starts_with(expected), "{error}");
    }
}
