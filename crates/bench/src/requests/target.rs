//! A simulated target and the record of its executions.

use std::collections::BTreeSet;
use wagtail_core::units::LocalMoment;

/// `RunRecord` is one execution in the log of the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunRecord {
    /// The index of the call that was run.
    pub call: usize,
    /// The index of the attempt that dispatched it.
    pub attempt: usize,
    /// The moment at which the execution began.
    pub started: LocalMoment,
    /// The moment at which the execution ended, if it has.
    pub ended: Option<LocalMoment>,
    /// Whether the request was cancelled before it ended.
    pub cancelled: bool,
}

/// `FakeTarget` counts its running requests and its connections. It enforces no limits; the
/// invariants check them.
#[derive(Debug, Clone, Default)]
pub struct FakeTarget {
    /// The attempts whose requests hold a slot.
    running: BTreeSet<usize>,
    /// The connections that are open and idle.
    pub idle_connections: u32,
    /// The connections that are open.
    pub connections: u32,
}

impl FakeTarget {
    /// Starts a request and returns the number of slots in use afterwards.
    pub fn start(&mut self, attempt: usize) -> usize {
        self.running.insert(attempt);

        self.running.len()
    }

    /// Ends a request and returns whether it held a slot.
    pub fn end(&mut self, attempt: usize) -> bool {
        self.running.remove(&attempt)
    }

    /// Takes an idle connection or opens one, and returns whether it was opened.
    pub fn connect(&mut self) -> bool {
        if self.idle_connections > 0 {
            self.idle_connections -= 1;

            return false;
        }

        self.connections += 1;

        true
    }

    /// Returns a connection to the idle ones, or closes it.
    pub fn release(&mut self, close: bool) {
        if close {
            self.connections -= 1;
        } else {
            self.idle_connections += 1;
        }
    }
}
