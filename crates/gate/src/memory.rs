//! The memory for bodies as a resource, like the slots of the target and the link of the VM.
//!
//! Pattern: large uploads and responses that callers read slowly fill the memory of a small VM, and a process
//! above its memory limit is ended with all its requests. So the bytes that bodies may take are reserved
//! before a body is read, and a body that does not fit is refused.

use std::{collections::VecDeque, time::Duration};
use wagtail_core::units::LocalMoment;

/// The most ends of reservations that are remembered, which bounds the memory for their rate.
const MAX_ENDS: usize = 1_024;

/// `MemoryOptions` tells how much of the memory bodies may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemoryOptions {
    /// The share of the memory of the process that reservations may take.
    pub body_share: f64,
    /// The share of the budget that only small bodies may take.
    pub small_share: f64,
    /// The share of the memory for large bodies up to which responses are buffered. Responses can be streamed
    /// instead, and buffered ones of slow readers would keep uploads out.
    pub spare_share: f64,
    /// The size in bytes below which a body is small. A body of unknown length reserves this much at first.
    pub small_bytes: u64,
    /// The time over which the rate at which reservations end is measured.
    pub rate_window: Duration,
    /// The shortest delay before a retry that a refused caller is asked for.
    pub min_retry_after: Duration,
    /// The longest delay before a retry that a refused caller is asked for.
    pub max_retry_after: Duration,
}

impl Default for MemoryOptions {
    fn default() -> Self {
        Self {
            body_share: 1.0 / 3.0,
            small_share: 0.25,
            spare_share: 0.5,
            small_bytes: 64 << 10,
            rate_window: Duration::from_secs(2),
            min_retry_after: Duration::from_millis(50),
            max_retry_after: Duration::from_secs(1),
        }
    }
}

/// `MemoryBudget` decides which bodies may be read, by the bytes that they reserve.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    options: MemoryOptions,
    /// The bytes that all reservations may take; `None` without a limit.
    total: Option<u64>,
    /// The bytes that the reservations for large bodies may take.
    large_total: u64,
    /// The bytes of large bodies up to which responses are buffered.
    spare_total: u64,
    held: u64,
    held_large: u64,
    refusals: u64,
    /// The latest ends of reservations.
    ends: VecDeque<ReservationEnd>,
    /// The moment until which the bytes that are expected to be freed are left to bodies that were refused.
    promised_until: LocalMoment,
}

/// `ReservationEnd` is the end of a reservation.
#[derive(Debug, Clone, Copy)]
struct ReservationEnd {
    ended_at: LocalMoment,
    bytes: u64,
    is_large: bool,
}

