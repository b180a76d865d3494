//! The fleet as plans see it.

use crate::{fleet::FleetState, ownership::OwnershipView};
use wagtail_core::{
    ids::{NodeIdentity, NodeIncarnation, NodeName},
    slice::SliceId,
};
use wagtail_intent::{FleetView, NodeView, SliceView};

/// Returns the nodes and the slice owners that this daemon knows of.
pub fn fleet_view(fleet: &FleetState, ownership: &OwnershipView) -> FleetView {
    let nodes = fleet.nodes.values().map(|entry| NodeView {
        identity: entry.identity.clone(),
        zone: entry.zone.clone(),
        service: entry.service.clone(),
        fenced: entry.fenced,
        leaving: entry.leaving,
        reachable: true,
    });

    FleetView {
        nodes: nodes.collect(),
        slices: slice_views(fleet, ownership),
    }
}

/// Returns the slices of the keyed services whose owner is known.
fn slice_views(fleet: &FleetState, ownership: &OwnershipView) -> Vec<SliceView> {
    let routes = ownership.routes().borrow();
    let keyed = fleet.config.services.iter().filter(|spec| spec.keyed);

    keyed
        .flat_map(|spec| (0..spec.slices).map(|index| SliceId::new(spec.name.clone(), index)))
        .filter_map(|slice| {
            let owner = owner_identity(fleet, &routes.hint(&slice)?.owner);

            Some(SliceView { slice, owner })
        })
        .collect()
}

/// Returns the latest known start of a node.
fn owner_identity(fleet: &FleetState, name: &NodeName) -> NodeIdentity {
    fleet.nodes.get(name).map_or_else(
        || NodeIdentity::new(name.clone(), NodeIncarnation::default()),
        |entry| entry.identity.clone(),
    )
}
