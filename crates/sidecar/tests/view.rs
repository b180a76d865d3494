//! Tests of the fleet view and of the relay of its changes.

use compio::{runtime::Runtime, time::sleep};
use futures_util::future::join;
use std::{sync::Arc, time::Duration};
use wagtail_core::{
    objects::{ObjectChange, StoredObject},
    routing::RoutingConfig,
    units::LocalMoment,
};
use wagtail_shard::departures::DepartureList;
use wagtail_shard::table::RangeTable;
use wagtail_sidecar::{
    messages::KnownVersions,
    view::{FLEET_KIND, FleetView, NodeRecord, record_name, table_name},
    watching::WatchRelay,
};

/// Returns the moment at the given number of milliseconds.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Creates a stored object.
fn object(name: &str, revision: u64, content: impl Into<Arc<str>>) -> StoredObject {
    StoredObject {
        name: Arc::from(name),
        revision,
        content: content.into(),
    }
}

/// Creates the stored object of a node record.
fn record(node: &str, revision: u64, ready: bool) -> StoredObject {
    let record = NodeRecord {
        node: Arc::from(node),
        zone: Arc::from("a"),
        peers: "127.0.0.1:1".parse().unwrap(),
        service: Arc::from("rooms"),
        slots: 4,
        ready,
        departures: DepartureList::default(),
    };

    object(
        &record_name(node),
        revision,
        serde_json::to_string(&record).unwrap(),
    )
}

#[test]
fn an_older_state_never_replaces_a_newer_one() {
    let view = FleetView::default();
    view.apply_object(record("n1", 7, false));
    view.apply_object(record("n1", 5, true));

    assert!(!view.node("n1").unwrap().ready);

    view.apply_list(vec![record("n1", 9, true)], 9);
    assert!(view.node("n1").unwrap().ready);
    view.apply_list(Vec::new(), 8);
    assert!(view.node("n1").is_some());
}

#[test]
fn a_list_without_a_node_and_a_deletion_remove_it() {
    let view = FleetView::default();
    view.apply_list(vec![record("n1", 5, true), record("n2", 6, true)], 6);
    view.apply_list(vec![record("n2", 6, true)], 8);
    assert!(view.node("n1").is_none());

    let change = ObjectChange {
        object: record("n2", 9, true),
        deleted: true,
    };
    view.apply_changes(vec![change], 9);
    assert!(view.nodes_of("rooms").is_empty());
}

#[test]
fn unreadable_objects_are_ignored_and_the_others_kept() {
    let view = FleetView::default();
    view.apply_object(record("n1", 5, true));
    view.apply_object(object("node.n2", 6, "{\"node\":7}"));
    view.apply_object(object(&table_name("agenda"), 7, "not a table"));
    let mut gap = RangeTable::new();
    gap.rows[0].from = 5;
    view.apply_object(object(
        &table_name("agenda"),
        8,
        serde_json::to_string(&gap).unwrap(),
    ));

    assert_eq!(view.nodes().len(), 1);
    assert!(view.table("agenda").is_none());
}

#[test]
fn a_lower_version_of_the_configuration_is_ignored() {
    let view = FleetView::default();
    assert!(view.hosts().is_none());
    let config = |version| RoutingConfig {
        version,
        ..RoutingConfig::default()
    };

    assert!(view.apply_config(&object("main", 4, "{}"), &config(12)));
    assert!(!view.apply_config(&object("main", 5, "{}"), &config(11)));
    assert_eq!(view.versions().config, 12);
}

/// Guards against an outdated view that goes unnoticed: a watch goes silent without a connection
/// reset while other nodes receive newer versions.
#[test]
fn a_node_tracks_since_when_it_is_behind_others() {
    let view = FleetView::default();
    view.apply_object(record("n1", 5, true));
    view.record_peer_versions(
        KnownVersions {
            config: 0,
            fleet: 5,
        },
        at(100),
    );
    assert_eq!(view.fleet_behind_since(), None);

    for (millis, fleet) in [(200, 8), (300, 8)] {
        view.record_peer_versions(KnownVersions { config: 0, fleet }, at(millis));
    }
    let since = view.fleet_behind_since().unwrap();
    assert_eq!(at(500).since(since), Duration::from_millis(300));

    view.apply_object(record("n2", 8, true));
    assert_eq!(view.fleet_behind_since(), None);
}

