//! Typed access to the fields of a document that collects all faults.

use crate::errors::DocumentFault;
use serde_json::{Map, Value};
use std::{collections::BTreeSet, ops::RangeInclusive};

/// `FaultCollector` reads fields of a document and records each fault with its path.
#[derive(Debug, Default)]
pub struct FaultCollector {
    faults: Vec<DocumentFault>,
}

impl FaultCollector {
    /// Records a fault at a path.
    pub fn add_fault(&mut self, path: &str, message: impl Into<String>) {
        self.faults.push(DocumentFault {
            path: path.to_owned(),
            message: message.into(),
        });
    }

    /// Returns the recorded faults.
    pub fn into_faults(self) -> Vec<DocumentFault> {
        self.faults
    }

    /// Reads a mapping, and reports unknown fields and missing required ones.
    pub fn mapping<'a>(
        &mut self,
        path: &str,
        value: &'a Value,
        required: &[&str],
        optional: &[&str],
    ) -> Option<&'a Map<String, Value>> {
        let Some(map) = value.as_object() else {
            self.add_fault(path, format!("must be a mapping, not {}", type_name(value)));

            return None;
        };

        for name in map.keys() {
            if !required.contains(&name.as_str()) && !optional.contains(&name.as_str()) {
                let known = [required, optional].concat().join(", ");
                self.add_fault(
                    &join(path, name),
                    format!("unknown field; known are {known}"),
                );
            }
        }

        for name in required {
            if !map.contains_key(*name) {
                self.add_fault(&join(path, name), "is required");
            }
        }

        Some(map)
    }

    /// Reads an optional list and checks its length; returns an empty one when it is absent or no
    /// list.
    pub fn list<'a>(
        &mut self,
        path: &str,
        map: &'a Map<String, Value>,
        name: &str,
        lengths: RangeInclusive<usize>,
    ) -> &'a [Value] {
        let path = join(path, name);
        let Some(value) = map.get(name) else {
            return &[];
        };
        let Some(list) = value.as_array() else {
            self.add_fault(&path, format!("must be a list, not {}", type_name(value)));

            return &[];
        };

        if !lengths.contains(&list.len()) {
            let (min, max) = (lengths.start(), lengths.end());
            self.add_fault(
                &path,
                format!("must have {min} to {max} entries, has {}", list.len()),
            );
        }

        list
    }

    /// Reads an optional integer and checks its range.
    pub fn number(
        &mut self,
        path: &str,
        map: &Map<String, Value>,
        name: &str,
        range: RangeInclusive<u64>,
        unit: &str,
    ) -> Option<u64> {
        let value = map.get(name)?;
        let number = value.as_u64().filter(|number| range.contains(number));

        if number.is_none() {
            let (min, max) = (range.start(), range.end());
            self.add_fault(
                &join(path, name),
                format!("must be a whole number from {min} to {max} {unit}, not {value}"),
            );
        }

        number
    }

    /// Checks that an optional field is a boolean.
    pub fn boolean(&mut self, path: &str, map: &Map<String, Value>, name: &str) {
        if let Some(value) = map.get(name)
            && !value.is_boolean()
        {
            self.add_fault(
                &join(path, name),
                format!("must be true or false, not {value}"),
            );
        }
    }

    /// Reads an optional string.
    pub fn text<'a>(
        &mut self,
        path: &str,
        map: &'a Map<String, Value>,
        name: &str,
    ) -> Option<&'a str> {
        let value = map.get(name)?;

        if !value.is_string() {
            self.add_fault(
                &join(path, name),
                format!("must be a text, not {}", type_name(value)),
            );
        }

        value.as_str()
    }

    /// Reports each string that occurred earlier in the sequence of paths and strings.
    pub fn check_unique<'a>(&mut self, texts: impl Iterator<Item = (String, &'a str)>) {
        let mut seen = BTreeSet::new();

        for (path, text) in texts {
            if !seen.insert(text) {
                self.add_fault(&path, format!("{text} stands here a second time"));
            }
        }
    }
}

/// Returns the path of a field of the mapping at `path`.
pub fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns the name of a value's JSON type for messages.
fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "a truth value",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "a mapping",
    }
}
