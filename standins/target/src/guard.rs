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
}

impl ExecutionGuard {
    /// Records the start of an execution.
    pub(crate) fn start(state: &Rc<RefCell<TargetState>>, order: &OrderFields) -> Self {
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
        }
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
            // A process that was frozen commits nothing after the deadline that it finds passed.
            let overdue_us = self
                .deadline_us
                .map_or(0, |end| boottime_us().saturating_sub(end));
            self.end(monotonic_us().saturating_sub(overdue_us), true);
        }
    }
}
