//! Tests of what the attempts of a request have come to.

use std::sync::Arc;
use wagtail_route::attempts::{AttemptRecord, may_relay};

/// Guards against a later refusal that makes callers believe that an earlier attempt did not run.
#[test]
fn a_refusal_does_not_take_back_a_failure() {
    let mut record = AttemptRecord::default();
    record.record_failure(Arc::from("node-lost"));
    for reached_target in [false, true] {
        record.record_refusal(reached_target);

        assert!(record.may_have_run());
        assert_eq!(record.failure().as_deref(), Some("node-lost"));
    }
}

/// Guards against a refusal by another node while a silent one may still run the request.
#[test]
fn nothing_is_promised_while_a_node_is_silent() {
    let mut record = AttemptRecord::default();
    record.record_silence();
    record.record_refusal(true);
    assert_eq!(record.failure().as_deref(), Some("node-silent"));
    assert_eq!(record.at_targets(), 2);

    record.record_silence_end();
    record.record_refusal(false);
    assert_eq!(record.failure(), None);
    assert_eq!(record.at_targets(), 1);
}

/// Guards against a lost node that no longer counts once it has been silent.
#[test]
fn a_silent_node_that_is_lost_may_have_run_the_request() {
    let mut record = AttemptRecord::default();
    record.record_silence();
    record.record_silence_end();
    record.record_failure(Arc::from("node-lost"));

    assert!(record.may_have_run());
    assert_eq!(record.at_targets(), 1);
}

/// Guards against statuses that promise what no target stated, and against changes of other responses.
#[test]
fn only_statuses_that_promise_are_kept_from_callers_that_rely_on_them() {
    for status in 200..600 {
        let promises = [408, 421, 429, 503].contains(&status);

        assert_eq!(may_relay(status, false), !promises, "{status}");
        assert!(may_relay(status, true), "{status}");
    }
}
