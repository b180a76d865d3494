//! The state machine that takes each arrival to its one final response.

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

/// `SliceHalt` is the reason why a slice gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SliceHalt {
    /// It is about to move; requests in flight are completed.
    Stopping,
    /// It is about to move and none of its requests is left.
    Drained,
    /// Its lease has lapsed.
    Lost,
}

/// `AbandonedSlot` is a slot whose request was cancelled without a confirmation from the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AbandonedSlot {
    /// The moment of the cancellation.
    since: LocalMoment,
    /// The moment at which the target was first known to run after the cancellation.
    first_activity: Option<LocalMoment>,
}

/// `AdmitMachine` decides, for one target, what happens to each arrival until its one final
/// response. No other component dispatches requests to the target.
#[derive(Debug)]
pub struct AdmitMachine {
    /// The settings in force.
    options: AdmitOptions,
    /// The random source that spreads the retry times.
    rng: ChaCha8Rng,
    /// The arrivals that have not ended, by ticket. A request at the target stays here until its
    /// end is reported.
    entries: BTreeMap<u64, WorkEntry>,
    /// The tickets sorted by the moment at which they expire.
    expiries: BTreeSet<(LocalMoment, u64)>,
    /// The queued short requests.
    short: FairQueue,
    /// The queued long requests.
    long: FairQueue,
    /// The tickets of the requests at the target.
    running: BTreeSet<u64>,
    /// The abandoned requests whose slots the target may still hold, oldest first.
    abandoned: VecDeque<AbandonedSlot>,
    /// The learned durations of the operations.
    estimates: WorkEstimates,
    /// The limit of the requests at the target.
    limit: SlotLimit,
    /// The identifiers and kept responses of non-idempotent requests.
    memory: RequestMemory,
    /// The slices that get no new work.
    halted: BTreeMap<u32, SliceHalt>,
    /// Tells a burst of short requests from an overload.
    pressure: QueuePressure,
    /// The moment of the last response, or of the last dispatch to an idle target.
    last_progress: LocalMoment,
    /// The moment before which a stalled target is not probed.
    next_probe: LocalMoment,
    /// The moment until which admitted requests are dispatched, once the daemon is stopping.
    stop_until: Option<LocalMoment>,
    /// Whether the target announced that it is leaving.
    leaving: bool,
    /// Whether the end of the stop was reported.
    stop_reported: bool,
    /// The counters for the status page.
    counters: AdmitCounters,
    /// The actions that the current event has caused so far.
    actions: Vec<AdmitAction>,
}

impl AdmitMachine {
    /// Creates the machine of a warm, idle target. The seed determines the spread of the retry
    /// times.
    pub fn new(options: AdmitOptions, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            short: FairQueue::new(),
            long: FairQueue::new(),
            running: BTreeSet::new(),
            abandoned: VecDeque::new(),
            estimates: WorkEstimates::new(&options),
            limit: SlotLimit::new(&options),
            memory: RequestMemory::new(&options),
            halted: BTreeMap::new(),
            pressure: QueuePressure::new(options.queue_interval),
            last_progress: LocalMoment::ZERO,
            next_probe: LocalMoment::ZERO,
            stop_until: None,
            leaving: false,
            stop_reported: false,
            counters: AdmitCounters::default(),
            actions: Vec::new(),
            options,
        }
    }

    /// Handles an event and returns what the daemon does next, in this order.
    ///
    /// # Panics
    ///
    /// Panics if an internal invariant is broken; going on could overload the target or run a
    /// request twice.
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
            AdmitEvent::TargetReport { running } => self.record_target_report(now, running),
            AdmitEvent::SliceGained { slice } => self.gain_slice(slice),
            AdmitEvent::SliceStopping { slice } => self.stop_slice(slice),
            AdmitEvent::SliceLost { slice } => self.lose_slice(now, slice),
        }

        self.dispatch(now);
        self.report_drained();
        self.check_invariants();

        std::mem::take(&mut self.actions)
    }

    /// Returns the moment at which the machine needs a [`Tick`](AdmitEvent::Tick).
    pub fn next_wakeup(&self) -> Option<LocalMoment> {
        let expires_at = self.expiries.first().map(|(moment, _)| *moment);
        let waiting = !self.short.is_empty() || !self.long.is_empty();
        let slot = self.next_slot_release().filter(|_| waiting);
        let stop = self.stop_until.filter(|_| waiting);

        [expires_at, self.stall_moment(), slot, stop]
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

    /// Returns the count of slots that are in use at the target or may still be.
    pub(super) fn occupied(&self) -> u32 {
        u32::try_from(self.running.len() + self.abandoned.len()).unwrap_or(u32::MAX)
    }

    /// Returns the count of long requests at the target.
    fn running_long(&self) -> u32 {
        let long = self
            .running
            .iter()
            .filter_map(|ticket| self.entries.get(ticket))
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
    fn check_invariants(&mut self) {
        let queued = self.short.len() + self.long.len();

        assert!(
            self.running.len() <= self.options.max_running() as usize,
            "more requests are at the target than it has slots"
        );
        assert!(
            queued + self.running.len() <= self.entries.len(),
            "a queued or running arrival has no entry"
        );
        assert!(
            self.expiries.len() <= self.entries.len(),
            "an arrival has more than one expiry time"
        );

        self.counters.checked += 1;
    }
}
