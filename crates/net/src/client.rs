//! An HTTP/1.1 client with a connection pool.

use crate::{
    clock,
    reset::ResetAwareStream,
    response_head::{HeadCheck, HeadCheckedStream},
    write_progress::{ProgressStream, WriteProgress},
};
use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle, time::timeout};
use cyper_core::HyperStream;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use rustix::net::sockopt;
use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use wagtail_core::{
    CoreError, Result,
    ports::{BodyStream, LocalFuture},
    units::LocalMoment,
    verdict::RunVerdict,
};

/// The maximum number of idle connections in a pool.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// How much earlier than the server states an idle connection is given up, as a request may still be
/// on its way when the server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(200);

/// The number of unanswered TCP keepalive probes after which the kernel closes a connection.
const UNANSWERED_PROBES: u32 = 2;

/// `PoolOptions` configures the connections of an [`HttpPool`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolOptions {
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How long a connection may be idle and still be reused. After that the server may be about
    /// to close it.
    pub max_idle: Duration,
    /// The TCP keepalive interval: the idle time before the first probe and the time between
    /// probes. With `None`, a request may wait forever on a connection whose peer vanished without
    /// closing it.
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

/// `PooledConnection` is an open connection of a pool; dropping it closes the socket.
#[derive(Debug)]
struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    /// The task that drives the connection; dropping the handle cancels it.
    driver: JoinHandle<()>,
    head_check: HeadCheck,
    write_progress: WriteProgress,
    idle_since: LocalMoment,
    /// How long the connection may be idle and still be reused.
    max_idle: Duration,
}

impl PooledConnection {
    /// Returns whether a request can be sent now.
    fn accepts_request(&self) -> bool {
        self.sender.is_ready() && !self.write_progress.is_unwritten()
    }
}

/// `ConnectionCount` counts a connection as open until it is dropped.
#[derive(Debug)]
struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    /// Adds a connection to a count.
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);

        Self(Rc::clone(count))
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The longest body that is read only to be discarded, in bytes.
const MAX_DISCARDED_BYTES: usize = 16 << 10;

/// The longest time for which a body is read only to be discarded.
const MAX_DISCARD_TIME: Duration = Duration::from_millis(200);

/// `HttpPool` sends requests to one server and reuses its idle connections. Clones share them.
#[derive(Debug, Clone)]
pub struct HttpPool {
    address: SocketAddr,
    options: PoolOptions,
    idle: Rc<RefCell<Vec<PooledConnection>>>,
    open_connections: Rc<Cell<usize>>,
}

