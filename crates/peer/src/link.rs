//! The client side of the protocol: requests to one peer.

use crate::{
    BODY_LENGTH_HEADER, PROTOCOL_VERSION, REQUEST_PATH, VERSION_HEADER,
    answer::PeerResponse,
    body::RequestBody,
    frame,
    sending::send_body,
    silence::{LastRead, SilenceDetector, StreamCounter, TrackedStream},
    stream::FrameReader,
};
use bytes::Bytes;
use compio::{net::TcpStream, time::timeout};
use cyper_core::HyperStream;
use futures_util::future::{Either, select};
use h2::{
    Reason, SendStream,
    client::{Builder, ResponseFuture, SendRequest},
};
use http::{HeaderValue, Method, Request, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use std::{cell::RefCell, net::SocketAddr, pin::pin, time::Duration};
use tokio_util::compat::FuturesAsyncReadCompatExt;
use wagtail_core::{
    CoreError, Result,
    ports::{BodyStream, TargetResponse},
    request::{RequestHead, ResponseHead},
    service::WorkClass,
    verdict::RunVerdict,
};
use wagtail_net::{stop::StopSignal, traffic::TrafficMeter};

/// The timeout for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The default HTTP/2 flow-control window of a stream in bytes.
pub const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// The HTTP/2 flow-control window of a connection in bytes. It is 64 stream windows, so that
/// many streams with slow readers do not block the others.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// The most bytes of header fields that a response may have. Peers send hardly any.
const MAX_HEADER_BYTES: u32 = 16 << 10;

/// `PeerLink` holds the connections to one peer: one for short work and one for long work, so that
/// a large response does not delay a short one. They are opened on demand.
#[derive(Debug)]
pub struct PeerLink {
    address: SocketAddr,
    window_bytes: u32,
    short: RefCell<Option<PeerConnection>>,
    long: RefCell<Option<PeerConnection>>,
    sent: TrafficMeter,
}

/// `PeerConnection` is an open HTTP/2 connection to a peer. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct PeerConnection {
    pub(crate) sender: SendRequest<Bytes>,
    /// The streams whose response is awaited; the connection is pinged while there are any.
    awaited: StreamCounter,
    /// Triggered when nothing has arrived from the peer for the silence limit.
    suspected: StopSignal,
}

/// `SilencePolicy` decides what a request does when its connection is suspected, that is, has been
/// silent for too long.
#[derive(Debug, Clone)]
pub enum SilencePolicy {
    /// Fails at once; for requests whose response is of no use later.
    FailFast,
    /// Triggers the signal and waits for the response until the connection is closed; for requests
    /// that may be repeated elsewhere meanwhile.
    Report(StopSignal),
    /// Waits for the response until the connection is closed.
    Wait,
}

