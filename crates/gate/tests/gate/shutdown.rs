//! Tests of the requests that a process takes while it is shutting down, in virtual time.

use std::{sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_gate::shutdown::{
    DurationOptions, RouteDurations, ShutdownGate, ShutdownOptions, ShutdownPlan,
};

/// The moment at which the shutdowns of the tests start.
const START: LocalMoment = LocalMoment::ZERO;

/// The options of the tests.
const OPTIONS: ShutdownOptions = ShutdownOptions {
    intake_time: Duration::from_secs(2),
    exit_margin: Duration::from_millis(500),
    answer_time: Duration::from_millis(100),
    headroom: 1.5,
};

/// Returns a duration in milliseconds.
fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a request that is cut off at the end of a shutdown, and against the refusal of one that ends in
/// time.
#[test]
fn requests_are_taken_that_end_before_the_expiry() {
    // The expiry is at 4.4 s.
    let plan = ShutdownPlan::new(OPTIONS, START, millis(5_000));
    let admits = |now, deadline, longest: Option<u64>| {
        let (now, deadline) = (START + millis(now), START + millis(deadline));
        plan.admits(deadline, longest.map(millis), now)
    };

    // The deadline alone bounds a request of a route that is not known.
    assert!(admits(0, 4_400, None));
    assert!(!admits(0, 4_401, None));
    assert!(!admits(4_400, 4_400, None));
    // A deadline beyond the expiry does not matter for a short request.
    assert!(admits(0, 60_000, Some(50)));
    assert!(admits(4_300, 60_000, Some(60)));
    assert!(!admits(4_300, 60_000, Some(70)));
    assert!(admits(1_400, 60_000, Some(2_000)));
    assert!(!admits(1_401, 60_000, Some(2_000)));
    // Nor does a long one matter with a deadline before it.
    assert!(admits(1_401, 4_400, Some(2_000)));
    assert!(!admits(4_400, 4_500, Some(0)));
    assert!(!admits(9_000, 4_000, Some(1)));
}

/// Guards against moments that fit one grace period only: a shorter one ended before its requests were answered.
#[test]
fn the_moments_of_a_shutdown_follow_its_grace_period() {
    for grace_ms in [0, 300, 600, 1_000, 4_000, 6_000, 10_000, 60_000] {
        let plan = ShutdownPlan::new(OPTIONS, START, millis(grace_ms));
        let end = millis(grace_ms).saturating_sub(OPTIONS.exit_margin);

        assert!(plan.intake_time() <= end / 2 && plan.intake_time() <= OPTIONS.intake_time);
        assert!(plan.expiry_time() <= end);
        assert!(end <= plan.expiry_time() + plan.answer_time());
    }
}

/// Guards against requests that are taken by a mean of their route, or by durations that are long past.
#[test]
fn the_longest_recent_request_of_a_route_counts() {
    let mut durations = RouteDurations::new(DurationOptions {
        recent: millis(10_000),
    });
    let (list, book): (Arc<str>, Arc<str>) = (Arc::from("list"), Arc::from("book"));
    let at = |ms| START + millis(ms);
    let longest = |durations: &RouteDurations, route, ms| {
        let longest = durations.longest(route, at(ms));
        longest.map(|longest| longest.as_millis())
    };

    durations.begin(0, &list, at(0));
    assert_eq!(longest(&durations, "list", 100), None);
    durations.end(0, at(3_000));
    for ticket in 1..100 {
        durations.begin(ticket, &list, at(3_000));
        durations.end(ticket, at(3_010));
    }
    assert_eq!(longest(&durations, "list", 4_000), Some(3_000));
    assert_eq!(longest(&durations, "book", 4_000), None);

    // A request in flight counts with its age, for its own route.
    durations.begin(100, &list, at(4_000));
    durations.begin(101, &book, at(4_000));
    assert_eq!(longest(&durations, "list", 9_000), Some(5_000));
    assert_eq!(durations.running(), 2);
    durations.end(100, at(9_000));
    durations.end(101, at(9_000));
    durations.end(101, at(99_000));
    assert_eq!(durations.running(), 0);

    durations.begin(102, &list, at(14_000));
    durations.end(102, at(14_020));
    assert_eq!(longest(&durations, "list", 14_500), Some(5_000));
    durations.begin(103, &list, at(25_000));
    durations.end(103, at(25_030));
    assert_eq!(longest(&durations, "list", 25_500), Some(30));
    assert_eq!(longest(&durations, "list", 90_000), None);
}

/// Guards against memory that grows with the routes that were ever used.
#[test]
fn durations_are_kept_for_a_limited_number_of_routes() {
    let mut durations = RouteDurations::default();

    for ticket in 0..10_000 {
        let route: Arc<str> = Arc::from(format!("route-{ticket}"));
        durations.begin(ticket, &route, START);
        durations.end(ticket, START + millis(50));
    }

    let known = (0..10_000)
        .filter(|route| {
            durations
                .longest(&format!("route-{route}"), START)
                .is_some()
        })
        .count();
    assert!(known <= 256, "{known}");
}

/// Guards against refusals by a process that is not shutting down, and against work that goes on for callers that a
/// process cannot answer any more.
#[test]
fn only_a_shutdown_bounds_requests() {
    let mut gate = ShutdownGate::default();
    let route: Arc<str> = Arc::from("list");
    gate.durations().begin(0, &route, START);
    gate.durations().end(0, START + millis(900));
    let (now, deadline) = (START + millis(10_000), START + millis(20_000));

    assert!(!gate.is_started() && gate.admits("list", deadline, now));
    assert!(gate.admits("unknown", deadline, now));
    assert_eq!(gate.useful_until(deadline), deadline);

    // The expiry is at 14.4 s.
    gate.start(ShutdownPlan::new(OPTIONS, now, millis(5_000)));
    assert!(gate.is_started() && gate.admits("list", deadline, now));
    assert!(!gate.admits("unknown", deadline, now));
    assert!(!gate.admits("list", deadline, now + millis(3_051)));
    assert_eq!(gate.useful_until(deadline), START + millis(14_400));
    assert_eq!(gate.useful_until(now), now);
}