impl MemoryBudget {
    /// Creates a budget for a process that may use `memory` bytes. Without a limit everything fits.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "sizes are far below 2^52, and shares are from 0 to 1"
    )]
    pub fn new(options: MemoryOptions, memory: Option<u64>) -> Self {
        let share_of = |bytes: u64, share: f64| (bytes as f64 * share) as u64;
        let total = memory.map(|memory| share_of(memory, options.body_share));
        let large_total =
            total.map_or(u64::MAX, |total| share_of(total, 1.0 - options.small_share));

        Self {
            options,
            total,
            large_total,
            spare_total: share_of(large_total, options.spare_share),
            held: 0,
            held_large: 0,
            refusals: 0,
            ends: VecDeque::new(),
            promised_until: LocalMoment::ZERO,
        }
    }

    /// Reserves the bytes of a body that is about to be read.
    ///
    /// # Errors
    ///
    /// Returns the time after which they are expected to fit if they do not now.
    pub fn reserve(&mut self, bytes: u64, now: LocalMoment) -> Result<(), Duration> {
        self.grow(0, bytes, now)
    }

    /// Adds `more` bytes to a reservation of `held` bytes. A reservation that is no longer small counts as
    /// large with all its bytes.
    ///
    /// # Errors
    ///
    /// Returns the time after which they are expected to fit if they do not now. The reservation keeps its
    /// bytes.
    pub fn grow(&mut self, held: u64, more: u64, now: LocalMoment) -> Result<(), Duration> {
        let Some(total) = self.total else {
            self.held = self.held.saturating_add(more);
            return Ok(());
        };

        let bytes = held.saturating_add(more);
        let more_large = self.large_part(bytes).saturating_sub(self.large_part(held));
        let excess = self.held.saturating_add(more).saturating_sub(total);
        let excess_large = match more_large {
            0 => 0,
            _ => self
                .held_large
                .saturating_add(more_large)
                .saturating_sub(self.large_total),
        };
        let lacking = excess.max(excess_large);
        if lacking > 0 {
            self.refusals += 1;
            return Err(self.retry_after(bytes, lacking, excess_large > 0, now));
        }

        self.held += more;
        self.held_large += more_large;
        Ok(())
    }

    /// Returns whether a reservation of `held` bytes may grow by `more` for a response, which can be streamed
    /// instead. That is no refusal.
    pub fn has_spare_room(&self, held: u64, more: u64) -> bool {
        let Some(total) = self.total else {
            return true;
        };
        let more_large = self
            .large_part(held.saturating_add(more))
            .saturating_sub(self.large_part(held));
        let fits_large =
            more_large == 0 || self.held_large.saturating_add(more_large) <= self.spare_total;

        fits_large && self.held.saturating_add(more) <= total
    }

    /// Ends a reservation of `bytes`.
    pub fn release(&mut self, bytes: u64, now: LocalMoment) {
        self.held = self.held.saturating_sub(bytes);
        if self.total.is_none() {
            return;
        }

        self.held_large = self.held_large.saturating_sub(self.large_part(bytes));
        if self.ends.len() == MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back(ReservationEnd {
            ended_at: now,
            bytes,
            is_large: self.large_part(bytes) > 0,
        });
    }

    /// Reduces a reservation of `held` bytes to `bytes`, as its body turned out to be shorter. This is no
    /// end of a reservation, so it does not count for the rate.
    pub fn shrink(&mut self, held: u64, bytes: u64) {
        self.held = self.held.saturating_sub(held.saturating_sub(bytes));
        if self.total.is_some() {
            let less_large = self.large_part(held).saturating_sub(self.large_part(bytes));
            self.held_large = self.held_large.saturating_sub(less_large);
        }
    }

    /// Returns the bytes that are reserved.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the number of bytes that all reservations may take, or `None` without a limit.
    pub fn total(&self) -> Option<u64> {
        self.total
    }

    /// Returns the number of reservations that were refused, also of further bytes.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Returns the bytes of a reservation that count as those of a large body.
    fn large_part(&self, bytes: u64) -> u64 {
        if bytes < self.options.small_bytes {
            0
        } else {
            bytes
        }
    }

    /// Returns the time after which a body of `bytes`, of which `lacking` do not fit now, is expected to fit. Bodies
    /// that were refused before it come first, or all would return at the same time. Without an end of a
    /// reservation in the last `rate_window` it is the longest delay.
    fn retry_after(
        &mut self,
        bytes: u64,
        lacking: u64,
        is_large: bool,
        now: LocalMoment,
    ) -> Duration {
        let max_delay = self.options.max_retry_after;
        let Some(rate) = self.end_rate(is_large, now) else {
            return max_delay;
        };
        #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
        let time_for = |bytes: u64| {
            Duration::from_secs_f64((bytes as f64 / rate).min(max_delay.as_secs_f64()))
        };

        let delay = if self.promised_until > now {
            self.promised_until.since(now) + time_for(bytes)
        } else {
            time_for(lacking)
        };
        let delay = delay.min(max_delay);
        self.promised_until = now + delay;
        delay.max(self.options.min_retry_after)
    }

    /// Returns the bytes per second of the reservations that ended in the last `rate_window`, of all or only of
    /// those for large bodies. Returns `None` if there was none.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    fn end_rate(&mut self, is_large: bool, now: LocalMoment) -> Option<f64> {
        let window = self.options.rate_window;
        while self
            .ends
            .front()
            .is_some_and(|end| now.since(end.ended_at) > window)
        {
            self.ends.pop_front();
        }
        let first = self.ends.front()?;

        // Where ends were dropped, those that are left cover less than the window.
        let covered = if self.ends.len() == MAX_ENDS {
            now.since(first.ended_at).max(self.options.min_retry_after)
        } else {
            window
        };
        let freed: u64 = self
            .ends
            .iter()
            .filter(|end| end.is_large || !is_large)
            .map(|end| end.bytes)
            .sum();

        (freed > 0).then(|| freed as f64 / covered.as_secs_f64())
    }
}
