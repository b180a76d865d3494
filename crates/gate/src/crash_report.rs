//! What one node reports of the crashes of its target.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, time::Duration};
use wagtail_core::{digest::RequestDigest, heartbeat::TargetIncarnation};

/// The time for which a crash counts against the requests that ran.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// The maximum number of crashes in a report.
const MAX_CRASHES: usize = 16;

/// The maximum number of requests for which a report names one crash.
pub const MAX_CRASH_REQUESTS: usize = 64;

/// The maximum number of cleared requests in a report.
const MAX_CLEARED: usize = 64;

/// `RunSpan` is when a run began and when its target ended, in microseconds since the Unix epoch, by the clock of the
/// target's VM. It is written as the beginning and the duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(into = "(u64, u64)", from = "(u64, u64)")]
pub struct RunSpan {
    /// When the request was sent to the target.
    pub began_us: u64,
    /// When the target ended, as far as its node saw.
    pub ended_us: u64,
}

impl From<RunSpan> for (u64, u64) {
    fn from(span: RunSpan) -> Self {
        (span.began_us, span.ended_us.saturating_sub(span.began_us))
    }
}

impl From<(u64, u64)> for RunSpan {
    fn from((began_us, took_us): (u64, u64)) -> Self {
        Self {
            began_us,
            ended_us: began_us.saturating_add(took_us),
        }
    }
}

/// `CrashedRun` is a run of a request that may have been under way when its target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashedRun {
    /// The request.
    pub digest: RequestDigest,
    /// When it ran, if that is known.
    pub span: Option<RunSpan>,
    /// Whether its caller's node sent it after an earlier run of it had failed.
    pub is_repeat: bool,
}

impl From<RequestDigest> for CrashedRun {
    fn from(digest: RequestDigest) -> Self {
        Self {
            digest,
            span: None,
            is_repeat: false,
        }
    }
}

/// `TargetCrash` is an end of a target's process, with the requests that ran there.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetCrash {
    /// The incarnation of the target that ended.
    pub life: TargetIncarnation,
    /// The time of the crash in milliseconds since the Unix epoch, by the clock of the target's VM.
    pub at_ms: u64,
    /// The requests that ran, in ascending order.
    pub digests: Vec<RequestDigest>,
    /// When each of them ran, in the same order; empty if that is not known.
    #[serde(default)]
    pub spans: Vec<RunSpan>,
    /// Those of them that were sent after an earlier run had failed.
    #[serde(default)]
    pub repeats: Vec<RequestDigest>,
}

impl TargetCrash {
    /// Creates a crash of an incarnation from its runs, at most one for each request.
    pub fn new(life: TargetIncarnation, at_ms: u64, mut runs: Vec<CrashedRun>) -> Self {
        runs.sort_unstable_by_key(|run| run.digest);
        let spans = runs.iter().map(|run| run.span).collect::<Option<Vec<_>>>();
        let repeats = runs.iter().filter(|run| run.is_repeat);

        Self {
            life,
            at_ms,
            repeats: repeats.map(|run| run.digest).collect(),
            digests: runs.into_iter().map(|run| run.digest).collect(),
            spans: spans.unwrap_or_default(),
        }
    }

    /// Returns the runs.
    pub fn runs(&self) -> impl Iterator<Item = CrashedRun> {
        let digests = self.digests.iter().enumerate();

        digests.map(|(index, digest)| CrashedRun {
            digest: *digest,
            span: self.spans.get(index).copied(),
            is_repeat: self.repeats.contains(digest),
        })
    }
}

/// `ClearedRequest` is a request that has succeeded after targets had crashed under it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClearedRequest {
    /// The request.
    pub digest: RequestDigest,
    /// The time at which this was found in milliseconds since the Unix epoch, by the clock of the
    /// node that reports it.
    pub at_ms: u64,
    /// The incarnations of targets whose crashes no longer count against the request.
    pub lives: BTreeSet<TargetIncarnation>,
}

/// `CrashReport` holds the latest crashes of a node's target, and the requests that have succeeded
/// there after crashes of any target, the oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct CrashReport {
    crashes: Vec<TargetCrash>,
    cleared: Vec<ClearedRequest>,
}

impl CrashReport {
    /// Returns whether the report tells of nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }

    /// Returns the crashes, the oldest first.
    pub fn crashes(&self) -> &[TargetCrash] {
        &self.crashes
    }

    /// Returns the cleared requests, the oldest first.
    pub fn cleared(&self) -> &[ClearedRequest] {
        &self.cleared
    }

    /// Adds a crash unless one of the same incarnation is known. The oldest one is dropped if there
    /// are more than `MAX_CRASHES`.
    pub fn add_crash(&mut self, crash: TargetCrash) {
        if self.crashes.iter().any(|known| known.life == crash.life) {
            return;
        }
        self.crashes.push(crash);

        // Equal reports are stored alike, in whatever order they were merged.
        self.crashes
            .sort_by(|a, b| (a.at_ms, &a.life).cmp(&(b.at_ms, &b.life)));
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// Adds a cleared request, or more incarnations to a known one. The oldest one is dropped if
    /// there are more than `MAX_CLEARED`.
    pub fn add_cleared(&mut self, cleared: ClearedRequest) {
        let known = self
            .cleared
            .iter_mut()
            .find(|known| known.digest == cleared.digest);
        match known {
            Some(known) => {
                known.at_ms = known.at_ms.max(cleared.at_ms);
                known.lives.extend(cleared.lives);
            }
            None => self.cleared.push(cleared),
        }

        self.cleared
            .sort_by_key(|cleared| (cleared.at_ms, cleared.digest));
        if self.cleared.len() > MAX_CLEARED {
            self.cleared.remove(0);
        }
    }

    /// Adds the crashes and the cleared requests of another report.
    pub fn merge(&mut self, other: &Self) {
        for crash in &other.crashes {
            self.add_crash(crash.clone());
        }
        for cleared in &other.cleared {
            self.add_cleared(cleared.clone());
        }
    }

    /// Removes what is older than [`QUARANTINE_TIME`] at `now_ms`, in milliseconds since the Unix
    /// epoch.
    pub fn expire(&mut self, now_ms: u64) {
        let is_recent =
            |at_ms: u64| Duration::from_millis(now_ms.saturating_sub(at_ms)) < QUARANTINE_TIME;

        self.crashes.retain(|crash| is_recent(crash.at_ms));
        self.cleared.retain(|cleared| is_recent(cleared.at_ms));
    }
}
