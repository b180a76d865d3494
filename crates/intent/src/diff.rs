//! The differences between two configurations.

use crate::change::{PlannedChange, RequestChange, RequestTraits, class_name};
use std::collections::BTreeSet;
use wagtail_core::{
    ids::{OperationName, ServiceName, TenantName},
    service::{ConfigDocument, OperationSpec, ServiceSpec},
};

/// Returns all differences between two configurations, services first, then VMs.
pub fn diff_documents(before: &ConfigDocument, after: &ConfigDocument) -> Vec<PlannedChange> {
    let mut changes = Vec::new();

    for old in &before.services {
        match after.service(&old.name) {
            Some(new) => diff_services(old, new, &mut changes),
            None => changes.push(PlannedChange::ServiceRemoved {
                service: old.name.clone(),
            }),
        }
    }

    for new in &after.services {
        if before.service(&new.name).is_none() {
            changes.push(PlannedChange::ServiceAdded {
                service: new.name.clone(),
            });
        }
    }

    diff_nodes(before, after, &mut changes);

    changes
}

/// Returns the routes whose requests are handled differently, for services in both configurations.
///
/// An operation added under a longer path takes over requests of an existing one, so the paths of
/// both configurations are resolved against both.
pub fn diff_requests(before: &ConfigDocument, after: &ConfigDocument) -> Vec<RequestChange> {
    let mut changes = Vec::new();

    for old in &before.services {
        let Some(new) = after.service(&old.name) else {
            continue;
        };
        let operations = old.operations.iter().chain(&new.operations);
        let routes: BTreeSet<(&str, &str)> = operations
            .map(|operation| (operation.method.as_str(), operation.path.as_str()))
            .collect();

        for (method, path) in routes {
            let before = old.operation(method, path).map(request_traits);
            let after = new.operation(method, path).map(request_traits);

            if before != after {
                changes.push(RequestChange {
                    service: old.name.clone(),
                    method: method.to_owned(),
                    path: path.to_owned(),
                    before,
                    after,
                });
            }
        }
    }

    changes
}

/// Returns the traits of the requests of an operation.
fn request_traits(operation: &OperationSpec) -> RequestTraits {
    RequestTraits {
        class: operation.class,
        idempotent: operation.idempotent,
    }
}

/// Appends the differences between two declarations of one service.
fn diff_services(old: &ServiceSpec, new: &ServiceSpec, changes: &mut Vec<PlannedChange>) {
    let mut field = |field: &str, before: String, after: String| {
        if before != after {
            changes.push(PlannedChange::FieldChanged {
                service: old.name.clone(),
                field: field.to_owned(),
                before,
                after,
            });
        }
    };

    field("keyed", old.keyed.to_string(), new.keyed.to_string());
    field("slices", old.slices.to_string(), new.slices.to_string());
    field("slots", old.slots.to_string(), new.slots.to_string());
    field(
        "connections",
        old.connections.to_string(),
        new.connections.to_string(),
    );
    field("fenced", old.fenced.to_string(), new.fenced.to_string());
    field(
        "max_deadline_ms",
        old.max_deadline_ms.to_string(),
        new.max_deadline_ms.to_string(),
    );

    diff_operations(old, new, changes);
    diff_tenants(old, new, changes);
}

/// Appends the differences between the operations of one service, matched by name.
fn diff_operations(old: &ServiceSpec, new: &ServiceSpec, changes: &mut Vec<PlannedChange>) {
    let find = |service: &ServiceSpec, name: &OperationName| {
        service
            .operations
            .iter()
            .find(|operation| &operation.name == name)
            .cloned()
    };

    for before in &old.operations {
        match find(new, &before.name) {
            Some(after) => diff_operation(&old.name, before, &after, changes),
            None => changes.push(PlannedChange::OperationRemoved {
                service: old.name.clone(),
                operation: before.name.clone(),
            }),
        }
    }

    for after in &new.operations {
        if find(old, &after.name).is_none() {
            changes.push(PlannedChange::OperationAdded {
                service: old.name.clone(),
                operation: after.name.clone(),
            });
        }
    }
}

/// Appends the differences between two declarations of one operation.
fn diff_operation(
    service: &ServiceName,
    before: &OperationSpec,
    after: &OperationSpec,
    changes: &mut Vec<PlannedChange>,
) {
    let fields = [
        ("method", before.method.clone(), after.method.clone()),
        ("path", before.path.clone(), after.path.clone()),
        (
            "idempotent",
            before.idempotent.to_string(),
            after.idempotent.to_string(),
        ),
        (
            "class",
            class_name(before.class).to_owned(),
            class_name(after.class).to_owned(),
        ),
    ];

    for (field, old, new) in fields {
        if old != new {
            changes.push(PlannedChange::OperationChanged {
                service: service.clone(),
                operation: before.name.clone(),
                field: field.to_owned(),
                before: old,
                after: new,
            });
        }
    }
}

/// Appends the differences between the tenant weights of one service.
fn diff_tenants(old: &ServiceSpec, new: &ServiceSpec, changes: &mut Vec<PlannedChange>) {
    let names: BTreeSet<&TenantName> = old
        .tenants
        .iter()
        .chain(&new.tenants)
        .map(|tenant| &tenant.name)
        .collect();

    for name in names {
        let before = old.tenant_weight(name);
        let after = new.tenant_weight(name);

        if before != after {
            changes.push(PlannedChange::WeightChanged {
                service: old.name.clone(),
                tenant: name.clone(),
                before,
                after,
            });
        }
    }
}

/// Appends the VMs that start or end draining, and those newly declared lost.
fn diff_nodes(before: &ConfigDocument, after: &ConfigDocument, changes: &mut Vec<PlannedChange>) {
    for node in &after.draining {
        if !before.draining.contains(node) {
            changes.push(PlannedChange::DrainStarted { node: node.clone() });
        }
    }

    for node in &before.draining {
        let gone = after.gone.iter().any(|identity| &identity.name == node);

        if !after.draining.contains(node) && !gone {
            changes.push(PlannedChange::DrainEnded { node: node.clone() });
        }
    }

    for identity in &after.gone {
        if !before.gone.contains(identity) {
            changes.push(PlannedChange::NodeGone {
                identity: identity.clone(),
            });
        }
    }
}
