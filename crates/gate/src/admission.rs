//! The request queue and the slots of one target.
//!
//! The gate is a state machine without I/O: each event returns the actions that the caller has to
//! carry out.

use crate::{
    arrival::{GateAction, GateArrival, GateRefusal},
    capacity::{CapacityChange, CapacityOptions},
    limit::{LimitOptions, LimitedArrival},
    slots::{SlotUse, TargetSlots},
    target_limits::TargetLimits,
    warmup::WarmupOptions,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use wagtail_core::{
    notice::{RequestRate, StatedLoad},
    units::LocalMoment,
};

/// `GateOptions` limits how long and how many requests wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateOptions {
    /// The expected service time of a request until service times have been measured.
    pub initial_service_time: Duration,
    /// The upper bound on the wait of new work, as a share of its objective.
    pub max_wait_share: f32,
    /// The wait that is always allowed to new work, however little of its objective is left, as a
    /// share of the objective.
    pub min_wait_share: f32,
    /// The maximum number of requests in the queue.
    pub max_waiting: usize,
    /// The shortest delay before a retry that a refused caller is asked for.
    pub min_retry_after: Duration,
    /// The longest delay before a retry that a refused caller is asked for, except at a limit of the
    /// target.
    pub max_retry_after: Duration,
    /// The tolerances of the limit that the target names.
    pub limit: LimitOptions,
    /// The terms on which the target counts as cold.
    pub warmup: WarmupOptions,
    /// How the number of slots that the target handles well is learned.
    pub capacity: CapacityOptions,
}

impl Default for GateOptions {
    fn default() -> Self {
        Self {
            initial_service_time: Duration::from_millis(50),
            max_wait_share: 0.5,
            min_wait_share: 0.2,
            max_waiting: 256,
            min_retry_after: Duration::from_millis(50),
            max_retry_after: Duration::from_secs(1),
            limit: LimitOptions::default(),
            warmup: WarmupOptions::default(),
            capacity: CapacityOptions::default(),
        }
    }
}

/// The sort key of the queue: calls first, then by priority, then by order of arrival (ticket).
///
/// The first field is `true` for new work, since `false` sorts first.
type QueueKey = (bool, u32, u64);

/// `WaitingRequest` is a queued request.
#[derive(Debug)]
struct WaitingRequest {
    class: Arc<str>,
    deadline: LocalMoment,
}

/// `RunningRequest` is a request that occupies a slot.
#[derive(Debug)]
struct RunningRequest {
    class: Arc<str>,
    slot_use: SlotUse,
}

/// `AdmissionGate` assigns the slots of one target to its requests.
#[derive(Debug)]
pub struct AdmissionGate {
    options: GateOptions,
    slots: TargetSlots,
    closed: bool,
    limits: TargetLimits,
    waiting: BTreeMap<QueueKey, WaitingRequest>,
    running: BTreeMap<u64, RunningRequest>,
}

