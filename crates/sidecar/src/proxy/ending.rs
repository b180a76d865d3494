//! Watches whether the process of a target that breaks off or refuses connections has ended.

use super::TargetProxy;
use compio::time::sleep;
use std::time::Duration;
use tracing::warn;
use wagtail_core::{heartbeat::TargetIncarnation, units::LocalMoment};
use wagtail_gate::process_end::{ProcessEvidence, ProcessState};
use wagtail_net::clock;

/// The shortest pause between two attempts to connect; each pause is twice as long as the one before.
const MIN_ATTEMPT_PAUSE: Duration = Duration::from_millis(60);

/// The longest pause between two attempts to connect.
const MAX_ATTEMPT_PAUSE: Duration = Duration::from_millis(240);

/// The longest time that a request may take while no route is known.
const DEFAULT_REQUEST_TIME: Duration = Duration::from_secs(15);

impl TargetProxy {
    /// Checks in the background whether the target's process has ended. If it has, its keys can be
    /// freed without waiting for its grants to lapse.
    pub(super) fn check_process(&self) {
        let Some(life) = self.state.borrow().keeper.life().cloned() else {
            return;
        };
        let checked = {
            let mut state = self.state.borrow_mut();
            state.end_detector.connection_failed(clock::now());
            state.checked.replace(life.clone())
        };
        if checked.as_ref() == Some(&life) {
            return;
        }
        let proxy = self.clone();

        compio::runtime::spawn(async move {
            proxy.watch_refusals(&life).await;
            proxy
                .state
                .borrow_mut()
                .checked
                .take_if(|checked| *checked == life);
        })
        .detach();
    }

    /// Connects to the target until it accepts, has certainly ended, leaves or is replaced.
    async fn watch_refusals(&self, life: &TargetIncarnation) {
        let mut pause = MIN_ATTEMPT_PAUSE;
        let mut is_logged = false;

        while self.may_end(life) {
            let is_refused = self.pool.refuses_connections().await;
            let now = clock::now();
            let evidence = self.process_evidence();
            let state = {
                let detector = &mut self.state.borrow_mut().end_detector;
                if !is_refused {
                    detector.connection_accepted();
                    return;
                }
                detector.connection_refused(now);
                detector.state(evidence, now)
            };

            match state {
                ProcessState::Ended => return self.end_target(life),
                ProcessState::Refusing if !std::mem::replace(&mut is_logged, true) => {
                    self.log_refusals(life, evidence, now);
                }
                ProcessState::Refusing | ProcessState::Reachable => {}
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_ATTEMPT_PAUSE);
        }
    }

    /// Returns whether an incarnation is the present one and may end without a leave: a leaving target may close its
    /// port while it still runs requests.
    fn may_end(&self, life: &TargetIncarnation) -> bool {
        let state = self.state.borrow();

        state.keeper.life() == Some(life) && state.leaving_since.is_none() && !state.ended
    }

    /// Returns what this node sees of the target's process.
    fn process_evidence(&self) -> ProcessEvidence {
        let hosts = self.view.hosts();
        let max_request_time = hosts
            .and_then(|hosts| hosts.longest_timeout())
            .unwrap_or(DEFAULT_REQUEST_TIME);

        ProcessEvidence {
            open_connections: self.pool.open_connections(),
            slots: self.slots(),
            max_request_time,
        }
    }

    /// Logs why a target that refuses connections does not count as ended.
    fn log_refusals(&self, life: &TargetIncarnation, evidence: ProcessEvidence, now: LocalMoment) {
        let unfinished = self.state.borrow().end_detector.unfinished(now);

        warn!(
            event = "target-refuses", life = %life, open = evidence.open_connections,
            slots = evidence.slots, unfinished
        );
    }

    /// Records that the process of an incarnation of the target has ended, unless that is known, or
    /// it is leaving.
    fn end_target(&self, life: &TargetIncarnation) {
        if !self.may_end(life) {
            return;
        }
        let (actions, ended_at) = {
            let mut state = self.state.borrow_mut();
            let now = clock::now();
            state.ended = true;
            state.keeper.target_ended();
            state.gate.target_ended(now);
            let ended_at = state.end_detector.suspected_at().unwrap_or(now);
            (state.gate.set_closed(true), ended_at)
        };

        self.record_crash(life, "connections are refused", ended_at);
        self.apply_actions(actions);
    }
}
