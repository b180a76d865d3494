//! Tests of the time that callers have waited before they came back.
//!
//! Pattern answered: a crest in which the refused come back at once and often. They are late
//! already; served before those that can be in time, they make these late too.

use std::{sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_gate::{
    AdmissionGate, GateAction, GateArrival, GateOptions, GateRefusal, waits::CallerWaits,
};

/// Returns a time in milliseconds.
fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the name of the route of the tests.
fn route() -> Arc<str> {
    Arc::from("list")
}

/// Returns a moment in milliseconds.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

#[test]
fn a_refused_caller_that_comes_back_has_waited() {
    let mut waits = CallerWaits::default();

    // The patience of new callers differs by a sixth.
    for index in 0..100 {
        let wait = ms(1_700 + index * 3);
        assert_eq!(waits.observe(&route(), wait, at(index)), Duration::ZERO);
    }
    waits.refused(&route(), at(200));

    let waited = waits.observe(&route(), ms(1_500), at(400));
    assert!((ms(200)..ms(500)).contains(&waited), "{waited:?}");
    // Nobody else can have come back.
    assert_eq!(waits.observe(&route(), ms(1_500), at(401)), Duration::ZERO);
}

#[test]
fn while_nobody_is_refused_every_caller_counts_as_new() {
    let mut waits = CallerWaits::default();

    for index in 0..1_000 {
        for wait in [800, 2_000, 5_000] {
            assert_eq!(waits.observe(&route(), ms(wait), at(index)), Duration::ZERO);
        }
    }
}

#[test]
fn a_refused_caller_that_stays_away_is_forgotten() {
    let mut waits = CallerWaits::default();
    waits.observe(&route(), ms(2_000), at(0));
    waits.refused(&route(), at(0));

    assert_eq!(waits.observe(&route(), ms(900), at(2_001)), Duration::ZERO);
}

#[test]
fn a_patience_that_nobody_has_any_more_is_forgotten() {
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

/// Makes an arrival that has waited for some time.
fn arrival(ticket: u64, waited: Duration) -> GateArrival {
    GateArrival {
        ticket,
        class: route(),
        is_call: false,
        priority: 1,
        objective_left: ms(300).saturating_sub(waited),
        objective: ms(300),
        deadline: LocalMoment::from_millis(2_000),
    }
}

#[test]
fn a_late_caller_gets_a_free_slot_but_no_place_in_a_queue() {
    let now = LocalMoment::ZERO;
    let mut gate = AdmissionGate::new(GateOptions::default());
    gate.set_slots(1, now);

    // A free slot serves a caller that is late already.
    let started = gate.arrive(arrival(1, ms(400)), now);
    assert_eq!(started, vec![GateAction::Start { ticket: 1 }]);

    // The slot is busy for 50 ms: one that can be in time waits, a late one is refused at once.
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
