//! Durations learned for the operations.

use crate::options::AdmitOptions;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{ids::OperationName, service::WorkClass};

/// The weight of a new sample in a moving average, once enough samples were recorded.
const GAIN: f64 = 0.05;

/// The lower bound of the running median in seconds; from zero it could not grow again.
const MIN_MEDIAN: f64 = 0.000_01;

/// The step of the running median, as a fraction of its value.
const MEDIAN_STEP: f64 = 0.05;

/// The samples that an operation needs before its own average decides its class.
const MIN_SAMPLES: u32 = 5;

/// The mean deviations above the mean that cover nearly all durations.
const UPPER_ESTIMATE_DEVIATIONS: f64 = 2.0;

/// `DurationAverage` is a moving average of durations and of their absolute deviation, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
struct DurationAverage {
    /// The mean in seconds.
    mean: f64,
    /// The mean absolute deviation in seconds.
    deviation: f64,
    /// The count of samples.
    count: u32,
}

impl DurationAverage {
    /// Records a sample in seconds.
    fn record(&mut self, seconds: f64) {
        self.count = self.count.saturating_add(1);

        // The first samples weigh more, so that the average does not start near zero.
        let gain = GAIN.max(1.0 / f64::from(self.count));
        let error = seconds - self.mean;

        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
    }
}

/// `WorkEstimates` predicts how long a request will hold a slot.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkEstimates {
    /// The average duration of each operation.
    operations: BTreeMap<OperationName, DurationAverage>,
    /// The running median of the requests that are declared short, in seconds. Unlike the mean, it
    /// is not shifted by a few operations that are declared short but run long.
    median: f64,
    /// The average duration of the requests that are treated as short.
    short: DurationAverage,
    /// The average duration of the requests that are treated as long.
    long: DurationAverage,
    /// The duration that is assumed for short requests before the first sample.
    initial_short: Duration,
    /// The duration that is assumed for long requests before the first sample.
    initial_long: Duration,
    /// The multiple of the median above which an operation is treated as long.
    long_factor: f64,
}

impl WorkEstimates {
    /// Creates estimates without samples.
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

    /// Records the duration of a request that got its response.
    pub fn record(&mut self, operation: &OperationName, class: WorkClass, took: Duration) {
        let seconds = took.as_secs_f64();

        if class == WorkClass::Short {
            self.record_median(seconds);
        }

        let effective = self.effective_class(operation, class);

        self.operations
            .entry(operation.clone())
            .or_default()
            .record(seconds);

        match effective {
            WorkClass::Short => self.short.record(seconds),
            WorkClass::Long => self.long.record(seconds),
        }
    }

    /// Moves the running median one step towards a sample.
    fn record_median(&mut self, seconds: f64) {
        if seconds > self.median {
            self.median *= 1.0 + MEDIAN_STEP;
        } else {
            self.median *= 1.0 - MEDIAN_STEP;
        }

        self.median = self.median.max(MIN_MEDIAN);
    }

    /// Returns the class that an operation is treated as: long if its measured mean exceeds the
    /// running median by more than `long_factor`, otherwise the declared class.
    pub fn effective_class(&self, operation: &OperationName, declared: WorkClass) -> WorkClass {
        let Some(average) = self.operations.get(operation) else {
            return declared;
        };
        let threshold = self.median * self.long_factor;

        if average.count >= MIN_SAMPLES && average.mean > threshold {
            WorkClass::Long
        } else {
            declared
        }
    }

    /// Returns the expected duration of a request of an operation.
    pub fn expected(&self, operation: &OperationName, class: WorkClass) -> Duration {
        match self.operations.get(operation) {
            Some(average) if average.count > 0 => from_seconds(average.mean),
            _ => self.class_mean(class),
        }
    }

    /// Returns a duration that nearly all requests of an operation stay below.
    pub fn upper_estimate(&self, operation: &OperationName, class: WorkClass) -> Duration {
        match self.operations.get(operation) {
            Some(average) if average.count > 0 => {
                from_seconds(average.mean + UPPER_ESTIMATE_DEVIATIONS * average.deviation)
            }
            _ => self.class_mean(class),
        }
    }

    /// Returns the mean duration of a class, or the assumed one before its first sample.
    pub fn class_mean(&self, class: WorkClass) -> Duration {
        match class {
            WorkClass::Short => self.short_mean(),
            WorkClass::Long if self.long.count > 0 => from_seconds(self.long.mean),
            WorkClass::Long => self.initial_long,
        }
    }

    /// Returns the mean duration of short requests, or the assumed one before the first sample.
    pub fn short_mean(&self) -> Duration {
        if self.short.count > 0 {
            from_seconds(self.short.mean)
        } else {
            self.initial_short
        }
    }
}

/// Converts seconds into a duration; a negative value becomes zero.
fn from_seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}
