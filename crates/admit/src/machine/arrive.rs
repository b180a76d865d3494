//! The tests at entry.

use crate::{
    machine::AdmitMachine,
    memory::MemoryVerdict,
    messages::{AdmitAction, AdmitRefusal, WorkArrival},
    work::WorkEntry,
};
use rand::Rng;
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment, verdict::RunVerdict};

/// The part of a retry time, in percent, by which it is spread.
const RETRY_SPREAD_PERCENT: u32 = 25;

/// The multiple of the class mean up to which a standing queue may always wait.
const STANDING_MEANS: u32 = 2;

/// The waiting arrivals up to which a tenant counts as modest.
const MODEST_WAITING: usize = 8;

/// The multiple of a standing queue up to which modest tenants may fill it.
const MODEST_BACKLOGS: u32 = 2;

impl AdmitMachine {
    /// Queues an arrival, attaches it to the same earlier request, or refuses it.
    pub(super) fn arrive(&mut self, now: LocalMoment, arrival: WorkArrival) {
        self.counters.arrived += 1;

        let verdict = self.recall(now, &arrival);

        match verdict {
            MemoryVerdict::Follow(of) => self.follow(arrival, of),
            MemoryVerdict::Replay(of) => {
                self.counters.replayed += 1;
                self.actions.push(AdmitAction::Replay {
                    ticket: arrival.ticket,
                    of,
                });
            }
            // The earlier request of this identifier may have run.
            MemoryVerdict::Refuse(refusal) => {
                let verdict = refusal_verdict(refusal);

                self.refuse(arrival.ticket, refusal, verdict, Duration::ZERO);
            }
            MemoryVerdict::Fresh => self.admit(now, arrival),
        }
    }

    /// Asks the memory about an arrival.
    fn recall(&self, now: LocalMoment, arrival: &WorkArrival) -> MemoryVerdict {
        let halted = arrival
            .slice
            .is_some_and(|slice| self.halted.contains_key(&slice));

        if halted {
            MemoryVerdict::Refuse(AdmitRefusal::NotOwner)
        } else if arrival.idempotent {
            MemoryVerdict::Fresh
        } else {
            self.memory.check(now, arrival)
        }
    }

    /// Queues a request that was not seen before, or refuses it.
    fn admit(&mut self, now: LocalMoment, arrival: WorkArrival) {
        let class = self.estimates.treated_as(&arrival.operation, arrival.class);

        if class == WorkClass::Short {
            self.record_offer(now, &arrival);
        }

        if let Some(refusal) = self.entry_refusal(now, &arrival, class) {
            let retry_after = self.retry_after(&arrival, class);

            self.refuse(arrival.ticket, refusal, RunVerdict::NotRun, retry_after);

            return;
        }

        self.enqueue(now, arrival, class);
    }

    /// Returns why an arrival may not wait, if so.
    fn entry_refusal(
        &self,
        now: LocalMoment,
        arrival: &WorkArrival,
        class: WorkClass,
    ) -> Option<AdmitRefusal> {
        let covered = self.estimates.covered(&arrival.operation, class);

        if self.stop_until.is_some() {
            return Some(AdmitRefusal::Stopping);
        }

        if self.leaving {
            return Some(AdmitRefusal::TargetDraining);
        }

        if now + covered > arrival.deadline {
            return Some(AdmitRefusal::DeadlinePassed);
        }

        if self.limit.is_stalled() && !self.may_probe(now) {
            return Some(AdmitRefusal::TargetStalled);
        }

        self.queue_refusal(now, arrival, class, covered)
    }

    /// Returns why the queue takes no further arrival, if so.
    fn queue_refusal(
        &self,
        now: LocalMoment,
        arrival: &WorkArrival,
        class: WorkClass,
        covered: Duration,
    ) -> Option<AdmitRefusal> {
        let wait = self.predicted_wait(arrival, class);
        let left = arrival.deadline.since(now).saturating_sub(covered);
        let allowed = if self.is_modest(arrival, class) {
            left
        } else {
            left.min(self.longest_wait(now, class))
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
        } else if wait > left {
            Some(AdmitRefusal::DeadlinePassed)
        } else {
            Some(AdmitRefusal::QueueFull)
        }
    }

