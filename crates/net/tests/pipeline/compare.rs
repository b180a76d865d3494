//! A comparison of the pipelined server with hyper's, on the same random requests.

use crate::harness::{
    HEAD_BYTES, LONG_IDLE, RecordingHandler, ServerUnderTest, WireClient, WireResponse, run,
};
use compio::{net::TcpListener, time::sleep};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{fmt::Write, net::SocketAddr, rc::Rc, time::Duration};
use wagtail_net::{
    server::{ConnectionLimits, serve},
    stop::StopSignal,
};

/// The number of connections that are compared, each with a seed of its own.
const CONNECTIONS: u64 = 150;

/// Guards against responses that differ from those of the server that other deployments use.
#[test]
fn responses_are_those_of_hyper() {
    run(|| async {
        let pipelined = ServerUnderTest::start().await;
        let plain = start_hyper().await;

        for seed in 0..CONNECTIONS {
            let requests = random_requests(seed);
            let expected = exchange(plain, seed, &requests).await;
            let responses = exchange(pipelined.address, seed, &requests).await;
            assert_eq!(responses.len(), expected.len(), "seed {seed}: {requests:?}");
            for (response, other) in responses.iter().zip(&expected) {
                assert_same(seed, response, other);
            }
        }
    });
}

/// Checks that two responses are the same, in what does not depend on the time.
fn assert_same(seed: u64, response: &WireResponse, expected: &WireResponse) {
    assert_eq!(response.body, expected.body, "seed {seed}");
    assert_eq!(
        response.head.lines().next(),
        expected.head.lines().next(),
        "seed {seed}"
    );
    for name in ["content-length", "transfer-encoding"] {
        assert_eq!(response.field(name), expected.field(name), "seed {seed}");
    }
    assert_eq!(
        response.field("date").is_some(),
        expected.field("date").is_some()
    );
}

/// Starts hyper's server with the same handler.
async fn start_hyper() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let limits = ConnectionLimits {
        head_bytes: HEAD_BYTES,
        idle_timeout: LONG_IDLE,
    };
    compio::runtime::spawn(serve(
        listener,
        Rc::new(RecordingHandler::default()),
        Rc::new(limits),
        StopSignal::new(),
    ))
    .detach();

    address
}

/// Returns random requests with their methods. The last one ends the connection.
fn random_requests(seed: u64) -> Vec<(&'static str, String)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = random.random_range(1..12);
    let mut requests: Vec<_> = (0..count)
        .map(|number| random_request(number, &mut random))
        .collect();
    requests.push(match random.random_range(0..4) {
        0 => ("GET", "GET /last/stream=2 HTTP/1.0\r\n\r\n".to_owned()),
        1 => ("GET", "GET / HTTP/1.1\r\nmal formed: 1\r\n\r\n".to_owned()),
        2 => ("GET", "GET /last/close HTTP/1.1\r\n\r\n".to_owned()),
        _ => (
            "GET",
            "GET /last HTTP/1.1\r\nConnection: Close\r\n\r\n".to_owned(),
        ),
    });

    requests
}

/// Returns one random request that leaves its connection open.
fn random_request(number: usize, random: &mut ChaCha8Rng) -> (&'static str, String) {
    let methods = ["GET", "GET", "GET", "HEAD", "POST", "PUT", "DELETE"];
    let method = methods[random.random_range(0..methods.len())];
    let mut target = format!("/{number}");
    if random.random_bool(0.3) {
        write!(target, "/wait={}", random.random_range(0..8)).unwrap();
    }
    let kinds = [
        "",
        "/stream=0",
        "/stream=3",
        "/big=20000",
        "/status=204",
        "/status=304",
        "/status=503",
    ];
    target += kinds[random.random_range(0..kinds.len())];
    if random.random_bool(0.3) {
        target += "?query=%20&other";
    }

    let body = "0123456789".repeat(random.random_range(0..3_000));
    let framed = match random.random_range(0..4) {
        0 if method != "HEAD" => {
            let length = body.len();
            format!("Content-Length: {length}\r\ncontent-length: {length}\r\n\r\n{body}")
        }
        1 if method != "HEAD" => {
            let mut chunks = String::from("Transfer-Encoding: Chunked\r\n\r\n");
            for chunk in body.as_bytes().chunks(random.random_range(1..9_000)) {
                let text = std::str::from_utf8(chunk).unwrap();
                write!(chunks, "{:X};ext=1\r\n{text}\r\n", chunk.len()).unwrap();
            }
            chunks + "0\r\n\r\n"
        }
        _ => "\r\n".to_owned(),
    };
    let version = if method == "GET"
        && random.random_bool(0.1)
        && framed == "\r\n"
        && !target.contains("stream")
    {
        "HTTP/1.0\r\nconnection: keep-alive"
    } else {
        "HTTP/1.1\r\nhost: n"
    };

    (method, format!("{method} {target} {version}\r\n{framed}"))
}

/// Sends requests in pieces of random size, and reads the responses until the connection ends.
async fn exchange(
    address: SocketAddr,
    seed: u64,
    requests: &[(&'static str, String)],
) -> Vec<WireResponse> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut bytes: Vec<u8> = Vec::new();
    for (_, request) in requests {
        bytes.extend_from_slice(request.as_bytes());
    }

    let mut client = WireClient::connect(address).await;
    let sender = client.stream.clone();
    let sending = compio::runtime::spawn(async move {
        let mut sender = WireClient::over(sender);
        while !bytes.is_empty() {
            let count = random.random_range(1..20_000).min(bytes.len());
            sender.send(bytes.drain(..count).collect::<Vec<u8>>()).await;
            if random.random_bool(0.2) {
                sleep(Duration::from_millis(1)).await;
            }
        }
    });
    let mut responses = Vec::new();
    for (method, _) in requests {
        let Some(response) = client.response_to(method).await else {
            break;
        };
        responses.push(response);
    }
    assert_eq!(client.rest().await, b"", "seed {seed}");
    drop(sending.await);

    responses
}
