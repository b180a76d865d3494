//! The timeouts of a connection.

use compio::{net::TcpStream, time::sleep_until};
use rustix::net::sockopt;
use std::{
    task::{Context, Poll},
    time::{Duration, Instant},
};
use wagtail_core::ports::LocalFuture;

/// The interval between two checks whether a client that has closed its sending side, or whose bytes
/// are not read at the moment, still has its connection open.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(50);

/// `ConnectionAlarm` wakes the task of a connection at a time that changes often. A timer that would
/// fire too early stays as it is, so that most changes cost nothing.
#[derive(Default)]
struct ConnectionAlarm {
    timer: Option<(Instant, LocalFuture<'static, ()>)>,
}

impl ConnectionAlarm {
    /// Is ready once `due` has passed; until then, the task of `context` is woken by that time.
    fn poll(&mut self, due: Instant, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.timer.as_ref().is_none_or(|(at, _)| *at > due) {
                self.timer = Some((due, Box::pin(sleep_until(due))));
            }
            let Some((_, timer)) = &mut self.timer else {
                return Poll::Pending;
            };
            if timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }

            self.timer = None;
            if Instant::now() >= due {
                return Poll::Ready(());
            }
        }
    }
}

/// `ConnectionTimes` holds since when a connection is idle or does not take bytes.
pub(crate) struct ConnectionTimes {
    idle_timeout: Duration,
    write_timeout: Duration,
    idle_since: Option<Instant>,
    write_began: Option<Instant>,
    next_check: Option<Instant>,
    alarm: ConnectionAlarm,
}

impl ConnectionTimes {
    /// Creates the times of a new connection.
    pub(crate) fn new(idle_timeout: Duration, write_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            write_timeout,
            idle_since: None,
            write_began: None,
            next_check: None,
            alarm: ConnectionAlarm::default(),
        }
    }

    /// Notes that a request was begun.
    pub(crate) fn end_idle(&mut self) {
        self.idle_since = None;
    }

    /// Notes that the socket takes no bytes at the moment.
    pub(crate) fn await_write(&mut self) {
        self.write_began.get_or_insert_with(Instant::now);
    }

    /// Notes that the socket took bytes.
    pub(crate) fn end_write(&mut self) {
        self.write_began = None;
    }

    /// Is ready when a timeout has passed, or when the client turns out to be gone. The connection is
    /// idle if `is_idle`; it is checked for its client if `is_unwatched`.
    pub(crate) fn poll(
        &mut self,
        stream: &TcpStream,
        is_idle: bool,
        is_unwatched: bool,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        loop {
            self.idle_since = is_idle.then(|| self.idle_since.unwrap_or_else(Instant::now));
            self.next_check = is_unwatched.then(|| {
                self.next_check
                    .unwrap_or_else(|| Instant::now() + PRESENCE_INTERVAL)
            });
            let dues = [
                self.idle_since.map(|since| since + self.idle_timeout),
                self.write_began.map(|began| began + self.write_timeout),
                self.next_check,
            ];
            let Some(due) = dues.into_iter().flatten().min() else {
                return Poll::Pending;
            };
            if self.alarm.poll(due, context).is_pending() {
                return Poll::Pending;
            }

            let is_check = self.next_check.take() == Some(due);
            if !is_check || !matches!(sockopt::socket_error(stream), Ok(Ok(()))) {
                return Poll::Ready(());
            }
        }
    }
}
