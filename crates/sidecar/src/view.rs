//! The configuration, the nodes and the tables of keys as this node knows them.

use crate::messages::{FollowedChanges, KnownVersions};
use compio::time::sleep;
use event_listener::Event;
use futures_util::future::{Either, select};
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tracing::{info, warn};
use wagtail_core::{
    objects::{ObjectChange, StoredObject},
    routing::RoutingConfig,
    units::LocalMoment,
};
use wagtail_route::hosts::HostTable;
use wagtail_shard::table::RangeTable;

/// The kind of the objects that the nodes share.
pub const FLEET_KIND: &str = "fleet";

/// The prefix of the names of node records.
const NODE_PREFIX: &str = "node.";

/// The prefix of the names of tables of keys.
const TABLE_PREFIX: &str = "ranges.";

/// `NodeRecord` is what a node publishes of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeRecord {
    /// The node.
    pub node: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The address for other nodes.
    pub peers: SocketAddr,
    /// The service of the target beside the node.
    pub service: Arc<str>,
    /// The requests that the target runs at a time.
    pub slots: u32,
    /// Whether the target takes new work.
    pub ready: bool,
}

/// `VersionedTable` is a table of keys with the revision of its object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedTable {
    /// The revision.
    pub revision: u64,
    /// The table.
    pub table: RangeTable,
}

/// Returns the name of the record of a node.
pub fn record_name(node: &str) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// Returns the name of the table of a service.
pub fn table_name(service: &str) -> String {
    format!("{TABLE_PREFIX}{service}")
}

/// `FleetView` is the shared view; clones show the same.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    config: Rc<RefCell<Rc<HostTable>>>,
    config_object: Rc<RefCell<Option<StoredObject>>>,
    objects: Rc<RefCell<BTreeMap<Arc<str>, StoredObject>>>,
    nodes: Rc<RefCell<BTreeMap<Arc<str>, Rc<NodeRecord>>>>,
    tables: Rc<RefCell<BTreeMap<Arc<str>, Rc<VersionedTable>>>>,
    fleet_revision: Rc<Cell<u64>>,
    newest_object: Rc<Cell<u64>>,
    removed_revision: Rc<Cell<u64>>,
    changed: Rc<Event>,
    heard: Rc<Cell<HeardVersions>>,
}

/// `HeardVersions` are the newest versions that other nodes told of.
#[derive(Debug, Clone, Copy, Default)]
struct HeardVersions {
    versions: KnownVersions,
    config_since: LocalMoment,
    fleet_since: LocalMoment,
}

impl FleetView {
    /// Returns the routes in force, or nothing before the first configuration.
    pub fn hosts(&self) -> Option<Rc<HostTable>> {
        let hosts = Rc::clone(&self.config.borrow());

        (hosts.version() > 0).then_some(hosts)
    }

    /// Returns the versions of what this node knows.
    pub fn versions(&self) -> KnownVersions {
        KnownVersions {
            config: self.config.borrow().version(),
            fleet: self.newest_object.get(),
        }
    }

    /// Takes note of the versions that another node knows.
    pub fn record_peer_versions(&self, versions: KnownVersions, now: LocalMoment) {
        let mut heard = self.heard.get();
        let known = KnownVersions {
            config: self.versions().config,
            fleet: self.reached_fleet(),
        };

        // In a series of changes the first one that is missing counts, not the latest.
        if versions.config > heard.versions.config {
            if heard.versions.config <= known.config {
                heard.config_since = now;
            }
            heard.versions.config = versions.config;
        }
        if versions.fleet > heard.versions.fleet {
            if heard.versions.fleet <= known.fleet {
                heard.fleet_since = now;
            }
            heard.versions.fleet = versions.fleet;
        }
        self.heard.set(heard);
    }

    /// Returns since when other nodes have known a newer configuration.
    pub fn config_behind_since(&self) -> Option<LocalMoment> {
        let heard = self.heard.get();

        (heard.versions.config > self.versions().config).then_some(heard.config_since)
    }

