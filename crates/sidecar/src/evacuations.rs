//! The evacuated zones as this node knows them, and how it learns of them from other nodes.

use crate::{
    links::NodeLinks,
    messages::{FollowedChanges, PeerRequest, ReplyBody},
    view::FleetView,
};
use bytes::Bytes;
use compio::time::{sleep, timeout};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tracing::{info, warn};
use wagtail_core::{
    objects::{ObjectChange, StoreRevision, StoredObject},
    service::WorkClass,
    units::LocalMoment,
};
use wagtail_net::clock;
use wagtail_route::evacuation::{EvacuationChange, EvacuationList};

/// The reason code of a refusal because the zone of the target is evacuated.
pub const ZONE_EVACUATED: &str = "zone-evacuated";

/// The delay that a refused caller is asked for when all zones with targets of the service are evacuated,
/// in milliseconds.
pub const ALL_EVACUATED_RETRY_AFTER_MS: u32 = 1_000;

/// The interval of the checks whether other nodes know a later change.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout of a request to another node for its list.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// `PeerEvacuations` is the latest change that another node has reported.
#[derive(Debug, Clone)]
struct PeerEvacuations {
    node: Arc<str>,
    changed: StoreRevision,
    /// Since when this node has lacked a change that others know.
    missing_since: LocalMoment,
}

/// `FleetEvacuations` holds the evacuated zones. Clones share it. Without a kind, where zones are not
/// evacuated, it stays empty.
#[derive(Debug, Clone, Default)]
pub struct FleetEvacuations {
    list: Rc<RefCell<EvacuationList>>,
    kind: Rc<Cell<Option<&'static str>>>,
    peers: Rc<RefCell<Option<PeerEvacuations>>>,
}

impl FleetEvacuations {
    /// Sets the kind of the objects that name evacuated zones, which is followed from now on.
    pub fn set_kind(&self, kind: &'static str) {
        self.kind.set(Some(kind));
    }

    /// Returns whether the objects of a kind name evacuated zones.
    pub fn is_kind(&self, kind: &str) -> bool {
        self.kind.get() == Some(kind)
    }

    /// Returns whether this node has read the list, from the store or another node.
    pub fn is_known(&self) -> bool {
        self.list.borrow().is_known()
    }

    /// Returns since when this node has known that a zone is evacuated, or `None` if it is not.
    pub fn since(&self, zone: &str) -> Option<LocalMoment> {
        self.list.borrow().since(zone)
    }

    /// Returns the number of evacuated zones.
    pub fn zone_count(&self) -> usize {
        self.list.borrow().zones().count()
    }

    /// Returns the revision of the latest known change.
    pub fn changed(&self) -> StoreRevision {
        self.list.borrow().changed()
    }

    /// Returns the complete list, with the revision up to which its changes are known.
    pub fn snapshot(&self) -> FollowedChanges {
        let list = self.list.borrow();

        FollowedChanges {
            revision: list.reached(),
            complete: true,
            objects: list.objects(),
        }
    }

    /// Applies a complete list at a revision.
    pub fn apply_list(&self, objects: Vec<StoredObject>, revision: StoreRevision) {
        let changes = self
            .list
            .borrow_mut()
            .apply_list(objects, revision, clock::now());

        log_changes(changes, revision);
    }

    /// Applies changes up to a revision.
    pub fn apply_changes(&self, batch: Vec<ObjectChange>, revision: StoreRevision) {
        let changes = self
            .list
            .borrow_mut()
            .apply_changes(batch, revision, clock::now());

        log_changes(changes, revision);
    }

    /// Records the latest change that another node knows.
    pub fn record_peer(&self, node: &Arc<str>, changed: StoreRevision, now: LocalMoment) {
        let reached = self.list.borrow().reached();
        let mut peers = self.peers.borrow_mut();
        let is_newest = peers.as_ref().is_none_or(|known| changed >= known.changed);
        if self.kind.get().is_none() || changed <= reached || !is_newest {
            return;
        }

        // The time counts from the first change that is missing, whatever follows.
        let missing_since = peers
            .as_ref()
            .filter(|known| known.changed > reached)
            .map_or(now, |known| known.missing_since);
        *peers = Some(PeerEvacuations {
            node: Arc::clone(node),
            changed,
            missing_since,
        });
    }

    /// Returns since when another node has been known to have a later change, or `None` if this node is
    /// up to date.
    pub fn behind_since(&self) -> Option<LocalMoment> {
        self.missing().map(|peer| peer.missing_since)
    }

    /// Returns the node that reported the latest change, while this node lacks it.
    pub fn newest_node(&self) -> Option<Arc<str>> {
        self.missing().map(|peer| peer.node)
    }

    /// Returns the latest change of another node, while this node lacks it.
    fn missing(&self) -> Option<PeerEvacuations> {
        let reached = self.list.borrow().reached();

        self.peers
            .borrow()
            .clone()
            .filter(|peer| peer.changed > reached)
    }
}

impl FleetView {
    /// Returns since when this node has known that a zone is evacuated, or `None` if it is not.
    pub fn evacuated_since(&self, zone: &str) -> Option<LocalMoment> {
        self.evacuations().since(zone)
    }

    /// Returns whether all zones with targets of a service are evacuated.
    pub fn is_service_evacuated(&self, service: &str) -> bool {
        let nodes = self.nodes_of(service);

        !nodes.is_empty()
            && nodes
                .iter()
                .all(|record| self.evacuated_since(&record.zone).is_some())
    }

    /// Replaces the evacuated zones by a complete list at a revision.
    pub fn apply_evacuations(&self, objects: Vec<StoredObject>, revision: StoreRevision) {
        self.evacuations().apply_list(objects, revision);
        self.wake_listeners();
    }
}

/// Logs which zones are evacuated from now on, or no longer.
fn log_changes(changes: Vec<EvacuationChange>, revision: StoreRevision) {
    for change in changes {
        match change {
            EvacuationChange::Evacuated { zone } => {
                info!(event = "zone-evacuated", zone = %zone, %revision);
            }
            EvacuationChange::Restored { zone } => {
                info!(event = "zone-restored", zone = %zone, %revision);
            }
        }
    }
}

/// Takes the list over from another node whenever that one knows a later change, as the store may reject
/// or delay the requests of this node. Runs until it is dropped.
pub async fn catch_up(view: FleetView, links: NodeLinks, kind: &'static str) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(node) = view.evacuations().newest_node() else {
            continue;
        };

        let request = PeerRequest::Snapshot {
            kind: Arc::from(kind),
        };
        let asked = links.ask(&node, &request, WorkClass::Short, Bytes::new());
        if let Ok(Ok(response)) = timeout(PEER_TIMEOUT, asked).await
            && let ReplyBody::Snapshot { revision, objects } = response.head.body
        {
            match objects.unpack() {
                Ok(objects) => view.apply_evacuations(objects, revision),
                Err(error) => {
                    warn!(event = "snapshot-ignored", kind, node = %node, reason = %error);
                }
            }
        }
    }
}
