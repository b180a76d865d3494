//! Estimates of the service time: how long a request occupies a slot.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// The weight of the latest service time in the exponential moving averages.
const AVERAGE_WEIGHT: f32 = 0.08;

/// The maximum number of classes with their own mean; further classes use the overall mean.
const MAX_CLASSES: usize = 256;

/// `ServiceTimes` keeps moving averages of the service time in seconds, for each class and overall.
#[derive(Debug)]
pub struct ServiceTimes {
    class_means: HashMap<Arc<str>, f32>,
    overall: f32,
}

impl ServiceTimes {
    /// Creates an estimate that starts from `initial` for all classes.
    pub fn new(initial: Duration) -> Self {
        Self {
            class_means: HashMap::new(),
            overall: initial.as_secs_f32(),
        }
    }

    /// Records how long a request occupied its slot. The first time of a class becomes its mean.
    pub fn record(&mut self, class: &Arc<str>, service_time: Duration) {
        let service_time = service_time.as_secs_f32();
        self.overall += (service_time - self.overall) * AVERAGE_WEIGHT;

        if let Some(mean) = self.class_means.get_mut(class) {
            *mean += (service_time - *mean) * AVERAGE_WEIGHT;
        } else if self.class_means.len() < MAX_CLASSES {
            self.class_means.insert(Arc::clone(class), service_time);
        }
    }

    /// Returns the expected service time of a class in seconds: its mean, or the overall mean for a
    /// class without one.
    pub fn expected(&self, class: &str) -> f32 {
        self.class_means.get(class).copied().unwrap_or(self.overall)
    }

    /// Returns the mean service time over all classes, in seconds.
    pub fn overall(&self) -> f32 {
        self.overall
    }
}
