//! Parsing of settings files and the errors reported for them.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use gullspar_settings::InstanceSettings;
use test_case::test_case;

/// Guards against rejecting a valid file or ignoring the defaults.
#[test]
fn a_valid_file_is_parsed_with_defaults() {
    let text = include_str!("../resources/test/sound.jsonc");
    let settings = InstanceSettings::parse("sound.jsonc", text).unwrap();
    assert_eq!(settings.id.as_str(), "mid-1");
    assert_eq!((settings.gossip_ms, settings.seeds.len()), (200, 0));
}

/// Guards against errors that are not reported, or reported at the wrong position.
#[test_case("many_findings", include_str!("../resources/test/many_findings.jsonc"))]
#[test_case("no_comma", include_str!("../resources/test/no_comma.jsonc"))]
#[test_case("no_object", include_str!("../resources/test/no_object.jsonc"))]
#[test_case("empty", "")]
fn all_errors_are_reported_with_their_position(name: &str, text: &str) {
    let findings = InstanceSettings::parse(&format!("{name}.jsonc"), text).unwrap_err();
    insta::assert_snapshot!(name, findings.to_string());
}
