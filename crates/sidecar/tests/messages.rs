//! Tests of the messages between nodes.

use std::sync::Arc;
use wagtail_route::pick::LoadReport;
use wagtail_sidecar::messages::{NotRunFields, PauseKind};

/// Returns the refusal of a target that is loaded, or the node of which is unreachable.
fn refusal(reason: &str, pause_ms: u32, is_loaded: bool) -> NotRunFields {
    NotRunFields {
        reason: Arc::from(reason),
        pause_ms,
        reached_target: false,
        elsewhere: true,
        pause_kind: PauseKind::Minimum,
        holder: None,
        load: is_loaded.then_some(LoadReport {
            running: 0,
            waiting: 0,
            slots: 6,
            service_ms: 50.0,
            failed_share: 0.0,
            limited_ms: pause_ms,
            begin_share: None,
        }),
    }
}

/// Guards against a caller that is told the time of the target that was asked last, while another one
/// has room before.
#[test]
fn of_several_refusals_the_soonest_time_to_return_counts() {
    let soon = refusal("limit-reached", 90, true);
    let late = refusal("wait-too-long", 800, true);

    for (last, earlier) in [(&soon, &late), (&late, &soon)] {
        let merged = last.clone().with_sooner(Some(earlier.clone()));
        assert_eq!((&*merged.reason, merged.pause_ms), ("limit-reached", 90));
    }
    assert_eq!(late.clone().with_sooner(None), late);
}

/// Guards against a caller that is told to return at once because the target that was asked last is
/// leaving.
#[test]
fn a_target_that_will_have_no_room_does_not_set_the_time_to_return() {
    let limited = refusal("limit-reached", 90, true);
    let leaving = refusal("target-leaving", 0, true);
    let unreachable = refusal("node-unreachable", 50, false);

    for (last, earlier) in [(&limited, &leaving), (&leaving, &limited)] {
        let merged = last.clone().with_sooner(Some(earlier.clone()));
        assert_eq!(merged.pause_ms, 90);
    }
    let merged = limited.clone().with_sooner(Some(unreachable));
    assert_eq!(merged.pause_ms, 90);
}
