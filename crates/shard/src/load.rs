//! Arrivals counted by key.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::units::LocalMoment;

/// The time in which a count falls to about a third.
const DECAY_TIME: Duration = Duration::from_millis(2_500);

/// The time between two decays of the counts.
const DECAY_STEP: Duration = Duration::from_millis(250);

/// The count under which a key is forgotten.
const FORGET_BELOW: f32 = 0.05;

/// `RangeLoad` is the load of a range of keys.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RangeLoad {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The requests a second.
    pub rate: f32,
}

/// `KeyCounter` counts arrivals by key; older ones weigh less.
#[derive(Debug, Default)]
pub struct KeyCounter {
    counts: BTreeMap<u16, f32>,
    decayed: LocalMoment,
    started: Option<LocalMoment>,
}

impl KeyCounter {
    /// Counts an arrival.
    pub fn count(&mut self, key: u16, now: LocalMoment) {
        self.decay(now);
        self.started.get_or_insert(now);
        *self.counts.entry(key).or_insert(0.0) += 1.0;
    }

    /// Returns the load of a range, cut into pieces of about equal load.
    pub fn pieces(&mut self, from: u16, to: u16, most: usize, now: LocalMoment) -> Vec<RangeLoad> {
        self.decay(now);
        let span = self.span(now);
        let total: f32 = self.counts.range(from..=to).map(|(_, count)| count).sum();
        #[expect(clippy::cast_precision_loss, reason = "a few dozen pieces")]
        let share = total / most.max(1) as f32;

        let mut pieces = Vec::new();
        let mut start = from;
        let mut sum = 0.0;
        for (&key, &count) in self.counts.range(from..=to) {
            // A key that is busy by itself gets a piece of its own.
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

    /// Returns the time in seconds that the counts stand for.
    fn span(&self, now: LocalMoment) -> f32 {
        let age = self
            .started
            .map_or(Duration::ZERO, |started| now.since(started));

        age.clamp(DECAY_STEP, DECAY_TIME).as_secs_f32()
    }

    /// Lets the counts decay.
    fn decay(&mut self, now: LocalMoment) {
        let passed = now.since(self.decayed);
        if passed < DECAY_STEP {
            return;
        }

        let factor = (-passed.as_secs_f32() / DECAY_TIME.as_secs_f32()).exp();
        self.counts.retain(|_, count| {
            *count *= factor;
            *count >= FORGET_BELOW
        });
        self.decayed = now;
    }
}

/// Makes a piece.
fn piece(from: u16, to: u16, count: f32, span: f32) -> RangeLoad {
    RangeLoad {
        from,
        to,
        rate: count / span,
    }
}
