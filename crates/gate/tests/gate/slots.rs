//! Tests of the slots, the queue and the refusals.

use assert_matches::assert_matches;
use std::{sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_gate::{AdmissionGate, GateAction, GateArrival, GateOptions, GateRefusal};

/// Returns the moment `millis` milliseconds after zero.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Returns an open gate with the given number of slots.
fn gate(slots: u32) -> AdmissionGate {
    let mut gate = AdmissionGate::new(GateOptions::default());
    gate.set_slots(slots, at(0));

    gate
}

/// Returns a request of new work that arrives at `now`, in milliseconds.
fn work(ticket: u64, now: u64) -> GateArrival {
    GateArrival {
        ticket,
        class: Arc::from("list"),
        is_call: false,
        priority: 2,
        objective_left: Duration::from_millis(200),
        objective: Duration::from_millis(200),
        deadline: at(now + 800),
        repeat_id: None,
    }
}

/// Returns a call from running work that arrives at `now`, in milliseconds.
fn call(ticket: u64, now: u64) -> GateArrival {
    GateArrival {
        class: Arc::from("stock"),
        is_call: true,
        priority: 1,
        objective_left: Duration::from_millis(60),
        objective: Duration::from_millis(60),
        deadline: at(now + 200),
        ..work(ticket, now)
    }
}

#[test]
fn running_requests_never_exceed_slots() {
    let mut gate = gate(2);

    assert_eq!(
        gate.arrive(work(1, 0), at(0)),
        [GateAction::Start { ticket: 1 }]
    );
    assert_eq!(
        gate.arrive(work(2, 0), at(0)),
        [GateAction::Start { ticket: 2 }]
    );
    assert_eq!(gate.arrive(work(3, 0), at(0)), []);
    assert_eq!((gate.running(), gate.waiting()), (2, 1));

    assert_eq!(
        gate.finished(1, true, at(50)),
        [GateAction::Start { ticket: 3 }]
    );
}

#[test]
fn a_call_starts_before_new_work() {
    let mut gate = gate(1);
    gate.arrive(work(1, 0), at(0));
    gate.arrive(work(2, 0), at(0));
    gate.arrive(call(3, 0), at(0));

    assert_eq!(
        gate.finished(1, true, at(40)),
        [GateAction::Start { ticket: 3 }]
    );
}

#[test]
fn more_urgent_work_starts_before_less_urgent_work() {
    let mut gate = gate(1);
    gate.arrive(work(1, 0), at(0));
    gate.arrive(work(2, 0), at(0));
    let urgent = GateArrival {
        priority: 1,
        ..work(3, 0)
    };
    gate.arrive(urgent, at(0));

    assert_eq!(
        gate.finished(1, true, at(40)),
        [GateAction::Start { ticket: 3 }]
    );
}

/// Guards against late responses under overload: more new work arrives than the slots can serve,
/// for longer than the objective.
#[test]
fn new_work_that_would_wait_too_long_is_refused_when_it_arrives() {
    let mut gate = gate(2);
    let mut refused = 0;
    for ticket in 0..40 {
        for action in gate.arrive(work(ticket, 0), at(0)) {
            if let GateAction::Refuse {
                refusal,
                retry_after,
                ..
            } = action
            {
                assert_eq!(refusal, GateRefusal::WaitTooLong);
                assert!(retry_after >= Duration::from_millis(50));
                refused += 1;
            }
        }
    }

    assert!(refused >= 30, "{refused} refused");
    // The queued requests can still complete within the objective of 200 ms.
    assert!(gate.expected_wait(false, 2, at(0)) <= 0.15);
}

#[test]
fn a_call_is_refused_only_when_its_deadline_cannot_be_met() {
    let mut gate = gate(1);
    gate.arrive(work(1, 0), at(0));

    let mut call_actions = Vec::new();
    for ticket in 2..10 {
        call_actions.extend(gate.arrive(call(ticket, 0), at(0)));
    }

    let refused = call_actions
        .iter()
        .filter(|action| {
            matches!(
                action,
                GateAction::Refuse {
                    refusal: GateRefusal::DeadlineTooNear,
                    ..
                }
            )
        })
        .count();
    assert_eq!(refused, call_actions.len());
    assert!((2..=6).contains(&gate.waiting()), "{} wait", gate.waiting());
}

#[test]
fn closing_refuses_queued_requests_and_keeps_running_ones() {
    let mut gate = gate(1);
    gate.arrive(work(1, 0), at(0));
    gate.arrive(work(2, 0), at(0));

    let actions = gate.set_closed(true);

    assert_matches!(
        actions.as_slice(),
        [GateAction::Refuse {
            ticket: 2,
            refusal: GateRefusal::Closed,
            ..
        }]
    );
    assert_eq!(gate.running(), 1);
    assert_matches!(
        gate.arrive(work(3, 1), at(1)).as_slice(),
        [GateAction::Refuse {
            refusal: GateRefusal::Closed,
            ..
        }]
    );
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let mut gate = gate(1);
    gate.arrive(work(1, 0), at(0));
    gate.arrive(work(2, 0), at(0));
    gate.cancel(2);

    assert_eq!(gate.waiting(), 0);
    assert_eq!(gate.finished(1, false, at(10)), []);
}

#[test]
fn service_time_and_capacity_follow_a_slow_target() {
    let mut gate = gate(1);
    for ticket in 0..60 {
        let now = ticket * 300;
        gate.arrive(work(ticket, now), at(now));
        gate.finished(ticket, true, at(now + 250));
    }

    assert!(gate.service_seconds() > 0.2);
    assert!(gate.capacity(at(0)) < 5.0);
}
