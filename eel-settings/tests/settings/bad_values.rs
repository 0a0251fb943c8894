//! Guards against mistakes in a settings file that the operator cannot find or finds one start at a time: each kind
//! must be reported with its line, and all mistakes of a file at once.

use std::path::PathBuf;

use eel_settings::TargetSettings;

const GOOD: &str = "\
[node]
name = a
data_centre = b
pool = c
[listen]
quic = 127.0.0.1:1
admin = 127.0.0.1:2
[target]
url = http://127.0.0.1:3/
[tls]
ca = ca.pem
certificate = cert.pem
key = /keys/key.pem
";

fn parse(text: &str) -> Result<TargetSettings, String> {
    TargetSettings::parse(text, "t.ini", PathBuf::from("/etc/eel")).map_err(|err| err.to_string())
}

#[test]
fn defaults_apply() {
    let settings = parse(GOOD).unwrap();
    assert_eq!(settings.target.url.as_str(), "http://127.0.0.1:3");
    assert_eq!(settings.target.connect_timeout_ms, 1_000);
    assert_eq!(settings.drain.timeout_ms, 120_000);
    assert_eq!(settings.tls.ca, PathBuf::from("/etc/eel/ca.pem"));
    assert_eq!(settings.tls.key, PathBuf::from("/keys/key.pem"));
}

#[test]
fn mistakes_name_their_line() {
    let cases = [
        (
            "name = a",
            "name = a b",
            "t.ini:2: [node] name: 'a b' is not a name of 1 to 63",
        ),
        (
            "name = a",
            "nam = a",
            "t.ini:2: [node] nam: unknown key, allowed are name, data_centre, pool",
        ),
        ("name = a\n", "", "t.ini:1: [node] name: missing"),
        (
            "pool = c",
            "pool = c\npool = d",
            "t.ini:5: [node] pool: set twice, first on line 4",
        ),
        (
            "quic = 127.0.0.1:1",
            "quic = localhost:1",
            "t.ini:6: [listen] quic: 'localhost:1' is not an IP address",
        ),
        (
            "url = http://127.0.0.1:3/",
            "url = 127.0.0.1:3",
            "t.ini:9: [target] url: '127.0.0.1:3' is not an http://",
        ),
        (
            "[tls]",
            "connect_timeout_ms = 1s\n[tls]",
            "t.ini:10: [target] connect_timeout_ms: '1s' is not a whole number from 10 to 60000",
        ),
        (
            "[tls]",
            "connect_timeout_ms = 5\n[tls]",
            "t.ini:10: [target] connect_timeout_ms: '5' is not a whole number from 10 to 60000",
        ),
        (
            "[tls]",
            "connect_timeout = 50\n[tls]",
            "t.ini:10: [target] connect_timeout: unknown key",
        ),
        (
            "[tls]",
            "honours_fencing = yes\n[tls]",
            "t.ini:10: [target] honours_fencing: 'yes' is not true or false",
        ),
        (
            "[tls]",
            "[store]\n[tls]",
            "t.ini:10: [store] unknown section, allowed are node, listen",
        ),
        (
            "[node]",
            "stray = 1\n[node]",
            "t.ini:1: stray: unknown key, allowed are none above",
        ),
        (
            "[node]",
            "[telemetry]\nlog_level = loud\n[node]",
            "t.ini:2: [telemetry] log_level: 'loud' is not one of off, error",
        ),
        ("key = /keys/key.pem", "key", "t.ini:14: expecting"),
    ];
    for (from, to, expected) in cases {
        let error = parse(&GOOD.replacen(from, to, 1)).unwrap_err();
        assert!(error.contains(expected), "{to}: {error}");
    }
}

#[test]
fn all_mistakes_at_once() {
    let text = GOOD.replace("name = a", "nam = a").replace(":2", ":x");
    let error = parse(&text).unwrap_err();
    let lines: Vec<_> = error.lines().map(|line| &line[..7]).collect();
    assert_eq!(lines, ["t.ini:1", "t.ini:2", "t.ini:7"], "{error}");
}
