//! The target beside the daemon.

use crate::{
    agent::{
        command::TargetNotice,
        task::{AgentTask, TargetState},
    },
    ownership::OwnershipCommand,
};
use std::rc::Rc;
use tracing::{info, warn};
use wagtail_admit::{AdmitEvent, AdmitMachine, AdmitOptions};
use wagtail_core::{ports::TargetGrant, service::ServiceSpec};
use wagtail_net::clock;
use wagtail_target::HttpTarget;

impl AgentTask {
    /// Takes an announcement in: a new target, a restarted one, or one that leaves.
    pub(super) fn announced(&mut self, notice: TargetNotice) {
        let fleet = self.options.fleet.load();
        let Some(spec) = fleet.config.service(&notice.service) else {
            return;
        };

        self.options
            .ownership
            .tell(OwnershipCommand::TargetAnswers(true));

        match &mut self.target {
            Some(target) if target.notice.address == notice.address => {
                let restarted = target.notice.started_ms != notice.started_ms;
                let leaves = notice.draining && !target.notice.draining;
                target.notice = notice;

                if restarted {
                    info!(event = "target-restarted");
                    self.admit(AdmitEvent::TargetStarted);
                }
                if leaves {
                    info!(event = "target-leaves");
                }
            }
            _ => {
                info!(event = "target-announced", service = %notice.service, address = %notice.address);
                self.target = Some(self.target_state(notice, spec));
                self.admit(AdmitEvent::TargetStarted);
                for slice in self.served.clone() {
                    self.admit(AdmitEvent::SliceGained { slice });
                }
            }
        }
    }

    /// Makes the state of a target that announced itself for the first time.
    pub(super) fn target_state(&self, notice: TargetNotice, spec: &ServiceSpec) -> TargetState {
        let port = HttpTarget::new(
            self.options.node.clone(),
            notice.service.clone(),
            notice.address,
        );
        let options = AdmitOptions::for_service(spec);
        let admission = AdmitMachine::new(options, self.options.seed);

        TargetState {
            notice,
            port: Rc::new(port),
            admission,
        }
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
        let renewal = async move {
            if let Err(error) = port.grant(grants).await {
                warn!(event = "grant-failed", %error);
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
            self.options.done.give();
        }

        self.admit(AdmitEvent::Stop);
    }
}
