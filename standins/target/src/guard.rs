//! Guards that count a request and record its execution, even when it is cancelled.

use crate::{execution::ExecutionEntry, fields::RequestFields, state::TargetState};
use standin_net::clock::{boottime_us, monotonic_us};
use std::{cell::RefCell, rc::Rc, sync::Arc};

/// `InFlightGuard` counts a received request until its response is ready or it is cancelled.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    /// The state of the target.
    state: Rc<RefCell<TargetState>>,
}

impl InFlightGuard {
    /// Counts a request as in flight.
    pub(crate) fn new(state: &Rc<RefCell<TargetState>>) -> Self {
        state.borrow_mut().in_flight += 1;

        Self {
            state: Rc::clone(state),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.borrow_mut().in_flight -= 1;
    }
}

/// `ExecutionGuard` records the end of an execution, at the latest when the guard is dropped.
#[derive(Debug)]
pub(crate) struct ExecutionGuard {
    /// The state of the target.
    state: Rc<RefCell<TargetState>>,
    /// The index of the execution in the log.
    pub(crate) run: usize,
    /// Whether the end is recorded.
    ended: bool,
    /// The deadline of the request in microseconds of `CLOCK_BOOTTIME`.
    deadline_us: Option<u64>,
    /// The slice whose grant the request needs; absent when it needs none.
    granted_slice: Option<u32>,
    /// The start time in microseconds of `CLOCK_BOOTTIME`.
    started_us: u64,
}

impl ExecutionGuard {
    /// Records the start of an execution.
    pub(crate) fn start(
        state: &Rc<RefCell<TargetState>>,
        fields: &RequestFields,
        fenced: bool,
    ) -> Self {
        let mut target = state.borrow_mut();
        let entry = ExecutionEntry {
            id: Arc::clone(&fields.id),
            key: fields.key.clone(),
            slice: fields.slice,
            epoch: fields.epoch,
            operation: Arc::clone(&fields.operation),
            started_us: monotonic_us(),
            ended_us: None,
            cancelled: false,
            target: Arc::clone(&target.name),
            process: target.started_ms,
            run: 0,
        };
        target.running += 1;

        Self {
            run: target.log.start(entry),
            state: Rc::clone(state),
            ended: false,
            deadline_us: fields.deadline_us,
            granted_slice: fields.slice.filter(|_| fenced),
            started_us: boottime_us(),
        }
    }

    /// Returns the microseconds since the last time at which the request could take effect: until
    /// its deadline, and until the grant of its slice expired or had a gap. Returns zero while it
    /// still can.
    pub(crate) fn overdue_us(&self) -> u64 {
        let target = self.state.borrow();
        let granted = self.granted_slice.map_or(u64::MAX, |slice| {
            target.grants.effect_until(slice, self.started_us)
        });
        let until_us = self.deadline_us.unwrap_or(u64::MAX).min(granted);

        boottime_us().saturating_sub(until_us)
    }

    /// Records the end of the execution at `ended_us` of `CLOCK_MONOTONIC`.
    pub(crate) fn end(&mut self, ended_us: u64, cancelled: bool) {
        let mut target = self.state.borrow_mut();

        target.running -= 1;
        target.log.end(self.run, ended_us, cancelled);
        self.ended = true;
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        if !self.ended {
            let overdue_us = self.overdue_us();
            self.end(monotonic_us().saturating_sub(overdue_us), true);
        }
    }
}
