//! Tests of responses that end while their request is still being written, over loopback.

use bytes::Bytes;
use compio::{runtime::Runtime, time::timeout};
use http_body_util::Full;
use hyper::Request;
use rustix::net::sockopt;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};
use wagtail_core::Result;
use wagtail_net::client::HttpPool;

/// The length of a body that the buffers of a loopback connection do not hold, in bytes.
const UPLOAD_BYTES: usize = 8 << 20;

/// The number of responses of each kind. Which half of a connection notices its reset first is up to chance.
const ROUNDS: usize = 20;

/// The time between the head of a response and its body, in which the upload fills the buffers.
const HEAD_PAUSE: Duration = Duration::from_millis(30);

/// The time within which a response ends.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// `ConnectionEnd` is how a server ends a connection of which it has not read everything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// It resets the connection.
    Reset,
    /// It ends its own side, and resets the connection later.
    EndThenReset,
}

/// `EarlyResponse` is a response that a server writes when it has read the head of a request.
#[derive(Debug, Clone, Copy)]
struct EarlyResponse {
    /// The part of the body that is written. It has no length.
    part: &'static [u8],
    end: ConnectionEnd,
    /// Whether a complete exchange precedes it on the connection.
    is_kept: bool,
}

impl EarlyResponse {
    /// Responds to the requests of a connection.
    fn serve(self, mut stream: TcpStream) -> std::io::Result<()> {
        if self.is_kept {
            read_head(&mut stream)?;
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")?;
        }

        read_head(&mut stream)?;
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n")?;
        thread::sleep(HEAD_PAUSE);
        stream.write_all(self.part)?;
        if self.end == ConnectionEnd::EndThenReset {
            stream.shutdown(Shutdown::Write)?;
        }
        sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;

        Ok(())
    }

    /// Starts a server that responds so on each connection.
    fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // A connection fails when its client has closed it.
                thread::spawn(move || drop(self.serve(stream)));
            }
        });

        address
    }

    /// Sends an upload and returns the body of the response, or the error that ends it.
    async fn receive(self) -> Result<Bytes> {
        let pool = HttpPool::new(self.start());
        if self.is_kept {
            let mut response = pool.send(request(Bytes::new())).await?;
            response.read_body(0).await?;
        }

        let upload = request(Bytes::from(vec![b'x'; UPLOAD_BYTES]));
        let exchange = async { pool.send(upload).await?.read_body(1 << 20).await };
        timeout(RESPONSE_TIMEOUT, exchange).await.unwrap()
    }
}

/// Reads the head of a request.
fn read_head(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }

    Ok(())
}

/// Returns a request with a body.
fn request(body: Bytes) -> Request<Full<Bytes>> {
    Request::builder()
        .method("POST")
        .uri("/")
        .header("host", "n")
        .body(Full::new(body))
        .unwrap()
}

/// Guards against a part of a body that counts as the whole one: it has no length, so that it ends with its connection,
/// and the error of a reset may show only where the request is written.
#[test]
fn a_body_without_length_whose_connection_is_reset_is_not_whole() {
    Runtime::new().unwrap().block_on(async {
        for is_kept in [false, true] {
            for part in [b"".as_slice(), b"part"] {
                for round in 0..ROUNDS {
                    let early = EarlyResponse {
                        part,
                        end: ConnectionEnd::Reset,
                        is_kept,
                    };
                    let received = early.receive().await;
                    assert!(received.is_err(), "round {round}: {early:?}: {received:?}");
                }
            }
        }
    });
}

/// Guards against a response that is lost although it was whole before its connection was reset.
#[test]
fn a_body_without_length_whose_server_has_ended_it_is_whole() {
    Runtime::new().unwrap().block_on(async {
        for is_kept in [false, true] {
            for _ in 0..ROUNDS {
                let early = EarlyResponse {
                    part: b"whole",
                    end: ConnectionEnd::EndThenReset,
                    is_kept,
                };
                assert_eq!(early.receive().await.unwrap(), "whole", "{early:?}");
            }
        }
    });
}
