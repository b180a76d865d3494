//! Which requests are refused because targets crash when they run them.
//!
//! Each crash counts against all requests that ran at the target. A request that crashes its targets
//! never succeeds, so a success of a request at any target clears it of the crashes before. A request
//! that one more crash would have refused runs beside no other such request, so that the next crash
//! tells which of them is the cause.
//!
//! Pattern: targets that end at the same moment, by a common cause, while popular requests run at all of them. A
//! request that ends its target runs at the next one only after the first has ended. So crashes that different nodes
//! report for the same moment count once against a request, unless its run began after the first of them.

use crate::crash_report::{
    ClearedRequest, CrashReport, CrashedRun, MAX_CRASH_REQUESTS, QUARANTINE_TIME, RunSpan,
    TargetCrash,
};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
};
use wagtail_core::{digest::RequestDigest, heartbeat::TargetIncarnation, units::LocalMoment};

/// The number of targets that may crash under a request before it is refused.
pub const MAX_REQUEST_CRASHES: usize = 3;

/// The number of crashes against a request from which other nodes are told of its success. Fewer
/// do not bring it close to a refusal.
const MIN_CLEARED_CRASHES: usize = 2;

/// The time within which crashes beside different nodes count as one against a request whose runs overlapped, in
/// microseconds.
const SAME_MOMENT_US: u64 = 8_000;

/// Microseconds per millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// `RequestStanding` is what the crashes that count against a request mean for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestStanding {
    /// No crash counts against it.
    Trusted,
    /// It may run, but is not retried after a failure.
    Suspected,
    /// It may run beside no other request of this standing.
    Isolated,
    /// It may not run.
    Refused,
}

/// `SuspectRequest` holds the incarnations of targets that crashed while a request ran, and those
/// whose crashes nodes have reported not to count against it.
#[derive(Debug, Default)]
struct SuspectRequest {
    lives: BTreeMap<TargetIncarnation, CrashMoment>,
    cleared: BTreeSet<TargetIncarnation>,
}

/// `CrashMoment` is when and by whom a crash was noticed, and when the request ran.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CrashMoment {
    /// The time in microseconds since the Unix epoch.
    at_us: u64,
    /// The node that reported it; `None` for this one.
    node: Option<Arc<str>>,
    run: CrashedRun,
}

impl CrashMoment {
    /// Creates the moment of a crash for one of its runs.
    fn new(crash: &TargetCrash, run: CrashedRun, node: Option<Arc<str>>) -> Self {
        let known_us = run.span.map(|span| span.ended_us);

        Self {
            at_us: known_us.unwrap_or(crash.at_ms.saturating_mul(MICROS_PER_MILLI)),
            node,
            run,
        }
    }

    /// Returns whether the request was sent because an earlier run of it had failed, the one that ended at
    /// `earlier_us` at the latest. Its caller's node knows of its own attempts. Other callers are told by the time.
    fn follows(&self, earlier_us: u64) -> bool {
        let has_begun_later = |span: RunSpan| span.began_us > earlier_us;

        self.run.is_repeat || self.run.span.is_some_and(has_begun_later)
    }
}

impl SuspectRequest {
    /// Returns the crashes that are not reported as cleared.
    fn uncleared(&self) -> impl Iterator<Item = (&TargetIncarnation, &CrashMoment)> {
        let lives = self.lives.iter();

        lives.filter(|(life, _)| !self.cleared.contains(*life))
    }
}

/// `QuarantineChange` tells that a request is refused from now on, or no longer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request is refused.
    Refused {
        /// The request.
        digest: RequestDigest,
        /// The incarnations of targets that crashed while it ran.
        lives: Vec<TargetIncarnation>,
    },
    /// The request is served again.
    Served {
        /// The request.
        digest: RequestDigest,
    },
}

/// `RequestQuarantine` decides from the crash reports of all nodes which requests are refused.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    own: CrashReport,
    reports: BTreeMap<Arc<str>, CrashReport>,
    suspects: HashMap<RequestDigest, SuspectRequest>,
    /// The crashes before a success of the request at the target of this node.
    succeeded: HashMap<RequestDigest, BTreeSet<TargetIncarnation>>,
    first_seen: HashMap<TargetIncarnation, LocalMoment>,
    refused: HashSet<RequestDigest>,
}

