//! The decision whether a failed attempt is retried.

use crate::budget::{BudgetOptions, RetryBudget};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{
    ids::{ServiceName, TenantName},
    units::LocalMoment,
    verdict::RunVerdict,
};

/// The most budgets held in memory; all further services and tenants share one budget.
const MAX_BUDGETS: usize = 10_000;

/// The most attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// `RetryContext` describes an attempt that ended without a response from a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryContext {
    /// The service that the request addresses.
    pub service: ServiceName,
    /// The tenant of the caller.
    pub tenant: TenantName,
    /// Whether the operation is declared idempotent.
    pub idempotent: bool,
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
    /// The ordinal of the attempt, starting at 1.
    pub attempt: u32,
    /// Whether another node forwarded the request; only that node may retry it.
    pub forwarded: bool,
    /// Whether a node that has not been tried yet can serve the request.
    pub elsewhere: bool,
    /// The moment after which the caller no longer waits for the response.
    pub deadline: LocalMoment,
    /// The usual duration of an attempt; a retry must be able to finish before `deadline`.
    pub expected: Duration,
}

/// `RetryRefusal` is the reason why an attempt is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryRefusal {
    /// The request ran, or it may have run and is not idempotent.
    MayHaveRun,
    /// The request was forwarded; the node that the caller reached decides on retries.
    NotFirstNode,
    /// Another attempt would not finish before the deadline.
    DeadlinePassed,
    /// No untried node can serve the request.
    NowhereElse,
    /// The request has reached the limit of attempts.
    AttemptsUsed,
    /// The retry budget of the service and tenant is empty.
    BudgetUsed,
}

/// `RetryDecision` tells what to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryDecision {
    /// Send the request again.
    Retry {
        /// The ordinal of the next attempt.
        attempt: u32,
    },
    /// Return the outcome of the attempt to the caller.
    GiveUp {
        /// The reason why the attempt is not retried.
        refusal: RetryRefusal,
    },
}

/// `BudgetKey` identifies the retry budget of a service and tenant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct BudgetKey {
    /// The service that requests address.
    service: ServiceName,
    /// The tenant of the callers.
    tenant: TenantName,
}

/// `RetryPolicy` decides on retries. Only the node that the caller reached uses it, so that a
/// retry on one hop never multiplies with retries on the next.
#[derive(Debug, Clone)]
pub struct RetryPolicy {
    /// The settings of each budget.
    options: BudgetOptions,
    /// The budgets by service and tenant, at most [`MAX_BUDGETS`].
    budgets: BTreeMap<BudgetKey, RetryBudget>,
    /// The budget that services and tenants share while `budgets` is full.
    shared: RetryBudget,
}

impl RetryPolicy {
    /// Creates a policy in which every budget starts full.
    pub fn new(options: BudgetOptions) -> Self {
        Self {
            options,
            budgets: BTreeMap::new(),
            shared: RetryBudget::new(options),
        }
    }

    /// Records the first attempt of a request, which adds to the budget.
    pub fn record_first(&mut self, service: &ServiceName, tenant: &TenantName) {
        self.budget(service, tenant).deposit();
    }

    /// Decides whether an attempt is retried, and withdraws the retry from the budget if so.
    pub fn decide(&mut self, now: LocalMoment, context: &RetryContext) -> RetryDecision {
        if let Some(refusal) = find_refusal(now, context) {
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

    /// Returns the budget of a service and tenant, or the shared one if there are too many.
    fn budget(&mut self, service: &ServiceName, tenant: &TenantName) -> &mut RetryBudget {
        let key = BudgetKey {
            service: service.clone(),
            tenant: tenant.clone(),
        };

        if self.budgets.len() >= MAX_BUDGETS && !self.budgets.contains_key(&key) {
            // A full budget equals a new one, so dropping it loses nothing.
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

/// Returns the reason not to retry an attempt, apart from the budget.
fn find_refusal(now: LocalMoment, context: &RetryContext) -> Option<RetryRefusal> {
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

/// Combines the verdict on earlier attempts with that on the last one. The result is `NotRun`
/// only if no attempt may have run.
pub const fn combined_verdict(earlier: Option<RunVerdict>, last: RunVerdict) -> RunVerdict {
    match (earlier, last) {
        (_, RunVerdict::Done) => RunVerdict::Done,
        (None | Some(RunVerdict::NotRun), RunVerdict::NotRun) => RunVerdict::NotRun,
        _ => RunVerdict::Unknown,
    }
}
