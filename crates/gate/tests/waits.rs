//! Tests of the estimate of how long callers waited on earlier attempts.
//!
//! They guard against a failure at peak load: refused callers retry at once and often. Their
//! requests are late already; serving them before requests that can still be in time makes those
//! late too.

use std::{sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_gate::{
    AdmissionGate, GateAction, GateArrival, GateOptions, GateRefusal, waits::CallerWaits,
};

/// Returns a duration of `millis` milliseconds.
fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the name of the route that the tests use.
fn route() -> Arc<str> {
    Arc::from("list")
}

/// Returns the moment `millis` milliseconds after zero.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

#[test]
fn a_retry_after_a_refusal_has_waited() {
    let mut waits = CallerWaits::default();

    // The waits of first attempts stay within a sixth of the longest one.
    for index in 0..100 {
        let wait = ms(1_700 + index * 3);
        assert_eq!(waits.observe(&route(), wait, at(index)), Duration::ZERO);
    }
    waits.refused(&route(), at(200));

    let waited = waits.observe(&route(), ms(1_500), at(400));
    assert!((ms(200)..ms(500)).contains(&waited), "{waited:?}");
    // The only refused caller has retried, so this counts as a first attempt.
    assert_eq!(waits.observe(&route(), ms(1_500), at(401)), Duration::ZERO);
}

#[test]
fn without_refusals_every_request_is_a_first_attempt() {
    let mut waits = CallerWaits::default();

    for index in 0..1_000 {
        for wait in [800, 2_000, 5_000] {
            assert_eq!(waits.observe(&route(), ms(wait), at(index)), Duration::ZERO);
        }
    }
}

#[test]
fn an_expected_retry_expires() {
    let mut waits = CallerWaits::default();
    waits.observe(&route(), ms(2_000), at(0));
    waits.refused(&route(), at(0));

    assert_eq!(waits.observe(&route(), ms(900), at(2_001)), Duration::ZERO);
}

#[test]
fn an_outdated_longest_wait_expires() {
    let mut waits = CallerWaits::default();
    waits.observe(&route(), ms(9_000), at(0));

    for second in 1..70 {
        waits.observe(&route(), ms(2_000), at(second * 1_000));
    }
    waits.refused(&route(), at(70_000));
    assert_eq!(
        waits.observe(&route(), ms(2_000), at(70_001)),
        Duration::ZERO
    );
}

/// Returns an arrival whose caller has already waited for `waited`.
fn arrival(ticket: u64, waited: Duration) -> GateArrival {
    GateArrival {
        ticket,
        class: route(),
        is_call: false,
        priority: 1,
        objective_left: ms(300).saturating_sub(waited),
        objective: ms(300),
        deadline: LocalMoment::from_millis(2_000),
        repeat_id: None,
    }
}

#[test]
fn a_late_request_gets_a_free_slot_but_is_not_queued() {
    let now = LocalMoment::ZERO;
    let mut gate = AdmissionGate::new(GateOptions::default());
    gate.set_slots(1, now);

    // A free slot serves a request even if it is late already.
    let started = gate.arrive(arrival(1, ms(400)), now);
    assert_eq!(started, vec![GateAction::Start { ticket: 1 }]);

    // The slot is expected to be busy for 50 ms: a request that can be in time waits, a late one is
    // refused at once.
    assert_eq!(gate.arrive(arrival(2, Duration::ZERO), now), Vec::new());
    let refused = gate.arrive(arrival(3, ms(400)), now);
    assert!(matches!(
        refused[..],
        [GateAction::Refuse {
            ticket: 3,
            refusal: GateRefusal::WaitTooLong,
            ..
        }]
    ));
}
