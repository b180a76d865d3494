//! The reader of one YAML mapping of the settings file.

use crate::{
    faults::{FaultKind, SettingFault},
    limits::NumberRange,
};
use serde_yaml_ng::{Mapping, Value};
use std::{net::SocketAddr, sync::Arc};
use wagtail_core::Result as CoreResult;

/// `FaultList` collects the faults of a file.
#[derive(Debug, Default)]
pub(crate) struct FaultList {
    /// The faults found so far.
    pub(crate) faults: Vec<SettingFault>,
}

impl FaultList {
    /// Adds a fault of the field at a dotted path.
    pub(crate) fn push(&mut self, path: String, kind: FaultKind) {
        self.faults.push(SettingFault {
            path: Arc::from(path),
            kind,
        });
    }

    /// Adds a fault for a value of the wrong type or syntax.
    pub(crate) fn push_malformed(&mut self, path: String, found: &Value, expected: &str) {
        let kind = FaultKind::Malformed {
            found: describe_value(found),
            expected: Arc::from(expected),
        };

        self.push(path, kind);
    }
}

/// `SectionReader` takes known fields out of one mapping. Fields that are left when it is closed
/// are reported as unknown.
#[derive(Debug)]
pub(crate) struct SectionReader {
    /// The dotted path of the section, empty for the top-level mapping.
    path: String,
    /// The fields that have not been taken yet.
    fields: Mapping,
    /// The names of all fields that were read from the section, present or not, in order.
    known: Vec<&'static str>,
}

impl SectionReader {
    /// Opens a section. An absent section counts as an empty one; a value that is no mapping is
    /// reported and counts as an empty one too.
    pub(crate) fn open(path: &str, value: Option<Value>, list: &mut FaultList) -> Self {
        let fields = match value {
            None | Some(Value::Null) => Mapping::new(),
            Some(Value::Mapping(fields)) => fields,
            Some(other) => {
                let shown = if path.is_empty() { "(file)" } else { path };
                list.push_malformed(shown.to_owned(), &other, "a mapping of fields");
                Mapping::new()
            }
        };

        Self {
            path: path.to_owned(),
            fields,
            known: Vec::new(),
        }
    }

    /// Takes a field and opens it as a nested section.
    pub(crate) fn take_section(&mut self, name: &'static str, list: &mut FaultList) -> Self {
        let value = self.take(name);

        Self::open(&self.field_path(name), value, list)
    }

    /// Takes a number, or its default if the field is absent. The default is validated too, because
    /// the range may depend on another field. A number outside the range is reported and returned.
    pub(crate) fn take_number(
        &mut self,
        name: &'static str,
        range: &NumberRange,
        list: &mut FaultList,
    ) -> u64 {
        let value = self
            .take(name)
            .unwrap_or_else(|| Value::from(range.default));
        let path = self.field_path(name);

        let Some(number) = value.as_u64() else {
            let expected = format!("a whole number in {} {}", range.describe(), range.unit);
            list.push_malformed(path, &value, &expected);
            return range.default;
        };

        if !range.contains(number) {
            let kind = FaultKind::OutOfRange {
                found: number,
                range: Arc::from(range.describe()),
                unit: range.unit,
            };
            list.push(path, kind);
        }

        number
    }

    /// Takes a boolean, or `default` if the field is absent.
    pub(crate) fn take_bool(
        &mut self,
        name: &'static str,
        default: bool,
        list: &mut FaultList,
    ) -> bool {
        let Some(value) = self.take(name) else {
            return default;
        };

        value.as_bool().unwrap_or_else(|| {
            list.push_malformed(self.field_path(name), &value, "true or false");
            default
        })
    }

    /// Takes an optional string. `expected` describes it in the fault for a value of another type.
    pub(crate) fn take_text(
        &mut self,
        name: &'static str,
        expected: &str,
        list: &mut FaultList,
    ) -> Option<String> {
        match self.take(name)? {
            Value::String(text) => Some(text),
            other => {
                list.push_malformed(self.field_path(name), &other, expected);
                None
            }
        }
    }

