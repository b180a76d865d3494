//! Detection of connections on which the peer stopped responding without closing them.

use compio::time::{sleep, timeout};
use event_listener::Event;
use futures_util::io::{AsyncRead, AsyncWrite};
use h2::{Ping, PingPong};
use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tracing::warn;
use wagtail_core::units::LocalMoment;
use wagtail_net::{clock, stop::StopSignal, traffic::TrafficMeter};

/// The least time without bytes before a ping on a connection with awaited responses.
const PING_INTERVAL: Duration = Duration::from_millis(125);

/// The grid of the moments at which connections are checked. All connections of a process are checked together, as each
/// wake-up of a process costs more than a check.
const CHECK_GRID: Duration = Duration::from_millis(50);

/// The lower bound of the silence limit. It bounds how long repeatable requests wait for a VM that
/// was lost.
const MIN_SILENCE: Duration = Duration::from_millis(450);

/// The silence after which a connection is closed, and the upper bound of the silence limit. It is
/// the time within which a key must be served again after a failure.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// The ratio of the silence limit to the slowest recent ping.
const DELAY_FACTOR: u32 = 3;

/// The slowest ping decays by this fraction (1/8) with each acknowledged ping.
const DELAY_DECAY: u32 = 8;

/// A timer that fires later than this shows that the process was not running, so that bytes may
/// have arrived without being read. Such a silence does not count.
const LATE_TIMER: Duration = Duration::from_millis(50);

/// `SilenceLimit` derives from the round-trip times of recent pings how long a connection may be
/// silent before it is suspected. It must adapt because pings queue behind data on a slow link.
#[derive(Debug, Clone, Copy, Default)]
pub struct SilenceLimit {
    slowest_ping: Duration,
}

impl SilenceLimit {
    /// Creates a limit without ping samples, at its lower bound.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the round-trip time of an acknowledged ping.
    pub fn answered(&mut self, delay: Duration) {
        let reduction = self.slowest_ping / DELAY_DECAY;

        self.slowest_ping = self.slowest_ping.saturating_sub(reduction).max(delay);
    }

    /// Returns the silence after which the connection is suspected: three times the slowest
    /// recent ping, within the range from 450 ms to 3 s.
    pub fn limit(&self) -> Duration {
        (self.slowest_ping * DELAY_FACTOR).clamp(MIN_SILENCE, MAX_SILENCE)
    }
}

/// `StreamCounter` counts the open streams of a connection: at the client until the head of the
/// response arrives, at the server until the response has been produced. Clones share the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamCounter(Rc<CounterState>);

/// `CounterState` is the state that the clones of a counter share.
#[derive(Debug, Default)]
struct CounterState {
    open: Cell<usize>,
    /// Notified when a stream opens while none was open.
    begun: Event,
}

impl StreamCounter {
    /// Counts one more stream until the returned guard is dropped.
    pub(crate) fn begin(&self) -> StreamGuard {
        let open = self.0.open.get();
        self.0.open.set(open + 1);
        if open == 0 {
            self.0.begun.notify(usize::MAX);
        }

        StreamGuard(self.clone())
    }

    /// Returns whether any stream is open.
    pub(crate) fn any(&self) -> bool {
        self.0.open.get() > 0
    }

    /// Waits until a stream is open.
    pub(crate) async fn wait_for_any(&self) {
        while !self.any() {
            let begun = self.0.begun.listen();
            if !self.any() {
                begun.await;
            }
        }
    }
}

/// `StreamGuard` keeps one open stream in the count until it is dropped.
#[derive(Debug)]
pub(crate) struct StreamGuard(StreamCounter);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let open = &self.0.0.open;
        open.set(open.get() - 1);
    }
}

/// `LastRead` is the time at which bytes last arrived on a connection. Clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct LastRead(Rc<Cell<LocalMoment>>);

impl LastRead {
    /// Records that bytes have arrived.
    pub(crate) fn record(&self) {
        self.0.set(clock::now());
    }

    /// Returns the time at which bytes last arrived.
    pub(crate) fn moment(&self) -> LocalMoment {
        self.0.get()
    }
}

