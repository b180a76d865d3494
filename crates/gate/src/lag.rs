//! How late a process gets its turns on the processor, and which requests are refused for it.
//!
//! Pattern: a VM of a tenth of a core that turns several times slower, while the callers on it go on. What they send
//! waits before the process reads it, which no deadline in a request shows; each request then takes processor time for
//! a response that comes after its caller has left.

use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// `LagOptions` are the settings of a [`LagGauge`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LagOptions {
    /// The time in which a lag counts half while no timer shows the next one.
    pub half_life: Duration,
    /// The share of the time for which its caller waits that a request may have waited before it was read. A request
    /// that is only late is served: a call of running work would fail that work.
    pub max_share: f32,
}

impl Default for LagOptions {
    fn default() -> Self {
        Self {
            half_life: Duration::from_millis(200),
            max_share: 0.5,
        }
    }
}

/// `LagGauge` follows how late timers of the process fire. What arrived meanwhile has waited as long.
#[derive(Debug, Clone, Copy)]
pub struct LagGauge {
    options: LagOptions,
    lag: Duration,
    seen_at: LocalMoment,
}

impl LagGauge {
    /// Creates a gauge of a process that is never late.
    pub fn new(options: LagOptions) -> Self {
        Self {
            options,
            lag: Duration::ZERO,
            seen_at: LocalMoment::ZERO,
        }
    }

    /// Records that a timer which was due at `due` has fired.
    pub fn record(&mut self, due: LocalMoment, now: LocalMoment) {
        self.lag = now.since(due);
        self.seen_at = now;
    }

    /// Returns how late the process is at present.
    pub fn lag(&self, now: LocalMoment) -> Duration {
        let half_lives =
            now.since(self.seen_at).as_secs_f32() / self.options.half_life.as_secs_f32();

        self.lag.mul_f32(0.5_f32.powf(half_lives))
    }

    /// Returns the delay before a retry if a request of a caller that waits for `caller_wait` has probably waited too
    /// long, or `None` if it is served.
    pub fn refusal(&self, caller_wait: Duration, now: LocalMoment) -> Option<Duration> {
        let lag = self.lag(now);

        (lag > caller_wait.mul_f32(self.options.max_share)).then_some(lag)
    }
}
