//! Calls of running work, and how much new work their callers begin.

use std::{sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_gate::{
    origins::RouteOrigins,
    pressure::{CallPressure, WorkThrottle},
};

/// The objective of the calls.
const CALL_OBJECTIVE: Duration = Duration::from_millis(60);

/// Returns a moment in milliseconds.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

#[test]
fn a_route_whose_requests_begin_beside_one_service_alone_is_one_of_calls() {
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
fn a_lone_service_calls_nothing() {
    let mut origins = RouteOrigins::default();
    let (book, cancel) = (Arc::from("book"), Arc::from("cancel"));
    let service = Arc::from("agenda");

    for _ in 0..300 {
        assert!(!origins.observe(&book, &service));
        assert!(!origins.observe(&cancel, &service));
    }
}

/// The pattern: listings call a service that bookings fill by themselves.
#[test]
fn callers_begin_less_while_calls_wait_and_more_again_afterwards() {
    let mut pressure = CallPressure::default();
    pressure.called(2);

    for _ in 0..100 {
        pressure.arrived(true, 1, 0.12, CALL_OBJECTIVE);
    }
    let crowded = pressure.share();
    for _ in 0..100 {
        pressure.arrived(true, 1, 0.002, CALL_OBJECTIVE);
    }

    assert!(crowded < 0.3, "{crowded}");
    assert!((pressure.share() - 1.0).abs() < 0.01);
}

/// The pattern: calls go first and hardly wait, while urgent new work of the called service starves.
#[test]
fn callers_begin_less_while_more_urgent_work_waits_behind_their_calls() {
    let mut pressure = CallPressure::default();
    pressure.called(2);

    for _ in 0..100 {
        pressure.arrived(true, 1, 0.005, CALL_OBJECTIVE);
        pressure.arrived(true, 1, 0.005, CALL_OBJECTIVE);
        pressure.arrived(false, 1, 0.2, Duration::from_millis(400));
    }

    assert!(pressure.share() < 0.7, "{}", pressure.share());
}

/// The pattern: the work of a caller is more urgent than what fills the called service.
#[test]
fn less_urgent_work_does_not_hold_its_callers_back() {
    let mut pressure = CallPressure::default();
    pressure.called(1);

    for _ in 0..100 {
        pressure.arrived(false, 2, 0.5, Duration::from_millis(250));
        pressure.arrived(true, 1, 0.0, CALL_OBJECTIVE);
    }

    assert!((pressure.share() - 1.0).abs() < 0.01);
}

#[test]
fn a_throttle_lets_the_reported_share_begin() {
    let mut throttle = WorkThrottle::default();
    for step in 0..200 {
        throttle.report(0.25, at(step));
    }

    let begun = (0..400)
        .filter(|step| throttle.admit(at(200 + step)))
        .count();

    assert!((95..=110).contains(&begun), "{begun} of 400 began");
}

#[test]
fn a_report_counts_only_for_a_while() {
    let mut throttle = WorkThrottle::default();
    for step in 0..200 {
        throttle.report(0.1, at(step));
    }

    let begun = (0..100)
        .filter(|step| throttle.admit(at(5_000 + step)))
        .count();

    assert!(begun >= 99, "{begun} of 100 began");
}
