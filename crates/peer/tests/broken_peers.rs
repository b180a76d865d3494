//! Tests of peers in trouble, whose bytes are no whole response, over loopback.

use bytes::Bytes;
use compio::{
    runtime::Runtime,
    time::{sleep, timeout},
};
use rustix::net::sockopt;
use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use wagtail_core::{Result, service::WorkClass};
use wagtail_peer::{
    answer::PeerResponse,
    frame,
    link::{PeerLink, SilencePolicy},
};

/// The number of responses that are reset. Which half of a connection notices its reset first is up to chance.
const ROUNDS: usize = 20;

/// The length of a body that the buffers of a connection do not hold, in bytes.
const UPLOAD_BYTES: usize = 8 << 20;

/// The time between the beginning of a response and its last part, in which the request fills the buffers.
const LAST_PART_PAUSE: Duration = Duration::from_millis(30);

/// The time for which a peer goes on with a response without end.
const ENDLESS_TIME: Duration = Duration::from_secs(2);

/// The time within which a response without end must have failed, and for which nothing is read of its body.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The memory that one response may take, in megabytes. Half of the smallest VM holds eight of them.
const MAX_GROWTH_MB: usize = 10;

/// The interval between two samples of the memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Held by a test while it runs, as tests share the memory that is measured.
static MEMORY: Mutex<()> = Mutex::new(());

/// The message at the beginning of requests and responses.
const HEAD: u64 = 7;

/// The types of HTTP/2 frames.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const WINDOW_UPDATE: u8 = 8;
const CONTINUATION: u8 = 9;

/// The flag of the last frame of a stream.
const END_STREAM: u8 = 1;

/// The flag of a header block that ends with its frame.
const END_HEADERS: u8 = 4;

/// The HPACK encoding of `:status: 200`.
const STATUS_OK: &[u8] = &[0x88];

/// The number of bytes in the payload of a long frame.
const LONG_FRAME_BYTES: usize = 16 << 10;

/// `EndlessPart` is the part of a response that never ends.
#[derive(Debug, Clone, Copy)]
enum EndlessPart {
    /// Bytes that are no frames.
    Noise,
    /// Header fields.
    Fields,
    /// The message at the beginning of the body.
    Message,
    /// The body behind that message.
    Body,
}

/// Returns an HTTP/2 frame.
fn http2_frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();

    [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

/// Returns the beginning of a connection, which allows a peer to send everything at once.
fn greeting() -> Vec<u8> {
    let initial_window = [0, 4, 0x7f, 0xff, 0xff, 0xff];

    [
        http2_frame(SETTINGS, 0, 0, &initial_window),
        http2_frame(SETTINGS, 1, 0, &[]),
        http2_frame(WINDOW_UPDATE, 0, 0, &[0x3f, 0xff, 0xff, 0xff]),
    ]
    .concat()
}

/// Returns a response up to the message at the beginning of its body.
fn response_start() -> Vec<u8> {
    [
        http2_frame(HEADERS, END_HEADERS, 1, STATUS_OK),
        http2_frame(DATA, 0, 1, &frame::encode(&HEAD).unwrap()),
    ]
    .concat()
}

impl EndlessPart {
    /// All variants.
    const ALL: [Self; 4] = [Self::Noise, Self::Fields, Self::Message, Self::Body];

    /// Returns the beginning of a response, and what is repeated after it.
    fn bytes(self) -> (Vec<u8>, Vec<u8>) {
        let long = vec![0xff; LONG_FRAME_BYTES];
        // A literal header field that is not indexed: "x: 1".
        let fields = [0, 1, b'x', 1, b'1'].repeat(LONG_FRAME_BYTES / 5);

        match self {
            Self::Noise => (Vec::new(), long),
            Self::Fields => (
                http2_frame(HEADERS, 0, 1, STATUS_OK),
                http2_frame(CONTINUATION, 0, 1, &fields),
            ),
            Self::Message => (
                http2_frame(HEADERS, END_HEADERS, 1, STATUS_OK),
                http2_frame(DATA, 0, 1, &long),
            ),
            Self::Body => (response_start(), http2_frame(DATA, 0, 1, &long)),
        }
    }
}

/// Starts a peer that serves the first connection with a function, once a request has arrived on it.
fn start_peer(
    serve: impl FnOnce(&mut TcpStream) -> std::io::Result<()> + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.write_all(&greeting()).unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        thread::sleep(LAST_PART_PAUSE);
        // A connection fails when its client has closed it.
        drop(serve(&mut stream));
    });

    address
}

