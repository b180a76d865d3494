//! Load balancing for services without keys: the target with the least expected time, from the
//! load that targets report with their responses.
//!
//! In a large fleet a node hears of each target seldom. If all nodes chose the target that seems the best
//! by old reports, they would all choose the same few. So the older the reports, the more the choice is
//! drawn at random, in proportion to the speed of the targets, and the less the reported load counts.

use crate::paces::{RouteTimes, TargetPace};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// The most doublings of the time for which an unreachable target is avoided.
const MAX_AVOID_DOUBLINGS: u32 = 3;

/// The number of targets from which callers that choose by old reports crowd at the same ones.
pub const MIN_CROWD: usize = 6;

/// The most targets of a large service that decline a request because all their slots are taken, before it
/// waits for one. To ask another target takes less time than to wait for a slot.
pub const MAX_DECLINES: usize = 2;

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
    /// The mean time for which a request on the route of the reported one occupies a slot, in milliseconds; zero
    /// before the first such request.
    pub route_ms: f32,
    /// The fraction of recent requests that failed at the target, from 0 to 1.
    pub failed_share: f32,
    /// The time until the limit of the target admits new work, in milliseconds; zero if it does now.
    pub limited_ms: u32,
    /// The time until the target has warmed up, in milliseconds; zero if it has.
    pub cold_ms: u32,
    /// The time for which the link of the target's VM is taken by large responses, in milliseconds.
    pub link_wait_ms: u32,
    /// The time that the link takes for a kilobyte of a large response, in milliseconds.
    pub link_kb_ms: f32,
}

impl LoadReport {
    /// Returns the share of the slots that are busy; above 1 if requests wait.
    #[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
    pub fn busy_share(&self) -> f32 {
        (self.running + self.waiting) as f32 / self.slots.max(1) as f32
    }
}

/// `TypicalLoad` is the mean load of the targets that have reported.
#[derive(Debug, Clone, Copy)]
struct TypicalLoad {
    /// The share of busy slots; above 1 if requests wait.
    busy_share: f32,
    /// The time for which a request occupies a slot, in milliseconds.
    service_ms: f32,
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
    /// The age from which a report says nothing of the present load of its target, in times for which a request
    /// occupies a slot: after a few of them, other requests run.
    pub report_services: f32,
    /// The upper bound on that age.
    pub max_report_life: Duration,
}

impl Default for PickOptions {
    fn default() -> Self {
        Self {
            avoid: Duration::from_millis(700),
            zone_ms: 8.0,
            zone_ms_per_kb: 4.0,
            unknown_ms: 50.0,
            bulk_kb: 16.0,
            failure_ms: 400.0,
            failure_half_life: Duration::from_secs(2),
            report_services: 2.0,
            max_report_life: Duration::from_secs(1),
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

/// `PickRequest` is the request for which a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PickRequest<'a> {
    /// The name of its route.
    pub route: &'a str,
    /// The expected size of the response in kilobytes.
    pub answer_kb: f32,
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
    pace: TargetPace,
    /// The requests sent since the last report or connection failure.
    sent: u32,
    avoid_until: LocalMoment,
    /// The failures in a row to reach the node; failures while it is avoided do not count.
    failures: u32,
}

/// `DrawnCandidate` is a candidate with its cost, before and after the random factor.
#[derive(Debug, Clone, Copy)]
struct DrawnCandidate<'a> {
    candidate: &'a PickCandidate,
    drawn: f32,
    cost: f32,
    staleness: f32,
}

/// `TargetGroup` holds the targets of the own zone, or all others.
#[derive(Debug, Default)]
struct TargetGroup<'a> {
    /// The targets with a report.
    reports: f32,
    /// The mean share of busy slots in reports; above 1 if requests wait.
    mean_busy: f32,
    candidates: f32,
    /// The sum of the inverse costs of the candidates.
    inverse_costs: f32,
    best: Option<DrawnCandidate<'a>>,
}

