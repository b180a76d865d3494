//! Tests of which requests run at the same time, and of the order of their responses.

use crate::harness::{LONG_IDLE, ServerUnderTest, run, wait_until, with_client};
use compio::time::sleep;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wagtail_net::pipeline::PipelineOptions;

/// Guards against a slow first response that holds up the requests behind it, and against responses
/// out of order.
#[test]
fn requests_behind_a_slow_one_run_at_once_and_their_responses_follow_it() {
    with_client(async |server, mut client| {
        client.get(&["/a/wait=200", "/b/stream=3", "/c"]).await;
        wait_until(|| server.handler.begun.borrow().len() == 3).await;

        for text in ["GET a 0 7", "GET b 0 7GET b 0 7GET b 0 7", "GET c 0 7"] {
            let response = client.response().await;
            assert_eq!((response.status, response.text()), (200, text));
            assert_eq!(response.field("keep-alive"), Some("timeout=19"));
            assert!(!response.closes());
        }
        assert_eq!(server.counts.requests(), 2);
        assert_eq!(server.counts.take_max_depth(), 3);
        assert_eq!(server.counts.take_max_depth(), 0);
    });
}

/// Guards against a non-idempotent request that runs although an earlier response may yet close the
/// connection, and against a request that runs beside it.
#[test]
fn a_request_that_is_not_safe_runs_alone() {
    with_client(async |server, mut client| {
        let post = "POST /post/wait=100 HTTP/1.1\r\nhost: n\r\ncontent-length: 3\r\n\r\nabc";
        let chunked = "GET /body/wait=100 HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n\r\n\
                       2;x=y\r\nab\r\n1\r\nc\r\n0\r\ntrailer: t\r\n\r\n";
        client.get(&["/first/wait=100"]).await;
        client.send(post).await;
        client.send(chunked).await;
        client.get(&["/last"]).await;

        for (count, method) in [(1, "GET"), (2, "POST"), (3, "GET")] {
            server.wait_until_begun(count).await;
            sleep(Duration::from_millis(40)).await;
            assert_eq!(server.begun().len(), count, "{:?}", server.begun());
            let response = client.response_to(method).await.unwrap();
            assert_eq!(response.status, 200);
            assert_eq!(response.text().contains(" 3 "), count > 1, "{response:?}");
        }
        assert_eq!(client.response().await.text(), "GET last 0 7");
        assert_eq!(server.counts.requests(), 0);
    });
}

/// Guards against a client that makes a node hold requests without end.
#[test]
fn no_more_requests_and_heads_than_allowed_are_in_flight() {
    run(|| async {
        let field = "x".repeat(1_000);
        for (max_requests, max_head_bytes, expected) in [(4, 64 << 10, 4), (16, 2_500, 3)] {
            let server = ServerUnderTest::start_with(
                PipelineOptions {
                    max_requests,
                    max_head_bytes,
                    ..PipelineOptions::default()
                },
                LONG_IDLE,
            )
            .await;
            let mut client = server.connect().await;
            for number in 0..30 {
                let request =
                    format!("GET /{number}/wait=50 HTTP/1.1\r\nhost: n\r\nlong: {field}\r\n\r\n");
                client.send(request).await;
            }

            for number in 0..30 {
                let response = client.response().await;
                assert_eq!(response.text(), format!("GET {number} 0 7"));
            }
            assert_eq!(server.counts.take_max_depth(), expected);
        }
    });
}

/// Guards against targets that stay occupied, and bodies that miss their deadline, while they wait for
/// a slow response before them.
#[test]
fn bodies_are_read_before_their_turn() {
    with_client(async |server, mut client| {
        client
            .get(&["/a/forever", "/b/stream=3", "/c/stream=1"])
            .await;
        wait_until(|| server.handler.bodies_read.get() == 2).await;
        drop(client);

        let mut client = server.connect().await;
        client
            .get(&["/a/wait=50", "/b/stream=3", "/c/stream=1"])
            .await;
        assert_eq!(client.response().await.text(), "GET a 0 7");
        assert_eq!(client.response().await.text().len(), 27);
        assert_eq!(client.response().await.text(), "GET c 0 7");
    });
}

/// Guards against responses that are lost or mixed up when many connections are busy.
#[test]
fn two_hundred_connections_with_twenty_requests_each_get_their_responses_in_order() {
    run(|| async {
        let server = ServerUnderTest::start().await;
        let mut connections = Vec::new();
        for number in 0..200_u64 {
            let mut client = server.connect().await;
            let mut random = ChaCha8Rng::seed_from_u64(number);
            connections.push(compio::runtime::spawn(async move {
                let names: Vec<_> = (0..20).map(|index| format!("{number}-{index}")).collect();
                for names in names.chunks(random.random_range(1..20)) {
                    let paths = names
                        .iter()
                        .map(|name| format!("/{name}/wait={}", random.random_range(0..20)));
                    let paths: Vec<_> = paths.collect();
                    client
                        .get(&paths.iter().map(|path| &**path).collect::<Vec<_>>())
                        .await;
                }
                for name in names {
                    assert_eq!(client.response().await.text(), format!("GET {name} 0 7"));
                }
            }));
        }
        for connection in connections {
            connection.await.unwrap();
        }

        assert_eq!(server.begun().len(), 4_000);
        assert!((2..=16).contains(&server.counts.take_max_depth()));
    });
}

/// Guards against a client that never reads its responses and holds up other connections, and against
/// one whose connection stays open for ever.
#[test]
fn a_client_that_never_reads_costs_only_its_own_connection() {
    run(|| async {
        let server = ServerUnderTest::start_with(
            PipelineOptions {
                write_timeout: Duration::from_millis(300),
                ..PipelineOptions::default()
            },
            LONG_IDLE,
        )
        .await;
        let mut silent = server.connect().await;
        silent.get(&["/big/big=30000000", "/behind/forever"]).await;
        server.wait_until_begun(2).await;

        let mut client = server.connect().await;
        client.get(&["/a", "/b"]).await;
        assert_eq!(client.response().await.text(), "GET a 0 7");
        assert_eq!(client.response().await.text(), "GET b 0 7");

        wait_until(|| *server.handler.canceled.borrow() == ["behind"]).await;
        assert!(silent.response_to("GET").await.is_none());
    });
}
