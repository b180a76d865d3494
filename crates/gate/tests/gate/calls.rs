//! Detection of calls from running work, and backpressure on their callers.

use std::{sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_gate::{
    origins::RouteOrigins,
    pressure::{CallPressure, WorkArrival},
    throttle::{CalleeThrottles, WorkThrottle},
};

/// The slots of the called service in these tests.
const SLOTS: u32 = 4;

/// Returns the moment `millis` milliseconds after zero.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

#[test]
fn a_route_with_requests_from_a_single_service_is_a_call_route() {
    let mut origins = RouteOrigins::default();
    let (book, stock) = (Arc::from("book"), Arc::from("stock"));
    let services: [Arc<str>; 3] = [Arc::from("agenda"), Arc::from("rooms"), Arc::from("shop")];

    let mut last = (false, false);
    for step in 0..300 {
        last.0 = origins.observe(&book, &services[step % 3]);
        last.1 = origins.observe(&stock, &services[0]);
    }

    assert_eq!(last, (false, true));
}

#[test]
fn requests_of_the_only_service_are_not_calls() {
    let mut origins = RouteOrigins::default();
    let (book, cancel) = (Arc::from("book"), Arc::from("cancel"));
    let service = Arc::from("agenda");

    for _ in 0..300 {
        assert!(!origins.observe(&book, &service));
        assert!(!origins.observe(&cancel, &service));
    }
}

/// Returns a call of work that is fully admitted, or new work, that takes a slot for `millis`
/// milliseconds.
fn arrival(is_call: bool, priority: u32, millis: u64) -> WorkArrival {
    WorkArrival {
        is_call,
        priority,
        service_time: Duration::from_millis(millis),
        begun_share: 1.0,
    }
}

/// Guards against wasted work: calls need twice the slots of the called service, so that they wait
/// too long.
#[test]
fn callers_start_less_while_calls_do_not_fit_and_recover_afterwards() {
    let mut pressure = CallPressure::default();
    pressure.called(2);

    for step in 0..500 {
        pressure.arrived(&arrival(true, 1, 80), at(step * 10));
    }
    let overloaded_share = pressure.share(SLOTS, at(5_000));
    for step in 500..1_000 {
        pressure.arrived(&arrival(true, 1, 20), at(step * 10));
    }

    assert!((0.4..0.5).contains(&overloaded_share), "{overloaded_share}");
    assert!((pressure.share(SLOTS, at(10_000)) - 1.0).abs() < 0.01);
}

/// Guards against starvation: calls have precedence and hardly wait, while urgent new work of the
/// called service waits behind them.
#[test]
fn callers_start_less_while_more_urgent_work_needs_the_slots() {
    let mut pressure = CallPressure::default();
    pressure.called(2);

    for step in 0..500 {
        pressure.arrived(&arrival(true, 1, 30), at(step * 10));
        pressure.arrived(&arrival(false, 1, 40), at(step * 10));
    }

    let share = pressure.share(SLOTS, at(5_000));
    assert!((0.45..0.6).contains(&share), "{share}");
}

/// Guards against needless throttling: the called service is filled with work that is less urgent
/// than the work of its caller.
#[test]
fn less_urgent_work_does_not_throttle_callers() {
    let mut pressure = CallPressure::default();
    pressure.called(1);

    for step in 0..500 {
        pressure.arrived(&arrival(false, 2, 200), at(step * 10));
        pressure.arrived(&arrival(true, 1, 20), at(step * 10));
    }

    assert!((pressure.share(SLOTS, at(5_000)) - 1.0).abs() < 0.01);
}

/// Guards against less urgent work of the called service that starves behind calls: it must get a
/// quarter of the share of other work.
#[test]
fn calls_leave_slots_for_less_urgent_work() {
    let mut pressure = CallPressure::default();
    pressure.called(1);
    for step in 0..500 {
        pressure.arrived(&arrival(true, 1, 120), at(step * 10));
        pressure.arrived(&arrival(false, 2, 40), at(step * 10));
    }

    let share = pressure.share(SLOTS, at(5_000));
    let (calls, other_work) = (12.0, 4.0);
    let rest = 4.0 - share * calls;
    assert!(rest / other_work > share / 4.0, "{share}");
}

/// Guards against a share that oscillates: calls become fewer because callers hold work back, and the
/// service asks for more of it again.
#[test]
fn work_that_callers_hold_back_is_counted() {
    let mut pressure = CallPressure::default();
    pressure.called(1);

    for step in 0..500 {
        let held_back = WorkArrival {
            begun_share: 0.5,
            ..arrival(true, 1, 80)
        };
        pressure.arrived(&held_back, at(step * 20));
    }

    let share = pressure.share(SLOTS, at(10_000));
    assert!((0.4..0.5).contains(&share), "{share}");
}

#[test]
fn throttle_admits_the_reported_share() {
    let mut throttle = WorkThrottle::default();
    for step in 0..200 {
        throttle.report(0.25, at(step));
    }

    let started = (0..400)
        .filter(|step| starts(&mut throttle, 0, 200 + step))
        .count();

    assert!((95..=110).contains(&started), "{started} of 400 started");
}

#[test]
fn a_report_expires() {
    let mut throttle = WorkThrottle::default();
    for step in 0..200 {
        throttle.report(0.1, at(step));
    }

    let started = (0..100)
        .filter(|step| starts(&mut throttle, 0, 5_000 + step))
        .count();

    assert!(started >= 99, "{started} of 100 started");
}

/// Offers a request with one call to a throttle and returns whether it starts.
fn starts(throttle: &mut WorkThrottle, rank: u32, millis: u64) -> bool {
    let starts = throttle.offer(rank, 1.0, at(millis));
    if starts {
        throttle.take(rank);
    }

    starts
}

/// Guards against work that fails because its calls take too long while reports are missing that
/// tell of it.
#[test]
fn less_work_starts_while_the_calls_of_this_target_take_too_long() {
    let mut throttle = WorkThrottle::default();
    throttle.report(1.0, at(0));
    for _ in 0..50 {
        throttle.call_ended(1.5);
    }
    let slow_share = throttle.share(at(100));
    for _ in 0..50 {
        throttle.call_ended(0.2);
    }

    assert!(slow_share < 0.2, "{slow_share}");
    assert!((throttle.share(at(100)) - 1.0).abs() < 0.01);
}

/// Guards against urgent work that is refused while less urgent work starts.
#[test]
fn the_most_urgent_rank_goes_first() {
    let mut throttle = WorkThrottle::default();
    let mut started = [0; 3];
    for step in 0..3_000 {
        throttle.report(0.5, at(step));
        for rank in 0..3 {
            started[rank as usize] += u32::from(starts(&mut throttle, rank, step));
        }
    }

    assert!(started[0] >= 2_990, "{started:?}");
    assert!((1_400..=1_600).contains(&started[1]), "{started:?}");
    assert!(started[2] <= 10, "{started:?}");
}

/// Guards against a service that holds back work that does not call it.
#[test]
fn only_work_that_calls_a_service_is_held_back_for_it() {
    let mut throttles = CalleeThrottles::default();
    let (check, store) = (Arc::from("check"), Arc::from("store"));
    let mut refused = [0; 3];
    for step in 0..1_000 {
        throttles.report(&check, 0.25, at(step));
        throttles.report(&store, 0.4, at(step));
        let calls: [&[&str]; 3] = [&[], &["store"], &["store", "check"]];
        for (count, called) in refused.iter_mut().zip(calls) {
            let calls_to = |service: &str| if called.contains(&service) { 1.0 } else { 0.0 };
            *count += u32::from(throttles.admit(1, calls_to, at(step)).is_err());
        }
    }

    // `store` is called by 2,000 requests, of which it asks for 800; `check` by 1,000, of which it
    // asks for 250. What `check` refuses leaves room at `store` for requests that do not call it.
    assert_eq!(refused[0], 0);
    assert!(
        (1_195..=1_205).contains(&(refused[1] + refused[2])),
        "{refused:?}"
    );
    assert!((740..=1_000).contains(&refused[2]), "{refused:?}");
}
