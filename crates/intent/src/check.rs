//! The validation of an intent document, which reports each fault with its path.

use crate::{
    collector::FaultCollector,
    document::IntentDocument,
    errors::{IntentError, Result},
    service_check::check_service,
};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use wagtail_core::ids::{MAX_NAME_BYTES, NodeName};

/// The maximum number of services that a document may declare.
const MAX_SERVICES: usize = 1_000;
/// The maximum number of entries in each list of names of a document.
const MAX_NODES: usize = 10_000;

/// Validates a document and deserializes the intent.
///
/// # Errors
///
/// Returns [`IntentError::Faults`] with all faults of the document.
pub fn parse_intent(value: &Value) -> Result<IntentDocument> {
    let mut collector = FaultCollector::default();

    check_document(&mut collector, value);

    let faults = collector.into_faults();

    if !faults.is_empty() {
        return Err(IntentError::Faults { faults });
    }

    // The checks above cover what the types require; any remaining error is reported at the root.
    IntentDocument::deserialize_checked(value)
}

impl IntentDocument {
    /// Deserializes a document that has passed the checks.
    fn deserialize_checked(value: &Value) -> Result<Self> {
        serde_json::from_value(value.clone()).map_err(|error| {
            let mut collector = FaultCollector::default();

            collector.add_fault("", error.to_string());

            IntentError::Faults {
                faults: collector.into_faults(),
            }
        })
    }
}

/// Checks the root mapping and everything below it.
fn check_document(collector: &mut FaultCollector, value: &Value) {
    let lists = ["services", "remove_services", "drain", "undrain", "gone"];
    let Some(map) = collector.mapping("", value, &[], &lists) else {
        return;
    };

    let services = collector.list("", map, "services", 0..=MAX_SERVICES);
    for (index, service) in services.iter().enumerate() {
        check_service(collector, &format!("services[{index}]"), service);
    }

    let mut list_of_vm: BTreeMap<&str, &str> = BTreeMap::new();
    for name in &lists[1..] {
        check_names(collector, map, name, &mut list_of_vm);
    }

    check_service_names(collector, services, map);

    if lists.iter().all(|name| list_is_empty(map, name)) {
        collector.add_fault("", "states nothing; give at least one entry in services, remove_services, drain, undrain or gone");
    }
}

/// Returns whether a list of the document is absent or empty.
fn list_is_empty(map: &Map<String, Value>, name: &str) -> bool {
    map.get(name)
        .is_none_or(|value| value.as_array().is_some_and(Vec::is_empty))
}

/// Checks a list of names, and that no VM occurs in two of the lists.
///
/// `list_of_vm` maps each VM to the list that named it last. `remove_services` names services, so
/// it is left out of this comparison.
fn check_names<'a>(
    collector: &mut FaultCollector,
    map: &'a Map<String, Value>,
    list: &'a str,
    list_of_vm: &mut BTreeMap<&'a str, &'a str>,
) {
    let entries = collector.list("", map, list, 0..=MAX_NODES);
    let path = |index: usize| format!("{list}[{index}]");

    for (index, entry) in entries.iter().enumerate() {
        check_name(collector, &path(index), Some(entry));

        let (Some(name), true) = (entry.as_str(), list != "remove_services") else {
            continue;
        };
        match list_of_vm.insert(name, list) {
            Some(other) if other != list => {
                collector.add_fault(&path(index), format!("{name} stands in {other} also"));
            }
            _ => {}
        }
    }

    let names = entries.iter().enumerate();
    collector.check_unique(names.filter_map(|(index, entry)| Some((path(index), entry.as_str()?))));
}

/// Checks that no service is declared twice, or both declared and removed.
fn check_service_names(
    collector: &mut FaultCollector,
    services: &[Value],
    map: &Map<String, Value>,
) {
    let removed: Vec<&str> = map
        .get("remove_services")
        .and_then(Value::as_array)
        .map(|list| list.iter().filter_map(Value::as_str).collect())
        .unwrap_or_default();

    for (index, service) in services.iter().enumerate() {
        let name = service.get("name").and_then(Value::as_str);

        if let Some(name) = name.filter(|name| removed.contains(name)) {
            let path = format!("services[{index}].name");
            collector.add_fault(&path, format!("{name} stands in remove_services also"));
        }
    }

    check_unique_names(collector, "services", services);
}

/// Checks that the `name` fields of the entries of a list are unique.
pub(crate) fn check_unique_names(collector: &mut FaultCollector, path: &str, entries: &[Value]) {
    collector.check_unique(entries.iter().enumerate().filter_map(|(index, entry)| {
        let name = entry.get("name")?.as_str()?;

        Some((format!("{path}[{index}].name"), name))
    }));
}

/// Checks the syntax of a name; an absent value is accepted.
pub(crate) fn check_name(collector: &mut FaultCollector, path: &str, value: Option<&Value>) {
    let Some(value) = value else {
        return;
    };
    // All kinds of names have the same syntax.
    let valid = value
        .as_str()
        .is_some_and(|text| NodeName::new(text).is_ok());

    if !valid {
        collector.add_fault(
            path,
            format!(
                "must be a name of 1 to {MAX_NAME_BYTES} bytes of a-z, 0-9, '-', '_' and '.', \
                 not {value}"
            ),
        );
    }
}
