//! Signals that stay handled while the process runs.

use compio::signal::unix::signal;
use futures_util::poll;
use std::io;

/// Calls `received` for each signal with the given number until the process ends. Signals in quick
/// succession may be handled as one. Returns at once; the calls are made by a task of the runtime.
///
/// The signal library restores the default action, which ends the process, whenever nobody waits for the
/// signal. A second task therefore waits for it as well, while the first one begins to wait again.
pub fn on_signal(
    number: i32,
    received: impl Fn() + 'static,
    failed: impl Fn(&io::Error) + 'static,
) {
    compio::runtime::spawn(async move {
        if let Err(error) = handle_signals(number, received).await {
            failed(&error);
        }
    })
    .detach();
    compio::runtime::spawn(async move {
        // An error is the same that the first task reports.
        drop(handle_signals(number, || {}).await);
    })
    .detach();
}

/// Calls `received` for each signal.
///
/// # Errors
///
/// Fails when the signal cannot be handled.
async fn handle_signals(number: i32, received: impl Fn()) -> io::Result<()> {
    let mut next = Box::pin(signal(number));

    loop {
        next.await?;
        next = Box::pin(signal(number));
        // Registers the next wait first, so that a signal during the call is not missed.
        let is_pending = poll!(next.as_mut()).is_pending();
        received();
        if !is_pending {
            next = Box::pin(signal(number));
        }
    }
}
