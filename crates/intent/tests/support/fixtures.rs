//! A fleet and a service declaration for the tests.

use wagtail_core::{
    ids::{NodeIdentity, NodeIncarnation, NodeName, ServiceName, ZoneName},
    service::{OperationSpec, ServiceSpec, WorkClass},
    slice::SliceId,
};
use wagtail_intent::{FleetView, NodeView, SliceView};

/// The number of nodes of the fleet.
pub const NODES: usize = 5;

/// Creates the declaration of a keyed service with an idempotent read and a write that is not.
pub fn service_spec(name: &str, slots: u32) -> ServiceSpec {
    let operation = |name: &str, method: &str, idempotent| OperationSpec {
        name: name.to_owned().try_into().unwrap(),
        method: method.to_owned(),
        path: "/slots".to_owned(),
        idempotent,
        class: WorkClass::Short,
    };

    ServiceSpec {
        name: ServiceName::new(name).unwrap(),
        keyed: true,
        slices: 8,
        slots,
        connections: 120,
        fenced: false,
        max_deadline_ms: 5_000,
        operations: vec![
            operation("list", "GET", true),
            operation("book", "POST", false),
        ],
        tenants: Vec::new(),
    }
}

/// Creates a fleet in three zones whose nodes all serve `agenda` and share its slices.
pub fn fleet_view() -> FleetView {
    let identity = |index: usize| {
        let name = NodeName::new(format!("vm-{index}")).unwrap();

        NodeIdentity::new(name, NodeIncarnation(3))
    };
    let service = ServiceName::new("agenda").unwrap();
    let node = |index: usize| NodeView {
        identity: identity(index),
        zone: ZoneName::new(["az-a", "az-b", "az-c"][index % 3]).unwrap(),
        service: Some(service.clone()),
        fenced: false,
        leaving: false,
        reachable: true,
    };
    let slice = |index: u32| SliceView {
        slice: SliceId::new(service.clone(), index),
        owner: identity(index as usize % NODES),
    };

    FleetView {
        nodes: (0..NODES).map(node).collect(),
        slices: (0..8).map(slice).collect(),
    }
}
