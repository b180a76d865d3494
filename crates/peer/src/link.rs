//! The client side of one peer.

use crate::{
    PROTOCOL_VERSION, REQUEST_PATH, VERSION_HEADER,
    answer::PeerAnswer,
    frame,
    silence::{AwaitedAnswers, ConnectionWatch, LastRead, WatchedStream},
    stream::FrameReader,
};
use bytes::Bytes;
use compio::{net::TcpStream, time::timeout};
use cyper_core::HyperStream;
use futures_util::future::{Either, select};
use h2::{
    Reason,
    client::{Builder, SendRequest},
};
use http::{Method, Request, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use std::{cell::RefCell, net::SocketAddr, pin::pin, time::Duration};
use tokio_util::compat::FuturesAsyncReadCompatExt;
use wagtail_core::{
    CoreError, Result,
    ports::TargetResponse,
    request::{RequestHead, ResponseHead},
    service::WorkClass,
    verdict::RunVerdict,
};
use wagtail_net::stop::StopSignal;

/// The longest time to open a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The flow-control window of one stream in bytes.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// The flow-control window of a connection in bytes; it holds many streams whose readers are
/// slow.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// `PeerLink` holds the connections to one peer: one for short work and one for long, so that a
/// large answer never delays a short one.
#[derive(Debug)]
pub struct PeerLink {
    address: SocketAddr,
    short: RefCell<Option<PeerConnection>>,
    long: RefCell<Option<PeerConnection>>,
    awaited: AwaitedAnswers,
}

/// `PeerConnection` is one connection to a peer.
#[derive(Debug, Clone)]
pub(crate) struct PeerConnection {
    pub(crate) sender: SendRequest<Bytes>,
    /// Given when the peer has been silent for long.
    suspected: StopSignal,
}

/// `SilencePolicy` says how long a request waits on a connection that is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilencePolicy {
    /// It fails at once, as it may be repeated elsewhere.
    FailFast,
    /// It waits until the connection is closed.
    Wait,
}

