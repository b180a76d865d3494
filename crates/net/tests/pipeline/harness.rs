//! A handler whose responses the request chooses, and a client that reads responses from the wire.

use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::{JoinHandle, Runtime},
    time::{sleep, timeout},
};
use http_body_util::BodyExt;
use hyper::{Request, Response, header::HeaderValue};
use std::{
    cell::{Cell, RefCell},
    fmt::Write,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use wagtail_core::{
    CoreError,
    ports::{BodyStream, LocalFuture},
    verdict::RunVerdict,
};
use wagtail_net::{
    pipeline::{PipelineCounts, PipelineOptions, serve_pipelined},
    request_body::RequestBody,
    server::{ConnectionLimits, HttpHandler, ServerBody, streamed_body, whole_body},
    stop::StopSignal,
};

/// The idle timeout of the server under test, unless a test states another one. A head that arrives in
/// pieces has to arrive within it, also on a busy machine.
pub const LONG_IDLE: Duration = Duration::from_secs(20);

/// The idle timeout of the server in tests that wait for it.
pub const SHORT_IDLE: Duration = Duration::from_millis(400);

/// The limit on the size of a request head in bytes.
pub const HEAD_BYTES: usize = 8_192;

/// The time after which a test that waits for something fails.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// `RecordingHandler` responds as the path of a request says, and records what ran. The path is
/// `/NAME/OPTION/...`, see [`RecordingHandler::respond`].
#[derive(Debug, Default)]
pub struct RecordingHandler {
    /// The names of the requests that began.
    pub begun: RefCell<Vec<String>>,
    /// The names of the requests whose futures were dropped before they ended.
    pub canceled: Rc<RefCell<Vec<String>>>,
    /// The number of streamed bodies that were read to their end.
    pub bodies_read: Rc<Cell<usize>>,
    /// Whether each response closes its connection.
    pub draining: Cell<bool>,
}

/// `CancelGuard` records a request as canceled when it is dropped, unless the request ended.
struct CancelGuard(Option<String>, Rc<RefCell<Vec<String>>>);

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.1.borrow_mut().extend(self.0.take());
    }
}

/// `ChunkList` is a body that yields its chunks, and fails at the end unless it counts its end.
#[derive(Debug)]
struct ChunkList(Vec<Bytes>, Option<Rc<Cell<usize>>>);

impl BodyStream for ChunkList {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>, CoreError>> {
        Box::pin(async move {
            if let Some(chunk) = self.0.pop() {
                return Ok(Some(chunk));
            }
            let Some(ends) = &self.1 else {
                return Err(CoreError::unavailable("broken off", RunVerdict::Unknown));
            };
            ends.set(ends.get() + 1);
            Ok(None)
        })
    }
}

impl RecordingHandler {
    /// Responds to one request. Options of the path: `wait=MS` before the response, `forever`, `status=N`,
    /// `close`, `stream=CHUNKS` for a body of chunks, `cut` for a streamed body that fails, `big=BYTES`,
    /// `length=BYTES` or `bad-length` for a stated length, `ignore` for a handler that does not read its body.
    async fn respond(&self, request: Request<RequestBody>) -> Response<ServerBody> {
        let path = request.uri().path().to_owned();
        let mut parts = path.split('/').skip(1);
        let name = parts.next().unwrap_or_default().to_owned();
        let mut guard = CancelGuard(Some(name.clone()), Rc::clone(&self.canceled));
        self.begun.borrow_mut().push(name.clone());

        let method = request.method().clone();
        let mut text = format!("{method} {name}");
        if !path.contains("/ignore") {
            match request.into_body().collect().await {
                Ok(body) => {
                    let body = body.to_bytes();
                    write!(text, " {} {}", body.len(), checksum(&body)).unwrap();
                }
                Err(error) => write!(text, " {error}").unwrap(),
            }
        }

        let mut response = Response::new(whole_body(text.clone()));
        for option in parts {
            let (key, value) = option.split_once('=').unwrap_or((option, "0"));
            let number: usize = value.parse().unwrap();
            match key {
                "wait" => sleep(Duration::from_millis(number as u64)).await,
                "forever" => std::future::pending().await,
                "status" => {
                    *response.status_mut() = u16::try_from(number).unwrap().try_into().unwrap();
                }
                "stream" => {
                    let chunks = vec![Bytes::from(text.clone()); number];
                    *response.body_mut() = streamed_body(Box::new(ChunkList(
                        chunks,
                        Some(Rc::clone(&self.bodies_read)),
                    )));
                }
                "cut" => {
                    let chunks = vec![Bytes::from_static(b"part")];
                    *response.body_mut() = streamed_body(Box::new(ChunkList(chunks, None)));
                }
                "big" => *response.body_mut() = whole_body(vec![b'x'; number]),
                "length" => {
                    response
                        .headers_mut()
                        .insert("content-length", number.into());
                }
                "bad-length" => {
                    let length = HeaderValue::from_static("many");
                    response.headers_mut().insert("content-length", length);
                }
                _ => {}
            }
        }
        if self.draining.get() || path.contains("/close") {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert("connection", close);
        }
        guard.0 = None;

        response
    }
}

impl HttpHandler for RecordingHandler {
    fn handle(&self, request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>> {
        Box::pin(self.respond(request))
    }
}

/// Returns a checksum that shows bytes that are missing or out of order.
fn checksum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(7, |sum, byte| {
        u32::wrapping_add(u32::wrapping_mul(sum, 31), u32::from(*byte))
    })
}

