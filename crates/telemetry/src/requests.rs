//! Counters and histograms of requests, as text for a collector.

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

/// The upper bound of the first bucket of a histogram in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.002;

/// The buckets of a histogram; each is twice as wide as the one before, up to 8 s.
const BUCKETS: u16 = 13;

/// The classes of requests that are counted apart.
const MAX_CLASSES: usize = 64;

/// The label of the classes beyond the limit.
const OTHER: &str = "other";

/// `RequestClass` is a class of requests that is counted apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(EncodeLabelSet)]
pub struct RequestClass {
    /// The service.
    pub service: String,
    /// What may be repeated.
    pub kind: String,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
}

/// `ClassOutcome` is a class and how its requests ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ClassOutcome {
    service: String,
    kind: String,
    priority: u32,
    status: u16,
}

/// `ReasonLabel` is a stable code of a reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

/// `RequestMetrics` counts the requests of one process.
#[derive(Debug)]
pub struct RequestMetrics {
    registry: RefCell<Registry>,
    classes: RefCell<BTreeSet<RequestClass>>,
    ended: Family<ClassOutcome, Counter>,
    latency: Family<RequestClass, Histogram>,
    reasons: Family<ReasonLabel, Counter>,
    waits: Histogram,
    runs: Histogram,
}

impl Default for RequestMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestMetrics {
    /// Makes metrics that have counted nothing.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("wagtail");
        let ended = Family::default();
        let latency = Family::new_with_constructor(seconds_histogram as fn() -> Histogram);
        let reasons = Family::default();
        let (waits, runs) = (seconds_histogram(), seconds_histogram());

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
        registry.register_with_unit(
            "slot_wait",
            "Time that requests waited for a slot of the target",
            Unit::Seconds,
            waits.clone(),
        );
        registry.register_with_unit(
            "slot_use",
            "Time to the head of the target's answer",
            Unit::Seconds,
            runs.clone(),
        );

        Self {
            registry: RefCell::new(registry),
            classes: RefCell::default(),
            ended,
            latency,
            reasons,
            waits,
            runs,
        }
    }

    /// Registers a gauge and returns it.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge<f64, AtomicU64> {
        let gauge = Gauge::default();
        self.registry
            .borrow_mut()
            .register(name, help, gauge.clone());

        gauge
    }

    /// Counts a caller's request that has ended.
    pub fn count_request(&self, class: RequestClass, status: u16, took: Duration) {
        let class = self.bounded(class);
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

    /// Counts a refusal or a failure by the stable code of its reason.
    pub fn count_reason(&self, reason: &str) {
        let label = ReasonLabel {
            reason: reason.to_owned(),
        };

        self.reasons.get_or_create(&label).inc();
    }

    /// Counts a request that the target answered, by its wait for a slot and its use of it.
    pub fn count_run(&self, waited: Duration, ran: Duration) {
        self.waits.observe(waited.as_secs_f64());
        self.runs.observe(ran.as_secs_f64());
    }

    /// Returns the text for a collector.
    ///
    /// # Errors
    ///
    /// Fails when the metrics cannot be encoded.
    pub fn text(&self) -> Result<String> {
        let mut text = String::new();
        encode(&mut text, &self.registry.borrow()).map_err(TelemetryError::Encode)?;

        Ok(text)
    }

    /// Returns the class, or the common one when too many are known.
    fn bounded(&self, class: RequestClass) -> RequestClass {
        let mut classes = self.classes.borrow_mut();
        if classes.contains(&class) {
            return class;
        }
        if classes.len() >= MAX_CLASSES {
            return RequestClass {
                service: OTHER.to_owned(),
                kind: OTHER.to_owned(),
                priority: 0,
            };
        }
        classes.insert(class.clone());

        class
    }
}

/// Makes a histogram of times in seconds.
fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS))
}
