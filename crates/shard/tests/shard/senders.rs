//! Tests of the check that a heartbeat comes from the target of a node.

use crate::support::heartbeat;
use std::sync::Arc;
use wagtail_core::heartbeat::TargetHeartbeat;
use wagtail_shard::sender::{ExpectedTarget, SenderMismatch};

/// Returns the description of the target whose heartbeats [`heartbeat`] makes.
fn expected() -> ExpectedTarget {
    ExpectedTarget::new(Arc::from("agenda"), Arc::from("10.1.0.8:8301"))
}

/// Returns a heartbeat without the lists of ranges.
fn without_ranges() -> TargetHeartbeat {
    TargetHeartbeat {
        reports_ranges: false,
        ..heartbeat("a", 1, 1, Vec::new(), Vec::new())
    }
}

/// Guards against a message of another writer that counts as the first heartbeat of a new run.
#[test]
fn a_heartbeat_of_another_service_or_address_is_not_the_targets() {
    let own = heartbeat("a", 1, 1, Vec::new(), Vec::new());
    assert_eq!(expected().check(&own, true), Ok(()));

    let service: Arc<str> = Arc::from("rooms");
    let other = TargetHeartbeat {
        service: Arc::clone(&service),
        ..own.clone()
    };
    assert_eq!(
        expected().check(&other, true),
        Err(SenderMismatch::Service(service))
    );
    let address: Arc<str> = Arc::from("10.1.0.9:8301");
    let other = TargetHeartbeat {
        address: Arc::clone(&address),
        ..own
    };
    assert_eq!(
        expected().check(&other, true),
        Err(SenderMismatch::Address(address))
    );
}

/// Guards against a heartbeat without ranges that frees the keys of a target which holds them.
#[test]
fn only_targets_without_keys_may_leave_out_their_ranges() {
    assert_eq!(expected().check(&without_ranges(), false), Ok(()));
    assert_eq!(
        expected().check(&without_ranges(), true),
        Err(SenderMismatch::MissingRanges)
    );
}
