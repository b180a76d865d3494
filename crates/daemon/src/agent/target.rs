//! Handling of announcements, grants and settings of the daemon's target.

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

/// The timeout of a renewal of the grants at the target.
const GRANT_TIMEOUT: Duration = Duration::from_millis(800);

/// The time without a confirmed renewal after which a target counts as frozen. Together with a
/// lease term and a handover it stays within the time in which a key must be served again.
const GRANT_SILENCE: Duration = Duration::from_secs(1);

/// `GrantHealth` tracks whether a target that checks fencing tokens confirms the renewals of its
/// grants.
#[derive(Debug, Clone, Default)]
pub(super) struct GrantHealth {
    /// The start of the first failed renewal since the last confirmed one; `None` while renewals
    /// succeed. The start is taken as the end minus the timeout.
    failing_since: Rc<Cell<Option<LocalMoment>>>,
}

impl GrantHealth {
    /// Records the end of a renewal.
    fn record(&self, now: LocalMoment, answered: bool) {
        let since = self.failing_since.get();
        let begun = now - GRANT_TIMEOUT;

        self.failing_since
            .set((!answered).then(|| since.unwrap_or(begun)));
    }

    /// Returns whether renewals have failed for at least [`GRANT_SILENCE`].
    fn is_stuck(&self, now: LocalMoment) -> bool {
        self.failing_since
            .get()
            .is_some_and(|since| now.since(since) >= GRANT_SILENCE)
    }
}

impl AgentTask {
    /// Handles an announcement by a new, a known, a restarted or a leaving target.
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

        // An announcement does not say how many requests run; it only shows that the target is up.
        self.admit(AdmitEvent::TargetReport { running: 0 });
        self.tell_answering();
    }

    /// Handles an announcement by the known target. Its requests stay remembered, even when it was
    /// restarted at another address.
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

    /// Notifies the ownership task that the target responds, unless the renewals of its grants
    /// fail.
    fn tell_answering(&self) {
        if self.served.is_empty() || !self.grants.is_stuck(clock::now()) {
            self.options
                .ownership
                .tell(OwnershipCommand::TargetAnswers(true));
        }
    }

    /// Creates the state of a target that announced itself for the first time.
    fn target_state(
        &self,
        notice: TargetNotice,
        spec: &ServiceSpec,
        restarted: bool,
    ) -> TargetState {
        let options = AdmitOptions::for_service(spec);
        let mut admission = AdmitMachine::new(options, self.options.seed);

        // A previous incarnation of this daemon may have run requests that are unknown now.
        if restarted {
            admission.record_memory_loss(clock::now());
        }

        TargetState {
            port: self.port(&notice),
            notice,
            admission,
        }
    }

    /// Creates the port to a target.
    fn port(&self, notice: &TargetNotice) -> Rc<dyn TargetPort> {
        let node = self.options.node.clone();

        Rc::new(HttpTarget::new(
            node,
            notice.service.clone(),
            notice.address,
        ))
    }

    /// Notifies the ownership task that the target no longer announces itself. The requests at the
    /// target end by themselves at their deadlines.
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

    /// Renews the grants of a target that checks fencing tokens, in the background.
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

    /// Reports the load of the slices to the ownership task.
    pub(super) fn measure_load(&mut self) {
        let sample = self.meter.sample(clock::now());
        // Retries settings that could not be applied while requests were running.
        self.config_changed();

        self.options
            .ownership
            .tell(OwnershipCommand::LoadMeasured(sample));
    }

    /// Applies the current configuration to the admission.
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

    /// Stops accepting new requests.
    pub(super) fn stop(&mut self) {
        self.stopping = true;

        if self.target.is_none() {
            self.options.done.trigger();
        }

        self.admit(AdmitEvent::Stop);
    }
}
