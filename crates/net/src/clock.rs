//! A monotonic clock that also runs while the machine is suspended, and the time of day.

use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};
use wagtail_core::units::LocalMoment;

/// Nanoseconds per microsecond.
const NANOS_PER_MICRO: i64 = 1_000;

/// Microseconds per millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// Microseconds per second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Returns the current time of `CLOCK_BOOTTIME`, in microseconds since boot.
///
/// Unlike `CLOCK_MONOTONIC`, this clock keeps running while the machine is suspended, so a lease
/// also expires during a suspension.
pub fn now() -> LocalMoment {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_nsec / NANOS_PER_MICRO).unwrap_or(0);

    LocalMoment::from_micros(seconds * MICROS_PER_SECOND + micros)
}

/// Returns the time of day in microseconds since the Unix epoch, or 0 before that.
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
        })
}

/// Returns the time of day in milliseconds since the Unix epoch, or 0 before that.
pub fn unix_millis() -> u64 {
    unix_micros() / MICROS_PER_MILLI
}
