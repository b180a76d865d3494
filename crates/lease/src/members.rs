//! The nodes of the fleet, and the choice of sets and deputies among them.

use crate::{event::MemberInfo, options::LeaseOptions};
use std::collections::{BTreeMap, BTreeSet};
use wagtail_core::{
    ids::{NodeIdentity, NodeName, ZoneName},
    lease::LeaseRecord,
    slice::{KeyHash, SliceId},
};

/// The least size of a set that tolerates a loss.
const SMALL_SET: usize = 3;

/// The members of a set in one zone other than the owner's, so that a zone's loss leaves a
/// majority of five.
const MEMBERS_PER_ZONE: usize = 2;

/// `MemberTable` is the nodes of the fleet.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    /// The nodes by name.
    nodes: BTreeMap<NodeName, MemberInfo>,
    /// The VMs that are gone for good, by the operator's word.
    pub(crate) gone: BTreeSet<NodeName>,
}

impl MemberTable {
    /// Replaces the nodes.
    pub(crate) fn replace(&mut self, members: Vec<MemberInfo>) {
        self.nodes = members
            .into_iter()
            .map(|member| (member.identity.name.clone(), member))
            .collect();
    }

    /// Returns whether a start of a node is later than the known one.
    pub(crate) fn is_later_incarnation(&self, start: &NodeIdentity) -> bool {
        self.nodes
            .get(&start.name)
            .is_none_or(|known| known.identity.incarnation < start.incarnation)
    }

    /// Returns a node.
    pub(crate) fn get(&self, name: &NodeName) -> Option<&MemberInfo> {
        self.nodes.get(name)
    }

    /// Returns the count of nodes.
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether a node can own a slice.
    pub(crate) fn can_own(&self, name: &NodeName, slice: &SliceId) -> bool {
        self.nodes.get(name).is_some_and(|member| {
            !member.draining && member.service.as_ref() == Some(&slice.service)
        })
    }

    /// Chooses the set of a node: itself and witnesses spread over the zones, those of `current`
    /// first. Those that are not `usable` come last, so that silence never makes a set smaller.
    pub(crate) fn choose_set(
        &self,
        me: &NodeIdentity,
        zone: &ZoneName,
        current: &[NodeIdentity],
        usable: impl Fn(&NodeName) -> bool,
        options: &LeaseOptions,
    ) -> Vec<NodeIdentity> {
        let mut others: Vec<&MemberInfo> = self
            .nodes
            .values()
            .filter(|member| member.identity.name != me.name && !member.draining)
            .collect();

        others.sort_by_cached_key(|member| {
            let name = &member.identity.name;
            let is_new = !current.iter().any(|identity| &identity.name == name);

            (!usable(name), is_new, score(me.name.as_str(), name))
        });

        let size = set_size(others.len() + 1, options);
        let mut set = vec![me.clone()];

        // The owner's region comes first, so that a cut between regions leaves it a majority. Its
        // zones are shared out before another region helps, and the last pass fills what is left.
        let usable_count = others
            .iter()
            .filter(|member| usable(&member.identity.name))
            .count();
        let region = self.region(&me.name);
        let (near, far): (Vec<&MemberInfo>, Vec<&MemberInfo>) = others[..usable_count]
            .iter()
            .partition(|member| member.region.as_ref() == region);

        pick_spread(&near, zone, size, &mut set);
        if !far.is_empty() {
            pick_own_zone(&near, zone, size, &mut set);
            pick_spread(&far, zone, size, &mut set);
        }
        pick_any(&others, size, &mut set);

        set
    }

    /// Chooses the deputies of a slice: those of the owner's region first, and among them those in
    /// other zones than the owner's. The order differs by slice, so that a lost node's slices spread over many.
    pub(crate) fn choose_deputies(
        &self,
        slice: &SliceId,
        owner: &NodeName,
        count: usize,
    ) -> Vec<NodeName> {
        let zone = self.nodes.get(owner).map(|member| &member.zone);
        let region = self.region(owner);
        let mut names: Vec<&MemberInfo> = self
            .nodes
            .values()
            .filter(|member| &member.identity.name != owner)
            .filter(|member| self.can_own(&member.identity.name, slice))
            .collect();

        let label = slice.to_string();
        names.sort_by_cached_key(|member| {
            let is_same_zone = Some(&member.zone) == zone;

            let is_far = member.region.as_ref() != region;

            (is_far, is_same_zone, score(&label, &member.identity.name))
        });

        names
            .into_iter()
            .take(count)
            .map(|member| member.identity.name.clone())
            .collect()
    }

    /// Returns the region of a node; nothing where there is only one.
    fn region(&self, name: &NodeName) -> Option<&ZoneName> {
        self.nodes.get(name)?.region.as_ref()
    }

    /// Returns the node to call at a place in the order of candidates: the deputies that are
    /// known, the last owner, then any node that can own the slice.
    pub(crate) fn candidate(&self, record: &LeaseRecord, place: usize) -> Option<NodeName> {
        let deputies = record.deputies.iter().chain([&record.owner.name]);
        let mut names: Vec<NodeName> = deputies
            .filter(|name| self.can_own(name, &record.slice))
            .cloned()
            .collect();

        if place >= names.len() {
            let all = self.choose_deputies(&record.slice, &record.owner.name, usize::MAX);
            let further: Vec<NodeName> = all
                .into_iter()
                .filter(|name| !names.contains(name))
                .collect();
            names.extend(further);
        }

        if names.is_empty() {
            return None;
        }

        Some(names[place % names.len()].clone())
    }
}

/// Returns the size of a set in a fleet of `nodes`.
fn set_size(nodes: usize, options: &LeaseOptions) -> usize {
    if nodes >= options.set_size {
        options.set_size
    } else if nodes >= SMALL_SET {
        SMALL_SET
    } else {
        1
    }
}

/// Adds nodes to a set, none of the owner's zone and few of each other.
fn pick_spread(others: &[&MemberInfo], zone: &ZoneName, size: usize, set: &mut Vec<NodeIdentity>) {
    let mut by_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();

    for member in others {
        let count = by_zone.entry(&member.zone).or_default();

        if set.len() < size && member.zone != *zone && *count < MEMBERS_PER_ZONE {
            *count += 1;
            set.push(member.identity.clone());
        }
    }
}

/// Adds nodes of the owner's zone to a set, as many as the owner leaves room for there.
fn pick_own_zone(near: &[&MemberInfo], zone: &ZoneName, size: usize, set: &mut Vec<NodeIdentity>) {
    let room = size.saturating_sub(set.len()).min(MEMBERS_PER_ZONE - 1);
    let of_zone = near.iter().filter(|member| member.zone == *zone);

    set.extend(of_zone.take(room).map(|member| member.identity.clone()));
}

/// Adds any nodes to a set.
fn pick_any(others: &[&MemberInfo], size: usize, set: &mut Vec<NodeIdentity>) {
    for member in others {
        if set.len() < size && !set.contains(&member.identity) {
            set.push(member.identity.clone());
        }
    }
}

/// Returns the rank of a node by a label; it is the same on every node.
fn score(label: &str, name: &NodeName) -> u64 {
    let text = format!("{label}|{name}");

    KeyHash::new(text.as_bytes()).0
}
