//! Tests of `TargetProxy` with a target that refuses connections.

use bytes::Bytes;
use compio::{
    net::TcpListener,
    runtime::Runtime,
    time::{sleep, timeout},
};
use http::{HeaderMap, Method, StatusCode};
use hyper::{Request, Response};
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use wagtail_core::{
    heartbeat::{HeartbeatReply, TargetHeartbeat, TargetIncarnation},
    notice::RequestRate,
    objects::{StoreRevision, StoredObject},
    ports::{BodyStream, LocalFuture},
    routing::{RequestKind, RoutingConfig, ServiceEntry},
};
use wagtail_net::{
    clock,
    request_body::RequestBody,
    server::{self, ConnectionLimits, HttpHandler, ServerBody, streamed_body},
    stop::StopSignal,
};
use wagtail_shard::keeper::KeeperOptions;
use wagtail_sidecar::{
    messages::{DispatchHead, ReplyBody, TargetNotice},
    ports::{
        CallerFields, FormatError, LocalRequest, RequestFields, ResponseFields, Result, WireDialect,
    },
    proxy::{NODE_STOPPING, TargetProxy},
    settings::SidecarSettings,
    view::FleetView,
};

#[path = "proxy/evacuations.rs"]
mod evacuations;
#[path = "proxy/shutdown.rs"]
mod shutdown;

/// `SilentDialect` neither reads nor writes header fields. Each response counts as genuine, and as that to
/// the request of [`request_head`].
#[derive(Debug)]
struct SilentDialect;

impl WireDialect for SilentDialect {
    fn read_caller(&self, _headers: &HeaderMap) -> CallerFields {
        CallerFields {
            id: Some(Arc::from("r1")),
            ..CallerFields::default()
        }
    }

    fn write_request(&self, _headers: &mut HeaderMap, _fields: &RequestFields<'_>) {}

    fn read_response(&self, _status: StatusCode, _headers: &HeaderMap) -> ResponseFields {
        ResponseFields {
            id: Some(Arc::from("r1")),
            is_genuine: true,
            ..ResponseFields::default()
        }
    }

    fn parse_local_request(&self, _method: &Method, _path: &str) -> LocalRequest {
        LocalRequest::Unknown
    }

    fn read_heartbeat(&self, _target_id: &str, _body: &[u8]) -> Result<TargetHeartbeat> {
        Err(FormatError::new("body", "unused"))
    }

    fn write_heartbeat_reply(&self, _reply: &HeartbeatReply) -> Bytes {
        Bytes::new()
    }

    fn config_object(&self) -> (&'static str, &'static str) {
        ("config", "main")
    }

    fn evacuation_kind(&self) -> &'static str {
        "evacuations"
    }

    fn read_config(&self, _content: &str) -> Result<RoutingConfig> {
        Err(FormatError::new("body", "unused"))
    }
}

/// Returns settings in which the target's port refuses connections.
fn settings() -> SidecarSettings {
    // The reserved port 1 of the loopback address has no listener.
    let closed_address = SocketAddr::from(([127, 0, 0, 1], 1));

    SidecarSettings {
        node: Arc::from("n1"),
        zone: Arc::from("a"),
        service: Arc::from("agenda"),
        target: closed_address,
        own_address: closed_address.ip(),
        callers: closed_address,
        readiness: closed_address,
        local: closed_address,
        peers: closed_address,
        metrics: None,
        link_mbps: 10_000.0,
        memory: None,
        learns_capacity: false,
        pipelining: false,
        evacuation: None,
        cold_factor: 1.0,
        cold_slack: 0.0,
        store: closed_address,
        heartbeat: Duration::from_millis(870),
        max_hold: Duration::from_secs(10),
        drain: Duration::from_secs(2),
        limit_grace: Duration::from_secs(3),
        grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_slack: 60.0,
    }
}

/// Returns a proxy whose target has sent its first heartbeat.
fn proxy() -> TargetProxy {
    proxy_with(settings(), FleetView::default())
}

/// Returns a proxy with the given settings and view, whose target has sent its first heartbeat.
fn proxy_with(settings: SidecarSettings, view: FleetView) -> TargetProxy {
    let proxy = TargetProxy::new(
        Rc::new(settings),
        Rc::new(SilentDialect),
        view,
        Rc::default(),
        KeeperOptions::default(),
    );
    let first_heartbeat = TargetHeartbeat {
        life: TargetIncarnation {
            started_ms: 1,
            id: Arc::from("i-1"),
        },
        service: Arc::from("agenda"),
        address: Arc::from("10.1.0.8:8301"),
        version: Arc::from("v1"),
        slots: 2,
        draining: false,
        sequence: 1,
        warm_up_left: Duration::ZERO,
        reports_ranges: true,
        holds: Vec::new(),
        released: Vec::new(),
    };
    let now = clock::now();
    proxy.with_keeper(|keeper| keeper.accept(&first_heartbeat, now));
    proxy.begin_incarnation(&first_heartbeat, false, now);
    proxy.record_heartbeat(&first_heartbeat, now);

    proxy
}

