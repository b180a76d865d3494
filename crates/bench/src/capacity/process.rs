//! The processor time and memory of this process.

use rustix::time::{ClockId, clock_gettime};
use std::fs;

/// The calls of the clock by which its own cost is measured.
const CLOCK_CALLS: u32 = 20_000;

/// Returns the processor time of this thread in nanoseconds.
pub fn thread_nanos() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);

    seconds * 1_000_000_000 + nanos
}

/// Returns the nanoseconds that one call of [`thread_nanos`] takes.
pub fn clock_cost() -> u64 {
    let before = thread_nanos();
    for _ in 0..CLOCK_CALLS {
        std::hint::black_box(thread_nanos());
    }

    (thread_nanos() - before) / u64::from(CLOCK_CALLS)
}

/// Returns the resident memory of this process in KiB.
pub fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();

    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}
