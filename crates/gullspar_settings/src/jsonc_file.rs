//! A file of JSON with comments, whose properties keep their position.

use std::collections::BTreeMap;
use std::fmt::Display;

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};
use serde::de::DeserializeOwned;

use crate::{Finding, Findings};

/// A property and the byte offset at which it starts.
struct Property {
    offset: usize,
    value: serde_json::Value,
}

/// The properties of a file that were not read yet, and the errors found so far.
pub struct JsoncFile {
    name: String,
    text: String,
    properties: BTreeMap<String, Property>,
    findings: Vec<(usize, String)>,
}

impl JsoncFile {
    /// Parses `text`, the content of the file `name`.
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
                    file.add_property(property);
                }
                Ok(file)
            }
            Ok(_) => {
                file.add_finding(0, "the file must hold one object, { … }");
                Err(file.into_findings())
            }
            Err(err) => {
                file.add_finding(err.range().start, err.kind());
                Err(file.into_findings())
            }
        }
    }

    fn add_property(&mut self, property: ObjectProp<'_>) {
        let name = property.name.as_str().to_owned();
        let offset = property.start();
        if self.properties.contains_key(&name) {
            self.add_finding(offset, format!("`{name}` is given twice"));
            return;
        }
        let value = serde_json::Value::from(property.value);
        self.properties.insert(name, Property { offset, value });
    }

    /// Adds an error at a byte offset.
    fn add_finding(&mut self, offset: usize, text: impl Display) {
        self.findings.push((offset, text.to_string()));
    }

    /// Reads the option `name`. A missing or invalid option is added to the findings.
    pub fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        if !self.properties.contains_key(name) {
            self.add_finding(0, format!("`{name}` must be given"));
            return None;
        }
        self.optional(name)
    }

    /// Reads the option `name` if it is given. An invalid option is added to the findings.
    pub fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let property = self.properties.remove(name)?;
        match serde_json::from_value(property.value) {
            Ok(value) => Some(value),
            Err(err) => {
                self.add_finding(property.offset, format!("`{name}`: {err}"));
                None
            }
        }
    }

    /// Reports all options that were not read as unknown, and returns `settings` if there are no findings.
    pub fn finish<T>(mut self, known: &[&str], settings: Option<T>) -> Result<T, Findings> {
        for (name, property) in std::mem::take(&mut self.properties) {
            let suggestion = known.iter().find(|it| is_similar(it, &name));
            let hint = suggestion.map_or(String::new(), |it| format!("; did you mean `{it}`?"));
            self.add_finding(property.offset, format!("unknown option `{name}`{hint}"));
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

/// Whether two names differ in at most two positions, and in length by at most two characters.
fn is_similar(one: &str, other: &str) -> bool {
    let same = one.chars().zip(other.chars()).filter(|(a, b)| a == b).count();
    one.len().abs_diff(other.len()) <= 2 && same + 2 >= one.len().min(other.len())
}
