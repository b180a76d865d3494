//! The nodes that are told of the start of another one.
//!
//! Pattern: a whole fleet starts at once. Each node that is told costs a connection, so a number that
//! grows with the fleet would make that the square of its size.

use rand::{SeedableRng, seq::index::sample};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

/// The most nodes that one start is announced to. Nodes that are not told find the started one again
/// by their own probes.
pub const MAX_ANNOUNCED_NODES: usize = 24;

/// Returns the nodes that the start of `node` is announced to: all others of a small fleet, and a
/// random choice of a large one, which `seed` determines.
pub fn announced_nodes(node: &str, fleet: &[Arc<str>], seed: u64) -> Vec<Arc<str>> {
    let others: Vec<&Arc<str>> = fleet.iter().filter(|other| ***other != *node).collect();
    let count = others.len().min(MAX_ANNOUNCED_NODES);
    let mut random = ChaCha8Rng::seed_from_u64(seed);

    sample(&mut random, others.len(), count)
        .into_iter()
        .map(|index| Arc::clone(others[index]))
        .collect()
}
