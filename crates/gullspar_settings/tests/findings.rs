//! Settings files and all that is found wrong in them.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use gullspar_settings::InstanceSettings;
use test_case::test_case;

#[test]
fn a_sound_file_is_read_with_its_defaults() {
    let text = include_str!("../resources/test/sound.jsonc");
    let settings = InstanceSettings::parse("sound.jsonc", text).unwrap();
    assert_eq!(settings.id.as_str(), "mid-1");
    assert_eq!((settings.gossip_ms, settings.seeds.len()), (200, 0));
}

#[test_case("many_findings", include_str!("../resources/test/many_findings.jsonc"))]
#[test_case("no_comma", include_str!("../resources/test/no_comma.jsonc"))]
#[test_case("no_object", include_str!("../resources/test/no_object.jsonc"))]
#[test_case("empty", "")]
fn everything_wrong_is_reported_at_its_place(name: &str, text: &str) {
    let findings = InstanceSettings::parse(&format!("{name}.jsonc"), text).unwrap_err();
    insta::assert_snapshot!(name, findings.to_string());
}
