//! Tests of the node beside a target whose zone is evacuated.

use super::{proxy_with, refusal_reason, request_head, settings};
use bytes::Bytes;
use compio::{net::TcpListener, runtime::Runtime, time::sleep};
use std::{sync::Arc, time::Duration};
use wagtail_core::objects::{StoreRevision, StoredObject};
use wagtail_net::clock;
use wagtail_sidecar::{messages::DispatchHead, settings::SidecarSettings, view::FleetView};

/// Returns a view in which a zone is evacuated, known since a moment after the first list.
fn evacuated_view(zone: &str) -> FleetView {
    let view = FleetView::default();
    view.apply_evacuations(Vec::new(), StoreRevision::new(0, 1));
    evacuate(&view, zone);

    view
}

/// Applies a list of evacuated zones that holds one.
fn evacuate(view: &FleetView, zone: &str) {
    let object = StoredObject {
        name: Arc::from(zone),
        revision: StoreRevision::new(0, 2),
        content: Arc::from("{}"),
    };
    view.apply_evacuations(vec![object], StoreRevision::new(0, 2));
}

/// Returns settings of a node that follows the evacuated zones.
fn evacuation_settings() -> SidecarSettings {
    SidecarSettings {
        evacuation: Some(Duration::from_millis(400)),
        ..settings()
    }
}

/// Guards against requests that run in an evacuated zone because another node chose its target, and
/// against keys that are refused before they can move.
#[test]
fn a_target_in_an_evacuated_zone_gets_keys_for_half_of_the_time_only() {
    Runtime::new().unwrap().block_on(async {
        let proxy = proxy_with(evacuation_settings(), evacuated_view("a"));
        let (work, keyed) = (
            request_head("agenda", None),
            request_head("agenda", Some(7)),
        );

        assert_eq!(refusal_reason(&proxy, &work).await, "zone-evacuated");
        // The key is not held: the zone is not what stops it.
        assert_eq!(refusal_reason(&proxy, &keyed).await, "key-not-held");
        sleep(Duration::from_millis(200)).await;
        assert_eq!(refusal_reason(&proxy, &keyed).await, "zone-evacuated");
        assert!(proxy.is_ready());
        assert!(!proxy.status().ready);

        let other = proxy_with(evacuation_settings(), evacuated_view("b"));
        assert_eq!(refusal_reason(&other, &work).await, "target-unreachable");
        assert!(other.status().ready);
    });
}

/// Guards against a node that was restarted during an evacuation and serves requests before it knows of
/// it, or serves keys as long as if it had just begun.
#[test]
fn a_restarted_node_serves_nothing_before_it_knows_the_zones() {
    Runtime::new().unwrap().block_on(async {
        let view = FleetView::default();
        let proxy = proxy_with(evacuation_settings(), view.clone());
        let keyed = request_head("agenda", Some(7));

        assert_eq!(refusal_reason(&proxy, &keyed).await, "zones-unknown");
        evacuate(&view, "a");
        assert_eq!(refusal_reason(&proxy, &keyed).await, "zone-evacuated");
    });
}

/// Guards against requests from before a suspension of the VM, or right after it, that reach a zone which
/// was evacuated meanwhile.
#[test]
fn a_node_that_stood_still_serves_nothing_before_it_has_read_the_zones_again() {
    Runtime::new().unwrap().block_on(async {
        let view = evacuated_view("b");
        let proxy = proxy_with(evacuation_settings(), view.clone());
        let work = request_head("agenda", None);
        let max_standstill = Duration::from_millis(50);
        view.evacuations()
            .record_check(clock::now(), max_standstill);
        assert_eq!(refusal_reason(&proxy, &work).await, "target-unreachable");

        // Blocks the thread, so that no timer of the runtime fires.
        std::thread::sleep(max_standstill * 2);
        assert_eq!(refusal_reason(&proxy, &work).await, "zones-unknown");
        view.evacuations()
            .record_check(clock::now(), max_standstill);
        assert_eq!(refusal_reason(&proxy, &work).await, "zones-unknown");
        view.evacuations().confirm();
        assert_eq!(refusal_reason(&proxy, &work).await, "target-unreachable");
    });
}

/// Guards against requests that waited for a slot while the evacuation became known, and are sent to the
/// target long after it.
#[test]
fn a_queued_request_is_not_sent_to_a_target_in_a_zone_that_was_evacuated_meanwhile() {
    Runtime::new().unwrap().block_on(async {
        // A target that accepts connections and never responds.
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = SidecarSettings {
            target: silent.local_addr().unwrap(),
            ..evacuation_settings()
        };
        let view = evacuated_view("b");
        let proxy = proxy_with(settings, view.clone());
        let running = DispatchHead {
            time_left_ms: 150,
            ..request_head("agenda", None)
        };
        for _ in 0..2 {
            let (proxy, request) = (proxy.clone(), running.clone());
            compio::runtime::spawn(async move { proxy.serve(&request, Bytes::new()).await })
                .detach();
        }
        let (waiting, request) = (proxy.clone(), request_head("agenda", None));
        let waiting =
            compio::runtime::spawn(async move { refusal_reason(&waiting, &request).await });
        sleep(Duration::from_millis(50)).await;
        assert_eq!(proxy.in_flight(), 3);

        let zones = ["a", "b"].map(|zone| StoredObject {
            name: Arc::from(zone),
            revision: StoreRevision::new(0, 3),
            content: Arc::from("{}"),
        });
        view.apply_evacuations(zones.to_vec(), StoreRevision::new(0, 3));

        assert_eq!(waiting.await.unwrap(), "zone-evacuated");
    });
}
