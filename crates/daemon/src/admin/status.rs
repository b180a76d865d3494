//! The status report of this daemon.

use crate::{
    agent::AgentHandle,
    fleet::FleetCell,
    latency::LatencyHandle,
    ownership::{OwnershipView, SliceLeases},
};
use std::rc::Rc;
use wagtail_admit::AdmitSummary;
use wagtail_core::{
    ids::{NodeIdentity, NodeName, TenantName, ZoneName},
    service::WorkClass,
    slice::SliceId,
};
use wagtail_intent::reports::{
    LeaseCounts, PlatformReport, PlatformState, ProblemReport, QueueReport, StatusReport,
    TargetReport, TargetState, UnservedSlice,
};
use wagtail_lease::LeaseProblem;
use wagtail_net::clock;
use wagtail_platform::HttpStore;
use wagtail_telemetry::latency::LatencyEntry;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// The platform counts as slow if more than one call in this many failed.
const SLOW_DIVISOR: u64 = 10;

/// `StatusSources` holds what the status report is read from.
#[derive(Debug)]
pub struct StatusSources {
    /// The name and incarnation of this daemon.
    pub identity: NodeIdentity,
    /// The availability zone of this daemon.
    pub zone: ZoneName,
    /// The shared state of the fleet.
    pub fleet: FleetCell,
    /// The state and the problems of the leases.
    pub view: OwnershipView,
    /// The agent task, for the state of the target and its queue.
    pub agent: AgentHandle,
    /// The latencies for each tenant and class.
    pub latency: LatencyHandle,
    /// The client of the platform, with its counters.
    pub store: Rc<HttpStore>,
}

impl StatusSources {
    /// Collects the status report.
    pub async fn report(&self) -> StatusReport {
        let fleet = self.fleet.load();
        let summary = self.agent.summary().await;
        let target = self.agent.target().await;

        StatusReport {
            node: self.identity.clone(),
            zone: self.zone.clone(),
            config_version: fleet.config.version,
            plan: fleet.config.plan.clone(),
            target: target.map(|notice| TargetReport {
                service: notice.service,
                address: notice.address.to_string(),
                state: target_state(notice.draining, summary.as_ref()),
                running: summary.as_ref().map_or(0, |summary| summary.running),
                slots: notice.slots,
                fenced: notice.fenced,
            }),
            leases: self.leases(),
            queues: self.queues(summary.as_ref()),
            platform: self.platform(),
            problems: self.problems(),
        }
    }

    /// Counts the leases and lists the owned slices that are not served now.
    fn leases(&self) -> LeaseCounts {
        let summary = self.view.summary();
        let now = clock::now();
        let unserved = summary
            .serving
            .iter()
            .filter(|slice| self.view.may_serve(now, slice).is_none());

        LeaseCounts {
            owned: to_count(summary.serving.len()),
            witnessed: to_count(summary.witnessed),
            unserved: unserved.map(unserved_slice).collect(),
        }
    }

    /// Returns one report for each tenant and class with recorded latencies.
    fn queues(&self, summary: Option<&AdmitSummary>) -> Vec<QueueReport> {
        let entries = self.latency.snapshot().entries;

        entries
            .iter()
            .filter_map(|entry| queue_report(entry, summary))
            .collect()
    }

    /// Returns the state of the platform and the counts of its calls.
    fn platform(&self) -> PlatformReport {
        let counts = self.store.counts();
        let calls = counts.gets + counts.lists + counts.updates + counts.watches;

        let state = if self.store.failures_in_row() > 0 {
            PlatformState::Down
        } else if counts.failures * SLOW_DIVISOR > calls {
            PlatformState::Slow
        } else {
            PlatformState::Up
        };

        PlatformReport {
            state,
            reads: counts.gets + counts.lists,
            writes: counts.updates,
            watches: counts.watches,
            failures: counts.failures,
            last_answer_ms: self.store.last_answer_ms(),
        }
    }

    /// Returns the newest problem of each slice and of the node.
    fn problems(&self) -> Vec<ProblemReport> {
        self.view
            .problems()
            .iter()
            .map(|(slice, problem)| problem_report(slice.as_ref(), problem))
            .collect()
    }
}

