//! Runs the target stand-in.

use compio::{net::TcpListener, signal::unix::signal};
use standin_net::{Result, server::serve};
use std::{cell::RefCell, rc::Rc, time::Duration};
use target_standin::{
    announce::TargetAnnouncer, api::TargetApi, cli, options::TargetOptions, slots::SlotPool,
    state::TargetState, work::RequestRunner,
};

/// The number of the signal that asks for a graceful shutdown.
const SIGTERM: i32 = 15;

/// The time for which a target still accepts requests after it announced that it is draining.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_500);

/// The time for the last responses to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// The interval at which the number of requests in flight is checked.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the stand-in until SIGTERM, then drains it.
#[compio::main]
async fn main() -> Result<()> {
    let options = cli::read_options(&cli::command().get_matches());
    let state = Rc::new(RefCell::new(TargetState::new(&options)?));
    let pool = SlotPool::new(options.slots, options.queue);
    let runner = RequestRunner::new(Rc::clone(&state), pool, options.fenced);
    let api = Rc::new(TargetApi::new(Rc::clone(&state), runner));

    let listener = TcpListener::bind(options.listen).await?;
    println!("target-standin: listening on {}", options.listen);
    compio::runtime::spawn(serve(listener, api)).detach();

    let announcer = Rc::new(TargetAnnouncer::new(options.clone(), Rc::clone(&state)));
    if let Some(daemon) = options.daemon {
        let announcer = Rc::clone(&announcer);
        compio::runtime::spawn(async move { announcer.run(daemon).await }).detach();
    }

    signal(SIGTERM).await?;
    leave(&options, &announcer, &state).await;

    Ok(())
}

/// Drains the target: announces it, refuses new requests after [`LEAVE_NOTICE`] and waits for those
/// in flight.
async fn leave(
    options: &TargetOptions,
    announcer: &TargetAnnouncer,
    state: &Rc<RefCell<TargetState>>,
) {
    state.borrow_mut().draining = true;
    if let Some(daemon) = options.daemon {
        // If this announcement fails, the periodic ones repeat it.
        let _announced = announcer.announce(daemon, &mut None).await;
    }

    compio::time::sleep(LEAVE_NOTICE).await;
    state.borrow_mut().refusing = true;

    let drained = async {
        while state.borrow().in_flight > 0 {
            compio::time::sleep(DRAIN_INTERVAL).await;
        }
    };
    let limit = Duration::from_millis(options.drain_ms);
    if compio::time::timeout(limit, drained).await.is_err() {
        let cut = state.borrow().in_flight;
        eprintln!("target-standin: {cut} orders were cut off");
    }
    compio::time::sleep(FLUSH_TIME).await;
}
