//! The nodes of the fleet, and the choice of member sets and deputies among them.

use crate::{event::MemberInfo, options::LeaseOptions};
use std::collections::{BTreeMap, BTreeSet};
use wagtail_core::{
    ids::{NodeIdentity, NodeName, ZoneName},
    lease::LeaseRecord,
    slice::{KeyHash, SliceId},
};

/// The smallest number of members with which a set tolerates the loss of one.
const MIN_FAULT_TOLERANT_SET: usize = 3;

/// The most members that a set takes from one zone other than the owner's, so that the loss of a
/// zone leaves a majority of a set of five.
const MEMBERS_PER_ZONE: usize = 2;

/// `MemberTable` holds the nodes of the fleet.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    /// The known nodes, by name.
    nodes: BTreeMap<NodeName, MemberInfo>,
    /// The VMs that the operator has declared lost for good.
    pub(crate) gone: BTreeSet<NodeName>,
}

impl MemberTable {
    /// Replaces all known nodes.
    pub(crate) fn replace(&mut self, members: Vec<MemberInfo>) {
        self.nodes = members
            .into_iter()
            .map(|member| (member.identity.name.clone(), member))
            .collect();
    }

    /// Returns whether `node` is a later incarnation than the known one, or unknown by name.
    pub(crate) fn is_later_incarnation(&self, node: &NodeIdentity) -> bool {
        self.nodes
            .get(&node.name)
            .is_none_or(|known| known.identity.incarnation < node.incarnation)
    }

    /// Returns the node of a name, when it is known.
    pub(crate) fn get(&self, name: &NodeName) -> Option<&MemberInfo> {
        self.nodes.get(name)
    }

    /// Returns the number of known nodes.
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether a node runs the slice's service and is not draining, and so can own the
    /// slice.
    pub(crate) fn can_own(&self, name: &NodeName, slice: &SliceId) -> bool {
        self.nodes.get(name).is_some_and(|member| {
            !member.draining && member.service.as_ref() == Some(&slice.service)
        })
    }

    /// Chooses the member set of a node: itself and witnesses spread over the zones, preferring
    /// members of `current`. Nodes that are not `usable` come last rather than being left out, so
    /// that unresponsive nodes never make a set smaller.
    pub(crate) fn choose_set(
        &self,
        me: &NodeIdentity,
        zone: &ZoneName,
        current: &[NodeIdentity],
        usable: impl Fn(&NodeName) -> bool,
        options: &LeaseOptions,
    ) -> Vec<NodeIdentity> {
        let mut candidates: Vec<&MemberInfo> = self
            .nodes
            .values()
            .filter(|member| member.identity.name != me.name && !member.draining)
            .collect();

        candidates.sort_by_cached_key(|member| {
            let name = &member.identity.name;
            let is_new = !current.iter().any(|identity| &identity.name == name);

            (!usable(name), is_new, hash_rank(me.name.as_str(), name))
        });

        let size = set_size(candidates.len() + 1, options);
        let mut set = vec![me.clone()];

        // Nodes of the owner's region come first, so that a partition between regions leaves the
        // owner a majority. All zones of the region are used before another region is, and the last
        // pass fills the places that are left.
        let usable_count = candidates
            .iter()
            .filter(|member| usable(&member.identity.name))
            .count();
        let region = self.region(&me.name);
        let (same_region, other_regions): (Vec<&MemberInfo>, Vec<&MemberInfo>) = candidates
            [..usable_count]
            .iter()
            .partition(|member| member.region.as_ref() == region);

        pick_spread(&same_region, zone, size, &mut set);
        if !other_regions.is_empty() {
            pick_own_zone(&same_region, zone, size, &mut set);
            pick_spread(&other_regions, zone, size, &mut set);
        }
        pick_remaining(&candidates, size, &mut set);

        set
    }

