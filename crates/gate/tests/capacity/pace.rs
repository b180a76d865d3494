//! The stated pace in the expected and the measured service times.

use crate::model::SLOTS;
use std::{sync::Arc, time::Duration};
use wagtail_core::{notice::StatedLoad, units::LocalMoment};
use wagtail_gate::{AdmissionGate, GateArrival, GateOptions};

/// Returns the moment `millis` milliseconds after zero.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// States a pace to a gate.
fn state_pace(gate: &mut AdmissionGate, pace: u32, now: LocalMoment) {
    let load = StatedLoad {
        running: 0,
        waiting: 0,
        slots: SLOTS,
        pace: Some(pace),
    };
    gate.set_load(load, now);
}

/// Returns a gate after one request of 100 ms.
fn gate() -> AdmissionGate {
    let mut gate = AdmissionGate::new(GateOptions::default());
    gate.set_slots(SLOTS, at(0));
    run(&mut gate, 1, 0, 100);

    gate
}

/// Runs a request.
fn run(gate: &mut AdmissionGate, ticket: u64, start_ms: u64, end_ms: u64) {
    let arrival = GateArrival {
        ticket,
        class: Arc::from("look"),
        is_call: false,
        priority: 2,
        objective_left: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        deadline: at(start_ms + 2_000),
        repeat_id: None,
    };
    gate.arrive(arrival, at(start_ms));
    gate.finished(ticket, true, at(end_ms));
}

/// Guards against requests that are accepted although the VM is too slow to complete them in time.
#[test]
fn a_pace_of_300_triples_the_expected_time_while_it_is_valid() {
    let mut gate = gate();

    state_pace(&mut gate, 300, at(1_000));

    let expected = |now| gate.expected_time("look", 2, now).as_millis();
    assert_eq!(expected(at(1_000)), 300);
    assert_eq!(expected(at(1_400)), 100);
}

/// Guards against a slow phase that is taken for a long service time.
#[test]
fn a_request_at_a_pace_of_300_counts_a_third_of_its_time() {
    let mut gate = gate();

    state_pace(&mut gate, 300, at(1_000));
    run(&mut gate, 2, 1_000, 1_300);

    let expected = gate.expected_time("look", 2, at(3_000));
    assert_eq!(expected.as_millis(), 100);
}

/// Guards against a pace that stays in force when it is no longer stated.
#[test]
fn a_pace_is_in_force_for_400_ms() {
    let mut gate = gate();

    state_pace(&mut gate, 250, at(1_000));

    assert_eq!(gate.pace(at(1_399)), 250);
    assert_eq!(gate.pace(at(1_400)), 100);
}
