//! Tables that were written for an earlier era of the store: what they support, who may claim their rows
//! and which tokens follow.

use crate::support::{first_era, heartbeat, holder, life, status};
use std::{sync::Arc, time::Duration};
use wagtail_core::{
    heartbeat::{HeldRange, ReleasedRange},
    objects::StoreRevision,
    units::LocalMoment,
};
use wagtail_shard::{
    balance::BalanceOptions,
    keeper::{GrantKeeper, KeeperOptions},
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

/// Returns a table of the first era in which all keys belong to `name`.
fn table_of(name: &str) -> RangeTable {
    let mut table = RangeTable::new();
    table.begin_change(first_era(4));
    table.assign(0, LAST_KEY, &holder(name, 1));

    table
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

/// Returns a keeper that has not heard from its target yet.
fn keeper_of(name: &str) -> GrantKeeper {
    GrantKeeper::new(Arc::from(name), KeeperOptions::default(), at(0))
}

/// Returns a keeper whose target got the table's grants in reply to a heartbeat at 1 s.
fn granting_keeper(name: &str, table: &RangeTable) -> GrantKeeper {
    let mut keeper = keeper_of(name);
    let first = heartbeat(name, 1, 1, Vec::new(), Vec::new());
    keeper.accept(&first, at(1_000));
    keeper.record_table(table.clone(), first_era(5), at(1_000));
    keeper.record_table(table.clone(), first_era(6), at(1_000));
    assert!(keeper.reply(&first, at(1_000), at(1_000)).grant.is_some());

    keeper
}

/// Guards against grants from the copy itself, when the write that would recover the table is refused.
#[test]
fn a_table_from_a_copy_begins_no_grants() {
    let table = table_of("a");
    let mut keeper = keeper_of("a");
    let first = heartbeat("a", 1, 1, Vec::new(), Vec::new());
    keeper.accept(&first, at(1_000));

    for number in [4, 5] {
        let revision = second_era(number);
        let change = keeper.begin_settling(&table, revision, at(1_000), at(1_000), |_, _| false);
        assert!(change.is_some_and(|change| change.is_recovery));
    }

    let grant = keeper.reply(&first, at(1_000), at(1_001)).grant;
    assert!(grant.is_none_or(|grant| grant.ranges.is_empty()));
}

/// Guards against a holder that loses its keys because the store returned.
#[test]
fn a_holder_whose_grant_is_valid_claims_its_keys_under_the_same_token() {
    let table = table_of("a");
    let token = table.row(5).unwrap().token;
    let mut keeper = granting_keeper("a", &table);

    let change = keeper
        .begin_settling(&table, second_era(4), at(2_000), at(2_000), |_, _| false)
        .unwrap();

    assert!(change.is_recovery && change.has_claims);
    let row = change.table.row(5).unwrap();
    assert_eq!((row.token, &row.state), (token, &RowState::Held));
    assert_eq!(row.holder, Some(holder("a", 1)));
    assert!(change.table.is_sound());
}

/// Guards against a claim that takes keys which another holder has claimed or been assigned already.
#[test]
fn a_claim_takes_unconfirmed_keys_only() {
    let mut table = table_of("a");
    table.begin_change(second_era(4));
    assert!(table.claim(100, 199, 4, &holder("b", 1)));

    assert!(table.claim(0, 299, 3, &holder("a", 1)));

    assert_eq!(table.row(150).unwrap().holder, Some(holder("b", 1)));
    assert_eq!(table.row(50).unwrap().holder, Some(holder("a", 1)));
    assert_eq!(table.row(300).unwrap().state, RowState::Unconfirmed);
    assert!(!table.claim(0, 299, 3, &holder("a", 1)));
}

/// Guards against a token below those that an earlier version of the program gave out.
#[test]
fn a_change_of_a_table_with_higher_tokens_goes_on_from_them() {
    let mut table = table_of("a");
    table.next_token = 1_000;

    table.begin_change(first_era(7));
    table.reassign(Some(&holder("b", 1)), |_| true);

    assert!(table.row(5).unwrap().token >= 1_000);
}

/// Guards against a node that reads the table again and again to free rows of its silent target which wait
/// after a return of the store.
#[test]
fn unconfirmed_rows_leave_their_node_nothing_to_free() {
    let mut table = table_of("a");
    assert!(table.is_assigned_to("a"));

    table.begin_change(second_era(4));

    assert!(!table.is_assigned_to("a"));
}

/// Guards against a claim of keys that may have passed to another holder since.
#[test]
fn a_holder_whose_grant_has_lapsed_claims_nothing() {
    let table = table_of("a");
    let mut keeper = granting_keeper("a", &table);

    let change = keeper
        .begin_settling(&table, second_era(4), at(4_000), at(4_000), |_, _| false)
        .unwrap();

    assert!(change.is_recovery && !change.has_claims);
    assert_eq!(change.table.row(5).unwrap().state, RowState::Unconfirmed);
}

/// Guards against a claim for a process that has ended, whose keys may be granted to its successor.
#[test]
fn a_target_that_has_ended_claims_nothing() {
    let table = table_of("a");
    let mut keeper = granting_keeper("a", &table);
    keeper.target_ended();

    let change = keeper
        .begin_settling(&table, second_era(4), at(2_000), at(2_000), |_, _| false)
        .unwrap();

    assert!(change.is_recovery && !change.has_claims);
}

/// Guards against unconfirmed keys that pass to another holder before every grant of them has lapsed,
/// because their holder in the copy released them, restarted, ended or fell silent.
#[test]
fn unconfirmed_keys_are_not_handed_on_by_what_their_holder_in_the_copy_does() {
    let mut table = table_of("a");
    table.start_move(0, 99, &holder("b", 1));
    table.begin_change(second_era(4));
    let before = table.clone();

    let released = ReleasedRange {
        from: 0,
        to: 99,
        handover: Arc::from("warm"),
    };
    assert!(!table.release(&life("a", 1), &[], &[released], |_| true));
    assert!(!table.reassign(Some(&holder("b", 1)), |_| true));
    table.assign(0, LAST_KEY, &holder("b", 1));
    table.start_move(0, LAST_KEY, &holder("b", 1));
    table.revoke(|_| true);

    let rows = |table: &RangeTable| {
        let mut table = table.clone();
        table.compact();
        table.rows
    };
    assert_eq!(rows(&table), rows(&before));
}

/// Guards against keys that are assigned at once because the copy has no holder for them, though they
/// may have got one since.
#[test]
fn keys_without_a_holder_in_the_copy_wait_like_all_others() {
    let lost = RangeTable::new();

    for stored in [Some(&lost), None] {
        let mut planner = RangePlanner::new(planner_options(), at(0));
        planner.set_members(&[Arc::from("a")], at(0));
        planner.answered(status("a", 1, 100.0), at(0));
        let mut table = planner.plan(stored, second_era(1), at(0)).unwrap();

        let mut assigned_at = None;
        for step in 1..200 {
            let now = at(step * 100);
            planner.answered(status("a", 1, 100.0), now);
            if let Some(next) = planner.plan(Some(&table), second_era(step + 1), now) {
                table = next;
            }
            if table.row(5).unwrap().holder.is_some() {
                assigned_at.get_or_insert(now);
            }
        }

        // 5 s for which a table read before supports grants, and 2.8 s of hold on a clock 2% slow.
        assert!(assigned_at.unwrap() >= at(7_856), "{assigned_at:?}");
    }
}

/// Guards against a wait that ends while the holder's node, cut off from the store, still grants: it
/// grants from the last table that it read before the revocation.
#[test]
fn a_revoked_row_is_free_only_when_the_last_grant_of_a_node_that_is_cut_off_has_ended() {
    let table = table_of("a");
    let mut keeper = granting_keeper("a", &table);
    let mut last_end = LocalMoment::ZERO;
    for step in 2..200 {
        let now = at(1_000 + step * 50);
        let beat = heartbeat("a", 1, step, Vec::new(), Vec::new());
        keeper.accept(&beat, now);
        if let Some(grant) = keeper.reply(&beat, now, now).grant {
            // The target's clock runs 2% slow.
            last_end = now + grant.hold + grant.hold / 50;
        }
    }

    // The revocation took effect right after the node's last read, at 1 s.
    let freed_at = at(1_000) + KeeperOptions::default().revocation_lapse();

    assert!(last_end > at(6_000), "the node granted until {last_end:?}");
    assert!(freed_at >= last_end, "{freed_at:?} is before {last_end:?}");
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
    copy.free(|_| true);
    copy.begin_change(second_era(5));
    copy.assign(0, LAST_KEY, &holder("c", 1));

    assert!(copy.row(5).unwrap().token > lost.row(5).unwrap().token);

    // 8,191 returns and ten years of 3,200 writes a second.
    copy.begin_change(StoreRevision::new(8_191, 1_000_000_000_000));
    assert!(copy.next_token <= MAX_EXACT_INTEGER);
}

/// Guards against a token that is given out twice when a write of an earlier era takes effect in a later
/// one, so that the table loses what it allocated there.
#[test]
fn a_late_write_of_an_earlier_era_does_not_bring_tokens_back() {
    let late = table_of("a");
    let mut current = table_of("a");
    current.begin_change(second_era(6));
    current.free(|_| true);
    for number in 0..40_u16 {
        current.assign(number, number, &holder("b", 1));
    }
    assert!(current.is_sound());

    // The late write is at revision 7, and is found there.
    let mut recovered = late;
    assert!(recovered.begin_change(second_era(7)));
    recovered.free(|_| true);
    recovered.assign(0, LAST_KEY, &holder("c", 1));

    assert!(recovered.row(5).unwrap().token > current.row(5).unwrap().token);
}

/// Guards against a table that cannot be read any more because it was stored without an era.
#[test]
fn a_stored_table_without_an_era_belongs_to_the_first_one() {
    let mut value = serde_json::to_value(table_of("a")).unwrap();
    value.as_object_mut().unwrap().remove("era");

    let table: RangeTable = serde_json::from_value(value).unwrap();

    assert_eq!(table.written_era(), 0);
    assert!(table.is_sound());
}

/// Guards against a grant of keys that this node freed by a write without a response, which may have
/// taken effect in the lost span.
#[test]
fn a_write_that_may_have_taken_effect_in_the_lost_span_still_counts() {
    let table = table_of("a");
    let mut keeper = granting_keeper("a", &table);
    let mut freed = table.clone();
    freed.begin_change(first_era(6));
    assert!(keeper.free_lapsed(&mut freed, at(5_000)));
    keeper.begin_write(first_era(6), freed);

    let second = heartbeat("a", 1, 2, Vec::new(), Vec::new());
    keeper.accept(&second, at(5_100));
    keeper.record_table(table.clone(), first_era(6), at(5_100));
    keeper.record_table(table, second_era(4), at(5_200));

    let grant = keeper.reply(&second, at(5_100), at(5_201)).grant;
    assert_eq!(grant.unwrap().ranges, []);
}

/// Guards against a target that is told to release keys which it holds, while its claim of them waits
/// for the store.
#[test]
fn a_holder_keeps_its_keys_while_its_claim_cannot_be_written() {
    let table = table_of("a");
    let token = table.row(5).unwrap().token;
    let mut keeper = granting_keeper("a", &table);
    let mut recovered = table.clone();
    recovered.begin_change(second_era(4));

    for step in 2..=5 {
        let now = at(1_000 + step * 500);
        let holds = vec![HeldRange {
            from: 0,
            to: LAST_KEY,
            token,
        }];
        let beat = heartbeat("a", 1, step, holds, Vec::new());
        keeper.accept(&beat, now);
        keeper.record_table(recovered.clone(), second_era(5), now);
        let grant = keeper.reply(&beat, now, now).grant.unwrap();
        assert_eq!(grant.ranges.len(), 1);
    }
}

/// Guards against a read that was sent before a write of this node and whose response comes after that of
/// the write: what the node freed by the write belongs to others now.
#[test]
fn a_read_that_a_later_write_of_this_node_overtook_brings_no_rows_back() {
    let table = table_of("a");
    let mut keeper = granting_keeper("a", &table);

    // The target was silent for 3 s. The node reads the table at 4,000 ms to free its rows; the next
    // heartbeat arrives at 4,001 ms, and its read is sent before the response to the first one arrives.
    let second = heartbeat("a", 1, 2, Vec::new(), Vec::new());
    keeper.accept(&second, at(4_001));
    assert!(keeper.needs_read(&second, first_era(6), at(4_001)));
    let change = keeper
        .begin_settling(
            &table,
            first_era(6),
            at(4_000),
            at(4_003),
            |keeper, next| keeper.free_lapsed(next, at(4_000)),
        )
        .unwrap();
    keeper.begin_write(first_era(6), change.table.clone());
    keeper.record_table(change.table, first_era(7), at(4_000));

    // The response to the heartbeat's read arrives last; the store made it before the write.
    let change = keeper.begin_settling(
        &table,
        first_era(6),
        at(4_001),
        at(4_020),
        |keeper, next| keeper.settle(&second, next),
    );
    assert!(change.is_none());

    let grant = keeper.reply(&second, at(4_001), at(4_020)).grant;
    assert!(grant.is_none_or(|grant| grant.ranges.is_empty()));
}

/// Guards against a refused write whose removal makes the keeper forget another one that expects the same
/// revision and may still take effect.
#[test]
fn a_refused_write_does_not_hide_another_one_that_may_take_effect() {
    let table = table_of("a");
    let mut keeper = granting_keeper("a", &table);
    let second = heartbeat("a", 1, 2, Vec::new(), Vec::new());
    keeper.accept(&second, at(4_000));

    // The settling of the heartbeat writes first, then the task that frees the rows of a silent target.
    let mut settled = table.clone();
    settled.begin_change(first_era(6));
    let mut freed = settled.clone();
    assert!(keeper.free_lapsed(&mut freed, at(4_000)));
    keeper.record_table(table, first_era(6), at(4_000));
    let settling = keeper.begin_write(first_era(6), settled);
    keeper.begin_write(first_era(6), freed);
    // The first one is refused; no response to the second one arrives.
    keeper.discard_write(settling);

    let grant = keeper.reply(&second, at(4_000), at(4_020)).grant;
    assert!(grant.is_none_or(|grant| grant.ranges.is_empty()));
}
