//! Tests of targets that have announced their leave.

use crate::support::{heartbeat, holder, life};
use std::sync::Arc;
use wagtail_core::{heartbeat::TargetDeparture, units::LocalMoment};
use wagtail_shard::{
    departures::DepartureList,
    keeper::{GrantKeeper, HeartbeatVerdict, KeeperOptions},
    table::{LAST_KEY, RangeTable},
};

/// Returns a departure of the runs of a target that started until `started_until_ms`.
fn departure(id: &str, started_until_ms: u64) -> TargetDeparture {
    TargetDeparture {
        id: Arc::from(id),
        started_until_ms,
    }
}

/// Guards against keys that a target inherits with a late heartbeat, after its leave was announced
/// to a process that had no heartbeat of it.
#[test]
fn a_late_heartbeat_of_a_departed_target_inherits_no_keys() {
    let now = LocalMoment::from_millis(10);
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    let mut keeper = GrantKeeper::new(Arc::from("a"), KeeperOptions::default(), now);
    keeper.depart(departure("a", 5));

    let late = heartbeat("a", 3, 7, Vec::new(), Vec::new());
    assert_eq!(keeper.accept(&late, now), HeartbeatVerdict::NewIncarnation);

    assert!(keeper.has_departed(&late.life));
    assert!(!keeper.awaits_handover(&late, &table, now));
    assert!(keeper.settle(&late, &mut table));
    assert!(table.rows.iter().all(|row| row.holder.is_none()));
}

/// Guards against a target that is kept out of service because an earlier run under its identifier
/// had announced a leave.
#[test]
fn a_later_run_under_the_same_identifier_has_not_departed() {
    let mut list = DepartureList::default();
    list.add(departure("a", 5));

    assert!(list.covers(&life("a", 5)));
    assert!(!list.covers(&life("a", 6)));
    assert!(!list.covers(&life("b", 5)));
}

/// Guards against a departure that a repeated, older message takes back or displaces.
#[test]
fn a_repeated_departure_takes_nothing_back() {
    let mut list = DepartureList::default();
    list.add(departure("a", 5));
    list.add(departure("b", 8));
    for _ in 0..10 {
        list.add(departure("a", 3));
    }

    assert!(list.covers(&life("a", 5)));
    assert!(list.covers(&life("b", 8)));
}

/// Guards against a list that grows with every target that a VM has run.
#[test]
fn only_the_latest_departures_are_kept() {
    let mut list = DepartureList::default();
    for start in 1..100 {
        list.add(departure(&format!("t{start}"), start));
    }

    assert!(list.covers(&life("t99", 99)));
    assert!(!list.covers(&life("t1", 1)));
}

/// Guards against a late departure that takes the place of a later one when lists are merged.
#[test]
fn merged_lists_keep_the_latest_departures_in_any_order() {
    let list = |starts: std::ops::Range<u64>| {
        let mut list = DepartureList::default();
        for start in starts {
            list.add(departure(&format!("t{start}"), start));
        }
        list
    };
    let (mut early, mut late) = (list(1..5), list(3..7));

    early.merge(&list(3..7));
    late.merge(&list(1..5));

    assert_eq!(early, late);
    assert!(late.covers(&life("t6", 6)));
    assert!(!late.covers(&life("t2", 2)));
}

#[test]
fn a_draining_heartbeat_is_a_departure() {
    let now = LocalMoment::from_millis(10);
    let mut keeper = GrantKeeper::new(Arc::from("a"), KeeperOptions::default(), now);
    let mut draining = heartbeat("a", 3, 7, Vec::new(), Vec::new());
    draining.draining = true;

    keeper.accept(&draining, now);

    assert!(keeper.has_departed(&life("a", 3)));
}
