//! The admission of new arrivals.

use crate::{
    machine::AdmitMachine,
    memory::MemoryVerdict,
    messages::{AdmitAction, AdmitRefusal, WorkArrival},
    work::WorkEntry,
};
use rand::Rng;
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment, verdict::RunVerdict};

/// The percentage by which a retry time is extended at most, so that retries spread out.
const RETRY_SPREAD_PERCENT: u32 = 25;

impl AdmitMachine {
    /// Queues an arrival, attaches it to an earlier request with the same identifier, or refuses
    /// it.
    pub(super) fn arrive(&mut self, now: LocalMoment, arrival: WorkArrival) {
        self.counters.arrived += 1;

        let verdict = self.check_memory(now, &arrival);

        match verdict {
            MemoryVerdict::Follow(of) => self.follow(arrival, of),
            MemoryVerdict::Replay(of) => {
                self.counters.replayed += 1;
                self.actions.push(AdmitAction::Replay {
                    ticket: arrival.ticket,
                    of,
                });
            }
            // The refusal says whether the earlier request with this identifier may have run.
            MemoryVerdict::Refuse(refusal) => {
                let verdict = refusal_verdict(refusal);

                self.refuse(arrival.ticket, refusal, verdict, Duration::ZERO);
            }
            MemoryVerdict::Fresh => self.admit(now, arrival),
        }
    }

    /// Checks an arrival against the memory. The memory is asked before the ownership of the slice:
    /// a request that may have run here must never be reported as not run.
    fn check_memory(&self, now: LocalMoment, arrival: &WorkArrival) -> MemoryVerdict {
        let halted = arrival
            .slice
            .is_some_and(|slice| self.halted.contains_key(&slice));

        let recalled = if arrival.idempotent {
            MemoryVerdict::Fresh
        } else {
            self.memory.check(now, arrival)
        };

        if recalled == MemoryVerdict::Fresh && halted {
            MemoryVerdict::Refuse(AdmitRefusal::NotOwner)
        } else {
            recalled
        }
    }

    /// Queues a request that was not seen before, or refuses it.
    fn admit(&mut self, now: LocalMoment, arrival: WorkArrival) {
        let class = self
            .estimates
            .effective_class(&arrival.operation, arrival.class);

        if class == WorkClass::Short {
            self.record_offered_load(now, &arrival);
        }

        if let Some(refusal) = self.entry_refusal(now, &arrival, class) {
            let retry_after = self.retry_after(&arrival, class);

            self.refuse(arrival.ticket, refusal, RunVerdict::NotRun, retry_after);

            return;
        }

        self.enqueue(now, arrival, class);
    }

    /// Returns the reason why an arrival may not be queued, if there is one.
    fn entry_refusal(
        &self,
        now: LocalMoment,
        arrival: &WorkArrival,
        class: WorkClass,
    ) -> Option<AdmitRefusal> {
        let upper_estimate = self.estimates.upper_estimate(&arrival.operation, class);

        if self.stop_until.is_some() {
            return Some(AdmitRefusal::Stopping);
        }

        if self.leaving {
            return Some(AdmitRefusal::TargetDraining);
        }

        if now + upper_estimate > arrival.deadline {
            return Some(AdmitRefusal::DeadlinePassed);
        }

        if self.limit.is_stalled() && !self.may_probe(now) {
            return Some(AdmitRefusal::TargetStalled);
        }

        self.queue_refusal(now, arrival, class, upper_estimate)
    }

    /// Returns the reason why the queue takes no further arrival, if there is one.
    fn queue_refusal(
        &self,
        now: LocalMoment,
        arrival: &WorkArrival,
        class: WorkClass,
        upper_estimate: Duration,
    ) -> Option<AdmitRefusal> {
        let wait = self.predicted_wait(arrival, class);
        let time_left = arrival.deadline.since(now).saturating_sub(upper_estimate);
        let allowed = if self.is_light_tenant(arrival, class) {
            time_left
        } else {
            time_left.min(self.longest_wait(now, class))
        };
        let full = self.short.len() + self.long.len() >= self.options.max_queued;

        if wait <= allowed && !full {
            return None;
        }

        let queue = match class {
            WorkClass::Short => &self.short,
            WorkClass::Long => &self.long,
        };

        if queue.is_over_share(&arrival.tenant) {
            Some(AdmitRefusal::TenantOverShare)
        } else if wait > time_left {
            Some(AdmitRefusal::DeadlinePassed)
        } else {
            Some(AdmitRefusal::QueueFull)
        }
    }

    /// Returns the time after which a retry is expected to be admitted.
    pub(super) fn retry_after(&mut self, arrival: &WorkArrival, class: WorkClass) -> Duration {
        let wait = if self.limit.is_stalled() {
            self.options.probe_interval
        } else {
            self.predicted_wait(arrival, class)
        };
        let spread = self.rng.random_range(0..=RETRY_SPREAD_PERCENT);

        wait + wait * spread / 100
    }

    /// Puts an admitted arrival into the queue of its class.
    fn enqueue(&mut self, now: LocalMoment, arrival: WorkArrival, class: WorkClass) {
        if self.limit.is_stalled() {
            self.next_probe = now + self.options.probe_interval;
        }

        if !arrival.idempotent {
            self.memory.insert(&arrival);
        }

        let expected = self.estimates.expected(&arrival.operation, class);
        let work = WorkEntry::queued(arrival, class, expected);

        self.insert(work);
    }

    /// Adds an entry that waits for a slot to its queue.
    pub(super) fn insert(&mut self, work: WorkEntry) {
        let ticket = work.arrival.ticket;
        let weight = self.options.weight(&work.arrival.tenant);
        let tenant = work.arrival.tenant.clone();

        self.queue(work.class)
            .push(&tenant, weight, ticket, work.expected);
        self.expiries.insert((work.expires_at, ticket));
        self.entries.insert(ticket, work);
    }

    /// Attaches a retry to the earlier request with the same identifier.
    fn follow(&mut self, arrival: WorkArrival, of: u64) {
        let ticket = arrival.ticket;
        let Some(leader) = self.entries.get_mut(&of) else {
            self.refuse(
                ticket,
                AdmitRefusal::Duplicate,
                RunVerdict::Unknown,
                Duration::ZERO,
            );

            return;
        };

        leader.followers.push(ticket);

        let work = WorkEntry::following(arrival, of);

        self.expiries.insert((work.expires_at, ticket));
        self.entries.insert(ticket, work);
    }

    /// Records the refusal of an arrival as its final response.
    pub(super) fn refuse(
        &mut self,
        ticket: u64,
        refusal: AdmitRefusal,
        verdict: RunVerdict,
        retry_after: Duration,
    ) {
        self.counters.refused += 1;
        self.actions.push(AdmitAction::Refuse {
            ticket,
            refusal,
            verdict,
            retry_after,
        });
    }
}

/// Returns whether a request that the memory refuses may have run. It may have if the identifier
/// was seen before, or if it is too old to tell.
fn refusal_verdict(refusal: AdmitRefusal) -> RunVerdict {
    match refusal {
        AdmitRefusal::Duplicate | AdmitRefusal::IdentifierTooOld => RunVerdict::Unknown,
        _ => RunVerdict::NotRun,
    }
}
