//! The figures of a run.

use crate::requests::{
    sizes::DeploymentSize,
    world::{CallEnd, CallRecord, WorldResult},
};
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment};

/// `TimeSpan` is a stretch of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeSpan {
    /// The start.
    pub from: LocalMoment,
    /// The end.
    pub to: LocalMoment,
}

impl TimeSpan {
    /// Makes the stretch between two times from the start of a run.
    pub fn new(from: Duration, to: Duration) -> Self {
        Self {
            from: LocalMoment::ZERO + from,
            to: LocalMoment::ZERO + to,
        }
    }

    /// Returns whether a call was sent within the stretch.
    pub fn holds(&self, call: &CallRecord) -> bool {
        self.from <= call.plan.sent && call.plan.sent < self.to
    }

    /// Returns the length of the stretch.
    pub fn length(&self) -> Duration {
        self.to.since(self.from)
    }
}

/// Returns the time from sending to the answer of a call that was answered in time.
pub fn answer_time(call: &CallRecord) -> Option<Duration> {
    let (moment, end) = call.end?;
    let took = moment.since(call.plan.sent);

    (end == CallEnd::Answered && took <= call.plan.patience).then_some(took)
}

/// Returns the work answered in time, of the calls of a stretch, over the lesser of the work
/// that they ask for and what the slots can do.
pub fn useful_share(result: &WorldResult, size: &DeploymentSize, span: TimeSpan) -> f64 {
    let sent = || result.calls.iter().filter(|call| span.holds(call));
    let seconds = |call: &CallRecord| call.plan.work.as_secs_f64();
    let offered: f64 = sent().map(seconds).sum();
    let answered: f64 = sent()
        .filter(|call| answer_time(call).is_some())
        .map(seconds)
        .sum();
    let slots = u32::try_from(size.nodes()).unwrap_or(u32::MAX) * size.slots;
    let capacity = f64::from(slots) * span.length().as_secs_f64();

    answered / offered.min(capacity)
}

/// Returns a percentile of the answer times of the short calls of a stretch, or
/// [`Duration::MAX`] when none was answered.
pub fn percentile(result: &WorldResult, span: TimeSpan, percent: usize) -> Duration {
    let short = result
        .calls
        .iter()
        .filter(|call| span.holds(call) && call.plan.class == WorkClass::Short);
    let mut times: Vec<Duration> = short.filter_map(answer_time).collect();

    times.sort_unstable();

    let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));

    times.get(index).copied().unwrap_or(Duration::MAX)
}

/// Returns the time from a moment until calls are answered in time again: the end of the last
/// tenth of a second in which fewer than 95 in 100 were.
pub fn recovery(result: &WorldResult, span: TimeSpan) -> Duration {
    let step = Duration::from_millis(100);
    let mut window = TimeSpan {
        from: span.from,
        to: span.from + step,
    };
    let mut recovered = Duration::ZERO;

    while window.to <= span.to {
        let sent = || result.calls.iter().filter(|call| window.holds(call));
        let answered = sent().filter(|call| answer_time(call).is_some()).count();

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

/// Returns the part of the calls of a service in a stretch that were not answered in time, or
/// later than a bound.
pub fn hurt_share(result: &WorldResult, service: usize, span: TimeSpan, bound: Duration) -> f64 {
    let sent = || {
        let of_service = |call: &&CallRecord| call.plan.service == service && span.holds(call);

        result.calls.iter().filter(of_service)
    };
    let hurt = sent().filter(|call| answer_time(call).is_none_or(|took| took > bound));

    ratio(hurt.count(), sent().count())
}

/// Returns Jain's index of the work answered in time for each tenant over its weight.
pub fn jain_index(result: &WorldResult, weights: &[u32], span: TimeSpan) -> f64 {
    let mut shares = vec![0.0; weights.len()];

    for call in result.calls.iter().filter(|call| span.holds(call)) {
        if answer_time(call).is_some() {
            let weight = f64::from(weights[call.plan.tenant]);

            shares[call.plan.tenant] += call.plan.work.as_secs_f64() / weight;
        }
    }

    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();

    sum * sum / (as_float(weights.len()) * squares)
}

/// `WasteScore` is the work that nobody waited for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WasteScore {
    /// The part of the runs whose answer reached no caller in time.
    pub runs: f64,
    /// The part of the time in the slots that these runs took.
    pub time: f64,
    /// The attempts over the first attempts.
    pub attempts: f64,
}

/// Returns the work that nobody waited for.
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

        // Only the last attempt of a call can be the one that answered.
        let answered = answer_time(call).is_some() && call.attempts.last() == Some(&run.attempt);

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

/// Returns a count over another.
pub fn ratio(part: usize, whole: usize) -> f64 {
    as_float(part) / as_float(whole.max(1))
}

/// Returns a count as a float.
fn as_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
