//! Changes of the configuration and the nodes, as the ownership task handles them.

use crate::{
    agent::AgentCommand,
    fleet::{FleetState, NodeEntry},
    ownership::{
        calls::parse_record,
        task::{OwnershipTask, ServiceRecords},
    },
};
use tracing::{info, warn};
use wagtail_assign::{AssignEvent, PlacementTarget};
use wagtail_core::{
    ids::{NodeIdentity, ServiceName},
    ports::StoredValue,
    slice::SliceId,
};
use wagtail_lease::{LeaseEvent, MemberInfo};
use wagtail_net::clock;
use wagtail_route::RouteHint;

impl OwnershipTask {
    /// Passes the current fleet to both state machines and reads the records of new services.
    pub(super) fn fleet_changed(&mut self) {
        let fleet = self.options.fleet.load();
        let members = fleet.nodes.values().map(|entry| member_info(&fleet, entry));

        self.drive(LeaseEvent::MembersChanged(members.collect()));
        self.apply_fencing(&fleet);
        self.apply_gone_nodes(&fleet);

        let actions = self.placing.apply_fleet(clock::now(), &fleet);
        self.assign(actions);

        self.options.agent.tell(AgentCommand::ConfigChanged);
        self.read_services();
    }

    /// Informs the lease machine for each service whether its targets check fencing tokens.
    fn apply_fencing(&mut self, fleet: &FleetState) {
        for spec in &fleet.config.services {
            let service = spec.name.clone();

            self.drive(LeaseEvent::ServiceFencing {
                service,
                fenced: spec.fenced,
            });
        }
    }

    /// Reports to the lease machine, once for each node, the nodes that the operator declared
    /// lost. A node that has started again since then is left out.
    fn apply_gone_nodes(&mut self, fleet: &FleetState) {
        let has_returned = |gone: &NodeIdentity| {
            let entry = fleet.nodes.get(&gone.name);
            entry.is_some_and(|entry| entry.identity.incarnation > gone.incarnation)
        };

        for gone in fleet.config.gone.iter().filter(|gone| !has_returned(gone)) {
            if self.gone.insert(gone.clone()) {
                self.drive(LeaseEvent::NodeGone {
                    name: gone.name.clone(),
                });
            }
        }
    }

    /// Lists the lease records of every keyed service whose records are neither known nor being
    /// read.
    pub(super) fn read_services(&mut self) {
        let fleet = self.options.fleet.load();

        for spec in fleet.config.services.iter().filter(|spec| spec.keyed) {
            if !self.records.contains_key(&spec.name) {
                self.records
                    .insert(spec.name.clone(), ServiceRecords::Reading);
                self.calls.list(spec.name.clone());
            }
        }
    }

    /// Passes the listed records of a service to the lease machine and the routes. A record that
    /// cannot be parsed is logged and skipped.
    pub(super) fn records_listed(&mut self, service: ServiceName, records: &[StoredValue]) {
        info!(event = "leases-listed", %service, records = records.len());

        let mut versioned = Vec::new();
        for stored in records {
            if let Some(mut record) = parse_record(stored) {
                self.names.share(&mut record.record);
                versioned.push(record);
            } else {
                warn!(event = "lease-unreadable", key = %stored.key);
            }
        }

        for stored in &versioned {
            self.options.view.learn(RouteHint::from(&stored.record));
        }
        self.drive(LeaseEvent::RecordsListed(versioned));
        self.records.insert(service, ServiceRecords::Known);
    }

    /// Reports the slices without a known owner to the assignment, once the records of its service
    /// are known.
    pub(super) fn report_unowned(&mut self) {
        let fleet = self.options.fleet.load();
        let Some(service) = self.placing.service().cloned() else {
            return;
        };
        let known = self.records.get(&service) == Some(&ServiceRecords::Known);
        let Some(spec) = fleet.config.service(&service).filter(|_| known) else {
            return;
        };

        let slices = (0..spec.slices).filter(|&index| {
            self.options
                .view
                .is_unowned(&SliceId::new(service.clone(), index))
        });
        let event = AssignEvent::SlicesUnowned {
            slices: slices.collect(),
        };
        let actions = self.placing.handle(clock::now(), event);
        self.assign(actions);
    }
}

/// Returns the targets that may claim slices of a service: those whose nodes are not leaving.
pub fn claim_targets(fleet: &FleetState, service: &ServiceName) -> Vec<PlacementTarget> {
    fleet
        .targets(service)
        .filter(|entry| !fleet.is_leaving(entry))
        .map(|entry| PlacementTarget::new(entry.identity.name.clone(), 1))
        .collect()
}

/// Converts the entry of a node into a member for the lease machine.
fn member_info(fleet: &FleetState, entry: &NodeEntry) -> MemberInfo {
    MemberInfo {
        identity: entry.identity.clone(),
        zone: entry.zone.clone(),
        region: entry.region.clone(),
        service: entry.service.clone(),
        draining: fleet.is_leaving(entry),
    }
}
