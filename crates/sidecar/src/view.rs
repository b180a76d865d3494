//! The configuration, the nodes and the assignment tables as this node knows them.

use crate::{
    evacuations::FleetEvacuations,
    fleet_entry::FleetEntry,
    messages::{FollowedChanges, KnownVersions},
    node_index::NodeIndex,
    node_record::{NodeRecord, recorded_node},
    quarantine::FleetQuarantine,
    versioned_table::{TABLE_PREFIX, VersionedTable},
};
use compio::time::sleep;
use event_listener::Event;
use futures_util::future::{Either, select};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tracing::{info, warn};
use wagtail_core::{
    objects::{ObjectChange, StoreRevision, StoredObject},
    routing::RoutingConfig,
    units::LocalMoment,
};
use wagtail_net::clock;
use wagtail_route::hosts::HostTable;
use wagtail_shard::facts::FactMemory;

/// The kind of the stored objects that the nodes share: node records and assignment tables.
pub const FLEET_KIND: &str = "fleet";

/// `FleetView` holds the newest known state of the configuration and the fleet. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    config: Rc<RefCell<Rc<HostTable>>>,
    config_object: Rc<RefCell<Option<StoredObject>>>,
    objects: Rc<RefCell<BTreeMap<Arc<str>, StoredObject>>>,
    /// The revisions of the objects that cannot be read, by name.
    unreadable: Rc<RefCell<BTreeMap<Arc<str>, StoreRevision>>>,
    nodes: Rc<RefCell<NodeIndex>>,
    facts: Rc<RefCell<FactMemory>>,
    tables: Rc<RefCell<BTreeMap<Arc<str>, Rc<VersionedTable>>>>,
    fleet_revision: Rc<Cell<StoreRevision>>,
    newest_revision: Rc<Cell<StoreRevision>>,
    removed_revision: Rc<Cell<StoreRevision>>,
    changed: Rc<Event>,
    peer_versions: Rc<Cell<PeerVersions>>,
    /// The node that reported the newest version of the configuration.
    newest_config_node: Rc<RefCell<Option<Arc<str>>>>,
    quarantine: FleetQuarantine,
    evacuations: FleetEvacuations,
}

/// `PeerVersions` holds the newest versions that other nodes reported, and since when this node has
/// lacked them.
#[derive(Debug, Clone, Copy, Default)]
struct PeerVersions {
    versions: KnownVersions,
    config_missing_since: LocalMoment,
    fleet_missing_since: LocalMoment,
}

impl FleetView {
    /// Returns the routes in force, or `None` before the first configuration.
    pub fn hosts(&self) -> Option<Rc<HostTable>> {
        let hosts = Rc::clone(&self.config.borrow());

        (hosts.version() > 0).then_some(hosts)
    }

    /// Returns the requests that are refused because of the crashes that the nodes have reported.
    pub fn quarantine(&self) -> &FleetQuarantine {
        &self.quarantine
    }

    /// Returns the version of the configuration in force and the newest known object revision.
    pub fn versions(&self) -> KnownVersions {
        KnownVersions {
            config: self.config.borrow().version(),
            fleet: self.newest_revision.get(),
            evacuations: self.evacuations.changed(),
        }
    }

    /// Returns the zones that are evacuated.
    pub fn evacuations(&self) -> &FleetEvacuations {
        &self.evacuations
    }

    /// Returns the newest era of the store that this node or another one has heard of.
    pub fn newest_era(&self) -> u64 {
        self.known_fleet_revision()
            .max(self.peer_versions.get().versions.fleet)
            .era
    }

    /// Returns the node that reported the newest version of the configuration, while this node has an
    /// older one in force.
    pub fn newest_config_node(&self) -> Option<Arc<str>> {
        self.config_behind_since()?;

        self.newest_config_node.borrow().clone()
    }

