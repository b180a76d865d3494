//! Tests of the fleet view and of the relay of its changes.

use compio::{runtime::Runtime, time::sleep};
use futures_util::future::join;
use std::{sync::Arc, time::Duration};
use wagtail_core::{
    heartbeat::{TargetDeparture, TargetIncarnation},
    objects::{ObjectChange, StoreRevision, StoredObject},
    routing::RoutingConfig,
    units::LocalMoment,
};
use wagtail_gate::crash_report::CrashReport;
use wagtail_shard::departures::DepartureList;
use wagtail_shard::table::RangeTable;
use wagtail_sidecar::{
    messages::KnownVersions,
    node_record::{NodeRecord, record_name},
    versioned_table::table_name,
    view::{FLEET_KIND, FleetView},
    watching::WatchRelay,
};

/// Returns the moment at the given number of milliseconds.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Returns the revision with the given number in the first era.
fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

/// Creates a stored object.
fn object(name: &str, number: u64, content: impl Into<Arc<str>>) -> StoredObject {
    StoredObject {
        name: Arc::from(name),
        revision: revision(number),
        content: content.into(),
    }
}

/// Creates the stored object of a node record.
fn record(node: &str, number: u64, ready: bool) -> StoredObject {
    service_record(node, "rooms", number, ready)
}

/// Returns the object with the record of a node whose target belongs to a service.
fn service_record(node: &str, service: &str, number: u64, ready: bool) -> StoredObject {
    let record = NodeRecord {
        node: Arc::from(node),
        zone: Arc::from("a"),
        peers: "127.0.0.1:1".parse().unwrap(),
        service: Arc::from(service),
        slots: 4,
        ready,
        departures: DepartureList::default(),
        crashes: CrashReport::default(),
    };

    object(
        &record_name(node),
        number,
        serde_json::to_string(&record).unwrap(),
    )
}

#[test]
fn an_older_state_never_replaces_a_newer_one() {
    let view = FleetView::default();
    view.apply_object(record("n1", 7, false));
    view.apply_object(record("n1", 5, true));

    assert!(!view.node("n1").unwrap().ready);

    view.apply_list(vec![record("n1", 9, true)], revision(9));
    assert!(view.node("n1").unwrap().ready);
    view.apply_list(Vec::new(), revision(8));
    assert!(view.node("n1").is_some());
}

/// Guards against a view that stays on what the store lost: it returned from a copy, and its revisions
/// are lower than before.
#[test]
fn a_list_of_a_later_era_replaces_what_is_known_and_one_of_an_earlier_era_does_not() {
    let view = FleetView::default();
    view.apply_list(
        vec![record("n1", 9, true), record("n2", 9, true)],
        revision(9),
    );

    let mut returned = record("n1", 5, false);
    returned.revision = StoreRevision::new(1, 5);
    view.apply_list(vec![returned], StoreRevision::new(1, 6));
    assert!(!view.node("n1").unwrap().ready);
    assert!(view.node("n2").is_none());

    view.apply_list(vec![record("n2", 30, true)], revision(30));
    assert!(view.node("n2").is_none());
    assert_eq!(view.versions().fleet, StoreRevision::new(1, 5));
}

/// Guards against a follower that keeps what the store lost: it knows higher revisions of the era
/// before than there are in the present one.
#[test]
fn a_follower_of_an_earlier_era_gets_all_objects() {
    let view = FleetView::default();
    view.apply_list(vec![record("n1", 5, true)], StoreRevision::new(1, 6));

    let changes = view.fleet_changes_after(revision(40)).unwrap();
    assert!(changes.complete);
    assert_eq!(changes.objects.len(), 1);
}

#[test]
fn a_list_without_a_node_and_a_deletion_remove_it() {
    let view = FleetView::default();
    view.apply_list(
        vec![record("n1", 5, true), record("n2", 6, true)],
        revision(6),
    );
    view.apply_list(vec![record("n2", 6, true)], revision(8));
    assert!(view.node("n1").is_none());

    let change = ObjectChange {
        object: record("n2", 9, true),
        deleted: true,
    };
    view.apply_changes(vec![change], revision(9));
    assert!(view.nodes_of("rooms").is_empty());
}

