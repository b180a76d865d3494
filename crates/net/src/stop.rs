//! The one-shot signal that tells tasks to shut down.

use futures_channel::oneshot::{self, Receiver, Sender};
use futures_util::{FutureExt, future::Shared};
use std::{cell::RefCell, rc::Rc};

/// `StopSignal` is a one-shot broadcast signal: triggering any clone wakes the waiters of all
/// clones.
#[derive(Debug, Clone)]
pub struct StopSignal {
    sender: Rc<RefCell<Option<Sender<()>>>>,
    receiver: Shared<Receiver<()>>,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

impl StopSignal {
    /// Creates a signal that has not been triggered.
    pub fn new() -> Self {
        let (sender, receiver) = oneshot::channel();

        Self {
            sender: Rc::new(RefCell::new(Some(sender))),
            receiver: receiver.shared(),
        }
    }

    /// Triggers the signal; further calls have no effect.
    pub fn trigger(&self) {
        self.sender.borrow_mut().take();
    }

    /// Returns whether the signal has been triggered.
    pub fn is_triggered(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Waits until the signal is triggered; returns at once if it already was.
    pub async fn wait(&self) {
        // `trigger` drops the sender, which completes every clone of the receiver with `Canceled`.
        let _canceled = self.receiver.clone().await;
    }
}
