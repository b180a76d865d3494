//! Which requests may have run at the target when its process ended.

use crate::quarantine::{at, life};
use std::sync::Arc;
use wagtail_core::digest::RequestContent;
use wagtail_gate::runs::{EndedRun, RunEnd, RunOrigin, RunTracker};

/// Creates the content of a request to a path.
fn content(path: &str) -> RequestContent {
    RequestContent {
        caller: Arc::from("front"),
        method: Arc::from("GET"),
        path: Arc::from(path),
        body: "body".into(),
    }
}

/// Returns the origin of a request that was sent once, at the given number of milliseconds.
fn origin(began_ms: u64) -> RunOrigin {
    RunOrigin {
        began_at: at(began_ms),
        is_repeat: false,
    }
}

/// Guards against a crash that counts against requests whose response had arrived, or misses those
/// whose connections it broke.
#[test]
fn requests_without_a_whole_response_may_have_run() {
    let mut tracker = RunTracker::default();
    let names = ["running", "broken", "old", "succeeded", "settled"];
    for (ticket, path) in (0..).zip(names) {
        tracker.begin(ticket, life(1, 1), content(path), origin(0));
    }
    tracker.begin(9, life(1, 2), content("next incarnation"), origin(0));
    tracker.finish(2, RunEnd::Unresolved, at(0));
    tracker.finish(1, RunEnd::Unresolved, at(1_500));
    let succeeded = tracker.finish(3, RunEnd::Succeeded, at(1_500));
    assert_eq!(succeeded, Some(content("succeeded")));
    assert_eq!(tracker.finish(4, RunEnd::Settled, at(1_500)), None);

    let ended = tracker.end_incarnation(&life(1, 1), at(2_500));

    let run = |path| EndedRun {
        content: content(path),
        origin: origin(0),
    };
    assert_eq!(ended, vec![run("running"), run("broken")]);
    assert!(tracker.end_incarnation(&life(1, 1), at(2_500)).is_empty());
    assert_eq!(tracker.running().count(), 1);
}

/// Guards against two requests that are taken for one, or one for two.
#[test]
fn a_digest_depends_on_each_part_of_the_content() {
    let original = content("/a");
    let others = [
        content("/b"),
        RequestContent {
            caller: Arc::from("other"),
            ..original.clone()
        },
        RequestContent {
            method: Arc::from("POST"),
            ..original.clone()
        },
        RequestContent {
            body: "other".into(),
            ..original.clone()
        },
        RequestContent {
            path: Arc::from("/ab"),
            body: "ody".into(),
            ..original.clone()
        },
    ];

    assert_eq!(original.digest(), content("/a").digest());
    for other in others {
        assert_ne!(original.digest(), other.digest(), "{other:?}");
    }
}
