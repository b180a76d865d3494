//! The requests that this node refuses because targets crash when they run them.

use std::{cell::RefCell, rc::Rc, sync::Arc};
use tracing::warn;
use wagtail_core::{digest::RequestContent, heartbeat::TargetIncarnation, units::LocalMoment};
use wagtail_gate::{
    crash_report::{CrashReport, CrashedRun, RunSpan},
    quarantine::{QuarantineChange, RequestQuarantine, RequestStanding},
    runs::EndedRun,
};
use wagtail_net::clock;

/// The reason code of a refused request.
pub const QUARANTINED: &str = "request-quarantined";

/// The reason code of a request that may not run beside another one that is suspected as well.
pub const ISOLATED: &str = "request-isolated";

/// Microseconds per millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// `FleetQuarantine` holds the crashes that the nodes have reported. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct FleetQuarantine {
    quarantine: Rc<RefCell<RequestQuarantine>>,
}

impl FleetQuarantine {
    /// Returns the standing of a request.
    pub fn standing(&self, content: &RequestContent) -> RequestStanding {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return RequestStanding::Trusted;
        }

        quarantine.standing(&content.digest(), clock::now())
    }

    /// Records the requests that ran when the target of this node crashed, at `ended_at`.
    pub fn record_crash(
        &self,
        life: &TargetIncarnation,
        ended: &[EndedRun],
        ended_at: LocalMoment,
    ) {
        let (now, now_us) = (clock::now(), clock::unix_micros());
        let unix_us = |at: LocalMoment| {
            let passed_us = u64::try_from(now.since(at).as_micros()).unwrap_or_default();
            now_us.saturating_sub(passed_us)
        };
        let ended_us = unix_us(ended_at);
        let runs: Vec<CrashedRun> = ended
            .iter()
            .map(|run| CrashedRun {
                digest: run.content.digest(),
                span: Some(RunSpan {
                    began_us: unix_us(run.origin.began_at),
                    ended_us,
                }),
                is_repeat: run.origin.is_repeat,
            })
            .collect();

        let changes = self.quarantine.borrow_mut().record_crash(
            life.clone(),
            runs,
            now,
            ended_us / MICROS_PER_MILLI,
        );
        log_changes(changes);
    }

    /// Records that a request has succeeded at the target of this node.
    pub fn record_success(&self, content: &RequestContent) {
        if self.quarantine.borrow().is_empty() {
            return;
        }

        let digest = content.digest();
        let changes = self
            .quarantine
            .borrow_mut()
            .record_success(digest, clock::now());
        log_changes(changes);
    }

    /// Records the latest report of a node. The report of a node that has left is kept, as its target
    /// has crashed all the same.
    pub fn set_report(&self, node: &Arc<str>, report: &CrashReport) {
        let changes = self
            .quarantine
            .borrow_mut()
            .set_report(node, report.clone(), clock::now());
        log_changes(changes);
    }

    /// Returns the report of this node. `stored` is the one that the store holds.
    pub fn own_report(&self, stored: Option<&CrashReport>) -> CrashReport {
        let (now, now_ms) = (clock::now(), clock::unix_millis());

        let (report, changes) = self.quarantine.borrow_mut().own_report(stored, now, now_ms);
        log_changes(changes);
        report
    }
}

/// Logs which requests are refused from now on, or no longer.
fn log_changes(changes: Vec<QuarantineChange>) {
    for change in changes {
        match change {
            QuarantineChange::Refused { digest, lives } => {
                let lives: Vec<String> = lives.iter().map(ToString::to_string).collect();
                warn!(event = "request-quarantined", %digest, lives = lives.join(","));
            }
            QuarantineChange::Served { digest } => {
                warn!(event = "request-released", %digest);
            }
        }
    }
}
