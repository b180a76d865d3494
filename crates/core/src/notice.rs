//! What a target states about itself in the header fields of its responses.

use serde::{Deserialize, Serialize};
use std::fmt;

/// `RequestRate` is a number of requests per second, finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate, or returns `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = &'static str;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        Self::new(per_second).ok_or("a request rate is finite and not negative")
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

/// `LimitStatement` is what one response states about the rate of requests that its target accepts
/// from all nodes together. It holds until a later response states something else.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LimitStatement {
    /// The target names no limit.
    #[default]
    Unlimited,
    /// The target accepts this rate.
    Limited(RequestRate),
    /// The target names a limit that cannot be parsed.
    Malformed,
}

impl LimitStatement {
    /// Returns the limit in force after a response with this statement, if `known` was in force before.
    /// `is_named` says that the response names the request that it arrived for. Any other may be old, so it neither
    /// withdraws nor raises a limit.
    pub fn limit_after(self, known: Option<RequestRate>, is_named: bool) -> Option<RequestRate> {
        match (self, known) {
            (Self::Unlimited, _) if is_named => None,
            (Self::Limited(rate), Some(known)) if !is_named && known < rate => Some(known),
            (Self::Limited(rate), _) => Some(rate),
            (Self::Unlimited | Self::Malformed, known) => known,
        }
    }
}

/// `StatedLoad` is the load of a target and the pace of its VM, as one response states them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait inside the target.
    pub waiting: u32,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// How long work takes at present, in percent of its normal duration.
    pub pace: Option<u32>,
}

/// `LoadStatement` is what one response states about the load of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadStatement {
    /// The target states nothing.
    #[default]
    Absent,
    /// The target states this load.
    Stated(StatedLoad),
    /// The target states a load that cannot be parsed.
    Malformed,
}