impl RequestQuarantine {
    /// Returns whether no crash counts against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the standing of a request.
    pub fn standing(&self, digest: &RequestDigest, now: LocalMoment) -> RequestStanding {
        let counted = self.counted(digest, now);

        match count_moments(counted.map(|(_, moment)| moment)) {
            0 => RequestStanding::Trusted,
            crashes if crashes >= MAX_REQUEST_CRASHES => RequestStanding::Refused,
            crashes if crashes + 1 == MAX_REQUEST_CRASHES => RequestStanding::Isolated,
            _ => RequestStanding::Suspected,
        }
    }

    /// Records a crash of the target of this node at `ended_ms`, in milliseconds since the Unix epoch.
    pub fn record_crash(
        &mut self,
        life: TargetIncarnation,
        runs: Vec<impl Into<CrashedRun>>,
        now: LocalMoment,
        ended_ms: u64,
    ) -> Vec<QuarantineChange> {
        if runs.is_empty() {
            return Vec::new();
        }
        let mut runs: Vec<CrashedRun> = runs.into_iter().map(Into::into).collect();
        // If not all can be named, those that ran at other crashes are. Of several runs, the first one counts.
        runs.sort_by_key(|run| (Reverse(self.standing(&run.digest, now)), *run));
        runs.dedup_by_key(|run| run.digest);
        runs.truncate(MAX_CRASH_REQUESTS);

        self.own.add_crash(TargetCrash::new(life, ended_ms, runs));
        self.rebuild(now)
    }

    /// Records that a request has succeeded at the target of this node.
    pub fn record_success(
        &mut self,
        digest: RequestDigest,
        now: LocalMoment,
    ) -> Vec<QuarantineChange> {
        let counted = self.counted(&digest, now);
        let lives: Vec<TargetIncarnation> = counted.map(|(life, _)| life.clone()).collect();
        if lives.is_empty() {
            return Vec::new();
        }

        self.succeeded.entry(digest).or_default().extend(lives);
        if self.refused.remove(&digest) {
            vec![QuarantineChange::Served { digest }]
        } else {
            Vec::new()
        }
    }

    /// Records the latest report of a node, which may be this one.
    pub fn set_report(
        &mut self,
        node: &Arc<str>,
        report: CrashReport,
        now: LocalMoment,
    ) -> Vec<QuarantineChange> {
        let previous = if report.is_empty() {
            self.reports.remove(node)
        } else {
            self.reports.insert(Arc::clone(node), report)
        };

        if previous.as_ref() == self.reports.get(node) {
            return Vec::new();
        }
        self.rebuild(now)
    }

    /// Takes over what an earlier process of this node reported, and returns the report of this node
    /// at `now_ms`, in milliseconds since the Unix epoch, with what has changed.
    pub fn own_report(
        &mut self,
        stored: Option<&CrashReport>,
        now: LocalMoment,
        now_ms: u64,
    ) -> (CrashReport, Vec<QuarantineChange>) {
        let previous = self.own.clone();
        if let Some(stored) = stored {
            self.own.merge(stored);
        }
        for cleared in self.due_clearances(now_ms) {
            self.own.add_cleared(cleared);
        }
        self.own.expire(now_ms);
        let changes = if self.own == previous {
            self.changes(now)
        } else {
            self.rebuild(now)
        };

        (self.own.clone(), changes)
    }

    /// Returns the successes of which other nodes need to know.
    fn due_clearances(&self, now_ms: u64) -> Vec<ClearedRequest> {
        let due = self.succeeded.iter().filter_map(|(digest, succeeded)| {
            let suspect = self.suspects.get(digest)?;
            let mut lives: BTreeSet<_> = suspect.uncleared().map(|(life, _)| life).collect();
            if lives.len() < MIN_CLEARED_CRASHES {
                return None;
            }

            lives.retain(|life| succeeded.contains(life));
            (!lives.is_empty()).then(|| ClearedRequest {
                digest: *digest,
                at_ms: now_ms,
                lives: lives.into_iter().cloned().collect(),
            })
        });

        due.collect()
    }

