//! Tests of the choice of the nodes that are told of a start.

use std::{collections::HashMap, sync::Arc};
use wagtail_route::announce::{MAX_ANNOUNCED_NODES, announced_nodes};

/// The most connections that a start may open for each node of the fleet, whatever its size.
const MAX_CONNECTIONS_PER_NODE: usize = 30;

/// Returns the names of a fleet.
fn fleet(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|index| Arc::from(format!("n{index:03}")))
        .collect()
}

/// Guards against a fleet of which each node connects to every other one when all start together.
#[test]
fn a_fleet_that_starts_at_once_opens_few_connections() {
    for count in [14, 73, 294, 1_235] {
        let nodes = fleet(count);
        let connections: usize = nodes
            .iter()
            .zip(0..)
            .map(|(node, seed)| announced_nodes(node, &nodes, seed).len())
            .sum();

        assert!(connections <= count * MAX_CONNECTIONS_PER_NODE, "{count}");
    }
}

#[test]
fn a_small_fleet_is_told_as_a_whole_and_never_the_node_itself() {
    let nodes = fleet(14);
    let mut told = announced_nodes(&nodes[3], &nodes, 7);
    told.sort();

    let others: Vec<Arc<str>> = nodes
        .iter()
        .filter(|node| **node != nodes[3])
        .cloned()
        .collect();
    assert_eq!(told, others);
}

/// Guards against starts that are all announced to the same nodes.
#[test]
fn announcements_of_a_large_fleet_spread() {
    let nodes = fleet(294);
    let mut told: HashMap<Arc<str>, usize> = HashMap::new();
    for (node, seed) in nodes.iter().zip(0..) {
        for other in announced_nodes(node, &nodes, seed) {
            assert_ne!(other, *node);
            *told.entry(other).or_default() += 1;
        }
    }

    assert_eq!(told.len(), nodes.len());
    assert!(
        told.values()
            .all(|count| *count <= 2 * MAX_ANNOUNCED_NODES + 2)
    );
}
