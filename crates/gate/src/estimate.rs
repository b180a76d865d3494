//! Estimates of the service time: how long a request occupies a slot.

use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// The weight of the latest service time in the exponential moving averages.
const AVERAGE_WEIGHT: f32 = 0.08;

/// The maximum number of classes with their own mean; further classes use the overall mean.
const MAX_CLASSES: usize = 256;

/// The lowest weight of a service time in [`ClassMeans`]: a mean that moves slowly compares requests of
/// different classes over some seconds.
const MIN_MEAN_WEIGHT: f64 = 0.02;

/// The weight from which a mean in [`ClassMeans`] has settled: that of the third service time.
const SETTLED_WEIGHT: f64 = 0.34;

/// The time for which a stated pace is valid. The pace of a VM changes about this often.
const PACE_VALIDITY: Duration = Duration::from_millis(400);

/// The normal pace, in percent.
const NORMAL_PACE: u32 = 100;

/// The slowest pace that counts, in percent. A larger one is far beyond what VMs state, and would
/// make any request look too slow to be accepted.
const MAX_PACE: u32 = 1_000;

/// `PaceClock` measures time as the work that a VM does in it at normal pace.
#[derive(Debug, Default)]
pub struct PaceClock {
    /// The latest stated pace in percent and when it was stated.
    stated: Option<(u32, LocalMoment)>,
    /// The work done until `counted_at`, in seconds at normal pace.
    worked: f64,
    counted_at: LocalMoment,
}

impl PaceClock {
    /// Records a stated pace in percent; zero counts as the normal one.
    pub fn state(&mut self, pace: u32, now: LocalMoment) {
        self.worked = self.worked(now);
        self.counted_at = now;
        let pace = if pace == 0 { NORMAL_PACE } else { pace };

        self.stated = Some((pace.min(MAX_PACE), now));
    }

    /// Discards the stated pace.
    pub fn forget(&mut self, now: LocalMoment) {
        self.worked = self.worked(now);
        self.counted_at = now;
        self.stated = None;
    }

    /// Returns the pace in percent: the stated one while it is valid, otherwise the normal one.
    pub fn pace(&self, now: LocalMoment) -> u32 {
        self.stated
            .filter(|(_, stated_at)| now.since(*stated_at) < PACE_VALIDITY)
            .map_or(NORMAL_PACE, |(pace, _)| pace)
    }

    /// Returns how long some work takes from now on. Both are in seconds, the work at normal pace. The
    /// stated pace applies to the time for which it is still valid.
    pub fn time_for(&self, work: f32, now: LocalMoment) -> f32 {
        let Some((pace, stated_at)) = self.stated else {
            return work;
        };
        let valid = PACE_VALIDITY.saturating_sub(now.since(stated_at));
        let factor = f32::from(u16::try_from(pace).unwrap_or(u16::MAX)) / 100.0;
        let valid = valid.as_secs_f32();

        if work * factor <= valid {
            work * factor
        } else {
            valid + work - valid / factor
        }
    }

    /// Returns the work done until now, in seconds at normal pace.
    pub fn worked(&self, now: LocalMoment) -> f64 {
        let elapsed = now.since(self.counted_at);
        let (pace, valid) = self
            .stated
            .map_or((NORMAL_PACE, Duration::ZERO), |(pace, _)| {
                (pace, elapsed.min(PACE_VALIDITY))
            });
        let normal = elapsed.saturating_sub(valid);

        self.worked + valid.as_secs_f64() * 100.0 / f64::from(pace) + normal.as_secs_f64()
    }
}

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

    /// Returns the mean service time of a class in seconds, or `None` before the first one.
    pub fn mean(&self, class: &str) -> Option<f32> {
        self.class_means.get(class).copied()
    }

    /// Returns the mean service time over all classes, in seconds.
    pub fn overall(&self) -> f32 {
        self.overall
    }
}

/// `ClassMean` is the mean service time of a class, in seconds, and the weight of the next one.
#[derive(Debug, Clone, Copy)]
struct ClassMean {
    mean: f64,
    weight: f64,
}

/// `ClassMeans` keeps slowly moving means of the service time for each class.
#[derive(Debug, Default)]
pub struct ClassMeans {
    means: HashMap<Arc<str>, ClassMean>,
}

impl ClassMeans {
    /// Adds a service time in seconds. Further classes beyond [`MAX_CLASSES`] are left out.
    pub fn add(&mut self, class: &Arc<str>, seconds: f64) {
        if let Some(mean) = self.means.get_mut(class) {
            mean.mean += (seconds - mean.mean) * mean.weight;
            mean.weight = (mean.weight / (1.0 + mean.weight)).max(MIN_MEAN_WEIGHT);
        } else if self.means.len() < MAX_CLASSES {
            let mean = ClassMean {
                mean: seconds,
                weight: 0.5,
            };
            self.means.insert(Arc::clone(class), mean);
        }
    }

    /// Returns the mean service time of a class in seconds, if it has settled.
    pub fn settled(&self, class: &str) -> Option<f64> {
        self.means
            .get(class)
            .filter(|mean| mean.weight <= SETTLED_WEIGHT && mean.mean > 0.0)
            .map(|mean| mean.mean)
    }

    /// Multiplies all means by a factor.
    pub fn scale(&mut self, factor: f64) {
        for mean in self.means.values_mut() {
            mean.mean *= factor;
        }
    }
}