/// Guards against listing the fleet again and again: a node starts after the newest object that the
/// other nodes know was deleted, so that its own newest object stays older than theirs.
#[test]
fn a_deleted_object_that_others_knew_is_not_missed() {
    let view = FleetView::default();
    view.apply_list(vec![record("n1", 5, true)], 12);

    view.record_peer_versions(
        KnownVersions {
            config: 0,
            fleet: 9,
        },
        at(100),
    );
    assert_eq!(view.fleet_behind_since(), None);
}

/// Guards against a silent source that is never detected: each of several configurations in quick
/// succession would restart the time since which this node is behind.
#[test]
fn in_a_series_of_changes_the_first_missing_one_counts() {
    let view = FleetView::default();
    view.apply_object(record("n1", 5, true));

    for step in 0..10 {
        let versions = KnownVersions {
            config: 10 + step,
            fleet: 20 + step,
        };
        view.record_peer_versions(versions, at(1_000 + step * 80));
    }

    assert_eq!(view.config_behind_since(), Some(at(1_000)));
    assert_eq!(view.fleet_behind_since(), Some(at(1_000)));
}

/// Guards against a heartbeat that is handled without a configuration: when a VM restarts, the
/// first heartbeat of its target arrives before the first configuration and has to wait for it.
#[test]
fn a_wait_ends_with_the_change_that_it_waits_for() {
    Runtime::new().unwrap().block_on(async {
        let view = FleetView::default();
        let later = view.clone();
        let change = async move {
            sleep(Duration::from_millis(40)).await;
            later.apply_config(
                &object("main", 4, "{}"),
                &RoutingConfig {
                    version: 1,
                    ..RoutingConfig::default()
                },
            );
        };

        let known = || view.hosts().is_some();
        assert!(!view.until(Duration::from_millis(10), known).await);
        let (waited, ()) = join(view.until(Duration::from_secs(5), known), change).await;
        assert!(waited);
    });
}

#[test]
fn a_follower_gets_only_changes_but_all_objects_after_a_deletion() {
    let view = FleetView::default();
    view.apply_list(vec![record("n1", 5, true), record("n2", 7, true)], 8);

    assert_eq!(view.fleet_changes_after(8), None);
    let changed = view.fleet_changes_after(6).unwrap();
    assert_eq!((changed.revision, changed.complete), (8, false));
    assert_eq!(changed.objects, vec![record("n2", 7, true)]);

    let deletion = ObjectChange {
        object: record("n1", 9, true),
        deleted: true,
    };
    view.apply_changes(vec![deletion], 9);
    let changed = view.fleet_changes_after(8).unwrap();
    assert_eq!((changed.revision, changed.complete), (9, true));

    let follower = FleetView::default();
    follower.apply_list(vec![record("n1", 5, true), record("n2", 7, true)], 8);
    follower.apply_followed(changed);
    assert!(follower.node("n1").is_none());
    assert!(follower.node("n2").is_some());
    assert_eq!(follower.fleet_changes_after(8).unwrap().revision, 9);
}

/// Guards against the loss of a write: a list that was made before a write of this node arrives
/// after it.
#[test]
fn a_list_does_not_remove_what_was_written_after_it() {
    let view = FleetView::default();
    view.apply_object(record("n1", 9, true));

    view.apply_list(vec![record("n2", 4, true)], 8);
    assert!(view.node("n1").is_some());
    view.apply_list(vec![record("n2", 4, true)], 10);
    assert!(view.node("n1").is_none());
}

#[test]
fn a_node_that_does_not_watch_or_shuts_down_relays_nothing() {
    Runtime::new().unwrap().block_on(async {
        let view = FleetView::default();
        view.apply_list(vec![record("n1", 5, true)], 8);
        let relay = WatchRelay::new(view.clone());
        let wait = Duration::from_millis(20);

        assert_eq!(relay.changes_after(FLEET_KIND, 0, wait).await, None);
        relay.set_watched(FLEET_KIND, true);
        let all = relay.changes_after(FLEET_KIND, 0, wait).await.unwrap();
        assert_eq!((all.revision, all.objects.len()), (8, 1));
        let none = relay.changes_after(FLEET_KIND, 8, wait).await.unwrap();
        assert_eq!((none.revision, none.objects.len()), (8, 0));

        let later = relay.clone();
        let stop = async move {
            sleep(wait).await;
            later.stop();
        };
        let waiting = relay.changes_after(FLEET_KIND, 8, Duration::from_secs(20));
        let (changes, ()) = join(waiting, stop).await;
        assert_eq!(changes, None);
    });
}