    /// Returns whether a tenant has so little waiting that a standing queue does not count: its
    /// few calls come unevenly, and its share of the slots may be less than one.
    fn is_modest(&self, arrival: &WorkArrival, class: WorkClass) -> bool {
        let room = self.standing_wait(class) * self.short_slots() * MODEST_BACKLOGS;

        class == WorkClass::Short
            && self.short.waiting(&arrival.tenant) < MODEST_WAITING
            && self.short.backlog() < room
    }

    /// Predicts how long an arrival would wait for a slot.
    fn predicted_wait(&self, arrival: &WorkArrival, class: WorkClass) -> Duration {
        let weight = self.options.weight(&arrival.tenant);

        match class {
            WorkClass::Short => {
                let slots = self.short_slots();

                self.short.predicted_wait(&arrival.tenant, weight, slots)
            }
            WorkClass::Long => {
                // Long work gets only its floor while short work keeps the slots busy.
                let cap = self.long_cap();
                let floor = self.options.long_floor.min(cap);
                let slots = if self.short.is_empty() { cap } else { floor };

                self.long.predicted_wait(&arrival.tenant, weight, slots)
            }
        }
    }

    /// Returns the longest wait that the queue of a class allows now.
    ///
    /// A queue absorbs a burst up to the deadlines; one that stands in an overload only adds its
    /// length to every answer, so it is kept short.
    fn longest_wait(&self, now: LocalMoment, class: WorkClass) -> Duration {
        if class == WorkClass::Short && !self.pressure.is_standing(now) {
            return Duration::MAX;
        }

        self.standing_wait(class)
    }

    /// Returns the longest wait in a standing queue.
    fn standing_wait(&self, class: WorkClass) -> Duration {
        let means = self.estimates.class_mean(class) * STANDING_MEANS;

        self.options.queue_target.max(means)
    }

    /// Returns the slots that short work has now.
    fn short_slots(&self) -> u32 {
        let long = self.running_long().min(self.long_cap());

        self.limit.current().saturating_sub(long).max(1)
    }

    /// Takes in that short work was offered, and cuts the queue when an overload begins to
    /// count.
    fn record_offer(&mut self, now: LocalMoment, arrival: &WorkArrival) {
        let cost = self
            .estimates
            .expected(&arrival.operation, WorkClass::Short);
        let slots = self.short_slots();
        let target = self.standing_wait(WorkClass::Short);
        let waiting = self.short.backlog() > target * slots;

        if self.pressure.record(now, cost, waiting, slots) {
            self.cut_queue(target * slots);
        }
    }

    /// Refuses the oldest waiting short work down to a backlog, as what waits behind it would be
    /// answered as late.
    fn cut_queue(&mut self, backlog: Duration) {
        while self.short.backlog() > backlog
            && let Some(ticket) = self.short.pop_oldest()
        {
            let retry_after = self.options.queue_interval;

            self.end(
                ticket,
                AdmitRefusal::QueueCut,
                RunVerdict::NotRun,
                retry_after,
            );
        }
    }

    /// Returns the time after which a repeat is expected to find room.
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

    /// Adds an entry that waits for a slot.
    pub(super) fn insert(&mut self, work: WorkEntry) {
        let ticket = work.arrival.ticket;
        let weight = self.options.weight(&work.arrival.tenant);
        let tenant = work.arrival.tenant.clone();

        self.queue(work.class)
            .push(&tenant, weight, ticket, work.expected);
        self.give_ups.insert((work.give_up, ticket));
        self.works.insert(ticket, work);
    }

    /// Attaches a repeat to the same earlier request.
    fn follow(&mut self, arrival: WorkArrival, of: u64) {
        let ticket = arrival.ticket;
        let Some(leader) = self.works.get_mut(&of) else {
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

        self.give_ups.insert((work.give_up, ticket));
        self.works.insert(ticket, work);
    }

    /// Refuses an arrival.
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

/// Returns what a refusal by the memory says of the request: one that was seen before, or may
/// have been, may have run.
fn refusal_verdict(refusal: AdmitRefusal) -> RunVerdict {
    match refusal {
        AdmitRefusal::Duplicate | AdmitRefusal::IdentifierTooOld => RunVerdict::Unknown,
        _ => RunVerdict::NotRun,
    }
}
