//! The validation of a declared service.

use crate::{
    check::{check_name, check_unique_names},
    collector::{FaultCollector, join},
};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// The maximum number of operations of a service.
const MAX_OPERATIONS: usize = 256;
/// The maximum number of tenants of a service with a declared weight.
const MAX_TENANTS: usize = 1_000;
/// The maximum number of hash slices of a service.
const MAX_SLICES: u64 = 65_536;
/// The maximum number of requests that one target runs concurrently.
const MAX_SLOTS: u64 = 10_000;
/// The maximum number of connections that one target accepts.
const MAX_CONNECTIONS: u64 = 100_000;
/// The upper limit of `max_deadline_ms`, in milliseconds: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// The maximum weight of a tenant.
const MAX_WEIGHT: u64 = 1_000;
/// The maximum length of a path prefix in bytes.
const MAX_PATH_BYTES: usize = 1_024;
/// The HTTP methods that an operation may declare.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Checks the declaration of a service at `path`.
pub(crate) fn check_service(collector: &mut FaultCollector, path: &str, value: &Value) {
    let required = ["name", "keyed", "slots", "connections", "operations"];
    let optional = ["slices", "fenced", "max_deadline_ms", "tenants"];
    let Some(map) = collector.mapping(path, value, &required, &optional) else {
        return;
    };

    check_name(collector, &join(path, "name"), map.get("name"));
    collector.boolean(path, map, "keyed");
    collector.boolean(path, map, "fenced");
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
        collector.add_fault(
            &join(path, "connections"),
            format!("must be at least the {slots} slots, not {connections}"),
        );
    }

    check_operations(collector, path, map);
    check_tenants(collector, path, map);
}

/// Checks the operations of a service, and that their names and routes are unique.
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
            collector.add_fault(&join(&path, "path"), message);
        }
    }

    check_unique_names(collector, &join(path, "operations"), operations);
}

/// Checks an operation and returns its method and path prefix if both are strings.
fn check_operation<'a>(
    collector: &mut FaultCollector,
    path: &str,
    value: &'a Value,
) -> Option<(&'a str, &'a str)> {
    let required = ["name", "method", "path", "idempotent"];
    let map = collector.mapping(path, value, &required, &["class"])?;

    check_name(collector, &join(path, "name"), map.get("name"));
    collector.boolean(path, map, "idempotent");

    let method = collector.text(path, map, "method");
    if let Some(method) = method.filter(|method| !METHODS.contains(method)) {
        collector.add_fault(
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
        collector.add_fault(
            &join(path, "class"),
            format!("must be short or long, not {class:?}"),
        );
    }

    Some((method?, prefix?))
}

/// Checks the syntax and length of a path prefix.
fn check_path(collector: &mut FaultCollector, path: &str, prefix: &str) {
    if !prefix.starts_with('/') {
        collector.add_fault(path, "must start with /");
    }

    if prefix.len() > MAX_PATH_BYTES {
        collector.add_fault(path, format!("must have at most {MAX_PATH_BYTES} bytes"));
    }

    let allowed = |byte: u8| byte.is_ascii_graphic() && !b"?#".contains(&byte);
    if !prefix.bytes().all(allowed) {
        collector.add_fault(path, "must be printable ASCII without spaces, '?' and '#'");
    }
}

/// Checks the tenants of a service, and that their names are unique.
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

    check_unique_names(collector, &join(path, "tenants"), tenants);
}
