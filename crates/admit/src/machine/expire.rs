//! What time alone brings about.

use crate::{
    machine::AdmitMachine,
    messages::{AdmitAction, AdmitRefusal},
    work::WorkState,
};
use std::time::Duration;
use wagtail_core::{units::LocalMoment, verdict::RunVerdict};

impl AdmitMachine {
    /// Does what is due at a moment.
    pub(super) fn expire(&mut self, now: LocalMoment) {
        self.expire_deadlines(now);
        self.expire_memory(now);
        self.release_abandoned(now);
        self.expire_stop(now);

        if self.stall_moment().is_some_and(|moment| moment <= now) {
            self.stall(now);
        }
    }

    /// Gives up what can no longer be answered in time.
    fn expire_deadlines(&mut self, now: LocalMoment) {
        while let Some((moment, ticket)) = self.give_ups.first().copied()
            && moment <= now
        {
            self.give_ups.pop_first();
            self.give_up(ticket);
        }
    }

    /// Gives one arrival up at its deadline.
    fn give_up(&mut self, ticket: u64) {
        let Some(work) = self.works.get(&ticket) else {
            return;
        };

        match work.state {
            WorkState::Queued => self.end(
                ticket,
                AdmitRefusal::DeadlinePassed,
                RunVerdict::NotRun,
                Duration::ZERO,
            ),
            WorkState::Running(_) => self.close_running(ticket, AdmitRefusal::DeadlinePassed),
            WorkState::Following(of) => self.unfollow(ticket, of),
        }
    }

    /// Gives a repeat up whose own deadline comes before the end of the first.
    fn unfollow(&mut self, ticket: u64, of: u64) {
        self.works.remove(&ticket);
        self.drop_follower(of, ticket);
        self.refuse(
            ticket,
            AdmitRefusal::DeadlinePassed,
            RunVerdict::Unknown,
            Duration::ZERO,
        );
    }

    /// Forgets identifiers whose time is over.
    fn expire_memory(&mut self, now: LocalMoment) {
        for ticket in self.memory.expire(now) {
            self.actions.push(AdmitAction::Forget { ticket });
        }
    }

    /// Frees the slots of abandoned orders that the target must have noticed, and otherwise one
    /// in each probe interval.
    fn release_abandoned(&mut self, now: LocalMoment) {
        while let Some(moment) = self.next_slot_release()
            && moment <= now
        {
            let Some(abandoned) = self.abandoned.pop_front() else {
                break;
            };

            if self.answered.is_none_or(|answered| answered <= abandoned) {
                self.reused = now;
            }
        }
    }

    /// Returns the moment at which the next abandoned slot is freed.
    pub(super) fn next_slot_release(&self) -> Option<LocalMoment> {
        let abandoned = *self.abandoned.front()?;
        let noticed = self.answered.is_some_and(|answered| answered > abandoned);

        if noticed {
            Some(abandoned + self.options.cancel_settle)
        } else {
            Some(abandoned.max(self.reused) + self.options.probe_interval)
        }
    }

    /// Returns the moment at which a silent target counts as stalled.
    pub(super) fn stall_moment(&self) -> Option<LocalMoment> {
        if self.running.is_empty() || self.limit.is_stalled() {
            return None;
        }

        let longest = self
            .running
            .iter()
            .filter_map(|ticket| self.works.get(ticket))
            .map(|work| work.expected)
            .max()?;
        let silence = longest * self.options.stall_factor;

        Some(self.progress + silence.max(self.options.stall_floor))
    }

    /// Gives up all that waits for a target that does not answer.
    fn stall(&mut self, now: LocalMoment) {
        self.limit.record_stall(now);
        self.next_probe = now + self.options.probe_interval;
        self.refuse_queued(AdmitRefusal::TargetStalled, self.options.probe_interval);
    }

    /// Returns whether a stalled target may be tried with one more arrival.
    pub(super) fn may_probe(&self, now: LocalMoment) -> bool {
        let free = self.occupied() < self.options.max_running();

        free && now >= self.next_probe && self.short.is_empty() && self.long.is_empty()
    }

    /// Refuses what still waits when the grace of a stop is over.
    fn expire_stop(&mut self, now: LocalMoment) {
        if self.stop_until.is_some_and(|until| until <= now) {
            self.refuse_queued(AdmitRefusal::Stopping, Duration::ZERO);
        }
    }

    /// Refuses all that waits for a slot.
    pub(super) fn refuse_queued(&mut self, refusal: AdmitRefusal, retry_after: Duration) {
        let queued = self.tickets(|work| work.state == WorkState::Queued);

        for ticket in queued {
            self.end(ticket, refusal, RunVerdict::NotRun, retry_after);
        }
    }
}
