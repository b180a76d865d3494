//! Tests of the choice of the nodes that watch the store.
//!
//! They guard against two failures: a watch by every node, which costs one call per change and
//! node, and zones that miss changes because a watcher is lost or partitioned.

use std::{collections::BTreeSet, sync::Arc};
use wagtail_core::units::LocalMoment;
use wagtail_route::watchers::{SourceFailure, WatchSource, WatcherChoice};

/// Returns the moment `millis` milliseconds after the origin.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Returns the names of the nodes of a zone with `count` nodes.
fn zone(count: usize) -> BTreeSet<Arc<str>> {
    (0..count).map(name).collect()
}

/// Returns the name of the node with an index; names sort by index.
fn name(index: usize) -> Arc<str> {
    Arc::from(format!("n{index:03}"))
}

/// Returns the sources that all nodes of a zone with `count` nodes choose.
fn sources(count: usize) -> Vec<WatchSource> {
    let nodes = zone(count);

    (0..count)
        .map(|index| WatcherChoice::new(name(index)).choose(&nodes, at(0)))
        .collect()
}

/// Returns how many nodes watch the store.
fn watchers(sources: &[WatchSource]) -> usize {
    sources
        .iter()
        .filter(|source| **source == WatchSource::Store)
        .count()
}

#[test]
fn two_nodes_of_a_small_zone_watch_and_one_in_thirty_two_of_a_large_one() {
    assert_eq!(watchers(&sources(1)), 1);
    assert_eq!(watchers(&sources(5)), 2);
    assert_eq!(watchers(&sources(22)), 2);
    assert_eq!(watchers(&sources(59)), 2);
    assert_eq!(watchers(&sources(208)), 7);
}

#[test]
fn followers_ask_nodes_that_watch_and_spread_over_them() {
    let sources = sources(208);

    for watcher in 0..7 {
        let followers = sources
            .iter()
            .filter(|source| **source == WatchSource::Node(name(watcher)))
            .count();
        // 201 followers of seven watchers.
        assert!((28..=29).contains(&followers), "{followers}");
    }
}

#[test]
fn a_node_without_a_watcher_becomes_one() {
    let nodes = zone(4);
    let choice = WatcherChoice::new(name(2));
    assert_eq!(choice.choose(&nodes, at(0)), WatchSource::Node(name(0)));

    choice.avoid(&name(0), SourceFailure::Unreachable, at(0));
    assert_eq!(choice.choose(&nodes, at(1)), WatchSource::Store);

    // The backoff of 10 s is over: the node follows the lost watcher again and stops watching.
    assert_eq!(
        choice.choose(&nodes, at(10_001)),
        WatchSource::Node(name(0))
    );
}

#[test]
fn a_node_that_has_just_become_a_watcher_is_asked_again_soon() {
    let nodes = zone(6);
    let choice = WatcherChoice::new(name(5));
    choice.avoid(&name(1), SourceFailure::NotWatching, at(0));

    assert_ne!(choice.choose(&nodes, at(1)), WatchSource::Node(name(1)));
    assert_eq!(choice.choose(&nodes, at(2_001)), WatchSource::Node(name(1)));
}

#[test]
fn a_node_whose_record_is_not_known_follows_and_the_only_one_watches() {
    let choice = WatcherChoice::new(name(9));

    assert_eq!(choice.choose(&zone(0), at(0)), WatchSource::Store);
    assert_eq!(choice.choose(&zone(3), at(0)), WatchSource::Node(name(1)));
}
