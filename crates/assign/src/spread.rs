//! The members of a lease and the deputies that take over.
//!
//! The members depend on the owner alone, so that all slices of an owner share one set and one
//! renewal covers them. The order of the deputies depends on the slice too, so that the slices of a
//! lost node are spread over all of them.

use crate::placement::hash_to_uniform;
use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{NodeName, ZoneName},
    slice::SliceId,
};

/// The number of members of a lease in a fleet of at least this many nodes.
pub const FULL_MEMBER_COUNT: usize = 5;
/// The number of members of a lease in a smaller fleet of at least this many nodes.
pub const SMALL_MEMBER_COUNT: usize = 3;
/// The most members of a full set in one zone, so that the loss of the zone leaves a majority.
const MAX_MEMBERS_PER_ZONE: usize = 2;

/// `MemberCandidate` is a node that can become a member of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberCandidate {
    /// The name of the node.
    pub node: NodeName,
    /// The availability zone of the node.
    pub zone: ZoneName,
    /// Whether the target of the node can take over the slice.
    pub deputy: bool,
}

/// `MemberChoice` holds the chosen members and deputies of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberChoice {
    /// The owner, which comes first, and its witnesses.
    pub members: Vec<NodeName>,
    /// The members that may take over when the owner is lost, in order of preference.
    pub deputies: Vec<NodeName>,
}

/// Chooses the members and deputies of the lease of a slice.
///
/// There are five members in a fleet of five or more nodes, three in a fleet of three or four, and
/// otherwise the owner alone. No zone holds more than two of five members if there are enough
/// zones.
pub fn choose_members(
    slice: &SliceId,
    owner: &NodeName,
    nodes: &[MemberCandidate],
) -> MemberChoice {
    let members = choose_member_set(owner, nodes);
    let deputies = choose_deputies(slice, owner, &members, nodes);

    MemberChoice { members, deputies }
}

/// Chooses the members of a lease, which are the same for all slices of the owner.
pub fn choose_member_set(owner: &NodeName, nodes: &[MemberCandidate]) -> Vec<NodeName> {
    let owner_zone = nodes.iter().find(|node| &node.node == owner);
    let owner_zone = owner_zone.map(|node| &node.zone);
    let mut others = rank_witnesses(owner, owner_zone, nodes);
    let size = match others.len() + 1 {
        node_count if node_count >= FULL_MEMBER_COUNT => FULL_MEMBER_COUNT,
        node_count if node_count >= SMALL_MEMBER_COUNT => SMALL_MEMBER_COUNT,
        _ => 1,
    };
    let max_per_zone = if size == FULL_MEMBER_COUNT {
        MAX_MEMBERS_PER_ZONE
    } else {
        1
    };

    let mut zones: Vec<&ZoneName> = owner_zone.into_iter().collect();
    let mut members = vec![owner.clone()];

    // Each pass lets every zone have one member more. The limit per zone is exceeded only when the
    // other zones have no nodes left.
    for zone_limit in 1..=size {
        let zone_limit = if zone_limit <= max_per_zone {
            zone_limit
        } else {
            size
        };

        others.retain(|node| {
            let in_zone = zones.iter().filter(|zone| **zone == &node.zone).count();
            let chosen = members.len() < size && in_zone < zone_limit;

            if chosen {
                zones.push(&node.zone);
                members.push(node.node.clone());
            }

            !chosen
        });
    }

    members
}

/// Returns the members that can take over a slice in a pseudorandom order that depends on the
/// slice.
pub fn choose_deputies(
    slice: &SliceId,
    owner: &NodeName,
    members: &[NodeName],
    nodes: &[MemberCandidate],
) -> Vec<NodeName> {
    let can_take_over =
        |name: &NodeName| nodes.iter().any(|node| &node.node == name && node.deputy);
    let mut deputies: Vec<NodeName> = members
        .iter()
        .filter(|name| *name != owner && can_take_over(name))
        .cloned()
        .collect();

    let score = |name: &NodeName| {
        hash_to_uniform(&[
            slice.service.as_str().as_bytes(),
            &slice.index.to_le_bytes(),
            name.as_str().as_bytes(),
        ])
    };
    deputies.sort_by(|left, right| score(right).total_cmp(&score(left)));

    deputies
}

/// Returns the nodes other than the owner in the order in which they become witnesses.
///
/// Nodes that can take over come first, then those outside the owner's zone; the rest of the order
/// follows a score that depends on the owner and the node alone.
fn rank_witnesses<'a>(
    owner: &NodeName,
    owner_zone: Option<&ZoneName>,
    nodes: &'a [MemberCandidate],
) -> Vec<&'a MemberCandidate> {
    let score = |node: &MemberCandidate| {
        hash_to_uniform(&[owner.as_str().as_bytes(), node.node.as_str().as_bytes()])
    };
    let mut others: Vec<&MemberCandidate> =
        nodes.iter().filter(|node| &node.node != owner).collect();

    others.sort_by(|left, right| {
        let can_take_over = right.deputy.cmp(&left.deputy);
        let by_zone = (Some(&left.zone) == owner_zone).cmp(&(Some(&right.zone) == owner_zone));

        can_take_over
            .then(by_zone)
            .then_with(|| score(right).total_cmp(&score(left)))
    });

    others
}
