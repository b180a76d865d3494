//! The limit on calls per second.

/// The length of a window in microseconds.
const WINDOW_US: u64 = 1_000_000;

/// `RateWindow` counts the calls admitted in the current window of one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateWindow {
    /// The index of the window since the origin of the clock.
    window: u64,
    /// The number of calls admitted in the window.
    admitted: u64,
}

impl RateWindow {
    /// Creates a window without calls.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a call at the time `now_us` in microseconds and returns true, unless the window holds
    /// `limit` calls already.
    pub fn admit(&mut self, now_us: u64, limit: u64) -> bool {
        let window = now_us / WINDOW_US;

        if window != self.window {
            self.window = window;
            self.admitted = 0;
        }
        if self.admitted >= limit {
            return false;
        }

        self.admitted += 1;

        true
    }
}
