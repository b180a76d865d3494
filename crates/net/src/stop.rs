//! The signal that tells every task to finish its work.

use futures_channel::oneshot::{self, Receiver, Sender};
use futures_util::{FutureExt, future::Shared};
use std::{cell::RefCell, rc::Rc};

/// `StopSignal` is given once and seen by every holder of a clone.
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
    /// Makes a signal that was not given yet.
    pub fn new() -> Self {
        let (sender, receiver) = oneshot::channel();

        Self {
            sender: Rc::new(RefCell::new(Some(sender))),
            receiver: receiver.shared(),
        }
    }

    /// Gives the signal.
    pub fn trigger(&self) {
        self.sender.borrow_mut().take();
    }

    /// Returns whether the signal was given.
    pub fn is_triggered(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Waits until the signal is given.
    pub async fn wait(&self) {
        // Dropping the sender ends the receiver, for each of its clones.
        let _canceled = self.receiver.clone().await;
    }
}
