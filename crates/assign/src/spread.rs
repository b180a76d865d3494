//! The members of a lease and the deputies that take over.
//!
//! The members depend on the owner alone, so all slices of an owner share one set and one renewal
//! covers them. The deputies are ordered by the slice, so the slices of a lost node spread over
//! all of them.

use crate::placement::draw_uniform;
use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{NodeName, ZoneName},
    slice::SliceId,
};

/// The members of a lease where the fleet is large enough.
pub const FULL_MEMBER_COUNT: usize = 5;
/// The members of a lease in a small fleet.
pub const SMALL_SET: usize = 3;
/// The members that one zone may hold of a full set, so that its loss leaves a majority.
const MOST_IN_ZONE: usize = 2;

/// `MemberCandidate` is a node that may be a member of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberCandidate {
    /// The node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether its target can take over the slice.
    pub deputy: bool,
}

/// `MemberChoice` is the set that renews a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberChoice {
    /// The owner and its witnesses.
    pub members: Vec<NodeName>,
    /// The members that take over after a loss, in order of preference.
    pub deputies: Vec<NodeName>,
}

/// Chooses the members and deputies of a slice for an owner.
///
/// The result has five members in a fleet of five or more nodes, else three or the owner alone.
/// No zone holds more than two of five where the zones allow it.
pub fn choose_members(
    slice: &SliceId,
    owner: &NodeName,
    nodes: &[MemberCandidate],
) -> MemberChoice {
    let members = choose_set(owner, nodes);
    let deputies = choose_deputies(slice, owner, &members, nodes);

    MemberChoice { members, deputies }
}

/// Chooses the owner and its witnesses, the same for all slices of the owner.
pub fn choose_set(owner: &NodeName, nodes: &[MemberCandidate]) -> Vec<NodeName> {
    let home = nodes.iter().find(|node| &node.node == owner);
    let home = home.map(|node| &node.zone);
    let mut others = rank_witnesses(owner, home, nodes);
    let size = match others.len() + 1 {
        fleet if fleet >= FULL_MEMBER_COUNT => FULL_MEMBER_COUNT,
        fleet if fleet >= SMALL_SET => SMALL_SET,
        _ => 1,
    };
    let most = if size == FULL_MEMBER_COUNT {
        MOST_IN_ZONE
    } else {
        1
    };

    let mut zones: Vec<&ZoneName> = home.into_iter().collect();
    let mut members = vec![owner.clone()];

    // Zones are filled one member at a time, and past their bound only when the others are used up.
    for bound in 1..=size {
        let bound = if bound <= most { bound } else { size };

        others.retain(|node| {
            let held = zones.iter().filter(|zone| **zone == &node.zone).count();
            let taken = members.len() < size && held < bound;

            if taken {
                zones.push(&node.zone);
                members.push(node.node.clone());
            }

            !taken
        });
    }

    members
}

/// Orders the members that can take over a slice, differently for each slice.
pub fn choose_deputies(
    slice: &SliceId,
    owner: &NodeName,
    members: &[NodeName],
    nodes: &[MemberCandidate],
) -> Vec<NodeName> {
    let able = |name: &NodeName| nodes.iter().any(|node| &node.node == name && node.deputy);
    let mut deputies: Vec<NodeName> = members
        .iter()
        .filter(|name| *name != owner && able(name))
        .cloned()
        .collect();

    let score = |name: &NodeName| {
        draw_uniform(&[
            slice.service.as_str().as_bytes(),
            &slice.index.to_le_bytes(),
            name.as_str().as_bytes(),
        ])
    };
    deputies.sort_by(|left, right| score(right).total_cmp(&score(left)));

    deputies
}

/// Orders the other nodes by a score that only the owner and the node decide; nodes that can take
/// over come first, and those outside the owner's zone before those in it.
fn rank_witnesses<'a>(
    owner: &NodeName,
    home: Option<&ZoneName>,
    nodes: &'a [MemberCandidate],
) -> Vec<&'a MemberCandidate> {
    let score = |node: &MemberCandidate| {
        draw_uniform(&[owner.as_str().as_bytes(), node.node.as_str().as_bytes()])
    };
    let mut others: Vec<&MemberCandidate> =
        nodes.iter().filter(|node| &node.node != owner).collect();

    others.sort_by(|left, right| {
        let able = right.deputy.cmp(&left.deputy);
        let near = (Some(&left.zone) == home).cmp(&(Some(&right.zone) == home));

        able.then(near)
            .then_with(|| score(right).total_cmp(&score(left)))
    });

    others
}
