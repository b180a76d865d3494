//! The evacuated zones as this node knows them, and how it learns of them from other nodes.

use crate::{
    links::NodeLinks,
    messages::{FollowedChanges, PeerRequest, ReplyBody},
    view::FleetView,
};
use bytes::Bytes;
use compio::time::{sleep, timeout};
use futures_util::future::join;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tracing::{info, warn};
use wagtail_core::{
    objects::{ObjectChange, ObjectStore, StoreRevision, StoredObject},
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
    check: Rc<Cell<StandstillCheck>>,
}

/// `StandstillCheck` tells whether the process stood still, so that the list may be outdated.
#[derive(Debug, Clone, Copy, Default)]
struct StandstillCheck {
    /// When the process last checked, with the longest time until the next check.
    checked_at: Option<(LocalMoment, Duration)>,
    /// Whether the list has to be read again.
    is_unconfirmed: bool,
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

    /// Returns whether the list is known, and the process has not stood still since it was up to date.
    pub fn is_current(&self, now: LocalMoment) -> bool {
        let check = self.check.get();
        let stands_still = check
            .checked_at
            .is_some_and(|(at, longest)| now.since(at) > longest);

        self.is_known() && !check.is_unconfirmed && !stands_still
    }

    /// Records that the process goes on. The list has to be read again if it stood still for longer than
    /// `max_standstill`.
    pub fn record_check(&self, now: LocalMoment, max_standstill: Duration) {
        let mut check = self.check.get();
        let stood_still = check
            .checked_at
            .is_some_and(|(at, longest)| now.since(at) > longest);
        if stood_still {
            check.is_unconfirmed = true;
            warn!(
                event = "evacuations-unconfirmed",
                reason = "the process stood still"
            );
        }

        check.checked_at = Some((now, max_standstill));
        self.check.set(check);
    }

    /// Returns whether the list needs not be read again.
    pub fn is_confirmed(&self) -> bool {
        !self.check.get().is_unconfirmed
    }

    /// Records that the list was read again.
    pub fn confirm(&self) {
        let mut check = self.check.get();
        check.is_unconfirmed = false;
        self.check.set(check);
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

/// `EvacuationOptions` holds how a node keeps its list up to date beside the watch of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationOptions {
    /// The interval of the checks whether other nodes know a later change.
    pub check_interval: Duration,
    /// The timeout of a request to another node, or to the store, for the list.
    pub timeout: Duration,
    /// The longest time for which the process may stand still without reading the list again.
    pub max_standstill: Duration,
}

impl Default for EvacuationOptions {
    fn default() -> Self {
        Self {
            check_interval: Duration::from_millis(100),
            timeout: Duration::from_millis(400),
            max_standstill: Duration::from_millis(2_500),
        }
    }
}

impl EvacuationOptions {
    /// Creates options for zones that get no requests `limit` after their evacuation.
    #[must_use]
    pub fn with_limit(limit: Duration) -> Self {
        Self {
            max_standstill: limit / 2,
            ..Self::default()
        }
    }
}

/// `EvacuationFollower` takes the list over from other nodes, as the store may reject or delay the
/// requests of this one.
#[derive(Debug)]
pub struct EvacuationFollower {
    /// The view that is kept up to date.
    pub view: FleetView,
    /// The connections to the other nodes.
    pub links: NodeLinks,
    /// The store, which is asked as well after the process stood still.
    pub store: Rc<dyn ObjectStore>,
    /// The name of this node.
    pub node: Arc<str>,
    /// The kind of the objects that name evacuated zones.
    pub kind: &'static str,
    /// The intervals and limits of time.
    pub options: EvacuationOptions,
}

impl EvacuationFollower {
    /// Reads the list of another node whenever that one knows a later change, and of any after the process
    /// stood still. Runs until it is dropped.
    pub async fn run(self) {
        let mut turn = 0;
        loop {
            let evacuations = self.view.evacuations();
            sleep(self.options.check_interval).await;
            evacuations.record_check(clock::now(), self.options.max_standstill);

            if let Some(node) = evacuations.newest_node() {
                self.read_peer(&node).await;
            }
            if !evacuations.is_confirmed() {
                turn += 1;
                let is_read = match self.other_node(turn) {
                    Some(node) => join(self.read_peer(&node), self.read_store()).await,
                    None => (false, self.read_store().await),
                };
                if is_read.0 || is_read.1 {
                    evacuations.confirm();
                }
            }
        }
    }

    /// Returns another node that is ready, a different one each turn.
    fn other_node(&self, turn: usize) -> Option<Arc<str>> {
        let nodes = self.view.nodes();
        let others: Vec<&Arc<str>> = nodes
            .iter()
            .filter(|record| record.ready && record.node != self.node)
            .map(|record| &record.node)
            .collect();

        (!others.is_empty()).then(|| Arc::clone(others[turn % others.len()]))
    }

    /// Applies the list of another node. Returns whether that has one.
    async fn read_peer(&self, node: &Arc<str>) -> bool {
        let request = PeerRequest::Snapshot {
            kind: Arc::from(self.kind),
        };
        let asked = self
            .links
            .ask(node, &request, WorkClass::Short, Bytes::new());
        let Ok(Ok(response)) = timeout(self.options.timeout, asked).await else {
            return false;
        };
        let ReplyBody::Snapshot { revision, objects } = response.head.body else {
            return false;
        };

        match objects.unpack() {
            Ok(objects) => {
                self.view.apply_evacuations(objects, revision);
                revision > StoreRevision::ZERO
            }
            Err(error) => {
                let kind = self.kind;
                warn!(event = "snapshot-ignored", kind, node = %node, reason = %error);
                false
            }
        }
    }

    /// Applies the list of the store. Returns whether that has responded.
    async fn read_store(&self) -> bool {
        let Ok(Ok(list)) = timeout(self.options.timeout, self.store.list(self.kind)).await else {
            return false;
        };
        self.view.apply_evacuations(list.objects, list.revision);

        true
    }
}
