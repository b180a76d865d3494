//! The clock that counts suspended time.

use rustix::time::{ClockId, clock_gettime};
use wagtail_core::units::LocalMoment;

/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: i64 = 1_000;

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Returns the present moment.
///
/// `CLOCK_BOOTTIME` goes on while the machine is suspended, so that a lease lapses during a
/// suspension too.
pub fn now() -> LocalMoment {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_nsec / NANOS_PER_MICRO).unwrap_or(0);

    LocalMoment::from_micros(seconds * MICROS_PER_SECOND + micros)
}
