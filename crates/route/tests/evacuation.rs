//! Tests of the list of evacuated zones.

use std::sync::Arc;
use wagtail_core::{
    objects::{ObjectChange, StoreRevision, StoredObject},
    units::LocalMoment,
};
use wagtail_route::evacuation::{EvacuationChange, EvacuationList};

/// Returns the moment `millis` milliseconds after zero.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Returns a revision of the first era.
fn first_era(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

/// Returns the object of a zone that was written at a revision.
fn object(zone: &str, revision: StoreRevision) -> StoredObject {
    StoredObject {
        name: Arc::from(zone),
        revision,
        content: Arc::from("{}"),
    }
}

/// Returns a change of the object of a zone.
fn change(zone: &str, number: u64, deleted: bool) -> ObjectChange {
    ObjectChange {
        object: object(zone, first_era(number)),
        deleted,
    }
}

/// Returns a list that was read empty at revision 10.
fn known() -> EvacuationList {
    let mut list = EvacuationList::default();
    list.apply_list(Vec::new(), first_era(10), at(0));

    list
}

#[test]
fn a_zone_is_evacuated_until_its_object_is_deleted() {
    let mut list = known();

    let begun = list.apply_changes(vec![change("a", 12, false)], first_era(13), at(500));
    assert_eq!(
        begun,
        [EvacuationChange::Evacuated {
            zone: Arc::from("a")
        }]
    );
    assert_eq!(list.since("a"), Some(at(500)));
    assert_eq!(list.since("b"), None);
    assert_eq!(list.changed(), first_era(12));

    let ended = list.apply_changes(vec![change("a", 12, true)], first_era(20), at(900));
    assert_eq!(
        ended,
        [EvacuationChange::Restored {
            zone: Arc::from("a")
        }]
    );
    assert_eq!(list.since("a"), None);
    // Other nodes notice the deletion although no object has a later revision.
    assert_eq!(list.changed(), first_era(20));
}

/// Guards against a node that was restarted during an evacuation and then serves requests with a key as
/// long as if the evacuation had just begun.
#[test]
fn zones_of_the_first_list_count_as_known_for_long() {
    let mut list = EvacuationList::default();
    assert!(!list.is_known());

    list.apply_list(vec![object("a", first_era(8))], first_era(10), at(60_000));

    assert!(list.is_known());
    assert_eq!(list.since("a"), Some(LocalMoment::ZERO));
    list.apply_list(
        vec![object("a", first_era(8)), object("b", first_era(11))],
        first_era(12),
        at(61_000),
    );
    assert_eq!(list.since("b"), Some(at(61_000)));
    assert_eq!(list.since("a"), Some(LocalMoment::ZERO));
}

/// Guards against a late watch that repeats changes which a list of another node already covers.
#[test]
fn changes_from_before_a_list_do_not_undo_it() {
    let mut list = known();
    list.apply_list(vec![object("a", first_era(18))], first_era(20), at(100));

    let late = vec![
        change("a", 12, false),
        change("a", 12, true),
        change("a", 18, false),
        change("b", 14, false),
        change("b", 14, true),
    ];
    assert_eq!(list.apply_changes(late, first_era(22), at(200)), []);
    assert_eq!(list.since("a"), Some(at(100)));
    assert_eq!(list.since("b"), None);

    let older = list.apply_list(Vec::new(), first_era(15), at(300));
    assert_eq!(older, []);
    assert_eq!(list.since("a"), Some(at(100)));
}

/// Guards against a node that keeps what the store has lost, while others follow the store.
#[test]
fn a_list_of_a_later_era_replaces_all_that_was_known() {
    let mut list = known();
    list.apply_changes(vec![change("a", 40, false)], first_era(41), at(100));

    let returned = StoreRevision::new(1, 30);
    let object = object("b", StoreRevision::new(1, 25));
    list.apply_list(vec![object], returned, at(200));

    assert_eq!(list.since("a"), None);
    assert_eq!(list.since("b"), Some(at(200)));
    assert_eq!((list.reached(), list.changed()), (returned, returned));
}