    /// Returns since when other nodes have known newer objects of the fleet.
    pub fn fleet_behind_since(&self) -> Option<LocalMoment> {
        let heard = self.heard.get();

        (heard.versions.fleet > self.reached_fleet()).then_some(heard.fleet_since)
    }

    /// Returns the revision up to which the fleet is known: that of the newest object, or a later
    /// one up to which there is no other. An object that others knew may be deleted meanwhile.
    fn reached_fleet(&self) -> u64 {
        self.newest_object.get().max(self.fleet_revision.get())
    }

    /// Puts a configuration in force unless a newer one is. Returns whether it was taken.
    pub fn apply_config(&self, object: &StoredObject, config: &RoutingConfig) -> bool {
        let known = self.config.borrow().version();
        if config.version <= known {
            return false;
        }

        *self.config.borrow_mut() = Rc::new(HostTable::new(config));
        *self.config_object.borrow_mut() = Some(object.clone());
        self.changed.notify(usize::MAX);
        info!(
            event = "config-taken",
            version = config.version,
            before = known,
            revision = object.revision,
            routes = config.routes.len()
        );

        true
    }

    /// Returns the object of the configuration in force.
    pub fn config_object(&self) -> Option<StoredObject> {
        self.config_object.borrow().clone()
    }

    /// Returns the known objects of the fleet.
    pub fn fleet_objects(&self) -> Vec<StoredObject> {
        self.objects.borrow().values().cloned().collect()
    }

    /// Replaces the objects of the fleet by a list at a later revision.
    pub fn apply_list(&self, objects: Vec<StoredObject>, revision: u64) {
        if revision < self.fleet_revision.get() {
            return;
        }

        let kept: BTreeSet<&Arc<str>> = objects.iter().map(|object| &object.name).collect();
        let gone: Vec<Arc<str>> = self
            .objects
            .borrow()
            .values()
            // An object that was written after the list was made is not in it.
            .filter(|known| known.revision <= revision && !kept.contains(&known.name))
            .map(|known| Arc::clone(&known.name))
            .collect();
        for name in gone {
            self.remove(&name, revision);
        }
        for object in objects {
            self.apply_object(object);
        }
        self.reach(revision);
    }

    /// Takes changes of the fleet's objects.
    pub fn apply_changes(&self, changes: Vec<ObjectChange>, revision: u64) {
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
        self.reach(revision);
    }

    /// Takes what a node that watches the store passes on.
    pub fn apply_followed(&self, followed: FollowedChanges) {
        if followed.complete {
            self.apply_list(followed.objects, followed.revision);
            return;
        }

        for object in followed.objects {
            self.apply_object(object);
        }
        self.reach(followed.revision);
    }

    /// Returns the changes of the fleet after a revision, for a node that follows this one.
    pub fn fleet_changes_after(&self, revision: u64) -> Option<FollowedChanges> {
        let reached = self.fleet_revision.get();
        if reached <= revision {
            return None;
        }

        let complete = revision == 0 || self.removed_revision.get() > revision;
        let objects = self.objects.borrow();
        let changed = objects
            .values()
            .filter(|object| complete || object.revision > revision);

        Some(FollowedChanges {
            revision: reached,
            complete,
            objects: changed.cloned().collect(),
        })
    }

    /// Returns the configuration when it is later than a revision, for a node that follows this
    /// one.
    pub fn config_change_after(&self, revision: u64) -> Option<FollowedChanges> {
        let object = self.config_object.borrow().clone()?;

        (object.revision > revision).then(|| FollowedChanges {
            revision: object.revision,
            complete: true,
            objects: vec![object],
        })
    }

    /// Waits for at most `limit` until a condition on what is known holds. Returns whether it does.
    pub async fn until(&self, limit: Duration, holds: impl Fn() -> bool) -> bool {
        let mut expired = pin!(sleep(limit));

        loop {
            let change = self.changed.listen();
            if holds() {
                return true;
            }
            if let Either::Left(_) = select(&mut expired, change).await {
                return holds();
            }
        }
    }

