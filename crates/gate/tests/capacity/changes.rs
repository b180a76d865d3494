//! Targets that change, and failures: an idle hour, a restart, statements that stop.

use crate::{
    limiters::Limiter,
    model::{SLOTS, Scenario, Slowdown, TWO_CLASSES, run},
};
use std::{sync::Arc, time::Duration};
use wagtail_core::{notice::StatedLoad, units::LocalMoment};
use wagtail_gate::{AdmissionGate, GateAction, GateArrival, GateOptions};

/// The seeds of each test.
const SEEDS: u64 = 10;

/// The second in which a target changes.
const CHANGE: u64 = 20;

/// The time within which a change is followed, in seconds.
const MAX_FOLLOWING: usize = 2;

/// The seconds after that time over which the work is compared.
const WINDOW: usize = 10;

/// The least share of the work at the best level after a change.
const MIN_FOLLOWED_SHARE: f64 = 0.8;

/// Returns a scenario whose target changes, with more load than it can serve before and after.
fn change(before: Slowdown, after: Slowdown) -> Scenario {
    Scenario {
        seconds: 35,
        phases: vec![(0, before), (CHANGE, after)],
        ..Scenario::steady(before, 6.9)
    }
}

/// Checks that over all seeds, the work in time after a change is close to that at the best level.
fn check_followed(scenario: &Scenario, best: u32) {
    let from = usize::try_from(CHANGE).unwrap() + MAX_FOLLOWING;
    let work = |limiter| -> f64 {
        (0..SEEDS)
            .map(|seed| run(scenario, limiter, seed).within(from..from + WINDOW))
            .sum()
    };
    let (at_best, learned) = (work(Limiter::Fixed(best)), work(Limiter::Estimator));
    println!("followed: {:.3}", learned / at_best);

    assert!(
        learned >= MIN_FOLLOWED_SHARE * at_best,
        "{learned:.1} of {at_best:.1}"
    );
}

/// Guards against a limit that stays at the slots when a target starts to slow down.
#[test]
fn at_overload_a_target_that_starts_to_slow_down_is_followed_within_2_s() {
    check_followed(&change(Slowdown::NEVER, Slowdown::from(2)), 2);
    check_followed(&change(Slowdown::NEVER, Slowdown::from(3)), 3);
}

/// Guards against a limit that stays low when a target recovers.
#[test]
fn at_overload_a_target_that_recovers_is_followed_within_2_s() {
    check_followed(&change(Slowdown::from(2), Slowdown::NEVER), SLOTS);
    check_followed(&change(Slowdown::from(3), Slowdown::NEVER), SLOTS);
}

/// Guards against a change that is missed because half of the work is in requests of 900 ms.
#[test]
fn at_overload_with_two_classes_a_target_that_starts_to_slow_down_is_followed_within_2_s() {
    let scenario = Scenario {
        classes: TWO_CLASSES,
        ..change(Slowdown::NEVER, Slowdown::from(2))
    };
    check_followed(&scenario, 2);
}

/// Guards against a limit that stays low when a target with two classes recovers.
#[test]
fn at_overload_with_two_classes_a_target_that_recovers_is_followed_within_2_s() {
    let scenario = Scenario {
        classes: TWO_CLASSES,
        ..change(Slowdown::from(2), Slowdown::NEVER)
    };
    check_followed(&scenario, SLOTS);
}

/// Guards against a limit that loses work when statements of the pace stop while it still changes.
#[test]
fn when_statements_of_the_pace_stop_a_target_that_does_not_slow_down_keeps_its_work() {
    let scenario = Scenario {
        is_noisy: true,
        states_until: CHANGE,
        ..Scenario::steady(Slowdown::NEVER, 6.9)
    };
    let work = |limiter| -> f64 {
        (0..SEEDS)
            .map(|seed| run(&scenario, limiter, seed).total())
            .sum()
    };
    let (all_slots, learned) = (work(Limiter::Fixed(SLOTS)), work(Limiter::Estimator));
    println!("statements stop: {:.3}", learned / all_slots);

    assert!(
        learned >= crate::MIN_KEPT_SHARE * all_slots,
        "{learned:.1} of {all_slots:.1}"
    );
}

