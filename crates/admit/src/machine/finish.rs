//! The ends of arrivals.

use crate::{
    machine::{AbandonedSlot, AdmitMachine},
    messages::{AdmitAction, AdmitRefusal, WorkOutcome},
    work::{WorkEntry, WorkState},
};
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment, verdict::RunVerdict};

/// The times that the target may shed one arrival before it is refused.
const MAX_SHEDS: u32 = 1;

impl AdmitMachine {
    /// Takes in the end of an order at the target.
    pub(super) fn finish(
        &mut self,
        now: LocalMoment,
        ticket: u64,
        outcome: WorkOutcome,
        took: Duration,
    ) {
        // A report that comes twice, or for an arrival that never ran, changes nothing.
        if !self.running.remove(&ticket) {
            return;
        }

        match outcome {
            WorkOutcome::Answered { bytes } => self.finish_answered(now, ticket, bytes, took),
            WorkOutcome::Shed => self.finish_shed(now, ticket),
            WorkOutcome::Draining => self.finish_draining(ticket),
            WorkOutcome::Failed { verdict } => self.finish_failed(now, ticket, verdict),
            WorkOutcome::Abandoned => {
                self.abandoned.push_back(AbandonedSlot {
                    since: now,
                    sign: None,
                });
                self.finish_failed(now, ticket, RunVerdict::Unknown);
            }
        }
    }

    /// Resolves an order that was answered.
    fn finish_answered(&mut self, now: LocalMoment, ticket: u64, bytes: u64, took: Duration) {
        self.progress = now;
        self.limit.record_answer(now);

        let Some(work) = self.take(ticket) else {
            return;
        };

        if let WorkState::Running(since) = work.state {
            self.record_sign(now, since);
        }

        self.estimates
            .record(&work.arrival.operation, work.arrival.class, took);

        if work.class == WorkClass::Short {
            let waiting = !self.short.is_empty();

            self.limit.record_duration(now, took, waiting);
        }

        if !work.closed {
            self.counters.answered += 1;
        }

        self.keep_answer(now, &work, bytes);
    }

    /// Keeps the answer of a non-idempotent order and gives it to the repeats that wait.
    fn keep_answer(&mut self, now: LocalMoment, work: &WorkEntry, bytes: u64) {
        if work.arrival.idempotent {
            return;
        }

        let ticket = work.arrival.ticket;
        let kept = self.memory.resolve_answered(now, &work.arrival, bytes);

        self.actions.push(AdmitAction::Keep { ticket });

        for follower in &work.followers {
            self.replay(*follower, ticket);
        }

        for ticket in kept.dropped {
            self.actions.push(AdmitAction::Forget { ticket });
        }

        if !kept.keep {
            self.actions.push(AdmitAction::Forget { ticket });
        }
    }

    /// Gives a waiting repeat the answer of the first.
    fn replay(&mut self, ticket: u64, of: u64) {
        if let Some(work) = self.works.remove(&ticket) {
            self.give_ups.remove(&(work.give_up, ticket));
            self.counters.replayed += 1;
            self.actions.push(AdmitAction::Replay { ticket, of });
        }
    }

    /// Lets an order wait again that the target refused for want of capacity, once.
    fn finish_shed(&mut self, now: LocalMoment, ticket: u64) {
        self.counters.shed += 1;
        self.limit.record_shed(now);

        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };

        self.give_ups.remove(&(work.give_up, ticket));
        work.sheds += 1;
        work.give_up = work.arrival.deadline - work.expected;

        let again = work.is_wanted() && work.sheds <= MAX_SHEDS && work.give_up > now;
        let class = work.class;
        let arrival = work.arrival.clone();

