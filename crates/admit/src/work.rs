//! The state of one arrival.

use crate::messages::WorkArrival;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment};

/// `WorkState` is where an arrival stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum WorkState {
    /// It waits for a slot.
    Queued,
    /// Its order is at the target since this moment.
    Running(LocalMoment),
    /// It repeats the request of this ticket and waits for that one's end.
    Following(u64),
}

/// `WorkEntry` is one arrival that is not over.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct WorkEntry {
    /// The arrival.
    pub(crate) arrival: WorkArrival,
    /// Where it stands.
    pub(crate) state: WorkState,
    /// The class that it is treated as.
    pub(crate) class: WorkClass,
    /// The time for which it is expected to hold a slot.
    pub(crate) expected: Duration,
    /// The repeats that wait for its end.
    pub(crate) followers: Vec<u64>,
    /// Whether its caller has the final answer or is gone.
    pub(crate) closed: bool,
    /// Whether the order was cancelled at the target.
    pub(crate) cancelled: bool,
    /// The times that the target shed it.
    pub(crate) sheds: u32,
    /// The moment at which it is given up.
    pub(crate) give_up: LocalMoment,
}

impl WorkEntry {
    /// Makes the entry of an arrival that waits for a slot.
    pub(crate) fn queued(arrival: WorkArrival, class: WorkClass, expected: Duration) -> Self {
        let give_up = arrival.deadline - expected;

        Self {
            arrival,
            state: WorkState::Queued,
            class,
            expected,
            followers: Vec::new(),
            closed: false,
            cancelled: false,
            sheds: 0,
            give_up,
        }
    }

    /// Makes the entry of a repeat that waits for the end of another arrival.
    pub(crate) fn following(arrival: WorkArrival, of: u64) -> Self {
        let deadline = arrival.deadline;
        let class = arrival.class;

        Self {
            state: WorkState::Following(of),
            give_up: deadline,
            ..Self::queued(arrival, class, Duration::ZERO)
        }
    }

    /// Returns whether anyone still waits for the end.
    pub(crate) fn is_wanted(&self) -> bool {
        !self.closed || !self.followers.is_empty()
    }

    /// Returns whether the order is at the target.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, WorkState::Running(_))
    }

    /// Returns whether the arrival belongs to a slice.
    pub(crate) fn is_of_slice(&self, slice: u32) -> bool {
        self.arrival.slice == Some(slice)
    }
}
