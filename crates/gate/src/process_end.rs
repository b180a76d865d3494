//! Whether the process of a target has ended, or only refuses connections.
//!
//! Pattern: a full target refuses connections while it works on what it has accepted, and its grants stay valid
//! meanwhile. Its node is its only caller, so it knows every request that the target may still be working on. With no
//! more of them than slots no request waits at the target, and a refusal means that nobody listens.

use std::{collections::HashMap, time::Duration};
use wagtail_core::units::LocalMoment;

/// `EndOptions` holds the times after which evidence counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndOptions {
    /// For how long connections must be refused without a sign of life.
    pub confirmation: Duration,
    /// For how long a target may go on with a request after its deadline.
    pub overrun: Duration,
}

impl Default for EndOptions {
    fn default() -> Self {
        Self {
            confirmation: Duration::from_millis(60),
            overrun: Duration::from_secs(1),
        }
    }
}

/// `ProcessState` is what the evidence says about the process of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// Connections are not known to be refused, or not for long enough.
    Reachable,
    /// Connections are refused, but the process may still run.
    Refusing,
    /// The process has certainly ended.
    Ended,
}

/// `ProcessEvidence` is what a node sees of its target's process at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessEvidence {
    /// The number of connections to the target that neither side has closed.
    pub open_connections: usize,
    /// The number of requests that the target runs concurrently, as it states.
    pub slots: u32,
    /// The longest time that a request may take.
    pub max_request_time: Duration,
}

/// `EndDetector` collects the evidence on the process of one target.
#[derive(Debug)]
pub struct EndDetector {
    options: EndOptions,
    /// The start of this process. Requests of the previous one may still run at the target.
    started_at: LocalMoment,
    /// Whether the target may have got requests from the previous process.
    may_inherit: bool,
    has_target: bool,
    /// The requests that the target may be working on, by ticket, with the moment from which it no longer does.
    unfinished: HashMap<u64, LocalMoment>,
    /// Since when connections are refused without a sign of life.
    refused_since: Option<LocalMoment>,
    last_refusal: LocalMoment,
    /// The first failure after the last heartbeat that a refusal followed, or has yet to follow, whether or not
    /// connections were accepted since.
    suspected_at: Option<LocalMoment>,
}

impl EndDetector {
    /// Creates a detector in a process that started at `started_at`.
    pub fn new(options: EndOptions, started_at: LocalMoment) -> Self {
        Self {
            options,
            started_at,
            may_inherit: true,
            has_target: false,
            unfinished: HashMap::new(),
            refused_since: None,
            last_refusal: started_at,
            suspected_at: None,
        }
    }

    /// Starts over with an incarnation of the target. Only the first one may have got requests from the previous
    /// process of this node.
    pub fn begin_incarnation(&mut self) {
        self.may_inherit &= !self.has_target;
        self.has_target = true;
        self.unfinished.clear();
        self.refused_since = None;
        self.suspected_at = None;
    }

    /// Records that a request with a deadline is sent to the target.
    pub fn begin(&mut self, ticket: u64, deadline: LocalMoment, now: LocalMoment) {
        self.unfinished.retain(|_, until| now < *until);
        self.unfinished
            .insert(ticket, deadline + self.options.overrun);
    }

    /// Records that the target does not work on a request any more.
    pub fn settle(&mut self, ticket: u64) {
        self.unfinished.remove(&ticket);
    }

    /// Records that a connection broke off or was refused, which may be the end of the process.
    pub fn connection_failed(&mut self, now: LocalMoment) {
        self.suspected_at.get_or_insert(now);
    }

    /// Records that the target has refused a connection.
    pub fn connection_refused(&mut self, now: LocalMoment) {
        self.refused_since.get_or_insert(now);
        self.suspected_at.get_or_insert(now);
        self.last_refusal = now;
    }

    /// Records that the target did not refuse a connection.
    pub fn connection_accepted(&mut self) {
        if self.refused_since.take().is_none() {
            self.suspected_at = None;
        }
    }

    /// Records a heartbeat. Only refusals after it count.
    pub fn heard(&mut self, now: LocalMoment) {
        self.refused_since = self.refused_since.map(|_| now);
        self.suspected_at = None;
    }

    /// Returns the number of requests that the target may be working on.
    pub fn unfinished(&self, now: LocalMoment) -> usize {
        self.unfinished
            .values()
            .filter(|until| now < **until)
            .count()
    }

    /// Returns the moment at which the process may have ended, or `None` without a sign of that.
    pub fn suspected_at(&self) -> Option<LocalMoment> {
        self.suspected_at
    }

    /// Returns whether connections are refused for long enough not to be tried for each request.
    pub fn is_refusing(&self) -> bool {
        self.refused_since
            .is_some_and(|since| self.last_refusal.since(since) >= self.options.confirmation)
    }

    /// Returns what the evidence says about the process.
    pub fn state(&self, evidence: ProcessEvidence, now: LocalMoment) -> ProcessState {
        if !self.is_refusing() {
            return ProcessState::Reachable;
        }
        let inherited_until = self.started_at + evidence.max_request_time + self.options.overrun;
        let knows_requests = !self.may_inherit || now >= inherited_until;
        let slots = usize::try_from(evidence.slots).unwrap_or(usize::MAX);
        let may_queue = self.unfinished(now) > slots;

        if evidence.open_connections == 0 && knows_requests && !may_queue {
            ProcessState::Ended
        } else {
            ProcessState::Refusing
        }
    }
}
