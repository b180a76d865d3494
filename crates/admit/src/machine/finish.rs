//! The end of requests: responses, failures and cancellations.

use crate::{
    machine::{AbandonedSlot, AdmitMachine},
    messages::{AdmitAction, AdmitRefusal, WorkOutcome},
    work::{WorkEntry, WorkState},
};
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment, verdict::RunVerdict};

/// How often the target may shed a request before the request is refused.
const MAX_SHEDS: u32 = 1;

impl AdmitMachine {
    /// Handles the end of a request at the target.
    pub(super) fn finish(
        &mut self,
        now: LocalMoment,
        ticket: u64,
        outcome: WorkOutcome,
        took: Duration,
    ) {
        // A duplicate report, or one for a request that is not at the target, changes nothing.
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
                    first_activity: None,
                });
                self.finish_failed(now, ticket, RunVerdict::Unknown);
            }
        }
    }

    /// Completes a request that got its response.
    fn finish_answered(&mut self, now: LocalMoment, ticket: u64, bytes: u64, took: Duration) {
        self.last_progress = now;
        self.limit.record_response(now);

        let Some(work) = self.remove_entry(ticket) else {
            return;
        };

        if let WorkState::Running(since) = work.state {
            self.record_activity(now, since);
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

        self.keep_response(now, &work, bytes);
    }

    /// Keeps the response of a non-idempotent request and replays it to the retries that wait.
    fn keep_response(&mut self, now: LocalMoment, work: &WorkEntry, bytes: u64) {
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

    /// Replays the response of request `of` to a retry that waits for it.
    fn replay(&mut self, ticket: u64, of: u64) {
        if let Some(work) = self.entries.remove(&ticket) {
            self.expiries.remove(&(work.expires_at, ticket));
            self.counters.replayed += 1;
            self.actions.push(AdmitAction::Replay { ticket, of });
        }
    }

    /// Requeues a request that the target shed, or refuses it if it was shed too often or can no
    /// longer be served.
    fn finish_shed(&mut self, now: LocalMoment, ticket: u64) {
        self.counters.shed += 1;
        self.limit.record_shed(now);

        let Some(work) = self.entries.get_mut(&ticket) else {
            return;
        };

        self.expiries.remove(&(work.expires_at, ticket));
        work.shed_count += 1;
        work.expires_at = work.arrival.deadline - work.expected;

        let can_requeue = work.is_wanted() && work.shed_count <= MAX_SHEDS && work.expires_at > now;
        let class = work.class;
        let arrival = work.arrival.clone();

        if can_requeue && self.stop_until.is_none() && !self.leaving {
            self.requeue(ticket);
        } else {
            let retry_after = self.retry_after(&arrival, class);

            self.refuse_with_followers(
                ticket,
                AdmitRefusal::TargetShed,
                RunVerdict::NotRun,
                retry_after,
            );
        }
    }

    /// Puts a request that did not run back into its queue.
    fn requeue(&mut self, ticket: u64) {
        let Some(mut work) = self.entries.remove(&ticket) else {
            return;
        };

        work.state = WorkState::Queued;
        self.insert(work);
    }

    /// Stops the admission and refuses all queued requests, because the target refused this one as
    /// it is leaving.
    fn finish_draining(&mut self, ticket: u64) {
        self.leaving = true;
        self.refuse_with_followers(
            ticket,
            AdmitRefusal::TargetDraining,
            RunVerdict::NotRun,
            Duration::ZERO,
        );
        self.refuse_queued(AdmitRefusal::TargetDraining, Duration::ZERO);
    }

    /// Refuses a request that ended without a complete response.
    fn finish_failed(&mut self, now: LocalMoment, ticket: u64, verdict: RunVerdict) {
        // Without a complete response, even a request that is known to have run is reported as
        // unknown.
        let verdict = match verdict {
            RunVerdict::NotRun => RunVerdict::NotRun,
            RunVerdict::Done | RunVerdict::Unknown => RunVerdict::Unknown,
        };

        if verdict == RunVerdict::Unknown
            && let Some(work) = self.entries.get(&ticket)
            && !work.arrival.idempotent
        {
            self.memory.resolve_spent(now, &work.arrival);
        }

        self.refuse_with_followers(ticket, AdmitRefusal::TargetFailed, verdict, Duration::ZERO);
    }

    /// Refuses an arrival, and the retries that follow it, without a response of the target.
    pub(super) fn refuse_with_followers(
        &mut self,
        ticket: u64,
        refusal: AdmitRefusal,
        verdict: RunVerdict,
        retry_after: Duration,
    ) {
        let Some(work) = self.remove_entry(ticket) else {
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
            if self.remove_entry(follower).is_some() {
                self.refuse(follower, refusal, verdict, retry_after);
            }
        }
    }

    /// Refuses a request that is still at the target, and cancels it there unless a retry waits for
    /// it.
    pub(super) fn close_running(&mut self, ticket: u64, refusal: AdmitRefusal) {
        let Some(work) = self.entries.get_mut(&ticket) else {
            return;
        };

        if !work.closed {
            work.closed = true;
            self.expiries.remove(&(work.expires_at, ticket));
            self.refuse(ticket, refusal, RunVerdict::Unknown, Duration::ZERO);
        }

        self.cancel_unwanted(ticket);
    }

    /// Handles a caller that went away.
    pub(super) fn cancel(&mut self, ticket: u64) {
        let Some(work) = self.entries.get_mut(&ticket) else {
            return;
        };

        match work.state {
            WorkState::Following(of) => {
                self.remove_entry(ticket);
                self.drop_follower(of, ticket);
            }
            WorkState::Queued | WorkState::Running(_) => {
                work.closed = true;
                self.cancel_unwanted(ticket);
            }
        }
    }

    /// Removes a retry from the request that it follows.
    pub(super) fn drop_follower(&mut self, of: u64, ticket: u64) {
        if let Some(leader) = self.entries.get_mut(&of) {
            leader.followers.retain(|follower| *follower != ticket);
            self.cancel_unwanted(of);
        }
    }

    /// Drops a queued request, or cancels one at the target, that no caller waits for any more.
    fn cancel_unwanted(&mut self, ticket: u64) {
        let Some(work) = self.entries.get_mut(&ticket) else {
            return;
        };

        if work.is_wanted() {
            return;
        }

        if work.is_running() && !work.cancelled {
            work.cancelled = true;
            self.expiries.remove(&(work.expires_at, ticket));
            self.counters.cancelled += 1;
            self.actions.push(AdmitAction::CancelAtTarget { ticket });
        } else if work.state == WorkState::Queued {
            self.refuse_with_followers(
                ticket,
                AdmitRefusal::DeadlinePassed,
                RunVerdict::NotRun,
                Duration::ZERO,
            );
        }
    }

    /// Removes the entry of an arrival that has ended.
    fn remove_entry(&mut self, ticket: u64) -> Option<WorkEntry> {
        let work = self.entries.remove(&ticket)?;

        self.expiries.remove(&(work.expires_at, ticket));

        Some(work)
    }

    /// Returns the tickets of the entries that match a condition.
    pub(super) fn tickets(&self, matches: impl Fn(&WorkEntry) -> bool) -> Vec<u64> {
        self.entries
            .iter()
            .filter(|(_, work)| matches(work))
            .map(|(ticket, _)| *ticket)
            .collect()
    }
}
