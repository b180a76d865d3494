//! The home of a request: the only target that may run a non-idempotent request to a service
//! without keys.

use crate::{
    fleet::{FleetState, NodeEntry},
    identifier::issued_moment,
};
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use wagtail_core::{
    ids::{NodeIdentity, NodeName, RequestId, ServiceName},
    units::LocalMoment,
};
use wagtail_route::{HomeChoice, HomeOptions, HomeTable};

/// `ServiceHomes` holds the home table of one service and the daemon incarnations in it.
#[derive(Debug)]
struct ServiceHomes {
    table: HomeTable,
    present: BTreeMap<NodeName, NodeIdentity>,
}

/// `HomeTables` holds a home table for each service without keys.
#[derive(Debug, Default)]
pub struct HomeTables {
    services: BTreeMap<ServiceName, ServiceHomes>,
}

impl HomeTables {
    /// Returns the home of a non-idempotent request.
    pub fn home(
        &mut self,
        now: LocalMoment,
        fleet: &FleetState,
        service: &ServiceName,
        id: &RequestId,
    ) -> HomeChoice {
        let homes = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceHomes {
                table: HomeTable::new(HomeOptions::default()),
                present: BTreeMap::new(),
            });

        homes.update(now, fleet, service);

        homes.table.home(now, id, issued_moment(now, id))
    }
}

impl ServiceHomes {
    /// Updates the table with the targets that joined or left.
    fn update(&mut self, now: LocalMoment, fleet: &FleetState, service: &ServiceName) {
        let present: BTreeMap<NodeName, NodeIdentity> = fleet
            .targets(service)
            .filter(|entry| !fleet.is_leaving(entry))
            .map(|entry: &NodeEntry| (entry.identity.name.clone(), entry.identity.clone()))
            .collect();

        if present == self.present {
            return;
        }

        for name in self
            .present
            .keys()
            .filter(|name| !present.contains_key(*name))
        {
            self.table.leave(name, now);
        }
        for identity in present.values() {
            if self.present.get(&identity.name) != Some(identity) {
                self.table
                    .join(identity.name.clone(), start_moment(now, identity));
            }
        }

        self.table.expire(now);
        self.present = present;
    }
}

/// Returns the moment at which a daemon started, on this node's clock.
fn start_moment(now: LocalMoment, identity: &NodeIdentity) -> LocalMoment {
    let unix_now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let age = unix_now.saturating_sub(Duration::from_millis(identity.incarnation.0));

    now - age
}
