//! The HTTP/1.1 server.

use crate::{
    errors::{NetError, Result},
    repeat::{RepeatResponse, RepeatStream},
    reply::StandinResponse,
};
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use std::{cell::Cell, fmt::Debug, rc::Rc};
use wagtail_core::ports::LocalFuture;

/// `RequestHandler` handles the requests of a stand-in. An error closes the connection without
/// a response. The returned future is dropped when the client closes the connection.
pub trait RequestHandler: Debug + 'static {
    /// Handles one request and returns its response.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalFuture<'static, Result<StandinResponse>>;
}

/// Accepts and serves the connections of a listener until the listener fails.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn serve<H: RequestHandler>(listener: TcpListener, handler: Rc<H>) -> Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let handler = Rc::clone(&handler);

        compio::runtime::spawn(async move {
            // A client that breaks its connection is not an error of the stand-in.
            let _ended = serve_connection(stream, handler).await;
        })
        .detach();
    }
}

/// Serves the requests of one connection until it closes.
async fn serve_connection<H: RequestHandler>(stream: TcpStream, handler: Rc<H>) -> Result<()> {
    stream.set_nodelay(true)?;
    let armed = Rc::new(Cell::new(false));
    let stream = RepeatStream::new(HyperStream::new_plain(stream), Rc::clone(&armed));

    let service = service_fn(move |request| {
        let response = Rc::clone(&handler).handle(request);
        let armed = Rc::clone(&armed);

        async move {
            let response = response.await?;
            armed.set(response.extensions().get::<RepeatResponse>().is_some());
            Ok::<_, NetError>(response)
        }
    });

    http1::Builder::new()
        .serve_connection(stream, service)
        .await?;

    Ok(())
}
