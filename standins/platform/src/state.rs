//! The state of the stand-in, with the waiting watches.

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

/// `CallRefusal` is why a call has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRefusal {
    /// The platform is down.
    Outage,
    /// The rate is exceeded.
    Rate,
    /// The connection closes without an answer.
    Dropped,
}

/// `PlatformState` is all that the stand-in knows.
#[derive(Debug)]
pub struct PlatformState {
    /// The values.
    pub store: ObjectStore,
    /// The faults in force.
    faults: PlatformFaults,
    /// The counts of calls.
    stats: CallStats,
    /// The reads of the current second.
    reads: RateWindow,
    /// The writes of the current second.
    writes: RateWindow,
    /// The waiting watches, which any write or fault change wakes.
    waiting: Vec<oneshot::Sender<()>>,
    /// The source of chance for the faults.
    random: ChaCha8Rng,
}

impl PlatformState {
    /// Makes the state of an empty platform.
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

    /// Returns the faults in force.
    pub fn faults(&self) -> &PlatformFaults {
        &self.faults
    }

    /// Returns the counts of calls.
    pub fn stats(&self) -> CallStats {
        self.stats
    }

    /// Changes faults and wakes the watches, which an outage ends.
    pub fn change_faults(&mut self, change: &PlatformFaultChange) {
        self.faults.apply(change);
        self.wake_watches();
    }

    /// Counts a call and decides whether it may take effect.
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
        if self.random.random_bool(as_share(self.faults.drop_calls)) {
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

    /// Decides whether the answer of a call that took effect is lost.
    pub fn loses_answer(&mut self) -> bool {
        let lost = self.random.random_bool(as_share(self.faults.lose_answers));
        self.stats.lost_answers += u64::from(lost);

        lost
    }

    /// Writes a value and wakes the watches.
    ///
    /// # Errors
    ///
    /// Fails as [`ObjectStore::update`] does.
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

        // A watch whose wait ended leaves its sender behind.
        self.waiting.retain(|waiting| !waiting.is_canceled());
        self.waiting.push(sender);

        receiver
    }

    /// Wakes every waiting watch.
    fn wake_watches(&mut self) {
        for sender in self.waiting.drain(..) {
            // A watch whose wait ended needs no wake.
            let _woken = sender.send(());
        }
    }
}

/// Limits a share of calls to what a probability can be.
fn as_share(share: f64) -> f64 {
    if share.is_nan() {
        0.0
    } else {
        share.clamp(0.0, 1.0)
    }
}
