//! Tests of the framing of requests and responses.

use crate::harness::{HEAD_BYTES, ServerUnderTest, run, wait_until, with_client};
use compio::time::sleep;
use std::time::Duration;

/// Guards against two readings of where a request ends, which would let a client smuggle requests, and
/// against a refusal that overtakes the responses before it.
#[test]
fn a_malformed_request_is_refused_behind_the_responses_before_it() {
    let long = "x".repeat(HEAD_BYTES);
    let refused = [
        ("GET / HTTP/1.1\r\nbad field\r\n\r\n".to_owned(), 400),
        ("GET / HTTP/3.0\r\n\r\n".to_owned(), 400),
        (format!("GET / HTTP/1.1\r\nlong: {long}\r\n\r\n"), 431),
        (format!("GET / HTTP/1.1\r\nlong: {long}{long}"), 431),
        (post("content-length: 1\r\ntransfer-encoding: chunked"), 400),
        (post("transfer-encoding: chunked\r\ncontent-length: 1"), 400),
        (post("content-length: 1\r\ncontent-length: 2"), 400),
        (post("content-length: +1"), 400),
        (post("transfer-encoding: gzip"), 400),
        (post("transfer-encoding: gzip, chunked"), 400),
        (
            post("transfer-encoding: chunked\r\ntransfer-encoding: chunked"),
            400,
        ),
    ];

    run(|| async move {
        for (request, status) in refused {
            let server = ServerUnderTest::start().await;
            let mut client = server.connect().await;
            client.get(&["/a/wait=30"]).await;
            client.send(request.clone()).await;
            client.get(&["/behind"]).await;

            assert_eq!(client.response().await.text(), "GET a 0 7");
            let refusal = client.response().await;
            assert_eq!(
                (refusal.status, refusal.closes()),
                (status, true),
                "{request}"
            );
            assert_eq!(client.rest().await, b"");
            assert_eq!(server.begun(), ["a"]);
        }
    });
}

/// Returns the head of a POST with the given header fields, and something that looks like a body.
fn post(fields: &str) -> String {
    format!("POST /post HTTP/1.1\r\nhost: n\r\n{fields}\r\n\r\n0\r\n\r\n")
}

/// Guards against a body that arrives in pieces, or larger than the buffer, and is not whole; and
/// against a client that waits for the interim response.
#[test]
fn bodies_that_arrive_slowly_or_on_request_are_whole() {
    with_client(async |_server, mut client| {
        let large = "x".repeat(300_000);
        client
            .send(format!(
                "POST /large/wait=30 HTTP/1.1\r\ncontent-length: 300000\r\n\r\n{large}"
            ))
            .await;
        let text = client.response_to("POST").await.unwrap();
        assert!(text.text().starts_with("POST large 300000 "), "{text:?}");

        let request = "POST /slow HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n\
                       a\r\n0123456789\r\n3\r\nabc\r\n0\r\n\r\n";
        for byte in request.as_bytes() {
            client.send([*byte]).await;
            sleep(Duration::from_millis(1)).await;
        }
        let text = client.response_to("POST").await.unwrap();
        assert!(text.text().starts_with("POST slow 13 "), "{text:?}");

        let head = "PUT /continue HTTP/1.1\r\ncontent-length: 2\r\nexpect: 100-continue\r\n\r\n";
        client.send(head).await;
        assert!(client.fill().await);
        client.send("ok").await;
        let text = client.response_to("PUT").await.unwrap();
        assert!(text.text().starts_with("PUT continue 2 "), "{text:?}");
    });
}

/// Guards against a response with two framings, or with a length where none may be stated.
#[test]
fn a_response_has_one_framing() {
    with_client(async |_server, mut client| {
        client
            .get(&[
                "/a/stream=2/bad-length",
                "/b/status=204/length=5",
                "/c/status=304/length=5",
                "/d/big=9/length=9",
            ])
            .await;
        let expected = [
            (None, Some("chunked")),
            (None, None),
            (Some("5"), None),
            (Some("9"), None),
        ];
        for (length, coding) in expected {
            let response = client.response().await;
            assert_eq!(response.field("content-length"), length);
            assert_eq!(response.field("transfer-encoding"), coding);
        }
    });
}

/// Guards against a body that the handler does not read and that is taken for the next request.
#[test]
fn a_response_before_the_end_of_the_body_closes_the_connection() {
    with_client(async |server, mut client| {
        client
            .send("POST /a/ignore HTTP/1.1\r\ncontent-length: 50\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
            .await;
        let response = client.response_to("POST").await.unwrap();
        assert_eq!((response.text(), response.closes()), ("POST a", true));
        assert_eq!(client.rest().await, b"");
        assert_eq!(server.begun(), ["a"]);
    });
}

/// Guards against a truncated response that the client takes for a complete one, in each framing.
#[test]
fn a_response_that_breaks_off_ends_the_connection() {
    let requests = [
        "GET /a/cut HTTP/1.1\r\n\r\n",
        "GET /a/cut/length=50 HTTP/1.1\r\n\r\n",
        "GET /a/length=50 HTTP/1.1\r\n\r\n",
    ];
    run(|| async move {
        for request in requests {
            let server = ServerUnderTest::start().await;
            let mut client = server.connect().await;
            client.send(request).await;
            client.get(&["/behind/forever"]).await;
            assert!(client.response_to("GET").await.is_none(), "{request}");
            wait_until(|| *server.handler.canceled.borrow() == server.begun()[1..]).await;
        }

        // A body that ends with the connection is cut short by a reset, not by an end.
        let server = ServerUnderTest::start().await;
        let mut client = server.connect().await;
        client.send("GET /a/cut HTTP/1.0\r\n\r\n").await;
        let mut ended = false;
        while !ended {
            let reading = compio::io::AsyncRead::read(&mut client.stream, Vec::with_capacity(512));
            match reading.await.0 {
                Ok(0) => panic!("the body looks complete"),
                Ok(_) => {}
                Err(_reset) => ended = true,
            }
        }
    });
}
