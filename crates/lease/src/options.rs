//! The times and limits of the leases, with a check that refuses unsafe combinations.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// `Result` is the outcome of [`LeaseOptions::check`], by default.
pub type Result<T, E = OptionsError> = std::result::Result<T, E>;

/// The longest time for which a key may be unserved after its owner is lost.
pub const MAX_UNAVAILABILITY: Duration = Duration::from_secs(3);

/// `OptionsError` is the rule that a refused combination of options breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum OptionsError {
    /// The term is shorter than 2.5 renewal intervals: a lease could lapse although at most one
    /// renewal was lost.
    #[error("term must be at least 2.5 times renew_interval")]
    TermTooShort,
    /// The suspicion time is shorter than 2.5 renewal intervals: live owners could be taken over.
    #[error("suspicion must be at least 2.5 times renew_interval")]
    SuspicionTooShort,
    /// The bound on clock rates is not between 1 and 50 thousandths.
    #[error("clock_rate_thousandths must be from 1 to 50")]
    ClockBound,
    /// A takeover may take this long, more than [`MAX_UNAVAILABILITY`].
    #[error(
        "a takeover may take {0:?}, longer than {MAX_UNAVAILABILITY:?}: lower term, suspicion, deputy_step or unfenced_wait"
    )]
    TakeoverTooSlow(Duration),
    /// The set size is even or below 3. Sets of fewer than three members tolerate no loss.
    #[error("set_size must be odd and at least 3")]
    SetSize,
    /// The named option is zero.
    #[error("{0} must not be zero")]
    Zero(&'static str),
}

/// `LeaseOptions` holds the times and limits of the leases. It must be equal on all nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseOptions {
    /// The time for which a grant is valid for its owner, from the moment of the request.
    pub term: Duration,
    /// The interval between two renewals.
    pub renew_interval: Duration,
    /// The silence of a holder after which its witnesses call on the first deputy to take over.
    pub suspicion: Duration,
    /// The time between the call of one deputy and that of the next.
    pub deputy_step: Duration,
    /// The number of deputies that a record names.
    pub deputies: usize,
    /// The number of members of a set, in a fleet that has at least as many nodes.
    pub set_size: usize,
    /// The largest deviation of any clock's rate from real time, in thousandths.
    pub clock_rate_thousandths: u32,
    /// The time that a successor waits after the leases of its predecessor have lapsed, when the
    /// targets check no fencing token. It covers the path of a request from the owner's last check
    /// of its lease to the target: a pause of the owner in between, the network latency, and the
    /// deviation of the target's clock.
    pub unfenced_wait: Duration,
    /// The silence of a witness after which the owner replaces it in its set.
    pub replace_after: Duration,
    /// The most slices that a node drains for a hand-over at once.
    pub moves_in_flight: usize,
    /// The most calls to the platform that a node has in flight at once.
    pub platform_in_flight: usize,
    /// The most calls per second that all nodes together make to the platform for leases.
    pub platform_calls_per_second: u32,
    /// The time without a response after which the outcome of a call counts as unknown.
    pub platform_timeout: Duration,
    /// The longest back-off between two attempts at a failing platform.
    pub longest_backoff: Duration,
    /// A deliberate fault, which proves that the tests detect it.
    #[doc(hidden)]
    pub fault: LeaseFault,
}

/// `LeaseFault` is a fault that tests inject on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[doc(hidden)]
pub enum LeaseFault {
    /// No fault.
    #[default]
    None,
    /// A witness forgets its outstanding grants and its promises.
    ForgetPromise,
    /// The owner changes its set without a majority of the replaced one.
    NewSetOnly,
    /// The owner uses a changed set before it knows that the record is stored.
    UnwrittenSet,
    /// An owner that doesn't know that it was deposed assumes grants of every member once its set
    /// change is stored.
    DeposedChange,
    /// A restarted witness grants at once, without waiting a term and recalling its promises.
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
    /// Checks that the options are safe together and that a takeover meets [`MAX_UNAVAILABILITY`].
    ///
    /// # Errors
    ///
    /// Returns the first rule that the options break.
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

    /// Returns the time for which a witness holds a grant, on its own clock: the term, extended so
    /// that at the worst clock rates it ends no earlier than the term on the owner's clock.
    pub fn witness_term(&self) -> Duration {
        let fast = 1_000 + self.clock_rate_thousandths;
        let slow = 1_000 - self.clock_rate_thousandths.min(999);

        // One microsecond covers the rounding of the division.
        self.term * fast / slow + Duration::from_micros(1)
    }

    /// Returns the longest time for which a slice is unserved when its owner and first deputy are
    /// lost together. The takeover starts once the second deputy is called and the grants have
    /// lapsed, whichever is later.
    pub fn longest_takeover(&self) -> Duration {
        let called = self.renew_interval + self.suspicion + self.deputy_step;
        let lapsed = self.renew_interval + self.witness_term();

        called.max(lapsed) + self.unfenced_wait + self.renew_interval * 2
    }

    /// Checks that no interval or limit is zero.
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
