//! Tests of the limit of cold targets.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use wagtail_core::{notice::RequestRate, units::LocalMoment};
use wagtail_gate::{
    AdmissionGate, GateAction, GateArrival, GateOptions, GateRefusal,
    warmup::{TargetWarmth, WarmupOptions},
};

/// The rates that cold targets tolerate, with the factor and the slack of the platform, and the most
/// requests that they may get in any second.
const COLD_RATES: [(f64, f64); 2] = [(4.5, 14.75), (16.0, 32.0)];

/// The interval between heartbeats in milliseconds.
const HEARTBEAT_MS: u64 = 870;

/// The seeds of the property test, for each rate.
const SEED_COUNT: u64 = 150;

/// The time that each seed covers, in milliseconds.
const RUN_MS: u64 = 40_000;

/// Returns the moment `millis` milliseconds after zero.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Returns a gate with free slots for a service whose cold targets tolerate a rate.
fn gate(cold_rate: f64, slots: u32) -> AdmissionGate {
    let mut gate = AdmissionGate::new(GateOptions {
        warmup: WarmupOptions {
            factor: 1.5,
            slack: 8.0,
            ..WarmupOptions::with_interval(Duration::from_millis(HEARTBEAT_MS))
        },
        ..GateOptions::default()
    });
    gate.set_slots(slots, at(0));
    gate.set_cold_rate(RequestRate::new(cold_rate), at(0));

    gate
}

/// Returns a request that arrives at a moment.
fn arrival(ticket: u64, is_call: bool, is_keyed: bool, now: u64) -> GateArrival {
    GateArrival {
        ticket,
        class: Arc::from("list"),
        is_call,
        priority: 1,
        objective_left: Duration::from_millis(400),
        objective: Duration::from_millis(400),
        deadline: at(now + 1_500),
        repeat_id: is_keyed.then_some(ticket % 7),
    }
}

/// Returns how many of the actions start a request.
fn starts(actions: &[GateAction]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, GateAction::Start { .. }))
        .count()
}

/// Sends a request each 5 ms for a time in milliseconds, and returns how many start.
fn saturate(gate: &mut AdmissionGate, from: u64, until: u64) -> usize {
    (from..until)
        .step_by(5)
        .map(|now| {
            let actions = gate.arrive(arrival(now, false, false, now), at(now));
            gate.finished(now, true, at(now));
            starts(&actions)
        })
        .sum()
}

#[test]
fn a_cold_target_gets_its_rate_and_a_warm_one_all() {
    let mut gate = gate(4.5, 50);
    gate.heard(Duration::from_secs(10), at(0));
    assert_eq!(gate.limits().warmth(at(0)), TargetWarmth::WarmingUp);

    // A full bucket of 6.6 of which 0.3 are kept for calls, and 6.6 a second.
    let cold: usize = (0..5)
        .map(|second| {
            let until = (second + 1) * 1_000;
            let started = saturate(&mut gate, second * 1_000, until);
            gate.heard(Duration::from_millis(10_000 - until), at(until));
            started
        })
        .sum();
    assert!((36..=40).contains(&cold), "{cold}");
    assert!((gate.capacity(at(5_000)) - 6.637_5).abs() < 0.01);
    assert!(gate.limit_wait(at(5_000)) > Duration::ZERO);
    assert_eq!(gate.limit(), None);

    gate.heard(Duration::ZERO, at(5_000));
    assert_eq!(gate.limits().warmth(at(5_000)), TargetWarmth::Warm);
    assert_eq!(saturate(&mut gate, 5_000, 6_000), 200);
}

#[test]
fn a_service_without_a_cold_rate_has_no_limit() {
    let mut gate = gate(4.5, 50);
    gate.set_cold_rate(None, at(0));
    gate.heard(Duration::from_secs(10), at(0));

    assert_eq!(saturate(&mut gate, 0, 1_000), 200);
}

#[test]
fn a_target_without_heartbeats_counts_as_cold() {
    let mut gate = gate(4.5, 50);
    assert_eq!(gate.limits().warmth(at(0)), TargetWarmth::Silent);
    gate.heard(Duration::ZERO, at(0));

    assert_eq!(gate.limits().warmth(at(1_305)), TargetWarmth::Warm);
    assert_eq!(gate.limits().warmth(at(1_306)), TargetWarmth::Silent);
    saturate(&mut gate, 0, 1_305);
    assert!(saturate(&mut gate, 1_310, 5_310) <= 27);
}

#[test]
fn the_lower_limit_is_in_force() {
    let mut gate = gate(4.5, 50);
    gate.heard(Duration::from_mins(1), at(0));
    gate.set_limit(RequestRate::new(1.0), at(0));
    assert!(gate.capacity(at(0)) <= 1.0);
    gate.set_limit(RequestRate::new(40.0), at(0));
    assert!((gate.capacity(at(0)) - 6.637_5).abs() < 0.01);
    // Other nodes are told the limit that the target names only.
    assert_eq!(gate.limit(), RequestRate::new(40.0));
}

