//! Retry budgets: token buckets that keep retries a small share of the load.

use serde::{Deserialize, Serialize};

/// The budget units of one retry. With 100, a first attempt earns `percent` units.
const UNITS_PER_RETRY: u32 = 100;

/// `BudgetOptions` are the settings of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetOptions {
    /// The retries that 100 first attempts earn.
    pub percent: u32,
    /// The capacity of the budget in retries.
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

/// `RetryBudget` is a token bucket: each first attempt adds a fraction of a retry, and each retry
/// takes one out. Retries so stay a small share of the load whatever fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RetryBudget {
    /// The earning rate and the capacity of the budget.
    options: BudgetOptions,
    /// The balance in hundredths of a retry.
    left: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(options: BudgetOptions) -> Self {
        Self {
            options,
            left: options.burst * UNITS_PER_RETRY,
        }
    }

    /// Adds what one first attempt earns, up to the capacity.
    pub fn deposit(&mut self) {
        let capacity = self.options.burst * UNITS_PER_RETRY;

        self.left = (self.left + self.options.percent).min(capacity);
    }

    /// Takes one retry out. Returns false and takes nothing if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        let Some(left) = self.left.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };

        self.left = left;

        true
    }

    /// Returns whether the budget is at its capacity, as a new one is.
    pub fn is_full(&self) -> bool {
        self.left == self.options.burst * UNITS_PER_RETRY
    }
}
