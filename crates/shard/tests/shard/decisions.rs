//! Tests of the table, the grants, the planner and the balancing of load.

use crate::support::{first_era, heartbeat, holder, life, status};
use assert_matches::assert_matches;
use std::{sync::Arc, time::Duration};
use wagtail_core::{
    heartbeat::{HeldRange, ReleasedRange},
    objects::StoreRevision,
    units::LocalMoment,
};
use wagtail_shard::{
    balance::{BalanceOptions, HolderLoad, fill_empty, rebalance},
    keeper::{GrantKeeper, HeartbeatVerdict, KeeperOptions},
    load::{KeyCounter, RangeLoad},
    planner::{PlannerOptions, RangePlanner},
    table::{LAST_KEY, RangeTable, RowState},
};

/// Returns the moment at `millis` milliseconds.
pub fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Records the table twice, as first read by the process and as of a later revision, so that no
/// writes of the previous process are unresolved.
pub fn confirm_table(keeper: &mut GrantKeeper, table: &RangeTable, now: LocalMoment) {
    keeper.record_table(table.clone(), first_era(1), now);
    keeper.record_table(table.clone(), first_era(2), now);
}

/// Returns planner options with short intervals and the default lapse.
fn planner_options() -> PlannerOptions {
    PlannerOptions {
        suspicion: Duration::from_millis(1_500),
        lapse: KeeperOptions::default().revocation_lapse(),
        discovery_window: Duration::from_secs(1),
        min_move_interval: Duration::from_secs(1),
        overload_move_interval: Duration::from_secs(1),
        balance: BalanceOptions::default(),
    }
}

#[test]
fn a_move_waits_for_the_release() {
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    table.start_move(100, 200, &holder("b", 1));
    assert!(table.is_sound());
    let token = table.row(150).unwrap().token;

    let mut keeper = GrantKeeper::new(Arc::from("a"), KeeperOptions::default(), at(0));
    let holds = |from, to| vec![HeldRange { from, to, token }];
    let first = heartbeat("a", 1, 1, holds(0, LAST_KEY), Vec::new());
    assert_eq!(
        keeper.accept(&first, at(10)),
        HeartbeatVerdict::NewIncarnation
    );
    assert!(!keeper.settle(&first, &mut table));
    confirm_table(&mut keeper, &table, at(10));
    let reply = keeper.reply(&first, at(10), at(12));
    assert_eq!(reply.grant.unwrap().ranges.len(), 2);

    // The target still holds the range because requests on it are running.
    let second = heartbeat("a", 1, 2, holds(0, LAST_KEY), Vec::new());
    assert_eq!(keeper.accept(&second, at(100)), HeartbeatVerdict::Current);
    assert!(!keeper.settle(&second, &mut table));

    let released = vec![ReleasedRange {
        from: 100,
        to: 200,
        handover: Arc::from("warm"),
    }];
    let third = heartbeat("a", 1, 3, holds(0, 99), released);
    assert_eq!(keeper.accept(&third, at(200)), HeartbeatVerdict::Current);
    table.begin_change(first_era(2));
    assert!(keeper.settle(&third, &mut table));

    let row = table.row(150).unwrap();
    assert!(row.is_held_by(&life("b", 1)));
    assert!(row.token > token);
    assert_eq!(&*row.handover, "warm");
    assert!(table.is_sound());
}

