//! Tests of what the end of a stream says about its request, with a peer that has read the whole request.

use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::TcpListener,
    runtime::Runtime,
};
use cyper_core::HyperStream;
use h2::{
    Reason, RecvStream,
    server::{self, Connection, SendResponse},
};
use http::Request;
use std::{future::poll_fn, net::SocketAddr};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};
use wagtail_core::{ports::BodyStream, service::WorkClass, verdict::RunVerdict};
use wagtail_peer::{
    answer::PeerResponse,
    body::RequestBody,
    link::{PeerLink, SilencePolicy},
    stream::WholeBody,
};

/// `StandinConnection` is a connection of the peer.
type StandinConnection = Connection<Compat<HyperStream<compio::net::TcpStream>>, Bytes>;

/// `StreamEnd` is what a peer does after it has read a request.
#[derive(Debug, Clone, Copy)]
enum StreamEnd {
    /// Resets the stream.
    Reset(Reason),
    /// Ends the connection, with a reason.
    GoAway(Reason),
    /// Closes the connection.
    Close,
}

/// The frames of a peer that states that it has processed no request: empty settings, and GOAWAY with the stream 0 as
/// the last one and without an error.
const SHUTDOWN_FRAMES: [u8; 26] = [
    0, 0, 0, 4, 0, 0, 0, 0, 0, // SETTINGS
    0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, // GOAWAY
];

/// The type of a frame that begins a request.
const HEADERS_TYPE: u8 = 1;

/// The length of the preface of a connection, and of the head of a frame.
const PREFACE_BYTES: usize = 24;
const FRAME_HEAD_BYTES: usize = 9;

/// Waits for the head of a request, and states that none was processed.
async fn refuse_by_shutdown(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    while !has_headers(&bytes) {
        let (read, buffer) = stream.read(Vec::with_capacity(4 << 10)).await.into();
        assert!(read.unwrap() > 0);
        bytes.extend(buffer);
    }

    stream.write_all(SHUTDOWN_FRAMES).await.0.unwrap();
    std::future::pending::<()>().await;
}

/// Returns whether the bytes of a connection contain the head of a request.
fn has_headers(bytes: &[u8]) -> bool {
    let mut frames = bytes.get(PREFACE_BYTES..).unwrap_or_default();

    while let Some(head) = frames.get(..FRAME_HEAD_BYTES) {
        if head[3] == HEADERS_TYPE {
            return true;
        }
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        let length = FRAME_HEAD_BYTES + usize::try_from(length).unwrap();
        frames = frames.get(length..).unwrap_or_default();
    }

    false
}

/// Accepts a connection and a request, reads the request to its end and ends the stream.
async fn serve(listener: TcpListener, end: StreamEnd) {
    let (stream, _) = listener.accept().await.unwrap();
    let stream = HyperStream::new_plain(stream).compat();
    let mut connection: StandinConnection = server::handshake(stream).await.unwrap();
    let (request, mut responder) = connection.accept().await.unwrap().unwrap();
    let ended = compio::runtime::spawn(async move {
        read_to_end(request).await;
        if let StreamEnd::Reset(reason) = end {
            responder.send_reset(reason);
        }
        responder
    });

    let responder = drive_until(&mut connection, ended).await;
    match end {
        StreamEnd::Reset(_) => {}
        StreamEnd::GoAway(reason) => connection.abrupt_shutdown(reason),
        StreamEnd::Close => return,
    }
    drop(poll_fn(|context| connection.poll_closed(context)).await);
    drop(responder);
}

/// Drives a connection until a task has ended.
async fn drive_until(
    connection: &mut StandinConnection,
    task: compio::runtime::JoinHandle<SendResponse<Bytes>>,
) -> SendResponse<Bytes> {
    let driven = std::pin::pin!(connection.accept());

    match futures_util::future::select(task, driven).await {
        futures_util::future::Either::Left((responder, _)) => responder.unwrap(),
        futures_util::future::Either::Right(_) => panic!("the connection ended early"),
    }
}

/// Reads the body of a request to its end.
async fn read_to_end(request: Request<RecvStream>) {
    let mut body = request.into_body();

    while let Some(chunk) = body.data().await {
        let length = chunk.unwrap().len();
        body.flow_control().release_capacity(length).unwrap();
    }
    assert!(body.is_end_stream());
}

/// Sends a request to a peer that ends its stream, and returns the verdict.
fn verdict(end: StreamEnd, body: RequestBody) -> RunVerdict {
    verdict_of(|listener| serve(listener, end), body)
}

/// Sends a request to a peer and returns the verdict of its failure.
fn verdict_of<F: Future<Output = ()> + 'static>(
    serve: impl FnOnce(TcpListener) -> F,
    body: RequestBody,
) -> RunVerdict {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let peer = compio::runtime::spawn(serve(listener));
        let link = PeerLink::new(address);

        let response: wagtail_core::Result<PeerResponse<u64>> = link
            .exchange(&1_u64, WorkClass::Short, SilencePolicy::Wait, body)
            .await;
        link.discard_connections();
        drop(peer);

        response.map(|_| ()).unwrap_err().verdict()
    })
}

/// Returns the bodies of requests: one that is sent at once and one that is sent as the peer reads it.
fn bodies() -> [RequestBody; 2] {
    let bytes = Bytes::from(vec![7; 200 << 10]);
    let stream: Box<dyn BodyStream> = Box::new(WholeBody::new(bytes.clone()));

    [
        RequestBody::Whole(Bytes::from_static(b"body")),
        RequestBody::Streamed {
            length: bytes.len() as u64,
            stream,
        },
    ]
}

/// Guards against a request that was read by the peer and counts as one that did not run.
#[test]
fn a_stream_that_breaks_after_its_request_is_unknown() {
    let ends = [
        StreamEnd::Reset(Reason::NO_ERROR),
        StreamEnd::Reset(Reason::CANCEL),
        StreamEnd::Reset(Reason::INTERNAL_ERROR),
        StreamEnd::GoAway(Reason::NO_ERROR),
        StreamEnd::GoAway(Reason::INTERNAL_ERROR),
        StreamEnd::GoAway(Reason::REFUSED_STREAM),
        StreamEnd::Close,
    ];

    for end in ends {
        for body in bodies() {
            assert_eq!(verdict(end, body), RunVerdict::Unknown, "{end:?}");
        }
    }
}

/// Guards against requests that are not retried although their peer states that it did not process them.
#[test]
fn a_stream_that_the_peer_refuses_did_not_run() {
    for body in bodies() {
        let refused = StreamEnd::Reset(Reason::REFUSED_STREAM);

        assert_eq!(verdict(refused, body), RunVerdict::NotRun);
    }
}

/// Guards against a request that ends with a failure although it could run at another node: it was sent at the moment
/// at which its peer ended its shutdown.
#[test]
fn a_stream_beyond_the_last_one_of_a_peer_that_shuts_down_did_not_run() {
    for body in bodies() {
        assert_eq!(verdict_of(refuse_by_shutdown, body), RunVerdict::NotRun);
    }
}
