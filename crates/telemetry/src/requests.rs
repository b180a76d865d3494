//! Counters and histograms of requests, exposed in the `OpenMetrics` text format.

use crate::errors::{Result, TelemetryError};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};
use std::{
    cell::RefCell, collections::BTreeSet, fmt::Debug, sync::atomic::AtomicU64, time::Duration,
};

/// The upper bound of the first histogram bucket in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.002;

/// The number of histogram buckets. Each upper bound is twice the one before; the last is about
/// 8 s.
const BUCKET_COUNT: u16 = 13;

/// The number of request classes that are counted separately.
const MAX_CLASSES: usize = 64;

/// The service and kind label of all classes beyond [`MAX_CLASSES`].
const OTHER_CLASS: &str = "other";

/// `RequestClass` is the label set of requests that are counted together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(EncodeLabelSet)]
pub struct RequestClass {
    /// The name of the service.
    pub service: String,
    /// The kind of request, which decides whether it may be retried.
    pub kind: String,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
}

/// `ClassOutcome` is the label set of requests of one class that ended with the same HTTP status.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ClassOutcome {
    service: String,
    kind: String,
    priority: u32,
    status: u16,
}

/// `ReasonLabel` is the label of a refusal or failure, the stable code of its reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

/// `UnmatchedLabel` is the label set of responses of the target that do not name their request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct UnmatchedLabel {
    /// What the response states: a `refusal`, or an `answer` of a request that ran.
    states: &'static str,
    /// The request that it names: `another`, or `none` if it names none or several.
    names: &'static str,
}

/// `RequestMetrics` holds the request counters and histograms of one process.
#[derive(Debug)]
pub struct RequestMetrics {
    registry: RefCell<Registry>,
    /// The classes that are counted separately, [`MAX_CLASSES`] at most.
    classes: RefCell<BTreeSet<RequestClass>>,
    ended: Family<ClassOutcome, Counter>,
    latency: Family<RequestClass, Histogram>,
    reasons: Family<ReasonLabel, Counter>,
    unmatched: Family<UnmatchedLabel, Counter>,
    /// The requests that were sent to the target.
    sent: Counter,
    /// The times that requests waited for a slot of the target.
    slot_waits: Histogram,
    /// The times from taking a slot to the head of the target's response.
    slot_uses: Histogram,
}

impl Default for RequestMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestMetrics {
    /// Creates the metrics and registers them under the prefix `wagtail`.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("wagtail");
        let ended = Family::default();
        let latency = Family::new_with_constructor(seconds_histogram as fn() -> Histogram);
        let reasons = Family::default();
        let unmatched = Family::default();
        let sent = Counter::default();
        let (slot_waits, slot_uses) = (seconds_histogram(), seconds_histogram());

        registry.register(
            "requests",
            "Requests of callers by class and status",
            ended.clone(),
        );
        registry.register_with_unit(
            "request",
            "Time to the head of the answer of a caller's request",
            Unit::Seconds,
            latency.clone(),
        );
        registry.register(
            "reasons",
            "Refusals and failures by their reason, where they were decided",
            reasons.clone(),
        );
        registry.register(
            "unmatched_responses",
            "Responses of the target that do not name the request that they arrived for",
            unmatched.clone(),
        );
        registry.register(
            "target_requests",
            "Requests that were sent to the target",
            sent.clone(),
        );
        registry.register_with_unit(
            "slot_wait",
            "Time that requests waited for a slot of the target",
            Unit::Seconds,
            slot_waits.clone(),
        );
        registry.register_with_unit(
            "slot_use",
            "Time to the head of the target's answer",
            Unit::Seconds,
            slot_uses.clone(),
        );

        Self {
            registry: RefCell::new(registry),
            classes: RefCell::default(),
            ended,
            latency,
            reasons,
            unmatched,
            sent,
            slot_waits,
            slot_uses,
        }
    }

    /// Registers a gauge under a name without the prefix and returns it.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge<f64, AtomicU64> {
        let gauge = Gauge::default();
        self.registry
            .borrow_mut()
            .register(name, help, gauge.clone());

        gauge
    }

    /// Counts a caller's request that ended with an HTTP status, and records its latency.
    pub fn count_request(&self, class: RequestClass, status: u16, took: Duration) {
        let class = self.class_or_other(class);
        let outcome = ClassOutcome {
            service: class.service.clone(),
            kind: class.kind.clone(),
            priority: class.priority,
            status,
        };

        self.ended.get_or_create(&outcome).inc();
        self.latency
            .get_or_create(&class)
            .observe(took.as_secs_f64());
    }

    /// Counts a request that is sent to the target.
    pub fn count_sent(&self) {
        self.sent.inc();
    }

    /// Counts a refusal or a failure by the stable code of its reason.
    pub fn count_reason(&self, reason: &str) {
        let label = ReasonLabel {
            reason: reason.to_owned(),
        };

        self.reasons.get_or_create(&label).inc();
    }

    /// Counts a response of the target that does not name the request that it arrived for: whether it refuses
    /// that request, and whether it names another one.
    pub fn count_unmatched(&self, is_refusal: bool, names_another: bool) {
        let label = UnmatchedLabel {
            states: if is_refusal { "refusal" } else { "answer" },
            names: if names_another { "another" } else { "none" },
        };

        self.unmatched.get_or_create(&label).inc();
    }

    /// Records how long a request that got a response waited for a slot, and how long the target
    /// then took until the response head.
    pub fn count_run(&self, waited: Duration, ran: Duration) {
        self.slot_waits.observe(waited.as_secs_f64());
        self.slot_uses.observe(ran.as_secs_f64());
    }

    /// Returns all metrics in the `OpenMetrics` text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub fn text(&self) -> Result<String> {
        let mut text = String::new();
        encode(&mut text, &self.registry.borrow()).map_err(TelemetryError::Encode)?;

        Ok(text)
    }

    /// Returns the class if it is counted separately, or else the shared `other` class. A new class
    /// is added while there are fewer than [`MAX_CLASSES`].
    fn class_or_other(&self, class: RequestClass) -> RequestClass {
        let mut classes = self.classes.borrow_mut();
        if classes.contains(&class) {
            return class;
        }
        if classes.len() >= MAX_CLASSES {
            return RequestClass {
                service: OTHER_CLASS.to_owned(),
                kind: OTHER_CLASS.to_owned(),
                priority: 0,
            };
        }
        classes.insert(class.clone());

        class
    }
}

/// Creates a histogram of durations in seconds.
fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}
