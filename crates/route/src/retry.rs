//! Whether a failed attempt may be repeated.

use crate::budget::{BudgetOptions, RetryBudget};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{
    ids::{ServiceName, TenantName},
    units::LocalMoment,
    verdict::RunVerdict,
};

/// The budgets that are held at a time; further tenants share the last one.
const MAX_BUDGETS: usize = 10_000;

/// The attempts that one request may cause, the first included.
const MAX_ATTEMPTS: u32 = 3;

/// `RetryContext` is an attempt that ended without a target's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryContext {
    /// The addressed service.
    pub service: ServiceName,
    /// The tenant of the caller.
    pub tenant: TenantName,
    /// Whether the declared operation is idempotent.
    pub idempotent: bool,
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
    /// The ordinal of the attempt, from 1.
    pub attempt: u32,
    /// Whether the attempt came from another node, which alone may retry it.
    pub forwarded: bool,
    /// Whether a node that was not tried yet may serve the request.
    pub elsewhere: bool,
    /// The moment after which nobody waits for the answer.
    pub deadline: LocalMoment,
    /// The time that an attempt usually takes.
    pub expected: Duration,
}

/// `RetryRefusal` is why an attempt is not repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryRefusal {
    /// The request may have run and is not idempotent, or it ran.
    MayHaveRun,
    /// Another node decides on retries.
    NotFirstNode,
    /// The deadline leaves no time for another attempt.
    DeadlinePassed,
    /// No other node may serve the request.
    NowhereElse,
    /// The request has caused as many attempts as it may.
    AttemptsUsed,
    /// The service and tenant have used up their retries.
    BudgetUsed,
}

/// `RetryDecision` is what follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryDecision {
    /// Send the request once more, with this ordinal.
    Retry {
        /// The ordinal of the next attempt.
        attempt: u32,
    },
    /// Give the caller the outcome of the attempt.
    GiveUp {
        /// The reason.
        refusal: RetryRefusal,
    },
}

/// `BudgetKey` names a budget.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct BudgetKey {
    /// The service.
    service: ServiceName,
    /// The tenant.
    tenant: TenantName,
}

/// `RetryPolicy` decides on retries at the node that the caller reached, and nowhere else, so
/// that retries never cause retries.
#[derive(Debug, Clone)]
pub struct RetryPolicy {
    /// The settings of each budget.
    options: BudgetOptions,
    /// The budgets that were drawn on.
    budgets: BTreeMap<BudgetKey, RetryBudget>,
    /// The budget that further tenants share.
    shared: RetryBudget,
}

impl RetryPolicy {
    /// Makes a policy with full budgets.
    pub fn new(options: BudgetOptions) -> Self {
        Self {
            options,
            budgets: BTreeMap::new(),
            shared: RetryBudget::new(options),
        }
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, service: &ServiceName, tenant: &TenantName) {
        self.budget(service, tenant).deposit();
    }

    /// Decides whether an attempt is repeated, and charges the budget if so.
    pub fn decide(&mut self, now: LocalMoment, context: &RetryContext) -> RetryDecision {
        if let Some(refusal) = check_question(now, context) {
            return RetryDecision::GiveUp { refusal };
        }

        let budget = self.budget(&context.service, &context.tenant);

        if !budget.withdraw() {
            return RetryDecision::GiveUp {
                refusal: RetryRefusal::BudgetUsed,
            };
        }

        RetryDecision::Retry {
            attempt: context.attempt + 1,
        }
    }

    /// Returns the budget of a service and tenant.
    fn budget(&mut self, service: &ServiceName, tenant: &TenantName) -> &mut RetryBudget {
        let key = BudgetKey {
            service: service.clone(),
            tenant: tenant.clone(),
        };

        if self.budgets.len() >= MAX_BUDGETS && !self.budgets.contains_key(&key) {
            // A full budget is the same as none, so nothing is lost with it.
            self.budgets.retain(|_, budget| !budget.is_full());

            if self.budgets.len() >= MAX_BUDGETS {
                return &mut self.shared;
            }
        }

        let options = self.options;

        self.budgets
            .entry(key)
            .or_insert_with(|| RetryBudget::new(options))
    }
}

/// Returns why an attempt may not be repeated, whatever the budget.
fn check_question(now: LocalMoment, context: &RetryContext) -> Option<RetryRefusal> {
    if !context.verdict.allows_retry(context.idempotent) {
        Some(RetryRefusal::MayHaveRun)
    } else if context.forwarded {
        Some(RetryRefusal::NotFirstNode)
    } else if context.deadline <= now + context.expected {
        Some(RetryRefusal::DeadlinePassed)
    } else if !context.elsewhere {
        Some(RetryRefusal::NowhereElse)
    } else if context.attempt >= MAX_ATTEMPTS {
        Some(RetryRefusal::AttemptsUsed)
    } else {
        None
    }
}

/// Returns the verdict on a request after one more attempt: it is "not run" only when no
/// attempt may have run.
pub const fn combined_verdict(earlier: Option<RunVerdict>, last: RunVerdict) -> RunVerdict {
    match (earlier, last) {
        (_, RunVerdict::Done) => RunVerdict::Done,
        (None | Some(RunVerdict::NotRun), RunVerdict::NotRun) => RunVerdict::NotRun,
        _ => RunVerdict::Unknown,
    }
}
