//! HTTP/1.1 connections to a server, kept and reused.

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use std::{cell::RefCell, net::SocketAddr, rc::Rc};
use wagtail_core::{
    CoreError, Result,
    ports::{BodyStream, LocalFuture},
    verdict::RunVerdict,
};

/// The idle connections that a pool keeps.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// `HttpPool` holds the connections to one server.
#[derive(Debug, Clone)]
pub struct HttpPool {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>,
}

impl HttpPool {
    /// Makes a pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Rc::default(),
        }
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
        let mut sender = self.connection().await?;
        let response = sender.send_request(request).await;

        let response = response.map_err(|error| {
            // A canceled request was still in this process when its connection closed.
            let verdict = if error.is_canceled() {
                RunVerdict::NotRun
            } else {
                RunVerdict::Unknown
            };

            CoreError::unavailable(format!("{}: {error}", self.address), verdict)
        })?;

        Ok(PooledAnswer::new(response, sender, self.clone()))
    }

    /// Returns an idle connection that is still open, or a new one.
    async fn connection(&self) -> Result<SendRequest<Full<Bytes>>> {
        while let Some(mut sender) = self.take_idle() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }

        self.connect().await
    }

    /// Takes the connection that was used last.
    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        self.idle.borrow_mut().pop()
    }

    /// Keeps a connection whose answer was read whole.
    fn keep(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();

        if !sender.is_closed() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
    }

    /// Opens a connection and spawns the task that drives it.
    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>> {
        let refused = |error: &dyn std::fmt::Display| {
            CoreError::unavailable(format!("{}: {error}", self.address), RunVerdict::NotRun)
        };

        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| refused(&error))?;
        stream.set_nodelay(true).map_err(|error| refused(&error))?;

        let (sender, connection) = http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|error| refused(&error))?;

        // The task ends with the connection; the senders learn of its errors.
        compio::runtime::spawn(async move { drop(connection.await) }).detach();

        Ok(sender)
    }
}

/// `PooledAnswer` is an answer whose connection returns to its pool after the whole body.
#[derive(Debug)]
pub struct PooledAnswer {
    parts: http::response::Parts,
    body: Incoming,
    sender: Option<SendRequest<Full<Bytes>>>,
    pool: HttpPool,
}

impl PooledAnswer {
    /// Joins an answer with the connection that it came by.
    fn new(response: Response<Incoming>, sender: SendRequest<Full<Bytes>>, pool: HttpPool) -> Self {
        let (parts, body) = response.into_parts();

        Self {
            parts,
            body,
            sender: Some(sender),
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
            if let Some(sender) = self.sender.take() {
                self.pool.keep(sender);
            }

            Ok(None)
        })
    }
}
