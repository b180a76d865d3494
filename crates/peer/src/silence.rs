//! Finding connections that have gone silent without a reset.

use compio::time::{sleep, timeout};
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
use wagtail_net::{clock, stop::StopSignal};

/// The time between two looks at a connection on which answers are awaited.
const PING_INTERVAL: Duration = Duration::from_millis(150);

/// The shortest silence after which a connection is suspected. It bounds how long requests that
/// may be repeated wait on a VM that was lost.
const MIN_SILENCE: Duration = Duration::from_millis(450);

/// The silence after which a connection is closed: the time in which a key must be served again.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// How many times the slowest recent ping a silence may last.
const DELAY_FACTOR: u32 = 3;

/// The share of the slowest ping that is forgotten at each answer, as a divisor.
const DELAY_DECAY: u32 = 8;

/// A timer that fires later than this shows that the process did not run, so that bytes may have
/// arrived and not been read.
const LATE_WAKE: Duration = Duration::from_millis(50);

/// `SilenceLimit` learns from the delays of pings how long a connection may be silent. On a slow
/// link pings queue behind data.
#[derive(Debug, Clone, Copy, Default)]
pub struct SilenceLimit {
    slowest: Duration,
}

impl SilenceLimit {
    /// Makes a limit that has seen no ping.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the delay of an answered ping.
    pub fn answered(&mut self, delay: Duration) {
        let forgotten = self.slowest / DELAY_DECAY;

        self.slowest = self.slowest.saturating_sub(forgotten).max(delay);
    }

    /// Returns the silence after which the connection is suspected.
    pub fn limit(&self) -> Duration {
        (self.slowest * DELAY_FACTOR).clamp(MIN_SILENCE, MAX_SILENCE)
    }
}

/// `AwaitedAnswers` counts the answers for which the senders on a link wait.
#[derive(Debug, Clone, Default)]
pub(crate) struct AwaitedAnswers(Rc<Cell<usize>>);

impl AwaitedAnswers {
    /// Counts an answer until the guard is dropped.
    pub(crate) fn begin(&self) -> AwaitedGuard {
        self.0.set(self.0.get() + 1);

        AwaitedGuard(self.clone())
    }

    /// Returns whether any answer is awaited.
    fn any(&self) -> bool {
        self.0.get() > 0
    }
}

/// `AwaitedGuard` counts one awaited answer.
#[derive(Debug)]
pub(crate) struct AwaitedGuard(AwaitedAnswers);

impl Drop for AwaitedGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}

/// `LastRead` is the moment at which bytes last arrived on a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct LastRead(Rc<Cell<LocalMoment>>);

/// `WatchedStream` notes when bytes arrive on the stream inside.
#[derive(Debug)]
pub(crate) struct WatchedStream<S> {
    inner: S,
    read: LastRead,
}

impl<S> WatchedStream<S> {
    /// Makes a stream that notes its reads in `read`.
    pub(crate) fn new(inner: S, read: LastRead) -> Self {
        Self { inner, read }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if matches!(polled, Poll::Ready(Ok(count)) if count > 0) {
            self.read.0.set(clock::now());
        }

        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// `ConnectionWatch` is what the watch of one connection needs.
pub(crate) struct ConnectionWatch {
    pub(crate) address: SocketAddr,
    pub(crate) pings: PingPong,
    pub(crate) awaited: AwaitedAnswers,
    pub(crate) read: LastRead,
    /// Given when the connection is suspected.
    pub(crate) suspected: StopSignal,
}

impl ConnectionWatch {
    /// Watches the connection while answers are awaited, and ends when it is to be closed. A
    /// suspected connection takes no new request, and requests that may be repeated leave it;
    /// answers that have begun go on if it was only slow.
    pub(crate) async fn until_silent(mut self) {
        let mut limit = SilenceLimit::new();

        loop {
            sleep(PING_INTERVAL).await;
            if self.awaited.any() && !self.is_answered(&mut limit).await {
                return;
            }
        }
    }

    /// Sends a ping and waits for its answer; returns false when the connection is silent.
    async fn is_answered(&mut self, limit: &mut SilenceLimit) -> bool {
        let sent = clock::now();
        let mut heard = sent;
        let mut ping = pin!(self.pings.ping(Ping::opaque()));

        loop {
            let allowed = if self.suspected.is_triggered() {
                MAX_SILENCE
            } else {
                limit.limit()
            };
            let due = heard + allowed;
            if let Ok(answered) = timeout(due.since(clock::now()), &mut ping).await {
                if answered.is_ok() {
                    limit.answered(clock::now().since(sent));
                }
                return true;
            }

            let now = clock::now();
            let silent = now.since(heard);
            if self.read.0.get() > heard {
                heard = self.read.0.get();
            } else if now.since(due) > LATE_WAKE {
                heard = now;
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
