//! The limit that a target names on the rate of its requests.
//!
//! A token bucket: each request that starts takes a token, and tokens are added at the rate of the
//! limit. A refused request learns when a token is expected, and one that can only return to this
//! target gets that token reserved.

use std::{collections::VecDeque, time::Duration};
use wagtail_core::{notice::RequestRate, units::LocalMoment};

/// The span over which a target counts its requests against its limit.
const COUNTING_WINDOW: Duration = Duration::from_secs(4);

/// The most reservations at a time; further refused requests get none.
const MAX_RESERVATIONS: usize = 64;

/// The part of a token that rounding to microseconds may cost.
const ROUNDING: f64 = 0.001;

/// `LimitOptions` holds the tolerances of a [`RateLimiter`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitOptions {
    /// The size of the bucket, as the time in which the limit fills it.
    pub burst: Duration,
    /// The time before a limit was named within which requests count against it.
    pub lookback: Duration,
    /// The share of the limit that requests within the lookback may have used without counting against
    /// the bucket.
    pub lookback_share: f64,
    /// The longest time for which a newly named limit may stop all requests because of those before.
    pub max_debt: Duration,
    /// The lowest rate in requests per second. A lower limit does not apply, because only a response
    /// tells whether it still holds.
    pub min_rate: f64,
    /// The share of the bucket that only calls may use.
    pub call_share: f64,
    /// The time for which a token stays reserved after the caller should have returned.
    pub return_grace: Duration,
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self::with_grace(Duration::from_secs(3))
    }
}

impl LimitOptions {
    /// Creates options for targets whose limits have to hold `grace` after they were first named. The
    /// windows that end from then on begin before that, which `lookback` covers.
    pub fn with_grace(grace: Duration) -> Self {
        Self {
            burst: Duration::from_secs(1),
            lookback: COUNTING_WINDOW.saturating_sub(grace),
            lookback_share: 1.0,
            max_debt: grace,
            min_rate: 0.5,
            call_share: 0.3,
            return_grace: Duration::from_millis(150),
        }
    }

    /// Creates options for the limit of a cold target, which has to hold in each second. Requests of the
    /// second before count in full, and stop further ones for a second at most: by then no second holds
    /// requests from before.
    #[must_use]
    pub fn for_cold_targets(stated: Self) -> Self {
        Self {
            lookback: Duration::from_secs(1),
            lookback_share: 0.0,
            max_debt: Duration::from_secs(1),
            min_rate: 0.0,
            ..stated
        }
    }
}

/// `LimitedArrival` describes a request to the limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitedArrival {
    /// Whether the request is a call from work that is already running.
    pub is_call: bool,
    /// Identifies the request when its caller repeats it, if it can only return to this target.
    pub repeat_id: Option<u64>,
    /// The longest time after which a repeated request is still worth a reserved token.
    pub max_pause: Duration,
}

/// `ReservedToken` is a token for a refused caller that was asked to return at `due`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReservedToken {
    due: LocalMoment,
    repeat_id: u64,
}

/// `RateLimiter` decides which requests the limit of a target admits.
#[derive(Debug)]
pub struct RateLimiter {
    options: LimitOptions,
    limit: Option<RequestRate>,
    /// The tokens at `filled_at`. Negative after a limit was named that earlier requests exceeded.
    tokens: f64,
    filled_at: LocalMoment,
    /// When requests started, within the lookback.
    started: VecDeque<LocalMoment>,
    /// The reservations, in the order in which they are due.
    reserved: VecDeque<ReservedToken>,
}

