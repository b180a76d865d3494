//! The choice of slices to hand over.

use crate::{load::SliceLoad, options::AssignOptions};

/// The least part of the wanted load that a moved slice carries; smaller moves do not pay.
const LEAST_PART: f64 = 0.02;

/// `LoadBalance` compares a target with the mean of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBalance {
    /// The load of the target in requests a second.
    pub load: f64,
    /// The load that the target would have if all were loaded by their weights.
    pub fair: f64,
}

impl LoadBalance {
    /// Returns the load that the target lacks, or zero when it is within the margin.
    pub fn shortage(&self, options: &AssignOptions) -> f64 {
        let shortage = self.fair - self.load;
        let margin = (self.fair * options.low_margin).max(self.noise(options));

        if shortage > margin { shortage } else { 0.0 }
    }

    /// Returns the load that the target has too much, or zero when it is within the margin.
    pub fn excess(&self, options: &AssignOptions) -> f64 {
        let excess = self.load - self.fair;
        let margin = (self.fair * options.high_margin).max(self.noise(options));

        if excess > margin { excess } else { 0.0 }
    }

    /// Returns the load that the target can take without being one that hands slices over.
    pub fn room(&self, options: &AssignOptions) -> f64 {
        (self.fair * (1.0 + options.high_margin) - self.load).max(0.0)
    }

    /// Returns three standard deviations of the measured rate when arrivals are independent.
    fn noise(&self, options: &AssignOptions) -> f64 {
        /// The standard deviations that a difference must exceed to count.
        const DEVIATIONS: f64 = 3.0;

        // An exponential window weighs arrivals as a plain one of twice its time constant does.
        let window = 2.0 * options.rate_window.as_secs_f64();
        let busy = (self.fair - options.slice_base).max(0.0);

        DEVIATIONS * (busy / window).sqrt()
    }
}

/// Returns the slice that brings the receiver closest to what it wants without making the giver
/// lack load: the largest one that fits, so that few slices move.
pub fn choose_slice(
    free: &[SliceLoad],
    giver: LoadBalance,
    wanted: f64,
    options: &AssignOptions,
) -> Option<SliceLoad> {
    let limit = wanted.min(giver.excess(options));

    free.iter()
        .filter(|load| load.rate <= limit && load.rate >= limit * LEAST_PART)
        .max_by(|left, right| {
            left.rate
                .total_cmp(&right.rate)
                .then_with(|| right.slice.cmp(&left.slice))
        })
        .copied()
}