/// Guards against keys that are cold at their next holder because the heartbeat that released them was
/// acknowledged while the table could not be read.
#[test]
fn a_handover_outlasts_an_outage_of_the_store() {
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    table.start_move(100, 200, &holder("b", 1));
    let token = table.row(150).unwrap().token;
    let kept = || {
        [(0, 99), (201, LAST_KEY)]
            .map(|(from, to)| HeldRange { from, to, token })
            .to_vec()
    };

    let mut keeper = GrantKeeper::new(Arc::from("a"), KeeperOptions::default(), at(0));
    let first = heartbeat("a", 1, 1, Vec::new(), Vec::new());
    keeper.accept(&first, at(10));
    confirm_table(&mut keeper, &table, at(10));
    keeper.reply(&first, at(10), at(12));

    let released = vec![ReleasedRange {
        from: 100,
        to: 200,
        handover: Arc::from("warm"),
    }];
    let during_outage = heartbeat("a", 1, 2, kept(), released);
    keeper.accept(&during_outage, at(100));
    keeper.reply(&during_outage, at(100), at(102));

    let after_outage = heartbeat("a", 1, 3, kept(), Vec::new());
    keeper.accept(&after_outage, at(200));
    assert!(keeper.needs_read(&after_outage, first_era(2), at(200)));
    assert!(keeper.settle(&after_outage, &mut table));
    assert_eq!(&*table.row(150).unwrap().handover, "warm");

    // Once the table shows the move, nothing is left to hand over.
    keeper.record_table(table.clone(), first_era(3), at(200));
    assert!(!keeper.needs_read(&after_outage, first_era(3), at(200)));
}

/// Guards against grants by a table that is lost: a read from before the store returned from a copy
/// arrives after one from the new era.
#[test]
fn a_table_of_an_earlier_era_renews_no_grants() {
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    let options = KeeperOptions::default();
    let mut keeper = GrantKeeper::new(Arc::from("a"), options, at(0));
    let mut freed = table.clone();
    freed.begin_change(StoreRevision::new(1, 1));
    freed.free(|_| true);
    confirm_table(&mut keeper, &table, at(10));
    keeper.record_table(freed, StoreRevision::new(1, 2), at(20));

    keeper.record_table(table, first_era(9), at(30));

    let beat = heartbeat("a", 1, 1, Vec::new(), Vec::new());
    keeper.accept(&beat, at(40));
    let grant = keeper.reply(&beat, at(40), at(42)).grant;
    assert!(grant.is_none_or(|grant| grant.ranges.is_empty()));
}

/// Guards against a gap in service when keys move between targets whose heartbeats do not coincide:
/// if the reply did not wait, nobody would serve the keys from their release to the receiver's next
/// heartbeat.
#[test]
fn the_answer_to_a_receiver_waits_for_the_release() {
    let mut table = RangeTable::new();
    table.assign(0, 999, &holder("a", 1));
    table.assign(1_000, LAST_KEY, &holder("b", 1));

    let mut keeper = GrantKeeper::new(Arc::from("b"), KeeperOptions::default(), at(0));
    let first = heartbeat("b", 1, 1, Vec::new(), Vec::new());
    keeper.accept(&first, at(10));
    confirm_table(&mut keeper, &table, at(10));
    assert!(!keeper.awaits_handover(&first, &table, at(10)));
    keeper.reply(&first, at(10), at(12));

    table.start_move(100, 200, &holder("b", 1));
    let second = heartbeat("b", 1, 2, Vec::new(), Vec::new());
    keeper.accept(&second, at(1_500));
    assert!(keeper.awaits_handover(&second, &table, at(1_500)));

    // A reply that takes away a range, or can grant the moved one already, is not delayed.
    let mut leaving = table.clone();
    leaving.start_move(5_000, 6_000, &holder("a", 1));
    assert!(!keeper.awaits_handover(&second, &leaving, at(1_500)));
    let mut released = table.clone();
    released.release(&life("a", 1), &[], &[], |_| true);
    assert!(released.row(150).unwrap().is_held_by(&life("b", 1)));
    assert!(!keeper.awaits_handover(&second, &released, at(1_500)));

    let mut draining = second.clone();
    draining.draining = true;
    assert!(!keeper.awaits_handover(&draining, &table, at(1_500)));

    // Grants that are about to lapse are renewed at once.
    assert!(!keeper.awaits_handover(&second, &table, at(2_100)));
}

#[test]
fn a_restarted_node_hands_nothing_over_at_the_first_heartbeat() {
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    table.start_move(0, LAST_KEY, &holder("b", 1));

    // The previous process may have granted the row in a reply that is still on its way.
    let mut keeper = GrantKeeper::new(Arc::from("a"), KeeperOptions::default(), at(0));
    let first = heartbeat("a", 1, 7, Vec::new(), Vec::new());
    keeper.accept(&first, at(10));
    assert!(!keeper.settle(&first, &mut table));
    confirm_table(&mut keeper, &table, at(10));
    keeper.reply(&first, at(10), at(11));

    let second = heartbeat("a", 1, 8, Vec::new(), Vec::new());
    keeper.accept(&second, at(110));
    assert!(keeper.settle(&second, &mut table));
}