    /// Takes a required string.
    pub(crate) fn require_text(
        &mut self,
        name: &'static str,
        expected: &str,
        list: &mut FaultList,
    ) -> Option<String> {
        if !self.fields.contains_key(name) {
            self.push_missing(name, expected, list);
        }

        self.take_text(name, expected, list)
    }

    /// Takes an optional name and parses it into a name type of `wagtail_core::ids`.
    pub(crate) fn take_name<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> CoreResult<T>,
        list: &mut FaultList,
    ) -> Option<T> {
        const EXPECTED: &str = "a name of 1 to 63 of a-z, 0-9, '-', '_' and '.'";

        let text = self.take_text(name, EXPECTED, list)?;
        let parsed = parse(&text);

        if parsed.is_err() {
            list.push_malformed(self.field_path(name), &Value::String(text), EXPECTED);
        }

        parsed.ok()
    }

    /// Takes a required name and parses it into a name type of `wagtail_core::ids`.
    pub(crate) fn require_name<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> CoreResult<T>,
        list: &mut FaultList,
    ) -> Option<T> {
        if !self.fields.contains_key(name) {
            self.push_missing(
                name,
                "a name of 1 to 63 of a-z, 0-9, '-', '_' and '.'",
                list,
            );
        }

        self.take_name(name, parse, list)
    }

    /// Takes an optional socket address, whose port must not be 0.
    pub(crate) fn take_address(
        &mut self,
        name: &'static str,
        list: &mut FaultList,
    ) -> Option<SocketAddr> {
        const EXPECTED: &str = "an IP address with a port of 1..=65535, such as 10.0.0.7:7000";

        let text = self.take_text(name, EXPECTED, list)?;
        let parsed = text
            .parse::<SocketAddr>()
            .ok()
            .filter(|address| address.port() != 0);

        if parsed.is_none() {
            list.push_malformed(self.field_path(name), &Value::String(text), EXPECTED);
        }

        parsed
    }

    /// Takes a required socket address, whose port must not be 0.
    pub(crate) fn require_address(
        &mut self,
        name: &'static str,
        list: &mut FaultList,
    ) -> Option<SocketAddr> {
        if !self.fields.contains_key(name) {
            self.push_missing(name, "an IP address with a port of 1..=65535", list);
        }

        self.take_address(name, list)
    }

    /// Adds a fault for each field that was not taken.
    pub(crate) fn close(self, list: &mut FaultList) {
        let allowed: Arc<str> = Arc::from(self.known.join(", "));

        for (key, _) in &self.fields {
            let name = key.as_str().map_or_else(|| describe_value(key), Arc::from);
            let kind = FaultKind::Unknown {
                allowed: Arc::clone(&allowed),
            };
            list.push(self.field_path(&name), kind);
        }
    }

    /// Returns the dotted path of a field.
    pub(crate) fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// Removes a field from the mapping and records its name as known.
    fn take(&mut self, name: &'static str) -> Option<Value> {
        self.known.push(name);

        self.fields.remove(name)
    }

    /// Adds a fault for a required field that is absent.
    fn push_missing(&self, name: &'static str, expected: &str, list: &mut FaultList) {
        let kind = FaultKind::Missing {
            expected: Arc::from(expected),
        };

        list.push(self.field_path(name), kind);
    }
}

/// Returns a one-line description of a value for fault messages; sequences and mappings are not
/// written out.
fn describe_value(value: &Value) -> Arc<str> {
    match value {
        Value::Null => Arc::from("null"),
        Value::Bool(flag) => Arc::from(flag.to_string()),
        Value::Number(number) => Arc::from(number.to_string()),
        Value::String(text) => Arc::from(format!("{text:?}")),
        Value::Sequence(_) => Arc::from("a sequence"),
        Value::Mapping(_) => Arc::from("a mapping"),
        Value::Tagged(_) => Arc::from("a tagged value"),
    }
}