impl PeerLink {
    /// Creates a link that connects on the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            window_bytes: STREAM_WINDOW_BYTES,
            short: RefCell::default(),
            long: RefCell::default(),
            sent: TrafficMeter::default(),
        }
    }

    /// Returns this link with a meter that counts the bytes which it sends.
    #[must_use]
    pub fn with_meter(self, sent: TrafficMeter) -> Self {
        Self { sent, ..self }
    }

    /// Sets the bytes of each response that the peer may send before they are read here. Unread ones take memory.
    #[must_use]
    pub fn with_window(self, window_bytes: u32) -> Self {
        Self {
            window_bytes,
            ..self
        }
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the head of its response. Idempotent requests use
    /// [`SilencePolicy::FailFast`]. Dropping the future resets the stream, which cancels the
    /// request on the peer.
    ///
    /// # Errors
    ///
    /// Fails with the verdict `NotRun` when the request did not leave this process or the peer
    /// states that it did not process its stream, and `Unknown` otherwise.
    pub async fn request(&self, head: &RequestHead, body: Bytes) -> Result<TargetResponse> {
        let policy = if head.idempotent {
            SilencePolicy::FailFast
        } else {
            SilencePolicy::Wait
        };
        let answer: PeerResponse<ResponseHead> =
            self.exchange(head, head.class, policy, body).await?;

        Ok(TargetResponse {
            head: answer.head,
            body: answer.body,
        })
    }

    /// Sends a request with a head of any type, and otherwise works like [`Self::request`].
    ///
    /// # Errors
    ///
    /// Fails with the verdict `NotRun` when the request did not leave this process or the peer
    /// states that it did not process its stream, and `Unknown` otherwise.
    pub async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        head: &Q,
        class: WorkClass,
        policy: SilencePolicy,
        body: impl Into<RequestBody>,
    ) -> Result<PeerResponse<A>> {
        let body = body.into();
        let frame = frame::encode(head)?;
        let mut request = stream_request(REQUEST_PATH)?;
        if body.length() > 0 {
            request
                .headers_mut()
                .insert(BODY_LENGTH_HEADER, HeaderValue::from(body.length()));
        }

        let PeerConnection {
            mut sender,
            awaited,
            suspected,
        } = self.ready(class).await?;
        let _awaited = awaited.begin();
        let (response, mut stream) = sender
            .send_request(request, false)
            .map_err(|error| self.unsent_error(&error))?;

        let body_follows = body.length() > 0;
        stream
            .send_data(frame, !body_follows)
            .map_err(|error| self.stream_error(&error))?;
        let unsent = match body {
            RequestBody::Whole(bytes) if body_follows => {
                stream
                    .send_data(bytes, true)
                    .map_err(|error| self.stream_error(&error))?;
                None
            }
            RequestBody::Streamed { stream: source, .. } if body_follows => Some((stream, source)),
            _ => None,
        };

        let answer = pin!(async {
            let response = response_while_sending(response, unsent)
                .await
                .map_err(|error| self.stream_error(&error))?;
            self.answer(response).await
        });
        let answer = match select(answer, pin!(suspected.wait())).await {
            Either::Left((answer, _)) => return answer,
            Either::Right(((), answer)) => answer,
        };

        match policy {
            SilencePolicy::FailFast => Err(CoreError::unavailable(
                format!("{}: the peer is silent", self.address),
                RunVerdict::Unknown,
            )),
            SilencePolicy::Report(report) => {
                report.trigger();
                answer.await
            }
            SilencePolicy::Wait => answer.await,
        }
    }

    /// Returns a connection that accepts another stream. If the peer has closed the existing one,
    /// it is replaced; this is safe because nothing of the request has been sent on it.
    async fn ready(&self, class: WorkClass) -> Result<PeerConnection> {
        let kept = self.connection(class).await?;
        if let Ok(sender) = kept.sender.ready().await {
            return Ok(PeerConnection { sender, ..kept });
        }
        self.discard_connections();

        let opened = self.connection(class).await?;
        let sender = opened
            .sender
            .ready()
            .await
            .map_err(|error| self.unsent_error(&error))?;

        Ok(PeerConnection { sender, ..opened })
    }

    /// Reads the head of a response, or converts a refusal status to an error.
    async fn answer<A: DeserializeOwned>(
        &self,
        response: http::Response<h2::RecvStream>,
    ) -> Result<PeerResponse<A>> {
        if response.status() != StatusCode::OK {
            // The peer sends such a status only for a request that it did not run.
            return Err(CoreError::unavailable(
                format!(
                    "{}: the peer refused with status {}",
                    self.address,
                    response.status()
                ),
                RunVerdict::NotRun,
            ));
        }

        let mut reader = FrameReader::new(response.into_body());
        let head: A = reader.message().await.map_err(|error| {
            CoreError::unavailable(format!("{}: {error}", self.address), RunVerdict::Unknown)
        })?;

        Ok(PeerResponse::new(head, Box::new(reader)))
    }

    /// Returns the connection for a class of work. Opens a new one when there is none or the
    /// existing one is suspected.
    async fn connection(&self, class: WorkClass) -> Result<PeerConnection> {
        let current = match class {
            WorkClass::Short => &self.short,
            WorkClass::Long => &self.long,
        };

        let open = current.borrow().clone();
        if let Some(connection) = open.filter(|open| !open.suspected.is_triggered()) {
            return Ok(connection);
        }

        let connection = connect(self.address, self.window_bytes, self.sent.clone()).await?;
        *current.borrow_mut() = Some(connection.clone());

        Ok(connection)
    }

    /// Drops the connections after a failure and returns the error for a request that did not
    /// leave this process.
    fn unsent_error(&self, error: &h2::Error) -> CoreError {
        self.discard_connections();

        CoreError::unavailable(format!("{}: {error}", self.address), RunVerdict::NotRun)
    }

    /// Returns the error for a request that may have reached the peer. Drops the connections when
    /// the error affects the connection and not only the stream.
    fn stream_error(&self, error: &h2::Error) -> CoreError {
        // HTTP/2 guarantees that a stream reset with REFUSED_STREAM was not processed, and neither was one above the
        // last stream that a GOAWAY names. The library ends only those with it; the others end on their own.
        let refused = error.reason() == Some(Reason::REFUSED_STREAM);
        let is_beyond_last = error.is_go_away() && error.is_remote();
        let verdict = if refused || is_beyond_last {
            RunVerdict::NotRun
        } else {
            RunVerdict::Unknown
        };

        if error.is_io() || error.is_go_away() {
            self.discard_connections();
        }

        CoreError::unavailable(format!("{}: {error}", self.address), verdict)
    }

    /// Discards both connections, so that the next request opens a new one. Requests in flight keep
    /// theirs.
    pub fn discard_connections(&self) {
        self.short.take();
        self.long.take();
    }
}