    /// Records the versions that another node reported at the given moment.
    pub fn record_peer_versions(&self, node: &Arc<str>, versions: KnownVersions, now: LocalMoment) {
        let mut peer_versions = self.peer_versions.get();
        let known = KnownVersions {
            config: self.versions().config,
            fleet: self.known_fleet_revision(),
            evacuations: StoreRevision::ZERO,
        };
        self.evacuations
            .record_peer(node, versions.evacuations, now);

        // In a series of changes the time counts from the first missing one: changes in quick
        // succession must not restart it.
        if versions.config > known.config && versions.config >= peer_versions.versions.config {
            *self.newest_config_node.borrow_mut() = Some(Arc::clone(node));
        }
        if versions.config > peer_versions.versions.config {
            if peer_versions.versions.config <= known.config {
                peer_versions.config_missing_since = now;
            }
            peer_versions.versions.config = versions.config;
        }
        if versions.fleet > peer_versions.versions.fleet {
            if peer_versions.versions.fleet <= known.fleet {
                peer_versions.fleet_missing_since = now;
            }
            peer_versions.versions.fleet = versions.fleet;
        }
        self.peer_versions.set(peer_versions);
    }

    /// Returns the newest versions that other nodes have reported.
    pub fn peer_versions(&self) -> KnownVersions {
        self.peer_versions.get().versions
    }

    /// Returns since when another node has been known to have a newer configuration, or `None` if
    /// this node is up to date.
    pub fn config_behind_since(&self) -> Option<LocalMoment> {
        let peer_versions = self.peer_versions.get();

        (peer_versions.versions.config > self.versions().config)
            .then_some(peer_versions.config_missing_since)
    }

    /// Returns since when another node has been known to have newer fleet objects, or `None` if
    /// this node is up to date.
    pub fn fleet_behind_since(&self) -> Option<LocalMoment> {
        let peer_versions = self.peer_versions.get();

        (peer_versions.versions.fleet > self.known_fleet_revision())
            .then_some(peer_versions.fleet_missing_since)
    }

    /// Returns the revision up to which the fleet is known: that of the newest object, or of a
    /// later list or watch. The newest object alone does not suffice: an object that others knew
    /// may have been deleted before this node listed the fleet, and would then seem to be missing.
    fn known_fleet_revision(&self) -> StoreRevision {
        self.newest_revision.get().max(self.fleet_revision.get())
    }

    /// Puts a configuration in force if it is newer than the current one. Returns whether it did.
    pub fn apply_config(&self, object: &StoredObject, config: &RoutingConfig) -> bool {
        let known = self.config.borrow().version();
        if config.version < known {
            info!(
                event = "config-kept",
                version = known,
                offered = config.version,
                revision = %object.revision
            );
        }
        if config.version <= known {
            return false;
        }

        let next = self.config.borrow().next(config);
        *self.config.borrow_mut() = Rc::new(next);
        *self.config_object.borrow_mut() = Some(object.clone());
        self.changed.notify(usize::MAX);
        info!(
            event = "config-taken",
            version = config.version,
            before = known,
            revision = %object.revision,
            routes = config.routes.len(),
            unread = config.unread.len()
        );

        true
    }

    /// Returns the stored object of the configuration in force, or `None` before the first one.
    pub fn config_object(&self) -> Option<StoredObject> {
        self.config_object.borrow().clone()
    }

    /// Returns a known object of the fleet by its name.
    pub fn object(&self, name: &str) -> Option<StoredObject> {
        self.objects.borrow().get(name).cloned()
    }

    /// Returns all known objects of the fleet.
    pub fn fleet_objects(&self) -> Vec<StoredObject> {
        self.objects.borrow().values().cloned().collect()
    }

    /// Returns whether a complete list of the fleet was applied.
    pub fn knows_fleet(&self) -> bool {
        self.fleet_revision.get() > StoreRevision::ZERO
    }

    /// Replaces the objects of the fleet by a complete list at a revision. A list that is older
    /// than what is known already is ignored.
    pub fn apply_list(&self, objects: Vec<StoredObject>, revision: StoreRevision) {
        if revision < self.fleet_revision.get() {
            return;
        }

        let listed: BTreeSet<&Arc<str>> = objects.iter().map(|object| &object.name).collect();
        let removed: Vec<Arc<str>> = self
            .objects
            .borrow()
            .values()
            // An object that was written after the list was made is not in it, and is kept.
            .filter(|known| known.revision <= revision && !listed.contains(&known.name))
            .map(|known| Arc::clone(&known.name))
            .collect();
        for name in removed {
            self.remove(&name, revision);
        }
        for object in objects {
            self.apply_object(object);
        }
        self.advance_revision(revision);
    }

