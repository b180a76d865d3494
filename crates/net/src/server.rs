//! An HTTP/1.1 server: the accept loop and response bodies.

use crate::{
    ending::{ConnectionEnd, reset_on_close},
    request_body::RequestBody,
    stall::StallGuardedStream,
    stop::StopSignal,
};
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
    Request, Response, StatusCode, Version,
    body::{Frame, Incoming},
    header::{CONNECTION, HeaderName, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use std::{cell::Cell, convert::Infallible, fmt::Debug, pin::pin, rc::Rc, time::Duration};
use wagtail_core::{
    CoreError,
    ports::{BodyStream, LocalFuture},
};

/// The delay after a failed `accept`, for instance when no file descriptors are left. Without it
/// the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The default of [`ConnectionLimits::idle_timeout`].
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How much shorter the advertised keep-alive timeout is than the real one, so that a client does
/// not send a request while the server closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// The minimum buffer size in bytes; hyper panics below it.
pub(crate) const MIN_HEADER_BYTES: usize = 8_192;

/// The header field that advertises how long an idle connection stays open.
pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// `ServerBody` is the body of a response, either complete in memory or streamed.
pub type ServerBody =
    EitherBody<Full<Bytes>, StreamBody<LocalBoxStream<'static, Result<Frame<Bytes>, CoreError>>>>;

/// `ConnectionLimits` limits the header size and the idle time of a client connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The maximum size in bytes of a request line with its header fields. Values below 8,192
    /// have the effect of 8,192.
    pub head_bytes: usize,
    /// How long a connection may be idle, and how long the header fields of a request may take to
    /// arrive.
    pub idle_timeout: Duration,
}

impl ConnectionLimits {
    /// Creates limits with the default idle timeout of 30 s.
    pub fn new(head_bytes: usize) -> Self {
        Self {
            head_bytes,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }

    /// Returns the keep-alive timeout advertised to clients, in whole seconds and at least 1.
    pub(crate) fn advertised_seconds(&self) -> u64 {
        self.idle_timeout
            .saturating_sub(KEEP_ALIVE_MARGIN)
            .as_secs()
            .max(1)
    }
}

/// `LimitSource` provides the limits for new connections, so that they can change at run time.
pub trait LimitSource: Debug {
    /// Returns the limits that apply to a connection accepted now.
    fn limits(&self) -> ConnectionLimits;