/// Returns the head of a request for a service and possibly a key.
fn request_head(service: &str, key: Option<u16>) -> DispatchHead {
    DispatchHead {
        id: Arc::from("r1"),
        service: Arc::from(service),
        key,
        route: Arc::from("list"),
        kind: RequestKind::Idempotent,
        priority: 2,
        objective_ms: 200,
        elapsed_ms: 0,
        time_left_ms: 800,
        caller_service: Arc::from("agenda"),
        method: Arc::from("GET"),
        path: Arc::from("/x"),
        headers: Vec::new(),
        notice: None,
        accepted_wait_ms: None,
        is_repeat: false,
    }
}

/// Returns the reason code with which a proxy refuses a request, or the other reply as text.
async fn refusal_reason(proxy: &TargetProxy, request_head: &DispatchHead) -> String {
    match proxy.serve(request_head, Bytes::new()).await.head.body {
        ReplyBody::NotRun(fields) => fields.reason.to_string(),
        other => format!("{other:?}"),
    }
}

/// Guards against lost requests: a stopping node once accepted requests for keys until its process
/// ended, which cut them off.
#[test]
fn a_stopping_proxy_refuses_requests_with_and_without_a_key() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy();
        proxy.stop();

        assert_eq!(
            refusal_reason(&proxy, &request_head("agenda", None)).await,
            NODE_STOPPING
        );
        assert_eq!(
            refusal_reason(&proxy, &request_head("agenda", Some(7))).await,
            NODE_STOPPING
        );
        assert_eq!(proxy.in_flight(), 0);
    });
}

#[test]
fn a_request_for_another_service_is_refused() {
    Runtime::new().unwrap().block_on(async {
        assert_eq!(
            refusal_reason(&proxy(), &request_head("rooms", None)).await,
            "other-service"
        );
    });
}

#[test]
fn a_request_for_a_key_that_is_not_held_is_refused() {
    Runtime::new().unwrap().block_on(async {
        assert_eq!(
            refusal_reason(&proxy(), &request_head("agenda", Some(7))).await,
            "key-not-held"
        );
    });
}

#[test]
fn a_request_to_an_unreachable_target_did_not_run_and_frees_its_slot() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy();

        assert_eq!(
            refusal_reason(&proxy, &request_head("agenda", None)).await,
            "target-unreachable"
        );
        assert_eq!(proxy.in_flight(), 0);
    });
}

#[test]
fn a_leaving_target_receives_no_requests() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy();
        proxy.leave(clock::now());

        assert!(!proxy.is_ready());
        assert_eq!(
            refusal_reason(&proxy, &request_head("agenda", None)).await,
            "target-leaving"
        );
    });
}

/// Returns the head of a request whose sender was told that a run of the target, by its start time, is
/// leaving or has a limit.
fn head_with_notice(started_ms: u64, is_leaving: bool, limit: Option<f64>) -> DispatchHead {
    let notice = TargetNotice {
        life: TargetIncarnation {
            started_ms,
            id: Arc::from("i-1"),
        },
        limit: limit.and_then(RequestRate::new),
        is_leaving,
    };

    DispatchHead {
        notice: Some(notice),
        ..request_head("agenda", None)
    }
}

/// Guards against requests to a target that stated its leave to the previous process of its node only.
#[test]
fn a_leave_that_another_node_was_told_of_counts() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy();

        let reason = refusal_reason(&proxy, &head_with_notice(1, true, None)).await;

        assert_eq!(reason, "target-leaving");
        assert!(!proxy.is_ready());
    });
}

/// Guards against requests to a target whose leave, which names no run, only other nodes still know.
#[test]
fn a_leave_that_covers_the_run_of_the_target_counts() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy();

        let reason = refusal_reason(&proxy, &head_with_notice(7, true, None)).await;

        assert_eq!(reason, "target-leaving");
        assert!(!proxy.is_ready());
    });
}

#[test]
fn a_leave_of_an_earlier_run_of_the_target_does_not_count() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy();

        let reason = refusal_reason(&proxy, &head_with_notice(0, true, None)).await;

        assert_eq!(reason, "target-unreachable");
        assert!(proxy.is_ready());
    });
}

/// Guards against requests beyond a limit that the target named to the previous process of its node.
#[test]
fn a_limit_that_another_node_was_told_of_counts() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy();
        let limited_head = head_with_notice(1, false, Some(0.5));

        assert_eq!(
            refusal_reason(&proxy, &limited_head).await,
            "target-unreachable"
        );
        assert_eq!(refusal_reason(&proxy, &limited_head).await, "limit-reached");
        assert_eq!(
            refusal_reason(&proxy, &request_head("agenda", None)).await,
            "limit-reached"
        );
    });
}

