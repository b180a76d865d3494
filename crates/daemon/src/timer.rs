//! Waiting for the next message or a due time.

use compio::time::sleep;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::{
    StreamExt,
    future::{Either, select},
};
use std::{pin::pin, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_net::clock;

/// The minimum wait for a due time, which lets other tasks run.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// `WaitOutcome` is the outcome of a wait.
#[derive(Debug)]
pub enum WaitOutcome<T> {
    /// A message arrived.
    Item(T),
    /// The due time has passed.
    Due,
    /// All senders are gone.
    Closed,
}

/// Waits for the next message, but not beyond `due`.
pub async fn next_until<T>(
    messages: &mut UnboundedReceiver<T>,
    due: Option<LocalMoment>,
) -> WaitOutcome<T> {
    // Queued messages go first, so that a busy task does not set a timer for each message.
    if let Ok(message) = messages.try_recv() {
        return WaitOutcome::Item(message);
    }

    let Some(due) = due else {
        return messages
            .next()
            .await
            .map_or(WaitOutcome::Closed, WaitOutcome::Item);
    };

    // A minimum wait lets the other tasks run, even if the due time has already passed.
    let wait = due.since(clock::now()).max(MIN_WAIT);

    match select(messages.next(), pin!(sleep(wait))).await {
        Either::Left((Some(message), _)) => WaitOutcome::Item(message),
        Either::Left((None, _)) => WaitOutcome::Closed,
        Either::Right(_) => WaitOutcome::Due,
    }
}
