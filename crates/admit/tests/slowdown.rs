//! Guards against a slow target that keeps too many concurrent requests or too few.

use std::time::Duration;
use wagtail_admit::slowdown::SlowdownSearch;
use wagtail_core::units::LocalMoment;

/// The slots of the target.
const SLOTS: u32 = 6;

/// Records responses of a busy target for some seconds and returns the moment after. The durations
/// depend on the count of concurrent requests.
fn feed(
    search: &mut SlowdownSearch,
    start: LocalMoment,
    seconds: u64,
    duration: impl Fn(u32) -> Duration,
) -> LocalMoment {
    let mut now = start;

    while now.since(start) < Duration::from_secs(seconds) {
        let took = duration(search.cap());

        now = now + took / search.cap();
        search.record(now, took, true);
    }

    now
}

/// Returns the duration at a target that runs two requests well and slows with the square of the
/// count above that.
fn strained(requests: u32) -> Duration {
    let strain = (f64::from(requests) / 2.0).max(1.0);

    Duration::from_millis(10).mul_f64(strain * strain)
}

#[test]
fn a_strained_target_gets_fewer_orders_and_all_again_when_it_recovers() {
    let mut search = SlowdownSearch::new(SLOTS);
    let sound = |_| Duration::from_millis(10);
    let now = feed(&mut search, LocalMoment::ZERO, 5, sound);

    assert_eq!(search.cap(), SLOTS);

    let now = feed(&mut search, now, 20, strained);

    assert!(search.cap() <= 3);

    feed(&mut search, now, 60, sound);
    assert_eq!(search.cap(), SLOTS);
}

#[test]
fn a_target_that_is_slow_however_few_orders_it_runs_keeps_most_of_them() {
    let mut search = SlowdownSearch::new(SLOTS);
    let now = feed(&mut search, LocalMoment::ZERO, 5, |_| {
        Duration::from_millis(10)
    });
    let mut start = now;
    let mut full = 0;

    for _ in 0..100 {
        start = feed(&mut search, start, 1, |_| Duration::from_millis(50));
        full += u32::from(search.cap() == SLOTS);
    }

    assert!(full >= 70);
}