    /// Applies changes of the fleet up to a revision.
    pub fn apply_changes(&self, changes: Vec<ObjectChange>, revision: StoreRevision) {
        for change in changes {
            if change.deleted {
                let known = self.objects.borrow().get(&change.object.name).cloned();
                if known.is_none_or(|known| known.revision <= change.object.revision) {
                    self.remove(&change.object.name, revision);
                }
            } else {
                self.apply_object(change.object);
            }
        }
        self.advance_revision(revision);
    }

    /// Applies what a node that watches the store passed on.
    pub fn apply_followed(&self, followed: FollowedChanges) {
        if followed.complete {
            self.apply_list(followed.objects, followed.revision);
            return;
        }

        for object in followed.objects {
            self.apply_object(object);
        }
        self.advance_revision(followed.revision);
    }

    /// Returns the changes of the fleet after a revision, for a node that follows this one, or
    /// `None` if there are none. If an object was removed after that revision, or the revision is
    /// 0, it returns all objects, so that the follower removes the others.
    pub fn fleet_changes_after(&self, revision: StoreRevision) -> Option<FollowedChanges> {
        let reached = self.fleet_revision.get();
        if reached <= revision {
            return None;
        }

        let complete = revision.era < reached.era
            || self.removed_revision.get() > revision
            || revision == StoreRevision::ZERO;
        let objects = self.objects.borrow();
        // Of an object that cannot be read followers learn that it is there, so that its node writes it again.
        let unreadable = self.unreadable.borrow();
        let markers = unreadable.iter().map(|(name, revision)| StoredObject {
            name: Arc::clone(name),
            revision: *revision,
            content: Arc::default(),
        });
        let changed = objects.values().cloned().chain(markers);

        Some(FollowedChanges {
            revision: reached,
            complete,
            objects: changed
                .filter(|object| complete || object.revision > revision)
                .collect(),
        })
    }

    /// Returns the revision up to which all changes of the fleet are known.
    pub fn fleet_revision(&self) -> StoreRevision {
        self.fleet_revision.get()
    }

    /// Returns the revision of the configuration in force, or zero before the first one.
    pub fn config_revision(&self) -> StoreRevision {
        self.config_object
            .borrow()
            .as_ref()
            .map_or(StoreRevision::ZERO, |object| object.revision)
    }

    /// Returns the configuration if it is newer than a revision, for a node that follows this one.
    pub fn config_change_after(&self, revision: StoreRevision) -> Option<FollowedChanges> {
        let object = self.config_object.borrow().clone()?;

        (object.revision > revision).then(|| FollowedChanges {
            revision: object.revision,
            complete: true,
            objects: vec![object],
        })
    }

    /// Waits until a condition holds, for at most `limit`. The condition is checked again after
    /// each change of the view. Returns whether it holds.
    pub async fn until(&self, limit: Duration, condition: impl Fn() -> bool) -> bool {
        let mut expired = pin!(sleep(limit));

        loop {
            let change = self.changed.listen();
            if condition() {
                return true;
            }
            if let Either::Left(_) = select(&mut expired, change).await {
                return condition();
            }
        }
    }

