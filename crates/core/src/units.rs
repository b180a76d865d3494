//! Points on a node's monotonic clock.

use serde::{Deserialize, Serialize};
use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// `LocalMoment` is a reading of one node's monotonic clock, in microseconds since an arbitrary
/// origin.
///
/// The clock also advances while the process is suspended. Readings of different nodes have
/// different origins and are never compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct LocalMoment(u64);

impl LocalMoment {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates the moment `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates the moment `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero when `earlier` is after this moment.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for LocalMoment {
    type Output = Self;

    /// Returns the moment `rhs` later, saturating at the largest representable moment.
    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);

        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for LocalMoment {
    type Output = Self;

    /// Returns the moment `rhs` earlier, saturating at the origin.
    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);

        Self(self.0.saturating_sub(micros))
    }
}
