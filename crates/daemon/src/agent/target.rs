//! The target beside the daemon.

use crate::{
    agent::{
        command::TargetNotice,
        task::{AgentTask, TargetState},
    },
    ownership::OwnershipCommand,
};
use compio::time::timeout;
use std::{cell::Cell, rc::Rc, time::Duration};
use tracing::{info, warn};
use wagtail_admit::{AdmitEvent, AdmitMachine, AdmitOptions};
use wagtail_core::{
    ports::{TargetGrant, TargetPort},
    service::ServiceSpec,
    units::LocalMoment,
};
use wagtail_net::clock;
use wagtail_target::HttpTarget;

/// The longest time that a target may take to answer a renewal of its grants.
const GRANT_TIMEOUT: Duration = Duration::from_millis(800);

/// The silence towards renewals after which a target counts as frozen. Together with a term and a
/// hand-over it stays within the time in which a key must be served again.
const GRANT_SILENCE: Duration = Duration::from_secs(1);

/// `GrantHealth` is how a target that checks fencing answers the renewals of its grants.
#[derive(Debug, Clone, Default)]
pub(super) struct GrantHealth {
    /// The moment of the first failure since the last answer.
    failing_since: Rc<Cell<Option<LocalMoment>>>,
}

impl GrantHealth {
    /// Takes in how a renewal ended.
    fn record(&self, now: LocalMoment, answered: bool) {
        let since = self.failing_since.get();
        let begun = now - GRANT_TIMEOUT;

        self.failing_since
            .set((!answered).then(|| since.unwrap_or(begun)));
    }

    /// Returns whether the target has left renewals unanswered for too long.
    fn is_stuck(&self, now: LocalMoment) -> bool {
        self.failing_since
            .get()
            .is_some_and(|since| now.since(since) >= GRANT_SILENCE)
    }
}

impl AgentTask {
    /// Takes an announcement in: a new target, a restarted one, or one that leaves.
    pub(super) fn announced(&mut self, notice: TargetNotice) {
        let fleet = self.options.fleet.load();
        let Some(spec) = fleet.config.service(&notice.service) else {
            return;
        };

        match self.target.take() {
            Some(target) if target.notice.service == notice.service => {
                self.announced_again(target, notice);
            }
            _ => {
                info!(event = "target-announced", service = %notice.service, address = %notice.address);
                let state = self.target_state(notice, spec, fleet.restarted);
                self.target = Some(state);
                self.admit(AdmitEvent::TargetStarted);
            }
        }

        // What the target runs is not told; the announcement itself shows that it runs.
        self.admit(AdmitEvent::TargetReport { running: 0 });
        self.tell_answering();
    }

    /// Takes an announcement of the known target in. Its requests stay remembered, also when it
    /// was restarted elsewhere.
    fn announced_again(&mut self, mut target: TargetState, notice: TargetNotice) {
        let restarted = target.notice.started_ms != notice.started_ms;
        let leaves = notice.draining && !target.notice.draining;

        if target.notice.address != notice.address {
            target.port = self.port(&notice);
        }
        target.notice = notice;
        self.target = Some(target);

        if restarted {
            info!(event = "target-restarted");
            self.admit(AdmitEvent::TargetStarted);
        }
        if leaves {
            info!(event = "target-leaves");
            self.admit(AdmitEvent::TargetDraining);
        }
    }

    /// Tells the ownership task that the target answers, unless it leaves its grants unanswered.
    fn tell_answering(&self) {
        if self.served.is_empty() || !self.grants.is_stuck(clock::now()) {
            self.options
                .ownership
                .tell(OwnershipCommand::TargetAnswers(true));
        }
    }

    /// Makes the state of a target that announced itself for the first time.
    fn target_state(
        &self,
        notice: TargetNotice,
        spec: &ServiceSpec,
        restarted: bool,
    ) -> TargetState {
        let options = AdmitOptions::for_service(spec);
        let mut admission = AdmitMachine::new(options, self.options.seed);

        // An earlier start of this daemon may have run requests that are unknown now.
        if restarted {
            admission.record_memory_loss(clock::now());
        }

        TargetState {
            port: self.port(&notice),
            notice,
            admission,
        }
    }

    /// Makes the port to a target.
    fn port(&self, notice: &TargetNotice) -> Rc<dyn TargetPort> {
        let node = self.options.node.clone();

        Rc::new(HttpTarget::new(
            node,
            notice.service.clone(),
            notice.address,
        ))
    }

    /// Takes in that the target has gone silent. Its work ends by itself at the deadlines.
    pub(super) fn target_silent(&self) {
        if self.target.is_some() {
            warn!(
                event = "target-silent",
                advice = "look whether the target's process runs"
            );
            self.options
                .ownership
                .tell(OwnershipCommand::TargetAnswers(false));
        }
    }

    /// Renews the grants of a target that checks fencing.
    pub(super) fn grant(&self, grants: Vec<TargetGrant>) {
        let Some(target) = &self.target else {
            return;
        };

        if !target.notice.fenced || grants.is_empty() {
            return;
        }

        let port = Rc::clone(&target.port);
        let health = self.grants.clone();
        let ownership = self.options.ownership.clone();

        let renewal = async move {
            let renewed = timeout(GRANT_TIMEOUT, port.grant(grants)).await;
            health.record(clock::now(), matches!(renewed, Ok(Ok(()))));

            if health.is_stuck(clock::now()) {
                ownership.tell(OwnershipCommand::TargetAnswers(false));
            }
        };
        compio::runtime::spawn(renewal).detach();
    }

    /// Tells the ownership task of the load of the slices.
    pub(super) fn measure_load(&mut self) {
        let sample = self.meter.sample(clock::now());
        // Settings that had to wait for running orders are tried again.
        self.config_changed();

        self.options
            .ownership
            .tell(OwnershipCommand::LoadMeasured(sample));
    }

    /// Takes a new configuration over into the admission.
    pub(super) fn config_changed(&mut self) {
        let fleet = self.options.fleet.load();
        let Some(target) = &mut self.target else {
            return;
        };

        if let Some(spec) = fleet.config.service(&target.notice.service) {
            target
                .admission
                .set_options(AdmitOptions::for_service(spec));
        }
    }

    /// Takes nothing new from now on.
    pub(super) fn stop(&mut self) {
        self.stopping = true;

        if self.target.is_none() {
            self.options.done.trigger();
        }

        self.admit(AdmitEvent::Stop);
    }
}
