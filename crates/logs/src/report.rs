//! The sums over all lines, and the way of one request across nodes.

use crate::{
    line::{LineError, LogLine},
    request::{RequestFate, RequestLine, RequestPlace},
};
use hdrhistogram::Histogram;
use serde::{Serialize, Serializer};
use std::{collections::BTreeMap, time::Duration};

/// The highest latency that is told apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;

/// Microseconds in a millisecond.
const MILLI_US: i64 = 1_000;

/// The significant digits of latencies.
const LATENCY_DIGITS: u8 = 2;

/// The name under which the rest is summed up once a table has [`ReportOptions::max_rows`] rows.
const OTHER_ROWS: &str = "(others)";

/// `ReportOptions` holds the settings of a [`LogReport`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportOptions {
    /// The length of a window of time.
    pub window: Duration,
    /// The most rows of each table, which bounds the memory.
    pub max_rows: usize,
    /// The request whose way is followed. The identifiers of its calls and repetitions begin with it.
    pub request_id: Option<String>,
    /// The most steps of that way.
    pub max_steps: usize,
}

impl Default for ReportOptions {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(2),
            max_rows: 10_000,
            request_id: None,
            max_steps: 10_000,
        }
    }
}

/// `FateCounts` counts requests by what became of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct FateCounts {
    /// The requests with a response of the target that is no failure. Nodes log a sample of them.
    pub answered: u64,
    /// Those among them whose response came after the objective.
    pub late: u64,
    /// The requests that did not run.
    pub refused: u64,
    /// The requests that failed, or may have run without a response.
    pub failed: u64,
}

impl FateCounts {
    /// Counts a request.
    fn count(&mut self, request: &RequestLine) {
        match request.fate {
            RequestFate::Answered => self.answered += 1,
            RequestFate::Refused => self.refused += 1,
            RequestFate::Failed => self.failed += 1,
        }
        self.late += u64::from(request.is_late());
    }

    /// Returns the number of requests that were refused or failed.
    pub fn unserved(&self) -> u64 {
        self.refused + self.failed
    }
}

/// `WindowCounts` is what happened in one window of time.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct WindowCounts {
    /// The requests that ended.
    #[serde(flatten)]
    pub fates: FateCounts,
    /// The median latency of logged responses in milliseconds; `None` without one.
    pub median_ms: Option<u64>,
    /// The latency that one in a hundred of them exceeds, in milliseconds.
    pub p99_ms: Option<u64>,
    #[serde(skip)]
    latencies: Histogram<u64>,
}

/// `ReasonKey` tells where and why requests ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct ReasonKey {
    /// The node that logged it.
    pub place: RequestPlace,
    /// The stable code of the reason.
    pub reason: String,
}

/// `ReasonCount` is the number of requests that ended for a reason.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ReasonCount {
    /// Where and why they ended.
    #[serde(flatten)]
    pub key: ReasonKey,
    /// Their number.
    pub count: u64,
}

/// `RequestStep` is a line about the request whose way is followed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RequestStep {
    /// The time in microseconds since the Unix epoch, by the clock of the node.
    pub at_us: i64,
    /// The node that wrote the line.
    pub node: String,
    /// The line, from its event on.
    pub text: String,
}

/// `LineCounts` counts the lines that were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct LineCounts {
    /// All lines.
    pub read: u64,
    /// The lines of nodes.
    pub events: u64,
    /// The lines of other programs.
    pub foreign: u64,
    /// The lines that are cut short or damaged.
    pub malformed: u64,
    /// The failures that nodes did not log, as they were too many.
    pub suppressed: u64,
}

/// `LogReport` sums up log lines in bounded memory.
#[derive(Debug)]
#[derive(Serialize)]
pub struct LogReport {
    #[serde(skip)]
    options: ReportOptions,
    /// The lines that were read.
    pub lines: LineCounts,
    /// The requests at callers' nodes.
    pub requests: FateCounts,
    #[serde(serialize_with = "serialize_reasons")]
    reasons: BTreeMap<ReasonKey, u64>,
    /// The requests at callers' nodes by route.
    pub routes: BTreeMap<String, FateCounts>,
    /// The requests at callers' nodes by service.
    pub services: BTreeMap<String, FateCounts>,
    /// The requests at callers' nodes by the node.
    pub callers: BTreeMap<String, FateCounts>,
    /// The requests at targets' nodes by the node.
    pub targets: BTreeMap<String, FateCounts>,
    /// The requests at callers' nodes by the start of the window, in milliseconds since the Unix epoch.
    pub windows: BTreeMap<i64, WindowCounts>,
    /// The way of the followed request, in order of time.
    pub steps: Vec<RequestStep>,
}

impl LogReport {
    /// Creates an empty report.
    pub fn new(options: ReportOptions) -> Self {
        Self {
            options,
            lines: LineCounts::default(),
            requests: FateCounts::default(),
            reasons: BTreeMap::new(),
            routes: BTreeMap::new(),
            services: BTreeMap::new(),
            callers: BTreeMap::new(),
            targets: BTreeMap::new(),
            windows: BTreeMap::new(),
            steps: Vec::new(),
        }
    }

