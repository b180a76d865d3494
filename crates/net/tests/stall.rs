//! Tests of clients that do not read their responses, over loopback.

use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    time::sleep,
};
use hyper::{Request, Response};
use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};
use wagtail_core::{
    CoreError,
    ports::{BodyStream, LocalFuture},
};
use wagtail_net::{
    request_body::RequestBody,
    server::{ConnectionLimits, HttpHandler, LimitSource, ServerBody, serve, streamed_body},
    stop::StopSignal,
};

/// The time for which a client may read nothing.
const MAX_STALL: Duration = Duration::from_millis(400);

/// The size of a part of a response in bytes.
const PART_BYTES: usize = 16 << 10;

/// `StallLimits` limits the stalls of clients.
#[derive(Debug)]
struct StallLimits;

impl LimitSource for StallLimits {
    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::new(8_192)
    }

    fn write_stall(&self) -> Option<Duration> {
        Some(MAX_STALL)
    }
}

/// `LargeHandler` responds with a number of parts that the path states, with a pause before each that the query
/// states in milliseconds.
#[derive(Debug, Default)]
struct LargeHandler {
    /// The bodies that were not dropped yet.
    open: Rc<Cell<u32>>,
}

/// `LargeBody` is the body of such a response.
#[derive(Debug)]
struct LargeBody {
    parts: u64,
    pause: Duration,
    open: Rc<Cell<u32>>,
}

impl BodyStream for LargeBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>, CoreError>> {
        Box::pin(async move {
            if self.parts == 0 {
                return Ok(None);
            }
            self.parts -= 1;
            if !self.pause.is_zero() {
                sleep(self.pause).await;
            }
            Ok(Some(Bytes::from(vec![7; PART_BYTES])))
        })
    }
}

impl Drop for LargeBody {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

impl HttpHandler for LargeHandler {
    fn handle(&self, request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>> {
        let number = |text: Option<&str>| text.and_then(|text| text.parse().ok()).unwrap_or(0);
        self.open.set(self.open.get() + 1);
        let body = LargeBody {
            parts: number(request.uri().path().strip_prefix('/')),
            pause: Duration::from_millis(number(request.uri().query())),
            open: Rc::clone(&self.open),
        };

        Box::pin(std::future::ready(Response::new(streamed_body(Box::new(
            body,
        )))))
    }
}

/// Starts a server and runs a test with two connections to it.
fn with_connections<F: Future<Output = ()>>(
    test: impl FnOnce(TcpStream, TcpStream, Rc<Cell<u32>>) -> F,
) {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handler = Rc::new(LargeHandler::default());
        let open = Rc::clone(&handler.open);
        let served = serve(listener, handler, Rc::new(StallLimits), StopSignal::new());
        compio::runtime::spawn(served).detach();
        let connect = || TcpStream::connect(address);

        test(connect().await.unwrap(), connect().await.unwrap(), open).await;
    });
}

/// Requests a response.
async fn ask(stream: &mut TcpStream, path: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nhost: n\r\n\r\n");
    stream.write_all(request.into_bytes()).await.0.unwrap();
}

/// Reads a response to its last chunk, with a pause before each read. Returns its length, or `None` when it was
/// cut short.
async fn read_slowly(stream: &mut TcpStream, pause: Duration) -> Option<usize> {
    let mut total = 0;
    let mut buffer = Vec::with_capacity(64 << 10);
    loop {
        sleep(pause).await;
        buffer.clear();
        let (read, returned) = stream.read(buffer).await.into();
        buffer = returned;
        let count = read.ok().filter(|count| *count > 0)?;
        total += count;
        if buffer.ends_with(b"\r\n0\r\n\r\n") {
            return Some(total);
        }
    }
}

/// Guards against a slow reader that holds its response forever, and against others that wait for it.
#[test]
fn a_client_that_reads_nothing_loses_its_response_while_others_are_served() {
    with_connections(|mut slow, mut other, open| async move {
        ask(&mut slow, "/2000").await;
        while open.get() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        let began = Instant::now();
        while open.get() > 0 {
            ask(&mut other, "/1").await;
            assert!(
                read_slowly(&mut other, Duration::from_millis(5))
                    .await
                    .is_some()
            );
        }

        assert!(began.elapsed() >= MAX_STALL);
        // The rest of the response is not in the socket either.
        assert_eq!(read_slowly(&mut slow, Duration::ZERO).await, None);
    });
}

/// Guards against a client that loses its response although it reads, or although the server itself has nothing
/// to send.
#[test]
fn a_slow_client_and_a_slow_response_are_not_cut_short() {
    with_connections(|mut slow, mut waiting, _open| async move {
        ask(&mut slow, "/200").await;
        let reading = read_slowly(&mut slow, Duration::from_millis(20));
        let patient = async {
            ask(&mut waiting, "/2?900").await;
            read_slowly(&mut waiting, Duration::ZERO).await
        };

        let (slow_length, waiting_length) = futures_util::future::join(reading, patient).await;
        assert!(slow_length.is_some_and(|length| length > 200 * PART_BYTES));
        assert!(waiting_length.is_some_and(|length| length > 2 * PART_BYTES));
    });
}
