//! The server side of the protocol.

use crate::{
    CONTROL_PATH, PROTOCOL_VERSION, REQUEST_PATH, VERSION_HEADER,
    answer::PeerAnswer,
    frame,
    link::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES},
    stream::FrameReader,
};
use bytes::Bytes;
use compio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use cyper_core::HyperStream;
use futures_util::future::{Either, select};
use h2::{
    Reason, RecvStream, SendStream,
    server::{Builder, SendResponse},
};
use http::{Request, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use std::{fmt::Debug, future::poll_fn, pin::pin, rc::Rc, time::Duration};
use tokio_util::compat::FuturesAsyncReadCompatExt;
use wagtail_core::{CoreError, Result, ports::LocalFuture, verdict::RunVerdict};
use wagtail_net::stop::StopSignal;

/// The streams that one connection may have open.
const MAX_STREAMS: u32 = 4_096;

/// The pause after a failed accept, for instance when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// `PeerHandler` answers the peers. `Message` is the type of their control messages.
pub trait PeerHandler: Debug {
    /// The control messages.
    type Message: DeserializeOwned;

    /// The heads of the requests.
    type Request: DeserializeOwned;

    /// The heads of the answers.
    type Answer: Serialize;

    /// Answers a request. The future is dropped when the peer cancels.
    fn request(
        &self,
        head: Self::Request,
        body: Bytes,
    ) -> LocalFuture<'_, PeerAnswer<Self::Answer>>;

    /// Takes a control message.
    fn control(&self, message: Self::Message);

    /// Returns the largest body of a request in bytes.
    fn max_body_bytes(&self) -> usize;
}

/// Serves peers until the signal, then waits for their requests in flight.
pub async fn serve<H: PeerHandler + 'static>(
    listener: TcpListener,
    handler: Rc<H>,
    stop: StopSignal,
) {
    let mut connections = Vec::new();

    loop {
        let accepted = {
            let accept = pin!(listener.accept());
            let stopped = pin!(stop.wait());

            match select(stopped, accept).await {
                Either::Left(_) => break,
                Either::Right((accepted, _)) => accepted,
            }
        };

        match accepted {
            Ok((stream, _)) => {
                connections.retain(|task: &compio::runtime::JoinHandle<()>| !task.is_finished());
                connections.push(compio::runtime::spawn(serve_connection(
                    stream,
                    Rc::clone(&handler),
                    stop.clone(),
                )));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }

    drop(listener);
    for connection in connections {
        // A task that panicked has nothing left in flight.
        drop(connection.await);
    }
}

/// Serves one connection until it ends, or until its streams end after the signal.
async fn serve_connection<H: PeerHandler + 'static>(
    stream: TcpStream,
    handler: Rc<H>,
    stop: StopSignal,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }

    let handshake = Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(HyperStream::new_plain(stream).compat())
        .await;
    let Ok(mut connection) = handshake else {
        return;
    };

    loop {
        let accepted = {
            let stopped = pin!(stop.wait());
            let accept = pin!(connection.accept());

            match select(stopped, accept).await {
                Either::Left(_) => break,
                Either::Right((accepted, _)) => accepted,
            }
        };

        let Some(Ok((request, responder))) = accepted else {
            return;
        };
        let streams = serve_stream(request, responder, Rc::clone(&handler), stop.clone());
        compio::runtime::spawn(streams).detach();
    }

    // The peer learns that no further stream is taken; the open ones go on to their ends.
    connection.graceful_shutdown();
    while let Some(Ok((request, responder))) = connection.accept().await {
        let streams = serve_stream(request, responder, Rc::clone(&handler), stop.clone());
        compio::runtime::spawn(streams).detach();
    }
}

/// Serves one stream.
async fn serve_stream<H: PeerHandler>(
    request: Request<RecvStream>,
    mut responder: SendResponse<Bytes>,
    handler: Rc<H>,
    stop: StopSignal,
) {
    if let Err(status) = check_stream(&request) {
        refuse(&mut responder, status);
        return;
    }

    let path = request.uri().path().to_owned();
    let reader = FrameReader::new(request.into_body());

    match path.as_str() {
        REQUEST_PATH => serve_request(reader, responder, &*handler).await,
        CONTROL_PATH => serve_control(reader, responder, &*handler, stop).await,
        _ => refuse(&mut responder, StatusCode::NOT_FOUND),
    }
}

