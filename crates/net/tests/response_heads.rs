//! Tests of the lines of response heads, over loopback.

use bytes::Bytes;
use compio::{runtime::Runtime, time::timeout};
use http_body_util::Full;
use hyper::Request;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};
use wagtail_core::Result;
use wagtail_net::client::HttpPool;

/// The time within which a loopback server responds.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// The pause between two pieces of a response, so that they arrive one by one.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// Starts a server that reads some of a request and writes a response in pieces of at most `piece_bytes`.
fn start_server(response: &'static [u8], piece_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_nodelay(true).unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        for piece in response.chunks(piece_bytes) {
            // The client closes the connection at a malformed head.
            if stream.write_all(piece).is_err() {
                break;
            }
            thread::sleep(PIECE_PAUSE);
        }
    });

    address
}

/// Returns the body of a response that arrives at once or byte by byte.
fn receive(response: &'static [u8], piece_bytes: usize) -> Result<Bytes> {
    Runtime::new().unwrap().block_on(async {
        let pool = HttpPool::new(start_server(response, piece_bytes));
        let request = Request::builder()
            .uri("/")
            .header("host", "n")
            .body(Full::<Bytes>::default())
            .unwrap();
        let exchange = async { pool.send(request).await?.read_body(1 << 10).await };

        timeout(RESPONSE_TIMEOUT, exchange).await.unwrap()
    })
}

/// Guards against a line break at the beginning of a field name that ends the head, so that the rest of the head
/// becomes the body.
#[test]
fn a_head_with_a_stray_line_break_is_no_response() {
    let malformed: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\n\nx: 1\r\ncontent-length: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\ny: 1\r\n\nx: 1\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\ny: 1\nx: 1\r\ncontent-length: 4\r\n\r\nbody",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\nx: 1\r\n\r\nbody",
        b"HTTP/1.1 103 Early Hints\r\n\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\n\r\nx: 1\n\nbody",
    ];
    for response in malformed {
        for piece_bytes in [1, response.len()] {
            let received = receive(response, piece_bytes);
            assert!(received.is_err(), "{}", response.escape_ascii());
        }
    }
}

/// Guards against sound responses that are lost: with interim ones before them, with line breaks of every kind in
/// their body, or with single LFs as the ends of all lines.
#[test]
fn line_breaks_where_they_may_be_harm_no_response() {
    let sound: [&[u8]; 5] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n\na\r\n\nb",
        b"\r\nHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n\na\r\n\nb",
        b"HTTP/1.1 200 OK\ncontent-length: 6\n\n\na\r\n\nb",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n\na\r\n\nb",
        b"HTTP/1.1 103 Early Hints\r\nx: 1\r\n\r\nHTTP/1.1 200 OK\nx: 1\n\n\na\r\n\nb",
    ];
    for response in sound {
        for piece_bytes in [1, response.len()] {
            let received = receive(response, piece_bytes);
            assert_eq!(
                received.unwrap(),
                "\na\r\n\nb",
                "{}",
                response.escape_ascii()
            );
        }
    }
}
