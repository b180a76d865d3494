//! The simulated load on the slices of a service.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use wagtail_core::slice::KeyHash;

/// The exponent of the Zipf distribution of the keys' popularity.
const SKEW: f64 = 0.6;
/// The number of keys for each target.
const KEYS_PER_TARGET: usize = 10_000;
/// The requests per second of each target: 1.7 million over 620 nodes.
pub const RATE_PER_TARGET: f64 = 2_742.0;
/// The load of a hot key as a fraction of a target's mean load.
pub const HOT_KEY_SHARE: f64 = 0.4;

/// `SliceDemand` is the true load of each slice in requests per second.
#[derive(Debug, Clone)]
pub struct SliceDemand {
    /// The load of each slice without a swing or hot key.
    base: Vec<f64>,
    /// The load factor of each slice, 1 outside a swing.
    factors: Vec<f64>,
    /// The slice and load of the hot key.
    hot: Option<(usize, f64)>,
}

impl SliceDemand {
    /// Distributes the keys of a service with `targets` targets over `slices` slices.
    pub fn new(targets: usize, slices: usize, seed: u64) -> Self {
        let keys = targets * KEYS_PER_TARGET;
        let weight = |rank: usize| f64_from_usize(rank + 1).powf(-SKEW);
        let total: f64 = (0..keys).map(weight).sum();
        let scale = f64_from_usize(targets) * RATE_PER_TARGET / total;
        let mut base = vec![0.0; slices];

        for rank in 0..keys {
            let slice = slice_of(&format!("{seed}-{rank}"), slices);
            base[slice] += weight(rank) * scale;
        }

        Self {
            factors: vec![1.0; slices],
            base,
            hot: None,
        }
    }

    /// Returns the load of a slice.
    pub fn rate(&self, slice: usize) -> f64 {
        let hot = self.hot.filter(|(hot, _)| *hot == slice);

        self.base[slice] * self.factors[slice] + hot.map_or(0.0, |(_, rate)| rate)
    }

    /// Adds a hot key to a random slice in place of the one before, and returns the slice.
    pub fn add_hot_key(&mut self, random: &mut ChaCha8Rng) -> usize {
        let slice = random.random_range(0..self.base.len());
        self.hot = Some((slice, RATE_PER_TARGET * HOT_KEY_SHARE));

        slice
    }

    /// Triples the load of all slices, and quadruples that of a random tenth of them on top.
    pub fn swing(&mut self, random: &mut ChaCha8Rng) {
        for factor in &mut self.factors {
            *factor = if random.random_bool(0.1) { 12.0 } else { 3.0 };
        }
    }

    /// Resets the load factors after a swing.
    pub fn end_swing(&mut self) {
        self.factors.fill(1.0);
    }
}

/// Returns the index of the slice of a key.
fn slice_of(key: &str, slices: usize) -> usize {
    let count = u32::try_from(slices).unwrap_or(u32::MAX);

    KeyHash::new(key.as_bytes()).slice_index(count) as usize
}

/// Converts a count, saturating at `u32::MAX`.
pub fn f64_from_usize(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
