//! The one-shot signal that tells tasks to shut down.

use slab::Slab;
use std::{
    cell::{Cell, RefCell},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

/// `StopSignal` is a one-shot broadcast signal: triggering any clone wakes the waiters of all
/// clones.
#[derive(Debug, Clone, Default)]
pub struct StopSignal(Rc<SignalState>);

/// `SignalState` is the state that the clones of a signal share.
#[derive(Debug, Default)]
struct SignalState {
    is_triggered: Cell<bool>,
    waiters: RefCell<Slab<Waker>>,
}

impl StopSignal {
    /// Creates a signal that has not been triggered.
    pub fn new() -> Self {
        Self::default()
    }

    /// Triggers the signal; further calls have no effect.
    pub fn trigger(&self) {
        self.0.is_triggered.set(true);
        let waiters = self.0.waiters.take();

        for (_, waker) in waiters {
            waker.wake();
        }
    }

    /// Returns whether the signal has been triggered.
    pub fn is_triggered(&self) -> bool {
        self.0.is_triggered.get()
    }

    /// Waits until the signal is triggered; returns at once if it already was.
    pub fn wait(&self) -> StopWait {
        StopWait {
            state: Rc::clone(&self.0),
            waiter: None,
        }
    }
}

/// `StopWait` is a future that completes when its signal is triggered.
#[derive(Debug)]
pub struct StopWait {
    state: Rc<SignalState>,
    /// The key of its waker among the waiters of the signal.
    waiter: Option<usize>,
}

impl Future for StopWait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.state.is_triggered.get() {
            return Poll::Ready(());
        }

        let state = Rc::clone(&self.state);
        let mut waiters = state.waiters.borrow_mut();
        match self.waiter {
            Some(key) => waiters[key].clone_from(cx.waker()),
            None => self.waiter = Some(waiters.insert(cx.waker().clone())),
        }

        Poll::Pending
    }
}

impl Drop for StopWait {
    fn drop(&mut self) {
        // A signal that was triggered has no waiters any more.
        if let Some(key) = self.waiter {
            self.state.waiters.borrow_mut().try_remove(key);
        }
    }
}
