//! Tests of the HTTP client, over loopback.

use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    time::{sleep, timeout},
};
use futures_util::future::join;
use http_body_util::Full;
use hyper::Request;
use std::{
    cell::Cell,
    io::{Read, Write},
    net::SocketAddr,
    rc::Rc,
    sync::mpsc,
    thread,
    time::Duration,
};
use wagtail_core::verdict::RunVerdict;
use wagtail_net::{
    client::{HttpPool, PoolOptions},
    stop::StopSignal,
};

/// A response that states after which idle time the server closes the connection.
const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: timeout=1, max=100\r\n\r\n";

/// A response that states no idle time.
const PLAIN_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// The idle time that the server states.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a server that responds to the first request of each connection, and closes a connection
/// when another request arrives on it.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();

    compio::runtime::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            compio::runtime::spawn(async move {
                stream.read(Vec::with_capacity(4_096)).await.0.unwrap();
                stream.write_all(RESPONSE).await.0.unwrap();
                drop(stream.read(Vec::with_capacity(4_096)).await);
            })
            .detach();
        }
    })
    .detach();

    address
}

/// Sends a request and reads the response. Returns whether that succeeds.
async fn succeeds(pool: &HttpPool) -> bool {
    let request = Request::builder()
        .uri("/")
        .header("host", "n")
        .body(Full::<Bytes>::default())
        .unwrap();

    match pool.send(request).await {
        Ok(mut response) => response.read_body(0).await.is_ok(),
        Err(_) => false,
    }
}

/// Guards against a request on a connection that the server is about to close, as it had stated.
#[test]
fn a_connection_is_not_reused_after_the_idle_time_that_the_server_states() {
    Runtime::new().unwrap().block_on(async {
        let pool = HttpPool::new(start_server().await);

        assert!(succeeds(&pool).await);
        sleep(IDLE_TIMEOUT).await;
        assert!(succeeds(&pool).await);
    });
}

/// Guards against a new connection for each request that the target refuses: the response to a refused request is not
/// needed, but its connection is.
#[test]
fn the_connection_of_a_discarded_response_is_used_again() {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Rc::new(Cell::new(0));
        let accepted = Rc::clone(&connections);
        compio::runtime::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                accepted.set(accepted.get() + 1);
                compio::runtime::spawn(async move {
                    while matches!(stream.read(Vec::with_capacity(4_096)).await.0, Ok(1..)) {
                        let refusal = b"HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\nfull";
                        stream.write_all(refusal).await.0.unwrap();
                    }
                })
                .detach();
            }
        })
        .detach();

        let pool = HttpPool::new(address);
        for _ in 0..5 {
            let request = Request::builder()
                .uri("/")
                .header("host", "n")
                .body(Full::<Bytes>::default())
                .unwrap();
            pool.send(request).await.unwrap().recycle();
            sleep(Duration::from_millis(50)).await;
        }

        assert_eq!(connections.get(), 1);
    });
}

/// The time within which a loopback server responds.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// The length of a body that the buffers of a loopback connection do not hold, in bytes.
const LONG_BODY_BYTES: usize = 32 << 20;

/// Returns a request with a long body.
fn long_request() -> Request<Full<Bytes>> {
    Request::builder()
        .method("POST")
        .uri("/")
        .header("host", "n")
        .body(Full::new(Bytes::from(vec![b'x'; LONG_BODY_BYTES])))
        .unwrap()
}

/// Guards against a request that waits for a connection whose server answered early and reads on late or never: the
/// request was not sent, so another connection can carry it.
#[test]
fn a_connection_with_an_unwritten_request_carries_no_other() {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        compio::runtime::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                compio::runtime::spawn(async move {
                    stream.read(Vec::with_capacity(4_096)).await.0.unwrap();
                    stream.write_all(RESPONSE).await.0.unwrap();
                    std::future::pending::<()>().await;
                })
                .detach();
            }
        })
        .detach();

        let pool = HttpPool::new(address);
        let mut response = pool.send(long_request()).await.unwrap();
        response.read_body(0).await.unwrap();

        let answered = timeout(RESPONSE_TIMEOUT, succeeds(&pool)).await;
        assert!(answered.expect("the request was sent"));
    });
}