    /// Returns the longest time for which a client may read nothing of a response before its connection is
    /// closed, or `None` without a limit.
    fn write_stall(&self) -> Option<Duration> {
        None
    }
}

impl LimitSource for ConnectionLimits {
    fn limits(&self) -> ConnectionLimits {
        *self
    }
}

/// `HttpHandler` responds to the requests of one server.
pub trait HttpHandler: Debug {
    /// Returns the response to one request. The future is dropped when the client disconnects.
    fn handle(&self, request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>>;
}

/// Creates a body from bytes in memory.
pub fn whole_body(bytes: impl Into<Bytes>) -> ServerBody {
    EitherBody::Left(Full::new(bytes.into()))
}

/// Returns a response that a server makes itself. A `pause` is sent as `retry-after`, in seconds
/// with three decimals.
pub fn plain_response(
    status: StatusCode,
    reason: &str,
    pause: Option<Duration>,
) -> Response<ServerBody> {
    let mut response = Response::new(whole_body(reason.to_owned()));
    *response.status_mut() = status;

    if let Some(pause) = pause
        && let Ok(value) = HeaderValue::try_from(format!("{:.3}", pause.as_secs_f64()))
    {
        response.headers_mut().insert(RETRY_AFTER, value);
    }

    response
}

/// Makes a response close its connection.
pub fn close_after(response: &mut Response<ServerBody>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Creates a body that is streamed while it is sent. An error of the stream closes the connection,
/// so that the client does not mistake a truncated body for a complete one.
pub fn streamed_body(body: Box<dyn BodyStream>) -> ServerBody {
    let frames = stream::unfold(Some(body), |body| async move {
        let mut body = body?;

        match body.next().await {
            Ok(Some(chunk)) => Some((Ok(Frame::data(chunk)), Some(body))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });

    EitherBody::Right(StreamBody::new(frames.boxed_local()))
}

/// Serves connections until `stop` is triggered, then closes the listener and waits for the
/// requests in flight.
pub async fn serve(
    listener: TcpListener,
    handler: Rc<dyn HttpHandler>,
    limits: Rc<dyn LimitSource>,
    stop: StopSignal,
) {
    accept_connections(listener, &stop, |socket| {
        let stream = StallGuardedStream::new(socket.clone(), limits.write_stall());
        let (handler, limits, stop) = (Rc::clone(&handler), limits.limits(), stop.clone());

        async move {
            if serve_connection(stream, handler, limits, stop).await == ConnectionEnd::Reset {
                reset_on_close(&socket);
            }
        }
    })
    .await;
}

/// Spawns a task for each connection until `stop` is triggered, then closes the listener and waits for
/// the tasks.
pub(crate) async fn accept_connections<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    stop: &StopSignal,
    serve: impl Fn(TcpStream) -> F,
) {
    let mut connections = FuturesUnordered::new();

    loop {
        let accepted = {
            let accept = pin!(listener.accept());
            let ended = pin!(reap_next(&mut connections));
            let stopped = pin!(stop.wait());

            match select(stopped, select(accept, ended)).await {
                Either::Left(_) => break,
                Either::Right((Either::Left((accepted, _)), _)) => accepted,
                Either::Right((Either::Right(((), _)), _)) => continue,
            }
        };

        match accepted {
            Ok((stream, _)) if stream.set_nodelay(true).is_err() => drop(stream),
            Ok((stream, _)) => connections.push(compio::runtime::spawn(serve(stream))),
            Err(_) => compio::time::sleep(ACCEPT_PAUSE).await,
        }
    }

    // Close the listener before waiting, so that new clients are refused and go to other nodes.
    drop(listener);
    while connections.next().await.is_some() {}
}

/// Waits for one connection to finish and removes it; waits forever when there are none.
async fn reap_next<F: Future>(connections: &mut FuturesUnordered<F>) {
    if connections.next().await.is_none() {
        std::future::pending::<()>().await;
    }
}

/// Serves one connection until it is to be closed. After `stop` is triggered it finishes the request in
/// flight first. Returns how the connection ends.
async fn serve_connection(
    stream: StallGuardedStream,
    handler: Rc<dyn HttpHandler>,
    limits: ConnectionLimits,
    stop: StopSignal,
) -> ConnectionEnd {
    let keep_alive =
        HeaderValue::from_str(&format!("timeout={}", limits.advertised_seconds())).ok();
    // A body without a length ends with the connection of a client that knows no chunks.
    let is_old_client = Rc::new(Cell::new(false));
    let is_old = Rc::clone(&is_old_client);
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, keep_alive) = (Rc::clone(&handler), keep_alive.clone());
        is_old.set(request.version() == Version::HTTP_10);

        async move {
            let mut response = handler.handle(request.map(RequestBody::from)).await;
            if let Some(keep_alive) =
                keep_alive.filter(|_| !response.headers().contains_key(CONNECTION))
            {
                response.headers_mut().insert(KEEP_ALIVE, keep_alive);
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
    let ended = match select(stopped, connection.as_mut()).await {
        Either::Left(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        Either::Right((ended, _)) => ended,
    };

    match ended {
        Ok(()) => ConnectionEnd::Answered,
        // The body of a response has failed.
        Err(error) if error.is_user() && is_old_client.get() => ConnectionEnd::Reset,
        // The client sees the connection close.
        Err(_) => ConnectionEnd::Broken,
    }
}
