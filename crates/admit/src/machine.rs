//! The state machine from arrival to the one final answer.

mod arrive;
mod dispatch;
mod expire;
mod finish;
mod predict;
mod settings;
mod slices;

use crate::{
    estimate::WorkEstimates,
    fair::FairQueue,
    limit::SlotLimit,
    memory::RequestMemory,
    messages::{AdmitAction, AdmitEvent},
    options::AdmitOptions,
    pressure::QueuePressure,
    summary::{AdmitCounters, AdmitSummary},
    work::WorkEntry,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wagtail_core::{service::WorkClass, units::LocalMoment};

/// `SliceHalt` is why a slice gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SliceHalt {
    /// It is to move; what was accepted is completed.
    Stopping,
    /// It is to move and nothing of it is left.
    Drained,
    /// Its lease has lapsed.
    Lost,
}

/// `AbandonedSlot` is a slot whose order was cancelled without a word from the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AbandonedSlot {
    /// The moment of the cancellation.
    since: LocalMoment,
    /// The moment of the first sign that the target ran after it.
    sign: Option<LocalMoment>,
}

/// `AdmitMachine` decides, beside one target, what happens to each arrival until its one final
/// answer. It alone dispatches to the target.
#[derive(Debug)]
pub struct AdmitMachine {
    /// The settings.
    options: AdmitOptions,
    /// The source of the spread in the retry times.
    rng: ChaCha8Rng,
    /// The arrivals that are not over.
    works: BTreeMap<u64, WorkEntry>,
    /// The moments at which arrivals are given up.
    give_ups: BTreeSet<(LocalMoment, u64)>,
    /// The waiting short work.
    short: FairQueue,
    /// The waiting long work.
    long: FairQueue,
    /// The tickets at the target.
    running: BTreeSet<u64>,
    /// The abandoned orders whose slots the target may still hold, oldest first.
    abandoned: VecDeque<AbandonedSlot>,
    /// The learned durations.
    estimates: WorkEstimates,
    /// The concurrency limit.
    limit: SlotLimit,
    /// The identifiers and answers of non-idempotent requests.
    memory: RequestMemory,
    /// The slices that get no new work.
    halted: BTreeMap<u32, SliceHalt>,
    /// Whether short work is in a burst or an overload.
    pressure: QueuePressure,
    /// The moment of the last answer, or of the last dispatch to an idle target.
    progress: LocalMoment,
    /// The moment before which a stalled target is not tried.
    next_probe: LocalMoment,
    /// The moment until which accepted work is dispatched, once stopping.
    stop_until: Option<LocalMoment>,
    /// Whether the target said that it is leaving.
    leaving: bool,
    /// Whether the end of a stop was reported.
    done: bool,
    /// The counters.
    counters: AdmitCounters,
    /// The actions of the event in hand.
    actions: Vec<AdmitAction>,
}

impl AdmitMachine {
    /// Makes the machine of a warm, idle target. The seed spreads the retry times.
    pub fn new(options: AdmitOptions, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            works: BTreeMap::new(),
            give_ups: BTreeSet::new(),
            short: FairQueue::new(),
            long: FairQueue::new(),
            running: BTreeSet::new(),
            abandoned: VecDeque::new(),
            estimates: WorkEstimates::new(&options),
            limit: SlotLimit::new(&options),
            memory: RequestMemory::new(&options),
            halted: BTreeMap::new(),
            pressure: QueuePressure::new(options.queue_interval),
            progress: LocalMoment::ZERO,
            next_probe: LocalMoment::ZERO,
            stop_until: None,
            leaving: false,
            done: false,
            counters: AdmitCounters::default(),
            actions: Vec::new(),
            options,
        }
    }

    /// Takes in an event and returns what the daemon does next, in order.
    ///
    /// # Panics
    ///
    /// Panics when an internal invariant is broken, rather than overload the target or run
    /// work twice.
    pub fn handle(&mut self, now: LocalMoment, event: AdmitEvent) -> Vec<AdmitAction> {
        self.expire(now);

        match event {
            AdmitEvent::Arrived(arrival) => self.arrive(now, arrival),
            AdmitEvent::Finished {
                ticket,
                outcome,
                took,
            } => self.finish(now, ticket, outcome, took),
            AdmitEvent::Cancelled { ticket } => self.cancel(ticket),
            AdmitEvent::Tick => {}
            AdmitEvent::Stop => self.stop(now),
            AdmitEvent::TargetStarted => self.start_target(now),
            AdmitEvent::TargetDraining => self.leaving = true,
            AdmitEvent::TargetReport { running } => self.report(now, running),
            AdmitEvent::SliceGained { slice } => self.gain_slice(slice),
            AdmitEvent::SliceStopping { slice } => self.stop_slice(slice),
            AdmitEvent::SliceLost { slice } => self.lose_slice(now, slice),
        }

        self.dispatch(now);
        self.report_drained();
        self.check();

        std::mem::take(&mut self.actions)
    }

    /// Returns the moment at which the machine wants a [`Tick`](AdmitEvent::Tick).
    pub fn next_wakeup(&self) -> Option<LocalMoment> {
        let give_up = self.give_ups.first().map(|(moment, _)| *moment);
        let waiting = !self.short.is_empty() || !self.long.is_empty();
        let slot = self.next_slot_release().filter(|_| waiting);
        let stop = self.stop_until.filter(|_| waiting);

        [give_up, self.stall_moment(), slot, stop]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the state for the status page.
    pub fn summary(&self) -> AdmitSummary {
        AdmitSummary {
            queued_short: self.short.len(),
            queued_long: self.long.len(),
            backlog: self.short.backlog() + self.long.backlog(),
            running: self.occupied(),
            running_long: self.running_long(),
            limit: self.limit.current(),
            stalled: self.limit.is_stalled(),
            stopping: self.stop_until.is_some(),
            short_mean: self.estimates.short_mean(),
            remembered: self.memory.len(),
            kept_bytes: self.memory.kept_bytes(),
            counters: self.counters,
        }
    }

    /// Returns the slots that are or may be in use at the target.
    pub(super) fn occupied(&self) -> u32 {
        u32::try_from(self.running.len() + self.abandoned.len()).unwrap_or(u32::MAX)
    }

    /// Returns the long orders at the target.
    fn running_long(&self) -> u32 {
        let long = self
            .running
            .iter()
            .filter_map(|ticket| self.works.get(ticket))
            .filter(|work| work.class == WorkClass::Long);

        u32::try_from(long.count()).unwrap_or(u32::MAX)
    }

    /// Returns the queue of a class.
    fn queue(&mut self, class: WorkClass) -> &mut FairQueue {
        match class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        }
    }

    /// Checks the invariants that keep the target within its limits.
    fn check(&mut self) {
        let queued = self.short.len() + self.long.len();

        assert!(
            self.running.len() <= self.options.max_running() as usize,
            "more orders at the target than it has slots"
        );
        assert!(
            queued + self.running.len() <= self.works.len(),
            "a queued or running arrival has no entry"
        );
        assert!(
            self.give_ups.len() <= self.works.len(),
            "an arrival is given up twice"
        );

        self.counters.checked += 1;
    }
}
