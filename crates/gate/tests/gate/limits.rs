//! Tests of the limit that a target names on the rate of its requests.

use assert_matches::assert_matches;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use wagtail_core::{notice::RequestRate, units::LocalMoment};
use wagtail_gate::{
    AdmissionGate, GateAction, GateArrival, GateOptions, GateRefusal,
    limit::{LimitOptions, LimitedArrival, RateLimiter},
};

/// The time over which the requests at a target are counted, and in which they may exceed the limit
/// by half and by [`EXTRA_REQUESTS`], as the platform states.
const WINDOW: Duration = Duration::from_secs(4);

/// The requests that a target may get in a [`WINDOW`] on top of one and a half times its limit.
const EXTRA_REQUESTS: f64 = 5.0;

/// The times after a limit was named from which it has to hold, in seconds.
const GRACES: [u64; 3] = [2, 3, 4];

/// Returns the moment `millis` milliseconds after zero.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Returns a limit in requests per second.
fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).unwrap()
}

/// Returns new work that may return to any target.
fn work() -> LimitedArrival {
    LimitedArrival {
        is_call: false,
        repeat_id: None,
        max_pause: Duration::from_millis(100),
    }
}

/// Returns new work that can only return to the same target.
fn keyed_work(repeat_id: u64) -> LimitedArrival {
    LimitedArrival {
        repeat_id: Some(repeat_id),
        ..work()
    }
}

/// Returns a call from work that is already running.
fn call() -> LimitedArrival {
    LimitedArrival {
        is_call: true,
        ..work()
    }
}

/// Returns whether a request starts.
fn starts(limiter: &mut RateLimiter, arrival: LimitedArrival, now: LocalMoment) -> bool {
    limiter.admit(arrival, 0, now).is_ok() && limiter.take(now)
}

/// Returns the number of requests that start from `from` to `until` if one arrives each
/// `interval_ms`, all in milliseconds.
fn count_starts(limiter: &mut RateLimiter, from: u64, until: u64, interval_ms: usize) -> usize {
    (from..until)
        .step_by(interval_ms)
        .filter(|now| starts(limiter, work(), at(*now)))
        .count()
}

/// Returns a limiter whose target gets `per_second` requests for three seconds, and then names a
/// limit at 3 s.
fn limited(per_second: u64, limit: f64) -> RateLimiter {
    let mut limiter = RateLimiter::new(LimitOptions::default());
    let interval = usize::try_from(1_000 / per_second).unwrap();
    count_starts(&mut limiter, 0, 3_000, interval);
    limiter.set_limit(Some(rate(limit)), at(3_000));

    limiter
}

#[test]
fn without_a_limit_every_request_is_admitted() {
    let mut limiter = RateLimiter::new(LimitOptions::default());

    assert_eq!(count_starts(&mut limiter, 0, 1_000, 1), 1_000);
    assert_eq!(limiter.expected_wait(false, at(1_000)), Duration::ZERO);
}

#[test]
fn a_limit_with_decimals_is_used_to_the_full_and_not_exceeded() {
    let mut limiter = limited(10, 7.3);

    let started = count_starts(&mut limiter, 3_000, 13_000, 5);

    assert!((66..=81).contains(&started), "{started}");
}

/// Guards against a target in need that still gets the requests of its former rate when it names a
/// limit.
#[test]
fn requests_just_before_a_limit_count_against_it() {
    let mut limiter = limited(50, 10.0);

    let started = count_starts(&mut limiter, 3_000, 6_000, 5);

    assert!(started <= 10, "{started}");
    assert_matches!(count_starts(&mut limiter, 6_000, 8_000, 5), 15..=20);
}

#[test]
fn a_lower_limit_counts_the_requests_before_and_a_higher_one_applies_at_once() {
    let mut limiter = limited(10, 20.0);
    count_starts(&mut limiter, 3_000, 6_000, 5);
    limiter.set_limit(Some(rate(5.0)), at(6_000));
    assert_matches!(count_starts(&mut limiter, 6_000, 8_000, 5), 0..=2);

    limiter.set_limit(Some(rate(40.0)), at(8_000));
    assert_matches!(count_starts(&mut limiter, 8_000, 9_000, 5), 25..=42);
}

