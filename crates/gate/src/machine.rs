//! The queue and the slots.

use crate::estimate::ServiceTimes;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// `GateOptions` are the settings of the admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateOptions {
    /// The time that a request of an unknown class is expected to hold a slot.
    pub first_estimate: Duration,
    /// The longest wait of new work, as a share of its objective.
    pub longest_wait: f32,
    /// The wait that new work may have at least, as a share of its objective.
    pub shortest_wait: f32,
    /// The most requests that wait.
    pub max_waiting: usize,
    /// The shortest pause that a refused caller is asked to make.
    pub min_retry_after: Duration,
    /// The longest pause that a refused caller is asked to make.
    pub max_retry_after: Duration,
}

impl Default for GateOptions {
    fn default() -> Self {
        Self {
            first_estimate: Duration::from_millis(50),
            longest_wait: 0.5,
            shortest_wait: 0.2,
            max_waiting: 256,
            min_retry_after: Duration::from_millis(50),
            max_retry_after: Duration::from_secs(1),
        }
    }
}

/// `GateArrival` is a request that wants a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateArrival {
    /// The number of the request; it is never used twice.
    pub ticket: u64,
    /// The class by which service times are told apart.
    pub class: Arc<str>,
    /// Whether the request is a call of work that already runs.
    pub is_call: bool,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// The time within which an answer is worth most, from now on.
    pub objective_left: Duration,
    /// The whole time within which an answer is worth most.
    pub objective: Duration,
    /// The moment after which nobody waits for the answer.
    pub deadline: LocalMoment,
}

/// `GateRefusal` is why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateRefusal {
    /// The wait would leave too little of the objective.
    WaitTooLong,
    /// The answer would come after the deadline.
    DeadlineTooNear,
    /// The queue holds as much as it may.
    QueueFull,
    /// The target takes no new work.
    Closed,
    /// A service that the work would call is too busy.
    CalleeBusy,
}

impl GateRefusal {
    /// Returns the stable code of the refusal.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::WaitTooLong => "wait-too-long",
            Self::DeadlineTooNear => "deadline-too-near",
            Self::QueueFull => "queue-full",
            Self::Closed => "target-leaving",
            Self::CalleeBusy => "callee-busy",
        }
    }
}

/// `GateAction` is what becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateAction {
    /// The request gets a slot.
    Start {
        /// The number of the request.
        ticket: u64,
    },
    /// The request is refused; it has not run.
    Refuse {
        /// The number of the request.
        ticket: u64,
        /// The reason.
        refusal: GateRefusal,
        /// The time after which a slot is expected.
        retry_after: Duration,
    },
}

/// The place of a request in the queue: calls first, then by rank, then by arrival.
type QueuePlace = (bool, u32, u64);

/// `WaitingRequest` is a request in the queue.
#[derive(Debug)]
struct WaitingRequest {
    class: Arc<str>,
    deadline: LocalMoment,
}

/// `RunningRequest` is a request that holds a slot.
#[derive(Debug)]
struct RunningRequest {
    class: Arc<str>,
    started: LocalMoment,
}

/// `AdmissionGate` shares the slots of one target among its requests.
#[derive(Debug)]
pub struct AdmissionGate {
    options: GateOptions,
    slots: u32,
    closed: bool,
    times: ServiceTimes,
    waiting: BTreeMap<QueuePlace, WaitingRequest>,
    running: BTreeMap<u64, RunningRequest>,
}

