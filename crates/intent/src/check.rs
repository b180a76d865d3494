//! The whole check of an intent, with a path for each fault.

use crate::{
    collector::{FaultCollector, join},
    document::IntentDocument,
    errors::{IntentError, Result},
};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use wagtail_core::ids::{MAX_NAME_BYTES, NodeName};

/// The most services that a document may declare.
const MAX_SERVICES: usize = 1_000;
/// The most VMs that one list of a document may name.
const MAX_NODES: usize = 10_000;
/// The most operations of a service.
const MAX_OPERATIONS: usize = 256;
/// The most tenants of a service with a declared share.
const MAX_TENANTS: usize = 1_000;
/// The most hash slices of a service.
const MAX_SLICES: u64 = 65_536;
/// The most requests that one target runs at a time.
const MAX_SLOTS: u64 = 10_000;
/// The most connections that one target accepts.
const MAX_CONNECTIONS: u64 = 100_000;
/// The longest deadline in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// The greatest weight of a tenant.
const MAX_WEIGHT: u64 = 1_000;
/// The longest path prefix in bytes.
const MAX_PATH_BYTES: usize = 1_024;
/// The HTTP methods that an operation may have.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Checks a whole document and reads the intent from it.
///
/// # Errors
///
/// Returns [`IntentError::Faults`] with every fault of the document.
pub fn parse_intent(value: &Value) -> Result<IntentDocument> {
    let mut collector = FaultCollector::default();

    check_document(&mut collector, value);

    let faults = collector.into_faults();

    if !faults.is_empty() {
        return Err(IntentError::Faults { faults });
    }

    // The check above covers what the types require; a rest is reported at the root.
    IntentDocument::deserialize_checked(value)
}

impl IntentDocument {
    /// Reads a document that was checked.
    fn deserialize_checked(value: &Value) -> Result<Self> {
        serde_json::from_value(value.clone()).map_err(|error| {
            let mut collector = FaultCollector::default();

            collector.fault("", error.to_string());

            IntentError::Faults {
                faults: collector.into_faults(),
            }
        })
    }
}

/// Checks the fields at the root.
fn check_document(collector: &mut FaultCollector, value: &Value) {
    let lists = ["services", "remove_services", "drain", "undrain", "gone"];
    let Some(map) = collector.mapping("", value, &[], &lists) else {
        return;
    };

    let services = collector.list("", map, "services", 0..=MAX_SERVICES);
    for (index, service) in services.iter().enumerate() {
        check_service(collector, &format!("services[{index}]"), service);
    }

    let mut places: BTreeMap<&str, &str> = BTreeMap::new();
    for name in &lists[1..] {
        check_names(collector, map, name, &mut places);
    }

    check_service_names(collector, services, map);

    if lists.iter().all(|name| list_is_empty(map, name)) {
        collector.fault("", "states nothing; give at least one entry in services, remove_services, drain, undrain or gone");
    }
}

/// Returns whether a list is absent or empty.
fn list_is_empty(map: &Map<String, Value>, name: &str) -> bool {
    map.get(name)
        .is_none_or(|value| value.as_array().is_some_and(Vec::is_empty))
}

/// Checks a list of names, and that no VM stands in two of the lists.
fn check_names<'a>(
    collector: &mut FaultCollector,
    map: &'a Map<String, Value>,
    list: &'a str,
    places: &mut BTreeMap<&'a str, &'a str>,
) {
    let entries = collector.list("", map, list, 0..=MAX_NODES);
    let path = |index: usize| format!("{list}[{index}]");

    for (index, entry) in entries.iter().enumerate() {
        check_name(collector, &path(index), Some(entry));

        let (Some(name), true) = (entry.as_str(), list != "remove_services") else {
            continue;
        };
        match places.insert(name, list) {
            Some(other) if other != list => {
                collector.fault(&path(index), format!("{name} stands in {other} also"));
            }
            _ => {}
        }
    }

    let names = entries.iter().enumerate();
    collector.unique(names.filter_map(|(index, entry)| Some((path(index), entry.as_str()?))));
}

/// Checks that no service is declared twice, or declared and removed.
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
            collector.fault(&path, format!("{name} stands in remove_services also"));
        }
    }

    unique_names(collector, "services", services);
}

/// Checks that the `name` fields of a list differ.
fn unique_names(collector: &mut FaultCollector, path: &str, entries: &[Value]) {
    collector.unique(entries.iter().enumerate().filter_map(|(index, entry)| {
        let name = entry.get("name")?.as_str()?;

        Some((format!("{path}[{index}].name"), name))
    }));
}

