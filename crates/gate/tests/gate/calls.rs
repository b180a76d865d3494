//! Detection of calls from running work, and backpressure on their callers.

use std::{sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_gate::{
    origins::RouteOrigins,
    pressure::{CallPressure, WorkThrottle},
};

/// The latency objective of calls in these tests.
const CALL_OBJECTIVE: Duration = Duration::from_millis(60);

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

/// Guards against wasted work: listings call a service that its own bookings already fill, so
/// that their calls wait too long.
#[test]
fn callers_start_less_while_calls_wait_and_recover_afterwards() {
    let mut pressure = CallPressure::default();
    pressure.called(2);

    for _ in 0..100 {
        pressure.arrived(true, 1, 0.12, CALL_OBJECTIVE);
    }
    let overloaded_share = pressure.share();
    for _ in 0..100 {
        pressure.arrived(true, 1, 0.002, CALL_OBJECTIVE);
    }

    assert!(overloaded_share < 0.3, "{overloaded_share}");
    assert!((pressure.share() - 1.0).abs() < 0.01);
}

/// Guards against starvation: calls have precedence and hardly wait, while urgent new work of the
/// called service waits behind them.
#[test]
fn callers_start_less_while_more_urgent_work_waits_behind_their_calls() {
    let mut pressure = CallPressure::default();
    pressure.called(2);

    for _ in 0..100 {
        pressure.arrived(true, 1, 0.005, CALL_OBJECTIVE);
        pressure.arrived(true, 1, 0.005, CALL_OBJECTIVE);
        pressure.arrived(false, 1, 0.2, Duration::from_millis(400));
    }

    assert!(pressure.share() < 0.7, "{}", pressure.share());
}

/// Guards against needless throttling: the called service is filled with work that is less urgent
/// than the work of its caller.
#[test]
fn less_urgent_work_does_not_throttle_callers() {
    let mut pressure = CallPressure::default();
    pressure.called(1);

    for _ in 0..100 {
        pressure.arrived(false, 2, 0.5, Duration::from_millis(250));
        pressure.arrived(true, 1, 0.0, CALL_OBJECTIVE);
    }

    assert!((pressure.share() - 1.0).abs() < 0.01);
}

#[test]
fn throttle_admits_the_reported_share() {
    let mut throttle = WorkThrottle::default();
    for step in 0..200 {
        throttle.report(0.25, at(step));
    }

    let started = (0..400)
        .filter(|step| throttle.admit(at(200 + step)))
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
        .filter(|step| throttle.admit(at(5_000 + step)))
        .count();

    assert!(started >= 99, "{started} of 100 started");
}
