//! Request rates by key, from exponentially decaying counts of arrivals.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::units::LocalMoment;

/// The time constant of the decay: in this time a count falls to about a third (1/e).
const DECAY_TIME_CONSTANT: Duration = Duration::from_millis(2_500);

/// The shortest time between two decays of the counts.
const MIN_DECAY_INTERVAL: Duration = Duration::from_millis(250);

/// The decayed count below which a key is dropped.
const MIN_RETAINED_COUNT: f32 = 0.05;

/// `RangeLoad` is the request rate of a range of keys.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RangeLoad {
    /// The first key of the range.
    pub from: u16,
    /// The last key of the range, inclusive.
    pub to: u16,
    /// The rate in requests per second.
    pub rate: f32,
}

/// `KeyCounter` counts arrivals by key, with weights that decay exponentially with age.
#[derive(Debug, Default)]
pub struct KeyCounter {
    counts: BTreeMap<u16, f32>,
    last_decay: LocalMoment,
    started: Option<LocalMoment>,
}

impl KeyCounter {
    /// Counts an arrival.
    pub fn count(&mut self, key: u16, now: LocalMoment) {
        self.decay(now);
        self.started.get_or_insert(now);
        *self.counts.entry(key).or_insert(0.0) += 1.0;
    }

    /// Returns the load of the range `from..=to`, cut into pieces of about equal load. Each piece
    /// but the last holds at least a share of `1 / max_pieces`, unless it precedes a busy key.
    pub fn pieces(
        &mut self,
        from: u16,
        to: u16,
        max_pieces: usize,
        now: LocalMoment,
    ) -> Vec<RangeLoad> {
        self.decay(now);
        let span = self.span(now);
        let total: f32 = self.counts.range(from..=to).map(|(_, count)| count).sum();
        #[expect(clippy::cast_precision_loss, reason = "a few dozen pieces")]
        let share = total / max_pieces.max(1) as f32;

        let mut pieces = Vec::new();
        let mut start = from;
        let mut sum = 0.0;
        for (&key, &count) in self.counts.range(from..=to) {
            // A key with at least a full share of the load gets a piece of its own, so that it can
            // be moved alone.
            if count >= share && key > start {
                pieces.push(piece(start, key - 1, sum, span));
                start = key;
                sum = 0.0;
            }
            sum += count;
            if sum >= share && key < to {
                pieces.push(piece(start, key, sum, span));
                start = key + 1;
                sum = 0.0;
            }
        }
        pieces.push(piece(start, to, sum, span));

        pieces
    }

    /// Returns the time in seconds that the counts represent, by which a count is divided to give
    /// a rate.
    fn span(&self, now: LocalMoment) -> f32 {
        let age = self
            .started
            .map_or(Duration::ZERO, |started| now.since(started));

        age.clamp(MIN_DECAY_INTERVAL, DECAY_TIME_CONSTANT)
            .as_secs_f32()
    }

    /// Decays the counts to `now` and drops the keys with hardly any weight left.
    fn decay(&mut self, now: LocalMoment) {
        let passed = now.since(self.last_decay);
        if passed < MIN_DECAY_INTERVAL {
            return;
        }

        let factor = (-passed.as_secs_f32() / DECAY_TIME_CONSTANT.as_secs_f32()).exp();
        self.counts.retain(|_, count| {
            *count *= factor;
            *count >= MIN_RETAINED_COUNT
        });
        self.last_decay = now;
    }
}

/// Returns the load of a piece, from its count over `span` seconds.
fn piece(from: u16, to: u16, count: f32, span: f32) -> RangeLoad {
    RangeLoad {
        from,
        to,
        rate: count / span,
    }
}
