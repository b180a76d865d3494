//! Load balancing for services without keys: the target with the least expected time, from the
//! load that targets report with their responses.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// The most doublings of the time for which an unreachable target is avoided.
const MAX_AVOID_DOUBLINGS: u32 = 3;

/// `LoadReport` is the load of a target as its node reports it with each response.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The requests that the target is running.
    pub running: u32,
    /// The requests that wait for a slot.
    pub waiting: u32,
    /// The requests that may run at the same time.
    pub slots: u32,
    /// The mean time for which a request occupies a slot, in milliseconds.
    pub service_ms: f32,
    /// The fraction of recent requests that failed at the target, from 0 to 1.
    pub failed_share: f32,
    /// The time until the limit of the target admits new work, in milliseconds; zero if it does now.
    pub limited_ms: u32,
    /// The time for which the link of the target's VM is taken by large responses, in milliseconds.
    pub link_wait_ms: u32,
    /// The time that the link takes for a kilobyte of a large response, in milliseconds.
    pub link_kb_ms: f32,
    /// The fraction of new work that callers of this service should start, from 0 to 1. Only
    /// reports to callers carry it.
    pub begin_share: Option<f32>,
}

/// `PickOptions` are the settings of a [`TargetPicker`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PickOptions {
    /// The time for which a target is avoided after it first could not be reached; it doubles with
    /// each further failure in a row.
    pub avoid: Duration,
    /// The cost of a hop to another availability zone, in milliseconds of expected time.
    pub zone_ms: f32,
    /// The cost of each kilobyte sent between availability zones, in milliseconds of expected
    /// time.
    pub zone_ms_per_kb: f32,
    /// The assumed service time of a target without a report, in milliseconds.
    pub unknown_ms: f32,
    /// The size of a response in kilobytes from which it waits for the link of the target's VM.
    pub bulk_kb: f32,
    /// The cost of a failed attempt, in milliseconds of expected time. A failure uses up a retry
    /// from the budget, or wastes the work of the request that made the call.
    pub failure_ms: f32,
    /// The half-life of a reported failure fraction. The decay lets a target that gets no requests
    /// any more, and so sends no new report, be tried again.
    pub failure_half_life: Duration,
}

impl Default for PickOptions {
    fn default() -> Self {
        Self {
            avoid: Duration::from_millis(700),
            zone_ms: 8.0,
            zone_ms_per_kb: 1.5,
            unknown_ms: 50.0,
            bulk_kb: 16.0,
            failure_ms: 400.0,
            failure_half_life: Duration::from_secs(2),
        }
    }
}

/// The most attempts of one request at the holder of its key.
const MAX_HOLDER_ATTEMPTS: usize = 2;

/// Returns whether a request may be sent to the holder of its key.
///
/// `node` is the holder's node and `tried` lists the nodes of earlier attempts. No other target
/// may run the request, so an idempotent one is sent a second time if its response was lost.
pub fn may_ask_holder(
    tried: &[Arc<str>],
    node: &Arc<str>,
    answer_lost: bool,
    idempotent: bool,
) -> bool {
    let asked = tried.iter().filter(|other| *other == node).count();

    asked == 0 || (answer_lost && idempotent && asked < MAX_HOLDER_ATTEMPTS)
}

/// `PickCandidate` is a target that [`TargetPicker::pick`] may choose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickCandidate {
    /// The node that runs the target.
    pub node: Arc<str>,
    /// Whether the target is in another availability zone.
    pub remote: bool,
    /// The requests that the target runs at the same time; a report replaces this value.
    pub slots: u32,
    /// Whether the target has just started and is still slow.
    pub cold: bool,
}

/// `ObservedTarget` is what a picker has learned about a target from its own requests.
#[derive(Debug, Clone, Default)]
struct ObservedTarget {
    report: Option<LoadReport>,
    reported_at: LocalMoment,
    /// The requests sent since the last report or connection failure.
    sent: u32,
    avoid_until: LocalMoment,
    /// The failures in a row to reach the node; failures while it is avoided do not count.
    failures: u32,
}

/// `TargetPicker` chooses the target with the least expected time until its response.
#[derive(Debug)]
pub struct TargetPicker {
    options: PickOptions,
    targets: HashMap<Arc<str>, ObservedTarget>,
    random: ChaCha8Rng,
}

