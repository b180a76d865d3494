//! The invariants, counted as they are checked.

use std::{collections::BTreeMap, fmt};

/// `InvariantName` names what must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum InvariantName {
    /// Each request gets exactly one final answer.
    OneAnswer,
    /// Each answer is that of its own request, and whole.
    OwnAnswer,
    /// Nothing non-idempotent is run twice.
    AtMostOnce,
    /// What was refused as not run is absent from the target's log.
    NotRunIsTrue,
    /// The slots and connections of a target are never exceeded.
    WithinSlots,
    /// No answer comes later than the deadline and the stated bound.
    WithinDeadline,
    /// What was given up is answered at that instant.
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
    /// The times that it was checked.
    pub checked: u64,
    /// The times that it did not hold.
    pub broken: u64,
}

/// `InvariantChecks` counts the checks of all invariants.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InvariantChecks {
    /// The counts.
    counts: BTreeMap<InvariantName, InvariantCount>,
}

impl InvariantChecks {
    /// Checks that an invariant holds.
    pub fn check(&mut self, name: InvariantName, holds: bool) {
        let count = self.counts.entry(name).or_default();

        count.checked += 1;
        count.broken += u64::from(!holds);
    }

    /// Returns the counts of an invariant.
    pub fn count(&self, name: InvariantName) -> InvariantCount {
        self.counts.get(&name).copied().unwrap_or_default()
    }

    /// Returns the times that any invariant did not hold.
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
