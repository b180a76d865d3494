//! The limits on calls a second.

/// The microseconds in one window.
const WINDOW_US: u64 = 1_000_000;

/// `RateWindow` counts the calls of the current second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateWindow {
    /// The ordinal of the second.
    window: u64,
    /// The calls that were admitted in it.
    admitted: u64,
}

impl RateWindow {
    /// Makes a window without calls.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a call at a moment in microseconds unless the second is full.
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
