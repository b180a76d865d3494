//! The metrics computed from the result of a run.

use crate::requests::{
    sizes::DeploymentSize,
    world::{CallEnd, CallRecord, WorldResult},
};
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment};

/// `TimeSpan` is an interval of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeSpan {
    /// The send time of the earliest calls in the interval.
    pub from: LocalMoment,
    /// The end of the interval; a call sent at this moment is outside.
    pub to: LocalMoment,
}

impl TimeSpan {
    /// Creates an interval from two offsets since the start of a run.
    pub fn new(from: Duration, to: Duration) -> Self {
        Self {
            from: LocalMoment::ZERO + from,
            to: LocalMoment::ZERO + to,
        }
    }

    /// Returns whether a call was sent within the interval.
    pub fn holds(&self, call: &CallRecord) -> bool {
        self.from <= call.plan.sent && call.plan.sent < self.to
    }

    /// Returns the length of the interval.
    pub fn length(&self) -> Duration {
        self.to.since(self.from)
    }
}

/// Returns the response time of a call, or `None` when no response came before the caller's
/// patience ended.
pub fn response_time(call: &CallRecord) -> Option<Duration> {
    let (moment, end) = call.end?;
    let took = moment.since(call.plan.sent);

    (end == CallEnd::Answered && took <= call.plan.patience).then_some(took)
}

/// Returns the work of the calls of an interval that got a response in time, divided by the offered
/// work or by the capacity of the slots, whichever is less.
pub fn useful_share(result: &WorldResult, size: &DeploymentSize, span: TimeSpan) -> f64 {
    let sent = || result.calls.iter().filter(|call| span.holds(call));
    let seconds = |call: &CallRecord| call.plan.work.as_secs_f64();
    let offered: f64 = sent().map(seconds).sum();
    let answered: f64 = sent()
        .filter(|call| response_time(call).is_some())
        .map(seconds)
        .sum();
    let slots = u32::try_from(size.nodes()).unwrap_or(u32::MAX) * size.slots;
    let capacity = f64::from(slots) * span.length().as_secs_f64();

    answered / offered.min(capacity)
}

/// Returns a percentile of the response times of the short calls of an interval, or
/// [`Duration::MAX`] when none got a response in time.
pub fn percentile(result: &WorldResult, span: TimeSpan, percent: usize) -> Duration {
    let short = result
        .calls
        .iter()
        .filter(|call| span.holds(call) && call.plan.class == WorkClass::Short);
    let mut times: Vec<Duration> = short.filter_map(response_time).collect();

    times.sort_unstable();

    let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));

    times.get(index).copied().unwrap_or(Duration::MAX)
}

/// Returns the time from the start of an interval to the end of its last window of 100 ms in which
/// fewer than 95 % of the calls got a response in time.
pub fn recovery(result: &WorldResult, span: TimeSpan) -> Duration {
    let step = Duration::from_millis(100);
    let mut window = TimeSpan {
        from: span.from,
        to: span.from + step,
    };
    let mut recovered = Duration::ZERO;

    while window.to <= span.to {
        let sent = || result.calls.iter().filter(|call| window.holds(call));
        let answered = sent().filter(|call| response_time(call).is_some()).count();

        if answered * 100 < sent().count() * 95 {
            recovered = window.to.since(span.from);
        }

        window = TimeSpan {
            from: window.to,
            to: window.to + step,
        };
    }

    recovered
}

/// Returns the fraction of a service's calls in an interval that got no response in time or took
/// longer than `bound`.
pub fn degraded_share(
    result: &WorldResult,
    service: usize,
    span: TimeSpan,
    bound: Duration,
) -> f64 {
    let sent = || {
        let of_service = |call: &&CallRecord| call.plan.service == service && span.holds(call);

        result.calls.iter().filter(of_service)
    };
    let degraded = sent().filter(|call| response_time(call).is_none_or(|took| took > bound));

    ratio(degraded.count(), sent().count())
}

/// Returns Jain's fairness index over the tenants. The share of each is its work that got a
/// response in time, divided by its weight.
pub fn jain_index(result: &WorldResult, weights: &[u32], span: TimeSpan) -> f64 {
    let mut shares = vec![0.0; weights.len()];

    for call in result.calls.iter().filter(|call| span.holds(call)) {
        if response_time(call).is_some() {
            let weight = f64::from(weights[call.plan.tenant]);

            shares[call.plan.tenant] += call.plan.work.as_secs_f64() / weight;
        }
    }

    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();

    sum * sum / (f64_from_usize(weights.len()) * squares)
}

/// `WasteScore` measures the work that no caller waited for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WasteScore {
    /// The fraction of runs whose response reached no caller in time.
    pub runs: f64,
    /// The fraction of the slot time that these runs took.
    pub time: f64,
    /// The number of attempts divided by that of first attempts.
    pub attempts: f64,
}

/// Returns the wasted work and the retry overhead of a run.
pub fn waste(result: &WorldResult) -> WasteScore {
    let mut wasted_runs = 0;
    let mut wasted_time = 0.0;
    let mut time = 0.0;

    for run in &result.runs {
        let took = run
            .ended
            .map_or(Duration::ZERO, |ended| ended.since(run.started))
            .as_secs_f64();
        let call = &result.calls[run.call];

        // Only the last attempt of a call can be the one whose response was used.
        let answered = response_time(call).is_some() && call.attempts.last() == Some(&run.attempt);

        time += took;

        if !answered {
            wasted_runs += 1;
            wasted_time += took;
        }
    }

    let first = result
        .calls
        .iter()
        .filter(|call| !call.attempts.is_empty())
        .count();

    WasteScore {
        runs: ratio(wasted_runs, result.runs.len()),
        time: wasted_time / time,
        attempts: ratio(result.attempts, first),
    }
}

/// Returns the ratio of two counts; a zero divisor counts as one.
pub fn ratio(part: usize, whole: usize) -> f64 {
    f64_from_usize(part) / f64_from_usize(whole.max(1))
}

/// Converts a count, saturating at `u32::MAX`.
fn f64_from_usize(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
