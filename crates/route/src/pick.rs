//! The choice among the targets of a service that is not keyed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// The doublings of the time for which an unreachable target is avoided.
const MAX_DOUBLINGS: u32 = 3;

/// `LoadReport` is what the node beside a target says of its load, with each answer.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The requests that run at the target.
    pub running: u32,
    /// The requests that wait for a slot.
    pub waiting: u32,
    /// The requests that may run at a time.
    pub slots: u32,
    /// The mean time in milliseconds that a request holds a slot.
    pub service_ms: f32,
    /// The share of recent requests that the target failed.
    pub failed_share: f32,
    /// The share of new work that the callers of this service should begin, from 0 to 1; told to
    /// callers alone.
    pub begin_share: Option<f32>,
}

/// `PickOptions` are the settings of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PickOptions {
    /// The time for which a target that could not be reached is avoided the first time.
    pub avoid: Duration,
    /// The wait in milliseconds that a hop to another availability zone counts as.
    pub zone_ms: f32,
    /// The wait in milliseconds that each kilobyte between availability zones counts as.
    pub zone_ms_per_kb: f32,
    /// The service time in milliseconds that is assumed of an unknown target.
    pub unknown_ms: f32,
    /// The time in milliseconds that a failed attempt costs: a repeat out of the retry budget, or
    /// the work of the caller whose call it was.
    pub failure_ms: f32,
    /// The time after which a reported share of failures counts half, so that a target that is
    /// left alone is tried again.
    pub failure_half_life: Duration,
}

impl Default for PickOptions {
    fn default() -> Self {
        Self {
            avoid: Duration::from_millis(700),
            zone_ms: 8.0,
            zone_ms_per_kb: 1.5,
            unknown_ms: 50.0,
            failure_ms: 400.0,
            failure_half_life: Duration::from_secs(2),
        }
    }
}

/// The times that the holder of a key is asked for one request.
const MAX_ASKED_HOLDER: usize = 2;

/// Returns whether the node beside the holder of a key may be asked, again when the answer of an
/// idempotent request was lost, as no other target may run it.
pub fn may_ask_holder(
    tried: &[Arc<str>],
    node: &Arc<str>,
    answer_lost: bool,
    idempotent: bool,
) -> bool {
    let asked = tried.iter().filter(|other| *other == node).count();

    asked == 0 || (answer_lost && idempotent && asked < MAX_ASKED_HOLDER)
}

/// `PickCandidate` is a target that may be chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickCandidate {
    /// The node beside the target.
    pub node: Arc<str>,
    /// Whether the target is in another availability zone.
    pub remote: bool,
    /// The requests that the target runs at a time.
    pub slots: u32,
    /// Whether the target just started and is slow.
    pub cold: bool,
}

/// `TargetMemory` is what a node remembers of a target.
#[derive(Debug, Clone, Default)]
struct TargetMemory {
    report: Option<LoadReport>,
    reported_at: LocalMoment,
    /// Requests sent since the report and not answered.
    sent: u32,
    avoid_until: LocalMoment,
    /// The times in a row that the node could not be reached.
    failures: u32,
}

/// `TargetPicker` chooses targets by their expected wait.
#[derive(Debug)]
pub struct TargetPicker {
    options: PickOptions,
    targets: HashMap<Arc<str>, TargetMemory>,
    random: ChaCha8Rng,
}

impl TargetPicker {
    /// Makes a picker that remembers nothing.
    pub fn new(options: PickOptions, seed: u64) -> Self {
        Self {
            options,
            targets: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the target with the least expected wait, leaving out those already tried. A target
    /// that could not be reached lately is chosen only when there is no other.
    pub fn pick(
        &mut self,
        candidates: &[PickCandidate],
        tried: &[Arc<str>],
        answer_kb: f32,
        now: LocalMoment,
    ) -> Option<Arc<str>> {
        let mut best: Option<(f32, &PickCandidate)> = None;

        for candidate in candidates {
            if tried.contains(&candidate.node) {
                continue;
            }
            let cost = self.cost(candidate, answer_kb, now) * self.random.random_range(0.95..1.05);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, candidate));
            }
        }

