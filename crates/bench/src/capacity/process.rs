//! Processor time and memory of processes, as Linux reports them.

use rustix::time::{ClockId, clock_gettime};
use std::fs;

/// The number of clock readings by which the cost of one is measured.
const CLOCK_CALLS: u32 = 20_000;
/// The index of the user time among the fields after the name in `/proc/PID/stat`.
const USER_FIELD: usize = 11;
/// The index of the system time among the fields after the name in `/proc/PID/stat`.
const SYSTEM_FIELD: usize = 12;
/// The unit of both times; Linux reports hundredths of a second to user space.
const TICKS_PER_SECOND: f64 = 100.0;

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

/// `ProcessTime` is the processor time of a process in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessTime {
    /// The time in user mode.
    pub user: f64,
    /// The time in kernel mode.
    pub system: f64,
}

impl ProcessTime {
    /// Returns the time since an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            user: self.user - earlier.user,
            system: self.system - earlier.system,
        }
    }

    /// Returns the sum of two times.
    pub fn plus(self, other: Self) -> Self {
        Self {
            user: self.user + other.user,
            system: self.system + other.system,
        }
    }
}

/// Returns the processor time of a process, or zero when it has exited.
pub fn process_time(pid: u32) -> ProcessTime {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The process name, in parentheses, may contain spaces.
    let (_, rest) = text.rsplit_once(')').unwrap_or_default();
    let ticks = |place: usize| -> f64 {
        rest.split_whitespace()
            .nth(place)
            .and_then(|number| number.parse::<f64>().ok())
            .unwrap_or(0.0)
    };

    ProcessTime {
        user: ticks(USER_FIELD) / TICKS_PER_SECOND,
        system: ticks(SYSTEM_FIELD) / TICKS_PER_SECOND,
    }
}
