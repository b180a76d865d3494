//! The relay of store changes to the nodes that follow this one instead of the store.

use crate::{
    messages::FollowedChanges,
    view::{FLEET_KIND, FleetView},
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tracing::warn;
use wagtail_core::objects::StoreRevision;
use wagtail_peer::packed::PackedValue;

/// `WatchRelay` passes the changes that this node receives from the store on to other nodes. Clones
/// share their state.
#[derive(Debug, Clone)]
pub struct WatchRelay {
    view: FleetView,
    watched: Rc<RefCell<BTreeSet<Arc<str>>>>,
    stopped: Rc<Cell<bool>>,
    packed: Rc<RefCell<Option<PackedEntry>>>,
}

/// `PackedEntry` is packed changes with their kind and the revisions that they lead from and to.
type PackedEntry = (
    (Arc<str>, StoreRevision, StoreRevision),
    PackedValue<FollowedChanges>,
);

impl WatchRelay {
    /// Creates a relay for the given view, which is not yet marked as watching any kind.
    pub fn new(view: FleetView) -> Self {
        Self {
            view,
            watched: Rc::default(),
            stopped: Rc::default(),
            packed: Rc::default(),
        }
    }

    /// Records whether this node watches a kind at the store itself and without failures.
    pub fn set_watched(&self, kind: &str, watched: bool) {
        let known = self.watched.borrow().contains(kind);
        if known == watched {
            return;
        }

        if watched {
            self.watched.borrow_mut().insert(Arc::from(kind));
        } else {
            self.watched.borrow_mut().remove(kind);
            // The nodes that follow this one must choose another source.
            self.view.wake_listeners();
        }
    }

    /// Ends all waits, because the process is shutting down.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.view.wake_listeners();
    }

    /// Returns the changes of a kind after a revision as soon as there are any, or an empty set of
    /// changes at the end of the wait. Returns `None` once this node does not watch the kind at the
    /// store, or shuts down.
    pub async fn changes_after(
        &self,
        kind: &str,
        revision: StoreRevision,
        wait: Duration,
    ) -> Option<PackedValue<FollowedChanges>> {
        let is_watching = || !self.stopped.get() && self.watched.borrow().contains(kind);
        let has_changes = || {
            if kind == FLEET_KIND {
                self.view.fleet_revision() > revision
            } else if self.view.evacuations().is_kind(kind) {
                self.view.evacuations().changed() > revision
            } else {
                self.view.config_revision() > revision
            }
        };
        self.view
            .until(wait, || !is_watching() || has_changes())
            .await;

        if is_watching() {
            self.pack_changes(kind, revision)
        } else {
            None
        }
    }

    /// Returns the changes of a kind after a revision. Most followers ask for the same ones, which are
    /// packed once. Returns `None`, as if this node did not watch the kind, if they cannot be packed.
    fn pack_changes(
        &self,
        kind: &str,
        revision: StoreRevision,
    ) -> Option<PackedValue<FollowedChanges>> {
        let changes = if kind == FLEET_KIND {
            self.view.fleet_changes_after(revision)
        } else if self.view.evacuations().is_kind(kind) {
            let list = self.view.evacuations().snapshot();
            Some(list).filter(|list| list.revision > revision)
        } else {
            self.view.config_change_after(revision)
        };
        let changes = changes.unwrap_or(FollowedChanges {
            revision,
            complete: false,
            objects: Vec::new(),
        });

        let key = (Arc::from(kind), revision, changes.revision);
        if let Some((known, packed)) = &*self.packed.borrow()
            && *known == key
        {
            return Some(packed.clone());
        }
        match PackedValue::new(&changes) {
            Ok(packed) => {
                *self.packed.borrow_mut() = Some((key, packed.clone()));
                Some(packed)
            }
            Err(error) => {
                warn!(event = "changes-not-packed", kind, %revision, reason = %error);
                None
            }
        }
    }
}
