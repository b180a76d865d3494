//! Tests of the requests that are in flight when the process is about to end.

use super::{SilentDialect, proxy_with, settings};
use compio::{net::TcpListener, runtime::Runtime, time::sleep};
use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use std::{rc::Rc, sync::Arc, time::Duration};
use wagtail_core::{
    objects::{StoreRevision, StoredObject},
    routing::{RequestKind, RouteDestination, RouteSpec, RoutingConfig, ServiceEntry},
};
use wagtail_gate::crash_report::CrashReport;
use wagtail_net::{request_body::RequestBody, server::HttpHandler};
use wagtail_shard::departures::DepartureList;
use wagtail_sidecar::{
    forward::RequestForwarder,
    front::FrontHandler,
    front_state::FrontState,
    links::NodeLinks,
    node_record::{NodeRecord, record_name},
    proxy::NODE_STOPPING,
    settings::SidecarSettings,
    view::FleetView,
};

/// Returns a view with a route to the service of the node, and the record of the node.
fn view(settings: &SidecarSettings) -> FleetView {
    let view = FleetView::default();
    let config = RoutingConfig {
        version: 1,
        routes: vec![RouteSpec {
            name: Arc::from("list"),
            host: Arc::from("shop.example"),
            prefix: Arc::from("/"),
            kind: RequestKind::NonIdempotent,
            timeout: Duration::from_secs(30),
            objective: Duration::from_secs(30),
            priority: 1,
            max_attempts: 1,
            shares: vec![RouteDestination {
                service: Arc::clone(&settings.service),
                weight: 1,
            }],
        }],
        services: vec![ServiceEntry {
            name: Arc::clone(&settings.service),
            keyed: false,
            connections: 10,
            warm_up: Duration::ZERO,
            cold_rate: None,
        }],
        ..RoutingConfig::default()
    };
    let object = |name: &str, content: String| StoredObject {
        name: Arc::from(name),
        revision: StoreRevision::new(0, 1),
        content: Arc::from(content),
    };
    view.apply_config(&object("main", String::new()), &config);
    let record = NodeRecord {
        node: Arc::clone(&settings.node),
        zone: Arc::clone(&settings.zone),
        peers: settings.peers,
        service: Arc::clone(&settings.service),
        slots: 2,
        ready: true,
        departures: DepartureList::default(),
        crashes: CrashReport::default(),
    };
    let content = serde_json::to_string(&record).unwrap();
    view.apply_object(object(&record_name(&settings.node), content));

    view
}

/// Guards against a connection that closes without an answer: a request with a timeout beyond the grace
/// period was in flight when the process ended.
#[test]
fn a_request_in_flight_is_answered_before_the_process_ends() {
    Runtime::new().unwrap().block_on(async {
        // A target that accepts connections and never responds.
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = SidecarSettings {
            target: silent.local_addr().unwrap(),
            ..settings()
        };
        let view = view(&settings);
        let proxy = proxy_with(settings.clone(), view.clone());
        let settings = Rc::new(settings);
        let forwarder = RequestForwarder::new(
            Rc::clone(&settings),
            view.clone(),
            NodeLinks::new(view.clone(), None),
            proxy.clone(),
            0,
        );
        let state = FrontState::default();
        let front = FrontHandler::new(
            settings,
            Rc::new(SilentDialect),
            view,
            Rc::new(forwarder),
            proxy.clone(),
            Rc::default(),
            state.clone(),
        );
        let request = Request::builder()
            .uri("/x")
            .header("host", "shop.example")
            .body(RequestBody::empty())
            .unwrap();
        let expiring = state.clone();
        compio::runtime::spawn(async move {
            sleep(Duration::from_millis(100)).await;
            assert_eq!((expiring.in_flight(), proxy.in_flight()), (1, 1));
            expiring.expire();
        })
        .detach();

        let response = front.handle(request).await;

        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
        let reason = response.into_body().collect().await.unwrap().to_bytes();
        assert_eq!(&*reason, NODE_STOPPING.as_bytes());
        assert_eq!(state.in_flight(), 0);
    });
}
