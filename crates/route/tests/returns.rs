//! Tests of the pause that a refused caller is asked for.

use std::time::Duration;
use wagtail_route::returns::{RefusedRequest, ReturnOptions};

/// Returns a lookup with 2,900 ms until its deadline that was refused after an expected wait.
fn refused(wait_ms: u64, objective_left_ms: u64) -> RefusedRequest {
    RefusedRequest {
        expected_wait: Duration::from_millis(wait_ms),
        service_time: Duration::from_millis(100),
        objective_left: Duration::from_millis(objective_left_ms),
        time_left: Duration::from_millis(2_900),
    }
}

/// Guards against callers that return while they may still be in time, but later than they have to.
#[test]
fn a_request_that_may_be_in_time_returns_after_the_expected_wait() {
    let options = ReturnOptions::default();

    for drawn in [0.0, 0.5, 1.0] {
        let pause = refused(100, 500).pause(&options, drawn);

        assert!(pause >= Duration::from_millis(80), "{pause:?}");
        assert!(pause <= Duration::from_millis(160), "{pause:?}");
    }
}

/// Guards against a pause that only brings a second refusal in a lasting overload, and against one that is
/// longer than callers wait.
#[test]
fn a_request_that_is_late_in_any_case_returns_as_late_as_its_caller_waits() {
    let options = ReturnOptions::default();

    for (wait_ms, objective_left_ms) in [(250, 500), (10, 0), (5_000, 500)] {
        for drawn in [0.0, 0.5, 1.0] {
            let pause = refused(wait_ms, objective_left_ms).pause(&options, drawn);

            assert!(pause <= Duration::from_millis(2_900 / 3 + 1), "{pause:?}");
            assert!(pause >= Duration::from_millis(2_900 / 4 - 1), "{pause:?}");
        }
    }
}
