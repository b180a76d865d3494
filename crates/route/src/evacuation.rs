//! The availability zones that an operator has asked to be evacuated, as one node knows them.
//!
//! The store holds an object for each of these zones, whose name is that of the zone. A node reads the
//! list of objects and follows its changes, or takes the list over from another node.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use wagtail_core::{
    objects::{ObjectChange, StoreRevision, StoredObject},
    units::LocalMoment,
};

/// `EvacuationChange` is a change of the zones that are evacuated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The zone gets no requests from now on.
    Evacuated {
        /// The name of the zone.
        zone: Arc<str>,
    },
    /// The evacuation of the zone was withdrawn.
    Restored {
        /// The name of the zone.
        zone: Arc<str>,
    },
}

/// `EvacuatedZone` is a zone that is evacuated, with its object in the store.
#[derive(Debug, Clone)]
struct EvacuatedZone {
    object: StoredObject,
    since: LocalMoment,
}

/// `EvacuationList` holds the zones that are evacuated, and since when this node has known of each.
///
/// The list always follows the store: one that was read in a later era replaces all that was known
/// before, as the store may have lost changes when it returned from a copy.
#[derive(Debug, Default)]
pub struct EvacuationList {
    zones: BTreeMap<Arc<str>, EvacuatedZone>,
    /// The revision up to which all changes are known; zero before the first list.
    reached: StoreRevision,
    /// The revision of the latest change, or a later one up to which no other change took place.
    changed: StoreRevision,
}

impl EvacuationList {
    /// Returns whether a list was applied.
    pub fn is_known(&self) -> bool {
        self.reached > StoreRevision::ZERO
    }

    /// Returns the revision up to which all changes are known.
    pub fn reached(&self) -> StoreRevision {
        self.reached
    }

    /// Returns the revision of the latest change, which other nodes compare with what they have reached.
    /// A deletion has the revision of the batch that reported it, as it has none of its own.
    pub fn changed(&self) -> StoreRevision {
        self.changed
    }

    /// Returns since when this node has known that a zone is evacuated, or `None` if it is not.
    pub fn since(&self, zone: &str) -> Option<LocalMoment> {
        self.zones.get(zone).map(|evacuated| evacuated.since)
    }

    /// Returns the names of the zones that are evacuated.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.keys()
    }

    /// Returns the stored objects of the zones that are evacuated.
    pub fn objects(&self) -> Vec<StoredObject> {
        self.zones
            .values()
            .map(|evacuated| evacuated.object.clone())
            .collect()
    }

    /// Replaces the evacuated zones by a complete list at a revision, unless that is older than what is
    /// known. Zones of the first list count as known for long: an earlier process of this node may have
    /// known of them.
    pub fn apply_list(
        &mut self,
        objects: Vec<StoredObject>,
        revision: StoreRevision,
        now: LocalMoment,
    ) -> Vec<EvacuationChange> {
        if revision < self.reached || revision == StoreRevision::ZERO {
            return Vec::new();
        }
        let since = if self.is_known() {
            now
        } else {
            LocalMoment::ZERO
        };

        let listed: BTreeSet<Arc<str>> = objects
            .iter()
            .map(|object| Arc::clone(&object.name))
            .collect();
        let missing: Vec<Arc<str>> = self
            .zones
            .keys()
            .filter(|zone| !listed.contains(*zone))
            .cloned()
            .collect();
        let mut changes: Vec<EvacuationChange> = missing
            .into_iter()
            .filter_map(|zone| self.restore(&zone, revision))
            .collect();
        for object in objects {
            changes.extend(self.evacuate(object, since));
        }
        self.reached = revision;

        changes
    }

    /// Applies changes, oldest first, up to a revision.
    pub fn apply_changes(
        &mut self,
        batch: Vec<ObjectChange>,
        revision: StoreRevision,
        now: LocalMoment,
    ) -> Vec<EvacuationChange> {
        if revision < self.reached {
            return Vec::new();
        }

        let mut changes = Vec::new();
        for change in batch {
            if change.deleted {
                // A list that was taken over meanwhile may hold the zone as it was evacuated again.
                let known = self.zones.get(&change.object.name);
                if known.is_some_and(|known| known.object.revision > change.object.revision) {
                    continue;
                }
                changes.extend(self.restore(&change.object.name, revision));
            } else if change.object.revision > self.reached {
                changes.extend(self.evacuate(change.object, now));
            }
        }
        self.reached = revision;

        changes
    }

    /// Records that a zone is evacuated, known since `since` unless it was known before.
    fn evacuate(&mut self, object: StoredObject, since: LocalMoment) -> Option<EvacuationChange> {
        self.changed = self.changed.max(object.revision);
        let zone = Arc::clone(&object.name);
        if let Some(known) = self.zones.get_mut(&zone) {
            known.object = object;
            return None;
        }

        self.zones
            .insert(Arc::clone(&zone), EvacuatedZone { object, since });
        Some(EvacuationChange::Evacuated { zone })
    }

    /// Records that the object of a zone was deleted at or before a revision.
    fn restore(&mut self, zone: &Arc<str>, revision: StoreRevision) -> Option<EvacuationChange> {
        self.zones.remove(zone)?;
        self.changed = self.changed.max(revision);

        Some(EvacuationChange::Restored {
            zone: Arc::clone(zone),
        })
    }
}