#[test]
fn a_limit_of_an_earlier_run_of_the_target_does_not_count() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy();
        refusal_reason(&proxy, &head_with_notice(0, false, Some(0.5))).await;

        assert_eq!(proxy.limit(), None);
    });
}

/// Guards against requests to a leaving target with keys after the VM was suspended for longer than the
/// drain time, during which timers stand still.
#[test]
fn a_suspension_does_not_extend_the_drain_time() {
    let view = FleetView::default();
    let config = RoutingConfig {
        version: 1,
        services: vec![ServiceEntry {
            name: Arc::from("agenda"),
            keyed: true,
            connections: 10,
            warm_up: Duration::ZERO,
            cold_rate: None,
        }],
        ..RoutingConfig::default()
    };
    let object = StoredObject {
        name: Arc::from("main"),
        revision: StoreRevision::new(0, 1),
        content: Arc::from(""),
    };
    view.apply_config(&object, &config);
    let drain = Duration::from_millis(50);
    let settings = SidecarSettings {
        drain,
        ..settings()
    };

    Runtime::new().unwrap().block_on(async {
        let proxy = proxy_with(settings, view);
        proxy.leave(clock::now());

        // Blocks the thread, so that no timer of the runtime fires.
        std::thread::sleep(drain);

        assert_eq!(
            refusal_reason(&proxy, &request_head("agenda", None)).await,
            "target-leaving"
        );
    });
}

/// Guards against requests that wait for a slot while another target has a free one, and against a
/// request that is declined again and again though its caller no longer asks for that.
#[test]
fn a_full_target_declines_only_what_prefers_a_free_slot() {
    Runtime::new().unwrap().block_on(async {
        // A target that accepts connections and never responds.
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = SidecarSettings {
            target: silent.local_addr().unwrap(),
            ..settings()
        };
        let proxy = proxy_with(settings, FleetView::default());
        let prefers = DispatchHead {
            accepted_wait_ms: Some(5),
            ..request_head("agenda", None)
        };
        for _ in 0..2 {
            let (proxy, request) = (proxy.clone(), prefers.clone());
            compio::runtime::spawn(async move { proxy.serve(&request, Bytes::new()).await })
                .detach();
        }
        sleep(Duration::from_millis(50)).await;
        assert_eq!(proxy.in_flight(), 2);

        assert_eq!(refusal_reason(&proxy, &prefers).await, "slots-taken");
        let waiting = request_head("agenda", None);
        let reason = timeout(Duration::from_millis(100), refusal_reason(&proxy, &waiting));
        assert!(reason.await.is_err(), "the request does not wait");
    });
}

/// `ChunkedTarget` responds with a body of ten chunks without a stated length.
#[derive(Debug)]
struct ChunkedTarget;

/// `ChunkedBody` yields as many chunks as it holds.
#[derive(Debug)]
struct ChunkedBody(u32);

/// The size of a chunk of a [`ChunkedBody`] in bytes.
const CHUNK_BYTES: usize = 9_000;

impl BodyStream for ChunkedBody {
    fn next(&mut self) -> LocalFuture<'_, wagtail_core::Result<Option<Bytes>>> {
        let chunk = (self.0 > 0).then(|| Bytes::from(vec![b'x'; CHUNK_BYTES]));
        self.0 = self.0.saturating_sub(1);

        Box::pin(std::future::ready(Ok(chunk)))
    }
}

impl HttpHandler for ChunkedTarget {
    fn handle(&self, _request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>> {
        let response = Response::new(streamed_body(Box::new(ChunkedBody(10))));

        Box::pin(std::future::ready(response))
    }
}

/// Guards against a slot that is taken while the link sends the response, though the target has ended: a
/// response without a stated length once kept its slot until its last byte had left.
#[test]
fn a_response_without_a_stated_length_frees_its_slot_before_it_is_passed_on() {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = SidecarSettings {
            target: listener.local_addr().unwrap(),
            ..settings()
        };
        compio::runtime::spawn(server::serve(
            listener,
            Rc::new(ChunkedTarget),
            Rc::new(ConnectionLimits::new(16 << 10)),
            StopSignal::new(),
        ))
        .detach();
        let proxy = proxy_with(settings, FleetView::default());

        let mut response = proxy
            .serve(&request_head("agenda", None), Bytes::new())
            .await;

        assert_eq!(proxy.in_flight(), 0);
        let ReplyBody::Completed(fields) = &response.head.body else {
            panic!("{:?}", response.head.body);
        };
        assert_eq!(fields.body_bytes, Some(10 * CHUNK_BYTES as u64));
        let mut length = 0;
        while let Some(chunk) = response.body.next().await.unwrap() {
            length += chunk.len();
        }
        assert_eq!(length, 10 * CHUNK_BYTES);
    });
}
