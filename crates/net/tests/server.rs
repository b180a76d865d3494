//! Tests of the HTTP server, over loopback.

use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    time::timeout,
};
use hyper::{Request, Response};
use std::{
    future::ready,
    rc::Rc,
    time::{Duration, Instant},
};
use wagtail_core::ports::LocalFuture;
use wagtail_net::{
    request_body::RequestBody,
    server::{ConnectionLimits, HttpHandler, ServerBody, serve, whole_body},
    stop::StopSignal,
};

/// The idle timeout of the server under test.
const IDLE: Duration = Duration::from_millis(400);

/// The limit on the request header size in bytes: the minimum that hyper accepts.
const HEAD_BYTES: usize = 8_192;

/// `GreetingHandler` responds with `hello` to every request.
#[derive(Debug)]
struct GreetingHandler;

impl HttpHandler for GreetingHandler {
    fn handle(&self, _request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>> {
        Box::pin(ready(Response::new(whole_body(Bytes::from_static(
            b"hello",
        )))))
    }
}

/// Starts a server and runs a test with a connection to it.
fn with_connection<F: Future<Output = ()>>(test: impl FnOnce(TcpStream) -> F) {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let limits = ConnectionLimits {
            head_bytes: HEAD_BYTES,
            idle_timeout: IDLE,
        };
        let served = serve(
            listener,
            Rc::new(GreetingHandler),
            Rc::new(limits),
            StopSignal::new(),
        );
        compio::runtime::spawn(served).detach();

        test(TcpStream::connect(address).await.unwrap()).await;
    });
}

/// Reads the next available bytes; returns an empty string once the connection is closed.
async fn read_some(stream: &mut TcpStream) -> String {
    let (read, buffer) = stream.read(Vec::with_capacity(16 << 10)).await.into();
    read.unwrap();

    String::from_utf8(buffer).unwrap()
}

/// Guards against idle connections that pile up after a load peak.
#[test]
fn an_idle_connection_is_closed_and_its_client_was_told() {
    with_connection(|mut stream| async move {
        for _ in 0..2 {
            let request = b"GET / HTTP/1.1\r\nhost: n\r\n\r\n";
            stream.write_all(request).await.0.unwrap();
            let answer = read_some(&mut stream).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            assert!(answer.contains("keep-alive: timeout=1"), "{answer}");
        }

        let began = Instant::now();
        let rest = timeout(IDLE * 5, read_some(&mut stream)).await.unwrap();
        assert_eq!(rest, "");
        assert!(began.elapsed() >= IDLE / 2);
    });
}

#[test]
fn a_head_over_the_limit_is_refused() {
    with_connection(|mut stream| async move {
        let field = "x".repeat(HEAD_BYTES * 2);
        let request = format!("GET / HTTP/1.1\r\nhost: n\r\nlong: {field}\r\n\r\n");
        stream.write_all(request.into_bytes()).await.0.unwrap();

        let answer = read_some(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    });
}