impl PeerLink {
    /// Makes a link that connects at the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            short: RefCell::default(),
            long: RefCell::default(),
            awaited: AwaitedAnswers::default(),
        }
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the head of its answer. Dropping the future resets the
    /// stream, which cancels the request at the peer.
    ///
    /// # Errors
    ///
    /// Fails with the verdict `NotRun` when the request did not leave this process or the peer
    /// refused its stream, and `Unknown` otherwise.
    pub async fn request(&self, head: &RequestHead, body: Bytes) -> Result<TargetResponse> {
        let policy = if head.idempotent {
            SilencePolicy::FailFast
        } else {
            SilencePolicy::Wait
        };
        let answer: PeerAnswer<ResponseHead> =
            self.exchange(head, head.class, policy, body).await?;

        Ok(TargetResponse {
            head: answer.head,
            body: answer.body,
        })
    }

    /// Sends a request of any type, as [`Self::request`].
    ///
    /// # Errors
    ///
    /// Fails with the verdict `NotRun` when the request did not leave this process or the peer
    /// refused its stream, and `Unknown` otherwise.
    pub async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        head: &Q,
        class: WorkClass,
        policy: SilencePolicy,
        body: Bytes,
    ) -> Result<PeerAnswer<A>> {
        let frame = frame::encode(head)?;
        let request = stream_request(REQUEST_PATH)?;
        let _awaited = self.awaited.begin();

        let PeerConnection {
            mut sender,
            suspected,
        } = self.ready(class).await?;
        let (response, mut stream) = sender
            .send_request(request, false)
            .map_err(|error| self.lost(&error))?;

        let body_follows = !body.is_empty();
        stream
            .send_data(frame, !body_follows)
            .map_err(|error| self.broken(&error))?;
        if body_follows {
            stream
                .send_data(body, true)
                .map_err(|error| self.broken(&error))?;
        }

        let answer = pin!(async {
            let response = response.await.map_err(|error| self.broken(&error))?;
            self.answer(response).await
        });
        if policy == SilencePolicy::Wait {
            return answer.await;
        }

        match select(answer, pin!(suspected.wait())).await {
            Either::Left((answer, _)) => answer,
            Either::Right(((), _)) => Err(CoreError::unavailable(
                format!("{}: the peer is silent", self.address),
                RunVerdict::Unknown,
            )),
        }
    }

    /// Returns a connection that takes another stream. A kept one that the peer has closed since
    /// is replaced, as nothing of the request was sent on it.
    async fn ready(&self, class: WorkClass) -> Result<PeerConnection> {
        let kept = self.connection(class).await?;
        if let Ok(sender) = kept.sender.ready().await {
            return Ok(PeerConnection { sender, ..kept });
        }
        self.forget();

        let opened = self.connection(class).await?;
        let sender = opened
            .sender
            .ready()
            .await
            .map_err(|error| self.lost(&error))?;

        Ok(PeerConnection { sender, ..opened })
    }

    /// Reads the head of an answer.
    async fn answer<A: DeserializeOwned>(
        &self,
        response: http::Response<h2::RecvStream>,
    ) -> Result<PeerAnswer<A>> {
        if response.status() != StatusCode::OK {
            // The peer refuses a stream by its status before it reads the request.
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

        Ok(PeerAnswer::new(head, Box::new(reader)))
    }

    /// Returns the open connection for a class of work, or a new one.
    async fn connection(&self, class: WorkClass) -> Result<PeerConnection> {
        let place = match class {
            WorkClass::Short => &self.short,
            WorkClass::Long => &self.long,
        };

        let open = place.borrow().clone();
        if let Some(connection) = open.filter(|open| !open.suspected.is_triggered()) {
            return Ok(connection);
        }

        let connection = connect(self.address, self.awaited.clone()).await?;
        *place.borrow_mut() = Some(connection.clone());

        Ok(connection)
    }

    /// Forgets the connections after a failure and makes the error of a request that did not
    /// leave this process.
    fn lost(&self, error: &h2::Error) -> CoreError {
        self.forget();

        CoreError::unavailable(format!("{}: {error}", self.address), RunVerdict::NotRun)
    }

    /// Makes the error of a request that may have reached the peer.
    fn broken(&self, error: &h2::Error) -> CoreError {
        // The protocol promises that a refused stream was not processed.
        let refused = error.reason() == Some(Reason::REFUSED_STREAM);
        let verdict = if refused {
            RunVerdict::NotRun
        } else {
            RunVerdict::Unknown
        };

        if error.is_io() || error.is_go_away() {
            self.forget();
        }

        CoreError::unavailable(format!("{}: {error}", self.address), verdict)
    }

    /// Forgets the connections, so that the next request makes a new one.
    pub fn forget(&self) {
        self.short.take();
        self.long.take();
    }
}

/// Opens a connection to a peer and spawns the task that drives it.
///
/// # Errors
///
/// Fails with the verdict `NotRun`.
pub(crate) async fn connect(
    address: SocketAddr,
    awaited: AwaitedAnswers,
) -> Result<PeerConnection> {
    let opening = timeout(CONNECT_TIMEOUT, open(address, awaited)).await;

    opening
        .unwrap_or_else(|_elapsed| Err("the connection timed out".to_owned()))
        .map_err(|reason| {
            CoreError::unavailable(format!("{address}: {reason}"), RunVerdict::NotRun)
        })
}

/// Opens a connection to a peer without a time limit.
async fn open(
    address: SocketAddr,
    awaited: AwaitedAnswers,
) -> std::result::Result<PeerConnection, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;

    let read = LastRead::default();
    let watched = WatchedStream::new(HyperStream::new_plain(stream), read.clone());
    let (sender, mut connection) = Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(watched.compat())
        .await
        .map_err(|error| error.to_string())?;

    let pings = connection
        .ping_pong()
        .ok_or_else(|| "the pings of the connection are taken".to_owned())?;
    let suspected = StopSignal::new();
    let watch = ConnectionWatch {
        address,
        pings,
        awaited,
        read,
        suspected: suspected.clone(),
    };

    // The task ends with the connection; the streams learn of its errors.
    compio::runtime::spawn(async move {
        drop(select(pin!(connection), pin!(watch.until_silent())).await);
    })
    .detach();

    Ok(PeerConnection { sender, suspected })
}

/// Makes the request that opens a stream.
pub(crate) fn stream_request(path: &str) -> Result<Request<()>> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://peer{path}"))
        .header(VERSION_HEADER, PROTOCOL_VERSION)
        .body(())
        .map_err(|error| CoreError::invalid_request(error.to_string()))
}
