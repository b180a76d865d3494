//! The accepted ranges and defaults of numeric settings.

/// `NumberRange` is the accepted range of a numeric setting, with its default and unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NumberRange {
    /// The value that an absent field takes.
    pub default: u64,
    /// The smallest accepted value.
    pub least: u64,
    /// The largest accepted value.
    pub greatest: u64,
    /// The rule by which the smallest value follows from another field, as it is shown to the
    /// operator, such as `2*renew_ms`.
    pub least_rule: Option<&'static str>,
    /// The rule by which the largest value follows from another field, as it is shown to the
    /// operator, such as `term_ms/2`.
    pub greatest_rule: Option<&'static str>,
    /// The unit of the number, as it is shown to the operator.
    pub unit: &'static str,
}

impl NumberRange {
    /// Creates a range that does not depend on other fields.
    pub const fn new(default: u64, least: u64, greatest: u64, unit: &'static str) -> Self {
        Self {
            default,
            least,
            greatest,
            least_rule: None,
            greatest_rule: None,
            unit,
        }
    }

    /// Replaces the smallest value by one that follows from another field by a rule.
    #[must_use]
    pub const fn with_least(mut self, least: u64, rule: &'static str) -> Self {
        self.least = least;
        self.least_rule = Some(rule);
        self
    }

    /// Replaces the largest value by one that follows from another field by a rule.
    #[must_use]
    pub const fn with_greatest(mut self, greatest: u64, rule: &'static str) -> Self {
        self.greatest = greatest;
        self.greatest_rule = Some(rule);
        self
    }

    /// Returns whether a number lies in the range, bounds included.
    pub const fn contains(&self, number: u64) -> bool {
        self.least <= number && number <= self.greatest
    }

    /// Returns the range without its unit, as it is shown to the operator.
    pub fn describe(&self) -> String {
        let least = describe_bound(self.least, self.least_rule);
        let greatest = describe_bound(self.greatest, self.greatest_rule);

        format!("{least}..={greatest}")
    }
}

/// Returns a bound, followed by its rule if it has one.
fn describe_bound(bound: u64, rule: Option<&str>) -> String {
    rule.map_or_else(|| bound.to_string(), |rule| format!("{bound} ({rule})"))
}

/// The range of the largest accepted request body.
pub const MAX_BODY_BYTES: NumberRange = NumberRange::new(1_048_576, 1_024, 67_108_864, "bytes");

/// The range of the largest accepted request head. The HTTP library needs at least 8 KiB.
pub const MAX_HEADER_BYTES: NumberRange = NumberRange::new(16_384, 8_192, 1_048_576, "bytes");

/// The range of the maximum number of requests in flight in a daemon.
pub const MAX_REQUESTS: NumberRange = NumberRange::new(4_096, 1, 100_000, "requests");

/// The range of the term of a lease grant.
pub const LEASE_TERM_MS: NumberRange = NumberRange::new(700, 100, 10_000, "milliseconds");

/// The range of the interval between lease renewals. The reader of the file limits it to half the
/// term, which leaves time for one lost exchange.
pub const LEASE_RENEW_MS: NumberRange = NumberRange::new(200, 20, 5_000, "milliseconds");

/// The range of the silence after which an owner is suspected to have failed. The reader of the
/// file sets its lower bound to two renewal intervals, so that one late renewal raises no
/// suspicion.
pub const LEASE_SUSPICION_MS: NumberRange = NumberRange::new(600, 40, 10_000, "milliseconds");

/// The range of the wait before the next deputy is called to take over from a suspected owner.
pub const LEASE_STAGGER_MS: NumberRange = NumberRange::new(120, 10, 2_000, "milliseconds");

/// The range of the longest wait for requests in flight during a shutdown.
pub const DRAIN_MS: NumberRange = NumberRange::new(30_000, 100, 600_000, "milliseconds");

/// The minimum length of the administration token in characters.
pub const TOKEN_MIN_CHARS: usize = 16;

/// The maximum length of the administration token in characters.
pub const TOKEN_MAX_CHARS: usize = 256;