    /// Ends the waits of all listeners, as what they look at beside the view has changed.
    pub fn wake_listeners(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Notes that all changes of the fleet up to a revision are known.
    fn reach(&self, revision: u64) {
        if revision > self.fleet_revision.get() {
            self.fleet_revision.set(revision);
            self.changed.notify(usize::MAX);
        }
    }

    /// Takes one object unless a later state of it is known.
    pub fn apply_object(&self, object: StoredObject) {
        let known = self
            .objects
            .borrow()
            .get(&object.name)
            .map(|known| known.revision);
        if known.is_some_and(|known| known >= object.revision) {
            return;
        }

        if object.name.starts_with(NODE_PREFIX) {
            self.take_record(&object);
        } else if let Some(service) = object.name.strip_prefix(TABLE_PREFIX) {
            self.take_table(service, &object);
        }
        self.newest_object
            .set(self.newest_object.get().max(object.revision));
        self.objects
            .borrow_mut()
            .insert(Arc::clone(&object.name), object);
        self.changed.notify(usize::MAX);
    }

    /// Returns the nodes beside targets of a service.
    pub fn nodes_of(&self, service: &str) -> Vec<Rc<NodeRecord>> {
        self.nodes
            .borrow()
            .values()
            .filter(|record| &*record.service == service)
            .cloned()
            .collect()
    }

    /// Returns all nodes.
    pub fn nodes(&self) -> Vec<Rc<NodeRecord>> {
        self.nodes.borrow().values().cloned().collect()
    }

    /// Returns the record of a node.
    pub fn node(&self, name: &str) -> Option<Rc<NodeRecord>> {
        self.nodes.borrow().get(name).cloned()
    }

    /// Returns the table of a service.
    pub fn table(&self, service: &str) -> Option<Rc<VersionedTable>> {
        self.tables.borrow().get(service).cloned()
    }

    /// Takes the record of a node.
    fn take_record(&self, object: &StoredObject) {
        match serde_json::from_str::<NodeRecord>(&object.content) {
            Ok(record) => {
                info!(
                    event = "node-seen", node = %record.node, service = %record.service,
                    ready = record.ready, revision = object.revision
                );
                self.nodes
                    .borrow_mut()
                    .insert(Arc::clone(&record.node), Rc::new(record));
            }
            Err(error) => {
                warn!(event = "record-ignored", name = %object.name, reason = %error);
            }
        }
    }

    /// Takes the table of a service.
    fn take_table(&self, service: &str, object: &StoredObject) {
        match read_table(object) {
            Ok(table) => {
                info!(
                    event = "table-seen",
                    service,
                    revision = object.revision,
                    rows = table.rows.len(),
                    next_token = table.next_token
                );
                let versioned = VersionedTable {
                    revision: object.revision,
                    table,
                };
                self.tables
                    .borrow_mut()
                    .insert(Arc::from(service), Rc::new(versioned));
            }
            Err(reason) => {
                warn!(event = "table-ignored", name = %object.name, reason = %reason);
            }
        }
    }

    /// Forgets an object that was deleted at a revision or before it.
    fn remove(&self, name: &Arc<str>, revision: u64) {
        if self.objects.borrow_mut().remove(name).is_none() {
            return;
        }
        self.removed_revision
            .set(self.removed_revision.get().max(revision));

        if let Some(node) = name.strip_prefix(NODE_PREFIX) {
            info!(event = "node-removed", node);
            self.nodes.borrow_mut().remove(node);
        } else if let Some(service) = name.strip_prefix(TABLE_PREFIX) {
            self.tables.borrow_mut().remove(service);
        }
    }
}

/// Reads a table of keys.
///
/// # Errors
///
/// Returns the reason when the content is no sound table.
pub fn read_table(object: &StoredObject) -> std::result::Result<RangeTable, String> {
    let table: RangeTable =
        serde_json::from_str(&object.content).map_err(|error| error.to_string())?;

    if table.is_sound() {
        Ok(table)
    } else {
        Err("the rows do not cover all keys once".to_owned())
    }
}
