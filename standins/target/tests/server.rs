//! Tests of the target stand-in over loopback sockets.

use assert_matches::assert_matches;
use bytes::Bytes;
use compio::net::TcpListener;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use standin_net::{
    client::{ClientConnection, CompleteResponse},
    server::serve,
};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use target_standin::{
    api::TargetApi, execution::ExecutionEntry, faults::TargetFaultChange, options::TargetOptions,
    slots::SlotPool, state::TargetState, work::RequestRunner,
};

/// The timeout of waits, which only a hanging test reaches.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// `Target` is a stand-in that serves in the thread of the test.
struct Target {
    address: SocketAddr,
    state: Rc<RefCell<TargetState>>,
}

impl Target {
    /// Starts a stand-in.
    async fn start(options: TargetOptions) -> Self {
        let state = Rc::new(RefCell::new(TargetState::new(&options).unwrap()));
        let pool = SlotPool::new(options.slots, options.queue);
        let runner = RequestRunner::new(Rc::clone(&state), pool, options.fenced);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let api = Rc::new(TargetApi::new(Rc::clone(&state), runner));
        compio::runtime::spawn(serve(listener, api)).detach();

        Self { address, state }
    }

    /// Connects to the stand-in.
    async fn connect(&self) -> ClientConnection {
        ClientConnection::connect(self.address, TEST_TIMEOUT)
            .await
            .unwrap()
    }

    /// Sends one request on a new connection.
    async fn request(
        &self,
        http_request: Request<Full<Bytes>>,
    ) -> standin_net::Result<CompleteResponse> {
        self.connect().await.send(http_request, TEST_TIMEOUT).await
    }

    /// Waits until the execution log satisfies `expected`.
    async fn wait_for_log(&self, expected: impl Fn(&[ExecutionEntry]) -> bool) {
        let seen = async {
            while !expected(self.state.borrow().log.entries()) {
                compio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        compio::time::timeout(TEST_TIMEOUT, seen).await.unwrap();
    }
}

/// Runs a test in a new runtime.
fn block_on(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

/// Creates a request with further header fields.
fn request(id: &str, fields: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(Method::GET)
        .uri("/slots")
        .header("wagtail-request-id", id)
        .header("wagtail-operation", "list");
    for (name, value) in fields {
        builder = builder.header(*name, *value);
    }

    builder.body(Full::new(Bytes::new())).unwrap()
}

#[test]
fn a_response_names_its_request_and_has_the_requested_size() {
    block_on(async {
        let target = Target::start(TargetOptions::default()).await;

        let response = target
            .request(request("r1", &[("standin-bytes", "40000")]))
            .await
            .unwrap();

        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.headers["wagtail-request-id"], "r1");
        assert_eq!(response.body.len(), 40_000);
        let content: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
        assert_eq!(content["id"], "r1");
        assert_eq!(content["run"], 0);
    });
}

#[test]
fn a_closed_connection_cancels_the_request() {
    block_on(async {
        let target = Target::start(TargetOptions::default()).await;
        let mut connection = target.connect().await;

        let long = request("r1", &[("standin-work-ms", "600000")]);
        let sent = connection.send(long, Duration::from_millis(50)).await;
        assert_matches!(sent, Err(_));
        drop(connection);

        target
            .wait_for_log(|entries| matches!(entries, [entry] if entry.cancelled))
            .await;
        assert_eq!(target.state.borrow().running, 0);
        assert_eq!(target.state.borrow().in_flight, 0);
    });
}

#[test]
fn a_request_past_its_deadline_does_not_start() {
    block_on(async {
        let target = Target::start(TargetOptions::default()).await;

        let response = target
            .request(request("r1", &[("wagtail-time-left-ms", "0")]))
            .await
            .unwrap();

        assert_eq!(response.headers["wagtail-refused"], "deadline");
        assert!(target.state.borrow().log.entries().is_empty());
    });
}

#[test]
fn work_stops_at_the_deadline_without_a_response() {
    block_on(async {
        let target = Target::start(TargetOptions::default()).await;
        let fields = [
            ("wagtail-time-left-ms", "20"),
            ("standin-work-ms", "600000"),
        ];

        assert_matches!(target.request(request("r1", &fields)).await, Err(_));
        assert!(target.state.borrow().log.entries()[0].cancelled);
    });
}

#[test]
fn a_fenced_target_runs_a_keyed_request_only_under_a_grant() {
    block_on(async {
        let options = TargetOptions {
            fenced: true,
            ..TargetOptions::default()
        };
        let target = Target::start(options).await;
        let fields = [
            ("wagtail-key", "k"),
            ("wagtail-slice", "3"),
            ("wagtail-epoch", "7"),
        ];

        let refused = target.request(request("r1", &fields)).await.unwrap();
        assert_eq!(refused.headers["wagtail-refused"], "fenced");

        let grants = r#"{"grants":[{"slice":3,"epoch":7,"valid_ms":600000}]}"#;
        let renewal = Request::post("/wagtail/grants")
            .body(Full::from(grants))
            .unwrap();
        assert_eq!(
            target.request(renewal).await.unwrap().status,
            StatusCode::OK
        );

        assert_eq!(
            target.request(request("r2", &fields)).await.unwrap().status,
            StatusCode::OK
        );
        assert_eq!(target.state.borrow().log.entries().len(), 1);
    });
}

#[test]
fn a_truncated_response_is_an_error_and_its_execution_is_logged() {
    block_on(async {
        let target = Target::start(TargetOptions::default()).await;
        target.state.borrow_mut().faults.apply(&TargetFaultChange {
            truncate: Some(1.0),
            ..TargetFaultChange::default()
        });

        assert_matches!(target.request(request("r1", &[])).await, Err(_));
        assert_eq!(target.state.borrow().log.entries().len(), 1);
    });
}

#[test]
fn a_duplicated_response_is_never_taken_for_the_next_one() {
    block_on(async {
        let target = Target::start(TargetOptions::default()).await;
        target.state.borrow_mut().faults.apply(&TargetFaultChange {
            duplicate: Some(1.0),
            ..TargetFaultChange::default()
        });
        let mut connection = target.connect().await;

        let first = connection
            .send(request("r1", &[]), TEST_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(first.headers["wagtail-request-id"], "r1");

        // Either the connection fails, or the response is that of the second request.
        if let Ok(second) = connection.send(request("r2", &[]), TEST_TIMEOUT).await {
            assert_eq!(second.headers["wagtail-request-id"], "r2");
        }
    });
}

#[test]
fn requests_beyond_the_slots_and_the_queue_are_shed() {
    block_on(async {
        let options = TargetOptions {
            slots: 1,
            queue: 0,
            ..TargetOptions::default()
        };
        let target = Target::start(options).await;
        let mut busy = target.connect().await;
        let long = request("r1", &[("standin-work-ms", "600000")]);
        let running = compio::runtime::spawn(async move { busy.send(long, TEST_TIMEOUT).await });
        target.wait_for_log(|entries| entries.len() == 1).await;

        let response = target.request(request("r2", &[])).await.unwrap();

        assert_eq!(response.headers["wagtail-refused"], "shed");
        drop(running);
    });
}
