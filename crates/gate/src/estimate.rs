//! The time that requests hold a slot.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// The weight of the latest time.
const LATEST_WEIGHT: f32 = 0.08;

/// The most classes that are told apart.
const MAX_CLASSES: usize = 256;

/// `ServiceTimes` estimates the time that a request of a class holds a slot.
#[derive(Debug)]
pub struct ServiceTimes {
    means: HashMap<Arc<str>, f32>,
    overall: f32,
}

impl ServiceTimes {
    /// Makes an estimate that expects `first` of every class.
    pub fn new(first: Duration) -> Self {
        Self {
            means: HashMap::new(),
            overall: first.as_secs_f32(),
        }
    }

    /// Takes note of the time that a request held its slot.
    pub fn record(&mut self, class: &Arc<str>, took: Duration) {
        let took = took.as_secs_f32();
        self.overall += (took - self.overall) * LATEST_WEIGHT;

        if let Some(mean) = self.means.get_mut(class) {
            *mean += (took - *mean) * LATEST_WEIGHT;
        } else if self.means.len() < MAX_CLASSES {
            self.means.insert(Arc::clone(class), took);
        }
    }

    /// Returns the expected time in seconds of a class.
    pub fn expected(&self, class: &str) -> f32 {
        self.means.get(class).copied().unwrap_or(self.overall)
    }

    /// Returns the mean time in seconds over all classes.
    pub fn overall(&self) -> f32 {
        self.overall
    }
}
