//! Histograms for each tenant and class.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use wagtail_core::{ids::TenantName, service::WorkClass};

/// The largest recorded latency in microseconds; a longer one counts as this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The significant digits of a recorded latency.
const LATENCY_DIGITS: u8 = 2;

/// The name under which the tenants beyond the limit are counted together.
pub const OTHER_TENANTS: &str = "other";

/// `LatencyRecorder` holds a histogram for each tenant and class.
///
/// The count of tenants is bounded, as callers choose their names. The tenants that come later
/// share the histograms of [`OTHER_TENANTS`].
#[derive(Debug, Clone)]
pub struct LatencyRecorder {
    /// The tenants with histograms of their own.
    limit: usize,
    /// The histograms by tenant.
    tenants: BTreeMap<TenantName, TenantHistograms>,
    /// The histograms of the tenants beyond the limit.
    others: TenantHistograms,
}

impl LatencyRecorder {
    /// The tenants with histograms of their own unless the limit is set.
    pub const DEFAULT_LIMIT: usize = 64;

    /// Makes an empty book.
    pub fn new() -> Self {
        Self {
            limit: Self::DEFAULT_LIMIT,
            tenants: BTreeMap::new(),
            others: TenantHistograms::new(),
        }
    }

    /// Sets the count of tenants with histograms of their own.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Records the latency of an answered request.
    pub fn record(&mut self, tenant: &TenantName, class: WorkClass, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(MAX_LATENCY_US);

        // The histogram grows to the bounded latency, so that recording cannot fail.
        let _recorded = self
            .histograms(tenant)
            .of_class(class)
            .record(micros.min(MAX_LATENCY_US));
    }

    /// Returns the quantiles of every histogram that holds a latency.
    pub fn snapshot(&self) -> LatencySnapshot {
        let named = self
            .tenants
            .iter()
            .map(|(tenant, histograms)| (tenant.as_str(), histograms));
        let all = named.chain([(OTHER_TENANTS, &self.others)]);

        LatencySnapshot {
            entries: all
                .flat_map(|(tenant, histograms)| histograms.entries(tenant))
                .filter(|entry| entry.count > 0)
                .collect(),
        }
    }

    /// Returns the histograms of a tenant, new ones while the limit allows.
    fn histograms(&mut self, tenant: &TenantName) -> &mut TenantHistograms {
        if !self.tenants.contains_key(tenant) {
            if self.tenants.len() >= self.limit {
                return &mut self.others;
            }
            self.tenants.insert(tenant.clone(), TenantHistograms::new());
        }

        self.tenants.get_mut(tenant).unwrap_or(&mut self.others)
    }
}

impl Default for LatencyRecorder {
    fn default() -> Self {
        Self::new()
    }
}

/// `LatencySnapshot` is the quantiles of a book at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencySnapshot {
    /// The quantiles of each tenant and class, in the order of the tenants' names.
    pub entries: Vec<LatencyEntry>,
}

/// `LatencyEntry` is the quantiles of one tenant and class since the start of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyEntry {
    /// The tenant.
    pub tenant: Arc<str>,
    /// The class of the work.
    pub class: WorkClass,
    /// The count of answered requests.
    pub count: u64,
    /// The median in microseconds.
    pub p50_us: u64,
    /// The 99th percentile in microseconds.
    pub p99_us: u64,
    /// The 99.9th percentile in microseconds.
    pub p999_us: u64,
    /// The longest latency in microseconds.
    pub max_us: u64,
}

/// `TenantHistograms` holds one histogram for each class.
#[derive(Debug, Clone)]
struct TenantHistograms {
    /// The latencies of short work.
    short: Histogram<u32>,
    /// The latencies of long work.
    long: Histogram<u32>,
}

impl TenantHistograms {
    /// Makes empty histograms, which grow with the latencies that they hold.
    fn new() -> Self {
        let empty = || Histogram::new(LATENCY_DIGITS).expect("the digits are in the range 0 to 5");

        Self {
            short: empty(),
            long: empty(),
        }
    }

    /// Returns the histogram of a class.
    fn of_class(&mut self, class: WorkClass) -> &mut Histogram<u32> {
        match class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        }
    }

    /// Returns the quantiles of both classes.
    fn entries(&self, tenant: &str) -> [LatencyEntry; 2] {
        [
            describe_histogram(tenant, WorkClass::Short, &self.short),
            describe_histogram(tenant, WorkClass::Long, &self.long),
        ]
    }
}

/// Returns the quantiles of one histogram.
fn describe_histogram(tenant: &str, class: WorkClass, histogram: &Histogram<u32>) -> LatencyEntry {
    LatencyEntry {
        tenant: Arc::from(tenant),
        class,
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
        max_us: histogram.max(),
    }
}
