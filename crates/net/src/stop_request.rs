//! The signal that asks the process to shut down.

use crate::{signals, stop::StopSignal};
use tracing::{info, warn};

/// The number of the signal that asks a process to shut down.
const SIGTERM: i32 = 15;

/// Handles SIGTERM from now on, and returns the signal that it triggers. Further ones are logged only, as
/// the shutdown is limited in time anyway.
pub fn handle_stop_signal() -> StopSignal {
    let requested = StopSignal::new();
    let (on_receipt, on_failure) = (requested.clone(), requested.clone());

    signals::on_signal(
        SIGTERM,
        move || {
            if on_receipt.is_triggered() {
                info!(event = "signal-repeated", signal = SIGTERM);
            }
            on_receipt.trigger();
        },
        move |error| {
            warn!(event = "signal-not-received", signal = SIGTERM, reason = %error);
            on_failure.trigger();
        },
    );

    requested
}
