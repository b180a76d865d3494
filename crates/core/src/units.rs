//! Points in time.

use serde::{Deserialize, Serialize};
use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// `LocalMoment` is a point on one node's clock, in microseconds since an arbitrary origin.
///
/// The clock counts the time that the process spends suspended. Moments of two nodes are
/// never compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct LocalMoment(u64);

impl LocalMoment {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Makes the moment `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Makes the moment `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for LocalMoment {
    type Output = Self;

    /// Returns the later moment, saturated at the end of the clock.
    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);

        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for LocalMoment {
    type Output = Self;

    /// Returns the earlier moment, saturated at the origin.
    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);

        Self(self.0.saturating_sub(micros))
    }
}
