//! Refuses requests while the zone of the target is evacuated.

use super::{TargetProxy, replies};
use crate::{
    evacuations::{ALL_EVACUATED_RETRY_AFTER_MS, ZONE_EVACUATED},
    messages::{DispatchHead, NotRunFields, PauseKind},
};
use wagtail_net::clock;

/// The reason code of a refusal by a node that does not know which zones are evacuated: it was started, or stood still.
const ZONES_UNKNOWN: &str = "zones-unknown";

/// The part of the time for an evacuation after which the target gets no requests with a key any more.
/// The rest is for the news, which may have reached this node late, and for requests on their way.
const KEYED_SHARE: u32 = 2;

impl TargetProxy {
    /// Returns whether the zone of the target is evacuated, as far as this node knows.
    pub(super) fn is_evacuated(&self) -> bool {
        self.view.evacuated_since(&self.settings.zone).is_some()
    }

    /// Returns the refusal of a request if the zone of the target is evacuated. A request without a key is
    /// refused at once. One with a key, which no other target may run until the key has moved, is served
    /// for half of the time for an evacuation.
    pub(super) fn check_zone(&self, dispatch_head: &DispatchHead) -> Option<NotRunFields> {
        let limit = self.settings.evacuation?;
        if !self.view.evacuations().is_current(clock::now()) {
            return Some(replies::elsewhere(ZONES_UNKNOWN));
        }
        let since = self.view.evacuated_since(&self.settings.zone)?;
        if dispatch_head.key.is_some() && clock::now().since(since) < limit / KEYED_SHARE {
            return None;
        }

        Some(self.zone_evacuated(dispatch_head))
    }

    /// Creates the refusal of a request because the zone is evacuated. It names the holder of the key if
    /// that is another node by now.
    fn zone_evacuated(&self, dispatch_head: &DispatchHead) -> NotRunFields {
        let refusal = match dispatch_head.key {
            Some(key) => self.key_not_held(key),
            None => replies::elsewhere(""),
        };
        let refusal = NotRunFields {
            reason: ZONE_EVACUATED.into(),
            ..refusal
        };

        if self.view.is_service_evacuated(&self.settings.service) {
            NotRunFields {
                pause_ms: ALL_EVACUATED_RETRY_AFTER_MS,
                pause_kind: PauseKind::Exact,
                elsewhere: false,
                ..refusal
            }
        } else {
            refusal
        }
    }
}
