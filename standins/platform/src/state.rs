//! The shared state of the stand-in, with the pending watches.

use crate::{
    faults::{PlatformFaultChange, PlatformFaults},
    rate::RateWindow,
    stats::{CallKind, CallStats},
    store::ObjectStore,
};
use futures_channel::oneshot;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtail_core::Result;

/// `CallRefusal` is the reason that a call has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRefusal {
    /// The fault `outage` is active.
    Outage,
    /// The limit on calls per second is exceeded.
    Rate,
    /// The fault `drop_calls` closes the connection without a response.
    Dropped,
}

/// `PlatformState` holds the values, the active faults and the call counters.
#[derive(Debug)]
pub struct PlatformState {
    /// The values by key, read directly by the handlers and written through [`Self::update`].
    pub store: ObjectStore,
    /// The faults that apply to each call, as last changed by a control call.
    faults: PlatformFaults,
    /// The numbers of calls since the start, by kind and refusal.
    stats: CallStats,
    /// The limiter of reads.
    reads: RateWindow,
    /// The limiter of writes.
    writes: RateWindow,
    /// The pending watches, which any write or change of faults wakes.
    waiting: Vec<oneshot::Sender<()>>,
    /// The random number generator of the faults.
    random: ChaCha8Rng,
}

impl PlatformState {
    /// Creates the state of an empty platform; `seed` drives the random faults.
    pub fn new(seed: u64) -> Self {
        Self {
            store: ObjectStore::new(),
            faults: PlatformFaults::default(),
            stats: CallStats::default(),
            reads: RateWindow::new(),
            writes: RateWindow::new(),
            waiting: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the active faults.
    pub fn faults(&self) -> &PlatformFaults {
        &self.faults
    }

    /// Returns the call counters.
    pub fn stats(&self) -> CallStats {
        self.stats
    }

    /// Applies a change of faults and wakes the watches, since an outage ends them.
    pub fn change_faults(&mut self, change: &PlatformFaultChange) {
        self.faults.apply(change);
        self.wake_watches();
    }

    /// Counts a call and checks whether it may take effect at the time `now_us` in microseconds.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the call has no effect.
    pub fn admit(&mut self, kind: CallKind, now_us: u64) -> Result<(), CallRefusal> {
        self.stats.count(kind);

        if self.faults.outage {
            self.stats.refused_outage += 1;
            return Err(CallRefusal::Outage);
        }
        if self
            .random
            .random_bool(to_probability(self.faults.drop_calls))
        {
            self.stats.dropped_calls += 1;
            return Err(CallRefusal::Dropped);
        }

        let admitted = match kind {
            CallKind::Update => self.writes.admit(now_us, self.faults.writes_per_second),
            CallKind::Get | CallKind::List | CallKind::Watch => {
                self.reads.admit(now_us, self.faults.reads_per_second)
            }
        };

        if admitted {
            return Ok(());
        }

        self.stats.refused_rate += 1;

        Err(CallRefusal::Rate)
    }

    /// Draws whether the response to a call that took effect is lost.
    pub fn loses_response(&mut self) -> bool {
        let lost = self
            .random
            .random_bool(to_probability(self.faults.lose_answers));
        self.stats.lost_answers += u64::from(lost);

        lost
    }

    /// Writes a value conditionally and wakes the watches; a conflict is counted.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ObjectStore::update`].
    pub fn update(&mut self, key: &str, value: &str, expected: u64) -> Result<u64> {
        let written = self.store.update(key, value, expected);

        if written.is_ok() {
            self.wake_watches();
        } else {
            self.stats.conflicts += 1;
        }

        written
    }

    /// Returns a receiver that the next write or fault change completes.
    pub fn wait_for_change(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();

        // A watch whose wait ended leaves its sender in the list.
        self.waiting.retain(|waiting| !waiting.is_canceled());
        self.waiting.push(sender);

        receiver
    }

    /// Wakes every pending watch.
    fn wake_watches(&mut self) {
        for sender in self.waiting.drain(..) {
            // A watch whose wait ended has dropped its receiver.
            let _woken = sender.send(());
        }
    }
}

/// Limits a value to the range of a probability; NaN becomes zero.
fn to_probability(probability: f64) -> f64 {
    if probability.is_nan() {
        0.0
    } else {
        probability.clamp(0.0, 1.0)
    }
}