impl AdmissionGate {
    /// Creates an open gate without slots; it refuses every request until [`Self::set_slots`].
    pub fn new(options: GateOptions) -> Self {
        Self {
            options,
            slots: TargetSlots::new(options.capacity, options.initial_service_time),
            closed: false,
            limits: TargetLimits::new(options.limit, options.warmup),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Sets how many requests the target runs concurrently. Starts queued requests if slots became
    /// free; running requests keep their slots when the number shrinks.
    pub fn set_slots(&mut self, slots: u32, now: LocalMoment) -> Vec<GateAction> {
        self.slots.set_stated(slots);

        self.start_queued(now)
    }

    /// Records the load that the target states. From the first statement on, the gate learns how many
    /// of the slots the target handles well.
    pub fn set_load(&mut self, load: StatedLoad, now: LocalMoment) {
        self.slots.set_load(load, now);
    }

    /// Discards what was learned of a previous incarnation of the target.
    pub fn forget_load(&mut self, now: LocalMoment) {
        self.slots.forget_load(now);
    }

    /// Returns the stated pace of the target's VM in percent, 100 if none is valid.
    pub fn pace(&self, now: LocalMoment) -> u32 {
        self.slots.pace().pace(now)
    }

    /// Takes the latest change of the learned limit, for the log.
    pub fn take_capacity_change(&mut self) -> Option<CapacityChange> {
        self.slots.take_change()
    }

    /// Sets the limit that the target names. Queued requests that it does not admit are refused.
    pub fn set_limit(&mut self, limit: Option<RequestRate>, now: LocalMoment) -> Vec<GateAction> {
        if limit == self.limits.stated() {
            return Vec::new();
        }
        self.limits.set_stated(limit, now);

        self.refuse_unadmitted(now)
    }

    /// Sets the rate that a cold target tolerates; `None` if it needs no protection.
    pub fn set_cold_rate(&mut self, cold_rate: Option<RequestRate>, now: LocalMoment) {
        self.limits.set_cold_rate(cold_rate, now);
    }

    /// Records a heartbeat of the target, which states the time until it has warmed up. Queued requests
    /// that a cold target does not admit are refused.
    pub fn heard(&mut self, warm_up_left: Duration, now: LocalMoment) -> Vec<GateAction> {
        let before = self.limits.cold_limit(now);
        self.limits.heard(warm_up_left, now);
        if before.is_some() || self.limits.cold_limit(now).is_none() {
            return Vec::new();
        }

        self.refuse_unadmitted(now)
    }

    /// Records that the process of the target has ended, so that what it got does not count against the
    /// limit of the next one.
    pub fn target_ended(&mut self, now: LocalMoment) {
        self.limits.target_ended(now);
    }

    /// Returns the limits on the rate of requests.
    pub fn limits(&self) -> &TargetLimits {
        &self.limits
    }

    /// Refuses the queued requests that the limits do not admit.
    fn refuse_unadmitted(&mut self, now: LocalMoment) -> Vec<GateAction> {
        let queued = std::mem::take(&mut self.waiting);
        let mut actions = Vec::new();
        for (queue_key, request) in queued {
            let arrival = LimitedArrival {
                is_call: !queue_key.0,
                repeat_id: None,
                max_pause: Duration::ZERO,
            };
            match self.limits.admit(arrival, self.waiting.len(), now) {
                Ok(()) => {
                    self.waiting.insert(queue_key, request);
                }
                Err(retry_after) => actions.push(limit_refusal(queue_key.2, retry_after)),
            }
        }

        actions
    }

    /// Returns the limit that the target names.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limits.stated()
    }

    /// Returns how long it takes until the limits admit new work.
    pub fn limit_wait(&mut self, now: LocalMoment) -> Duration {
        self.limits.expected_wait(false, now)
    }

    /// Opens or closes the gate. Closing it refuses all queued requests and leaves running ones
    /// alone.
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

    /// Starts, queues or refuses a request. The actions may also concern other queued requests.
    pub fn arrive(&mut self, arrival: GateArrival, now: LocalMoment) -> Vec<GateAction> {
        if !self.closed && self.slots.stated() > 0 {
            let limited = LimitedArrival {
                is_call: arrival.is_call,
                repeat_id: arrival.repeat_id,
                max_pause: arrival.objective_left.mul_f32(self.options.max_wait_share),
            };
            if let Err(retry_after) = self.limits.admit(limited, self.waiting.len(), now) {
                return vec![limit_refusal(arrival.ticket, retry_after)];
            }
        }
        if let Some(refusal) = self.find_refusal(&arrival, now) {
            let retry_after = self.retry_after(&arrival, refusal, now);

            return vec![GateAction::Refuse {
                ticket: arrival.ticket,
                refusal,
                retry_after,
            }];
        }

        self.waiting.insert(
            queue_key(&arrival),
            WaitingRequest {
                class: arrival.class,
                deadline: arrival.deadline,
            },
        );

        self.start_queued(now)
    }

    /// Frees the slot of a request that has ended and starts queued requests. The duration is
    /// recorded as a service time only if the target executed the request.
    pub fn finished(&mut self, ticket: u64, executed: bool, now: LocalMoment) -> Vec<GateAction> {
        if let Some(request) = self.running.remove(&ticket)
            && executed
        {
            self.slots.end(&request.class, request.slot_use, now);
        }

        self.start_queued(now)
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|queue_key, _| queue_key.2 != ticket);
    }

