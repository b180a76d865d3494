//! The times and rates, with a check that refuses unsafe combinations.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// `Result` is the result of a check of the options.
pub type Result<T, E = OptionsError> = std::result::Result<T, E>;

/// The longest time for which a key may be unserved after a loss.
pub const MAX_UNAVAILABILITY: Duration = Duration::from_secs(3);

/// `OptionsError` says why a combination of options is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum OptionsError {
    /// A lease could lapse before its renewals were lost.
    #[error("the term must hold two renewals and more")]
    TermTooShort,
    /// A takeover would interrupt living owners.
    #[error("the suspicion must hold two renewals and more")]
    SuspicionTooShort,
    /// The clock bound is not between zero and five in a hundred.
    #[error("the clock rate bound must be 1 to 50 in a thousand")]
    ClockBound,
    /// A takeover takes longer than the bound.
    #[error("a takeover may take {0:?}, longer than {MAX_UNAVAILABILITY:?}")]
    TakeoverTooSlow(Duration),
    /// A set of this size tolerates nothing.
    #[error("the set size must be odd and at least 3")]
    SetSize,
    /// A limit is zero.
    #[error("{0} must not be zero")]
    Zero(&'static str),
}

/// `LeaseOptions` are the times and rates of the leases. They must be equal on all nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseOptions {
    /// The time that a grant counts for its owner, from the moment of the request.
    pub term: Duration,
    /// The time between two renewals.
    pub renew_interval: Duration,
    /// The silence of a holder after which its witnesses call the first deputy.
    pub suspicion: Duration,
    /// The time between the calls of two deputies.
    pub deputy_step: Duration,
    /// The deputies that a record names.
    pub deputies: usize,
    /// The members of a set, in a fleet that has as many nodes.
    pub set_size: usize,
    /// The bound on the difference of any clock's rate from real time, in thousandths.
    pub clock_rate_thousandths: u32,
    /// The time that a successor waits after the leases of its predecessor have lapsed, when the
    /// targets check no fencing token. It covers the way of an order from the owner's last check
    /// of its lease to the target: a pause of the owner between the two, the network, and the
    /// target's clock.
    pub unfenced_wait: Duration,
    /// The silence of a witness after which its owner replaces it.
    pub replace_after: Duration,
    /// The hand-overs that a node has in flight at once.
    pub moves_in_flight: usize,
    /// The calls of the platform that a node has in flight at once.
    pub platform_in_flight: usize,
    /// The calls a second that all nodes together make to the platform for leases.
    pub platform_calls_per_second: u32,
    /// The time after which a call without an answer counts as unknown.
    pub platform_timeout: Duration,
    /// The longest time between two attempts at a failing platform.
    pub longest_backoff: Duration,
    /// A fault to show that the tests find it.
    #[doc(hidden)]
    pub fault: LeaseFault,
}

/// `LeaseFault` is a fault that tests put in on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[doc(hidden)]
pub enum LeaseFault {
    /// No fault.
    #[default]
    None,
    /// A witness forgets its outstanding grants and promises.
    ForgetPromise,
    /// The owner changes its set without a majority of the old one.
    NewSetOnly,
    /// The owner uses a changed set before it knows that the record is written.
    UnwrittenSet,
    /// An owner that was deposed unaware counts itself granted after its set change is written.
    DeposedChange,
    /// A restarted witness grants at once.
    NoQuietTerm,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            term: Duration::from_millis(700),
            renew_interval: Duration::from_millis(225),
            suspicion: Duration::from_millis(600),
            deputy_step: Duration::from_millis(120),
            deputies: 4,
            set_size: 5,
            clock_rate_thousandths: 10,
            unfenced_wait: Duration::from_millis(250),
            replace_after: Duration::from_secs(10),
            moves_in_flight: 4,
            platform_in_flight: 2,
            platform_calls_per_second: 300,
            platform_timeout: Duration::from_secs(2),
            longest_backoff: Duration::from_secs(5),
            fault: LeaseFault::None,
        }
    }
}

impl LeaseOptions {
    /// Checks that the combination is safe and meets [`MAX_UNAVAILABILITY`].
    ///
    /// # Errors
    ///
    /// Returns the first rule that is broken.
    pub fn check(&self) -> Result<()> {
        if self.set_size < 3 || self.set_size.is_multiple_of(2) {
            return Err(OptionsError::SetSize);
        }

        if !(1..=50).contains(&self.clock_rate_thousandths) {
            return Err(OptionsError::ClockBound);
        }

        if self.term < self.renew_interval * 5 / 2 {
            return Err(OptionsError::TermTooShort);
        }

        if self.suspicion < self.renew_interval * 5 / 2 {
            return Err(OptionsError::SuspicionTooShort);
        }

        self.check_limits()?;

        let longest = self.longest_takeover();

        if longest > MAX_UNAVAILABILITY {
            return Err(OptionsError::TakeoverTooSlow(longest));
        }

        Ok(())
    }

    /// Returns the time for which a witness holds a grant, on its own clock. At the worst clock
    /// rates it ends no earlier than the term on the owner's clock.
    pub fn witness_term(&self) -> Duration {
        let fast = 1_000 + self.clock_rate_thousandths;
        let slow = 1_000 - self.clock_rate_thousandths.min(999);

        // One microsecond covers the rounding of the division.
        self.term * fast / slow + Duration::from_micros(1)
    }

    /// Returns the longest time without an owner when the first deputy of a slice is lost with
    /// it: the second deputy is called, or the grants lapse, whichever is later.
    pub fn longest_takeover(&self) -> Duration {
        let called = self.renew_interval + self.suspicion + self.deputy_step;
        let lapsed = self.renew_interval + self.witness_term();

        called.max(lapsed) + self.unfenced_wait + self.renew_interval * 2
    }

    /// Checks that no limit is zero.
    fn check_limits(&self) -> Result<()> {
        let limits = [
            ("renew_interval", self.renew_interval.is_zero()),
            ("deputy_step", self.deputy_step.is_zero()),
            ("deputies", self.deputies == 0),
            ("moves_in_flight", self.moves_in_flight == 0),
            ("platform_in_flight", self.platform_in_flight == 0),
            (
                "platform_calls_per_second",
                self.platform_calls_per_second == 0,
            ),
            ("platform_timeout", self.platform_timeout.is_zero()),
            ("longest_backoff", self.longest_backoff.is_zero()),
        ];

        for (name, zero) in limits {
            if zero {
                return Err(OptionsError::Zero(name));
            }
        }

        Ok(())
    }
}
