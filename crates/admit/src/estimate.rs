//! Learned durations of the operations.

use crate::options::AdmitOptions;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{ids::OperationName, service::WorkClass};

/// The weight of a new measurement in a moving average.
const GAIN: f64 = 0.05;

/// The least running median in seconds, from which it can grow again.
const MIN_MEDIAN: f64 = 0.000_01;

/// The step of the running median, as a part of it.
const MEDIAN_STEP: f64 = 0.05;

/// The measurements before an operation's own average is trusted.
const TRUSTED_COUNT: u32 = 5;

/// The deviations above the mean that cover nearly all durations.
const COVERED_DEVIATIONS: f64 = 2.0;

/// `DurationAverage` is a moving average of durations and of their deviation, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
struct DurationAverage {
    /// The mean in seconds.
    mean: f64,
    /// The mean absolute deviation in seconds.
    deviation: f64,
    /// The count of measurements.
    count: u32,
}

impl DurationAverage {
    /// Takes in a measurement.
    fn record(&mut self, seconds: f64) {
        self.count = self.count.saturating_add(1);

        // The first measurements weigh more, so that the average starts near the truth.
        let gain = GAIN.max(1.0 / f64::from(self.count));
        let error = seconds - self.mean;

        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
    }
}

/// `WorkEstimates` predicts how long an order will hold a slot.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkEstimates {
    /// The averages of the operations.
    operations: BTreeMap<OperationName, DurationAverage>,
    /// The running median of what is declared as short, in seconds. Unlike the mean it stays
    /// with the short work when some of the declarations are wrong.
    median: f64,
    /// The average of what is treated as short.
    short: DurationAverage,
    /// The average of what is treated as long.
    long: DurationAverage,
    /// The assumed duration of short work before any measurement.
    initial_short: Duration,
    /// The assumed duration of long work before any measurement.
    initial_long: Duration,
    /// The multiple of the median from which an operation is long.
    long_factor: f64,
}

impl WorkEstimates {
    /// Makes estimates without measurements.
    pub fn new(options: &AdmitOptions) -> Self {
        Self {
            operations: BTreeMap::new(),
            median: options.initial_short.as_secs_f64(),
            short: DurationAverage::default(),
            long: DurationAverage::default(),
            initial_short: options.initial_short,
            initial_long: options.initial_long,
            long_factor: f64::from(options.long_factor.max(2)),
        }
    }

    /// Takes in the duration of an order that was answered.
    pub fn record(&mut self, operation: &OperationName, class: WorkClass, took: Duration) {
        let seconds = took.as_secs_f64();

        if class == WorkClass::Short {
            self.record_median(seconds);
        }

        let treated = self.treated_as(operation, class);

        self.operations
            .entry(operation.clone())
            .or_default()
            .record(seconds);

        match treated {
            WorkClass::Short => self.short.record(seconds),
            WorkClass::Long => self.long.record(seconds),
        }
    }

    /// Moves the running median a step towards a measurement.
    fn record_median(&mut self, seconds: f64) {
        if seconds > self.median {
            self.median *= 1.0 + MEDIAN_STEP;
        } else {
            self.median *= 1.0 - MEDIAN_STEP;
        }

        self.median = self.median.max(MIN_MEDIAN);
    }

    /// Returns the class that an operation is treated as: the declared one, or long when it
    /// was measured to be.
    pub fn treated_as(&self, operation: &OperationName, declared: WorkClass) -> WorkClass {
        let Some(average) = self.operations.get(operation) else {
            return declared;
        };
        let border = self.median * self.long_factor;

        if average.count >= TRUSTED_COUNT && average.mean > border {
            WorkClass::Long
        } else {
            declared
        }
    }

    /// Returns the expected duration of an operation.
    pub fn expected(&self, operation: &OperationName, class: WorkClass) -> Duration {
        match self.operations.get(operation) {
            Some(average) if average.count > 0 => from_seconds(average.mean),
            _ => self.class_mean(class),
        }
    }

    /// Returns a duration that covers nearly all orders of an operation.
    pub fn covered(&self, operation: &OperationName, class: WorkClass) -> Duration {
        match self.operations.get(operation) {
            Some(average) if average.count > 0 => {
                from_seconds(average.mean + COVERED_DEVIATIONS * average.deviation)
            }
            _ => self.class_mean(class),
        }
    }

    /// Returns the mean duration of a class.
    pub fn class_mean(&self, class: WorkClass) -> Duration {
        match class {
            WorkClass::Short => self.short_mean(),
            WorkClass::Long if self.long.count > 0 => from_seconds(self.long.mean),
            WorkClass::Long => self.initial_long,
        }
    }

    /// Returns the mean duration of short work.
    pub fn short_mean(&self) -> Duration {
        if self.short.count > 0 {
            from_seconds(self.short.mean)
        } else {
            self.initial_short
        }
    }
}

/// Makes a duration from seconds.
fn from_seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}
