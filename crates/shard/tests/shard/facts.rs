//! What the records of the nodes state for good, over returns of the store from a copy.

use crate::support::{first_era, life};
use std::{sync::Arc, time::Duration};
use wagtail_core::{heartbeat::TargetDeparture, objects::StoreRevision};
use wagtail_gate::crash_report::{CrashReport, QUARANTINE_TIME, TargetCrash};
use wagtail_shard::{
    departures::DepartureList,
    facts::{FactMemory, NodeFacts, restore_delay},
};

/// The time of all records, in milliseconds since the Unix epoch.
const NOW_MS: u64 = 1_000_000;

/// Returns facts with a departure and a crash.
fn facts() -> NodeFacts {
    let mut departures = DepartureList::default();
    departures.add(TargetDeparture::from(&life("a", 1)));
    let mut crashes = CrashReport::default();
    crashes.add_crash(TargetCrash::new(life("a", 2), NOW_MS, Vec::new()));

    NodeFacts {
        departures,
        crashes,
    }
}

/// Records what the store holds of node `n1`, and returns what is known of it.
fn record(memory: &mut FactMemory, stated: NodeFacts, revision: StoreRevision) -> NodeFacts {
    memory.record(&Arc::from("n1"), stated, revision, NOW_MS)
}

/// Guards against a departure or a crash that is forgotten with a return of the store from a copy.
#[test]
fn facts_outlast_a_record_of_a_later_era_that_lacks_them() {
    let mut memory = FactMemory::default();
    assert_eq!(record(&mut memory, facts(), first_era(9)), facts());
    assert!(!memory.is_lost("n1"));

    let returned = StoreRevision::new(1, 4);
    assert_eq!(record(&mut memory, NodeFacts::default(), returned), facts());
    assert!(memory.is_lost("n1"));
    assert_eq!(memory.lost().count(), 1);

    // The restarted node writes what it knows, then another node restores the record.
    let rewritten = StoreRevision::new(1, 5);
    record(&mut memory, NodeFacts::default(), rewritten);
    assert!(memory.is_lost("n1"));
    record(&mut memory, facts(), StoreRevision::new(1, 6));
    assert!(!memory.is_lost("n1"));
}

/// Guards against writes that restore what a node has dropped by itself.
#[test]
fn facts_that_a_record_of_the_same_era_lacks_are_not_lost() {
    let mut memory = FactMemory::default();
    record(&mut memory, facts(), first_era(9));
    record(&mut memory, NodeFacts::default(), first_era(10));

    assert!(!memory.is_lost("n1"));
}

/// Guards against crashes that count for longer than their time because they are remembered.
#[test]
fn old_crashes_are_not_remembered() {
    let mut memory = FactMemory::default();
    record(&mut memory, facts(), first_era(9));

    let later_ms = NOW_MS + u64::try_from(QUARANTINE_TIME.as_millis()).unwrap();
    let node = Arc::from("n1");
    let known = memory.record(
        &node,
        NodeFacts::default(),
        StoreRevision::new(1, 4),
        later_ms,
    );
    assert!(known.crashes.is_empty());
    assert_eq!(known.departures, facts().departures);
}

/// Guards against nodes that all write the same record at the same moment, and against none that does.
#[test]
fn nodes_take_turns_to_restore_a_record() {
    let nodes: Vec<Arc<str>> = ["n1", "n2", "n3", "n4"].map(Arc::from).to_vec();
    let delays = ["n3", "n4", "n1"].map(|own| restore_delay(own, "n2", &nodes));

    assert!(delays.is_sorted_by(|a, b| a < b), "{delays:?}");
    assert!(delays.iter().all(|delay| *delay <= Duration::from_secs(2)));
    // A node that is in no list comes last.
    assert_eq!(restore_delay("n9", "n2", &nodes), Duration::from_secs(2));
}
