//! What ran at the target when its process ended.

use super::{TargetProxy, replies};
use crate::{
    messages::{DispatchHead, NotRunFields},
    quarantine::{ISOLATED, QUARANTINED},
};
use tracing::warn;
use wagtail_core::{
    digest::{RequestContent, RequestDigest},
    heartbeat::TargetIncarnation,
    units::LocalMoment,
};
use wagtail_gate::{
    crash_report::CrashReport,
    quarantine::RequestStanding,
    runs::{RunEnd, RunOrigin},
};
use wagtail_net::clock;
use wagtail_shard::departures::DepartureList;

impl TargetProxy {
    /// Returns the refusal of a request that may not run at all, or not beside those that run now.
    pub(super) fn check_standing(&self, content: &RequestContent) -> Option<NotRunFields> {
        let quarantine = self.view.quarantine();
        let is_isolated =
            |other: &RequestContent| quarantine.standing(other) >= RequestStanding::Isolated;

        match quarantine.standing(content) {
            RequestStanding::Refused => Some(NotRunFields {
                elsewhere: false,
                ..replies::elsewhere(QUARANTINED)
            }),
            RequestStanding::Isolated if self.state.borrow().runs.running().any(is_isolated) => {
                Some(replies::elsewhere(ISOLATED))
            }
            _ => None,
        }
    }

    /// Records that a request is about to be sent to the target.
    pub(super) fn begin_run(
        &self,
        ticket: u64,
        dispatch_head: &DispatchHead,
        content: RequestContent,
        deadline: LocalMoment,
    ) {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        state
            .shutdown
            .durations()
            .begin(ticket, &dispatch_head.route, now);
        state.end_detector.begin(ticket, deadline, now);

        if let Some(life) = state.keeper.life() {
            let origin = RunOrigin {
                began_at: now,
                is_repeat: dispatch_head.is_repeat,
            };
            state.runs.begin(ticket, life.clone(), content, origin);
        }
    }

    /// Records how a request at the target ended.
    pub(super) fn finish_run(&self, ticket: u64, end: RunEnd) {
        let now = clock::now();
        let succeeded = {
            let mut state = self.state.borrow_mut();
            state.shutdown.durations().end(ticket, now);
            if end != RunEnd::Unresolved {
                state.end_detector.settle(ticket);
            }
            state.runs.finish(ticket, end, now)
        };

        if let Some(content) = succeeded {
            self.view.quarantine().record_success(&content);
        }
    }

    /// Records that the process of an incarnation of the target has ended at `ended_at` without a leave.
    pub(super) fn record_crash(
        &self,
        life: &TargetIncarnation,
        reason: &str,
        ended_at: LocalMoment,
    ) {
        let ended = self.state.borrow_mut().runs.end_incarnation(life, ended_at);
        let mut digests: Vec<RequestDigest> =
            ended.iter().map(|run| run.content.digest()).collect();
        digests.sort_unstable();
        digests.dedup();

        let names: Vec<String> = digests.iter().map(ToString::to_string).collect();
        warn!(
            event = "target-ended", life = %life, reason, running = ended.len(),
            digests = names.join(",")
        );
        self.view.quarantine().record_crash(life, &ended, ended_at);
        self.crashed.notify(usize::MAX);
    }

    /// Waits until the target has crashed.
    pub async fn crash(&self) {
        self.crashed.listen().await;
    }

    /// Returns the departures of this node's targets, with what its earlier processes have stored.
    pub fn departures(&self) -> DepartureList {
        let mut departures = self.with_keeper(|keeper| keeper.departures().clone());
        if let Some(record) = self.view.node(&self.settings.node) {
            departures.merge(&record.departures);
        }

        departures
    }

    /// Returns the report of this node on crashes, with what its earlier processes have stored.
    pub fn crash_report(&self) -> CrashReport {
        let record = self.view.node(&self.settings.node);
        let stored = record.as_ref().map(|record| &record.crashes);

        self.view.quarantine().own_report(stored)
    }

    /// Records that another incarnation of the target has started. The one before has ended, which
    /// is a crash unless it was leaving or is known to have ended.
    pub(super) fn record_replaced(&self, next_life: &TargetIncarnation) {
        let (previous, suspected_at) = {
            let mut state = self.state.borrow_mut();
            let is_known = state.ended || state.leaving_since.is_some();
            let previous = state.incarnation.replace(next_life.clone());
            (
                previous.filter(|_| !is_known),
                state.end_detector.suspected_at(),
            )
        };

        if let Some(life) = previous {
            let ended_at = suspected_at.unwrap_or_else(clock::now);
            self.record_crash(&life, "another incarnation has started", ended_at);
        }
    }
}
