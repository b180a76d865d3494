//! The state of one arrival until it ends.

use crate::messages::WorkArrival;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment};

/// `WorkState` is how far an arrival has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum WorkState {
    /// It waits for a slot.
    Queued,
    /// It has been at the target since this moment.
    Running(LocalMoment),
    /// It is a retry of the request with this ticket and waits for the end of that one.
    Following(u64),
}

/// `WorkEntry` is an arrival that has not ended.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct WorkEntry {
    /// The arrival as it was received.
    pub(crate) arrival: WorkArrival,
    /// Whether it is queued, runs at the target, or waits for the request that it retries.
    pub(crate) state: WorkState,
    /// The class that it is treated as.
    pub(crate) class: WorkClass,
    /// The time for which it is expected to hold a slot.
    pub(crate) expected: Duration,
    /// The tickets of the retries that wait for its end.
    pub(crate) followers: Vec<u64>,
    /// Whether its caller has the final response or went away.
    pub(crate) closed: bool,
    /// Whether the request was cancelled at the target.
    pub(crate) cancelled: bool,
    /// How often the target shed it.
    pub(crate) shed_count: u32,
    /// The moment at which it is refused, or cancelled if it is at the target.
    pub(crate) expires_at: LocalMoment,
}

impl WorkEntry {
    /// Creates the entry of an arrival that waits for a slot.
    pub(crate) fn queued(arrival: WorkArrival, class: WorkClass, expected: Duration) -> Self {
        let expires_at = arrival.deadline - expected;

        Self {
            arrival,
            state: WorkState::Queued,
            class,
            expected,
            followers: Vec::new(),
            closed: false,
            cancelled: false,
            shed_count: 0,
            expires_at,
        }
    }

    /// Creates the entry of a retry that waits for the end of another arrival.
    pub(crate) fn following(arrival: WorkArrival, of: u64) -> Self {
        let deadline = arrival.deadline;
        let class = arrival.class;

        Self {
            state: WorkState::Following(of),
            expires_at: deadline,
            ..Self::queued(arrival, class, Duration::ZERO)
        }
    }

    /// Returns whether a caller still waits for its end.
    pub(crate) fn is_wanted(&self) -> bool {
        !self.closed || !self.followers.is_empty()
    }

    /// Returns whether it is at the target.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, WorkState::Running(_))
    }

    /// Returns whether the arrival belongs to a slice.
    pub(crate) fn is_of_slice(&self, slice: u32) -> bool {
        self.arrival.slice == Some(slice)
    }
}
