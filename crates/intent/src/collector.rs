//! The collector of faults in a document.

use crate::errors::DocumentFault;
use serde_json::{Map, Value};
use std::{collections::BTreeSet, ops::RangeInclusive};

/// `FaultCollector` reads fields of a document and notes every fault with its path.
#[derive(Debug, Default)]
pub struct FaultCollector {
    faults: Vec<DocumentFault>,
}

impl FaultCollector {
    /// Notes a fault.
    pub fn fault(&mut self, path: &str, message: impl Into<String>) {
        self.faults.push(DocumentFault {
            path: path.to_owned(),
            message: message.into(),
        });
    }

    /// Returns the noted faults.
    pub fn into_faults(self) -> Vec<DocumentFault> {
        self.faults
    }

    /// Reads a mapping and checks the names of its fields.
    pub fn mapping<'a>(
        &mut self,
        path: &str,
        value: &'a Value,
        required: &[&str],
        optional: &[&str],
    ) -> Option<&'a Map<String, Value>> {
        let Some(map) = value.as_object() else {
            self.fault(path, format!("must be a mapping, not {}", kind(value)));

            return None;
        };

        for name in map.keys() {
            if !required.contains(&name.as_str()) && !optional.contains(&name.as_str()) {
                let known = [required, optional].concat().join(", ");
                self.fault(
                    &join(path, name),
                    format!("unknown field; known are {known}"),
                );
            }
        }

        for name in required {
            if !map.contains_key(*name) {
                self.fault(&join(path, name), "is required");
            }
        }

        Some(map)
    }

    /// Reads an optional list.
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
            self.fault(&path, format!("must be a list, not {}", kind(value)));

            return &[];
        };

        if !lengths.contains(&list.len()) {
            let (least, most) = (lengths.start(), lengths.end());
            self.fault(
                &path,
                format!("must have {least} to {most} entries, has {}", list.len()),
            );
        }

        list
    }

    /// Checks an optional number against its range.
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
            let (least, most) = (range.start(), range.end());
            self.fault(
                &join(path, name),
                format!("must be a whole number from {least} to {most} {unit}, not {value}"),
            );
        }

        number
    }

    /// Checks an optional truth value.
    pub fn truth(&mut self, path: &str, map: &Map<String, Value>, name: &str) {
        if let Some(value) = map.get(name)
            && !value.is_boolean()
        {
            self.fault(
                &join(path, name),
                format!("must be true or false, not {value}"),
            );
        }
    }

    /// Reads an optional text.
    pub fn text<'a>(
        &mut self,
        path: &str,
        map: &'a Map<String, Value>,
        name: &str,
    ) -> Option<&'a str> {
        let value = map.get(name)?;

        if !value.is_string() {
            self.fault(
                &join(path, name),
                format!("must be a text, not {}", kind(value)),
            );
        }

        value.as_str()
    }

    /// Notes each text that stands in a list a second time.
    pub fn unique<'a>(&mut self, texts: impl Iterator<Item = (String, &'a str)>) {
        let mut seen = BTreeSet::new();

        for (path, text) in texts {
            if !seen.insert(text) {
                self.fault(&path, format!("{text} stands here a second time"));
            }
        }
    }
}

/// Returns the path of a field below a path.
pub fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns the kind of a value in words.
fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "a truth value",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "a mapping",
    }
}