/// Checks that a stream speaks this version of the protocol.
fn check_stream(request: &Request<RecvStream>) -> std::result::Result<(), StatusCode> {
    let version = request.headers().get(VERSION_HEADER);

    if version.is_some_and(|version| version == PROTOCOL_VERSION) {
        Ok(())
    } else {
        Err(StatusCode::HTTP_VERSION_NOT_SUPPORTED)
    }
}

/// Refuses a stream by a status without a body.
fn refuse(responder: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;

    // A peer that is already gone needs no answer.
    drop(responder.send_response(response, true));
}

/// Serves a request stream.
async fn serve_request<H: PeerHandler>(
    mut reader: FrameReader,
    mut responder: SendResponse<Bytes>,
    handler: &H,
) {
    let request = async {
        let head: H::Request = reader.message().await?;
        let body = reader.read_body(handler.max_body_bytes()).await?;

        Ok::<_, CoreError>((head, body))
    };

    let (head, body) = match request.await {
        Ok(request) => request,
        Err(_malformed) => {
            refuse(&mut responder, StatusCode::BAD_REQUEST);
            return;
        }
    };

    // A reset by the peer drops the handler's future, which cancels the order at the target.
    let answer = {
        let answered = handler.request(head, body);
        let reset = pin!(poll_fn(|context| responder.poll_reset(context)));

        match select(answered, reset).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => return,
        }
    };

    if let Ok(stream) = responder.send_response(Response::new(()), false) {
        send_answer(stream, answer).await;
    }
}

/// Sends an answer; resets the stream when the body breaks, so that the peer never takes a part
/// for the whole.
async fn send_answer<A: Serialize>(mut stream: SendStream<Bytes>, answer: PeerAnswer<A>) {
    if send_parts(&mut stream, answer).await.is_err() {
        stream.send_reset(Reason::INTERNAL_ERROR);
    }
}

/// Sends the head and the parts of the body as the peer's window allows.
async fn send_parts<A: Serialize>(
    stream: &mut SendStream<Bytes>,
    mut answer: PeerAnswer<A>,
) -> Result<()> {
    let mut next = Some(frame::encode(&answer.head)?);

    while let Some(part) = next {
        send_part(stream, part).await?;
        next = answer.body.next().await?;
    }

    stream
        .send_data(Bytes::new(), true)
        .map_err(|error| broken(&error))
}

/// Sends one part in as many pieces as the peer's window needs.
async fn send_part(stream: &mut SendStream<Bytes>, mut part: Bytes) -> Result<()> {
    while !part.is_empty() {
        stream.reserve_capacity(part.len());

        while stream.capacity() == 0 {
            match poll_fn(|context| stream.poll_capacity(context)).await {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(broken(&error)),
                None => return Err(gone()),
            }
        }

        let piece = part.split_to(part.len().min(stream.capacity()));
        stream
            .send_data(piece, false)
            .map_err(|error| broken(&error))?;
    }

    Ok(())
}

/// Serves a control stream until it ends or the signal is given.
async fn serve_control<H: PeerHandler>(
    mut reader: FrameReader,
    mut responder: SendResponse<Bytes>,
    handler: &H,
    stop: StopSignal,
) {
    let Ok(_open) = responder.send_response(Response::new(()), false) else {
        return;
    };

    loop {
        let message = {
            let next = pin!(reader.next_message());
            let stopped = pin!(stop.wait());

            match select(stopped, next).await {
                Either::Left(_) => return,
                Either::Right((message, _)) => message,
            }
        };

        match message {
            Ok(Some(message)) => handler.control(message),
            Ok(None) => return,
            Err(_malformed) => {
                responder.send_reset(Reason::PROTOCOL_ERROR);
                return;
            }
        }
    }
}

/// Makes the error of a broken stream.
fn broken(error: &h2::Error) -> CoreError {
    CoreError::unavailable(error.to_string(), RunVerdict::Unknown)
}

/// Makes the error of a stream whose peer is gone.
fn gone() -> CoreError {
    CoreError::unavailable("the peer closed the stream", RunVerdict::Unknown)
}