#[test]
fn a_withdrawn_limit_holds_no_longer() {
    let mut limiter = limited(50, 1.0);
    count_starts(&mut limiter, 3_000, 4_000, 5);

    limiter.set_limit(None, at(4_000));

    assert_eq!(count_starts(&mut limiter, 4_000, 5_000, 5), 200);
}

/// Guards against a limit of nearly nothing that is never known to be withdrawn, because no request
/// is sent whose response would tell.
#[test]
fn a_limit_of_zero_still_admits_a_request_from_time_to_time() {
    let mut limiter = limited(10, 0.0);

    let started = count_starts(&mut limiter, 3_000, 13_000, 5);

    assert!((2..=5).contains(&started), "{started}");
}

#[test]
fn calls_are_admitted_when_new_work_is_refused() {
    let mut limiter = limited(1, 10.0);
    while starts(&mut limiter, work(), at(3_000)) {}

    assert!(starts(&mut limiter, call(), at(3_000)));
}

/// Guards against a second refusal of a caller that returns at the time that it was told.
#[test]
fn a_refused_request_is_admitted_when_it_returns_in_time() {
    let mut limiter = limited(50, 12.0);
    let mut returns: Vec<(LocalMoment, u64)> = Vec::new();
    let mut admitted_returns = 0;

    for now in (6_000_u64..16_000).step_by(5) {
        let due = returns.iter().position(|(due, _)| *due <= at(now));
        if let Some(index) = due {
            let (_, id) = returns.remove(index);
            assert!(starts(&mut limiter, keyed_work(id), at(now)), "at {now}");
            admitted_returns += 1;
        }
        if let Err(pause) = limiter.admit(keyed_work(now), 0, at(now)) {
            if pause <= work().max_pause {
                returns.push((at(now) + pause, now));
            }
        } else {
            limiter.take(at(now));
        }
    }

    assert!(admitted_returns > 40, "{admitted_returns}");
}

#[test]
fn a_reserved_token_is_free_again_when_its_caller_does_not_return() {
    let mut limiter = limited(50, 12.0);
    let mut now = 6_000;
    while limiter.admit(keyed_work(1), 0, at(now)).is_ok() {
        limiter.take(at(now));
    }
    now += 1_000;

    let started = (0..).take_while(|_| starts(&mut limiter, work(), at(now)));

    assert_matches!(started.count(), 8..=12);
}

/// Guards against more requests in any window than a target's limit allows, whatever the demand
/// before and after the limit was named.
#[test]
fn no_window_exceeds_the_limit_under_random_demand() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let grace = Duration::from_secs(GRACES[random.random_range(0..GRACES.len())]);
        let mut limiter = RateLimiter::new(LimitOptions::with_grace(grace));
        // More requests before the limit than it allows in a window would exceed it in any case.
        let before_s = WINDOW.saturating_sub(grace).as_secs_f64();
        let max_surplus = (4.5 / before_s).min(3.0);
        let limit = random.random_range(0.5..40.0);
        let demand = limit * random.random_range(0.5..max_surplus);
        let mut started = Vec::new();
        let mut limited_since = None;
        let mut now = 0_u64;

        while now < 20_000 {
            let is_surge = now > 9_000 && random.random_bool(0.3);
            let gap = 1_000.0 / (demand * if is_surge { 20.0 } else { 1.0 });
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a gap is small and not negative"
            )]
            let gap = random.random_range(0.0..2.0 * gap) as u64;
            now += gap;
            if now >= 5_000 && limited_since.is_none() {
                limiter.set_limit(Some(rate(limit)), at(now));
                limited_since = Some(at(now));
            }
            let arrival = match random.random_range(0..3) {
                0 => work(),
                1 => keyed_work(now),
                _ => call(),
            };
            if starts(&mut limiter, arrival, at(now)) {
                started.push(at(now));
            }

            let holds = limited_since.is_some_and(|since| at(now) >= since + grace);
            let in_window = started
                .iter()
                .filter(|start| at(now).since(**start) <= WINDOW)
                .count();
            #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
            let in_window = in_window as f64;
            let allowed = 1.5 * limit * WINDOW.as_secs_f64() + EXTRA_REQUESTS;
            assert!(
                !holds || in_window <= allowed,
                "seed {seed}, {now} ms: {in_window} of {allowed}"
            );
        }
    }
}

