//! The task that sends control messages to one peer.

use crate::{CONTROL_PATH, link, silence::AwaitedAnswers};
use bytes::Bytes;
use compio::time::{sleep, timeout};
use futures_channel::mpsc::{self, Receiver, Sender};
use futures_util::StreamExt;
use h2::SendStream;
use std::{future::poll_fn, net::SocketAddr, time::Duration};
use wagtail_core::{CoreError, Result, verdict::RunVerdict};

/// The frames that wait for a slow peer; a newer control message replaces what these say.
const QUEUED_FRAMES: usize = 32;

/// The longest time that a frame waits for the peer's window.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause before another connection attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// `ControlSender` queues control frames for one peer.
#[derive(Debug, Clone)]
pub struct ControlSender {
    queue: Sender<Bytes>,
}

impl ControlSender {
    /// Spawns the task that owns the connection to the peer. It ends with the last sender.
    pub fn new(address: SocketAddr) -> Self {
        let (queue, frames) = mpsc::channel(QUEUED_FRAMES);

        compio::runtime::spawn(send_frames(address, frames)).detach();

        Self { queue }
    }

    /// Queues a frame; drops it when the peer does not keep up.
    ///
    /// Control messages are repeated by their senders, so that a lost one costs only time.
    pub fn send(&mut self, frame: Bytes) -> bool {
        self.queue.try_send(frame).is_ok()
    }
}

/// Sends frames until the queue is closed, over as many connections as it takes.
async fn send_frames(address: SocketAddr, mut frames: Receiver<Bytes>) {
    while let Some(frame) = frames.next().await {
        if send_on_stream(address, frame, &mut frames).await.is_ok() {
            return;
        }

        // What waited for a lost connection is out of date.
        sleep(RECONNECT_PAUSE).await;
        while frames.try_recv().is_ok() {}
    }
}

/// Opens one stream and sends frames on it until the queue is closed.
///
/// # Errors
///
/// Fails when the connection breaks or the peer does not read.
async fn send_on_stream(
    address: SocketAddr,
    first: Bytes,
    frames: &mut Receiver<Bytes>,
) -> Result<()> {
    let connection = link::connect(address, AwaitedAnswers::default()).await?;
    let mut sender = connection
        .sender
        .ready()
        .await
        .map_err(|error| broken(&error))?;
    let request = link::stream_request(CONTROL_PATH)?;
    let (_response, mut stream) = sender
        .send_request(request, false)
        .map_err(|error| broken(&error))?;

    let mut frame = Some(first);
    while let Some(bytes) = frame {
        send_frame(&mut stream, bytes).await?;
        frame = frames.next().await;
    }

    Ok(())
}

/// Sends one frame once the peer's window has room for it.
async fn send_frame(stream: &mut SendStream<Bytes>, frame: Bytes) -> Result<()> {
    stream.reserve_capacity(frame.len());

    let room = async {
        while stream.capacity() < frame.len() {
            match poll_fn(|context| stream.poll_capacity(context)).await {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(broken(&error)),
                None => return Err(stuck()),
            }
        }
        Ok(())
    };
    timeout(WRITE_TIMEOUT, room)
        .await
        .unwrap_or_else(|_elapsed| Err(stuck()))?;

    stream
        .send_data(frame, false)
        .map_err(|error| broken(&error))
}

/// Makes the error of a broken control stream.
fn broken(error: &h2::Error) -> CoreError {
    CoreError::unavailable(error.to_string(), RunVerdict::NotRun)
}

/// Makes the error of a peer that does not read.
fn stuck() -> CoreError {
    CoreError::unavailable(
        "the peer does not read its control stream",
        RunVerdict::NotRun,
    )
}
