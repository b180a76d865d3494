//! Deadlines and other timeouts.

use crate::{
    machine::AdmitMachine,
    messages::{AdmitAction, AdmitRefusal},
    work::WorkState,
};
use std::time::Duration;
use wagtail_core::{units::LocalMoment, verdict::RunVerdict};

impl AdmitMachine {
    /// Handles everything that is due at a moment.
    pub(super) fn expire(&mut self, now: LocalMoment) {
        self.expire_deadlines(now);
        self.expire_memory(now);
        self.release_abandoned(now);
        self.expire_stop(now);

        if self.stall_moment().is_some_and(|moment| moment <= now) {
            self.stall(now);
        }
    }

    /// Expires the arrivals that can no longer get a response in time.
    fn expire_deadlines(&mut self, now: LocalMoment) {
        while let Some((moment, ticket)) = self.expiries.first().copied()
            && moment <= now
        {
            self.expiries.pop_first();
            self.expire_arrival(ticket);
        }
    }

    /// Expires one arrival.
    fn expire_arrival(&mut self, ticket: u64) {
        let Some(work) = self.entries.get(&ticket) else {
            return;
        };

        match work.state {
            WorkState::Queued => self.refuse_with_followers(
                ticket,
                AdmitRefusal::DeadlinePassed,
                RunVerdict::NotRun,
                Duration::ZERO,
            ),
            WorkState::Running(_) => self.close_running(ticket, AdmitRefusal::DeadlinePassed),
            WorkState::Following(of) => self.unfollow(ticket, of),
        }
    }

    /// Refuses a retry whose deadline comes before the end of the request that it follows.
    fn unfollow(&mut self, ticket: u64, of: u64) {
        self.entries.remove(&ticket);
        self.drop_follower(of, ticket);
        self.refuse(
            ticket,
            AdmitRefusal::DeadlinePassed,
            RunVerdict::Unknown,
            Duration::ZERO,
        );
    }

    /// Forgets the identifiers whose retention time is over.
    fn expire_memory(&mut self, now: LocalMoment) {
        for ticket in self.memory.expire(now) {
            self.actions.push(AdmitAction::Forget { ticket });
        }
    }

    /// Frees the slots of abandoned requests whose cancellation the target has noticed by now.
    fn release_abandoned(&mut self, now: LocalMoment) {
        while self.next_slot_release().is_some_and(|moment| moment <= now) {
            self.abandoned.pop_front();
        }
    }

    /// Records that the target was running at or after a moment.
    ///
    /// Evidence that may be older than a cancellation does not count for it: the target may have
    /// frozen in between.
    pub(super) fn record_activity(&mut self, now: LocalMoment, ran_after: LocalMoment) {
        for slot in &mut self.abandoned {
            if slot.first_activity.is_none() && ran_after >= slot.since {
                slot.first_activity = Some(now);
            }
        }
    }

    /// Returns the moment at which the next abandoned slot is freed. Without evidence that the
    /// target runs it is never freed, because the target may still execute the request.
    pub(super) fn next_slot_release(&self) -> Option<LocalMoment> {
        let first_activity = self.abandoned.front()?.first_activity?;

        Some(first_activity + self.options.cancel_settle)
    }

    /// Returns the moment at which the target counts as stalled if it stays silent.
    pub(super) fn stall_moment(&self) -> Option<LocalMoment> {
        if self.running.is_empty() || self.limit.is_stalled() {
            return None;
        }

        let longest = self
            .running
            .iter()
            .filter_map(|ticket| self.entries.get(ticket))
            .map(|work| work.expected)
            .max()?;
        let silence = longest * self.options.stall_factor;

        Some(self.last_progress + silence.max(self.options.stall_floor))
    }

    /// Marks the target as stalled and refuses all queued requests.
    fn stall(&mut self, now: LocalMoment) {
        self.limit.record_stall(now);
        self.next_probe = now + self.options.probe_interval;
        self.refuse_queued(AdmitRefusal::TargetStalled, self.options.probe_interval);
    }

    /// Returns whether a stalled target may be probed with one more arrival.
    pub(super) fn may_probe(&self, now: LocalMoment) -> bool {
        let has_free_slot = self.occupied() < self.options.max_running();

        has_free_slot && now >= self.next_probe && self.short.is_empty() && self.long.is_empty()
    }

    /// Refuses the requests that are still queued when the grace period of a stop is over.
    fn expire_stop(&mut self, now: LocalMoment) {
        if self.stop_until.is_some_and(|until| until <= now) {
            self.refuse_queued(AdmitRefusal::Stopping, Duration::ZERO);
        }
    }

    /// Refuses all queued requests.
    pub(super) fn refuse_queued(&mut self, refusal: AdmitRefusal, retry_after: Duration) {
        let queued = self.tickets(|work| work.state == WorkState::Queued);

        for ticket in queued {
            self.refuse_with_followers(ticket, refusal, RunVerdict::NotRun, retry_after);
        }
    }
}
