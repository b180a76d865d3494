//! Tables after a return of the store: which tokens follow.

use crate::support::{first_era, holder, status};
use std::{sync::Arc, time::Duration};
use wagtail_core::{objects::StoreRevision, units::LocalMoment};
use wagtail_shard::{
    balance::BalanceOptions,
    keeper::KeeperOptions,
    planner::{PlannerOptions, RangePlanner},
    table::{LAST_KEY, RangeTable, RowState},
};

/// The largest integer that every JSON parser keeps exact.
const MAX_EXACT_INTEGER: u64 = (1 << 53) - 1;

/// Returns the moment at `millis` milliseconds.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Returns a revision in the era that follows the first return of the store.
fn second_era(number: u64) -> StoreRevision {
    StoreRevision::new(1, number)
}

/// Returns planner options with the default wait and without a time for discovery.
fn planner_options() -> PlannerOptions {
    PlannerOptions {
        suspicion: Duration::from_millis(1_500),
        lapse: KeeperOptions::default().revocation_lapse(),
        discovery_window: Duration::ZERO,
        min_move_interval: Duration::from_secs(3),
        overload_move_interval: Duration::from_secs(3),
        balance: BalanceOptions::default(),
    }
}

/// Returns a table of the first era in which all keys belong to `name`.
fn table_of(name: &str) -> RangeTable {
    let mut table = RangeTable::new();
    table.begin_change(first_era(4));
    table.assign(0, LAST_KEY, &holder(name, 1));

    table
}

/// Guards against a wait that counts from a revocation which the store lost: the holder's node granted
/// the row again until it was revoked once more.
#[test]
fn a_revocation_that_is_repeated_starts_its_wait_anew() {
    let table = table_of("a");
    let names = [Arc::from("a"), Arc::from("b")];
    let revoke_at = |number: u64, now: LocalMoment| {
        let mut planner = RangePlanner::new(planner_options(), at(0));
        planner.set_members(&names, at(0));
        planner.answered(status("b", 1, 100.0), now);
        planner.plan(Some(&table), first_era(number), now).unwrap()
    };
    let (first, second) = (revoke_at(5, at(2_000)), revoke_at(9, at(6_000)));
    assert_eq!(first.row(5).unwrap().state, RowState::Revoked);

    let mut observer = RangePlanner::new(planner_options(), at(0));
    observer.set_members(&names, at(0));
    let mut freed_at = None;
    for step in 20..200 {
        let now = at(step * 100);
        observer.answered(status("b", 1, 100.0), now);
        let seen = if now < at(6_000) { &first } else { &second };
        if observer.plan(Some(seen), first_era(9), now).is_some() {
            freed_at.get_or_insert(now);
        }
    }

    // 5 s for which a table read before supports grants, and 2.8 s of hold on a clock 2% slow.
    assert!(freed_at.unwrap() >= at(6_000 + 7_856), "{freed_at:?}");
}

/// Guards against a token of the lost span that is given out once more, also for a row that was not
/// touched since, and against tokens that a target cannot hold.
#[test]
fn a_change_in_a_later_era_gets_a_token_above_all_earlier_ones() {
    let mut copy = table_of("a");
    let mut lost = copy.clone();
    for number in 5..500 {
        lost.begin_change(first_era(number));
        lost.reassign(Some(&holder("b", number)), |_| true);
    }

    copy.begin_change(second_era(4));
    copy.reassign(None, |_| true);
    copy.begin_change(second_era(5));
    copy.assign(0, LAST_KEY, &holder("c", 1));

    assert!(copy.row(5).unwrap().token > lost.row(5).unwrap().token);

    // 8,191 returns and ten years of 3,200 writes a second.
    copy.begin_change(StoreRevision::new(8_191, 1_000_000_000_000));
    assert!(copy.next_token <= MAX_EXACT_INTEGER);
}
