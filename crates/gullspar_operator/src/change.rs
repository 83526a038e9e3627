//! Differences between two configurations.

use gullspar_model::record;
use serde_json::Value;

record! {
    /// One difference between two configurations.
    pub struct Change {
        /// Path to the value: the field names and array indices from the outermost on, joined by dots.
        pub place: String,
        /// The old value as JSON; `None` for an added value.
        pub before: Option<String>,
        /// The new value as JSON; `None` for a removed value.
        pub after: Option<String>,
    }
}

impl Change {
    /// All differences between two values.
    pub fn between(before: &Value, after: &Value) -> Vec<Change> {
        let mut changes = Vec::new();
        compare("", Some(before), Some(after), &mut changes);
        changes
    }
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, out: &mut Vec<Change>) {
    let join =
        |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match (before, after) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
            names.sort();
            names.dedup();
            for name in names {
                compare(&join(name), old.get(name), new.get(name), out);
            }
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) => {
            for index in 0..old.len().max(new.len()) {
                compare(&join(&index.to_string()), old.get(index), new.get(index), out);
            }
        }
        (old, new) if old == new => {}
        (old, new) => out.push(Change {
            place: path.to_owned(),
            before: old.map(Value::to_string),
            after: new.map(Value::to_string),
        }),
    }
}
