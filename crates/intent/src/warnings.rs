//! The risks of a permitted change that an operator should consider before confirming it.

use crate::{change::RequestChange, promise::serving_nodes, view::FleetView};
use wagtail_assign::spread::FULL_MEMBER_COUNT;
use wagtail_core::service::ConfigDocument;

/// Returns the warnings that a plan shows for a permitted change.
pub fn list_warnings(
    before: &ConfigDocument,
    after: &ConfigDocument,
    view: &FleetView,
    requests: &[RequestChange],
) -> Vec<String> {
    let mut warnings: Vec<String> = requests.iter().filter_map(request_warning).collect();

    for service in &after.services {
        let earlier = serving_nodes(&service.name, before, view).len();
        let left = serving_nodes(&service.name, after, view).len();

        if left < earlier {
            warnings.push(format!(
                "{}: {left} of {earlier} targets are left to take its load",
                service.name
            ));
        }
    }

    for identity in after.gone.iter().filter(|gone| !before.gone.contains(gone)) {
        warnings.push(format!(
            "{identity} is taken for dead on your word: if it still runs, its keys get a second \
             owner"
        ));
    }

    let shrinks =
        after.draining.len() + after.gone.len() > before.draining.len() + before.gone.len();
    let left = view
        .nodes
        .iter()
        .filter(|node| node.reachable && after.takes_work(&node.identity))
        .count();
    if shrinks && left < FULL_MEMBER_COUNT {
        warnings.push(format!(
            "VMs left: {left}; with fewer than {FULL_MEMBER_COUNT} a lease survives the loss of fewer VMs"
        ));
    }

    warnings
}

/// Returns a warning if requests become retryable after an unknown outcome, or will be refused.
fn request_warning(change: &RequestChange) -> Option<String> {
    let subject = format!("{} {} {}", change.service, change.method, change.path);

    if change.makes_idempotent() {
        return Some(format!(
            "{subject}: becomes idempotent, so it may run more than once after an unknown outcome"
        ));
    }

    change
        .after
        .is_none()
        .then(|| format!("{subject}: callers will be refused, no operation matches"))
}