#[test]
fn an_answer_that_comes_too_late_grants_nothing() {
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    let mut keeper = GrantKeeper::new(Arc::from("a"), KeeperOptions::default(), at(0));
    let first = heartbeat("a", 1, 1, Vec::new(), Vec::new());
    keeper.accept(&first, at(0));

    confirm_table(&mut keeper, &table, at(0));
    assert_matches!(keeper.reply(&first, at(0), at(900)).grant, None);
    assert_matches!(keeper.reply(&first, at(0), at(700)).grant, Some(_));
}

/// Guards against a write that the previous process sent without getting a response: it may still
/// take effect and take the rows away.
#[test]
fn a_restarted_node_grants_nothing_before_the_table_was_written_once() {
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    let mut keeper = GrantKeeper::new(Arc::from("a"), KeeperOptions::default(), at(0));
    let first = heartbeat("a", 1, 1, Vec::new(), Vec::new());
    keeper.accept(&first, at(10));

    keeper.record_table(table.clone(), first_era(5), at(10));
    assert!(keeper.has_unresolved_writes(first_era(5)));
    assert_matches!(keeper.reply(&first, at(10), at(11)).grant, None);

    table.begin_change(first_era(5));
    keeper.record_table(table, first_era(6), at(12));
    assert_matches!(keeper.reply(&first, at(10), at(13)).grant, Some(_));
}

/// Guards against a loss of all grants when the store is down for a few seconds.
#[test]
fn a_table_read_before_an_outage_supports_grants_for_a_while() {
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    let options = KeeperOptions::default();
    let mut keeper = GrantKeeper::new(Arc::from("a"), options, at(0));
    confirm_table(&mut keeper, &table, at(100));

    let mut granted = Vec::new();
    for step in 1..=8 {
        let now = at(870 * step);
        let heartbeat = heartbeat("a", 1, step, Vec::new(), Vec::new());
        keeper.accept(&heartbeat, now);
        granted.push(keeper.reply(&heartbeat, now, now).grant.is_some());
    }

    assert_eq!(granted, [true, true, true, true, true, false, false, false]);
}

/// Guards against granting keys that are about to change hands: a write that frees a silent
/// target's keys and gets no response may take effect after the target has returned.
#[test]
fn rows_that_an_uncertain_write_would_free_are_not_granted_until_it_is_settled() {
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    let mut keeper = GrantKeeper::new(Arc::from("a"), KeeperOptions::default(), at(0));
    let first = heartbeat("a", 1, 1, Vec::new(), Vec::new());
    keeper.accept(&first, at(0));
    confirm_table(&mut keeper, &table, at(0));
    let mut freed = table.clone();
    assert!(keeper.free_lapsed(&mut freed, at(9_000)));
    keeper.begin_write(first_era(7), freed);

    let second = heartbeat("a", 1, 2, Vec::new(), Vec::new());
    keeper.accept(&second, at(9_100));
    keeper.record_table(table.clone(), first_era(7), at(9_100));
    let reply = keeper.reply(&second, at(9_100), at(9_101));
    assert_eq!(reply.grant.unwrap().ranges, []);

    // The table has a later revision, so that the write cannot take effect any more.
    keeper.record_table(table, first_era(8), at(9_200));
    let reply = keeper.reply(&second, at(9_100), at(9_201));
    assert_eq!(reply.grant.unwrap().ranges.len(), 1);
}

