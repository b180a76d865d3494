//! Whether a target that refuses connections has ended.

use crate::quarantine::at;
use std::time::Duration;
use wagtail_gate::process_end::{EndDetector, EndOptions, ProcessEvidence, ProcessState};

/// The evidence on a target with two slots to which no connection is open.
const NO_CONNECTIONS: ProcessEvidence = ProcessEvidence {
    open_connections: 0,
    slots: 2,
    max_request_time: Duration::from_secs(1),
};

/// Returns a detector of a process that started long ago, with unfinished requests up to 12.8 s.
fn detector(unfinished: u64) -> EndDetector {
    let mut detector = EndDetector::new(EndOptions::default(), at(0));
    detector.begin_incarnation();
    for ticket in 0..unfinished {
        detector.begin(ticket, at(11_800), at(11_000));
    }

    detector
}

/// Records refusals from 11 s on, and returns the state at 11.06 s.
fn state_after_refusals(detector: &mut EndDetector, evidence: ProcessEvidence) -> ProcessState {
    detector.connection_refused(at(11_000));
    assert_eq!(
        detector.state(evidence, at(11_000)),
        ProcessState::Reachable
    );
    detector.connection_refused(at(11_060));

    detector.state(evidence, at(11_060))
}

#[test]
fn a_target_that_refuses_all_connections_without_a_reason_has_ended() {
    let mut detector = detector(2);

    assert_eq!(
        state_after_refusals(&mut detector, NO_CONNECTIONS),
        ProcessState::Ended
    );
    assert_eq!(detector.suspected_at(), Some(at(11_000)));
}

/// Guards against a second holder of the keys of a target that is full with requests whose clients left.
#[test]
fn a_target_that_may_be_full_has_not_ended() {
    let mut detector = detector(3);

    assert_eq!(
        state_after_refusals(&mut detector, NO_CONNECTIONS),
        ProcessState::Refusing
    );
    assert_eq!(
        detector.state(NO_CONNECTIONS, at(12_799)),
        ProcessState::Refusing
    );
    // The last request has been over for a second.
    assert_eq!(
        detector.state(NO_CONNECTIONS, at(12_800)),
        ProcessState::Ended
    );
}

#[test]
fn a_target_that_has_settled_a_request_is_not_full() {
    let mut detector = detector(3);
    detector.settle(1);

    assert_eq!(
        state_after_refusals(&mut detector, NO_CONNECTIONS),
        ProcessState::Ended
    );
}

/// Guards against a second holder of the keys of a target that works on requests of open connections.
#[test]
fn a_target_with_an_open_connection_has_not_ended() {
    let evidence = ProcessEvidence {
        open_connections: 1,
        ..NO_CONNECTIONS
    };

    assert_eq!(
        state_after_refusals(&mut detector(0), evidence),
        ProcessState::Refusing
    );
}

/// Guards against a second holder of the keys of a target that is full with requests which the previous process of
/// its node sent.
#[test]
fn a_restarted_node_does_not_know_whether_the_target_is_full() {
    let mut detector = EndDetector::new(EndOptions::default(), at(10_000));
    detector.begin_incarnation();

    assert_eq!(
        state_after_refusals(&mut detector, NO_CONNECTIONS),
        ProcessState::Refusing
    );
    assert_eq!(
        detector.state(NO_CONNECTIONS, at(12_000)),
        ProcessState::Ended
    );

    // The next incarnation got no request from that process.
    detector.begin_incarnation();
    assert_eq!(
        state_after_refusals(&mut detector, NO_CONNECTIONS),
        ProcessState::Ended
    );
}

/// Guards against refusals from before a heartbeat, or from before an accepted connection, that count as an end.
#[test]
fn refusals_before_a_sign_of_life_do_not_count() {
    let mut heard = detector(0);
    heard.connection_refused(at(11_000));
    heard.heard(at(11_050));
    heard.connection_refused(at(11_060));
    assert_eq!(
        heard.state(NO_CONNECTIONS, at(11_060)),
        ProcessState::Reachable
    );
    heard.connection_refused(at(11_110));
    assert_eq!(heard.state(NO_CONNECTIONS, at(11_110)), ProcessState::Ended);

    let mut accepted = detector(0);
    accepted.connection_refused(at(11_000));
    accepted.connection_accepted();
    accepted.connection_refused(at(11_060));
    assert!(!accepted.is_refusing());
}

/// Guards against a crash whose time is that of a later refusal, so that a repeat seems to have begun before it, and
/// against the time of a failure that was none.
#[test]
fn a_process_is_suspected_from_the_first_failure_on() {
    let mut ended = detector(0);
    ended.connection_failed(at(10_990));
    assert_eq!(
        state_after_refusals(&mut ended, NO_CONNECTIONS),
        ProcessState::Ended
    );
    assert_eq!(ended.suspected_at(), Some(at(10_990)));
    // The next process listens before it sends a heartbeat.
    ended.connection_accepted();
    assert_eq!(ended.suspected_at(), Some(at(10_990)));

    let mut alive = detector(0);
    alive.connection_failed(at(10_990));
    alive.connection_accepted();
    assert_eq!(alive.suspected_at(), None);
}
