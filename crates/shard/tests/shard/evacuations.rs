//! Tests of targets whose zone is evacuated: their nodes report them as not ready.

use crate::support::{first_era, holder, life, status};
use std::{sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_shard::{
    balance::BalanceOptions,
    keeper::KeeperOptions,
    planner::{PlannerOptions, RangePlanner, TargetStatus},
    table::{LAST_KEY, RangeTable, RowState},
};

/// Returns the moment at `millis` milliseconds.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Returns a planner that has known the given targets for long.
fn planner(statuses: &[TargetStatus]) -> RangePlanner {
    let options = PlannerOptions {
        suspicion: Duration::from_millis(1_500),
        lapse: KeeperOptions::default().revocation_lapse(),
        discovery_window: Duration::from_secs(1),
        min_move_interval: Duration::from_secs(1),
        overload_move_interval: Duration::from_secs(1),
        balance: BalanceOptions::default(),
    };
    let mut planner = RangePlanner::new(options, at(0));
    let nodes: Vec<Arc<str>> = statuses
        .iter()
        .map(|status| Arc::clone(&status.node))
        .collect();
    planner.set_members(&nodes, at(0));
    for status in statuses {
        planner.answered(status.clone(), at(9_900));
    }

    planner
}

/// Returns the status of a target whose zone is evacuated.
fn evacuated(name: &str) -> TargetStatus {
    TargetStatus {
        ready: false,
        ..status(name, 1, 100.0)
    }
}

/// Returns a table that is divided between the targets `a` and `b`, with a row that moves from `a` to `b`.
fn divided_table() -> RangeTable {
    let mut table = RangeTable::new();
    table.assign(0, 29_999, &holder("a", 1));
    table.assign(30_000, LAST_KEY, &holder("b", 1));
    table.start_move(0, 99, &holder("b", 1));

    table
}

/// Guards against keys that stay in an evacuated zone, arrive there, or are taken without consent.
#[test]
fn keys_of_an_evacuated_zone_move_with_consent() {
    let mut planner = planner(&[evacuated("a"), evacuated("b"), status("c", 1, 100.0)]);

    let next = planner
        .plan(Some(&divided_table()), first_era(2), at(10_000))
        .unwrap();

    for row in &next.rows {
        let held = row.holder.as_ref().map(|holder| holder.life.clone());
        assert!(held == Some(life("a", 1)) || held == Some(life("b", 1)));
        let to = holder("c", 1);
        assert_eq!(row.state, RowState::Moving { to }, "{row:?}");
    }
}

/// Guards against keys without a holder while there is no target outside the evacuated zones.
#[test]
fn keys_stay_while_all_zones_are_evacuated() {
    let mut planner = planner(&[evacuated("a"), evacuated("b")]);
    let table = divided_table();

    assert_eq!(planner.plan(Some(&table), first_era(2), at(10_000)), None);
}

/// Guards against keys that move on although the evacuation of their holder's zone was withdrawn.
#[test]
fn a_withdrawn_evacuation_keeps_the_keys_that_have_not_moved() {
    let mut planner = planner(&[status("a", 1, 100.0), evacuated("b")]);

    let next = planner
        .plan(Some(&divided_table()), first_era(2), at(10_000))
        .unwrap();

    assert!(next.row(50).unwrap().is_held_by(&life("a", 1)));
    assert_eq!(next.row(50).unwrap().state, RowState::Held);
    let to = holder("a", 1);
    assert_eq!(next.row(40_000).unwrap().state, RowState::Moving { to });
}
