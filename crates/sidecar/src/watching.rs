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
use wagtail_core::objects::StoreRevision;

/// `WatchRelay` passes the changes that this node receives from the store on to other nodes. Clones
/// share their state.
#[derive(Debug, Clone)]
pub struct WatchRelay {
    view: FleetView,
    watched: Rc<RefCell<BTreeSet<Arc<str>>>>,
    stopped: Rc<Cell<bool>>,
}

impl WatchRelay {
    /// Creates a relay for the given view, which is not yet marked as watching any kind.
    pub fn new(view: FleetView) -> Self {
        Self {
            view,
            watched: Rc::default(),
            stopped: Rc::default(),
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
    ) -> Option<FollowedChanges> {
        let is_watching = || !self.stopped.get() && self.watched.borrow().contains(kind);
        let changes = || {
            if kind == FLEET_KIND {
                self.view.fleet_changes_after(revision)
            } else {
                self.view.config_change_after(revision)
            }
        };
        self.view
            .until(wait, || !is_watching() || changes().is_some())
            .await;

        is_watching().then(|| {
            changes().unwrap_or(FollowedChanges {
                revision,
                complete: false,
                objects: Vec::new(),
            })
        })
    }
}
