//! The target for a slice that has no owner.
//!
//! Weighted rendezvous hashing: each target draws a score for the slice, and the highest one owns
//! it. Every node with the same view gives the same answer, and a target that joins or leaves
//! changes the answer only for the slices that it wins or had.

use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{MAX_NAME_BYTES, NodeName},
    slice::{KeyHash, SliceId},
};

/// `PlacementTarget` is a target that may own slices.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementTarget {
    /// The VM of the target.
    pub node: NodeName,
    /// The share relative to the other targets, such as the count of slots.
    pub weight: u32,
}

impl PlacementTarget {
    /// Makes a target with a weight.
    pub fn new(node: NodeName, weight: u32) -> Self {
        Self { node, weight }
    }
}

/// Returns the target that is to own a slice, or nothing when no target has a weight.
pub fn place_slice(slice: &SliceId, targets: &[PlacementTarget]) -> Option<NodeName> {
    rank_targets(slice, targets).into_iter().next()
}

/// Returns the targets in the order in which they are to own a slice.
pub fn rank_targets(slice: &SliceId, targets: &[PlacementTarget]) -> Vec<NodeName> {
    let mut scored: Vec<(f64, &NodeName)> = targets
        .iter()
        .filter(|target| target.weight > 0)
        .map(|target| (score_target(slice, target), &target.node))
        .collect();

    scored.sort_by(|left, right| right.0.total_cmp(&left.0).then_with(|| left.1.cmp(right.1)));

    scored.into_iter().map(|(_, node)| node.clone()).collect()
}

/// Returns whether a target is among the first `places` in the order for a slice.
pub fn ranks_within(
    slice: &SliceId,
    node: &NodeName,
    targets: &[PlacementTarget],
    places: usize,
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

    // The count ends at the first place that is out of reach, mostly after a few targets.
    targets.iter().filter(ahead).take(places).count() < places
}

/// Returns the score of a target for a slice.
///
/// With `u` uniform in (0, 1), `weight / -ln(u)` wins in proportion to the weight.
fn score_target(slice: &SliceId, target: &PlacementTarget) -> f64 {
    let uniform = draw_uniform(&[
        slice.service.as_str().as_bytes(),
        &slice.index.to_le_bytes(),
        target.node.as_str().as_bytes(),
    ]);

    f64::from(target.weight) / -uniform.ln()
}

/// Draws a number in (0, 1) that is the same on every node for the same parts.
pub(crate) fn draw_uniform(parts: &[&[u8]]) -> f64 {
    /// The count of distinct draws; it fits the precision of the result.
    const DRAWS: u32 = 1 << 31;
    /// The room for two names and a number with their ends.
    const BUFFER_BYTES: usize = 2 * MAX_NAME_BYTES + 16;

    let mut bytes = [0xff; BUFFER_BYTES];
    let mut used = 0;
    for part in parts {
        let end = (used + part.len()).min(BUFFER_BYTES);
        bytes[used..end].copy_from_slice(&part[..end - used]);
        // A byte outside the alphabet of names keeps the parts apart.
        used = (end + 1).min(BUFFER_BYTES);
    }

    let draw = KeyHash::new(&bytes[..used]).slice_index(DRAWS);

    (f64::from(draw) + 0.5) / f64::from(DRAWS)
}
