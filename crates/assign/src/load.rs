//! Measurement of the load of the owned slices.

use crate::sketch::KeySketch;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// The number of keys that are counted at a time.
const SKETCH_KEYS: usize = 64;
/// The most hot keys in a sample.
const HOT_KEYS: usize = 8;

/// `SliceLoad` is the measured load of one slice.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceLoad {
    /// The index of the slice.
    pub slice: u32,
    /// The load in requests a second.
    pub rate: f64,
}

/// `HotKey` is one of the keys with the most requests.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotKey {
    /// The index of the slice that holds the key.
    pub slice: u32,
    /// The key whose requests were counted.
    pub key: Arc<str>,
    /// The lower bound of the key's load in requests a second.
    pub rate: f64,
}

/// `LoadSample` holds the measured loads of a node's slices and its hot keys.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSample {
    /// The loads of the owned slices; a slice that is left out has no load.
    pub loads: Vec<SliceLoad>,
    /// The keys with the most requests, the most frequent first.
    pub hot: Vec<HotKey>,
}

/// `SliceRate` is an exponentially weighted sum of rates and the sum of its weights.
///
/// Their quotient is correct from the first period on, so that a slice that arrived recently does
/// not appear to be idle.
#[derive(Debug, Clone, Copy, Default)]
struct SliceRate {
    sum: f64,
    weight: f64,
}

impl SliceRate {
    /// Returns the weighted mean rate.
    fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }
}

/// `LoadMeter` counts requests and turns them into exponentially weighted rates.
#[derive(Debug, Clone)]
pub struct LoadMeter {
    window: Duration,
    sampled_at: LocalMoment,
    counts: BTreeMap<u32, u64>,
    rates: BTreeMap<u32, SliceRate>,
    sketch: KeySketch,
}

impl LoadMeter {
    /// Creates a meter that starts now. `window` is the time constant of its rates.
    pub fn new(now: LocalMoment, window: Duration) -> Self {
        Self {
            window,
            sampled_at: now,
            counts: BTreeMap::new(),
            rates: BTreeMap::new(),
            sketch: KeySketch::new(SKETCH_KEYS),
        }
    }

    /// Counts one request for a key of a slice.
    pub fn record(&mut self, slice: u32, key: &str) {
        *self.counts.entry(slice).or_default() += 1;

        self.sketch.record(slice, key);
    }

    /// Removes the counts and rates of a slice that is no longer owned.
    pub fn forget(&mut self, slice: u32) {
        self.counts.remove(&slice);
        self.rates.remove(&slice);
        self.sketch.forget(slice);
    }

    /// Updates the rates, returns them with the most frequent keys and begins the next period.
    pub fn sample(&mut self, now: LocalMoment) -> LoadSample {
        let elapsed = now.since(self.sampled_at).as_secs_f64();

        if elapsed > 0.0 {
            self.update_rates(elapsed);
            self.sampled_at = now;
        }

        let loads = self.rates.iter().map(|(&slice, rate)| SliceLoad {
            slice,
            rate: rate.mean(),
        });

        LoadSample {
            loads: loads.collect(),
            hot: self.hot_keys(),
        }
    }

    /// Adds the rates of the period that has ended to the weighted means.
    fn update_rates(&mut self, elapsed: f64) {
        let decay_factor = (-elapsed / self.window.as_secs_f64()).exp();

        for slice in self.counts.keys() {
            self.rates.entry(*slice).or_default();
        }

        for (slice, rate) in &mut self.rates {
            let count = self.counts.get(slice).copied().unwrap_or(0);
            rate.sum =
                rate.sum * decay_factor + count_to_f64(count) / elapsed * (1.0 - decay_factor);
            rate.weight = rate.weight * decay_factor + 1.0 - decay_factor;
        }

        self.rates
            .retain(|_, rate| rate.sum > f64::from(f32::EPSILON));
        self.counts.clear();
        self.sketch.decay(decay_factor);
    }

    /// Returns the most frequent keys, the most frequent first.
    fn hot_keys(&self) -> Vec<HotKey> {
        // At a constant rate the decayed count approaches the rate times the time constant.
        let window = self.window.as_secs_f64();
        let mut hot: Vec<HotKey> = self
            .sketch
            .entries()
            .iter()
            .map(|entry| HotKey {
                slice: entry.slice,
                key: Arc::clone(&entry.key),
                rate: (entry.count - entry.error) / window,
            })
            .collect();

        hot.sort_by(|left, right| right.rate.total_cmp(&left.rate));
        hot.truncate(HOT_KEYS);

        hot
    }
}

/// Converts a count to a floating-point number. Counts of one period are far below `u32::MAX`,
/// at which larger ones are capped.
fn count_to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
