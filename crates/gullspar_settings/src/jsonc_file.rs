//! A file of JSON with comments, whose properties know their place.

use std::collections::BTreeMap;
use std::fmt::Display;

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};
use serde::de::DeserializeOwned;

use crate::{Finding, Findings};

struct Property {
    offset: usize,
    value: serde_json::Value,
}

/// The properties of a file and what was found wrong so far.
pub struct JsoncFile {
    name: String,
    text: String,
    properties: BTreeMap<String, Property>,
    findings: Vec<(usize, String)>,
}

impl JsoncFile {
    /// Reads `text`, which stands in the file `name`.
    pub fn parse(name: &str, text: &str) -> Result<JsoncFile, Findings> {
        let mut file = JsoncFile {
            name: name.to_owned(),
            text: text.to_owned(),
            properties: BTreeMap::new(),
            findings: Vec::new(),
        };
        let parsed =
            jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
        match parsed.map(|it| it.value) {
            Ok(Some(Value::Object(object))) => {
                for property in object.properties {
                    file.take(property);
                }
                Ok(file)
            }
            Ok(_) => {
                file.find(0, "the file must hold one object, { … }");
                Err(file.into_findings())
            }
            Err(err) => {
                file.find(err.range().start, err.kind());
                Err(file.into_findings())
            }
        }
    }

    fn take(&mut self, property: ObjectProp<'_>) {
        let name = property.name.as_str().to_owned();
        let offset = property.start();
        if self.properties.contains_key(&name) {
            self.find(offset, format!("`{name}` is given twice"));
            return;
        }
        let value = serde_json::Value::from(property.value);
        self.properties.insert(name, Property { offset, value });
    }

    /// Notes something wrong at a byte offset.
    fn find(&mut self, offset: usize, text: impl Display) {
        self.findings.push((offset, text.to_string()));
    }

    /// Takes the option `name`; a missing or wrong one becomes a finding.
    pub fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        if !self.properties.contains_key(name) {
            self.find(0, format!("`{name}` must be given"));
            return None;
        }
        self.optional(name)
    }

    /// Takes the option `name` if it is there; a wrong one becomes a finding.
    pub fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let property = self.properties.remove(name)?;
        match serde_json::from_value(property.value) {
            Ok(value) => Some(value),
            Err(err) => {
                self.find(property.offset, format!("`{name}`: {err}"));
                None
            }
        }
    }

    /// Ends the reading: what nobody asked for is unknown.
    pub fn finish<T>(mut self, known: &[&str], settings: Option<T>) -> Result<T, Findings> {
        for (name, property) in std::mem::take(&mut self.properties) {
            let nearest = known.iter().find(|it| is_near(it, &name));
            let hint = nearest.map_or(String::new(), |it| format!("; did you mean `{it}`?"));
            self.find(property.offset, format!("unknown option `{name}`{hint}"));
        }
        match settings {
            Some(settings) if self.findings.is_empty() => Ok(settings),
            _ => Err(self.into_findings()),
        }
    }

    fn into_findings(mut self) -> Findings {
        self.findings.sort();
        let findings = self
            .findings
            .iter()
            .map(|(offset, text)| {
                let before = &self.text[..(*offset).min(self.text.len())];
                let line = before.matches('\n').count() + 1;
                let column = before.chars().rev().take_while(|it| *it != '\n').count() + 1;
                Finding { line, column, text: text.clone() }
            })
            .collect();
        Findings { file: self.name, findings }
    }
}

/// Whether two names differ by at most two letters in the same place or at the end.
fn is_near(one: &str, other: &str) -> bool {
    let same = one.chars().zip(other.chars()).filter(|(a, b)| a == b).count();
    one.len().abs_diff(other.len()) <= 2 && same + 2 >= one.len().min(other.len())
}
