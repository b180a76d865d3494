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
    server::conn::http1,
    service::service_fn,
};
use std::{convert::Infallible, fmt::Debug, net::SocketAddr, pin::pin, rc::Rc, time::Duration};
use wagtail_core::{
    CoreError,
    ports::{BodyStream, LocalFuture},
};

/// The pause after a failed accept, for instance when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The time that a client has to send the header fields of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_HEADER_BYTES: usize = 8_192;

/// `ServerBody` is the body of an answer, whole or streamed.
pub type ServerBody =
    EitherBody<Full<Bytes>, StreamBody<LocalBoxStream<'static, Result<Frame<Bytes>, CoreError>>>>;

/// `CallerAddress` is the address from which a request came, an extension of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAddress(pub SocketAddr);

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
    max_header_bytes: usize,
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
            Ok((stream, from)) => {
                let connection = serve_connection(
                    stream,
                    CallerAddress(from),
                    Rc::clone(&handler),
                    max_header_bytes,
                    stop.clone(),
                );
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
    from: CallerAddress,
    handler: Rc<dyn HttpHandler>,
    max_header_bytes: usize,
    stop: StopSignal,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }

    let service = service_fn(move |mut request: Request<Incoming>| {
        let handler = Rc::clone(&handler);
        request.extensions_mut().insert(from);

        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });

    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(max_header_bytes.max(MIN_HEADER_BYTES))
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = pin!(connection);

    let stopped = pin!(stop.wait().fuse());
    if let Either::Left(_) = select(stopped, connection.as_mut()).await {
        connection.as_mut().graceful_shutdown();
        // The client learns of a failure through its closed connection.
        drop(connection.await);
    }
}
