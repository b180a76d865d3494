//! The owners of the slices of keyed services.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wagtail_core::{
    ids::{LeaseEpoch, NodeName},
    lease::LeaseRecord,
    slice::SliceId,
};

/// `RouteHint` is where the requests of a slice go. It may be outdated: the addressed node
/// refuses what it does not own.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteHint {
    /// The slice.
    pub slice: SliceId,
    /// The owner.
    pub owner: NodeName,
    /// The epoch of the ownership.
    pub epoch: LeaseEpoch,
    /// The nodes that take over after a loss, in order of preference.
    pub deputies: Vec<NodeName>,
}

impl From<&LeaseRecord> for RouteHint {
    fn from(record: &LeaseRecord) -> Self {
        Self {
            slice: record.slice.clone(),
            owner: record.owner.name.clone(),
            epoch: record.epoch,
            deputies: record.deputies.clone(),
        }
    }
}

/// `RouteEntry` is what the table knows of one slice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct RouteEntry {
    /// The hint of the highest epoch.
    hint: RouteHint,
    /// An owner named without an epoch by a node that refused; it is tried first, once.
    named: Option<NodeName>,
}

/// `RouteTable` holds the owners that an ingress knows of.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// The entries of the slices.
    entries: BTreeMap<SliceId, RouteEntry>,
}

impl RouteTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a hint, unless its epoch is older than the known one, and returns whether it
    /// changed the table.
    pub fn learn(&mut self, hint: RouteHint) -> bool {
        let known = self.entries.get(&hint.slice);

        if known.is_some_and(|entry| entry.hint.epoch > hint.epoch || entry.hint == hint) {
            return false;
        }

        let slice = hint.slice.clone();
        let entry = RouteEntry { hint, named: None };

        self.entries.insert(slice, entry);

        true
    }

    /// Takes in a refusal by a node that does not own a slice, with the owner that it knows of.
    pub fn learn_refusal(
        &mut self,
        slice: &SliceId,
        refuser: &NodeName,
        owner: Option<&NodeName>,
        epoch: Option<LeaseEpoch>,
    ) {
        let Some(entry) = self.entries.get_mut(slice) else {
            self.learn_first(slice, owner, epoch);

            return;
        };

        if entry.named.as_ref() == Some(refuser) {
            entry.named = None;
        }

        let Some(owner) = owner.filter(|owner| *owner != refuser && **owner != entry.hint.owner)
        else {
            return;
        };

        match epoch {
            Some(epoch) if epoch > entry.hint.epoch => {
                entry.hint.epoch = epoch;
                entry.hint.owner = owner.clone();
                entry.named = None;
            }
            Some(_) => {}
            None => entry.named = Some(owner.clone()),
        }
    }

    /// Takes in that a node named by a refusal answered.
    pub fn learn_answer(&mut self, slice: &SliceId, node: &NodeName, epoch: Option<LeaseEpoch>) {
        let Some(entry) = self.entries.get_mut(slice) else {
            self.learn_first(slice, Some(node), epoch);

            return;
        };
        let newer = epoch.is_some_and(|epoch| epoch > entry.hint.epoch);

        if newer {
            entry.hint.epoch = epoch.unwrap_or(entry.hint.epoch);
            entry.hint.owner = node.clone();
            entry.named = None;
        }
    }

    /// Returns the next node to try for a slice: the owner that a refusal named, the known
    /// owner, then the deputies in order.
    pub fn next(&self, slice: &SliceId, tried: &[NodeName]) -> Option<NodeName> {
        let entry = self.entries.get(slice)?;
        let named = entry.named.iter();
        let nodes = named
            .chain([&entry.hint.owner])
            .chain(entry.hint.deputies.iter());

        nodes
            .into_iter()
            .find(|node| !tried.contains(node))
            .cloned()
    }

    /// Returns the hint of a slice.
    pub fn hint(&self, slice: &SliceId) -> Option<&RouteHint> {
        self.entries.get(slice).map(|entry| &entry.hint)
    }

    /// Returns the count of known slices.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no slice is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops the slices that a condition does not hold for, such as those of removed services.
    pub fn retain(&mut self, keep: impl Fn(&SliceId) -> bool) {
        self.entries.retain(|slice, _| keep(slice));
    }

    /// Makes the first entry of a slice from what a node said.
    fn learn_first(
        &mut self,
        slice: &SliceId,
        owner: Option<&NodeName>,
        epoch: Option<LeaseEpoch>,
    ) {
        let Some(owner) = owner else {
            return;
        };

        self.learn(RouteHint {
            slice: slice.clone(),
            owner: owner.clone(),
            epoch: epoch.unwrap_or_default(),
            deputies: Vec::new(),
        });
    }
}
