//! The snapshot of the fleet that plans are checked against.

use crate::{
    fleet::{FleetState, LEASE_PREFIX, NodeEntry},
    ownership::{OwnershipView, calls::parse_record},
};
use compio::{net::TcpStream, time::timeout};
use futures_util::future::join_all;
use std::time::Duration;
use wagtail_core::{
    ids::{NodeIdentity, NodeIncarnation, NodeName},
    ports::PlatformStore,
    service::ServiceSpec,
    slice::SliceId,
};
use wagtail_intent::{FleetView, NodeView, SliceView};

/// The longest wait for a connection to a node. A node that does not accept one in this time counts
/// as unreachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the nodes and the slice owners. Each node is probed and the owners are read from the
/// platform, as plans are rare and must be right.
pub async fn fleet_view(
    store: &dyn PlatformStore,
    fleet: &FleetState,
    ownership: &OwnershipView,
) -> FleetView {
    let nodes = join_all(fleet.nodes.values().map(node_view)).await;

    let mut slices = Vec::new();
    for spec in fleet.config.services.iter().filter(|spec| spec.keyed) {
        slices.extend(slice_views(store, fleet, ownership, spec).await);
    }

    FleetView { nodes, slices }
}

/// Returns the view of a node after probing whether it accepts connections.
async fn node_view(entry: &NodeEntry) -> NodeView {
    let probe = timeout(PROBE_TIMEOUT, TcpStream::connect(entry.peers)).await;

    NodeView {
        identity: entry.identity.clone(),
        zone: entry.zone.clone(),
        service: entry.service.clone(),
        fenced: entry.fenced,
        leaving: entry.leaving,
        reachable: matches!(probe, Ok(Ok(_))),
    }
}

/// Returns the owners of a service's slices from the platform's records, or from the known routes
/// if the platform is unavailable.
async fn slice_views(
    store: &dyn PlatformStore,
    fleet: &FleetState,
    ownership: &OwnershipView,
    spec: &ServiceSpec,
) -> Vec<SliceView> {
    match store.list(&format!("{LEASE_PREFIX}{}/", spec.name)).await {
        Ok(batch) => batch
            .changed
            .iter()
            .filter_map(parse_record)
            .map(|stored| SliceView {
                slice: stored.record.slice,
                owner: stored.record.owner,
            })
            .collect(),
        Err(_unavailable) => routed_slices(fleet, ownership, spec),
    }
}

/// Returns the owners of a service's slices from the known routes.
fn routed_slices(
    fleet: &FleetState,
    ownership: &OwnershipView,
    spec: &ServiceSpec,
) -> Vec<SliceView> {
    let routes = ownership.routes().borrow();
    let slices = (0..spec.slices).map(|index| SliceId::new(spec.name.clone(), index));

    slices
        .filter_map(|slice| {
            let owner = owner_identity(fleet, &routes.hint(&slice)?.owner);

            Some(SliceView { slice, owner })
        })
        .collect()
}

/// Returns the latest known incarnation of a node, or the default one if the node is unknown.
pub fn owner_identity(fleet: &FleetState, name: &NodeName) -> NodeIdentity {
    fleet.nodes.get(name).map_or_else(
        || NodeIdentity::new(name.clone(), NodeIncarnation::default()),
        |entry| entry.identity.clone(),
    )
}
