//! The requests that ask the gate for a slot, and what it decides on them.

use std::{sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// `GateArrival` describes a request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateArrival {
    /// The unique number of the request, never reused.
    pub ticket: u64,
    /// The class under which service times are recorded, such as the route.
    pub class: Arc<str>,
    /// Whether the request is a call from work that is already running.
    pub is_call: bool,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The part of `objective` that is left on arrival.
    pub objective_left: Duration,
    /// The latency objective: the time within which a response has its full value.
    pub objective: Duration,
    /// The moment after which the caller no longer waits for the response.
    pub deadline: LocalMoment,
    /// Identifies the request when its caller repeats it, if no other target may run it.
    pub repeat_id: Option<u64>,
}

/// `GateRefusal` is the reason why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateRefusal {
    /// The expected wait of new work exceeds the share of the objective that it may use.
    WaitTooLong,
    /// The deadline has passed, or the response is expected after it.
    DeadlineTooNear,
    /// The queue has reached [`GateOptions::max_waiting`].
    QueueFull,
    /// The gate is closed or has no slots: the target accepts no requests.
    Closed,
    /// The limit that the target names is reached, or that of a cold target.
    LimitReached,
    /// All slots are taken, and the caller prefers another target with a free one.
    SlotsTaken,
}

impl GateRefusal {
    /// Returns the stable reason code of the refusal.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::WaitTooLong => "wait-too-long",
            Self::DeadlineTooNear => "deadline-too-near",
            Self::QueueFull => "queue-full",
            Self::Closed => "target-leaving",
            Self::LimitReached => "limit-reached",
            Self::SlotsTaken => "slots-taken",
        }
    }
}

/// `GateAction` tells the caller of the gate what to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateAction {
    /// Run the request: it has a slot.
    Start {
        /// The number of the request.
        ticket: u64,
    },
    /// Refuse the request: it has not been executed.
    Refuse {
        /// The number of the request.
        ticket: u64,
        /// The reason for the refusal.
        refusal: GateRefusal,
        /// The delay before a retry that the caller is asked for; zero if none is asked for.
        retry_after: Duration,
    },
}
