//! Whether a request is retried, and what its caller is told when it is given up.

use super::{ForwardJob, ForwardOutcome, RequestForwarder, job::ForwardAttempts};
use crate::{
    evacuations::{ALL_EVACUATED_RETRY_AFTER_MS, ZONE_EVACUATED},
    messages::{NotRunFields, PauseKind},
};
use rand::Rng;
use std::{sync::Arc, time::Duration};
use wagtail_gate::quarantine::RequestStanding;
use wagtail_net::clock;
use wagtail_route::{
    BudgetOptions, RetryBudget,
    pick::LoadReport,
    returns::{RefusedRequest, ReturnOptions},
};

/// The fraction of the fleet's retry budget that the forwarders of the nodes may use. The rest is
/// left for the further calls that retried work makes.
const FORWARDER_RETRY_SHARE: f32 = 0.5;

/// The delay that a refused caller is asked for when no target is known or reachable, in
/// milliseconds.
const NO_TARGET_RETRY_AFTER_MS: u32 = 400;

impl RequestForwarder {
    /// Returns whether a request that reached a target may be retried, and takes the retry out of
    /// the budget if so.
    pub(super) fn may_retry(&self, job: &ForwardJob, attempts: &ForwardAttempts) -> bool {
        let cannot_have_run = !attempts.record.may_have_run();
        // A retry could end a second target within one request.
        let content = job.dispatch_head.content(job.body.clone());
        if !cannot_have_run && self.view.quarantine().standing(&content) > RequestStanding::Trusted
        {
            return false;
        }

        (cannot_have_run || job.route.kind.is_idempotent())
            && attempts.record.at_targets() < job.route.max_attempts
            && self.with_budget(&job.dispatch_head.service, RetryBudget::withdraw)
    }

    /// Returns the outcome of a request that is given up.
    pub(super) fn give_up(&self, job: &ForwardJob, attempts: ForwardAttempts) -> ForwardOutcome {
        if let Some(reason) = attempts.record.failure() {
            return ForwardOutcome::Failed { reason };
        }

        let default_reason = if job.keyed {
            "holder-unreachable"
        } else {
            "no-target"
        };
        let has_target_refusal = attempts
            .refusal
            .as_ref()
            .is_some_and(|refusal| &*refusal.reason != ZONE_EVACUATED);
        if !has_target_refusal && self.is_service_evacuated(job, &attempts) {
            return ForwardOutcome::NotRun {
                reason: Arc::from(ZONE_EVACUATED),
                pause: Duration::from_millis(u64::from(ALL_EVACUATED_RETRY_AFTER_MS)),
            };
        }
        let Some(refusal) = attempts.refusal else {
            return ForwardOutcome::NotRun {
                reason: Arc::from(default_reason),
                pause: self.estimated_pause(job, NO_TARGET_RETRY_AFTER_MS, None),
            };
        };
        let stated = Duration::from_millis(refusal.pause_ms.into());
        let pause = match refusal.pause_kind {
            PauseKind::Estimate => self.estimated_pause(job, refusal.pause_ms, refusal.load),
            PauseKind::Minimum => stated.mul_f64(self.random.borrow_mut().random_range(1.0..1.6)),
            PauseKind::Exact => stated,
        };

        ForwardOutcome::NotRun {
            reason: refusal.reason,
            pause,
        }
    }

    /// Returns the pause that a refused caller is asked for, from an estimate of the wait and the load of
    /// the target that refused the request.
    pub(super) fn estimated_pause(
        &self,
        job: &ForwardJob,
        wait_ms: u32,
        load: Option<LoadReport>,
    ) -> Duration {
        let options = ReturnOptions::default();
        let drawn = self.random.borrow_mut().random_range(0.0..1.0);
        let expected_wait = Duration::from_millis(wait_ms.into());
        // Without a load, it is not an overload that has to pass.
        let Some(load) = load else {
            return options.spread(expected_wait, drawn);
        };

        let now = clock::now();
        let spent = job.waited + now.since(job.started_at);
        let refused = RefusedRequest {
            expected_wait,
            service_time: Duration::from_secs_f32(load.service_ms.max(0.0) / 1_000.0),
            objective_left: job.route.objective.saturating_sub(spent),
            time_left: job.caller_deadline.since(now),
        };

        refused.pause(&options, drawn)
    }

    /// Calls a function with the retry budget of a service, which is created on first use.
    pub(super) fn with_budget<T>(
        &self,
        service: &Arc<str>,
        use_budget: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| RetryBudget::new(self.budget_options()));

        use_budget(budget)
    }

    /// Returns this node's part of the fleet's retry budget.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the ratio and the slack are small and not negative"
    )]
    pub(super) fn budget_options(&self) -> BudgetOptions {
        let nodes = self.view.nodes().len().max(1) as f32;

        BudgetOptions {
            percent: (self.settings.retry_ratio * 100.0 * FORWARDER_RETRY_SHARE) as u32,
            burst: ((self.settings.retry_slack * FORWARDER_RETRY_SHARE / nodes) as u32).max(1),
        }
    }
}

/// Returns the refusal that is recorded for an unreachable node.
pub(super) fn unreachable_refusal() -> NotRunFields {
    NotRunFields {
        reason: Arc::from("node-unreachable"),
        pause_ms: NO_TARGET_RETRY_AFTER_MS,
        reached_target: false,
        elsewhere: true,
        pause_kind: PauseKind::Estimate,
        holder: None,
        load: None,
    }
}
