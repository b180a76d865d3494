//! Tests of how connections end.

use crate::harness::{PATIENCE, SHORT_IDLE, ServerUnderTest, run, wait_until, with_client};
use compio::time::{sleep, timeout};
use std::time::{Duration, Instant};
use wagtail_net::pipeline::PipelineOptions;

/// Guards against a response that closes its connection before requests that were read are answered:
/// their caller would not know whether they ran.
#[test]
fn a_closing_response_is_followed_by_those_that_were_read() {
    with_client(async |server, mut client| {
        client.get(&["/a/wait=50/close", "/b/wait=150"]).await;
        server.wait_until_begun(2).await;
        sleep(Duration::from_millis(90)).await;
        // The first response has said that the connection closes.
        client.get(&["/late"]).await;

        let first = client.response().await;
        assert_eq!((first.text(), first.closes()), ("GET a 0 7", false));
        let last = client.response().await;
        assert_eq!((last.text(), last.closes()), ("GET b 0 7", true));
        assert_eq!(client.rest().await, b"");
        assert_eq!(server.begun(), ["a", "b"]);
    });
}

/// Guards against a close with unread requests, whose reset destroys responses on their way.
#[test]
fn unread_requests_destroy_no_response() {
    with_client(async |server, mut client| {
        client.get(&["/a/wait=50/big=3000000/close"]).await;
        client
            .send("POST /b HTTP/1.1\r\ncontent-length: 9\r\n\r\n")
            .await;
        client.get(&["/c"; 500]).await;
        sleep(Duration::from_millis(150)).await;

        let response = client.response().await;
        assert_eq!((response.body.len(), response.closes()), (3_000_000, true));
        assert_eq!(client.rest().await, b"");
        assert!(!client.was_reset);
        assert_eq!(server.begun(), ["a"]);

        // These requests arrive after the last response was written, while much of it waits in the
        // socket of the server.
        let mut client = server.connect().await;
        rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 32_768).unwrap();
        client.get(&["/d/big=400000/close"]).await;
        sleep(Duration::from_millis(100)).await;
        client.get(&["/e", "/f"]).await;
        sleep(Duration::from_millis(50)).await;
        assert_eq!(client.response().await.body.len(), 400_000);
        assert_eq!(client.rest().await, b"");
        assert_eq!(
            (client.was_reset, server.begun()),
            (false, vec!["a".to_owned(), "d".to_owned()])
        );
    });
}

/// Guards against a shutdown that loses requests that were read, or that waits for new ones.
#[test]
fn a_stop_answers_what_was_read_and_closes() {
    run(|| async {
        let server = ServerUnderTest::start().await;
        let (mut client, mut idle) = (server.connect().await, server.connect().await);
        idle.get(&["/idle"]).await;
        idle.response().await;
        client.get(&["/a/wait=100", "/b/wait=20", "/c"]).await;
        client
            .send("POST /post HTTP/1.1\r\ncontent-length: 0\r\n\r\n")
            .await;
        server.wait_until_begun(4).await;
        server.stop.trigger();
        sleep(Duration::from_millis(20)).await;
        client.get(&["/late"]).await;

        for (text, closes) in [("GET a", false), ("GET b", false), ("GET c", true)] {
            let response = client.response().await;
            assert_eq!(
                (response.text(), response.closes()),
                (&*format!("{text} 0 7"), closes)
            );
        }
        assert_eq!(client.rest().await, b"");
        assert_eq!(idle.rest().await, b"");
        drop((client, idle));
        drop(timeout(PATIENCE, server.served).await.unwrap());
        assert!(!server.handler.begun.borrow().contains(&"late".to_owned()));
        assert!(!server.handler.begun.borrow().contains(&"post".to_owned()));
    });
}

/// Guards against callers that stay at a node that shuts down.
#[test]
fn a_drain_closes_with_the_last_response_that_was_read() {
    with_client(async |server, mut client| {
        client.get(&["/a/wait=60", "/b"]).await;
        server.wait_until_begun(2).await;
        server.handler.draining.set(true);

        assert!(!client.response().await.closes());
        assert!(client.response().await.closes());
        assert_eq!(client.rest().await, b"");

        let mut client = server.connect().await;
        client.get(&["/c"]).await;
        assert!(client.response().await.closes());
    });
}

/// Guards against work for callers that are gone. The first one closes its connection, the second one
/// resets it.
#[test]
fn requests_of_a_caller_that_leaves_are_canceled() {
    run(|| async {
        for resets in [false, true] {
            let server = ServerUnderTest::start().await;
            let mut client = server.connect().await;
            client.get(&["/a/forever", "/b/forever"]).await;
            server.wait_until_begun(2).await;
            if resets {
                let linger = Some(Duration::ZERO);
                rustix::net::sockopt::set_socket_linger(&client.stream, linger).unwrap();
            }
            drop(client);
            wait_until(|| *server.handler.canceled.borrow() == ["a", "b"]).await;
        }
    });
}

/// Guards against responses that are lost because a caller closes its sending side after its last
/// request.
#[test]
fn a_caller_that_closes_only_its_sending_side_gets_its_responses() {
    with_client(async |_server, mut client| {
        client.get(&["/a/wait=200", "/b/wait=250/stream=2"]).await;
        client
            .send("POST /c HTTP/1.1\r\ncontent-length: 2\r\n\r\nok")
            .await;
        client.finish().await;

        assert_eq!(client.response().await.text(), "GET a 0 7");
        assert_eq!(client.response().await.text(), "GET b 0 7GET b 0 7");
        let last = client.response_to("POST").await.unwrap();
        assert!(
            last.text().starts_with("POST c 2 ") && last.closes(),
            "{last:?}"
        );
        assert_eq!(client.rest().await, b"");
    });
}

/// Guards against idle connections, and heads that never end, that pile up.
#[test]
fn an_idle_connection_is_closed_but_not_one_that_waits_for_a_response() {
    run(|| async {
        let server = ServerUnderTest::start_with(PipelineOptions::default(), SHORT_IDLE).await;
        let mut client = server.connect().await;
        client.get(&["/a", "/b/wait=900"]).await;
        client.response().await;
        assert_eq!(client.response().await.text(), "GET b 0 7");

        let began = Instant::now();
        client.send("GET /unfinished HTT").await;
        assert_eq!(client.rest().await, b"");
        assert!(began.elapsed() >= SHORT_IDLE / 2);
        assert_eq!(server.begun(), ["a", "b"]);
    });
}