    /// Chooses the deputies of a slice: nodes of the owner's region first, and among them nodes in
    /// other zones than the owner's. The order differs by slice, so that the slices of a lost node
    /// spread over many nodes.
    pub(crate) fn choose_deputies(
        &self,
        slice: &SliceId,
        owner: &NodeName,
        count: usize,
    ) -> Vec<NodeName> {
        let zone = self.nodes.get(owner).map(|member| &member.zone);
        let region = self.region(owner);
        let mut eligible: Vec<&MemberInfo> = self
            .nodes
            .values()
            .filter(|member| &member.identity.name != owner)
            .filter(|member| self.can_own(&member.identity.name, slice))
            .collect();

        let label = slice.to_string();
        eligible.sort_by_cached_key(|member| {
            let is_same_zone = Some(&member.zone) == zone;

            let is_other_region = member.region.as_ref() != region;

            (
                is_other_region,
                is_same_zone,
                hash_rank(&label, &member.identity.name),
            )
        });

        eligible
            .into_iter()
            .take(count)
            .map(|member| member.identity.name.clone())
            .collect()
    }

    /// Returns the region of a node, or nothing when it is unknown or the fleet has one region.
    fn region(&self, name: &NodeName) -> Option<&ZoneName> {
        self.nodes.get(name)?.region.as_ref()
    }

    /// Returns the node to ask for a takeover at an index in the order of candidates, which starts
    /// again after the last: the deputies that are known, the last owner, then any other node that
    /// can own the slice.
    pub(crate) fn candidate(&self, record: &LeaseRecord, index: usize) -> Option<NodeName> {
        let deputies = record.deputies.iter().chain([&record.owner.name]);
        let mut eligible: Vec<NodeName> = deputies
            .filter(|name| self.can_own(name, &record.slice))
            .cloned()
            .collect();

        if index >= eligible.len() {
            let all = self.choose_deputies(&record.slice, &record.owner.name, usize::MAX);
            let further: Vec<NodeName> = all
                .into_iter()
                .filter(|name| !eligible.contains(name))
                .collect();
            eligible.extend(further);
        }

        if eligible.is_empty() {
            return None;
        }

        Some(eligible[index % eligible.len()].clone())
    }
}

/// Returns the size of a set in a fleet of `nodes` nodes.
fn set_size(nodes: usize, options: &LeaseOptions) -> usize {
    if nodes >= options.set_size {
        options.set_size
    } else if nodes >= MIN_FAULT_TOLERANT_SET {
        MIN_FAULT_TOLERANT_SET
    } else {
        1
    }
}

/// Adds candidates to a set, none of the owner's zone and at most [`MEMBERS_PER_ZONE`] of each
/// other zone.
fn pick_spread(
    candidates: &[&MemberInfo],
    zone: &ZoneName,
    size: usize,
    set: &mut Vec<NodeIdentity>,
) {
    let mut count_by_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();

    for member in candidates {
        let count = count_by_zone.entry(&member.zone).or_default();

        if set.len() < size && member.zone != *zone && *count < MEMBERS_PER_ZONE {
            *count += 1;
            set.push(member.identity.clone());
        }
    }
}

/// Adds nodes of the owner's zone to a set, at most [`MEMBERS_PER_ZONE`] with the owner.
fn pick_own_zone(
    same_region: &[&MemberInfo],
    zone: &ZoneName,
    size: usize,
    set: &mut Vec<NodeIdentity>,
) {
    let vacancies = size.saturating_sub(set.len()).min(MEMBERS_PER_ZONE - 1);
    let in_zone = same_region.iter().filter(|member| member.zone == *zone);

    set.extend(
        in_zone
            .take(vacancies)
            .map(|member| member.identity.clone()),
    );
}

/// Fills a set with candidates in their order, whatever their zone.
fn pick_remaining(candidates: &[&MemberInfo], size: usize, set: &mut Vec<NodeIdentity>) {
    for member in candidates {
        if set.len() < size && !set.contains(&member.identity) {
            set.push(member.identity.clone());
        }
    }
}

/// Returns the hash by which a node is ordered under a label. Every node computes the same value.
fn hash_rank(label: &str, name: &NodeName) -> u64 {
    let text = format!("{label}|{name}");

    KeyHash::new(text.as_bytes()).0
}
