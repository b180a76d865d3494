//! The naive version of the admission: an unbounded queue without deadlines.

use std::{
    collections::{BTreeSet, VecDeque},
    fmt::Debug,
    time::Duration,
};
use wagtail_admit::{AdmitAction, AdmitEvent, AdmitMachine, AdmitRefusal, WorkOutcome};
use wagtail_core::{units::LocalMoment, verdict::RunVerdict};
use wagtail_route::LoadHint;

/// `AdmitPolicy` makes the admission decisions for one target.
pub trait AdmitPolicy: Debug {
    /// Handles an event and returns the actions of the daemon.
    fn handle(&mut self, now: LocalMoment, event: AdmitEvent) -> Vec<AdmitAction>;

    /// Returns the moment at which the policy wants a tick.
    fn next_wakeup(&self) -> Option<LocalMoment>;

    /// Returns the load hint that is attached to a response, if any.
    fn load(&self) -> Option<LoadHint>;
}

impl AdmitPolicy for AdmitMachine {
    fn handle(&mut self, now: LocalMoment, event: AdmitEvent) -> Vec<AdmitAction> {
        AdmitMachine::handle(self, now, event)
    }

    fn next_wakeup(&self) -> Option<LocalMoment> {
        AdmitMachine::next_wakeup(self)
    }

    fn load(&self) -> Option<LoadHint> {
        let summary = self.summary();
        let waiting = summary.queued_short + summary.queued_long;

        Some(LoadHint {
            load: u32::try_from(waiting).unwrap_or(u32::MAX) + summary.running,
            limit: summary.limit,
        })
    }
}

/// `NaiveQueue` queues every request, first in, first out. It respects the slots, but ignores
/// deadlines, tenants, work classes and request identifiers.
#[derive(Debug)]
pub struct NaiveQueue {
    /// The number of requests that may run at the target at the same time.
    slots: usize,
    /// The tickets of the requests that wait for a slot, oldest first.
    queue: VecDeque<u64>,
    /// The tickets that the target runs.
    running: BTreeSet<u64>,
}

impl NaiveQueue {
    /// Creates the queue of an idle target.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            queue: VecDeque::new(),
            running: BTreeSet::new(),
        }
    }

    /// Returns the refusal for a request that failed at the target, or `None` when the target
    /// responded.
    fn failure(ticket: u64, outcome: WorkOutcome) -> Option<AdmitAction> {
        let verdict = match outcome {
            WorkOutcome::Answered { .. } => return None,
            WorkOutcome::Shed | WorkOutcome::Draining => RunVerdict::NotRun,
            WorkOutcome::Failed { .. } | WorkOutcome::Abandoned => RunVerdict::Unknown,
        };

        Some(AdmitAction::Refuse {
            ticket,
            refusal: AdmitRefusal::TargetFailed,
            verdict,
            retry_after: Duration::ZERO,
        })
    }
}

impl AdmitPolicy for NaiveQueue {
    fn handle(&mut self, _now: LocalMoment, event: AdmitEvent) -> Vec<AdmitAction> {
        let mut actions = Vec::new();

        match event {
            AdmitEvent::Arrived(arrival) => self.queue.push_back(arrival.ticket),
            AdmitEvent::Finished {
                ticket, outcome, ..
            } if self.running.remove(&ticket) => actions.extend(Self::failure(ticket, outcome)),
            _ => {}
        }

        while self.running.len() < self.slots
            && let Some(ticket) = self.queue.pop_front()
        {
            self.running.insert(ticket);
            actions.push(AdmitAction::Dispatch { ticket });
        }

        actions
    }

    fn next_wakeup(&self) -> Option<LocalMoment> {
        None
    }

    fn load(&self) -> Option<LoadHint> {
        None
    }
}