/// `ServerUnderTest` is a running pipelined server.
pub struct ServerUnderTest {
    pub address: SocketAddr,
    pub handler: Rc<RecordingHandler>,
    pub counts: PipelineCounts,
    pub stop: StopSignal,
    pub served: JoinHandle<()>,
}

impl ServerUnderTest {
    /// Starts a server with the default options.
    pub async fn start() -> Self {
        Self::start_with(PipelineOptions::default(), LONG_IDLE).await
    }

    /// Starts a server.
    pub async fn start_with(options: PipelineOptions, idle_timeout: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handler = Rc::new(RecordingHandler::default());
        let limits = ConnectionLimits {
            head_bytes: HEAD_BYTES,
            idle_timeout,
        };
        let (counts, stop) = (options.counts.clone(), StopSignal::new());
        let served = compio::runtime::spawn(serve_pipelined(
            listener,
            Rc::clone(&handler) as Rc<dyn HttpHandler>,
            Rc::new(limits),
            options,
            stop.clone(),
        ));

        Self {
            address,
            handler,
            counts,
            stop,
            served,
        }
    }

    /// Opens a connection.
    pub async fn connect(&self) -> WireClient {
        WireClient::connect(self.address).await
    }

    /// Waits until the given number of requests began.
    pub async fn wait_until_begun(&self, count: usize) {
        wait_until(|| self.handler.begun.borrow().len() >= count).await;
    }

    /// Returns the names of the requests that began.
    pub fn begun(&self) -> Vec<String> {
        self.handler.begun.borrow().clone()
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics when it does not within [`PATIENCE`].
pub async fn wait_until(condition: impl Fn() -> bool) {
    timeout(PATIENCE, async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .unwrap();
}

/// Runs a test in a runtime of its own.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    Runtime::new().unwrap().block_on(test());
}

/// Runs a test with a server and a connection to it.
pub fn with_client(test: impl AsyncFnOnce(&ServerUnderTest, WireClient)) {
    run(|| async {
        let server = ServerUnderTest::start().await;
        let client = server.connect().await;
        test(&server, client).await;
    });
}

/// `WireResponse` is a response as it was on the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireResponse {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl WireResponse {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    /// Returns whether the response says that the connection closes.
    pub fn closes(&self) -> bool {
        self.field("connection") == Some("close")
    }

    /// Returns the body as text.
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

/// `WireClient` is one connection to a server.
pub struct WireClient {
    pub stream: TcpStream,
    /// Whether the server reset the connection.
    pub was_reset: bool,
    received: Vec<u8>,
}

impl WireClient {
    /// Connects to a server.
    pub async fn connect(address: SocketAddr) -> Self {
        Self::over(TcpStream::connect(address).await.unwrap())
    }

    /// Uses an open connection.
    pub fn over(stream: TcpStream) -> Self {
        Self {
            stream,
            was_reset: false,
            received: Vec::new(),
        }
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: impl Into<Vec<u8>>) {
        self.stream.write_all(bytes.into()).await.0.unwrap();
    }

    /// Sends GET requests for paths, in one write.
    pub async fn get(&mut self, paths: &[&str]) {
        let requests = paths
            .iter()
            .map(|path| format!("GET {path} HTTP/1.1\r\nhost: n\r\n\r\n"));
        self.send(requests.collect::<String>()).await;
    }

    /// Closes the sending side.
    pub async fn finish(&mut self) {
        self.stream.shutdown().await.unwrap();
    }

    /// Reads more bytes; returns whether there were any before the end of the connection.
    pub async fn fill(&mut self) -> bool {
        let reading = self.stream.read(Vec::with_capacity(16 << 10));
        let (read, bytes) = timeout(PATIENCE, reading).await.unwrap().into();
        self.received.extend_from_slice(&bytes);
        self.was_reset |= read.is_err();

        read.is_ok_and(|count| count > 0)
    }

    /// Reads until the connection ends, and returns everything that was not yet taken.
    pub async fn rest(&mut self) -> Vec<u8> {
        while self.fill().await {}

        std::mem::take(&mut self.received)
    }

    /// Reads the final response to a GET.
    pub async fn response(&mut self) -> WireResponse {
        self.response_to("GET").await.unwrap()
    }

    /// Reads a final response; returns `None` if the connection ends before it is complete.
    pub async fn response_to(&mut self, method: &str) -> Option<WireResponse> {
        loop {
            let head = self.take_until("\r\n\r\n").await?;
            let status = head.split(' ').nth(1)?.parse().unwrap();
            if status == 100 {
                continue;
            }

            let mut response = WireResponse {
                status,
                head,
                body: Vec::new(),
            };
            let bodiless = method == "HEAD" || matches!(status, 204 | 304);
            response.body = if bodiless {
                Vec::new()
            } else if response.field("transfer-encoding").is_some() {
                self.chunks().await?
            } else if let Some(length) = response.field("content-length") {
                self.take(length.parse().unwrap()).await?
            } else {
                self.rest().await
            };
            return Some(response);
        }
    }

    /// Reads a chunked body.
    async fn chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.take_until("\r\n").await?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap();
            let data = self.take(size + 2).await?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&data[..size]);
        }
    }

    /// Takes text up to and with `end`.
    async fn take_until(&mut self, end: &str) -> Option<String> {
        loop {
            let mut parts = self.received.windows(end.len());
            if let Some(at) = parts.position(|part| part == end.as_bytes()) {
                return Some(String::from_utf8(self.take(at + end.len()).await?).unwrap());
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    /// Takes the given number of bytes.
    async fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.received.len() < count {
            if !self.fill().await {
                return None;
            }
        }

        Some(self.received.drain(..count).collect())
    }
}
