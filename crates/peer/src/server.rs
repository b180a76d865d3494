//! The server side of the protocol: accepts peers and dispatches their streams.

use crate::{
    BODY_LENGTH_HEADER, CONTROL_PATH, PROTOCOL_VERSION, REQUEST_PATH, VERSION_HEADER,
    answer::PeerResponse,
    body::BodyPlan,
    collect::{BodyFault, REQUEST_WINDOW_BYTES, collect_body},
    frame,
    link::CONNECTION_WINDOW_BYTES,
    sending::{send_body, send_chunk},
    silence::{LastRead, StreamCounter, TrackedStream},
    stream::FrameReader,
    turns::BodyTurns,
};
use bytes::Bytes;
use compio::{
    io::AsyncRead,
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
use wagtail_core::{Result, ports::LocalFuture};
use wagtail_net::{clock, stop::StopSignal, traffic::TrafficMeter};

/// The maximum number of concurrent streams on one connection.
const MAX_STREAMS: u32 = 4_096;

/// The delay after a failed `accept`, for instance when no file descriptors are left. Without it
/// the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The interval between two checks whether the peer of a connection that is shutting down is lost.
const LOST_PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The number of checks in a row without a byte of the peer after which it counts as lost.
const LOST_PEER_CHECKS: u32 = 10;

/// The size of the buffer for bytes that are read only to be discarded.
const DRAIN_BUFFER_BYTES: usize = 4 << 10;

/// `PeerHandler` processes the requests and control messages of the peers.
pub trait PeerHandler: Debug {
    /// The type of a control message.
    type Message: DeserializeOwned;

    /// The type of a request head.
    type Request: DeserializeOwned;

    /// The type of a response head.
    type Answer: Serialize;

    /// Returns the response to a request. The future is dropped when the peer cancels the request.
    fn request(
        &self,
        head: Self::Request,
        body: Bytes,
    ) -> LocalFuture<'_, PeerResponse<Self::Answer>>;

    /// Processes a control message, which has no response.
    fn control(&self, message: Self::Message);

    /// Returns the maximum size of a request body in bytes.
    fn max_body_bytes(&self) -> usize;

    /// Returns the meter that counts the bytes sent to the peers.
    fn sent_meter(&self) -> TrafficMeter {
        TrafficMeter::default()
    }

    /// Returns how the body of a request is collected. This is called before the body is read, with the
    /// length that the peer states.
    ///
    /// # Errors
    ///
    /// Returns the time after which the body is expected to fit if there is no room for it now.
    fn plan_body(
        &self,
        _head: &Self::Request,
        _length: Option<u64>,
    ) -> std::result::Result<BodyPlan, Duration> {
        Ok(BodyPlan::default())
    }

    /// Returns the response to a request whose body has no room, so that it does not run. With `None`, the
    /// stream is refused with status 503.
    fn refuse_body(
        &self,
        _head: &Self::Request,
        _retry_after: Duration,
    ) -> Option<PeerResponse<Self::Answer>> {
        None
    }

    /// Returns the response to a request with a body of the stated length that is refused for what its head
    /// says, before the body is read.
    fn refuse_head(
        &self,
        _head: &Self::Request,
        _length: u64,
    ) -> Option<PeerResponse<Self::Answer>> {
        None
    }

    /// Returns the turns in which bodies that exceed the window of a request are received, if they take turns.
    fn body_turns(&self) -> Option<&BodyTurns> {
        None
    }

    /// Adjusts the head of a request to the time that its body took to arrive.
    fn body_arrived(&self, _head: &mut Self::Request, _took: Duration) {}
}

/// Serves peers until `stop` is triggered, then closes the listener and waits for the requests in
/// flight.
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
        // The result does not matter: a task that panicked has no requests left.
        drop(connection.await);
    }
}

/// Serves one connection until it closes. After `stop` is triggered it finishes the open
/// streams and then closes.
async fn serve_connection<H: PeerHandler + 'static>(
    stream: TcpStream,
    handler: Rc<H>,
    stop: StopSignal,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }

    let socket = stream.clone();
    let last_read = LastRead::default();
    let tracked = TrackedStream::new(
        HyperStream::new_plain(stream),
        last_read.clone(),
        handler.sent_meter(),
    );
    let handshake = Builder::new()
        .initial_window_size(REQUEST_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(tracked.compat())
        .await;
    let Ok(mut connection) = handshake else {
        return;
    };

    let open_streams = StreamCounter::default();
    let spawn_stream = |request, responder| {
        let open_stream = open_streams.begin();
        let (handler, stop) = (Rc::clone(&handler), stop.clone());
        compio::runtime::spawn(async move {
            let _open_stream = open_stream;
            serve_stream(request, responder, handler, stop).await;
        })
        .detach();
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
        spawn_stream(request, responder);
    }

    // Sends GOAWAY, so that the peer opens no further streams. Open ones, and those that were
    // already on their way, are still served.
    connection.graceful_shutdown();
    let finish = async {
        while let Some(Ok((request, responder))) = connection.accept().await {
            spawn_stream(request, responder);
        }
        drain_socket(socket, &last_read).await;
    };
    let lost = wait_for_lost_peer(&open_streams, &last_read);
    select(pin!(finish), pin!(lost)).await;
}

