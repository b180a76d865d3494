//! The retries that a service and tenant may still cause.

use serde::{Deserialize, Serialize};

/// The units of one retry.
const RETRY_COST: u32 = 100;

/// `BudgetOptions` are the settings of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetOptions {
    /// The retries for each hundred first attempts.
    pub percent: u32,
    /// The retries that can be saved up.
    pub burst: u32,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self {
            percent: 8,
            burst: 10,
        }
    }
}

/// `RetryBudget` is a bucket that each first attempt fills a little and each retry empties by
/// one, so that retries stay a small share of the load whatever fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RetryBudget {
    /// The settings.
    options: BudgetOptions,
    /// The hundredths of a retry that are left.
    left: u32,
}

impl RetryBudget {
    /// Makes a full budget.
    pub fn new(options: BudgetOptions) -> Self {
        Self {
            options,
            left: options.burst * RETRY_COST,
        }
    }

    /// Adds the share of a first attempt.
    pub fn deposit(&mut self) {
        let most = self.options.burst * RETRY_COST;

        self.left = (self.left + self.options.percent).min(most);
    }

    /// Takes one retry and returns whether there was one left.
    pub fn withdraw(&mut self) -> bool {
        let Some(left) = self.left.checked_sub(RETRY_COST) else {
            return false;
        };

        self.left = left;

        true
    }

    /// Returns whether nothing of the budget is in use.
    pub fn is_full(&self) -> bool {
        self.left == self.options.burst * RETRY_COST
    }
}