impl TargetPicker {
    /// Creates a picker without observations. `seed` determines the random factor on the costs.
    pub fn new(options: PickOptions, seed: u64) -> Self {
        Self {
            options,
            targets: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the node of the candidate with the least cost that is not in `tried`. A target that
    /// could not be reached recently is chosen only if there is no other.
    ///
    /// `answer_kb` is the expected size of the response in kilobytes. A random factor of up to 5 %
    /// spreads requests over targets of about equal cost.
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

    /// Records that a request is sent to a node.
    pub fn sent(&mut self, node: &Arc<str>) {
        self.targets.entry(Arc::clone(node)).or_default().sent += 1;
    }

    /// Records the load report of a response; the node counts as reachable again.
    pub fn reported(&mut self, node: &Arc<str>, report: LoadReport, now: LocalMoment) {
        let observed = self.targets.entry(Arc::clone(node)).or_default();

        observed.report = Some(report);
        observed.reported_at = now;
        observed.sent = 0;
        observed.avoid_until = LocalMoment::ZERO;
        observed.failures = 0;
    }

    /// Records that a node could not be reached, and avoids it for a while.
    pub fn unreachable(&mut self, node: &Arc<str>, now: LocalMoment) {
        let observed = self.targets.entry(Arc::clone(node)).or_default();

        if now < observed.avoid_until {
            // Requests that were sent at the same time fail together; they count as one failure.
            return;
        }
        let doubled =
            self.options.avoid * 2_u32.saturating_pow(observed.failures.min(MAX_AVOID_DOUBLINGS));
        observed.failures += 1;
        observed.avoid_until = now + doubled;
        observed.report = None;
        observed.sent = 0;
    }

    /// Drops the observations of a node, for example after its restart.
    pub fn forget(&mut self, node: &str) {
        self.targets.remove(node);
    }

    /// Returns whether a node is avoided because it could not be reached recently.
    pub fn is_avoided(&self, node: &str, now: LocalMoment) -> bool {
        self.targets
            .get(node)
            .is_some_and(|observed| now < observed.avoid_until)
    }

    /// Returns the last load report of a node, unless the node could not be reached since.
    pub fn report(&self, node: &str) -> Option<&LoadReport> {
        self.targets.get(node)?.report.as_ref()
    }

    /// Drops the observations of the nodes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.targets.retain(|node, _| keep(node));
    }

    /// Returns a reported failure fraction after its exponential decay over `age`.
    fn decayed_failure_share(&self, reported: f32, age: Duration) -> f32 {
        let half_lives = age.as_secs_f32() / self.options.failure_half_life.as_secs_f32();

        reported * 0.5_f32.powf(half_lives)
    }

    /// Returns the expected time until a response in milliseconds, plus penalties in the same unit.
    #[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
    fn cost(&self, candidate: &PickCandidate, answer_kb: f32, now: LocalMoment) -> f32 {
        const UNREACHABLE_PENALTY_MS: f32 = 100_000.0;
        const COLD_COST_FACTOR: f32 = 2.0;

        let observed = self.targets.get(&candidate.node);
        let report = observed.and_then(|observed| observed.report);
        let sent = observed.map_or(0, |observed| observed.sent);
        let slots = report.map_or(candidate.slots, |report| report.slots).max(1);
        let busy = report.map_or(0, |report| report.running + report.waiting) + sent;
        let service = report.map_or(self.options.unknown_ms, |report| report.service_ms.max(1.0));

        let excess = (busy + 1).saturating_sub(slots) as f32;
        // Reports lag, so the load has a small weight even while slots are free.
        let mut cost = service * (1.0 + excess / slots as f32 + 0.3 * busy as f32 / slots as f32);
        if let Some(report) = report {
            let age = now.since(observed.map_or(now, |observed| observed.reported_at));
            cost += self.options.failure_ms * self.decayed_failure_share(report.failed_share, age);
            cost += limit_wait(report, age).as_secs_f32() * 1_000.0;
            if answer_kb >= self.options.bulk_kb {
                let queued = Duration::from_millis(report.link_wait_ms.into()).saturating_sub(age);
                let transfer = answer_kb * report.link_kb_ms;
                cost += queued.as_secs_f32() * 1_000.0 + transfer * (1 + sent) as f32;
            }
        }
        if candidate.cold {
            cost *= COLD_COST_FACTOR;
        }
        if candidate.remote {
            cost += self.options.zone_ms + self.options.zone_ms_per_kb * answer_kb;
        }
        if observed.is_some_and(|observed| now < observed.avoid_until) {
            cost += UNREACHABLE_PENALTY_MS;
        }

        cost
    }
}

/// Returns the time until the limit of a target admits new work, from a report of the given age.
fn limit_wait(report: LoadReport, age: Duration) -> Duration {
    Duration::from_millis(report.limited_ms.into()).saturating_sub(age)
}
