//! Latency histograms by tenant and work class.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use wagtail_core::{ids::TenantName, service::WorkClass};

/// The longest recorded latency in microseconds (10 minutes); longer ones are clamped to it.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The significant decimal digits of a recorded latency; two keep it within one percent.
const LATENCY_DIGITS: u8 = 2;

/// The name under which tenants beyond the limit are counted together.
pub const OTHER_TENANTS: &str = "other";

/// `LatencyRecorder` holds a latency histogram for each tenant and work class.
///
/// The number of tenants is bounded, because callers choose the tenant names. Tenants first seen
/// after the limit is reached share the histograms of [`OTHER_TENANTS`].
#[derive(Debug, Clone)]
pub struct LatencyRecorder {
    /// The maximum number of tenants with histograms of their own.
    limit: usize,
    /// The histograms by tenant.
    tenants: BTreeMap<TenantName, TenantHistograms>,
    /// The shared histograms of the tenants beyond the limit.
    others: TenantHistograms,
}

impl LatencyRecorder {
    /// The default maximum number of tenants with histograms of their own.
    pub const DEFAULT_LIMIT: usize = 64;

    /// Creates a recorder without latencies.
    pub fn new() -> Self {
        Self {
            limit: Self::DEFAULT_LIMIT,
            tenants: BTreeMap::new(),
            others: TenantHistograms::new(),
        }
    }

    /// Sets the maximum number of tenants with histograms of their own.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Records the latency of a completed request, clamped to 10 minutes.
    pub fn record(&mut self, tenant: &TenantName, class: WorkClass, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(MAX_LATENCY_US);

        // The histogram resizes itself up to the clamped latency, so recording cannot fail.
        let _recorded = self
            .histograms(tenant)
            .class_histogram(class)
            .record(micros.min(MAX_LATENCY_US));
    }

    /// Returns the quantiles of every histogram that is not empty.
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

    /// Returns the histograms of a tenant. Creates them for a new tenant while the limit allows,
    /// and returns the shared ones beyond it.
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

/// `LatencySnapshot` holds the quantiles of all latencies recorded up to one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencySnapshot {
    /// The quantiles of each tenant and work class, sorted by tenant name, with [`OTHER_TENANTS`]
    /// last.
    pub entries: Vec<LatencyEntry>,
}

/// `LatencyEntry` holds the latency quantiles of one tenant and work class since the start of the
/// process.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyEntry {
    /// The name of the tenant, or [`OTHER_TENANTS`].
    pub tenant: Arc<str>,
    /// The work class of the requests.
    pub class: WorkClass,
    /// The number of recorded requests.
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

/// `TenantHistograms` holds one histogram for each work class, in microseconds.
#[derive(Debug, Clone)]
struct TenantHistograms {
    /// The latencies of short work.
    short: Histogram<u32>,
    /// The latencies of long work.
    long: Histogram<u32>,
}

impl TenantHistograms {
    /// Creates empty histograms, which resize themselves to the recorded latencies.
    fn new() -> Self {
        let empty = || Histogram::new(LATENCY_DIGITS).expect("LATENCY_DIGITS lies in 0..=5");

        Self {
            short: empty(),
            long: empty(),
        }
    }

    /// Returns the histogram of a work class.
    fn class_histogram(&mut self, class: WorkClass) -> &mut Histogram<u32> {
        match class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        }
    }

    /// Returns the quantiles of both work classes.
    fn entries(&self, tenant: &str) -> [LatencyEntry; 2] {
        [
            summarize_histogram(tenant, WorkClass::Short, &self.short),
            summarize_histogram(tenant, WorkClass::Long, &self.long),
        ]
    }
}

/// Returns the count, the quantiles and the maximum of one histogram.
fn summarize_histogram(tenant: &str, class: WorkClass, histogram: &Histogram<u32>) -> LatencyEntry {
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
