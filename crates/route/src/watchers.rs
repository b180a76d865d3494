//! The choice of the nodes that watch the store for the others of their availability zone.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use wagtail_core::units::LocalMoment;

/// The fewest watchers of a zone, so that the loss of one leaves another.
const MIN_WATCHERS: usize = 2;

/// The nodes of a zone for which one more watcher is chosen. It bounds what a watcher sends.
const NODES_PER_WATCHER: usize = 16;

/// The time for which a node that could not be reached is not chosen.
const UNREACHABLE_FOR: Duration = Duration::from_secs(10);

/// The time for which a node that does not watch the store itself is not chosen.
const UNWATCHING_FOR: Duration = Duration::from_secs(2);

/// `WatchSource` is where a node learns of changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchSource {
    /// The store.
    Store,
    /// A node that watches the store.
    Node(Arc<str>),
}

/// `SourceFailure` is why a node was not of use as a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceFailure {
    /// It gave no answer.
    Unreachable,
    /// It does not watch the store itself.
    NotWatching,
}

/// `WatcherChoice` chooses the source of one node.
///
/// Every node chooses from the records that it knows, so that no agreement is needed: a node that
/// is chosen wrongly says that it does not watch, and a node that finds no watcher becomes one.
#[derive(Debug)]
pub struct WatcherChoice {
    node: Arc<str>,
    avoided: RefCell<BTreeMap<Arc<str>, LocalMoment>>,
}

impl WatcherChoice {
    /// Makes the choice of a node.
    pub fn new(node: Arc<str>) -> Self {
        Self {
            node,
            avoided: RefCell::default(),
        }
    }

    /// Takes note that a source failed.
    pub fn avoid(&self, node: &Arc<str>, failure: SourceFailure, now: LocalMoment) {
        let time = match failure {
            SourceFailure::Unreachable => UNREACHABLE_FOR,
            SourceFailure::NotWatching => UNWATCHING_FOR,
        };

        self.avoided
            .borrow_mut()
            .insert(Arc::clone(node), now + time);
    }

    /// Chooses among the nodes of this zone that take new work.
    pub fn choose(&self, zone_nodes: &BTreeSet<Arc<str>>, now: LocalMoment) -> WatchSource {
        self.avoided.borrow_mut().retain(|_, until| *until > now);

        let avoided = self.avoided.borrow();
        let candidates: Vec<&Arc<str>> = zone_nodes
            .iter()
            .filter(|node| !avoided.contains_key(*node))
            .collect();
        let watchers = MIN_WATCHERS
            .max(zone_nodes.len().div_ceil(NODES_PER_WATCHER))
            .min(candidates.len());
        let place = candidates.iter().position(|node| **node == self.node);

        match place {
            _ if watchers == 0 => WatchSource::Store,
            Some(place) if place < watchers => WatchSource::Store,
            place => {
                let place = place.unwrap_or(candidates.len());

                WatchSource::Node(Arc::clone(candidates[place % watchers]))
            }
        }
    }
}
