//! The clocks of the machine, the same for all its processes.

use rustix::time::{ClockId, Timespec, clock_gettime};

/// The microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The nanoseconds in a microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// Returns the microseconds of `CLOCK_MONOTONIC`.
pub fn monotonic_us() -> u64 {
    to_micros(clock_gettime(ClockId::Monotonic))
}

/// Returns the microseconds of `CLOCK_BOOTTIME`, which counts the time of a suspended machine.
pub fn boottime_us() -> u64 {
    to_micros(clock_gettime(ClockId::Boottime))
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    to_micros(clock_gettime(ClockId::Realtime)) / 1_000
}

/// Converts a time of a clock that is never negative.
fn to_micros(time: Timespec) -> u64 {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);

    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}
