//! The accept loop of an HTTP/1.1 server.

use crate::stop::StopSignal;
use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::{
    FutureExt, StreamExt,
    future::{Either, select},
    stream::{self, FuturesUnordered, LocalBoxStream},
};
use http_body_util::{Either as EitherBody, Full, StreamBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    header::{CONNECTION, HeaderName, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use std::{convert::Infallible, fmt::Debug, pin::pin, rc::Rc, time::Duration};
use wagtail_core::{
    CoreError,
    ports::{BodyStream, LocalFuture},
};

/// The pause after a failed accept, for instance when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The time for which a connection may be idle, or take for the header fields of a request,
/// unless the limits say otherwise.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The time by which clients are told to stop using an idle connection before it is closed, so
/// that no request crosses the end of its connection.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_HEADER_BYTES: usize = 8_192;

/// The field that tells a client for how long an idle connection stays open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// `ServerBody` is the body of an answer, whole or streamed.
pub type ServerBody =
    EitherBody<Full<Bytes>, StreamBody<LocalBoxStream<'static, Result<Frame<Bytes>, CoreError>>>>;

/// `ConnectionLimits` bound what a client may do with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The largest head of a request in bytes.
    pub head_bytes: usize,
    /// The time for which the connection may be idle, or take for the head of a request.
    pub idle_timeout: Duration,
}

impl ConnectionLimits {
    /// Makes limits with the usual idle time.
    pub fn new(head_bytes: usize) -> Self {
        Self {
            head_bytes,
            idle_timeout: IDLE_TIMEOUT,
        }
    }

    /// Returns the time that clients are told, in whole seconds.
    fn told_seconds(&self) -> u64 {
        self.idle_timeout
            .saturating_sub(IDLE_MARGIN)
            .as_secs()
            .max(1)
    }
}

/// `LimitSource` tells the limits of a connection that is made now.
pub trait LimitSource: Debug {
    /// Returns the limits.
    fn limits(&self) -> ConnectionLimits;
}

impl LimitSource for ConnectionLimits {
    fn limits(&self) -> ConnectionLimits {
        *self
    }
}

/// `HttpHandler` answers the requests of one server.
pub trait HttpHandler: Debug {
    /// Answers one request. The future is dropped when the client goes away.
    fn handle(&self, request: Request<Incoming>) -> LocalFuture<'_, Response<ServerBody>>;
}

/// Makes a body that is already whole.
pub fn whole_body(bytes: impl Into<Bytes>) -> ServerBody {
    EitherBody::Left(Full::new(bytes.into()))
}

/// Makes a body that is read from a stream while it is sent. An error of the stream ends the
/// connection, so that the client never takes a part for the whole.
pub fn streamed_body(body: Box<dyn BodyStream>) -> ServerBody {
    let frames = stream::unfold(Some(body), |body| async move {
        let mut body = body?;

        match body.next().await {
            Ok(Some(part)) => Some((Ok(Frame::data(part)), Some(body))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });

    EitherBody::Right(StreamBody::new(frames.boxed_local()))
}

/// Serves connections until the signal, then waits for the requests in flight.
pub async fn serve(
    listener: TcpListener,
    handler: Rc<dyn HttpHandler>,
    limits: Rc<dyn LimitSource>,
    stop: StopSignal,
) {
    let mut connections = FuturesUnordered::new();

    loop {
        let accepted = {
            let accept = pin!(listener.accept());
            let ended = pin!(drive(&mut connections));
            let stopped = pin!(stop.wait());

            match select(stopped, select(accept, ended)).await {
                Either::Left(_) => break,
                Either::Right((Either::Left((accepted, _)), _)) => accepted,
                Either::Right((Either::Right(((), _)), _)) => continue,
            }
        };

        match accepted {
            Ok((stream, _)) => {
                let connection =
                    serve_connection(stream, Rc::clone(&handler), limits.limits(), stop.clone());
                connections.push(compio::runtime::spawn(connection));
            }
            Err(_) => compio::time::sleep(ACCEPT_PAUSE).await,
        }
    }

    // Closing the listener first sends new connections to other nodes at once.
    drop(listener);
    while connections.next().await.is_some() {}
}

/// Reaps one ended connection; waits forever when there is none.
async fn drive<F: Future>(connections: &mut FuturesUnordered<F>) {
    if connections.next().await.is_none() {
        std::future::pending::<()>().await;
    }
}

/// Serves one connection until it ends, or until the requests in flight at the signal are
/// answered.
async fn serve_connection(
    stream: TcpStream,
    handler: Rc<dyn HttpHandler>,
    limits: ConnectionLimits,
    stop: StopSignal,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }

    let told = HeaderValue::from_str(&format!("timeout={}", limits.told_seconds())).ok();
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, told) = (Rc::clone(&handler), told.clone());

        async move {
            let mut response = handler.handle(request).await;
            if let Some(told) = told.filter(|_| !response.headers().contains_key(CONNECTION)) {
                response.headers_mut().insert(KEEP_ALIVE, told);
            }

            Ok::<_, Infallible>(response)
        }
    });

    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_HEADER_BYTES))
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = pin!(connection);

    let stopped = pin!(stop.wait().fuse());
    if let Either::Left(_) = select(stopped, connection.as_mut()).await {
        connection.as_mut().graceful_shutdown();
        // The client learns of a failure through its closed connection.
        drop(connection.await);
    }
}