/// Sends a request to a peer and returns the body of its response, which is read after a pause.
async fn receive(address: SocketAddr, body: Bytes, pause: Duration) -> Result<Vec<u8>> {
    let link = PeerLink::new(address);
    let mut response: PeerResponse<u64> = link
        .exchange(&HEAD, WorkClass::Short, SilencePolicy::Wait, body)
        .await?;
    sleep(pause).await;

    let mut received = Vec::new();
    while let Some(chunk) = response.body.next().await? {
        received.extend_from_slice(&chunk);
    }
    Ok(received)
}

/// Returns the resident memory of this process in megabytes.
fn resident_mb() -> usize {
    let status = fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = status.split(' ').nth(1).unwrap().parse().unwrap();

    (pages * rustix::param::page_size()) >> 20
}

/// `MemoryPeak` watches the resident memory of this process.
struct MemoryPeak {
    before_mb: usize,
    is_watching: Arc<AtomicBool>,
    watcher: JoinHandle<usize>,
}

impl MemoryPeak {
    /// Begins to watch.
    fn start() -> Self {
        let is_watching = Arc::new(AtomicBool::new(true));
        let is_watched = Arc::clone(&is_watching);
        let watcher = thread::spawn(move || {
            let mut peak_mb = 0;
            while is_watched.load(Ordering::Relaxed) {
                peak_mb = peak_mb.max(resident_mb());
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak_mb
        });

        Self {
            before_mb: resident_mb(),
            is_watching,
            watcher,
        }
    }

    /// Returns the most memory that was taken in addition, in megabytes.
    fn growth_mb(self) -> usize {
        self.is_watching.store(false, Ordering::Relaxed);

        self.watcher.join().unwrap().saturating_sub(self.before_mb)
    }
}

/// Guards against a part of a response that counts as the whole one, as the error of a reset may show only where the
/// request is written.
#[test]
fn a_response_that_is_reset_during_its_request_is_not_whole() {
    let _memory = MEMORY.lock().unwrap_or_else(PoisonError::into_inner);
    Runtime::new().unwrap().block_on(async {
        let address = start_peer(|stream| {
            stream.write_all(&response_start())?;
            stream.write_all(&http2_frame(DATA, END_STREAM, 1, b"whole"))
        });
        let received = receive(address, Bytes::new(), Duration::ZERO).await;
        assert_eq!(received.unwrap(), b"whole");

        for part in [b"".as_slice(), b"part"] {
            for round in 0..ROUNDS {
                let address = start_peer(move |stream| {
                    stream.write_all(&response_start())?;
                    thread::sleep(LAST_PART_PAUSE);
                    stream.write_all(&http2_frame(DATA, 0, 1, part))?;
                    sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
                    Ok(())
                });
                let upload = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
                let received = receive(address, upload, Duration::ZERO).await;
                assert!(received.is_err(), "round {round}: {received:?}");
            }
        }
    });
}

/// Guards against a node that keeps the bytes which a peer sends without end.
#[test]
fn a_response_without_end_takes_little_memory() {
    let _memory = MEMORY.lock().unwrap_or_else(PoisonError::into_inner);
    for part in EndlessPart::ALL {
        let peak = MemoryPeak::start();
        let address = start_peer(move |stream| {
            let (start, repeated) = part.bytes();
            stream.write_all(&start)?;
            let began_at = Instant::now();
            while began_at.elapsed() < ENDLESS_TIME {
                stream.write_all(&repeated)?;
            }
            Ok(())
        });

        Runtime::new().unwrap().block_on(async {
            let exchange = receive(address, Bytes::new(), MAX_WAIT);
            let received = timeout(2 * MAX_WAIT, exchange).await;
            assert!(matches!(received, Ok(Err(_))), "{part:?}: {received:?}");
        });
        let growth_mb = peak.growth_mb();
        assert!(growth_mb < MAX_GROWTH_MB, "{part:?}: {growth_mb} MB more");
    }
}
