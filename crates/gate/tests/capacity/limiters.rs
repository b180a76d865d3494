//! Ways to limit the requests at a target, for comparison.

use crate::model::SLOTS;

/// `Limiter` decides how many requests run at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limiter {
    /// All slots, or fewer that never change.
    Fixed(u32),
    /// Additive increase, and multiplicative decrease when a response is late.
    Aimd { limit: f64 },
    /// The ratio of the long-term mean of service times to the latest ones.
    Gradient { limit: f64, long: f64, short: f64 },
    /// The estimator of the gate.
    Estimator,
}

impl Limiter {
    /// AIMD that starts at all slots.
    pub const AIMD: Self = Self::Aimd { limit: 6.0 };

    /// A gradient limit that starts at all slots.
    pub const GRADIENT: Self = Self::Gradient {
        limit: 6.0,
        long: 0.0,
        short: 0.0,
    };

    /// Records the end of a request, and returns the number of slots to set at the gate, if any.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "small numbers"
    )]
    pub fn ended(&mut self, ran_ms: u64, is_in_time: bool, running: u32) -> Option<u32> {
        let (floor, ceiling) = (2.0, f64::from(SLOTS));
        let limit = match self {
            Self::Estimator => return None,
            Self::Fixed(slots) => return Some(*slots),
            Self::Aimd { limit } => {
                if !is_in_time {
                    *limit *= 0.9;
                } else if f64::from(running) >= limit.floor() {
                    *limit += 1.0 / *limit;
                }
                limit
            }
            Self::Gradient { limit, long, short } => {
                let ran = ran_ms as f64;
                if *long == 0.0 {
                    (*long, *short) = (ran, ran);
                }
                *long += (ran - *long) * 0.003;
                *short += (ran - *short) * 0.1;
                let gradient = (1.2 * *long / *short).clamp(0.5, 1.0);
                *limit += (*limit * gradient + 0.5 - *limit) * 0.1;
                limit
            }
        };
        *limit = limit.clamp(floor, ceiling);

        Some(limit.floor() as u32)
    }
}
