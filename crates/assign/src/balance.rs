//! The comparison of loads and the choice of a slice to hand over.

use crate::{load::SliceLoad, options::AssignOptions};

/// The least load of a moved slice as a fraction of the load that may move; the gain of a smaller
/// move is not worth its cost.
const MIN_MOVE_FRACTION: f64 = 0.02;

/// `LoadBalance` compares the load of a target with its fair share of the load of the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBalance {
    /// The load of the target in requests a second.
    pub load: f64,
    /// The load in requests a second that the target would have if the load of all known targets
    /// were distributed by weight.
    pub fair_load: f64,
}

impl LoadBalance {
    /// Returns how far the load is below the fair load, or zero within the margin.
    pub fn shortage(&self, options: &AssignOptions) -> f64 {
        let shortage = self.fair_load - self.load;
        let margin = (self.fair_load * options.low_margin).max(self.noise_margin(options));

        if shortage > margin { shortage } else { 0.0 }
    }

    /// Returns how far the load is above the fair load, or zero within the margin.
    pub fn excess(&self, options: &AssignOptions) -> f64 {
        let excess = self.load - self.fair_load;
        let margin = (self.fair_load * options.high_margin).max(self.noise_margin(options));

        if excess > margin { excess } else { 0.0 }
    }

    /// Returns the load that the target can take before it would hand slices over itself.
    pub fn headroom(&self, options: &AssignOptions) -> f64 {
        (self.fair_load * (1.0 + options.high_margin) - self.load).max(0.0)
    }

    /// Returns the difference in load that may be due to chance: three standard deviations of the
    /// measured rate for independent arrivals.
    fn noise_margin(&self, options: &AssignOptions) -> f64 {
        /// The number of standard deviations that a difference must exceed to count.
        const DEVIATIONS: f64 = 3.0;

        // The variance of an exponentially weighted rate equals that of a plain window of twice the
        // time constant.
        let window = 2.0 * options.rate_window.as_secs_f64();
        let request_rate = (self.fair_load - options.idle_slice_rate).max(0.0);

        DEVIATIONS * (request_rate / window).sqrt()
    }
}

/// Returns the slice to move: the largest one that exceeds neither the requested load nor the
/// source's excess, so that few slices move and the source does not fall short of load.
pub fn choose_slice(
    movable: &[SliceLoad],
    source: LoadBalance,
    requested: f64,
    options: &AssignOptions,
) -> Option<SliceLoad> {
    let limit = requested.min(source.excess(options));

    movable
        .iter()
        .filter(|load| load.rate <= limit && load.rate >= limit * MIN_MOVE_FRACTION)
        .max_by(|left, right| {
            left.rate
                .total_cmp(&right.rate)
                .then_with(|| right.slice.cmp(&left.slice))
        })
        .copied()
}