#[test]
fn a_silent_target_keeps_its_keys_until_its_holds_have_lapsed() {
    let mut table = RangeTable::new();
    table.assign(0, LAST_KEY, &holder("a", 1));
    let options = KeeperOptions::default();
    let mut keeper = GrantKeeper::new(Arc::from("a"), options, at(0));
    let first = heartbeat("a", 1, 1, Vec::new(), Vec::new());
    keeper.accept(&first, at(1_000));
    confirm_table(&mut keeper, &table, at(1_000));
    keeper.reply(&first, at(1_000), at(1_001));

    assert!(!keeper.free_lapsed(&mut table, at(1_000) + options.hold));
    assert!(keeper.free_lapsed(&mut table, at(1_000) + options.lapse()));
}

#[test]
fn the_first_table_covers_all_keys_by_capacity() {
    let mut planner = RangePlanner::new(planner_options(), at(0));
    planner.set_members(&[Arc::from("a"), Arc::from("b")], at(0));
    planner.answered(status("a", 1, 100.0), at(100));
    assert_eq!(planner.plan(None, first_era(1), at(500)), None);

    planner.answered(status("b", 1, 300.0), at(1_100));
    planner.answered(status("a", 1, 100.0), at(1_100));
    let table = planner.plan(None, first_era(1), at(1_200)).unwrap();

    assert!(table.is_sound());
    let keys = |name| -> u32 {
        let rows = table
            .rows
            .iter()
            .filter(|row| row.is_held_by(&life(name, 1)));
        rows.map(wagtail_shard::table::RangeRow::keys).sum()
    };
    assert_eq!(keys("a") + keys("b"), 65_536);
    assert!(keys("b").abs_diff(keys("a") * 3) < 10);
}

#[test]
fn the_keys_of_a_silent_node_are_revoked_and_free_only_after_the_wait() {
    let mut table = RangeTable::new();
    table.assign(0, 999, &holder("a", 1));
    table.assign(1_000, LAST_KEY, &holder("b", 1));
    let mut planner = RangePlanner::new(planner_options(), at(0));
    planner.set_members(&[Arc::from("a"), Arc::from("b")], at(0));

    let mut revoked_at = None;
    let mut freed_at = None;
    for step in 0..150 {
        let now = at(step * 100);
        planner.answered(status("a", 1, 100.0), now);
        let Some(next) = planner.plan(Some(&table), first_era(step + 1), now) else {
            continue;
        };
        let row = next.row(5_000).unwrap();
        if row.state == RowState::Revoked {
            revoked_at.get_or_insert(now);
        }
        if row.is_held_by(&life("a", 1)) {
            freed_at.get_or_insert(now);
        }
        table = next;
    }

    let (revoked_at, freed_at) = (revoked_at.unwrap(), freed_at.unwrap());
    assert!(revoked_at <= at(1_700));
    assert!(freed_at.since(revoked_at) >= KeeperOptions::default().revocation_lapse());
}

#[test]
fn a_leaving_target_hands_its_keys_over() {
    let mut table = RangeTable::new();
    table.assign(0, 999, &holder("a", 1));
    table.assign(1_000, LAST_KEY, &holder("b", 1));
    let mut planner = RangePlanner::new(planner_options(), at(0));
    planner.set_members(&[Arc::from("a"), Arc::from("b")], at(0));
    planner.answered(status("a", 1, 100.0), at(0));
    let mut leaving = status("b", 1, 100.0);
    leaving.ready = false;
    planner.answered(leaving, at(0));

    let next = planner.plan(Some(&table), first_era(1), at(10)).unwrap();

    assert_matches!(&next.row(5_000).unwrap().state, RowState::Moving { to } if to.node.as_ref() == "a");
    assert_eq!(next.row(5).unwrap().state, RowState::Held);
}

