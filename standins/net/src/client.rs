//! A persistent HTTP/1.1 client connection.

use crate::errors::{NetError, Result};
use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::{HeaderMap, Request, StatusCode, header::HOST, header::HeaderValue};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use std::{net::SocketAddr, time::Duration};

/// `CompleteResponse` is a response whose body was received completely.
#[derive(Debug, Clone)]
pub struct CompleteResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The header fields of the response.
    pub headers: HeaderMap,
    /// The bytes of the body, without transfer encoding.
    pub body: Bytes,
}

/// `ClientConnection` is a persistent connection to one server.
#[derive(Debug)]
pub struct ClientConnection {
    /// The address of the server.
    address: SocketAddr,
    /// The request sender of the connection.
    sender: SendRequest<Full<Bytes>>,
}

impl ClientConnection {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::NoConnection`] when the server does not accept the connection within
    /// `wait`, and an error when the socket or the HTTP handshake fails.
    pub async fn connect(address: SocketAddr, wait: Duration) -> Result<Self> {
        let stream = compio::time::timeout(wait, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| NetError::NoConnection)??;
        stream.set_nodelay(true)?;

        let (sender, connection) = http1::handshake(HyperStream::new_plain(stream)).await?;
        compio::runtime::spawn(async move {
            // The sender reports a broken connection at its next request.
            let _ended = connection.await;
        })
        .detach();

        Ok(Self { address, sender })
    }

    /// Returns whether the connection accepts another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Timeout`] when `wait` passes first, and an error when the connection
    /// breaks.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<CompleteResponse> {
        let host = HeaderValue::try_from(self.address.to_string()).map_err(http::Error::from)?;
        request.headers_mut().insert(HOST, host);

        compio::time::timeout(wait, self.exchange(request))
            .await
            .map_err(|_elapsed| NetError::Timeout)?
    }

    /// Sends a request and collects the body of the response.
    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<CompleteResponse> {
        self.sender.ready().await?;

        let response = self.sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();

        Ok(CompleteResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
