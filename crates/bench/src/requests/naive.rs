//! The naive version: first free target, unbounded queue, three blind retries.

use std::{
    collections::{BTreeSet, VecDeque},
    fmt::Debug,
    time::Duration,
};
use wagtail_admit::{AdmitAction, AdmitEvent, AdmitMachine, AdmitRefusal, WorkOutcome};
use wagtail_core::{units::LocalMoment, verdict::RunVerdict};
use wagtail_route::LoadHint;

/// `AdmitPolicy` is what decides beside a target.
pub trait AdmitPolicy: Debug {
    /// Takes in an event and returns what the daemon does next.
    fn handle(&mut self, now: LocalMoment, event: AdmitEvent) -> Vec<AdmitAction>;

    /// Returns the moment at which the policy wants a tick.
    fn next_wakeup(&self) -> Option<LocalMoment>;

    /// Returns the load that goes along with an answer, if any.
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

/// `NaiveQueue` lets everything wait, first come, first served. It knows the slots, and nothing
/// of deadlines, tenants, classes or identifiers.
#[derive(Debug)]
pub struct NaiveQueue {
    /// The slots of the target.
    slots: usize,
    /// The waiting tickets.
    queue: VecDeque<u64>,
    /// The tickets at the target.
    running: BTreeSet<u64>,
}

impl NaiveQueue {
    /// Makes the queue of an idle target.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            queue: VecDeque::new(),
            running: BTreeSet::new(),
        }
    }

    /// Returns the refusal of a ticket whose order failed.
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