impl<'a> TargetGroup<'a> {
    /// Adds the load of a target to the mean.
    fn count_load(&mut self, busy_share: f32) {
        self.reports += 1.0;
        self.mean_busy += (busy_share - self.mean_busy) / self.reports;
    }

    /// Adds a candidate, which becomes the best one if its drawn cost is the least.
    fn count_candidate(
        &mut self,
        candidate: &'a PickCandidate,
        drawn: f32,
        cost: f32,
        staleness: f32,
    ) {
        self.candidates += 1.0;
        self.inverse_costs += 1.0 / cost.max(1.0);
        if self.best.is_none_or(|best| drawn < best.drawn) {
            self.best = Some(DrawnCandidate {
                candidate,
                drawn,
                cost,
                staleness,
            });
        }
    }

    /// Returns the expected time of a request to this group. The less is known of the best candidate, the
    /// more the others count: otherwise each group would seem as fast as its fastest target.
    fn value(&self) -> Option<f32> {
        let best = self.best?;
        let mean = self.candidates / self.inverse_costs;

        Some(best.cost * (1.0 - best.staleness) + mean * best.staleness)
    }
}

/// `TargetPicker` chooses the target with the least expected time until its response.
#[derive(Debug)]
pub struct TargetPicker {
    options: PickOptions,
    targets: HashMap<Arc<str>, ObservedTarget>,
    route_times: RouteTimes,
    /// Whether the last choice was among at least [`MIN_CROWD`] targets.
    is_crowded: bool,
    random: ChaCha8Rng,
}

impl TargetPicker {
    /// Creates a picker without observations. `seed` determines the random factor on the costs.
    pub fn new(options: PickOptions, seed: u64) -> Self {
        Self {
            options,
            targets: HashMap::new(),
            route_times: RouteTimes::default(),
            is_crowded: false,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the node of the candidate with the least cost that is not in `tried`. A target that
    /// could not be reached recently is chosen only if there is no other.
    ///
    /// A random factor of up to 5 % spreads requests over targets of about equal cost, a larger one over those with old reports. It
    /// applies among the targets of the own zone and among the others, as it would favour the larger group.
    pub fn pick(
        &mut self,
        candidates: &[PickCandidate],
        tried: &[Arc<str>],
        request: PickRequest<'_>,
        now: LocalMoment,
    ) -> Option<Arc<str>> {
        self.is_crowded = candidates.len() >= MIN_CROWD;
        let mut groups = [TargetGroup::default(), TargetGroup::default()];
        let (mut reports, mut service_ms) = (0.0, 0.0);
        for candidate in candidates {
            if let Some(report) = self.report(&candidate.node) {
                groups[usize::from(candidate.remote)].count_load(report.busy_share());
                reports += 1.0;
                service_ms += report.service_ms;
            }
        }
        // A target that seems faster than all others only because it is unknown would draw all requests.
        let unknown_ms = if self.is_crowded && reports > 0.0 {
            service_ms / reports
        } else {
            self.options.unknown_ms
        };

        for candidate in candidates {
            if tried.contains(&candidate.node) {
                continue;
            }
            let group = &mut groups[usize::from(candidate.remote)];
            let staleness = self.staleness(&candidate.node, now);
            let typical = TypicalLoad {
                busy_share: group.mean_busy,
                service_ms: unknown_ms,
            };
            let cost = self.cost(candidate, request, typical, now);
            let drawn = cost * self.draw_factor(staleness);
            group.count_candidate(candidate, drawn, cost, staleness);
        }

        groups
            .iter()
            .filter_map(|group| Some((group.value()? * self.draw_factor(0.0), group.best?)))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, best)| Arc::clone(&best.candidate.node))
    }

    /// Draws the random factor on a cost. The least of costs with factors that are distributed
    /// exponentially is drawn with a probability in inverse proportion to the cost.
    fn draw_factor(&mut self, staleness: f32) -> f32 {
        let spread = self.random.random_range(0.95..1.05);
        if staleness <= 0.0 {
            return spread;
        }
        let drawn: f32 = self.random.random_range(f32::EPSILON..1.0);

        (1.0 - staleness) * spread - staleness * drawn.ln()
    }

