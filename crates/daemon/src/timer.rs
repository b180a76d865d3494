//! Waiting for the next message or for a due time.

use compio::time::sleep;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::{
    StreamExt,
    future::{Either, select},
};
use std::{pin::pin, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_net::clock;

/// The shortest wait for a due time.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// `WaitOutcome` is what a wait ended with.
#[derive(Debug)]
pub enum WaitOutcome<T> {
    /// A message came.
    Item(T),
    /// The time is due.
    Due,
    /// All senders are gone.
    Closed,
}

/// Waits for the next message, but no longer than until `due`.
pub async fn next_until<T>(
    messages: &mut UnboundedReceiver<T>,
    due: Option<LocalMoment>,
) -> WaitOutcome<T> {
    // A waiting message goes first, so that a busy task sets no timer for each message.
    if let Ok(message) = messages.try_recv() {
        return WaitOutcome::Item(message);
    }

    let Some(due) = due else {
        return messages
            .next()
            .await
            .map_or(WaitOutcome::Closed, WaitOutcome::Item);
    };

    // Waiting at least a little lets the other tasks run, whatever the due time.
    let wait = due.since(clock::now()).max(MIN_WAIT);

    match select(messages.next(), pin!(sleep(wait))).await {
        Either::Left((Some(message), _)) => WaitOutcome::Item(message),
        Either::Left((None, _)) => WaitOutcome::Closed,
        Either::Right(_) => WaitOutcome::Due,
    }
}
