//! The assignment of this node's slices, driven inside the ownership task.

use crate::fleet::{FleetState, NodeEntry};
use std::collections::BTreeMap;
use wagtail_assign::{
    AssignAction, AssignEvent, AssignMachine, LoadMessage, LoadSample, TargetMember,
};
use wagtail_core::{
    ids::{NodeName, ServiceName},
    units::LocalMoment,
};

/// `PlacingState` holds the assignment machine of the keyed service that this node's target serves.
#[derive(Debug)]
pub struct PlacingState {
    node: NodeName,
    seed: u64,
    service: Option<ServiceName>,
    machine: Option<AssignMachine>,
    /// The destinations of the slices that are moving away, by slice index.
    moving: BTreeMap<u32, NodeName>,
    /// Whether this node's target responds.
    target_up: bool,
}

impl PlacingState {
    /// Creates the state of a node whose target has not announced itself yet.
    pub fn new(node: NodeName, seed: u64) -> Self {
        Self {
            node,
            seed,
            service: None,
            machine: None,
            moving: BTreeMap::new(),
            target_up: true,
        }
    }

    /// Returns the keyed service that this node's target serves; `None` before it is known.
    pub fn service(&self) -> Option<&ServiceName> {
        self.service.as_ref()
    }

    /// Sets whether the target responds, and returns whether that changed. A node whose target does
    /// not respond counts as draining from the next [`Self::apply_fleet`] on.
    pub fn set_target_up(&mut self, up: bool) -> bool {
        let changed = self.target_up != up;
        self.target_up = up;

        changed
    }

    /// Applies the fleet: the service of this node's target and the targets of that service.
    /// Without a keyed service nothing changes.
    pub fn apply_fleet(&mut self, now: LocalMoment, fleet: &FleetState) -> Vec<AssignAction> {
        let own = fleet.nodes.get(&self.node);
        let service = own.and_then(|entry| entry.service.clone());
        let keyed =
            service.filter(|name| fleet.config.service(name).is_some_and(|spec| spec.keyed));
        let Some(service) = keyed else {
            return Vec::new();
        };

        if self.service.as_ref() != Some(&service) {
            let machine = AssignMachine::new(now, self.node.clone(), service.clone(), self.seed);
            self.machine = Some(machine);
        }
        let members = self.members(fleet, &service);
        self.service = Some(service);

        self.handle(now, AssignEvent::MembersChanged { members })
    }

    /// Returns the targets of a service as members for the assignment machine.
    fn members(&self, fleet: &FleetState, service: &ServiceName) -> Vec<TargetMember> {
        let member = |entry: &NodeEntry| {
            let node = entry.identity.name.clone();
            let down = node == self.node && !self.target_up;

            TargetMember {
                node,
                weight: 1,
                draining: down || fleet.is_leaving(entry),
            }
        };

        fleet.targets(service).map(member).collect()
    }

    /// Passes an event to the assignment machine, if there is one, and returns its actions.
    pub fn handle(&mut self, now: LocalMoment, event: AssignEvent) -> Vec<AssignAction> {
        self.machine
            .as_mut()
            .map_or_else(Vec::new, |machine| machine.handle(now, event))
    }

    /// Passes the measured load and a tick to the machine.
    pub fn measure(&mut self, now: LocalMoment, sample: LoadSample) -> Vec<AssignAction> {
        let mut actions = self.handle(now, AssignEvent::LoadMeasured { sample });
        actions.extend(self.handle(now, AssignEvent::Tick));

        actions
    }

    /// Passes the load of a peer's target to the machine.
    pub fn receive(&mut self, now: LocalMoment, message: LoadMessage) -> Vec<AssignAction> {
        self.handle(now, AssignEvent::LoadReceived { message })
    }

    /// Records the start of a slice's move to another node.
    pub fn begin_move(&mut self, slice: u32, to: NodeName) {
        self.moving.insert(slice, to);
    }

    /// Records that this node serves a slice. If the slice was moving away, the move has failed.
    pub fn serve(&mut self, now: LocalMoment, slice: u32) -> Vec<AssignAction> {
        if self.moving.remove(&slice).is_some() {
            return self.handle(now, AssignEvent::MoveFailed { slice });
        }

        self.handle(now, AssignEvent::SliceTaken { slice })
    }

    /// Records that this node no longer serves a slice: its move has finished, or the slice is
    /// lost.
    pub fn stop(&mut self, now: LocalMoment, slice: u32) -> Vec<AssignAction> {
        let event = if self.moving.remove(&slice).is_some() {
            AssignEvent::MoveFinished { slice }
        } else {
            AssignEvent::SliceLost { slice }
        };

        self.handle(now, event)
    }

    /// Records that a move was refused before it began.
    pub fn refuse_move(&mut self, now: LocalMoment, slice: u32) -> Vec<AssignAction> {
        self.moving.remove(&slice);

        self.handle(now, AssignEvent::MoveFailed { slice })
    }
}