/// Guards against requests that are sent in the middle of a longer one, and against connections that are lost because
/// their server read that one late.
#[test]
fn a_connection_is_used_again_once_its_request_is_written() {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (reads_on, is_read) = (StopSignal::new(), StopSignal::new());
        let (read_start, read_end) = (reads_on.clone(), is_read.clone());
        compio::runtime::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let start = stream.read(Vec::with_capacity(4_096)).await.1;
            let head = start.windows(4).position(|end| end == b"\r\n\r\n").unwrap() + 4;
            let mut unread = LONG_BODY_BYTES - (start.len() - head);
            stream.write_all(PLAIN_RESPONSE).await.0.unwrap();
            read_start.wait().await;
            while unread > 0 {
                let count = stream.read(Vec::with_capacity(1 << 20)).await.0.unwrap();
                assert!(count > 0, "the connection was closed");
                unread -= count;
            }
            read_end.trigger();

            let next = stream.read(Vec::with_capacity(4_096)).await.1;
            assert!(next.starts_with(b"GET / HTTP/1.1\r\n"));
            stream.write_all(PLAIN_RESPONSE).await.0.unwrap();
            // No further connection is accepted.
            drop(listener);
            std::future::pending::<()>().await;
        })
        .detach();

        let options = PoolOptions {
            max_idle: RESPONSE_TIMEOUT,
            ..PoolOptions::default()
        };
        let pool = HttpPool::with_options(address, options);
        let mut response = pool.send(long_request()).await.unwrap();
        response.read_body(0).await.unwrap();
        reads_on.trigger();
        is_read.wait().await;
        sleep(Duration::from_millis(50)).await;

        let answered = timeout(RESPONSE_TIMEOUT, succeeds(&pool)).await;
        assert!(answered.expect("the request was sent"));
    });
}

/// Guards against a new connection for each of several requests that follow right after another.
#[test]
fn requests_in_a_row_share_a_connection() {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        compio::runtime::spawn(async move {
            // Only one connection is accepted.
            let (mut stream, _) = listener.accept().await.unwrap();
            drop(listener);
            while matches!(stream.read(Vec::with_capacity(4_096)).await.0, Ok(1..)) {
                stream.write_all(PLAIN_RESPONSE).await.0.unwrap();
            }
        })
        .detach();

        let pool = HttpPool::new(address);
        for _ in 0..50 {
            assert!(succeeds(&pool).await);
        }
    });
}

/// Guards against a request that counts as refused although it was not sent, as the server closed its connection while
/// it was chosen.
#[test]
fn a_request_whose_connection_was_closed_before_is_sent_on_another() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (closing, is_idle) = mpsc::channel();
    let (closed, is_closed) = mpsc::channel();
    let server = thread::spawn(move || {
        let (mut control, _) = listener.accept().unwrap();
        let (mut idle, _) = listener.accept().unwrap();
        respond_once(&mut idle);
        is_idle.recv().unwrap();
        // The reader of this byte is woken before the connection is found closed.
        control.write_all(b"x").unwrap();
        drop(idle);
        closed.send(()).unwrap();

        let (mut other, _) = listener.accept().unwrap();
        respond_once(&mut other);
    });

    Runtime::new().unwrap().block_on(async {
        let mut control = TcpStream::connect(address).await.unwrap();
        let pool = HttpPool::new(address);
        assert!(succeeds(&pool).await);

        compio::runtime::spawn(async move {
            closing.send(()).unwrap();
            is_closed.recv().unwrap();
        })
        .detach();
        control.read(Vec::with_capacity(1)).await.0.unwrap();
        assert!(succeeds(&pool).await);
    });
    server.join().unwrap();
}