impl HttpPool {
    /// Creates an empty pool with the default options.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_options(address, PoolOptions::default())
    }

    /// Creates an empty pool with the given options.
    pub fn with_options(address: SocketAddr, options: PoolOptions) -> Self {
        Self {
            address,
            options,
            idle: Rc::default(),
            open_connections: Rc::default(),
        }
    }

    /// Closes all idle connections; those in use stay open.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Returns whether the server's port refuses connections, which happens after its process has
    /// exited. A timeout or any other error counts as `false`.
    pub async fn refuses_connections(&self) -> bool {
        let opening = timeout(
            self.options.connect_timeout,
            TcpStream::connect(self.address),
        )
        .await;

        matches!(opening, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns the number of connections, in use or idle, that neither side is known to have closed. One on which
    /// nothing is read until its reader takes more counts as open.
    pub fn open_connections(&self) -> usize {
        self.drop_stale();

        self.open_connections.get()
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the status line and header fields of the response. A kept connection
    /// may have been closed before the request left this process; then it is sent on another one.
    ///
    /// Dropping the future closes the connection, which cancels the request on the server.
    ///
    /// # Errors
    ///
    /// Fails with the verdict `NotRun` when no connection could be opened or the request was not
    /// sent, and with `Unknown` when some of its bytes may have been sent.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<PooledResponse> {
        let mut request = request;

        loop {
            let (mut connection, is_new) = match self.take_idle() {
                Some(connection) => (connection, false),
                None => (self.open().await?, true),
            };
            connection.head_check.begin();
            let response = connection.sender.try_send_request(request).await;
            connection.head_check.end();

            let mut failure = match response {
                Ok(response) => return Ok(PooledResponse::new(response, connection, self.clone())),
                Err(failure) => failure,
            };
            // The request is given back only if none of it left this process.
            match failure.take_message() {
                Some(unsent) if !is_new => request = unsent,
                Some(_) => return Err(self.send_error(&failure, RunVerdict::NotRun)),
                None => return Err(self.send_error(&failure, RunVerdict::Unknown)),
            }
        }
    }

    /// Returns the error for a request that was not sent, or has no response.
    fn send_error(
        &self,
        failure: &TrySendError<Request<Full<Bytes>>>,
        verdict: RunVerdict,
    ) -> CoreError {
        CoreError::unavailable(format!("{}: {}", self.address, failure.error()), verdict)
    }

    /// Opens a new connection within the timeout.
    async fn open(&self) -> Result<PooledConnection> {
        let opening = timeout(self.options.connect_timeout, self.connect()).await;

        opening.unwrap_or_else(|_elapsed| {
            Err(CoreError::unavailable(
                format!("{}: the connection timed out", self.address),
                RunVerdict::NotRun,
            ))
        })
    }

    /// Takes the most recently used idle connection that accepts a request, unless it has been idle for too
    /// long. The server may respond before a request was written to its end; its connection accepts no other
    /// one until then.
    fn take_idle(&self) -> Option<PooledConnection> {
        self.drop_stale();
        let mut idle = self.idle.borrow_mut();
        let index = idle.iter().rposition(PooledConnection::accepts_request)?;

        Some(idle.remove(index))
    }

    /// Drops the idle connections that are closed or have been idle for too long.
    fn drop_stale(&self) {
        let now = clock::now();

        // A later response may have stated a shorter time than an earlier one.
        self.idle.borrow_mut().retain(|connection| {
            now.since(connection.idle_since) < connection.max_idle && !connection.sender.is_closed()
        });
    }

    /// Returns a connection to the pool after its response was read to the end. Drops it instead
    /// when it is closed or the pool is full.
    fn put_back(&self, mut connection: PooledConnection) {
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
        let connect_error = |error: &dyn std::fmt::Display| {
            CoreError::unavailable(format!("{}: {error}", self.address), RunVerdict::NotRun)
        };

        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| connect_error(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| connect_error(&error))?;
        if let Some(interval) = self.options.keep_alive {
            enable_keep_alive(&stream, interval).map_err(|error| connect_error(&error))?;
        }

        let head_check = HeadCheck::default();
        let stream = HeadCheckedStream::new(ResetAwareStream::new(stream), head_check.clone());
        let write_progress = WriteProgress::default();
        let stream = ProgressStream::new(HyperStream::new_plain(stream), write_progress.clone());
        let (sender, connection) = http1::handshake(stream)
            .await
            .map_err(|error| connect_error(&error))?;

        // Errors of the connection reach the callers through `sender`.
        let count = ConnectionCount::new(&self.open_connections);
        let driver = compio::runtime::spawn(async move {
            drop(connection.await);
            drop(count);
        });

        Ok(PooledConnection {
            sender,
            driver,
            head_check,
            write_progress,
            idle_since: clock::now(),
            max_idle: self.options.max_idle,
        })
    }
}

/// Returns the idle time after which the server closes the connection of a response, if it states one
/// in whole seconds.
fn stated_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    headers
        .get("keep-alive")?
        .to_str()
        .ok()?
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?
        .trim()
        .parse()
        .ok()
        .map(Duration::from_secs)
}

/// Enables TCP keepalive: after `interval` without traffic the kernel probes the connection, and
/// closes it after [`UNANSWERED_PROBES`] unanswered probes.
fn enable_keep_alive(stream: &TcpStream, interval: Duration) -> rustix::io::Result<()> {
    sockopt::set_tcp_keepidle(stream, interval)?;
    sockopt::set_tcp_keepintvl(stream, interval)?;
    sockopt::set_tcp_keepcnt(stream, UNANSWERED_PROBES)?;

    sockopt::set_socket_keepalive(stream, true)
}

