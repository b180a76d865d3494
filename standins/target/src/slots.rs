//! The slots and the queue of requests that wait for one.

use futures_channel::oneshot;
use std::{cell::RefCell, collections::VecDeque, rc::Rc};

/// `SlotPool` counts the free slots and queues the requests that wait for one.
#[derive(Debug)]
pub struct SlotPool {
    /// The state that the guards of the slots change.
    state: RefCell<SlotState>,
    /// The maximum number of requests that wait.
    queue: usize,
}

/// `SlotState` is the mutable state of a pool.
#[derive(Debug)]
struct SlotState {
    /// The number of free slots.
    free: u32,
    /// The requests that wait, in order of arrival.
    waiting: VecDeque<oneshot::Sender<SlotGuard>>,
}

/// `SlotClaim` is the result of a claim of a slot.
#[derive(Debug)]
pub enum SlotClaim {
    /// A slot was free and is now held by the guard.
    Taken(SlotGuard),
    /// The request is queued; the receiver yields its slot.
    Queued(oneshot::Receiver<SlotGuard>),
    /// The queue is full.
    Full,
}

impl SlotPool {
    /// Creates a pool of `slots` free slots with a queue of at most `queue` requests.
    pub fn new(slots: u32, queue: usize) -> Rc<Self> {
        Rc::new(Self {
            state: RefCell::new(SlotState {
                free: slots,
                waiting: VecDeque::new(),
            }),
            queue,
        })
    }

    /// Claims a slot, or queues the request when none is free.
    pub fn claim(self: &Rc<Self>) -> SlotClaim {
        let mut state = self.state.borrow_mut();

        if state.free > 0 {
            state.free -= 1;
            return SlotClaim::Taken(SlotGuard::new(self));
        }

        state.waiting.retain(|sender| !sender.is_canceled());
        if state.waiting.len() >= self.queue {
            return SlotClaim::Full;
        }

        let (sender, receiver) = oneshot::channel();
        state.waiting.push_back(sender);

        SlotClaim::Queued(receiver)
    }

    /// Passes a slot to the next request that still waits, or frees it.
    fn release(self: &Rc<Self>) {
        loop {
            let next = self.state.borrow_mut().waiting.pop_front();
            let Some(sender) = next else {
                self.state.borrow_mut().free += 1;
                return;
            };

            match sender.send(SlotGuard::new(self)) {
                Ok(()) => return,
                Err(mut guard) => guard.pool = None,
            }
        }
    }
}

/// `SlotGuard` holds a slot until it is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    /// The pool that the slot returns to; absent when the guard holds no slot.
    pool: Option<Rc<SlotPool>>,
}

impl SlotGuard {
    /// Creates the guard of a slot that was taken from a pool.
    fn new(pool: &Rc<SlotPool>) -> Self {
        Self {
            pool: Some(Rc::clone(pool)),
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.take() {
            pool.release();
        }
    }
}