/// `TrackedStream` wraps a byte stream, records when bytes arrive on it and counts those that it sends.
#[derive(Debug)]
pub(crate) struct TrackedStream<S> {
    inner: S,
    last_read: LastRead,
    sent: TrafficMeter,
}

impl<S> TrackedStream<S> {
    /// Wraps `inner` so that `last_read` is updated whenever bytes arrive, and `sent` counts bytes that are
    /// written.
    pub(crate) fn new(inner: S, last_read: LastRead, sent: TrafficMeter) -> Self {
        Self {
            inner,
            last_read,
            sent,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if matches!(polled, Poll::Ready(Ok(count)) if count > 0) {
            self.last_read.record();
        }

        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = polled {
            self.sent.add(count);
        }

        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// Sleeps until the first moment of [`CHECK_GRID`] at or after `moment`.
async fn sleep_until_check(moment: LocalMoment) {
    sleep(check_after(moment).since(clock::now())).await;
}

/// Returns the first moment at or after `moment` at which connections are checked: a multiple of 50 ms.
pub fn check_after(moment: LocalMoment) -> LocalMoment {
    let grid = u64::try_from(CHECK_GRID.as_micros()).unwrap_or(u64::MAX);

    LocalMoment::from_micros(moment.as_micros().div_ceil(grid) * grid)
}

/// `SilenceDetector` pings one connection to find out whether its peer still responds.
pub(crate) struct SilenceDetector {
    pub(crate) address: SocketAddr,
    pub(crate) pings: PingPong,
    pub(crate) awaited: StreamCounter,
    pub(crate) last_read: LastRead,
    /// Triggered when the connection is suspected.
    pub(crate) suspected: StopSignal,
}

impl SilenceDetector {
    /// Pings the connection while responses are awaited, and returns when it must be closed.
    ///
    /// A suspected connection gets no new requests, and repeatable requests on it fail at once.
    /// Responses that have begun go on, in case the connection is only slow.
    pub(crate) async fn wait_for_silence(mut self) {
        let mut limit = SilenceLimit::new();

        loop {
            // An idle connection has no timer: a node has one to almost every other one.
            self.awaited.wait_for_any().await;
            sleep_until_check(clock::now() + PING_INTERVAL).await;
            self.wait_until_quiet().await;
            if self.awaited.any() && !self.check_ping(&mut limit).await {
                return;
            }
        }
    }

    /// Waits until nothing has arrived for [`PING_INTERVAL`] or no response is awaited. A peer whose bytes arrive
    /// needs no ping.
    async fn wait_until_quiet(&self) {
        while self.awaited.any() {
            let quiet_at = self.last_read.moment() + PING_INTERVAL;
            if clock::now() >= quiet_at {
                return;
            }
            sleep_until_check(quiet_at).await;
        }
    }

    /// Sends a ping and waits for its acknowledgement. Bytes that arrive in the meantime restart
    /// the wait. Returns `false` when the connection has been silent for [`MAX_SILENCE`]. A ping
    /// that fails counts as acknowledged.
    async fn check_ping(&mut self, limit: &mut SilenceLimit) -> bool {
        let sent = clock::now();
        let mut last_heard = sent;
        let mut ping = pin!(self.pings.ping(Ping::opaque()));

        loop {
            let allowed_silence = if self.suspected.is_triggered() {
                MAX_SILENCE
            } else {
                limit.limit()
            };
            let deadline = last_heard + allowed_silence;
            if let Ok(answered) = timeout(deadline.since(clock::now()), &mut ping).await {
                if answered.is_ok() {
                    limit.answered(clock::now().since(sent));
                }
                return true;
            }

            let now = clock::now();
            let silent = now.since(last_heard);
            if self.last_read.moment() > last_heard {
                last_heard = self.last_read.moment();
            } else if now.since(deadline) > LATE_TIMER {
                last_heard = now;
            } else if silent < MAX_SILENCE {
                warn!(
                    event = "peer-connection-suspected", peer = %self.address,
                    silent_ms = silent.as_millis()
                );
                self.suspected.trigger();
            } else {
                warn!(
                    event = "peer-connection-closed", peer = %self.address,
                    silent_ms = silent.as_millis()
                );
                return false;
            }
        }
    }
}