/// Reads and discards what the peer still sends, until it closes the connection. Closing the socket
/// with unread bytes would reset it, and cut off the end of a response that the link has not carried
/// yet.
async fn drain_socket(mut socket: TcpStream, last_read: &LastRead) {
    loop {
        let read = socket.read(Vec::with_capacity(DRAIN_BUFFER_BYTES)).await;
        if !matches!(read.0, Ok(count) if count > 0) {
            return;
        }
        last_read.record();
    }
}

/// Returns when a connection that is shutting down has no open streams and its peer has sent nothing
/// for [`LOST_PEER_CHECKS`] checks. A peer that still receives sends window updates. The checks are
/// counted instead of the time, so that a suspension of this process does not count.
async fn wait_for_lost_peer(open_streams: &StreamCounter, last_read: &LastRead) {
    let mut silent_checks = 0;
    let mut heard_at = last_read.moment();

    while silent_checks < LOST_PEER_CHECKS {
        sleep(LOST_PEER_CHECK_INTERVAL).await;
        let is_silent = !open_streams.any() && last_read.moment() == heard_at;
        silent_checks = if is_silent { silent_checks + 1 } else { 0 };
        heard_at = last_read.moment();
    }
}

/// Checks the protocol version of a stream and dispatches it by its path.
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
    let length = body_length(&request);
    let reader = FrameReader::new(request.into_body());

    match path.as_str() {
        REQUEST_PATH => serve_request(reader, length, responder, &*handler).await,
        CONTROL_PATH => serve_control(reader, responder, &*handler, stop).await,
        _ => refuse(&mut responder, StatusCode::NOT_FOUND),
    }
}

/// Checks that a stream uses [`PROTOCOL_VERSION`]; otherwise returns the refusal status.
fn check_stream(request: &Request<RecvStream>) -> std::result::Result<(), StatusCode> {
    let version = request.headers().get(VERSION_HEADER);

    if version.is_some_and(|version| version == PROTOCOL_VERSION) {
        Ok(())
    } else {
        Err(StatusCode::HTTP_VERSION_NOT_SUPPORTED)
    }
}

/// Returns the length of the body that the peer states, if it does.
fn body_length(request: &Request<RecvStream>) -> Option<u64> {
    request
        .headers()
        .get(BODY_LENGTH_HEADER)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Refuses a stream with a status and no body.
fn refuse(responder: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;

    // Sending fails only when the peer is gone, and then nobody needs the status.
    drop(responder.send_response(response, true));
}

/// Reads a request, passes it to the handler and streams the response.
async fn serve_request<H: PeerHandler>(
    mut reader: FrameReader,
    length: Option<u64>,
    mut responder: SendResponse<Bytes>,
    handler: &H,
) {
    let Ok(mut head) = reader.message::<H::Request>().await else {
        refuse(&mut responder, StatusCode::BAD_REQUEST);
        return;
    };
    if let Some(length) = length
        && let Some(answer) = handler.refuse_head(&head, length)
    {
        respond(responder, answer).await;
        return;
    }
    let began = clock::now();
    let body = match collect_body(&mut reader, &head, length, handler).await {
        Ok(body) => body,
        Err(BodyFault::NoRoom(retry_after)) => {
            refuse_body(&head, retry_after, responder, handler).await;
            return;
        }
        Err(BodyFault::Broken) => {
            refuse(&mut responder, StatusCode::BAD_REQUEST);
            return;
        }
    };
    handler.body_arrived(&mut head, clock::now().since(began));

    // When the peer resets the stream, dropping the handler's future cancels the request on
    // the target.
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

/// Sends the refusal of a request whose body has no room. The stream is reset behind it, so that the peer sends
/// no more of the body.
async fn refuse_body<H: PeerHandler>(
    head: &H::Request,
    retry_after: Duration,
    mut responder: SendResponse<Bytes>,
    handler: &H,
) {
    let Some(answer) = handler.refuse_body(head, retry_after) else {
        refuse(&mut responder, StatusCode::SERVICE_UNAVAILABLE);
        return;
    };

    respond(responder, answer).await;
}

/// Opens the response to a stream and sends it.
async fn respond<A: Serialize>(mut responder: SendResponse<Bytes>, answer: PeerResponse<A>) {
    if let Ok(stream) = responder.send_response(Response::new(()), false) {
        send_answer(stream, answer).await;
    }
}

/// Sends a response. If the body fails, resets the stream, so that the peer does not mistake a
/// truncated body for a complete one.
async fn send_answer<A: Serialize>(mut stream: SendStream<Bytes>, answer: PeerResponse<A>) {
    if send_head_and_body(&mut stream, answer).await.is_err() {
        stream.send_reset(Reason::INTERNAL_ERROR);
    }
}

/// Sends the head and then the body, as the flow-control window allows.
async fn send_head_and_body<A: Serialize>(
    stream: &mut SendStream<Bytes>,
    mut answer: PeerResponse<A>,
) -> Result<()> {
    send_chunk(stream, frame::encode(&answer.head)?).await?;

    send_body(stream, &mut *answer.body).await
}

/// Passes the messages of a control stream to the handler until the stream ends or `stop` is
/// triggered.
async fn serve_control<H: PeerHandler>(
    mut reader: FrameReader,
    mut responder: SendResponse<Bytes>,
    handler: &H,
    stop: StopSignal,
) {
    let Ok(_send_stream) = responder.send_response(Response::new(()), false) else {
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
