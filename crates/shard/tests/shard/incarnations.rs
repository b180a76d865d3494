//! Which incarnation of its target a node serves: a later one, one whose clock was set back, or one that seemed to have
//! ended.

use crate::{
    decisions::{at, confirm_table},
    support::{first_era, heartbeat, holder},
};
use assert_matches::assert_matches;
use std::sync::Arc;
use wagtail_shard::{
    keeper::{GrantKeeper, HeartbeatVerdict, KeeperOptions},
    table::{LAST_KEY, RangeTable},
};

#[test]
fn a_new_incarnation_inherits_the_rows_of_the_previous_one() {
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    let token = table.row(5).unwrap().token;

    let mut keeper = GrantKeeper::new(Arc::from("a"), KeeperOptions::default(), at(0));
    let restarted = heartbeat("a", 2, 1, Vec::new(), Vec::new());
    assert_eq!(
        keeper.accept(&restarted, at(10)),
        HeartbeatVerdict::NewIncarnation
    );
    table.begin_change(first_era(1));
    assert!(keeper.settle(&restarted, &mut table));
    let row = table.row(5).unwrap();
    assert_eq!(row.holder, Some(holder("a", 2)));
    assert!(row.token > token);

    // A delayed heartbeat of the previous incarnation changes nothing.
    let late = heartbeat("a", 1, 9, Vec::new(), Vec::new());
    assert_eq!(keeper.accept(&late, at(20)), HeartbeatVerdict::Stale);
}

#[test]
fn an_incarnation_with_an_earlier_start_wins_when_it_alone_sends() {
    let mut keeper = GrantKeeper::new(Arc::from("a"), KeeperOptions::default(), at(0));
    keeper.accept(&heartbeat("a", 5_000, 1, Vec::new(), Vec::new()), at(0));

    let mut verdicts = Vec::new();
    for step in 1..=5 {
        let heartbeat = heartbeat("a", 4_000, step, Vec::new(), Vec::new());
        verdicts.push(keeper.accept(&heartbeat, at(870 * step)));
    }

    assert_eq!(
        verdicts[..2],
        [HeartbeatVerdict::Stale, HeartbeatVerdict::Stale]
    );
    assert!(verdicts.contains(&HeartbeatVerdict::NewIncarnation));
}

/// Guards against a target that was taken for ended and lives, whose heartbeats count as stale for as long as it does.
#[test]
fn an_incarnation_that_seemed_to_have_ended_returns_when_it_alone_sends() {
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    let mut keeper = GrantKeeper::new(Arc::from("a"), KeeperOptions::default(), at(0));
    keeper.accept(&heartbeat("a", 1, 1, Vec::new(), Vec::new()), at(0));
    keeper.target_ended();

    // One that was under way when the process ended, and its repeat.
    for now in [870, 4_000] {
        let late = heartbeat("a", 1, 2, Vec::new(), Vec::new());
        assert_eq!(keeper.accept(&late, at(now)), HeartbeatVerdict::Stale);
    }
    let next = heartbeat("a", 1, 3, Vec::new(), Vec::new());
    assert_eq!(
        keeper.accept(&next, at(4_100)),
        HeartbeatVerdict::NewIncarnation
    );

    confirm_table(&mut keeper, &table, at(4_100));
    assert_matches!(keeper.reply(&next, at(4_100), at(4_100)).grant, Some(_));
}
