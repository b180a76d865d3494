//! HTTP/1.1 connections to a server, kept and reused.

use crate::clock;
use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle, time::timeout};
use cyper_core::HyperStream;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use rustix::net::sockopt;
use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};
use wagtail_core::{
    CoreError, Result,
    ports::{BodyStream, LocalFuture},
    units::LocalMoment,
    verdict::RunVerdict,
};

/// The idle connections that a pool keeps.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The probes without an answer after which the system ends a connection.
const UNANSWERED_PROBES: u32 = 2;

/// `PoolOptions` are the settings of the connections to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolOptions {
    /// The longest time to open a connection.
    pub connect_timeout: Duration,
    /// The time after which an idle connection is not used again, as the server may be about to
    /// close it.
    pub max_idle: Duration,
    /// The idle time after which the system probes a connection, and between two probes. Without
    /// it a connection that waits for an answer may be silent for good.
    pub keep_alive: Option<Duration>,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(2),
            max_idle: Duration::from_secs(4),
            keep_alive: None,
        }
    }
}

/// `PooledConnection` is one connection; dropping it closes the socket.
#[derive(Debug)]
struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    /// The task that drives the connection; it ends when this is dropped.
    driver: JoinHandle<()>,
    idle_since: LocalMoment,
}

/// `HttpPool` holds the connections to one server.
#[derive(Debug, Clone)]
pub struct HttpPool {
    address: SocketAddr,
    options: PoolOptions,
    idle: Rc<RefCell<Vec<PooledConnection>>>,
}

impl HttpPool {
    /// Makes a pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_options(address, PoolOptions::default())
    }

    /// Makes a pool with settings of its own.
    pub fn with_options(address: SocketAddr, options: PoolOptions) -> Self {
        Self {
            address,
            options,
            idle: Rc::default(),
        }
    }

    /// Closes the idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Returns whether the server's port refuses connections, as when its process has ended.
    pub async fn refuses_connections(&self) -> bool {
        let opening = timeout(
            self.options.connect_timeout,
            TcpStream::connect(self.address),
        )
        .await;

        matches!(opening, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// Dropping the future closes the connection, which cancels the request at the server.
    ///
    /// # Errors
    ///
    /// Fails with the verdict `NotRun` when no connection could be made, and `Unknown` once
    /// bytes of the request may have left.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<PooledAnswer> {
        let mut connection = self.connection().await?;
        let response = connection.sender.send_request(request).await;

        let response = response.map_err(|error| {
            // A canceled request was still in this process when its connection closed.
            let verdict = if error.is_canceled() {
                RunVerdict::NotRun
            } else {
                RunVerdict::Unknown
            };

            CoreError::unavailable(format!("{}: {error}", self.address), verdict)
        })?;

        Ok(PooledAnswer::new(response, connection, self.clone()))
    }

    /// Returns an idle connection that is still open, or a new one.
    async fn connection(&self) -> Result<PooledConnection> {
        while let Some(mut connection) = self.take_idle() {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }

        let opening = timeout(self.options.connect_timeout, self.connect()).await;

        opening.unwrap_or_else(|_elapsed| {
            Err(CoreError::unavailable(
                format!("{}: the connection timed out", self.address),
                RunVerdict::NotRun,
            ))
        })
    }

    /// Takes the connection that was used last, unless it was idle for too long.
    fn take_idle(&self) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connection = idle.pop()?;

        if clock::now().since(connection.idle_since) > self.options.max_idle {
            // All others were used even earlier.
            idle.clear();
            return None;
        }

        Some(connection)
    }

    /// Keeps a connection whose answer was read whole.
    fn keep(&self, mut connection: PooledConnection) {
        let mut idle = self.idle.borrow_mut();

        if !connection.sender.is_closed()
            && !connection.driver.is_finished()
            && idle.len() < MAX_IDLE_CONNECTIONS
        {
            connection.idle_since = clock::now();
            idle.push(connection);
        }
    }

    /// Opens a connection and spawns the task that drives it.
    async fn connect(&self) -> Result<PooledConnection> {
        let refused = |error: &dyn std::fmt::Display| {
            CoreError::unavailable(format!("{}: {error}", self.address), RunVerdict::NotRun)
        };

        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| refused(&error))?;
        stream.set_nodelay(true).map_err(|error| refused(&error))?;
        if let Some(interval) = self.options.keep_alive {
            probe_when_idle(&stream, interval).map_err(|error| refused(&error))?;
        }

        let (sender, connection) = http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|error| refused(&error))?;

        // The senders learn of the connection's errors.
        let driver = compio::runtime::spawn(async move { drop(connection.await) });

        Ok(PooledConnection {
            sender,
            driver,
            idle_since: clock::now(),
        })
    }
}

/// Has the system probe a connection that is idle, and end it when probes are not answered.
fn probe_when_idle(stream: &TcpStream, interval: Duration) -> rustix::io::Result<()> {
    sockopt::set_tcp_keepidle(stream, interval)?;
    sockopt::set_tcp_keepintvl(stream, interval)?;
    sockopt::set_tcp_keepcnt(stream, UNANSWERED_PROBES)?;

    sockopt::set_socket_keepalive(stream, true)
}

/// `PooledAnswer` is an answer whose connection returns to its pool after the whole body.
#[derive(Debug)]
pub struct PooledAnswer {
    parts: http::response::Parts,
    body: Incoming,
    connection: Option<PooledConnection>,
    pool: HttpPool,
}

impl PooledAnswer {
    /// Joins an answer with the connection that it came by.
    fn new(response: Response<Incoming>, connection: PooledConnection, pool: HttpPool) -> Self {
        let (parts, body) = response.into_parts();

        Self {
            parts,
            body,
            connection: Some(connection),
            pool,
        }
    }

    /// Returns the status and header fields.
    pub fn parts(&self) -> &http::response::Parts {
        &self.parts
    }

    /// Reads the whole body, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends early or the body is larger than `limit`.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes> {
        let mut whole = Vec::new();

        while let Some(part) = self.next().await? {
            if whole.len() + part.len() > limit {
                return Err(CoreError::unavailable(
                    format!("{}: the answer exceeds {limit} bytes", self.pool.address),
                    RunVerdict::Unknown,
                ));
            }
            whole.extend_from_slice(&part);
        }

        Ok(Bytes::from(whole))
    }
}

impl BodyStream for PooledAnswer {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(async move {
            while let Some(frame) = self.body.frame().await {
                let frame = frame.map_err(|error| {
                    CoreError::unavailable(
                        format!("{}: {error}", self.pool.address),
                        RunVerdict::Unknown,
                    )
                })?;

                if let Ok(part) = frame.into_data() {
                    return Ok(Some(part));
                }
            }

            // Only a body read to its end leaves the connection ready for another request.
            if let Some(connection) = self.connection.take() {
                self.pool.keep(connection);
            }

            Ok(None)
        })
    }
}
