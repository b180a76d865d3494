//! The choice of the nodes that watch the store on behalf of their availability zone.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use wagtail_core::units::LocalMoment;

/// The minimum number of watchers in a zone, so that one remains when one is lost.
const MIN_WATCHERS: usize = 2;

/// The nodes of a zone per watcher. It bounds the changes that one watcher sends on, which are packed.
const NODES_PER_WATCHER: usize = 32;

/// The time for which a node is not chosen as a source after it could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(10);

/// The time for which a node is not chosen as a source after it replied that it does not watch
/// the store itself.
const NOT_WATCHING_BACKOFF: Duration = Duration::from_secs(2);

/// `WatchSource` is where a node gets the changes of the store from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchSource {
    /// The store itself; the node is a watcher.
    Store,
    /// Another node of the zone, which watches the store.
    Node(Arc<str>),
}

/// `SourceFailure` is the reason why a node failed as a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceFailure {
    /// The node did not respond.
    Unreachable,
    /// The node does not watch the store itself.
    NotWatching,
}

/// `WatcherChoice` chooses the source that one node follows.
///
/// Every node chooses by itself from the node records that it knows, without agreement. Mistakes
/// correct themselves: a node that is wrongly taken for a watcher replies that it does not watch,
/// and a node that finds no watcher becomes one.
#[derive(Debug)]
pub struct WatcherChoice {
    node: Arc<str>,
    avoided: RefCell<BTreeMap<Arc<str>, LocalMoment>>,
}

impl WatcherChoice {
    /// Creates the choice for the given node.
    pub fn new(node: Arc<str>) -> Self {
        Self {
            node,
            avoided: RefCell::default(),
        }
    }

    /// Records that a source failed; it is not chosen again for a time that depends on the
    /// failure.
    pub fn avoid(&self, node: &Arc<str>, failure: SourceFailure, now: LocalMoment) {
        let time = match failure {
            SourceFailure::Unreachable => UNREACHABLE_BACKOFF,
            SourceFailure::NotWatching => NOT_WATCHING_BACKOFF,
        };

        self.avoided
            .borrow_mut()
            .insert(Arc::clone(node), now + time);
    }

    /// Returns the source of this node. `zone_nodes` are the nodes of its zone that accept new
    /// work.
    ///
    /// The first nodes in order of their names that have not failed recently are the watchers.
    /// The others are distributed evenly over them.
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
        let index = candidates.iter().position(|node| **node == self.node);

        match index {
            _ if watchers == 0 => WatchSource::Store,
            Some(index) if index < watchers => WatchSource::Store,
            index => {
                let index = index.unwrap_or(candidates.len());

                WatchSource::Node(Arc::clone(candidates[index % watchers]))
            }
        }
    }
}