    /// Makes all waiting tasks check their conditions again, after a change outside the view.
    pub fn wake_listeners(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Records that all changes of the fleet up to a revision are known.
    fn advance_revision(&self, revision: StoreRevision) {
        if revision > self.fleet_revision.get() {
            self.fleet_revision.set(revision);
            self.changed.notify(usize::MAX);
        }
    }

    /// Applies one object of the fleet unless the same or a later revision of it is known.
    pub fn apply_object(&self, object: StoredObject) {
        let known = self
            .objects
            .borrow()
            .get(&object.name)
            .map(|known| known.revision);
        if known.is_some_and(|known| known >= object.revision) {
            return;
        }

        match FleetEntry::read(&object) {
            Ok(FleetEntry::Node(record)) => self.apply_record(record, object.revision),
            Ok(FleetEntry::Table(service, table)) => self.apply_table(service, table),
            Err(reason) => return self.ignore_object(&object, &reason),
        }
        self.unreadable.borrow_mut().remove(&object.name);
        self.newest_revision
            .set(self.newest_revision.get().max(object.revision));
        self.objects
            .borrow_mut()
            .insert(Arc::clone(&object.name), object);
        self.changed.notify(usize::MAX);
    }

    /// Returns the records of the nodes whose target belongs to a service.
    pub fn nodes_of(&self, service: &str) -> Rc<[Rc<NodeRecord>]> {
        self.nodes.borrow().of_service(service)
    }

    /// Returns the records of all known nodes.
    pub fn nodes(&self) -> Vec<Rc<NodeRecord>> {
        self.nodes.borrow().all()
    }

    /// Returns the record of a node, or `None` if it is not known.
    pub fn node(&self, name: &str) -> Option<Rc<NodeRecord>> {
        self.nodes.borrow().get(name).cloned()
    }

    /// Returns the assignment table of a service, or `None` if none is known.
    pub fn table(&self, service: &str) -> Option<Rc<VersionedTable>> {
        self.tables.borrow().get(service).cloned()
    }

    /// Ignores an object that cannot be read. What was known under its name stays in force, and is what
    /// followers are told.
    fn ignore_object(&self, object: &StoredObject, reason: &str) {
        if self.unreadable_revision(&object.name) >= object.revision {
            return;
        }

        warn!(
            event = "fleet-entry-ignored", name = %object.name, revision = %object.revision, reason
        );
        self.unreadable
            .borrow_mut()
            .insert(Arc::clone(&object.name), object.revision);
        self.changed.notify(usize::MAX);
    }

    /// Returns the revision at which an object was found that cannot be read, or zero if its name has none.
    pub fn unreadable_revision(&self, name: &str) -> StoreRevision {
        let unreadable = self.unreadable.borrow();

        unreadable.get(name).copied().unwrap_or_default()
    }

    /// Returns the nodes whose stored records lack what they stated before the store returned from a copy.
    pub fn lost_records(&self) -> Vec<Arc<str>> {
        self.facts.borrow().lost().cloned().collect()
    }

    /// Returns whether the stored record of a node lacks what it stated before the store returned from a copy.
    pub fn is_lost(&self, node: &str) -> bool {
        self.facts.borrow().is_lost(node)
    }

    /// Applies the record of a node from an object at a revision, with what earlier ones stated for good.
    fn apply_record(&self, record: NodeRecord, revision: StoreRevision) {
        let facts = self.facts.borrow_mut().record(
            &record.node,
            record.facts(),
            revision,
            clock::unix_millis(),
        );
        let is_lost = self.is_lost(&record.node);
        let record = record.with_facts(facts);
        info!(
            event = "node-seen", node = %record.node, service = %record.service,
            ready = record.ready, departures = record.departures.len(), is_lost, %revision
        );
        self.quarantine.set_report(&record.node, &record.crashes);
        self.nodes.borrow_mut().insert(record);
    }

    /// Applies the assignment table of a service.
    fn apply_table(&self, service: Arc<str>, versioned: VersionedTable) {
        info!(
            event = "table-seen",
            service = %service,
            revision = %versioned.revision,
            rows = versioned.table.rows.len(),
            next_token = versioned.table.next_token
        );
        self.tables.borrow_mut().insert(service, Rc::new(versioned));
    }

    /// Removes an object that was deleted at or before a revision.
    fn remove(&self, name: &Arc<str>, revision: StoreRevision) {
        self.unreadable.borrow_mut().remove(name);
        if self.objects.borrow_mut().remove(name).is_none() {
            return;
        }
        self.removed_revision
            .set(self.removed_revision.get().max(revision));

        if let Some(node) = recorded_node(name) {
            info!(event = "node-removed", node);
            self.nodes.borrow_mut().remove(node);
        } else if let Some(service) = name.strip_prefix(TABLE_PREFIX) {
            self.tables.borrow_mut().remove(service);
        }
    }
}