/// Guards against overload when a few adjacent keys suddenly receive a large part of the load.
#[test]
fn hot_neighbouring_keys_are_spread_by_moving_few_keys() {
    let mut counter = KeyCounter::default();
    let mut now = at(0);
    for step in 0..1_000_u32 {
        now = at(u64::from(step) * 4);
        let hot = u16::try_from(30_000 + step % 60).unwrap();
        let cold = u16::try_from(step * 13 % 13_000).unwrap();
        counter.count(if step % 5 < 3 { hot } else { cold + 26_000 }, now);
    }
    let busy = HolderLoad {
        holder: holder("a", 1),
        capacity: 100.0,
        pieces: counter.pieces(26_000, 39_000, 24, now),
    };
    let idle = |name: &str| HolderLoad {
        holder: holder(name, 1),
        capacity: 100.0,
        pieces: vec![RangeLoad {
            from: 0,
            to: 1_000,
            rate: 20.0,
        }],
    };
    let loads = [busy.clone(), idle("b"), idle("c")];

    let moves = rebalance(&loads, &BalanceOptions::default());

    let keys: u32 = moves
        .iter()
        .map(|change| u32::from(change.to - change.from) + 1)
        .sum();
    let rate: f32 = busy
        .pieces
        .iter()
        .filter(|piece| moves.iter().any(|change| change.from == piece.from))
        .map(|piece| piece.rate)
        .sum();
    assert!(rate > 80.0, "{rate} of {} moved", busy.rate());
    assert!(keys < 6_554, "{keys} keys moved, over a tenth of all");
}

/// Returns a holder with the given capacity, and one range of keys with the given rate.
fn loaded(name: &str, capacity: f32, from: u16, to: u16, rate: f32) -> HolderLoad {
    HolderLoad {
        holder: holder(name, 1),
        capacity,
        pieces: vec![RangeLoad { from, to, rate }],
    }
}

/// Guards against a busy key that stays with a target that named a limit far below the key's rate,
/// as it is more than half of the difference in load.
#[test]
fn the_only_busy_key_moves_off_a_target_with_a_limit() {
    let limited = loaded("limited", 7.3, 500, 500, 40.0);
    let free = loaded("free", 120.0, 501, 1_000, 10.0);

    let moves = rebalance(&[limited, free], &BalanceOptions::default());

    assert_eq!(moves.len(), 1, "{moves:?}");
    assert_eq!((moves[0].from, moves[0].to), (500, 500));
    assert_eq!(&*moves[0].next.node, "free");
}

#[test]
fn a_key_does_not_move_when_no_other_target_would_serve_more_of_it() {
    let limited = loaded("limited", 7.3, 500, 500, 40.0);
    let as_limited = loaded("other", 7.3, 501, 1_000, 4.0);
    let nearly_full = loaded("full", 40.0, 1_001, 2_000, 180.0);

    for other in [as_limited, nearly_full] {
        let moves = rebalance(&[limited.clone(), other], &BalanceOptions::default());

        assert!(moves.iter().all(|change| change.from != 500), "{moves:?}");
    }
}

/// Guards against a busy key that moves to and fro between two targets.
#[test]
fn a_busy_key_that_has_moved_stays() {
    let before = loaded("a", 50.0, 1, 499, 5.0);
    let after = loaded("b", 60.0, 500, 500, 45.0);

    assert_eq!(rebalance(&[before, after], &BalanceOptions::default()), []);
}

/// Guards against targets that stay without keys while one after the other gets some, a round of three
/// seconds each: four of 61 were idle at the start of the traffic.
#[test]
fn all_targets_without_keys_get_some_in_one_round() {
    let mut loads: Vec<HolderLoad> = (0..20_u16)
        .map(|index| {
            let from = index * 100;
            loaded(&format!("h{index}"), 50.0, from, from + 99, 0.0)
        })
        .collect();
    for load in &mut loads {
        let (from, to) = (load.pieces[0].from, load.pieces[0].to);
        let halves = [(from, from + 49), (from + 50, to)];
        load.pieces = halves
            .map(|(from, to)| RangeLoad {
                from,
                to,
                rate: 0.0,
            })
            .to_vec();
    }
    let empty: Vec<_> = (0..4)
        .map(|index| holder(&format!("e{index}"), 1))
        .collect();
    loads.extend(empty.iter().map(|holder| HolderLoad {
        holder: holder.clone(),
        capacity: 50.0,
        pieces: Vec::new(),
    }));

    let moves = fill_empty(&loads, &empty, &BalanceOptions::default());

    assert!(moves.len() <= BalanceOptions::default().max_moves);
    for holder in &empty {
        assert!(
            moves.iter().any(|change| change.next == *holder),
            "{moves:?}"
        );
    }
}