        if again && self.stop_until.is_none() && !self.leaving {
            self.requeue(ticket);
        } else {
            let retry_after = self.retry_after(&arrival, class);

            self.end(
                ticket,
                AdmitRefusal::TargetShed,
                RunVerdict::NotRun,
                retry_after,
            );
        }
    }

    /// Puts an order that did not run back into its queue.
    fn requeue(&mut self, ticket: u64) {
        let Some(mut work) = self.works.remove(&ticket) else {
            return;
        };

        work.state = WorkState::Queued;
        self.insert(work);
    }

    /// Stops the admission for a target that is leaving.
    fn finish_draining(&mut self, ticket: u64) {
        self.leaving = true;
        self.end(
            ticket,
            AdmitRefusal::TargetDraining,
            RunVerdict::NotRun,
            Duration::ZERO,
        );
        self.refuse_queued(AdmitRefusal::TargetDraining, Duration::ZERO);
    }

    /// Resolves an order without a whole answer.
    fn finish_failed(&mut self, now: LocalMoment, ticket: u64, verdict: RunVerdict) {
        // Without a whole answer here, what ran is as uncertain as what may have run.
        let verdict = match verdict {
            RunVerdict::NotRun => RunVerdict::NotRun,
            RunVerdict::Done | RunVerdict::Unknown => RunVerdict::Unknown,
        };

        if verdict == RunVerdict::Unknown
            && let Some(work) = self.works.get(&ticket)
            && !work.arrival.idempotent
        {
            self.memory.resolve_spent(now, &work.arrival);
        }

        self.end(ticket, AdmitRefusal::TargetFailed, verdict, Duration::ZERO);
    }

    /// Ends an arrival without a target's answer, and its repeats with it.
    pub(super) fn end(
        &mut self,
        ticket: u64,
        refusal: AdmitRefusal,
        verdict: RunVerdict,
        retry_after: Duration,
    ) {
        let Some(work) = self.take(ticket) else {
            return;
        };

        if work.state == WorkState::Queued {
            self.queue(work.class).remove(&work.arrival.tenant, ticket);
        }

        if verdict == RunVerdict::NotRun && !work.arrival.idempotent {
            self.memory.release(&work.arrival);
        }

        if !work.closed {
            self.refuse(ticket, refusal, verdict, retry_after);
        }

        for follower in work.followers {
            if self.take(follower).is_some() {
                self.refuse(follower, refusal, verdict, retry_after);
            }
        }
    }

    /// Gives the final answer to an order that is still at the target, and cancels it there
    /// when nobody else waits for it.
    pub(super) fn close_running(&mut self, ticket: u64, refusal: AdmitRefusal) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };

        if !work.closed {
            work.closed = true;
            self.give_ups.remove(&(work.give_up, ticket));
            self.refuse(ticket, refusal, RunVerdict::Unknown, Duration::ZERO);
        }

        self.cancel_unwanted(ticket);
    }

    /// Takes in that a caller went away.
    pub(super) fn cancel(&mut self, ticket: u64) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };

        match work.state {
            WorkState::Following(of) => {
                self.take(ticket);
                self.drop_follower(of, ticket);
            }
            WorkState::Queued | WorkState::Running(_) => {
                work.closed = true;
                self.cancel_unwanted(ticket);
            }
        }
    }

    /// Removes a repeat from the request that it waits for.
    pub(super) fn drop_follower(&mut self, of: u64, ticket: u64) {
        if let Some(leader) = self.works.get_mut(&of) {
            leader.followers.retain(|follower| *follower != ticket);
            self.cancel_unwanted(of);
        }
    }

    /// Drops a waiting arrival, or cancels a running order, that nobody waits for.
    fn cancel_unwanted(&mut self, ticket: u64) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };

        if work.is_wanted() {
            return;
        }

        if work.is_running() && !work.cancelled {
            work.cancelled = true;
            self.give_ups.remove(&(work.give_up, ticket));
            self.counters.cancelled += 1;
            self.actions.push(AdmitAction::CancelAtTarget { ticket });
        } else if work.state == WorkState::Queued {
            self.end(
                ticket,
                AdmitRefusal::DeadlinePassed,
                RunVerdict::NotRun,
                Duration::ZERO,
            );
        }
    }

    /// Removes an arrival that is over.
    fn take(&mut self, ticket: u64) -> Option<WorkEntry> {
        let work = self.works.remove(&ticket)?;

        self.give_ups.remove(&(work.give_up, ticket));

        Some(work)
    }

    /// Returns the tickets of the arrivals that match a condition.
    pub(super) fn tickets(&self, matches: impl Fn(&WorkEntry) -> bool) -> Vec<u64> {
        self.works
            .iter()
            .filter(|(_, work)| matches(work))
            .map(|(ticket, _)| *ticket)
            .collect()
    }
}