/// Waits for the head of a response while the rest of the request is sent. The response may come before
/// everything was sent; then the rest is not sent.
///
/// # Errors
///
/// Fails when the response does. A failure to send shows there as well.
async fn response_while_sending(
    response: ResponseFuture,
    unsent: Option<(SendStream<Bytes>, Box<dyn BodyStream>)>,
) -> std::result::Result<http::Response<h2::RecvStream>, h2::Error> {
    let Some((mut stream, mut source)) = unsent else {
        return response.await;
    };
    let sending = pin!(async {
        if send_body(&mut stream, &mut *source).await.is_err() {
            // Without an end of the stream, the peer would wait for the rest of the body.
            stream.send_reset(Reason::CANCEL);
        }
    });

    match select(response, sending).await {
        Either::Left((response, _)) => response,
        Either::Right(((), response)) => response.await,
    }
}

/// Opens a connection to a peer within [`CONNECT_TIMEOUT`] and spawns the task that drives it.
///
/// # Errors
///
/// Fails with the verdict `NotRun` when connecting, the handshake or the time limit fails.
pub(crate) async fn connect(
    address: SocketAddr,
    window_bytes: u32,
    sent: TrafficMeter,
) -> Result<PeerConnection> {
    let opening = timeout(CONNECT_TIMEOUT, open(address, window_bytes, sent)).await;

    opening
        .unwrap_or_else(|_elapsed| Err("the connection timed out".to_owned()))
        .map_err(|reason| {
            CoreError::unavailable(format!("{address}: {reason}"), RunVerdict::NotRun)
        })
}

/// Opens a connection to a peer, without a timeout.
async fn open(
    address: SocketAddr,
    window_bytes: u32,
    sent: TrafficMeter,
) -> std::result::Result<PeerConnection, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;

    let last_read = LastRead::default();
    let tracked = TrackedStream::new(HyperStream::new_plain(stream), last_read.clone(), sent);
    let (sender, mut connection) = Builder::new()
        .initial_window_size(window_bytes)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake(tracked.compat())
        .await
        .map_err(|error| error.to_string())?;

    let pings = connection
        .ping_pong()
        .ok_or_else(|| "the pings of the connection are taken".to_owned())?;
    let awaited = StreamCounter::default();
    let suspected = StopSignal::new();
    let detector = SilenceDetector {
        address,
        pings,
        awaited: awaited.clone(),
        last_read,
        suspected: suspected.clone(),
    };

    // The task ends with the connection, whose errors reach the callers through their streams.
    // When the detector returns first, dropping the connection closes it.
    compio::runtime::spawn(async move {
        drop(select(pin!(connection), pin!(detector.wait_for_silence())).await);
    })
    .detach();

    Ok(PeerConnection {
        sender,
        awaited,
        suspected,
    })
}

/// Builds the HTTP/2 request that opens a stream at `path`.
pub(crate) fn stream_request(path: &str) -> Result<Request<()>> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://peer{path}"))
        .header(VERSION_HEADER, PROTOCOL_VERSION)
        .body(())
        .map_err(|error| CoreError::invalid_request(error.to_string()))
}