impl AdmissionGate {
    /// Makes a gate without slots.
    pub fn new(options: GateOptions) -> Self {
        Self {
            options,
            slots: 0,
            closed: false,
            times: ServiceTimes::new(options.first_estimate),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Sets the requests that the target runs at a time.
    pub fn set_slots(&mut self, slots: u32, now: LocalMoment) -> Vec<GateAction> {
        self.slots = slots;

        self.start_next(now)
    }

    /// Opens or closes the gate. What waits at a gate that closes is refused.
    pub fn set_closed(&mut self, closed: bool) -> Vec<GateAction> {
        self.closed = closed;
        if !closed {
            return Vec::new();
        }

        std::mem::take(&mut self.waiting)
            .into_keys()
            .map(|(_, _, ticket)| GateAction::Refuse {
                ticket,
                refusal: GateRefusal::Closed,
                retry_after: Duration::ZERO,
            })
            .collect()
    }

    /// Admits, queues or refuses a request.
    pub fn arrive(&mut self, arrival: GateArrival, now: LocalMoment) -> Vec<GateAction> {
        if let Some(refusal) = self.check(&arrival, now) {
            let retry_after = self.retry_after(&arrival, refusal, now);

            return vec![GateAction::Refuse {
                ticket: arrival.ticket,
                refusal,
                retry_after,
            }];
        }

        self.waiting.insert(
            place(&arrival),
            WaitingRequest {
                class: arrival.class,
                deadline: arrival.deadline,
            },
        );

        self.start_next(now)
    }

    /// Takes note that a running request has ended. `took` counts towards the service times when
    /// the target really worked on it.
    pub fn finished(&mut self, ticket: u64, worked: bool, now: LocalMoment) -> Vec<GateAction> {
        if let Some(request) = self.running.remove(&ticket)
            && worked
        {
            self.times
                .record(&request.class, now.since(request.started));
        }

        self.start_next(now)
    }

    /// Takes a request out whose caller went away before it got a slot.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|place, _| place.2 != ticket);
    }

    /// Returns the requests that run.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the requests that wait.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Returns the requests that run at a time.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the mean time in seconds that a request holds a slot.
    pub fn service_seconds(&self) -> f32 {
        self.times.overall()
    }

    /// Returns the requests a second that the target can serve.
    pub fn capacity(&self) -> f32 {
        let slots = f32::from(u16::try_from(self.slots).unwrap_or(u16::MAX));

        slots / self.times.overall().max(0.001)
    }

    /// Returns the expected wait in seconds of a request at a place in the queue.
    pub fn expected_wait(&self, is_call: bool, priority: u32, now: LocalMoment) -> f32 {
        if self.running.len() < self.slots as usize && self.waiting.is_empty() {
            return 0.0;
        }

        let ahead: f32 = self
            .waiting
            .range(..(!is_call, priority, u64::MAX))
            .map(|(_, request)| self.times.expected(&request.class))
            .sum();
        let running: f32 = self
            .running
            .values()
            .map(|request| self.remaining(request, now))
            .sum();
        let slots = f32::from(u16::try_from(self.slots.max(1)).unwrap_or(u16::MAX));

        (ahead + running) / slots
    }

    /// Returns why a request must be refused.
    fn check(&self, arrival: &GateArrival, now: LocalMoment) -> Option<GateRefusal> {
        if self.closed || self.slots == 0 {
            return Some(GateRefusal::Closed);
        }
        if self.waiting.len() >= self.options.max_waiting {
            return Some(GateRefusal::QueueFull);
        }

        let wait = self.expected_wait(arrival.is_call, arrival.priority, now);
        let work = self.times.expected(&arrival.class);
        let left = arrival.deadline.since(now).as_secs_f32();
        if wait + work > left {
            return Some(GateRefusal::DeadlineTooNear);
        }
        if arrival.is_call {
            return None;
        }

        let objective = arrival.objective.as_secs_f32();
        let spare = arrival.objective_left.as_secs_f32() - work;
        let longest = spare.clamp(
            self.options.shortest_wait * objective,
            self.options.longest_wait * objective,
        );

        (wait > longest).then_some(GateRefusal::WaitTooLong)
    }

    /// Returns the time after which a refused request can expect a slot.
    fn retry_after(
        &self,
        arrival: &GateArrival,
        refusal: GateRefusal,
        now: LocalMoment,
    ) -> Duration {
        if refusal == GateRefusal::Closed {
            return Duration::ZERO;
        }
        let wait = self.expected_wait(arrival.is_call, arrival.priority, now);

        Duration::from_secs_f32(wait.max(0.0))
            .clamp(self.options.min_retry_after, self.options.max_retry_after)
    }

    /// Starts waiting requests while slots are free, and refuses those whose deadline is too near.
    fn start_next(&mut self, now: LocalMoment) -> Vec<GateAction> {
        let mut actions = Vec::new();

        while self.running.len() < self.slots as usize && !self.closed {
            let Some((place, request)) = self.waiting.pop_first() else {
                break;
            };
            let ticket = place.2;
            if request.deadline <= now {
                actions.push(GateAction::Refuse {
                    ticket,
                    refusal: GateRefusal::DeadlineTooNear,
                    retry_after: Duration::ZERO,
                });
                continue;
            }

            self.running.insert(
                ticket,
                RunningRequest {
                    class: request.class,
                    started: now,
                },
            );
            actions.push(GateAction::Start { ticket });
        }

        actions
    }

    /// Returns the time in seconds for which a request is expected to go on.
    fn remaining(&self, request: &RunningRequest, now: LocalMoment) -> f32 {
        const SHORTEST_SHARE: f32 = 0.25;

        let expected = self.times.expected(&request.class);
        let held = now.since(request.started).as_secs_f32();

        (expected - held).max(expected * SHORTEST_SHARE)
    }
}

/// Returns the place of a request in the queue.
fn place(arrival: &GateArrival) -> QueuePlace {
    (!arrival.is_call, arrival.priority, arrival.ticket)
}