impl RateLimiter {
    /// Creates a limiter without a limit.
    pub fn new(options: LimitOptions) -> Self {
        Self {
            options,
            limit: None,
            tokens: 0.0,
            filled_at: LocalMoment::ZERO,
            started: VecDeque::new(),
            reserved: VecDeque::new(),
        }
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Replaces the limit. Requests that started within the lookback before a new or lower one count
    /// against it.
    pub fn set_limit(&mut self, limit: Option<RequestRate>, now: LocalMoment) {
        if limit == self.limit {
            return;
        }
        self.advance(now);
        let before = std::mem::replace(&mut self.limit, limit);
        let Some(rate) = self.rate() else {
            self.reserved.clear();
            return;
        };

        #[expect(clippy::cast_precision_loss, reason = "a few thousand requests")]
        let spent = self.started.len() as f64;
        let uncounted = rate * self.options.lookback.as_secs_f64() * self.options.lookback_share;
        let unspent = self.bucket_size(rate) + uncounted - spent;
        let lowest = -rate * self.options.max_debt.as_secs_f64();
        let allowance = unspent.clamp(lowest, self.bucket_size(rate));
        match before {
            None => self.tokens = allowance,
            Some(before) if Some(before) > limit => self.tokens = self.tokens.min(allowance),
            Some(_) => {}
        }
    }

    /// Decides on a request while `queued` admitted ones have not started yet.
    ///
    /// # Errors
    ///
    /// Returns the time after which a token is expected if the request is not admitted.
    pub fn admit(
        &mut self,
        arrival: LimitedArrival,
        queued: usize,
        now: LocalMoment,
    ) -> Result<(), Duration> {
        self.advance(now);
        let Some(rate) = self.rate() else {
            return Ok(());
        };

        let own = self.reservation(arrival.repeat_id);
        let is_due = own.is_some_and(|index| self.reserved[index].due <= now);
        let required = if is_due || arrival.is_call {
            1.0
        } else {
            1.0 + self.call_reserve(rate)
        };
        let available = if is_due {
            self.tokens
        } else {
            self.unreserved(rate, own, now)
        };
        #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
        let available = available - queued as f64;

        let is_admitted = available >= required - ROUNDING;
        if let Some(index) = own {
            if !is_admitted && !is_due {
                return Err(self.reserved[index].due.since(now));
            }
            self.reserved.remove(index);
        }

        if is_admitted {
            Ok(())
        } else {
            Err(self.reserve(arrival, rate, (required - available) / rate, now))
        }
    }

    /// Returns the time until a request without a reservation is expected to be admitted.
    pub fn expected_wait(&self, is_call: bool, now: LocalMoment) -> Duration {
        let Some(rate) = self.rate() else {
            return Duration::ZERO;
        };
        let required = if is_call {
            1.0
        } else {
            1.0 + self.call_reserve(rate)
        };

        seconds((required - self.tokens_at(now)) / rate)
    }

    /// Returns whether there is a token for a request that is about to start.
    pub fn has_token(&self, now: LocalMoment) -> bool {
        self.limit.is_none() || self.tokens_at(now) >= 1.0 - ROUNDING
    }

    /// Forgets the requests that have started, as none of them counts any more.
    pub fn reset(&mut self, now: LocalMoment) {
        self.started.clear();
        self.filled_at = now;
        if let Some(rate) = self.rate() {
            self.tokens = self.bucket_size(rate);
        }
    }

    /// Takes the token of a request that is about to start. Returns `false` if there is none.
    pub fn take(&mut self, now: LocalMoment) -> bool {
        self.advance(now);
        if self.limit.is_some() {
            if self.tokens < 1.0 - ROUNDING {
                return false;
            }
            self.tokens -= 1.0;
        }
        self.started.push_back(now);

        true
    }

    /// Returns the rate at which tokens are added, in requests per second.
    fn rate(&self) -> Option<f64> {
        self.limit
            .map(|limit| limit.per_second().max(self.options.min_rate))
    }

    /// Returns the number of tokens that the bucket holds at most.
    fn bucket_size(&self, rate: f64) -> f64 {
        (rate * self.options.burst.as_secs_f64()).max(1.0)
    }

    /// Returns the number of tokens that only calls may take.
    fn call_reserve(&self, rate: f64) -> f64 {
        (self.bucket_size(rate) - 1.0) * self.options.call_share
    }

    /// Returns the tokens at `now`.
    fn tokens_at(&self, now: LocalMoment) -> f64 {
        let Some(rate) = self.rate() else {
            return self.tokens;
        };
        let added = rate * now.since(self.filled_at).as_secs_f64();

        (self.tokens + added).min(self.bucket_size(rate))
    }

    /// Adds the tokens since the last call, and drops what is too old.
    fn advance(&mut self, now: LocalMoment) {
        self.tokens = self.tokens_at(now);
        self.filled_at = now;

        let lookback = self.options.lookback;
        while self
            .started
            .front()
            .is_some_and(|started| now.since(*started) > lookback)
        {
            self.started.pop_front();
        }
        let grace = self.options.return_grace;
        self.reserved
            .retain(|reserved| now.since(reserved.due) <= grace);
    }

    /// Returns the position of the reservation for a repeated request.
    fn reservation(&self, repeat_id: Option<u64>) -> Option<usize> {
        let repeat_id = repeat_id?;

        self.reserved
            .iter()
            .position(|reserved| reserved.repeat_id == repeat_id)
    }

    /// Returns how many tokens can be taken now so that there is still one for each reservation when
    /// it is due, except for the reservation at the position `own`.
    fn unreserved(&self, rate: f64, own: Option<usize>, now: LocalMoment) -> f64 {
        let mut spare = self.tokens;
        let mut committed = 0.0;
        for (index, reserved) in self.reserved.iter().enumerate() {
            if Some(index) == own {
                continue;
            }
            committed += 1.0;
            let added = rate * reserved.due.since(now).as_secs_f64();
            spare = spare.min(self.tokens + added - committed);
        }

        spare
    }

    /// Returns the time after which a refused request is expected to be admitted, `wait_s` seconds at
    /// least. Reserves a token if its caller returns early enough.
    fn reserve(
        &mut self,
        arrival: LimitedArrival,
        rate: f64,
        wait_s: f64,
        now: LocalMoment,
    ) -> Duration {
        let Some(repeat_id) = arrival.repeat_id else {
            return seconds(wait_s);
        };
        let last_due = self.reserved.back().map(|reserved| reserved.due);
        let spacing = seconds(1.0 / rate);
        let earliest = last_due.map_or(now, |due| due + spacing);
        let due = earliest.max(now + seconds(wait_s));
        let pause = due.since(now);

        if pause <= arrival.max_pause && self.reserved.len() < MAX_RESERVATIONS {
            self.reserved.push_back(ReservedToken { due, repeat_id });
        }
        pause
    }
}

/// Returns a duration of that many seconds, or zero if the number is negative.
fn seconds(number: f64) -> Duration {
    Duration::try_from_secs_f64(number.max(0.0)).unwrap_or(Duration::MAX)
}
