//! The slice moves that a configuration change is expected to cause.

use crate::{
    plan::{SliceMove, UnavailableEstimate},
    view::{FleetView, SliceView},
};
use std::collections::BTreeMap;
use wagtail_assign::placement::{PlacementTarget, place_slice};
use wagtail_core::{
    ids::{NodeName, ServiceName},
    service::ConfigDocument,
};

/// The expected time, in milliseconds, that a key is unavailable while its slice is handed over.
const EXPECTED_HANDOVER_MS: u64 = 200;

/// Returns the slices whose owner starts to drain or is declared lost, or whose service is removed.
///
/// The owners choose the destination by the load at the time of the move, so the destination given
/// here is only a forecast.
pub fn forecast_moves(
    before: &ConfigDocument,
    after: &ConfigDocument,
    view: &FleetView,
) -> Vec<SliceMove> {
    let mut groups: BTreeMap<(ServiceName, NodeName, Option<NodeName>), Vec<u32>> = BTreeMap::new();

    for slice in &view.slices {
        let removed = after.service(&slice.slice.service).is_none();

        if !removed && !starts_to_leave(slice, before, after) {
            continue;
        }

        let service = slice.slice.service.clone();
        let to = if removed {
            None
        } else {
            place_slice(&slice.slice, &candidates(&service, after, view))
        };
        groups
            .entry((service, slice.owner.name.clone(), to))
            .or_default()
            .push(slice.slice.index);
    }

    let moves = groups.into_iter().map(|((service, from, to), mut slices)| {
        slices.sort_unstable();

        SliceMove {
            service,
            from,
            to,
            slices,
        }
    });

    moves.collect()
}

/// Returns how long the keys of the moving slices are expected to be unavailable.
pub fn estimate_unavailable(moves: &[SliceMove]) -> UnavailableEstimate {
    let slices = moves.iter().map(|group| group.slices.len() as u64).sum();

    UnavailableEstimate {
        key_ms: if slices == 0 { 0 } else { EXPECTED_HANDOVER_MS },
        slices,
    }
}

/// Returns whether the change stops the owner of a slice from receiving new work.
fn starts_to_leave(slice: &SliceView, before: &ConfigDocument, after: &ConfigDocument) -> bool {
    before.takes_work(&slice.owner) && !after.takes_work(&slice.owner)
}

/// Returns the targets that may own slices of a service under a configuration.
fn candidates(
    service: &ServiceName,
    document: &ConfigDocument,
    view: &FleetView,
) -> Vec<PlacementTarget> {
    view.targets(service)
        .filter(|node| node.reachable && !node.leaving)
        .filter(|node| document.takes_work(&node.identity))
        .map(|node| PlacementTarget::new(node.identity.name.clone(), 1))
        .collect()
}