    /// Returns how little the report of a target tells of its present load: 0 for a new one, 1 for an
    /// old one or none. Of a few targets each node hears often enough.
    fn staleness(&self, node: &str, now: LocalMoment) -> f32 {
        if !self.is_crowded {
            return 0.0;
        }
        let Some(observed) = self.targets.get(node) else {
            return 1.0;
        };
        if observed.report.is_none() {
            return 1.0;
        }
        let service_ms = observed.report.map_or(0.0, |report| report.service_ms);
        let life = Duration::from_secs_f32(service_ms.max(1.0) / 1_000.0)
            .mul_f32(self.options.report_services)
            .min(self.options.max_report_life);
        let age = now.since(observed.reported_at).as_secs_f32() / life.as_secs_f32();

        (age * age).min(1.0)
    }

    /// Records that a request is sent to a node.
    pub fn sent(&mut self, node: &Arc<str>) {
        self.targets.entry(Arc::clone(node)).or_default().sent += 1;
    }

    /// Records the load report of the response to a request on a route; the node counts as reachable again.
    pub fn reported(
        &mut self,
        node: &Arc<str>,
        route: &Arc<str>,
        report: LoadReport,
        now: LocalMoment,
    ) {
        let observed = self.targets.entry(Arc::clone(node)).or_default();
        self.route_times
            .record(route, report.route_ms, &mut observed.pace);

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

    /// Returns whether the target of a node is cold, as far as its last report tells.
    pub fn is_cold(&self, node: &str, now: LocalMoment) -> bool {
        self.targets.get(node).is_some_and(|observed| {
            let cold_ms = observed.report.map_or(0, |report| report.cold_ms);
            now < observed.reported_at + Duration::from_millis(cold_ms.into())
        })
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
    /// `typical` counts instead of what an old report states, or none.
    #[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
    fn cost(
        &self,
        candidate: &PickCandidate,
        request: PickRequest<'_>,
        typical: TypicalLoad,
        now: LocalMoment,
    ) -> f32 {
        const UNREACHABLE_PENALTY_MS: f32 = 100_000.0;
        const COLD_COST_FACTOR: f32 = 2.0;

        let observed = self.targets.get(&candidate.node);
        let report = observed.and_then(|observed| observed.report);
        let sent = observed.map_or(0, |observed| observed.sent);
        let slots = report.map_or(candidate.slots, |report| report.slots).max(1);
        let slots = slots as f32;
        let reported = report.map_or(0.0, |report| (report.running + report.waiting) as f32);
        let staleness = self.staleness(&candidate.node, now);
        let busy =
            reported * (1.0 - staleness) + typical.busy_share * slots * staleness + sent as f32;
        let occupied = report.map_or(typical.service_ms, |report| report.service_ms.max(1.0));
        let service = self
            .route_times
            .expected(request.route, observed.map(|observed| &observed.pace))
            .filter(|_| report.is_some() || self.is_crowded)
            .map_or(occupied, |time| time.max(1.0));

        let excess = (busy + 1.0 - slots).max(0.0);
        // Reports lag, so the load has a small weight even while slots are free.
        let mut cost = service * (1.0 + 0.3 * busy / slots) + occupied * excess / slots;
        if let Some(report) = report {
            let age = now.since(observed.map_or(now, |observed| observed.reported_at));
            cost += self.options.failure_ms * self.decayed_failure_share(report.failed_share, age);
            cost += limit_wait(report, age).as_secs_f32() * 1_000.0;
            if request.answer_kb >= self.options.bulk_kb {
                let queued = Duration::from_millis(report.link_wait_ms.into()).saturating_sub(age);
                let transfer = request.answer_kb * report.link_kb_ms;
                cost += queued.as_secs_f32() * 1_000.0 + transfer * (1 + sent) as f32;
            }
        }
        if candidate.cold {
            cost *= COLD_COST_FACTOR;
        }
        if candidate.remote {
            cost += self.options.zone_ms + self.options.zone_ms_per_kb * request.answer_kb;
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