        best.map(|(_, candidate)| Arc::clone(&candidate.node))
    }

    /// Takes note of a request that is sent.
    pub fn sent(&mut self, node: &Arc<str>) {
        self.targets.entry(Arc::clone(node)).or_default().sent += 1;
    }

    /// Takes note of the load that came with an answer.
    pub fn reported(&mut self, node: &Arc<str>, report: LoadReport, now: LocalMoment) {
        let memory = self.targets.entry(Arc::clone(node)).or_default();

        memory.report = Some(report);
        memory.reported_at = now;
        memory.sent = 0;
        memory.avoid_until = LocalMoment::ZERO;
        memory.failures = 0;
    }

    /// Takes note of a node that could not be reached.
    pub fn unreachable(&mut self, node: &Arc<str>, now: LocalMoment) {
        let memory = self.targets.entry(Arc::clone(node)).or_default();

        if now < memory.avoid_until {
            // Requests that were sent together fail together.
            return;
        }
        let doubled = self.options.avoid * 2_u32.saturating_pow(memory.failures.min(MAX_DOUBLINGS));
        memory.failures += 1;
        memory.avoid_until = now + doubled;
        memory.report = None;
        memory.sent = 0;
    }

    /// Forgets what is known of a node, as after its start.
    pub fn forget(&mut self, node: &str) {
        self.targets.remove(node);
    }

    /// Returns whether a node could not be reached lately.
    pub fn is_avoided(&self, node: &str, now: LocalMoment) -> bool {
        self.targets
            .get(node)
            .is_some_and(|memory| now < memory.avoid_until)
    }

    /// Returns the last report of a node.
    pub fn report(&self, node: &str) -> Option<&LoadReport> {
        self.targets.get(node)?.report.as_ref()
    }

    /// Forgets the targets that are gone.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.targets.retain(|node, _| keep(node));
    }

    /// Returns what a share of failures that was reported a while ago counts now.
    fn present_failures(&self, reported: f32, age: Duration) -> f32 {
        let half_lives = age.as_secs_f32() / self.options.failure_half_life.as_secs_f32();

        reported * 0.5_f32.powf(half_lives)
    }

    /// Returns the expected time in milliseconds at a target.
    #[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
    fn cost(&self, candidate: &PickCandidate, answer_kb: f32, now: LocalMoment) -> f32 {
        const UNREACHABLE_MS: f32 = 100_000.0;
        const COLD_FACTOR: f32 = 2.0;

        let memory = self.targets.get(&candidate.node);
        let report = memory.and_then(|memory| memory.report);
        let sent = memory.map_or(0, |memory| memory.sent);
        let slots = report.map_or(candidate.slots, |report| report.slots).max(1);
        let busy = report.map_or(0, |report| report.running + report.waiting) + sent;
        let service = report.map_or(self.options.unknown_ms, |report| report.service_ms.max(1.0));

        let over = (busy + 1).saturating_sub(slots) as f32;
        // A little of the load counts even while slots are free, as reports lag.
        let mut cost = service * (1.0 + over / slots as f32 + 0.3 * busy as f32 / slots as f32);
        if let Some(report) = report {
            let age = now.since(memory.map_or(now, |memory| memory.reported_at));
            cost += self.options.failure_ms * self.present_failures(report.failed_share, age);
        }
        if candidate.cold {
            cost *= COLD_FACTOR;
        }
        if candidate.remote {
            cost += self.options.zone_ms + self.options.zone_ms_per_kb * answer_kb;
        }
        if memory.is_some_and(|memory| now < memory.avoid_until) {
            cost += UNREACHABLE_MS;
        }

        cost
    }
}
