//! Slots, queue and refusals.

use assert_matches::assert_matches;
use std::{sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_gate::{AdmissionGate, GateAction, GateArrival, GateOptions, GateRefusal};

/// Returns a moment in milliseconds.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Makes a gate with slots.
fn gate(slots: u32) -> AdmissionGate {
    let mut gate = AdmissionGate::new(GateOptions::default());
    gate.set_slots(slots, at(0));

    gate
}

/// Makes a request of new work that arrives at a moment.
fn work(ticket: u64, now: u64) -> GateArrival {
    GateArrival {
        ticket,
        class: Arc::from("list"),
        is_call: false,
        priority: 2,
        objective_left: Duration::from_millis(200),
        objective: Duration::from_millis(200),
        deadline: at(now + 800),
    }
}

/// Makes a call of running work.
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
fn never_more_run_than_there_are_slots() {
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
fn a_call_of_running_work_goes_before_new_work() {
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
fn more_urgent_work_goes_before_less_urgent_work() {
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

/// The pattern: more new work than slots, for longer than the objective.
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
    // What waits is still answered within the objective.
    assert!(gate.expected_wait(false, 2, at(0)) <= 0.15);
}

#[test]
fn a_call_is_refused_only_when_its_deadline_cannot_be_met() {
    let mut gate = gate(1);
    gate.arrive(work(1, 0), at(0));

    let mut answers = Vec::new();
    for ticket in 2..10 {
        answers.extend(gate.arrive(call(ticket, 0), at(0)));
    }

    let refused = answers
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
    assert_eq!(refused, answers.len());
    assert!((2..=6).contains(&gate.waiting()), "{} wait", gate.waiting());
}

#[test]
fn a_gate_that_closes_refuses_what_waits_and_keeps_what_runs() {
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
fn a_request_whose_caller_left_gives_its_place_back() {
    let mut gate = gate(1);
    gate.arrive(work(1, 0), at(0));
    gate.arrive(work(2, 0), at(0));
    gate.cancel(2);

    assert_eq!(gate.waiting(), 0);
    assert_eq!(gate.finished(1, false, at(10)), []);
}

#[test]
fn a_target_that_turns_slow_is_expected_to_be_slow() {
    let mut gate = gate(1);
    for ticket in 0..60 {
        let now = ticket * 300;
        gate.arrive(work(ticket, now), at(now));
        gate.finished(ticket, true, at(now + 250));
    }

    assert!(gate.service_seconds() > 0.2);
    assert!(gate.capacity() < 5.0);
}