/// Returns an empty gate whose limit has been lowered by a target that slows down, and the time since
/// its start in milliseconds.
fn gate_with_low_limit() -> (AdmissionGate, u64) {
    let mut gate = AdmissionGate::new(GateOptions::default());
    gate.set_slots(SLOTS, LocalMoment::ZERO);
    let mut running: Vec<(u64, u64)> = Vec::new();

    for now_ms in 0..60_000 {
        let now = LocalMoment::from_millis(now_ms);
        let mut actions = Vec::new();
        if now_ms % 20 == 0 {
            actions.extend(gate.arrive(arrival(now_ms, now), now));
        }
        let level = u32::try_from(running.len()).unwrap();
        let ended: Vec<u64> = running
            .extract_if(.., |(_, end_ms)| *end_ms <= now_ms)
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in ended {
            gate.set_load(stated_load(level), now);
            actions.extend(gate.finished(ticket, true, now));
        }
        for action in actions {
            if let GateAction::Start { ticket } = action {
                let level = u64::from(gate.running());
                running.push((ticket, now_ms + 60 + 60 * level.saturating_sub(2)));
            }
        }
        if gate.slots() == 2 {
            gate.set_closed(true);
            for (ticket, _) in running {
                gate.finished(ticket, false, now);
            }
            gate.set_closed(false);
            return (gate, now_ms);
        }
    }

    panic!("the limit is {}", gate.slots());
}

/// Returns the load that the target states.
fn stated_load(running: u32) -> StatedLoad {
    StatedLoad {
        running,
        waiting: 0,
        slots: SLOTS,
        pace: Some(100),
    }
}

/// Returns a request that arrives now.
fn arrival(ticket: u64, now: LocalMoment) -> GateArrival {
    GateArrival {
        ticket,
        class: Arc::from("look"),
        is_call: false,
        priority: 2,
        objective_left: Duration::from_millis(400),
        objective: Duration::from_millis(400),
        deadline: now + Duration::from_millis(800),
        repeat_id: None,
    }
}

/// Guards against a limit of an hour ago that is still in force when load returns.
#[test]
fn after_an_idle_hour_the_limit_is_the_slots() {
    let (mut gate, now_ms) = gate_with_low_limit();
    let now = LocalMoment::from_millis(now_ms + 3_600_000);

    gate.arrive(arrival(u64::MAX, now), now);

    assert_eq!(gate.slots(), SLOTS);
}

/// Guards against a limit of a previous incarnation that applies to the next one.
#[test]
fn after_a_restart_of_the_target_the_limit_is_the_slots() {
    let (mut gate, now_ms) = gate_with_low_limit();
    let now = LocalMoment::from_millis(now_ms);

    gate.forget_load(now);
    gate.set_load(stated_load(0), now);

    assert_eq!(gate.slots(), SLOTS);
}

/// Guards against a call that waits behind the learned limit: the work that sent it holds a slot
/// elsewhere until the call ends.
#[test]
fn a_call_uses_one_slot_above_the_limit() {
    let (mut gate, now_ms) = gate_with_low_limit();
    let now = LocalMoment::from_millis(now_ms);
    for ticket in [now_ms + 1, now_ms + 2] {
        gate.arrive(arrival(ticket, now), now);
    }
    let third = gate.arrive(arrival(now_ms + 3, now), now);
    let call = GateArrival {
        is_call: true,
        ..arrival(u64::MAX, now)
    };

    let actions = gate.arrive(call, now);

    assert!(!third.contains(&GateAction::Start { ticket: now_ms + 3 }));
    assert_eq!(actions, [GateAction::Start { ticket: u64::MAX }]);
}
