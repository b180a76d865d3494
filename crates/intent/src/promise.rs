//! The refusal of changes that would break a guarantee of the system.
//!
//! The guarantees are called promises in the messages to operators. They include that each key has
//! at most one owner and that a change cuts off no running service.

use crate::{
    document::IntentDocument,
    errors::IntentRefusal,
    view::{FleetView, NodeView},
};
use wagtail_core::{
    ids::ServiceName,
    service::{ConfigDocument, ServiceSpec},
};

/// The maximum size of a configuration in bytes. The platform stores values of up to a megabyte,
/// and a plan contains two configurations.
const MAX_DOCUMENT_BYTES: usize = 400_000;

/// Returns a refusal for each service or VM of an intent that does not exist, or is not draining.
pub fn check_intent(
    intent: &IntentDocument,
    base: &ConfigDocument,
    view: &FleetView,
) -> Vec<IntentRefusal> {
    let mut refusals = Vec::new();

    for service in &intent.remove_services {
        if base.service(service).is_none() {
            refusals.push(refusal(
                "unknown-service",
                service.as_str(),
                "no service of this name is declared",
                "list the services with `wagtail services`",
            ));
        }
    }

    for node in intent.drain.iter().chain(&intent.gone) {
        if view.latest_identity(node).is_none() {
            refusals.push(refusal(
                "unknown-node",
                node.as_str(),
                "no VM of this name has announced itself or owns a key",
                "check the name",
            ));
        }
    }

    for node in &intent.undrain {
        if !base.draining.contains(node) {
            refusals.push(refusal(
                "not-draining",
                node.as_str(),
                "the VM is not being drained",
                "leave it out of undrain",
            ));
        }
    }

    refusals
}

/// Returns a refusal for each guarantee that a configuration change would break in the known fleet.
pub fn check_promises(
    before: &ConfigDocument,
    after: &ConfigDocument,
    view: &FleetView,
) -> Vec<IntentRefusal> {
    let mut refusals = Vec::new();

    for old in &before.services {
        match after.service(&old.name) {
            Some(new) => check_division(old, new, before, view, &mut refusals),
            None => check_removal(old, after, view, &mut refusals),
        }
    }

    for service in &after.services {
        check_last_target(service, before, after, view, &mut refusals);
        check_fencing(service, view, &mut refusals);
    }

    check_gone(before, after, view, &mut refusals);
    check_size(after, &mut refusals);

    refusals
}

/// Refuses to change how a service's keys are divided into slices while the service is in use.
///
/// A node does not know the owner of every slice, so a serving target also counts as an owner.
fn check_division(
    old: &ServiceSpec,
    new: &ServiceSpec,
    before: &ConfigDocument,
    view: &FleetView,
    refusals: &mut Vec<IntentRefusal>,
) {
    let changed = old.keyed != new.keyed || (old.keyed && old.slices != new.slices);
    let owned = view.slices_of(&old.name).count();
    let serving = serving_nodes(&old.name, before, view).len();

    if changed && (owned > 0 || serving > 0) {
        refusals.push(refusal(
            "division-in-use",
            old.name.as_str(),
            format!(
                "it has {serving} serving targets and {owned} known slice owners; another value \
                 of keyed or slices would give keys a second owner"
            ),
            "declare a service of another name and move its callers, or drain and remove this one \
             first",
        ));
    }
}

/// Refuses to remove a service that still has serving targets.
fn check_removal(
    old: &ServiceSpec,
    after: &ConfigDocument,
    view: &FleetView,
    refusals: &mut Vec<IntentRefusal>,
) {
    let serving = serving_nodes(&old.name, after, view);

    if serving.is_empty() {
        return;
    }

    let nodes = join_names(&serving);
    let owned = view.slices_of(&old.name).count();
    refusals.push(refusal(
        "service-in-use",
        old.name.as_str(),
        format!("it still serves on {nodes} and owns {owned} slices, so requests would be cut off"),
        format!("name {nodes} in drain of the same intent"),
    ));
}

/// Refuses a change that leaves a keyed service without a serving target.
fn check_last_target(
    service: &ServiceSpec,
    before: &ConfigDocument,
    after: &ConfigDocument,
    view: &FleetView,
    refusals: &mut Vec<IntentRefusal>,
) {
    let served_before = !serving_nodes(&service.name, before, view).is_empty();
    let served_after = !serving_nodes(&service.name, after, view).is_empty();

    if service.keyed && served_before && !served_after {
        refusals.push(refusal(
            "last-target",
            service.name.as_str(),
            "no target would be left to own its keys",
            "start another target first, or remove the service in the same intent",
        ));
    }
}

/// Refuses to declare a service as fenced while one of its targets does not check fencing tokens.
fn check_fencing(service: &ServiceSpec, view: &FleetView, refusals: &mut Vec<IntentRefusal>) {
    let unfenced: Vec<&NodeView> = view
        .targets(&service.name)
        .filter(|node| service.keyed && service.fenced && !node.fenced)
        .collect();

    if !unfenced.is_empty() {
        refusals.push(refusal(
            "not-fenced",
            service.name.as_str(),
            format!(
                "the targets on {} do not check fencing tokens, so a successor must wait for their \
                 daemon",
                join_names(&unfenced)
            ),
            "declare fenced: false",
        ));
    }
}

/// Refuses to declare a VM lost that is still reachable.
fn check_gone(
    before: &ConfigDocument,
    after: &ConfigDocument,
    view: &FleetView,
    refusals: &mut Vec<IntentRefusal>,
) {
    for identity in &after.gone {
        let already_gone = before.gone.contains(identity);
        let alive = view.node(&identity.name).is_some_and(|node| {
            node.reachable && node.identity.incarnation <= identity.incarnation
        });

        if !already_gone && alive {
            refusals.push(refusal(
                "node-alive",
                identity.name.as_str(),
                "the VM still answers, so its keys could get a second owner",
                "drain it instead",
            ));
        }
    }
}

/// Refuses a configuration that is too large for the platform to store.
fn check_size(after: &ConfigDocument, refusals: &mut Vec<IntentRefusal>) {
    let size = serde_json::to_string(after).map_or(0, |text| text.len());

    if size > MAX_DOCUMENT_BYTES {
        refusals.push(refusal(
            "too-large",
            "configuration",
            format!("it has {size} bytes, more than {MAX_DOCUMENT_BYTES}"),
            "remove services or operations that are not used",
        ));
    }
}

/// Returns the nodes whose targets serve a service under a configuration.
pub(crate) fn serving_nodes<'a>(
    service: &'a ServiceName,
    document: &ConfigDocument,
    view: &'a FleetView,
) -> Vec<&'a NodeView> {
    view.targets(service)
        .filter(|node| node.reachable && !node.leaving && document.takes_work(&node.identity))
        .collect()
}

/// Returns the names of nodes, separated by commas.
fn join_names(nodes: &[&NodeView]) -> String {
    let names: Vec<&str> = nodes
        .iter()
        .map(|node| node.identity.name.as_str())
        .collect();

    names.join(", ")
}

/// Creates a refusal from its texts.
fn refusal(
    code: &str,
    subject: &str,
    reason: impl Into<String>,
    what_to_do: impl Into<String>,
) -> IntentRefusal {
    IntentRefusal {
        code: code.to_owned(),
        subject: subject.to_owned(),
        reason: reason.into(),
        what_to_do: what_to_do.into(),
    }
}
