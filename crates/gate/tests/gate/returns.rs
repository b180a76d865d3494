//! Refused callers that come back before their time.

use std::time::Duration;
use wagtail_core::units::LocalMoment;
use wagtail_gate::returns::EarlyReturns;

/// The delay that refused callers are asked for.
const DELAY: Duration = Duration::from_millis(400);

/// Returns the moment `millis` milliseconds after zero.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Guards against refused callers that occupy the nodes of targets with repetitions at once.
#[test]
fn a_request_that_returns_before_half_of_its_delay_waits_for_the_rest() {
    let mut returns = EarlyReturns::default();
    returns.refused(7, DELAY, at(1_000));

    assert_eq!(
        returns.check(7, at(1_100)),
        Some(Duration::from_millis(300))
    );
    assert_eq!(returns.check(8, at(1_100)), None);
    assert_eq!(returns.check(7, at(1_200)), None);
}

/// Guards against a single refusal that turns away every caller that sends the same request.
#[test]
fn a_refusal_delays_few_requests() {
    let mut returns = EarlyReturns::default();
    returns.refused(7, DELAY, at(1_000));

    let delayed = (0..50)
        .filter(|step| returns.check(7, at(1_000 + step)).is_some())
        .count();

    assert_eq!(delayed, 2);
}

/// Guards against memory that grows with the refusals, and against entries that outlive their time.
#[test]
fn entries_are_bounded_and_expire() {
    let mut returns = EarlyReturns::default();
    for request_id in 0..5_000 {
        returns.refused(request_id, DELAY, at(1_000));
    }
    let known = (0..5_000)
        .filter(|request_id| returns.check(*request_id, at(1_001)).is_some())
        .count();
    returns.refused(9_999, DELAY, at(1_500));

    assert_eq!(known, 4_096);
    assert!(returns.check(9_999, at(1_501)).is_some());
}