/// Guards against a server that seems to have ended while a connection to it is open, or to live after it closed all.
#[test]
fn a_connection_counts_as_open_until_the_server_closes_it() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (closing, is_idle) = mpsc::channel();
    let server = thread::spawn(move || {
        let (mut idle, _) = listener.accept().unwrap();
        assert!(idle.read(&mut [0; 4_096]).unwrap() > 0);
        idle.write_all(PLAIN_RESPONSE).unwrap();
        is_idle.recv().unwrap();
    });

    Runtime::new().unwrap().block_on(async {
        let options = PoolOptions {
            max_idle: Duration::from_mins(1),
            ..PoolOptions::default()
        };
        let pool = HttpPool::with_options(address, options);
        assert_eq!(pool.open_connections(), 0);
        assert!(succeeds(&pool).await);
        assert_eq!(pool.open_connections(), 1);

        closing.send(()).unwrap();
        server.join().unwrap();
        let is_closed = async {
            while pool.open_connections() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(10), is_closed).await.unwrap();
    });
}

/// Reads a request and responds to it.
fn respond_once(stream: &mut std::net::TcpStream) {
    assert!(stream.read(&mut [0; 4_096]).unwrap() > 0);
    stream.write_all(RESPONSE).unwrap();
}

/// Guards against bytes behind a complete response that count as the response to the next request.
#[test]
fn bytes_behind_a_response_do_not_answer_the_next_request() {
    const SURPLUS: &[u8] = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";

    for arrives_later in [false, true] {
        Runtime::new().unwrap().block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let (response_read, surplus_sent) = (StopSignal::new(), StopSignal::new());
            let (is_read, is_sent) = (response_read.clone(), surplus_sent.clone());
            compio::runtime::spawn(async move {
                let (mut first, _) = listener.accept().await.unwrap();
                first.read(Vec::with_capacity(4_096)).await.0.unwrap();
                if arrives_later {
                    first.write_all(PLAIN_RESPONSE).await.0.unwrap();
                    is_read.wait().await;
                    first.write_all(SURPLUS).await.0.unwrap();
                } else {
                    let bytes = [PLAIN_RESPONSE, SURPLUS].concat();
                    first.write_all(bytes).await.0.unwrap();
                }
                is_sent.trigger();

                let (mut second, _) = listener.accept().await.unwrap();
                second.read(Vec::with_capacity(4_096)).await.0.unwrap();
                second.write_all(PLAIN_RESPONSE).await.0.unwrap();
                std::future::pending::<()>().await;
            })
            .detach();

            let pool = HttpPool::new(address);
            assert_eq!(status(&pool).await, 200);
            response_read.trigger();
            surplus_sent.wait().await;
            sleep(Duration::from_millis(50)).await;
            assert_eq!(status(&pool).await, 200, "later: {arrives_later}");
        });
    }
}

/// Sends a request and returns the status of its response.
async fn status(pool: &HttpPool) -> u16 {
    let request = Request::builder().uri("/").header("host", "n");
    let request = request.body(Full::<Bytes>::default()).unwrap();
    let mut response = pool.send(request).await.unwrap();
    response.read_body(0).await.unwrap();

    response.parts().status.as_u16()
}

/// Guards against a request that counts as not sent, as its connection broke while it was written.
#[test]
fn a_request_of_which_a_part_was_written_is_unknown() {
    for is_kept in [false, true] {
        for reads in [false, true] {
            let verdict = verdict_of_long_request(is_kept, reads);

            assert_eq!(verdict, RunVerdict::Unknown, "{is_kept}, {reads}");
        }
    }
}

/// Sends a long request to a server that closes the connection, after it has read a part if `reads`. Returns the
/// verdict of the error.
fn verdict_of_long_request(is_kept: bool, reads: bool) -> RunVerdict {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sent = StopSignal::new();
        let is_sent = sent.clone();
        compio::runtime::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            if is_kept {
                stream.read(Vec::with_capacity(4_096)).await.0.unwrap();
                stream.write_all(PLAIN_RESPONSE).await.0.unwrap();
            }
            is_sent.wait().await;
            if reads {
                stream.read(Vec::with_capacity(4_096)).await.0.unwrap();
            }
        })
        .detach();

        let pool = HttpPool::new(address);
        if is_kept {
            assert!(succeeds(&pool).await);
        }
        let closing = async {
            sleep(Duration::from_millis(50)).await;
            sent.trigger();
        };
        let (response, ()) = join(pool.send(long_request()), closing).await;

        response.unwrap_err().verdict()
    })
}