/// Checks one name.
fn check_name(collector: &mut FaultCollector, path: &str, value: Option<&Value>) {
    let Some(value) = value else {
        return;
    };
    // All names of the system share one alphabet.
    let valid = value
        .as_str()
        .is_some_and(|text| NodeName::new(text).is_ok());

    if !valid {
        collector.fault(
            path,
            format!(
                "must be a name of 1 to {MAX_NAME_BYTES} bytes of a-z, 0-9, '-', '_' and '.', \
                 not {value}"
            ),
        );
    }
}

/// Checks one service.
fn check_service(collector: &mut FaultCollector, path: &str, value: &Value) {
    let required = ["name", "keyed", "slots", "connections", "operations"];
    let optional = ["slices", "fenced", "max_deadline_ms", "tenants"];
    let Some(map) = collector.mapping(path, value, &required, &optional) else {
        return;
    };

    check_name(collector, &join(path, "name"), map.get("name"));
    collector.truth(path, map, "keyed");
    collector.truth(path, map, "fenced");
    collector.number(path, map, "slices", 1..=MAX_SLICES, "slices");
    collector.number(
        path,
        map,
        "max_deadline_ms",
        1..=MAX_DEADLINE_MS,
        "milliseconds",
    );

    let slots = collector.number(path, map, "slots", 1..=MAX_SLOTS, "requests");
    let connections =
        collector.number(path, map, "connections", 1..=MAX_CONNECTIONS, "connections");
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < slots
    {
        collector.fault(
            &join(path, "connections"),
            format!("must be at least the {slots} slots, not {connections}"),
        );
    }

    check_operations(collector, path, map);
    check_tenants(collector, path, map);
}

/// Checks the operations of a service.
fn check_operations(collector: &mut FaultCollector, path: &str, map: &Map<String, Value>) {
    let operations = collector.list(path, map, "operations", 1..=MAX_OPERATIONS);
    let mut routes: BTreeMap<(&str, &str), usize> = BTreeMap::new();

    for (index, operation) in operations.iter().enumerate() {
        let path = format!("{path}.operations[{index}]");
        let Some((method, prefix)) = check_operation(collector, &path, operation) else {
            continue;
        };

        if let Some(first) = routes.insert((method, prefix), index) {
            let message = format!("{method} {prefix} is the route of operations[{first}] also");
            collector.fault(&join(&path, "path"), message);
        }
    }

    unique_names(collector, &join(path, "operations"), operations);
}

/// Checks one operation and returns its method and path prefix.
fn check_operation<'a>(
    collector: &mut FaultCollector,
    path: &str,
    value: &'a Value,
) -> Option<(&'a str, &'a str)> {
    let required = ["name", "method", "path", "idempotent"];
    let map = collector.mapping(path, value, &required, &["class"])?;

    check_name(collector, &join(path, "name"), map.get("name"));
    collector.truth(path, map, "idempotent");

    let method = collector.text(path, map, "method");
    if let Some(method) = method.filter(|method| !METHODS.contains(method)) {
        collector.fault(
            &join(path, "method"),
            format!("must be one of {}, not {method:?}", METHODS.join(", ")),
        );
    }

    let prefix = collector.text(path, map, "path");
    if let Some(prefix) = prefix {
        check_path(collector, &join(path, "path"), prefix);
    }

    let class = collector.text(path, map, "class");
    if let Some(class) = class.filter(|class| !["short", "long"].contains(class)) {
        collector.fault(
            &join(path, "class"),
            format!("must be short or long, not {class:?}"),
        );
    }

    Some((method?, prefix?))
}

/// Checks one path prefix.
fn check_path(collector: &mut FaultCollector, path: &str, prefix: &str) {
    if !prefix.starts_with('/') {
        collector.fault(path, "must start with /");
    }

    if prefix.len() > MAX_PATH_BYTES {
        collector.fault(path, format!("must have at most {MAX_PATH_BYTES} bytes"));
    }

    let allowed = |byte: u8| byte.is_ascii_graphic() && !b"?#".contains(&byte);
    if !prefix.bytes().all(allowed) {
        collector.fault(path, "must be printable ASCII without spaces, '?' and '#'");
    }
}

/// Checks the tenants of a service.
fn check_tenants(collector: &mut FaultCollector, path: &str, map: &Map<String, Value>) {
    let tenants = collector.list(path, map, "tenants", 0..=MAX_TENANTS);

    for (index, tenant) in tenants.iter().enumerate() {
        let path = format!("{path}.tenants[{index}]");
        let Some(map) = collector.mapping(&path, tenant, &["name", "weight"], &[]) else {
            continue;
        };

        check_name(collector, &join(&path, "name"), map.get("name"));
        collector.number(&path, map, "weight", 1..=MAX_WEIGHT, "shares");
    }

    unique_names(collector, &join(path, "tenants"), tenants);
}
