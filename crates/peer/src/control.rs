//! Sending control messages to one peer.

use crate::{CONTROL_PATH, link};
use bytes::Bytes;
use compio::time::{sleep, timeout};
use futures_channel::mpsc::{self, Receiver, Sender};
use futures_util::StreamExt;
use h2::SendStream;
use std::{future::poll_fn, net::SocketAddr, time::Duration};
use wagtail_core::{CoreError, Result, verdict::RunVerdict};
use wagtail_net::traffic::TrafficMeter;

/// The number of frames that may be queued for a slow peer. Newer control messages supersede
/// queued ones.
const QUEUED_FRAMES: usize = 32;

/// How long a frame may wait for room in the flow-control window before the connection is
/// closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay before reconnecting after a failure.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// `ControlSender` queues control frames for one peer; a background task sends them.
#[derive(Debug, Clone)]
pub struct ControlSender {
    queue: Sender<Bytes>,
}

impl ControlSender {
    /// Creates a sender and spawns its task, which connects on the first frame. The task ends once
    /// all clones of the sender are dropped.
    pub fn new(address: SocketAddr) -> Self {
        let (queue, frames) = mpsc::channel(QUEUED_FRAMES);

        compio::runtime::spawn(send_frames(address, frames)).detach();

        Self { queue }
    }

    /// Queues a frame and returns `true`, or drops it and returns `false` when the queue is full.
    ///
    /// The callers repeat their control messages, so a lost one only causes a delay.
    pub fn send(&mut self, frame: Bytes) -> bool {
        self.queue.try_send(frame).is_ok()
    }
}

/// Sends frames until the queue is closed, reconnecting after each failure.
async fn send_frames(address: SocketAddr, mut frames: Receiver<Bytes>) {
    while let Some(frame) = frames.next().await {
        if send_on_stream(address, frame, &mut frames).await.is_ok() {
            return;
        }

        // Frames that were queued for the lost connection are outdated; discard them.
        sleep(RECONNECT_PAUSE).await;
        while frames.try_recv().is_ok() {}
    }
}

/// Opens a connection with one stream and sends frames on it until the queue is closed.
///
/// # Errors
///
/// Fails when the connection fails, or when the peer leaves a frame unread for [`WRITE_TIMEOUT`].
async fn send_on_stream(
    address: SocketAddr,
    first: Bytes,
    frames: &mut Receiver<Bytes>,
) -> Result<()> {
    let connection =
        link::connect(address, link::STREAM_WINDOW_BYTES, TrafficMeter::default()).await?;
    let mut sender = connection
        .sender
        .ready()
        .await
        .map_err(|error| stream_error(&error))?;
    let request = link::stream_request(CONTROL_PATH)?;
    let (_response, mut stream) = sender
        .send_request(request, false)
        .map_err(|error| stream_error(&error))?;

    let mut frame = Some(first);
    while let Some(bytes) = frame {
        send_frame(&mut stream, bytes).await?;
        frame = frames.next().await;
    }

    Ok(())
}

/// Sends one frame once the flow-control window has room for all of it.
async fn send_frame(stream: &mut SendStream<Bytes>, frame: Bytes) -> Result<()> {
    stream.reserve_capacity(frame.len());

    let wait_for_window = async {
        while stream.capacity() < frame.len() {
            match poll_fn(|context| stream.poll_capacity(context)).await {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(stream_error(&error)),
                None => return Err(not_reading_error()),
            }
        }
        Ok(())
    };
    timeout(WRITE_TIMEOUT, wait_for_window)
        .await
        .unwrap_or_else(|_elapsed| Err(not_reading_error()))?;

    stream
        .send_data(frame, false)
        .map_err(|error| stream_error(&error))
}

/// Converts an HTTP/2 error of the control stream.
fn stream_error(error: &h2::Error) -> CoreError {
    CoreError::unavailable(error.to_string(), RunVerdict::NotRun)
}

/// Returns the error for a peer that does not read its control stream.
fn not_reading_error() -> CoreError {
    CoreError::unavailable(
        "the peer stopped reading its control stream",
        RunVerdict::NotRun,
    )
}