    /// Adds a line of a file. `source` names the node if the line does not.
    pub fn add(&mut self, text: &str, source: &str) {
        self.lines.read += 1;
        let read = LogLine::parse(text).and_then(|line| Ok((RequestLine::read(&line)?, line)));
        let (request, line) = match read {
            Ok(read) => read,
            Err(LineError::Foreign) => {
                self.lines.foreign += 1;
                return;
            }
            Err(LineError::Malformed) => {
                self.lines.malformed += 1;
                return;
            }
        };
        self.lines.events += 1;

        let node = line.node.clone().unwrap_or_else(|| source.to_owned());
        self.follow(&line, &node, text);
        if let Some(request) = request {
            self.count(&request, &node, line.at_us / MILLI_US);
        }
    }

    /// Completes the report after the last line.
    pub fn finish(&mut self) {
        for window in self.windows.values_mut() {
            let latencies = &window.latencies;
            if !latencies.is_empty() {
                window.median_ms = Some(latencies.value_at_quantile(0.5));
                window.p99_ms = Some(latencies.value_at_quantile(0.99));
            }
        }
        self.steps.sort_by_key(|step| step.at_us);
    }

    /// Returns the reasons, the most frequent first.
    pub fn reasons(&self) -> Vec<ReasonCount> {
        let mut reasons: Vec<ReasonCount> = self
            .reasons
            .iter()
            .map(|(key, count)| ReasonCount {
                key: key.clone(),
                count: *count,
            })
            .collect();
        reasons.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.key.cmp(&b.key)));

        reasons
    }

    /// Records a line about the followed request.
    fn follow(&mut self, line: &LogLine, node: &str, text: &str) {
        let Some(followed) = &self.options.request_id else {
            return;
        };
        let is_followed = line
            .field("request_id")
            .is_some_and(|id| id.starts_with(followed.as_str()));

        if is_followed && self.steps.len() < self.options.max_steps {
            let start = text.find("event=").unwrap_or(0);
            self.steps.push(RequestStep {
                at_us: line.at_us,
                node: node.to_owned(),
                text: text[start..].trim_end().to_owned(),
            });
        }
    }

    /// Counts the end of a request.
    fn count(&mut self, request: &RequestLine, node: &str, at_ms: i64) {
        self.lines.suppressed += request.skipped;
        let max_rows = self.options.max_rows;
        let key = ReasonKey {
            place: request.place,
            reason: request.reason.clone(),
        };
        if self.reasons.len() < max_rows || self.reasons.contains_key(&key) {
            *self.reasons.entry(key).or_default() += 1;
        }
        if request.place == RequestPlace::Target {
            row(&mut self.targets, node, max_rows).count(request);
            return;
        }

        self.requests.count(request);
        row(&mut self.callers, node, max_rows).count(request);
        if let Some(route) = &request.route {
            row(&mut self.routes, route, max_rows).count(request);
        }
        if let Some(service) = &request.service {
            row(&mut self.services, service, max_rows).count(request);
        }
        self.count_window(request, at_ms);
    }

    /// Counts a request in its window of time.
    fn count_window(&mut self, request: &RequestLine, at_ms: i64) {
        let length = i64::try_from(self.options.window.as_millis().max(1)).unwrap_or(i64::MAX);
        let start = at_ms.div_euclid(length) * length;
        if self.windows.len() >= self.options.max_rows && !self.windows.contains_key(&start) {
            return;
        }
        let window = self.windows.entry(start).or_insert_with(WindowCounts::new);

        window.fates.count(request);
        if let (RequestFate::Answered, Some(took)) = (request.fate, request.took_ms) {
            window.latencies.saturating_record(took.max(1));
        }
    }
}

impl WindowCounts {
    /// Creates an empty window.
    fn new() -> Self {
        Self {
            fates: FateCounts::default(),
            median_ms: None,
            p99_ms: None,
            latencies: Histogram::new_with_max(MAX_LATENCY_MS, LATENCY_DIGITS)
                .expect("the bounds are valid"),
        }
    }
}

/// Serialises the reasons as a list, as the keys of a JSON object are strings.
fn serialize_reasons<S: Serializer>(
    reasons: &BTreeMap<ReasonKey, u64>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(reasons.iter().map(|(key, count)| ReasonCount {
        key: key.clone(),
        count: *count,
    }))
}

/// Returns the row of a table with a name. Once the table is full, further names share one row.
fn row<'a>(
    table: &'a mut BTreeMap<String, FateCounts>,
    name: &str,
    max_rows: usize,
) -> &'a mut FateCounts {
    let is_full = table.len() >= max_rows && !table.contains_key(name);
    let name = if is_full { OTHER_ROWS } else { name };

    table.entry(name.to_owned()).or_default()
}
