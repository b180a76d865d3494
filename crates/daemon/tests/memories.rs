//! Tests of the memory of requests that one owner of a slice hands over to the next.

use std::time::Duration;
use wagtail_admit::MemoryTransfer;
use wagtail_core::{
    ids::{LeaseEpoch, NodeName, ServiceName},
    slice::SliceId,
    units::LocalMoment,
};
use wagtail_daemon::ownership::{MemoryNotice, memories::HandoverTracker};

/// The moment at which the tests start.
const START: LocalMoment = LocalMoment::from_millis(100_000);

/// Returns the slice of the tests.
fn slice() -> SliceId {
    SliceId::new(ServiceName::new("agenda").unwrap(), 1)
}

/// Creates a notice with a complete memory under an epoch.
fn notice(epoch: u64) -> MemoryNotice {
    MemoryNotice {
        slice: slice(),
        epoch: LeaseEpoch(epoch),
        memory: MemoryTransfer::Whole(Vec::new()),
    }
}

#[test]
fn a_received_memory_is_used_once_by_the_next_epoch() {
    let mut tracker = HandoverTracker::default();
    tracker.receive(START, notice(5));

    let whole = MemoryTransfer::Whole(Vec::new());
    assert_eq!(tracker.take(START, &slice(), LeaseEpoch(10)), whole);
    assert_eq!(
        tracker.take(START, &slice(), LeaseEpoch(15)),
        MemoryTransfer::Lost
    );
}

#[test]
fn a_memory_of_the_same_or_a_later_epoch_is_not_used() {
    let mut tracker = HandoverTracker::default();
    tracker.receive(START, notice(10));

    assert_eq!(
        tracker.take(START, &slice(), LeaseEpoch(10)),
        MemoryTransfer::Lost
    );
}

#[test]
fn an_old_memory_is_not_used_and_a_move_is_not_repeated_before_it_is_old() {
    let mut tracker = HandoverTracker::default();
    let to = NodeName::new("vm-2").unwrap();
    assert!(tracker.begin_move(START, &slice(), &to));
    assert_eq!(tracker.record_transfer(START, &slice()), Some(to.clone()));
    tracker.receive(START, notice(5));

    // An abandoned move can leave a memory at its destination that lacks the requests which came
    // later. That memory must be unusable before the next move begins.
    let usable = (0..20_000)
        .map(|millis| START + Duration::from_millis(millis))
        .take_while(|&now| !tracker.begin_move(now, &slice(), &to))
        .last()
        .unwrap();
    assert_eq!(
        tracker.take(usable, &slice(), LeaseEpoch(10)),
        MemoryTransfer::Lost
    );
}

#[test]
fn a_move_that_was_refused_before_its_memory_left_begins_again_at_once() {
    let mut tracker = HandoverTracker::default();
    let to = NodeName::new("vm-2").unwrap();

    assert!(tracker.begin_move(START, &slice(), &to));
    assert!(tracker.begin_move(START, &slice(), &to));
}

#[test]
fn a_slice_without_an_earlier_owner_has_nothing_to_remember() {
    let mut tracker = HandoverTracker::default();
    tracker.record_first_claim(&slice());

    assert_eq!(
        tracker.take(START, &slice(), LeaseEpoch(5)),
        MemoryTransfer::Whole(Vec::new())
    );
}