/// `PooledResponse` is a response whose body is still streaming. Its connection returns to the pool
/// once the body has been read to the end.
#[derive(Debug)]
pub struct PooledResponse {
    parts: http::response::Parts,
    body: Incoming,
    connection: Option<PooledConnection>,
    pool: HttpPool,
}

impl PooledResponse {
    /// Joins a response with the connection that it arrived on.
    fn new(response: Response<Incoming>, mut connection: PooledConnection, pool: HttpPool) -> Self {
        let (parts, body) = response.into_parts();
        if let Some(timeout) = stated_idle_timeout(&parts.headers) {
            connection.max_idle = timeout
                .saturating_sub(IDLE_MARGIN)
                .min(pool.options.max_idle);
        }

        Self {
            parts,
            body,
            connection: Some(connection),
            pool,
        }
    }

    /// Returns the status and header fields of the response.
    pub fn parts(&self) -> &http::response::Parts {
        &self.parts
    }

    /// Reads the rest of the body, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails with the verdict `Unknown` when the connection closes early or the body is larger than
    /// `limit`.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes> {
        let mut body_bytes = Vec::new();

        while let Some(chunk) = self.next().await? {
            if body_bytes.len() + chunk.len() > limit {
                return Err(self.too_large(limit));
            }
            body_bytes.extend_from_slice(&chunk);
        }

        Ok(Bytes::from(body_bytes))
    }

    /// Reads the rest of the body, up to `limit` bytes. Returns `None` when a piece of it does not
    /// arrive within `piece_timeout`, or the whole not within `total_timeout`.
    ///
    /// # Errors
    ///
    /// Fails with the verdict `Unknown` when the connection closes early or the body is larger than
    /// `limit`.
    pub async fn read_body_within(
        &mut self,
        limit: usize,
        piece_timeout: Duration,
        total_timeout: Duration,
    ) -> Result<Option<Bytes>> {
        let deadline = clock::now() + total_timeout;
        let mut body_bytes = Vec::new();

        loop {
            let time_left = deadline.since(clock::now()).min(piece_timeout);
            let Ok(next) = timeout(time_left, self.next()).await else {
                return Ok(None);
            };
            let Some(chunk) = next? else {
                return Ok(Some(Bytes::from(body_bytes)));
            };
            if body_bytes.len() + chunk.len() > limit {
                return Err(self.too_large(limit));
            }
            body_bytes.extend_from_slice(&chunk);
        }
    }

    /// Reads and discards the rest of the body in the background, so that the connection can be used again. A body
    /// that is long or slow costs more than a new connection, and its connection is closed.
    pub fn recycle(mut self) {
        compio::runtime::spawn(async move {
            let read =
                self.read_body_within(MAX_DISCARDED_BYTES, MAX_DISCARD_TIME, MAX_DISCARD_TIME);
            drop(read.await);
        })
        .detach();
    }

    /// Returns the error for a body that is larger than `limit` bytes.
    fn too_large(&self, limit: usize) -> CoreError {
        CoreError::unavailable(
            format!("{}: the answer exceeds {limit} bytes", self.pool.address),
            RunVerdict::Unknown,
        )
    }
}

impl BodyStream for PooledResponse {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(async move {
            while let Some(frame) = self.body.frame().await {
                let frame = frame.map_err(|error| {
                    CoreError::unavailable(
                        format!("{}: {error}", self.pool.address),
                        RunVerdict::Unknown,
                    )
                })?;

                if let Ok(chunk) = frame.into_data() {
                    return Ok(Some(chunk));
                }
            }

            // HTTP/1.1 allows the next request only after the body was read to the end.
            if let Some(connection) = self.connection.take() {
                self.pool.put_back(connection);
            }

            Ok(None)
        })
    }
}
