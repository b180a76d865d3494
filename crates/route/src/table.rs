//! The routing table of keyed services: the last known owner of each slice.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wagtail_core::{
    ids::{LeaseEpoch, NodeName},
    lease::LeaseRecord,
    slice::SliceId,
};

/// `RouteHint` names the node that requests of a slice are sent to. It may be outdated, which is
/// safe: a node refuses requests of slices that it does not own.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteHint {
    /// The slice that the hint is about.
    pub slice: SliceId,
    /// The node that holds the lease of the slice.
    pub owner: NodeName,
    /// The lease epoch under which `owner` holds the slice; the higher epoch is the newer one.
    pub epoch: LeaseEpoch,
    /// The nodes that take over the slice when the owner is lost, in order of preference.
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

/// `RouteEntry` is the table's row of one slice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct RouteEntry {
    /// The hint with the highest epoch seen so far.
    hint: RouteHint,
    /// The owner that a refusing node named without an epoch. It is tried before the owner in
    /// `hint`, and dropped once it refuses too.
    named: Option<NodeName>,
}

/// `RouteTable` holds the slice owners that an ingress knows of, the newest epoch of each slice.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// The rows by slice.
    entries: BTreeMap<SliceId, RouteEntry>,
}

impl RouteTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a hint unless its epoch is older than the known one. Returns whether the table
    /// changed.
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

    /// Records that `refuser` does not own a slice, with the owner and the epoch that it named.
    ///
    /// An owner with a higher epoch replaces the known one. An owner without an epoch is only
    /// tried first, as nothing shows that it is newer.
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

    /// Records that a node responded as the owner of a slice; it replaces the known owner if its
    /// epoch is higher.
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

    /// Returns the first node that is not in `tried`, in this order: the owner that a refusal
    /// named, the known owner, the deputies. Returns `None` for an unknown slice, too.
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

    /// Returns the hint with the highest epoch known for a slice.
    pub fn hint(&self, slice: &SliceId) -> Option<&RouteHint> {
        self.entries.get(slice).map(|entry| &entry.hint)
    }

    /// Returns the number of known slices.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no slice is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the slices for which `keep` returns false, such as those of removed services.
    pub fn retain(&mut self, keep: impl Fn(&SliceId) -> bool) {
        self.entries.retain(|slice, _| keep(slice));
    }

    /// Creates the row of an unknown slice from an owner that a node named. Without an epoch the
    /// lowest one is stored, so that any hint replaces it.
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
