//! Tables after a return of the store: which tokens follow.

use crate::support::{first_era, holder};
use wagtail_core::objects::StoreRevision;
use wagtail_shard::table::{LAST_KEY, RangeTable};

/// The largest integer that every JSON parser keeps exact.
const MAX_EXACT_INTEGER: u64 = (1 << 53) - 1;

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