/// Guards against a start that does not get the bucket that the former process had used up.
#[test]
fn a_new_process_starts_with_a_full_bucket_if_the_end_of_the_former_one_was_seen() {
    for (has_ended, expected) in [(true, 5..=6), (false, 0..=1)] {
        let mut gate = gate(4.5, 50);
        gate.heard(Duration::ZERO, at(0));
        saturate(&mut gate, 0, 1_000);
        if has_ended {
            gate.target_ended(at(1_000));
        }

        gate.heard(Duration::from_secs(30), at(1_100));
        let started = saturate(&mut gate, 1_100, 1_200);

        assert!(expected.contains(&started), "{has_ended}: {started}");
    }
}

/// Guards against a burst of queued requests at a target that has become cold.
#[test]
fn queued_requests_are_refused_when_the_target_becomes_cold() {
    let mut gate = gate(4.5, 2);
    gate.heard(Duration::ZERO, at(0));
    let mut started = 0;
    for ticket in 0..40 {
        started += starts(&gate.arrive(arrival(ticket, true, false, 0), at(0)));
    }
    assert_eq!((started, gate.waiting()), (2, 38));

    let actions = gate.heard(Duration::from_secs(5), at(10));

    assert!(gate.waiting() <= 4, "{}", gate.waiting());
    assert!(actions.iter().all(|action| matches!(
        action,
        GateAction::Refuse {
            refusal: GateRefusal::LimitReached,
            ..
        }
    )));
}

/// Plays random arrivals, service times, heartbeats, silences, starts and cold spells. Checks at each
/// start of a request at a target that is known to be cold that the second which ends then holds no more
/// than `bound` starts. Returns the starts at the cold target and the time for which it was cold.
fn play(seed: u64, cold_rate: f64, bound: f64) -> (usize, u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let slots = random.random_range(1..12);
    let mut gate = gate(cold_rate, slots);
    let (mut warm_at, mut next_heartbeat, mut next_event) = (8_000_u64, 0_u64, 0_u64);
    let mut pressure = 0.1;
    let mut ends: BTreeSet<(u64, u64)> = BTreeSet::new();
    let mut sent: Vec<u64> = Vec::new();
    let mut ticket = 0;
    let (mut cold_starts, mut cold_ms) = (0, 0);

    for now in 0..RUN_MS {
        let mut actions = Vec::new();
        if now >= next_event {
            next_event = now + random.random_range(200..4_000);
            pressure = [0.005, 0.02, 0.1, 0.9][random.random_range(0..4)];
            match random.random_range(0..5) {
                0 => warm_at = now + random.random_range(100..9_000),
                1 => next_heartbeat = now + random.random_range(0..5_000),
                2 => {
                    // A new process, whose predecessor's end was seen.
                    gate.target_ended(at(now));
                    sent.clear();
                    warm_at = now + 6_000;
                    next_heartbeat = now;
                }
                3 => {
                    let limit = random
                        .random_bool(0.5)
                        .then(|| random.random_range(1.0..40.0));
                    actions.extend(gate.set_limit(limit.and_then(RequestRate::new), at(now)));
                }
                _ => {}
            }
        }
        if now >= next_heartbeat {
            next_heartbeat = now + HEARTBEAT_MS;
            let left = Duration::from_millis(warm_at.saturating_sub(now));
            actions.extend(gate.heard(left, at(now)));
        }
        while let Some((end, ended)) = ends.pop_first() {
            if end > now {
                ends.insert((end, ended));
                break;
            }
            actions.extend(gate.finished(ended, true, at(now)));
        }
        while random.random_bool(pressure) {
            ticket += 1;
            let (is_call, is_keyed) = (random.random_bool(0.3), random.random_bool(0.4));
            actions.extend(gate.arrive(arrival(ticket, is_call, is_keyed, now), at(now)));
        }

        let is_cold = gate.limits().cold_limit(at(now)).is_some();
        cold_ms += u64::from(is_cold);
        for action in actions {
            let GateAction::Start { ticket } = action else {
                continue;
            };
            ends.insert((now + random.random_range(1..300), ticket));
            sent.push(now);
            if is_cold {
                cold_starts += 1;
                let recent = sent.iter().filter(|other| **other + 1_000 > now).count();
                #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
                let recent = recent as f64;
                assert!(
                    recent <= bound,
                    "seed {seed}, {now} ms: {recent} in a second"
                );
            }
        }
    }

    (cold_starts, cold_ms)
}

/// Guards against seconds in which a cold target gets more than it tolerates: by calls, by what was
/// queued while it was warm, by what started just before, and after silences and starts.
#[test]
fn no_second_of_a_cold_target_exceeds_its_bound() {
    for (cold_rate, bound) in COLD_RATES {
        let (mut starts, mut cold_ms) = (0, 0);
        for seed in 0..SEED_COUNT {
            let (cold_starts, cold) = play(seed, cold_rate, bound);
            starts += cold_starts;
            cold_ms += cold;
        }

        // The test would hold for a target that gets nothing.
        assert!(
            starts > 5_000 && cold_ms > 1_000_000,
            "{starts} in {cold_ms} ms"
        );
    }
}
