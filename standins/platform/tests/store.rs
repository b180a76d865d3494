//! Tests of the versioned store, the faults and the call limits.

use assert_matches::assert_matches;
use platform_standin::{
    faults::PlatformFaultChange,
    rate::RateWindow,
    state::{CallRefusal, PlatformState},
    stats::CallKind,
    store::ObjectStore,
};
use wagtail_core::CoreError;

/// Returns the keys of a batch.
fn keys(batch: &wagtail_core::ports::WatchBatch) -> Vec<&str> {
    batch.changed.iter().map(|value| &*value.key).collect()
}

#[test]
fn an_update_needs_the_version_in_force() {
    let mut store = ObjectStore::new();
    let first = store.update("a", "1", 0).unwrap();

    assert_matches!(
        store.update("a", "2", 0),
        Err(CoreError::VersionConflict { expected: 0, found }) if found == first
    );

    let second = store.update("a", "2", first).unwrap();
    assert!(second > first);
    assert_eq!(&*store.get("a").unwrap().value, "2");
}

#[test]
fn an_emptied_value_is_absent_but_a_watch_shows_it() {
    let mut store = ObjectStore::new();
    let first = store.update("lease/a/1", "x", 0).unwrap();
    store.update("lease/a/1", "", first).unwrap();

    assert_eq!(store.get("lease/a/1"), None);
    assert!(store.list("lease/").changed.is_empty());
    assert_eq!(keys(&store.changes("lease/", first)), ["lease/a/1"]);
    assert_matches!(store.update("lease/a/1", "y", 0), Ok(_));
}

#[test]
fn a_watch_shows_changes_under_its_prefix_oldest_first() {
    let mut store = ObjectStore::new();
    store.update("lease/b/1", "x", 0).unwrap();
    let seen = store.update("fleet/config", "x", 0).unwrap();
    store.update("lease/b/2", "x", 0).unwrap();
    store.update("lease/a/1", "x", 0).unwrap();

    let batch = store.changes("lease/", seen);

    assert_eq!(keys(&batch), ["lease/b/2", "lease/a/1"]);
    assert_eq!(batch.revision, 4);
}

#[test]
fn a_second_admits_its_limit_and_no_more() {
    let mut window = RateWindow::new();

    let first = (0..10).filter(|_| window.admit(5_000_000, 4)).count();
    let second = (0..10).filter(|_| window.admit(6_000_001, 4)).count();

    assert_eq!((first, second), (4, 4));
}

#[test]
fn an_outage_refuses_each_call_and_counts_it() {
    let mut state = PlatformState::new(7);
    let change = PlatformFaultChange {
        outage: Some(true),
        ..PlatformFaultChange::default()
    };
    state.change_faults(&change);

    assert_eq!(state.admit(CallKind::Get, 0), Err(CallRefusal::Outage));
    assert_eq!(state.stats().refused_outage, 1);
    assert_eq!(state.stats().gets, 1);
}

#[test]
fn reads_and_writes_have_limits_of_their_own() {
    let mut state = PlatformState::new(7);
    let change = PlatformFaultChange {
        writes_per_second: Some(1),
        reads_per_second: Some(2),
        ..PlatformFaultChange::default()
    };
    state.change_faults(&change);

    assert_eq!(state.admit(CallKind::Update, 0), Ok(()));
    assert_eq!(state.admit(CallKind::Update, 0), Err(CallRefusal::Rate));
    assert_eq!(state.admit(CallKind::Watch, 0), Ok(()));
    assert_eq!(state.admit(CallKind::Get, 0), Ok(()));
    assert_eq!(state.admit(CallKind::List, 0), Err(CallRefusal::Rate));
}

#[test]
fn a_write_and_a_fault_change_wake_the_watches() {
    let mut state = PlatformState::new(7);
    let mut by_write = state.wait_for_change();
    state.update("a", "1", 0).unwrap();
    let mut by_fault = state.wait_for_change();
    state.change_faults(&PlatformFaultChange::default());

    assert_eq!(by_write.try_recv(), Ok(Some(())));
    assert_eq!(by_fault.try_recv(), Ok(Some(())));
}
