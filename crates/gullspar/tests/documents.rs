//! Compares documentation pages, the deployment template and lab files with the code.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use gullspar_lab::LabSettings;
use gullspar_settings::{DirectSettings, InstanceSettings, render_reference};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn collect_source_files(folder: &Path, out: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_source_files(&path, out);
        } else if path.extension().is_some_and(|it| it == "rs") {
            out.push(path);
        }
    }
}

/// The event numbers at the start of log messages: a quote, a letter and four digits.
fn log_events_in_code() -> BTreeSet<String> {
    let mut files = Vec::new();
    for package in std::fs::read_dir(root().join("crates")).unwrap().flatten() {
        collect_source_files(&package.path().join("src"), &mut files);
    }
    collect_source_files(&root().join("platform/src"), &mut files);
    let mut events = BTreeSet::new();
    for file in files {
        let text = std::fs::read_to_string(file).unwrap();
        for (at, _) in text.match_indices('"') {
            let Some(word) = text.get(at + 1..at + 6) else { continue };
            let (letter, digits) = word.split_at(1);
            let numbered = digits.bytes().all(|it| it.is_ascii_digit());
            if matches!(letter, "G" | "L") && numbered {
                events.insert(word.to_owned());
            }
        }
    }
    events
}

/// Guards against log events that the page of log events does not list, and listed events that are not in the code.
#[test]
fn every_log_event_is_in_the_catalogue_and_no_other() {
    let page = std::fs::read_to_string(root().join("docs/log-events.md")).unwrap();
    let listed: BTreeSet<String> = page
        .lines()
        .filter_map(|it| it.strip_prefix("| "))
        .filter_map(|it| it.get(..5))
        .filter(|it| it.starts_with(['G', 'L']) && it[1..].bytes().all(|it| it.is_ascii_digit()))
        .map(str::to_owned)
        .collect();
    let used = log_events_in_code();
    assert!(used.len() > 20, "too few log events were found in the code");
    assert_eq!(listed, used);
}

/// Guards against log messages that operators cannot look up because they have no event number.
#[test]
fn every_log_call_carries_a_number() {
    let mut files = Vec::new();
    for package in std::fs::read_dir(root().join("crates")).unwrap().flatten() {
        collect_source_files(&package.path().join("src"), &mut files);
    }
    collect_source_files(&root().join("platform/src"), &mut files);
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        for (at, _) in text.match_indices("log::") {
            let call = &text[at..];
            let Some((level, rest)) = call["log::".len()..].split_once("!(") else { continue };
            if !["error", "warn", "info", "debug", "trace"].contains(&level) {
                continue;
            }
            // The fields of a log call come before its message and end with a semicolon.
            let values_end = rest.split_once("\");").and_then(|(call, _)| call.rfind("; \""));
            let message = values_end.map_or(rest, |at| &rest[at + 1..]);
            let message = message.trim_start().strip_prefix('"').unwrap_or("");
            let numbered = message.starts_with(['G', 'L'])
                && message[1..5].bytes().all(|it| it.is_ascii_digit());
            assert!(numbered, "{}: log::{level} without a number", file.display());
        }
    }
}

#[test]
fn the_settings_page_is_the_one_generated() {
    let page = std::fs::read_to_string(root().join("docs/settings.md")).unwrap();
    let generated = render_reference("Settings of an instance", &InstanceSettings::options());
    assert_eq!(page, generated, "run: cargo run -p gullspar -- settings > docs/settings.md");
}

#[test]
fn the_page_of_direct_settings_is_the_one_generated() {
    let page = std::fs::read_to_string(root().join("docs/settings-direct.md")).unwrap();
    let title = "Settings of an instance that connects directly";
    let generated = render_reference(title, &DirectSettings::options());
    let hint = "run: cargo run -p gullspar -- settings --direct > docs/settings-direct.md";
    assert_eq!(page, generated, "{hint}");
}

/// Guards against a deployment template that does not produce valid settings once the platform has
/// filled it in.
#[test]
fn the_deployed_template_gives_valid_settings() {
    let mut text = std::fs::read_to_string(root().join("deploy/instance.jsonc")).unwrap();
    let values = [
        ("{{nodeName|json}}", "\"front-1\""),
        ("{{zone|json}}", "\"derby-a\""),
        ("{{limits.cpuShare|json}}", "0.12"),
        ("{{listen.front|json}}", "\"10.1.0.8:8784\""),
        ("{{listen.ready|json}}", "\"10.1.0.8:8785\""),
        ("{{ip}}", "10.1.0.8"),
        ("{{internalPorts.0}}", "7440"),
        ("{{#seeds}}{{.|json}}{{,}}{{/seeds}}", "\"10.1.0.8:8782\", \"10.2.0.6:8782\""),
        ("{{platform.address|json}}", "\"10.200.1.7:8783\""),
        ("{{cloudApi.address|json}}", "\"10.200.0.160:8783\""),
        ("{{#bounds.leaseMs}}{{.|json}}{{/bounds.leaseMs}}", ""),
        ("{{^bounds.leaseMs}}3000{{/bounds.leaseMs}}", "3000"),
        ("{{#bounds.drainMs}}{{.|json}}{{/bounds.drainMs}}", "7100"),
        ("{{^bounds.drainMs}}7000{{/bounds.drainMs}}", ""),
        ("{{bounds.graceS|json}}", "6.5"),
    ];
    for (placeholder, value) in values {
        assert!(text.contains(placeholder), "{placeholder} is not in the template");
        text = text.replace(placeholder, value);
    }
    let settings = DirectSettings::parse("instance.jsonc", &text).unwrap();
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.processor_cores.thousandths(), 120);
    assert_eq!(settings.grace_s.duration().as_millis(), 6500);
    assert_eq!(settings.leaving_target_ms, 7100);
}

#[test]
fn the_lab_files_are_valid() {
    for name in ["midshire", "kahurangi"] {
        let text = std::fs::read_to_string(root().join(format!("labs/{name}.jsonc"))).unwrap();
        let settings = LabSettings::parse(name, &text).unwrap();
        assert_eq!(settings.services.len(), 3);
    }
}

/// Guards against links in the documentation whose file does not exist.
#[test]
fn links_in_pages_lead_to_existing_files() {
    let mut pages = vec![root().join("README.md"), root().join("CONTRIBUTING.md")];
    for folder in ["docs", "docs/design", "docs/incidents"] {
        let entries = std::fs::read_dir(root().join(folder)).unwrap().flatten();
        pages.extend(entries.map(|it| it.path()).filter(|it| it.extension().is_some()));
    }
    for page in pages {
        let text = std::fs::read_to_string(&page).unwrap();
        for link in text.split("](").skip(1).filter_map(|it| it.split_once(')')) {
            let target = link.0.split('#').next().unwrap();
            let exists = page.parent().unwrap().join(target).exists();
            assert!(exists, "{}: the link to {target} is broken", page.display());
        }
    }
}
