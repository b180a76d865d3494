//! The fake target with its log.

use std::collections::BTreeSet;
use wagtail_core::units::LocalMoment;

/// `RunRecord` is one execution in a target's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunRecord {
    /// The call that was run.
    pub call: usize,
    /// The attempt whose order it was.
    pub attempt: usize,
    /// The start.
    pub started: LocalMoment,
    /// The end, once known.
    pub ended: Option<LocalMoment>,
    /// Whether the order was cancelled before the end.
    pub cancelled: bool,
}

/// `FakeTarget` runs orders and logs them. It never checks anything itself.
#[derive(Debug, Clone, Default)]
pub struct FakeTarget {
    /// The attempts that hold a slot.
    running: BTreeSet<usize>,
    /// The connections that are open and idle.
    pub idle_connections: u32,
    /// The connections that are open.
    pub connections: u32,
}

impl FakeTarget {
    /// Starts an order and returns the slots in use after it.
    pub fn start(&mut self, attempt: usize) -> usize {
        self.running.insert(attempt);

        self.running.len()
    }

    /// Ends an order and returns whether it held a slot.
    pub fn end(&mut self, attempt: usize) -> bool {
        self.running.remove(&attempt)
    }

    /// Takes a connection and returns whether it must be opened first.
    pub fn connect(&mut self) -> bool {
        if self.idle_connections > 0 {
            self.idle_connections -= 1;

            return false;
        }

        self.connections += 1;

        true
    }

    /// Gives a connection back, or closes it.
    pub fn release(&mut self, close: bool) {
        if close {
            self.connections -= 1;
        } else {
            self.idle_connections += 1;
        }
    }
}