    /// Returns the incarnations whose crashes count against a request, with the moments of the crashes.
    fn counted<'a>(
        &'a self,
        digest: &RequestDigest,
        now: LocalMoment,
    ) -> impl Iterator<Item = (&'a TargetIncarnation, &'a CrashMoment)> {
        let succeeded = self.succeeded.get(digest);
        let suspect = self.suspects.get(digest);

        suspect.into_iter().flat_map(move |suspect| {
            suspect.uncleared().filter(move |(life, _)| {
                !self.is_expired(life, now)
                    && succeeded.is_none_or(|succeeded| !succeeded.contains(*life))
            })
        })
    }

    /// Returns whether a crash has been known for [`QUARANTINE_TIME`].
    fn is_expired(&self, life: &TargetIncarnation, now: LocalMoment) -> bool {
        self.first_seen
            .get(life)
            .is_some_and(|at| now.since(*at) >= QUARANTINE_TIME)
    }

    /// Computes the suspects from all reports, and returns what has changed.
    fn rebuild(&mut self, now: LocalMoment) -> Vec<QuarantineChange> {
        let mut suspects: HashMap<RequestDigest, SuspectRequest> = HashMap::new();
        let mut lives = HashSet::new();
        let others = self
            .reports
            .iter()
            .map(|(node, report)| (Some(node), report));
        for (node, report) in std::iter::once((None, &self.own)).chain(others) {
            for crash in report.crashes() {
                lives.insert(crash.life.clone());
                for run in crash.runs() {
                    let suspect = suspects.entry(run.digest).or_default();
                    let moment = CrashMoment::new(crash, run, node.cloned());
                    suspect.lives.entry(crash.life.clone()).or_insert(moment);
                }
            }
        }
        for report in std::iter::once(&self.own).chain(self.reports.values()) {
            for cleared in report.cleared() {
                if let Some(suspect) = suspects.get_mut(&cleared.digest) {
                    suspect.cleared.extend(cleared.lives.iter().cloned());
                }
            }
        }

        self.first_seen.retain(|life, _| lives.contains(life));
        for life in lives {
            self.first_seen.entry(life).or_insert(now);
        }
        self.succeeded.retain(|digest, succeeded| {
            suspects.get(digest).is_some_and(|suspect| {
                succeeded.retain(|life| suspect.lives.contains_key(life));
                !succeeded.is_empty()
            })
        });
        self.suspects = suspects;
        self.drop_expired_reports(now);
        self.changes(now)
    }

    /// Drops the reports of which only expired crashes are left. They are of nodes that no longer
    /// report, as a node expires its own crashes.
    fn drop_expired_reports(&mut self, now: LocalMoment) {
        let mut reports = std::mem::take(&mut self.reports);

        reports.retain(|_, report| {
            !report.cleared().is_empty()
                || report
                    .crashes()
                    .iter()
                    .any(|crash| !self.is_expired(&crash.life, now))
        });
        self.reports = reports;
    }

    /// Returns which requests are refused or served since the last call.
    fn changes(&mut self, now: LocalMoment) -> Vec<QuarantineChange> {
        let refused: HashSet<RequestDigest> = self
            .suspects
            .keys()
            .filter(|digest| self.standing(digest, now) == RequestStanding::Refused)
            .copied()
            .collect();
        let added = refused
            .difference(&self.refused)
            .map(|digest| QuarantineChange::Refused {
                digest: *digest,
                lives: self
                    .counted(digest, now)
                    .map(|(life, _)| life.clone())
                    .collect(),
            });
        let removed = self
            .refused
            .difference(&refused)
            .map(|digest| QuarantineChange::Served { digest: *digest });

        let changes = added.chain(removed).collect();
        self.refused = refused;
        changes
    }
}

/// Returns how many crashes count, with those that different nodes noticed at the same moment as one, unless the request
/// ran after the first of them.
fn count_moments<'a>(crashes: impl Iterator<Item = &'a CrashMoment>) -> usize {
    let mut crashes: Vec<&CrashMoment> = crashes.collect();
    crashes.sort_unstable();
    let mut count = 0;
    let mut moment: Option<(u64, Vec<&Option<Arc<str>>>)> = None;

    for crash in crashes {
        if let Some((began_us, nodes)) = &mut moment
            && crash.at_us - *began_us <= SAME_MOMENT_US
            && !nodes.contains(&&crash.node)
            && !crash.follows(*began_us)
        {
            nodes.push(&crash.node);
            continue;
        }
        count += 1;
        moment = Some((crash.at_us, vec![&crash.node]));
    }

    count
}