    /// Returns the number of slots that the target states.
    pub fn stated_slots(&self) -> u32 {
        self.slots.stated()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests that the target handles well concurrently: its slots, or fewer
    /// if it slows down before all of them are taken.
    pub fn slots(&self) -> u32 {
        self.slots.limit()
    }

    /// Returns the mean service time over all classes at normal pace, in seconds.
    pub fn service_seconds(&self) -> f32 {
        self.slots.service_times().overall()
    }

    /// Returns the mean service time of a class at the present pace in seconds, or `None` before the first one.
    pub fn class_seconds(&self, class: &str, now: LocalMoment) -> Option<f32> {
        let mean = self.slots.service_times().mean(class)?;

        Some(self.slots.pace().time_for(mean, now))
    }

    /// Returns the expected time from the arrival of new work until its response is ready: its wait for a
    /// slot and its service time.
    pub fn expected_time(&self, class: &str, priority: u32, now: LocalMoment) -> Duration {
        let wait = self.expected_wait(false, priority, now);

        Duration::from_secs_f32((wait + self.slots.expected(class, now)).max(0.0))
    }

    /// Returns the estimated throughput of the target, in requests per second; its limit if that is
    /// lower.
    #[expect(clippy::cast_possible_truncation, reason = "an estimate")]
    pub fn capacity(&self, now: LocalMoment) -> f32 {
        let slots = f32::from(u16::try_from(self.slots()).unwrap_or(u16::MAX));
        let throughput = slots / self.slots.service_times().overall().max(0.001);
        let limit = self.limits.in_force(now).map(RequestRate::per_second);

        limit.map_or(throughput, |limit| throughput.min(limit as f32))
    }

    /// Returns whether the target accepts requests, but a request would have to wait for a slot.
    pub fn has_taken_slots(&self) -> bool {
        !self.closed && self.slots.stated() > 0 && !self.has_free_slot(false)
    }

    /// Returns how long a request of this kind and priority would wait for a slot, in seconds.
    ///
    /// The estimate is the work queued ahead of it plus the rest of the running work, divided by
    /// the number of slots. It leaves the limit of the target out, as requests do not wait for that.
    pub fn expected_wait(&self, is_call: bool, priority: u32, now: LocalMoment) -> f32 {
        if self.has_free_slot(is_call) && self.waiting.is_empty() {
            return 0.0;
        }

        let queued_ahead: f32 = self
            .waiting
            .range(..(!is_call, priority, u64::MAX))
            .map(|(_, request)| self.slots.service_times().expected(&request.class))
            .sum();
        let running: f32 = self
            .running
            .values()
            .map(|request| self.slots.work_left(&request.class, request.slot_use, now))
            .sum();
        let slots = f32::from(u16::try_from(self.slots().max(1)).unwrap_or(u16::MAX));

        self.slots
            .pace()
            .time_for((queued_ahead + running) / slots, now)
    }

    /// Returns the reason to refuse a request, or `None` if it may wait or start.
    fn find_refusal(&self, arrival: &GateArrival, now: LocalMoment) -> Option<GateRefusal> {
        if self.closed || self.slots.stated() == 0 {
            return Some(GateRefusal::Closed);
        }
        if self.waiting.len() >= self.options.max_waiting {
            return Some(GateRefusal::QueueFull);
        }

        let wait = self.expected_wait(arrival.is_call, arrival.priority, now);
        let service_time = self.slots.expected(&arrival.class, now);
        let time_left = arrival.deadline.since(now).as_secs_f32();
        if wait + service_time > time_left {
            return Some(GateRefusal::DeadlineTooNear);
        }
        if arrival.is_call {
            return None;
        }

        let objective = arrival.objective.as_secs_f32();
        let slack = arrival.objective_left.as_secs_f32() - service_time;
        let max_wait = slack.clamp(
            self.options.min_wait_share * objective,
            self.options.max_wait_share * objective,
        );

        (wait > max_wait).then_some(GateRefusal::WaitTooLong)
    }

    /// Returns the delay before a retry that a refused caller is asked for: the expected wait
    /// within the configured bounds, or zero at a closed gate.
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

    /// Starts queued requests while slots are free, and refuses those whose deadline has passed.
    fn start_queued(&mut self, now: LocalMoment) -> Vec<GateAction> {
        let mut actions = Vec::new();
        self.observe(now);

        while !self.closed {
            let is_call = self.waiting.keys().next().is_some_and(|key| !key.0);
            if !self.has_free_slot(is_call) {
                break;
            }
            let Some((queue_key, request)) = self.waiting.pop_first() else {
                break;
            };
            let ticket = queue_key.2;
            if request.deadline <= now {
                actions.push(GateAction::Refuse {
                    ticket,
                    refusal: GateRefusal::DeadlineTooNear,
                    retry_after: Duration::ZERO,
                });
                continue;
            }
            if !self.limits.take(now) {
                let retry_after = self.limits.expected_wait(!queue_key.0, now);
                actions.push(limit_refusal(ticket, retry_after));
                continue;
            }

            self.running.insert(
                ticket,
                RunningRequest {
                    class: request.class,
                    slot_use: self.slots.begin(now),
                },
            );
            actions.push(GateAction::Start { ticket });
        }
        self.observe(now);

        actions
    }

    /// Returns whether a slot is free.
    fn has_free_slot(&self, is_call: bool) -> bool {
        self.slots.admits(self.running.len(), is_call)
    }

    /// Records what the target does from now on.
    fn observe(&mut self, now: LocalMoment) {
        let (running, has_waiting) = (self.running(), !self.waiting.is_empty());
        self.slots.observe(running, has_waiting, now);
    }
}

/// Returns the refusal of a request that the limit of the target does not admit.
fn limit_refusal(ticket: u64, retry_after: Duration) -> GateAction {
    GateAction::Refuse {
        ticket,
        refusal: GateRefusal::LimitReached,
        retry_after,
    }
}

/// Returns the sort key of a request in the queue.
fn queue_key(arrival: &GateArrival) -> QueueKey {
    (!arrival.is_call, arrival.priority, arrival.ticket)
}
