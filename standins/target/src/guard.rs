//! The guards that count an order and record its execution, also when it is cancelled.

use crate::{execution::ExecutionEntry, order::OrderFields, state::TargetState};
use standin_net::clock::{boottime_us, monotonic_us};
use std::{cell::RefCell, rc::Rc, sync::Arc};

/// `InFlightGuard` counts an accepted order until it is answered or cancelled.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    /// The state of the target.
    state: Rc<RefCell<TargetState>>,
}

impl InFlightGuard {
    /// Counts an order.
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

/// `ExecutionGuard` records the end of an execution, also of one that is cancelled.
#[derive(Debug)]
pub(crate) struct ExecutionGuard {
    /// The state of the target.
    state: Rc<RefCell<TargetState>>,
    /// The ordinal of the execution.
    pub(crate) run: usize,
    /// Whether the end is recorded.
    ended: bool,
    /// The deadline of the order in microseconds of `CLOCK_BOOTTIME`.
    deadline_us: Option<u64>,
    /// The slice whose grant the order needs.
    granted_slice: Option<u32>,
    /// The start in microseconds of `CLOCK_BOOTTIME`.
    started_us: u64,
}

impl ExecutionGuard {
    /// Records the start of an execution.
    pub(crate) fn start(
        state: &Rc<RefCell<TargetState>>,
        order: &OrderFields,
        fenced: bool,
    ) -> Self {
        let mut target = state.borrow_mut();
        let entry = ExecutionEntry {
            id: Arc::clone(&order.id),
            key: order.key.clone(),
            slice: order.slice,
            epoch: order.epoch,
            operation: Arc::clone(&order.operation),
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
            deadline_us: order.deadline_us,
            granted_slice: order.slice.filter(|_| fenced),
            started_us: boottime_us(),
        }
    }

    /// Returns how long ago the order could take effect last: its deadline has passed, or the grant
    /// of its slice has ended or had a gap.
    pub(crate) fn overdue_us(&self) -> u64 {
        let target = self.state.borrow();
        let granted = self.granted_slice.map_or(u64::MAX, |slice| {
            target.grants.effect_until(slice, self.started_us)
        });
        let until_us = self.deadline_us.unwrap_or(u64::MAX).min(granted);

        boottime_us().saturating_sub(until_us)
    }

    /// Records the end of the execution.
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
