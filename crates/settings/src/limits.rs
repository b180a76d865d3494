//! The accepted ranges and the defaults of the numbers.

/// `NumberRange` is the accepted range of a number, with its default and unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NumberRange {
    /// The value of an absent field.
    pub default: u64,
    /// The least accepted value.
    pub least: u64,
    /// The greatest accepted value.
    pub greatest: u64,
    /// The field that the least value depends on, as it is shown to the operator.
    pub least_text: Option<&'static str>,
    /// The field that the greatest value depends on, as it is shown to the operator.
    pub greatest_text: Option<&'static str>,
    /// The unit.
    pub unit: &'static str,
}

impl NumberRange {
    /// Makes a range that depends on no other field.
    pub const fn new(default: u64, least: u64, greatest: u64, unit: &'static str) -> Self {
        Self {
            default,
            least,
            greatest,
            least_text: None,
            greatest_text: None,
            unit,
        }
    }

    /// Replaces the least value by one that follows from another field.
    #[must_use]
    pub const fn with_least(mut self, least: u64, text: &'static str) -> Self {
        self.least = least;
        self.least_text = Some(text);
        self
    }

    /// Replaces the greatest value by one that follows from another field.
    #[must_use]
    pub const fn with_greatest(mut self, greatest: u64, text: &'static str) -> Self {
        self.greatest = greatest;
        self.greatest_text = Some(text);
        self
    }

    /// Returns whether the range holds a number.
    pub const fn contains(&self, number: u64) -> bool {
        self.least <= number && number <= self.greatest
    }

    /// Returns the range as it is shown to the operator.
    pub fn describe(&self) -> String {
        let least = describe_bound(self.least, self.least_text);
        let greatest = describe_bound(self.greatest, self.greatest_text);

        format!("{least}..={greatest}")
    }
}

/// Returns a bound with the rule that it follows from.
fn describe_bound(bound: u64, text: Option<&str>) -> String {
    text.map_or_else(|| bound.to_string(), |text| format!("{bound} ({text})"))
}

/// The largest body of a request.
pub const MAX_BODY_BYTES: NumberRange = NumberRange::new(1_048_576, 1_024, 67_108_864, "bytes");

/// The largest head of a request; the HTTP library needs 8 KiB at least.
pub const MAX_HEADER_BYTES: NumberRange = NumberRange::new(16_384, 8_192, 1_048_576, "bytes");

/// The requests that a daemon holds at a time.
pub const MAX_REQUESTS: NumberRange = NumberRange::new(4_096, 1, 100_000, "requests");

/// The length of a grant.
pub const LEASE_TERM_MS: NumberRange = NumberRange::new(700, 100, 10_000, "milliseconds");

/// The time between two renewals; half a term leaves room for one lost exchange.
pub const LEASE_RENEW_MS: NumberRange = NumberRange::new(200, 20, 5_000, "milliseconds");

/// The silence after which an owner is suspected; one late renewal is no loss.
pub const LEASE_SUSPICION_MS: NumberRange = NumberRange::new(600, 40, 10_000, "milliseconds");

/// The further wait for each place in the order of deputies.
pub const LEASE_STAGGER_MS: NumberRange = NumberRange::new(120, 10, 2_000, "milliseconds");

/// The longest wait for requests in flight at a shutdown.
pub const DRAIN_MS: NumberRange = NumberRange::new(30_000, 100, 600_000, "milliseconds");

/// The least length of the administration token in characters.
pub const TOKEN_MIN_CHARS: usize = 16;

/// The greatest length of the administration token in characters.
pub const TOKEN_MAX_CHARS: usize = 256;