/// Guards against requests that are sent to a node whose target belongs to another service by now.
#[test]
fn a_node_with_a_target_of_another_service_is_listed_there_only() {
    let view = FleetView::default();
    view.apply_object(record("n1", 5, true));
    view.apply_object(record("n2", 6, true));
    view.apply_object(service_record("n1", "agenda", 7, true));
    view.apply_object(record("n2", 8, false));

    let names = |service| -> Vec<(Arc<str>, bool)> {
        let nodes = view.nodes_of(service);
        let names = nodes
            .iter()
            .map(|record| (Arc::clone(&record.node), record.ready));
        names.collect()
    };
    assert_eq!(names("rooms"), [(Arc::from("n2"), false)]);
    assert_eq!(names("agenda"), [(Arc::from("n1"), true)]);
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

/// Guards against a record that takes the place of another node's.
#[test]
fn a_record_counts_only_under_the_name_of_its_node() {
    let view = FleetView::default();
    view.apply_object(record("n1", 5, true));
    let foreign = service_record("n1", "agenda", 6, false);
    view.apply_object(object("node.n2", 6, foreign.content));

    let names = view.nodes();
    assert_eq!(names.len(), 1);
    assert_eq!((&*names[0].service, names[0].ready), ("rooms", true));
}

/// Guards against a node that no follower finds, as another writer has overwritten its record.
#[test]
fn followers_are_told_of_the_last_object_that_could_be_read() {
    let view = FleetView::default();
    view.apply_list(vec![record("n1", 5, true)], revision(5));
    view.apply_list(vec![object("node.n1", 6, "odd")], revision(6));

    assert_eq!(view.unreadable_revision("node.n1"), revision(6));
    let told = view.fleet_changes_after(revision(0)).unwrap();
    assert_eq!(told.revision, revision(6));
    assert_eq!(
        told.objects,
        [record("n1", 5, true), object("node.n1", 6, "")]
    );

    let follower = FleetView::default();
    follower.apply_followed(told);
    assert!(follower.node("n1").unwrap().ready);
    assert_eq!(follower.unreadable_revision("node.n1"), revision(6));

    view.apply_object(record("n1", 7, false));
    assert_eq!(view.unreadable_revision("node.n1"), StoreRevision::ZERO);
    assert!(!view.node("n1").unwrap().ready);
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
        &Arc::from("n9"),
        KnownVersions {
            config: 0,
            fleet: revision(5),
            evacuations: StoreRevision::ZERO,
        },
        at(100),
    );
    assert_eq!(view.fleet_behind_since(), None);

    for (millis, fleet) in [(200, 8), (300, 8)] {
        view.record_peer_versions(
            &Arc::from("n9"),
            KnownVersions {
                config: 0,
                fleet: revision(fleet),
                evacuations: StoreRevision::ZERO,
            },
            at(millis),
        );
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
    view.apply_list(vec![record("n1", 5, true)], revision(12));

    view.record_peer_versions(
        &Arc::from("n9"),
        KnownVersions {
            config: 0,
            fleet: revision(9),
            evacuations: StoreRevision::ZERO,
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
            fleet: revision(20 + step),
            evacuations: StoreRevision::ZERO,
        };
        view.record_peer_versions(&Arc::from("n9"), versions, at(1_000 + step * 80));
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
    view.apply_list(
        vec![record("n1", 5, true), record("n2", 7, true)],
        revision(8),
    );

    assert_eq!(view.fleet_changes_after(revision(8)), None);
    let changed = view.fleet_changes_after(revision(6)).unwrap();
    assert_eq!((changed.revision, changed.complete), (revision(8), false));
    assert_eq!(changed.objects, vec![record("n2", 7, true)]);

    let deletion = ObjectChange {
        object: record("n1", 9, true),
        deleted: true,
    };
    view.apply_changes(vec![deletion], revision(9));
    let changed = view.fleet_changes_after(revision(8)).unwrap();
    assert_eq!((changed.revision, changed.complete), (revision(9), true));

    let follower = FleetView::default();
    follower.apply_list(
        vec![record("n1", 5, true), record("n2", 7, true)],
        revision(8),
    );
    follower.apply_followed(changed);
    assert!(follower.node("n1").is_none());
    assert!(follower.node("n2").is_some());
    assert_eq!(
        follower.fleet_changes_after(revision(8)).unwrap().revision,
        revision(9)
    );
}

/// Guards against the loss of a write: a list that was made before a write of this node arrives
/// after it.
#[test]
fn a_list_does_not_remove_what_was_written_after_it() {
    let view = FleetView::default();
    view.apply_object(record("n1", 9, true));

    view.apply_list(vec![record("n2", 4, true)], revision(8));
    assert!(view.node("n1").is_some());
    view.apply_list(vec![record("n2", 4, true)], revision(10));
    assert!(view.node("n1").is_none());
}

#[test]
fn a_node_that_does_not_watch_or_shuts_down_relays_nothing() {
    Runtime::new().unwrap().block_on(async {
        let view = FleetView::default();
        view.apply_list(vec![record("n1", 5, true)], revision(8));
        let relay = WatchRelay::new(view.clone());
        let wait = Duration::from_millis(20);

        assert_eq!(
            relay.changes_after(FLEET_KIND, revision(0), wait).await,
            None
        );
        relay.set_watched(FLEET_KIND, true);
        let all = relay
            .changes_after(FLEET_KIND, revision(0), wait)
            .await
            .unwrap()
            .unpack()
            .unwrap();
        assert_eq!((all.revision, all.objects.len()), (revision(8), 1));
        let none = relay
            .changes_after(FLEET_KIND, revision(8), wait)
            .await
            .unwrap()
            .unpack()
            .unwrap();
        assert_eq!((none.revision, none.objects.len()), (revision(8), 0));

        let later = relay.clone();
        let stop = async move {
            sleep(wait).await;
            later.stop();
        };
        let waiting = relay.changes_after(FLEET_KIND, revision(8), Duration::from_secs(20));
        let (changes, ()) = join(waiting, stop).await;
        assert_eq!(changes, None);
    });
}

/// Guards against a departure that all nodes forget when the store returns from a copy, while the node of the target is
/// restarted and writes a record without it.
#[test]
fn a_departure_that_the_store_lost_is_known_and_to_be_restored() {
    let life = TargetIncarnation {
        started_ms: 1,
        id: Arc::from("i-1"),
    };
    let mut departures = DepartureList::default();
    departures.add(TargetDeparture::from(&life));
    let known_record = NodeRecord {
        departures,
        ..serde_json::from_str(&record("n1", 1, false).content).unwrap()
    };
    let content = serde_json::to_string(&known_record).unwrap();
    let in_next_era = |number: u64, object: StoredObject| StoredObject {
        revision: StoreRevision::new(1, number),
        ..object
    };
    let view = FleetView::default();
    view.apply_object(object(&record_name("n1"), 9, content.clone()));
    assert!(view.lost_records().is_empty());

    for number in [5, 6] {
        view.apply_object(in_next_era(number, record("n1", 1, true)));
        assert!(view.node("n1").unwrap().departures.covers(&life));
        assert_eq!(view.lost_records(), [Arc::from("n1")]);
    }

    view.apply_object(in_next_era(7, object(&record_name("n1"), 1, content)));
    assert!(view.lost_records().is_empty());
}
