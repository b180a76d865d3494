//! Placement of slices that have no owner, by weighted rendezvous hashing.
//!
//! Each target has a score for each slice, and the target with the highest score is to own the
//! slice. All nodes that know the same targets compute the same result. A target that joins or
//! leaves changes the result only for the slices that it ranks first for.

use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{MAX_NAME_BYTES, NodeName},
    slice::{KeyHash, SliceId},
};

/// `PlacementTarget` is a target that may own slices, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementTarget {
    /// The VM of the target.
    pub node: NodeName,
    /// The weight relative to the other targets, such as the number of slots; a target with the
    /// weight zero is never chosen.
    pub weight: u32,
}

impl PlacementTarget {
    /// Creates a target from the name of its VM and its weight.
    pub fn new(node: NodeName, weight: u32) -> Self {
        Self { node, weight }
    }
}

/// Returns the target that is to own a slice, or `None` when no target has a weight.
pub fn place_slice(slice: &SliceId, targets: &[PlacementTarget]) -> Option<NodeName> {
    rank_targets(slice, targets).into_iter().next()
}

/// Returns the targets with a weight in the order of preference for owning a slice.
pub fn rank_targets(slice: &SliceId, targets: &[PlacementTarget]) -> Vec<NodeName> {
    let mut scored: Vec<(f64, &NodeName)> = targets
        .iter()
        .filter(|target| target.weight > 0)
        .map(|target| (score_target(slice, target), &target.node))
        .collect();

    scored.sort_by(|left, right| right.0.total_cmp(&left.0).then_with(|| left.1.cmp(right.1)));

    scored.into_iter().map(|(_, node)| node.clone()).collect()
}

/// Returns whether a target is among the first `ranks` targets for a slice.
pub fn ranks_within(
    slice: &SliceId,
    node: &NodeName,
    targets: &[PlacementTarget],
    ranks: usize,
) -> bool {
    let Some(own) = targets
        .iter()
        .find(|target| &target.node == node && target.weight > 0)
    else {
        return false;
    };
    let score = score_target(slice, own);
    let ahead = |target: &&PlacementTarget| {
        let other = score_target(slice, target);

        target.weight > 0 && (other > score || (other >= score && target.node < own.node))
    };

    // `take` stops the count as soon as the target is known to rank too low, which is mostly after
    // a few targets.
    targets.iter().filter(ahead).take(ranks).count() < ranks
}

/// Returns the score of a target for a slice.
///
/// With `u` uniform in (0, 1), the score `weight / -ln(u)` is the highest one with a probability in
/// proportion to the weight.
fn score_target(slice: &SliceId, target: &PlacementTarget) -> f64 {
    let uniform = hash_to_uniform(&[
        slice.service.as_str().as_bytes(),
        &slice.index.to_le_bytes(),
        target.node.as_str().as_bytes(),
    ]);

    f64::from(target.weight) / -uniform.ln()
}

/// Hashes the parts to a number that is uniform in (0, 1) and the same on every node.
pub(crate) fn hash_to_uniform(parts: &[&[u8]]) -> f64 {
    /// The number of distinct results, which the precision of the return type can represent.
    const DISTINCT_VALUES: u32 = 1 << 31;
    /// The space for two names, a number and their separators.
    const BUFFER_BYTES: usize = 2 * MAX_NAME_BYTES + 16;

    let mut bytes = [0xff; BUFFER_BYTES];
    let mut used = 0;
    for part in parts {
        let end = (used + part.len()).min(BUFFER_BYTES);
        bytes[used..end].copy_from_slice(&part[..end - used]);
        // The separator 0xff occurs in no name and so keeps the parts apart.
        used = (end + 1).min(BUFFER_BYTES);
    }

    let value = KeyHash::new(&bytes[..used]).slice_index(DISTINCT_VALUES);

    (f64::from(value) + 0.5) / f64::from(DISTINCT_VALUES)
}
