//! Guards against a choice of targets that changes without the operator's word, and against a misspelt setting that has no
//! effect.

use std::path::PathBuf;

use eel_settings::GatewaySettings;

const GOOD: &str = "\
[node]
name = a
data_centre = b
[listen]
peers = 127.0.0.1:1
admin = 127.0.0.1:1
[store]
endpoint = http://127.0.0.1:2
";

fn parse(section: &str) -> Result<GatewaySettings, String> {
    let parsed = GatewaySettings::parse(&format!("{GOOD}{section}"), "g.ini", PathBuf::from("/"));
    parsed.map_err(|err| err.to_string())
}

#[test]
fn values_apply() {
    let cases = [
        ("", (false, false)),
        ("[placement]\nspeed_aware = true\n", (true, false)),
        ("[placement]\nwarm_up = true\n", (false, true)),
    ];
    for (section, expected) in cases {
        let placement = parse(section).expect("valid settings").placement;
        assert_eq!(
            (placement.speed_aware, placement.warm_up),
            expected,
            "{section}"
        );
    }
}

#[test]
fn mistakes_name_their_line() {
    for section in [
        "[placement]\nwarm_up = soon\n",
        "[placement]\nwarmup = true\n",
    ] {
        let err = parse(section).expect_err("invalid settings");
        assert!(err.contains("g.ini:10: [placement] warm"), "{err}");
    }
}