/// Returns the state of the target; without a summary of its queue it is warming up.
fn target_state(draining: bool, summary: Option<&AdmitSummary>) -> TargetState {
    match summary {
        Some(summary) if summary.stalled => TargetState::Unreachable,
        Some(summary) if summary.stopping || draining => TargetState::Draining,
        Some(_) => TargetState::Serving,
        None => TargetState::Warming,
    }
}

/// Returns the report of a slice that this node owns and cannot serve now.
fn unserved_slice(slice: &SliceId) -> UnservedSlice {
    UnservedSlice {
        slice: slice.clone(),
        reason: "the lease is not renewed by a majority of its members".to_owned(),
        for_ms: 0,
    }
}

/// Returns the report of one queue; `None` if the tenant's name is not valid.
fn queue_report(entry: &LatencyEntry, summary: Option<&AdmitSummary>) -> Option<QueueReport> {
    let waiting = summary.map_or(0, |summary| match entry.class {
        WorkClass::Short => summary.queued_short,
        WorkClass::Long => summary.queued_long,
    });

    Some(QueueReport {
        tenant: TenantName::new(&entry.tenant).ok()?,
        class: entry.class,
        waiting: to_count(waiting),
        answered: entry.count,
        refused: summary.map_or(0, |summary| summary.counters.refused),
        unknown: 0,
        p50_ms: to_ms(entry.p50_us),
        p99_ms: to_ms(entry.p99_us),
        p999_ms: to_ms(entry.p999_us),
    })
}

/// Returns the report of a lease problem.
fn problem_report(slice: Option<&SliceId>, problem: &LeaseProblem) -> ProblemReport {
    ProblemReport {
        code: problem_code(problem).to_owned(),
        subject: slice.map_or_else(|| "node".to_owned(), ToString::to_string),
        message: problem_message(problem),
        what_to_do: problem.advice().to_owned(),
    }
}

/// Returns the message of a problem for operators.
fn problem_message(problem: &LeaseProblem) -> String {
    match problem {
        LeaseProblem::QuorumLost { silent } => {
            let names: Vec<&str> = silent.iter().map(NodeName::as_str).collect();

            format!(
                "too many members of the lease set are silent: {}",
                names.join(", ")
            )
        }
        LeaseProblem::SmallFleet { tolerated } => {
            format!("the fleet is small; it tolerates the loss of {tolerated} nodes at once")
        }
        LeaseProblem::PlatformUnavailable { waiting } => {
            format!("the platform does not answer; {waiting} records wait to be written")
        }
        LeaseProblem::IncarnationOutdated => "a later start of this node is known".to_owned(),
        LeaseProblem::AlreadyOwned { owner } => format!("{owner} owns the slice already"),
        LeaseProblem::MoveRefused { to } => format!("the slice could not be moved to {to}"),
        LeaseProblem::TookOver { from, epoch } => {
            format!(
                "taken over from {from}, which is lost, at epoch {}",
                epoch.0
            )
        }
        LeaseProblem::Lapsed { epoch } => {
            format!("the lease of epoch {} lapsed without renewal", epoch.0)
        }
    }
}

/// Returns the code of a problem; the codes are part of the API.
fn problem_code(problem: &LeaseProblem) -> &'static str {
    match problem {
        LeaseProblem::QuorumLost { .. } => "quorum-lost",
        LeaseProblem::SmallFleet { .. } => "small-fleet",
        LeaseProblem::PlatformUnavailable { .. } => "platform-unavailable",
        LeaseProblem::IncarnationOutdated => "incarnation-outdated",
        LeaseProblem::AlreadyOwned { .. } => "already-owned",
        LeaseProblem::MoveRefused { .. } => "move-refused",
        LeaseProblem::TookOver { .. } => "took-over",
        LeaseProblem::Lapsed { .. } => "lease-lapsed",
    }
}

/// Converts a count for the report, at most `u32::MAX`.
fn to_count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Converts microseconds to milliseconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "a latency has few significant digits"
)]
fn to_ms(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_MS
}
