//! Turns in which the bodies of requests are received.
//!
//! Pattern: dozens of peers send bodies of 60 KB to few nodes with links of 10 Mbit/s. Each of them keeps to the
//! rate of its own link, but together they fill that of the receiver, and everything else waits behind them.

use event_listener::Event;
use std::{cell::Cell, rc::Rc};

/// `BodyTurns` limits how many large bodies are received at a time. The others wait at their senders, as the
/// flow-control window of a request is small. Clones share the turns.
#[derive(Debug, Clone)]
pub struct BodyTurns {
    limit: usize,
    shared: Rc<SharedTurns>,
}

/// `SharedTurns` is the state that the clones share.
#[derive(Debug, Default)]
struct SharedTurns {
    taken: Cell<usize>,
    freed: Event,
}

impl BodyTurns {
    /// Creates turns of which `limit`, at least one, may be taken at a time.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            shared: Rc::default(),
        }
    }

    /// Waits for a turn.
    pub async fn take(&self) -> BodyTurn {
        while self.shared.taken.get() >= self.limit {
            let freed = self.shared.freed.listen();
            if self.shared.taken.get() >= self.limit {
                freed.await;
            }
        }
        self.shared.taken.set(self.shared.taken.get() + 1);

        BodyTurn(self.clone())
    }
}

/// `BodyTurn` is a turn that ends when it is dropped.
#[derive(Debug)]
pub struct BodyTurn(BodyTurns);

impl Drop for BodyTurn {
    fn drop(&mut self) {
        let shared = &self.0.shared;

        shared.taken.set(shared.taken.get() - 1);
        // Turns that end together each wake a waiter of their own.
        shared.freed.notify_additional(1);
    }
}
