//! Counters of the checked and violated invariants.

use std::{collections::BTreeMap, fmt};

/// `InvariantName` names a property that must always hold; reports print the variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum InvariantName {
    /// Each request gets exactly one final response.
    OneAnswer,
    /// Each response belongs to its own request and is complete.
    OwnAnswer,
    /// No non-idempotent request runs twice.
    AtMostOnce,
    /// A request that was refused as not run is absent from the log of the targets.
    NotRunIsTrue,
    /// The slots and connections of a target are never exceeded.
    WithinSlots,
    /// No response arrives later than the deadline plus [`super::world::RESPONSE_BOUND`].
    WithinDeadline,
    /// A request that finds no queue space is refused on arrival, and no request waits for a
    /// response after its deadline.
    GivenUpAtOnce,
}

impl InvariantName {
    /// All invariants.
    pub const ALL: [Self; 7] = [
        Self::OneAnswer,
        Self::OwnAnswer,
        Self::AtMostOnce,
        Self::NotRunIsTrue,
        Self::WithinSlots,
        Self::WithinDeadline,
        Self::GivenUpAtOnce,
    ];
}

/// `InvariantCount` counts the checks of one invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct InvariantCount {
    /// The number of checks.
    pub checked: u64,
    /// The number of checks that failed.
    pub broken: u64,
}

/// `InvariantChecks` counts the checks of all invariants.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InvariantChecks {
    /// The counts by invariant.
    counts: BTreeMap<InvariantName, InvariantCount>,
}

impl InvariantChecks {
    /// Records a check of an invariant and whether it held.
    pub fn check(&mut self, name: InvariantName, holds: bool) {
        let count = self.counts.entry(name).or_default();

        count.checked += 1;
        count.broken += u64::from(!holds);
    }

    /// Returns the counts of an invariant.
    pub fn count(&self, name: InvariantName) -> InvariantCount {
        self.counts.get(&name).copied().unwrap_or_default()
    }

    /// Returns the number of failed checks over all invariants.
    pub fn broken(&self) -> u64 {
        self.counts.values().map(|count| count.broken).sum()
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        for (name, count) in &other.counts {
            let own = self.counts.entry(*name).or_default();

            own.checked += count.checked;
            own.broken += count.broken;
        }
    }
}

impl fmt::Display for InvariantChecks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for name in InvariantName::ALL {
            let count = self.count(name);

            write!(f, "{name:?}={}/{} ", count.broken, count.checked)?;
        }

        Ok(())
    }
}
