//! Tests of the door to the target.

use bytes::Bytes;
use compio::runtime::Runtime;
use http::{HeaderMap, Method, StatusCode};
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use wagtail_core::{
    heartbeat::{HeartbeatReply, TargetHeartbeat, TargetIncarnation},
    routing::{RequestKind, RoutingConfig},
};
use wagtail_net::clock;
use wagtail_shard::keeper::KeeperOptions;
use wagtail_sidecar::{
    messages::{DispatchHead, ReplyBody},
    ports::{
        CallerFields, FormatError, LocalRequest, RequestFields, ResponseFields, Result, WireDialect,
    },
    proxy::{NODE_STOPPING, TargetProxy},
    settings::SidecarSettings,
    view::FleetView,
};

/// A dialect for a target that is never reached.
#[derive(Debug)]
struct SilentDialect;

impl WireDialect for SilentDialect {
    fn read_caller(&self, _headers: &HeaderMap) -> CallerFields {
        CallerFields::default()
    }

    fn write_request(&self, _headers: &mut HeaderMap, _fields: &RequestFields<'_>) {}

    fn read_response(&self, _status: StatusCode, _headers: &HeaderMap) -> ResponseFields {
        ResponseFields::default()
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

    fn read_config(&self, _content: &str) -> Result<RoutingConfig> {
        Err(FormatError::new("body", "unused"))
    }
}

/// Makes settings whose target's port refuses connections.
fn settings() -> SidecarSettings {
    // The reserved port 1 of the loopback address has no listener.
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));

    SidecarSettings {
        node: Arc::from("n1"),
        zone: Arc::from("a"),
        service: Arc::from("agenda"),
        target: nowhere,
        own_address: nowhere.ip(),
        callers: nowhere,
        readiness: nowhere,
        local: nowhere,
        peers: nowhere,
        metrics: None,
        store: nowhere,
        heartbeat: Duration::from_millis(870),
        max_hold: Duration::from_secs(10),
        drain: Duration::from_secs(2),
        grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_slack: 60.0,
    }
}

/// Makes a door whose target has sent a heartbeat.
fn proxy() -> TargetProxy {
    let proxy = TargetProxy::new(
        Rc::new(settings()),
        Rc::new(SilentDialect),
        FleetView::default(),
        Rc::default(),
        KeeperOptions::default(),
    );
    let beat = TargetHeartbeat {
        life: TargetIncarnation {
            started_ms: 1,
            id: Arc::from("i-1"),
        },
        service: Arc::from("agenda"),
        slots: 2,
        draining: false,
        sequence: 1,
        warm_up_left: Duration::ZERO,
        holds: Vec::new(),
        released: Vec::new(),
    };
    let now = clock::now();
    proxy.with_keeper(|keeper| keeper.accept(&beat, now));
    proxy.begin_incarnation(&beat);
    proxy.record_heartbeat(&beat, now);

    proxy
}

/// Makes a request.
fn order(service: &str, key: Option<u16>) -> DispatchHead {
    DispatchHead {
        id: Arc::from("r1"),
        service: Arc::from(service),
        key,
        route: Arc::from("list"),
        kind: RequestKind::Idempotent,
        priority: 2,
        caller_priority: 2,
        objective_ms: 200,
        elapsed_ms: 0,
        time_left_ms: 800,
        caller_service: Arc::from("agenda"),
        method: Arc::from("GET"),
        path: Arc::from("/x"),
        headers: Vec::new(),
    }
}

/// Returns the reason for which a door does not run a request.
async fn refusal(proxy: &TargetProxy, order: &DispatchHead) -> String {
    match proxy.serve(order, Bytes::new()).await.head.body {
        ReplyBody::NotRun(fields) => fields.reason.to_string(),
        other => format!("{other:?}"),
    }
}

/// A node that stops took requests for keys to its end and cut them off (LOST, trouble-2).
#[test]
fn a_door_that_stops_takes_nothing_more_with_or_without_a_key() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy();
        proxy.stop();

        assert_eq!(refusal(&proxy, &order("agenda", None)).await, NODE_STOPPING);
        assert_eq!(
            refusal(&proxy, &order("agenda", Some(7))).await,
            NODE_STOPPING
        );
        assert_eq!(proxy.in_flight(), 0);
    });
}

#[test]
fn a_request_for_another_service_does_not_run() {
    Runtime::new().unwrap().block_on(async {
        assert_eq!(
            refusal(&proxy(), &order("rooms", None)).await,
            "other-service"
        );
    });
}

#[test]
fn a_key_that_is_not_held_does_not_run() {
    Runtime::new().unwrap().block_on(async {
        assert_eq!(
            refusal(&proxy(), &order("agenda", Some(7))).await,
            "key-not-held"
        );
    });
}

#[test]
fn a_target_that_cannot_be_reached_ran_nothing_and_gives_its_slot_back() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy();

        assert_eq!(
            refusal(&proxy, &order("agenda", None)).await,
            "target-unreachable"
        );
        assert_eq!(proxy.in_flight(), 0);
    });
}

#[test]
fn a_leaving_target_receives_nothing_more() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy();
        proxy.leave(clock::now());

        assert!(!proxy.is_ready());
        assert_eq!(
            refusal(&proxy, &order("agenda", None)).await,
            "target-leaving"
        );
    });
}