/// Guards against callers at a limit that are told to return so late that their responses are late,
/// although as many could have been served in time. Three times the limit arrives, and a refused
/// caller returns once, after at most a third of the time that it has left.
#[test]
fn callers_at_a_limit_are_served_in_time() {
    const PER_SECOND: f64 = 12.0;
    const DEADLINE_MS: u64 = 800;
    const MAX_WAIT_MS: u64 = 120;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut limiter = RateLimiter::new(LimitOptions::default());
    limiter.set_limit(Some(rate(PER_SECOND)), at(0));
    // Each arrival by its time and number, with the time that its caller has waited.
    let mut arrivals: BTreeMap<(u64, u64), u64> = (0..3_600_u64)
        .map(|id| ((random.random_range(0..100_000), id), 0))
        .collect();
    let mut served_in_time = 0;

    while let Some(((now, id), waited)) = arrivals.pop_first() {
        match limiter.admit(keyed_work(id), 0, at(now)) {
            Ok(()) => {
                limiter.take(at(now));
                served_in_time += u32::from(waited <= MAX_WAIT_MS);
            }
            Err(pause) if waited == 0 => {
                let pause = u64::try_from(pause.as_millis()).unwrap() + 1;
                let wait = pause.min(DEADLINE_MS / 3);
                arrivals.insert((now + wait, id), wait);
            }
            Err(_pause) => {}
        }
    }

    let possible = 100.0 * PER_SECOND;
    assert!(
        f64::from(served_in_time) >= 0.8 * possible,
        "{served_in_time} of {possible}"
    );
}

/// Returns a request for the gate.
fn gate_arrival(ticket: u64, now: u64) -> GateArrival {
    GateArrival {
        ticket,
        class: Arc::from("list"),
        is_call: false,
        priority: 2,
        objective_left: Duration::from_millis(200),
        objective: Duration::from_millis(200),
        deadline: at(now + 800),
        repeat_id: Some(ticket),
    }
}

#[test]
fn a_gate_refuses_what_the_limit_does_not_admit_although_slots_are_free() {
    let mut gate = AdmissionGate::new(GateOptions::default());
    gate.set_slots(6, at(0));
    gate.set_limit(Some(rate(2.0)), at(0));

    let actions: Vec<_> = (0..4)
        .flat_map(|ticket| gate.arrive(gate_arrival(ticket, 0), at(0)))
        .collect();

    let refused = actions.iter().filter(|action| {
        matches!(
            action,
            GateAction::Refuse { refusal: GateRefusal::LimitReached, retry_after, .. }
                if *retry_after > Duration::ZERO
        )
    });
    assert!(refused.count() >= 2, "{actions:?}");
    assert!(gate.running() >= 1);
    assert!(gate.capacity(at(0)) <= 2.0);
}

/// Guards against a burst of queued requests after a limit was named.
#[test]
fn queued_requests_are_refused_when_a_limit_does_not_admit_them() {
    let mut gate = AdmissionGate::new(GateOptions::default());
    gate.set_slots(1, at(0));
    for ticket in 0..3 {
        gate.arrive(gate_arrival(ticket, 0), at(0));
    }
    assert_eq!((gate.running(), gate.waiting()), (1, 2));

    let actions = gate.set_limit(Some(rate(0.5)), at(10));

    assert_eq!(gate.waiting(), 0);
    assert_eq!(actions.len(), 2);
    assert_matches!(
        actions[0],
        GateAction::Refuse {
            refusal: GateRefusal::LimitReached,
            ..
        }
    );
}

/// Guards against callers that start less work because one of several targets of the service that they
/// call is at its limit, although the others have room.
#[test]
fn a_limit_does_not_count_as_a_wait_for_a_slot() {
    let mut gate = AdmissionGate::new(GateOptions::default());
    gate.set_slots(6, at(0));
    gate.set_limit(Some(rate(0.5)), at(0));
    for ticket in 0..3 {
        gate.arrive(gate_arrival(ticket, 0), at(0));
    }

    assert!(gate.limit_wait(at(0)) > Duration::from_secs(1));
    assert!(gate.expected_wait(true, 1, at(0)) < 0.001);
}
