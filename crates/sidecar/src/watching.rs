//! What this node passes on to the nodes that follow it.

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

/// `WatchRelay` passes the changes that this node learns from the store on to other nodes.
#[derive(Debug, Clone)]
pub struct WatchRelay {
    view: FleetView,
    watched: Rc<RefCell<BTreeSet<Arc<str>>>>,
    stopped: Rc<Cell<bool>>,
}

impl WatchRelay {
    /// Makes a relay that watches nothing yet.
    pub fn new(view: FleetView) -> Self {
        Self {
            view,
            watched: Rc::default(),
            stopped: Rc::default(),
        }
    }

    /// Notes whether this node watches a kind at the store, without a failure.
    pub fn set_watched(&self, kind: &str, watched: bool) {
        let known = self.watched.borrow().contains(kind);
        if known == watched {
            return;
        }

        if watched {
            self.watched.borrow_mut().insert(Arc::from(kind));
        } else {
            self.watched.borrow_mut().remove(kind);
            // Those who follow this node look for another source.
            self.view.wake_listeners();
        }
    }

    /// Ends all waits, as the process stops.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.view.wake_listeners();
    }

    /// Returns the changes of a kind after a revision as soon as there are any, or what there is
    /// after the wait. Returns nothing when this node does not watch the kind.
    pub async fn changes_after(
        &self,
        kind: &str,
        revision: u64,
        wait: Duration,
    ) -> Option<FollowedChanges> {
        let watches = || !self.stopped.get() && self.watched.borrow().contains(kind);
        let changes = || {
            if kind == FLEET_KIND {
                self.view.fleet_changes_after(revision)
            } else {
                self.view.config_change_after(revision)
            }
        };
        self.view
            .until(wait, || !watches() || changes().is_some())
            .await;

        watches().then(|| {
            changes().unwrap_or(FollowedChanges {
                revision,
                complete: false,
                objects: Vec::new(),
            })
        })
    }
}
