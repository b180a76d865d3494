//! The HTTP/1.1 server.

use crate::{
    errors::{NetError, Result},
    repeat::{RepeatAnswer, RepeatStream},
    reply::AnswerResponse,
};
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use std::{cell::Cell, fmt::Debug, rc::Rc};
use wagtail_core::ports::LocalFuture;

/// `RequestHandler` answers the requests of a stand-in. An error closes the connection
/// without an answer. The returned future is dropped when the client closes the connection.
pub trait RequestHandler: Debug + 'static {
    /// Answers one request.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalFuture<'static, Result<AnswerResponse>>;
}

/// Serves the connections of a listener for as long as the process lives.
///
/// # Errors
///
/// Fails when the listener does.
pub async fn serve<H: RequestHandler>(listener: TcpListener, handler: Rc<H>) -> Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let handler = Rc::clone(&handler);

        compio::runtime::spawn(async move {
            // A client that breaks its connection is no fault of the stand-in.
            let _ended = serve_connection(stream, handler).await;
        })
        .detach();
    }
}

/// Serves one connection until its end.
async fn serve_connection<H: RequestHandler>(stream: TcpStream, handler: Rc<H>) -> Result<()> {
    stream.set_nodelay(true)?;
    let armed = Rc::new(Cell::new(false));
    let stream = RepeatStream::new(HyperStream::new_plain(stream), Rc::clone(&armed));

    let service = service_fn(move |request| {
        let answer = Rc::clone(&handler).handle(request);
        let armed = Rc::clone(&armed);

        async move {
            let answer = answer.await?;
            armed.set(answer.extensions().get::<RepeatAnswer>().is_some());
            Ok::<_, NetError>(answer)
        }
    });

    http1::Builder::new()
        .serve_connection(stream, service)
        .await?;

    Ok(())
}
