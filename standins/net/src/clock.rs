//! System clocks, comparable across the processes of a machine.

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Microseconds per second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Nanoseconds per microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// Returns the current time of `CLOCK_MONOTONIC` in microseconds.
pub fn monotonic_us() -> u64 {
    to_micros(clock_gettime(ClockId::Monotonic))
}

/// Returns the current time of `CLOCK_BOOTTIME` in microseconds, which includes the time that the
/// machine was suspended.
pub fn boottime_us() -> u64 {
    to_micros(clock_gettime(ClockId::Boottime))
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    to_micros(clock_gettime(ClockId::Realtime)) / 1_000
}

/// Converts the time of a clock to microseconds; such a time is never negative.
fn to_micros(time: Timespec) -> u64 {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);

    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}
