//! Tests of the parts of the target stand-in, in virtual time.

use assert_matches::assert_matches;
use http::HeaderMap;
use std::sync::Arc;
use target_standin::{
    execution::{ExecutionEntry, ExecutionLog},
    fields::RequestFields,
    grants::{GrantBatch, GrantTable, SliceGrant},
    health::{HealthMonitor, HealthReport},
    slots::{SlotClaim, SlotPool},
};

/// Creates a renewal of one grant for slice 3.
fn renewal(epoch: u64, valid_ms: u64, sent_us: Option<u64>) -> GrantBatch {
    GrantBatch {
        grants: vec![SliceGrant {
            slice: 3,
            epoch,
            valid_ms,
        }],
        sent_us,
    }
}

/// Creates the header fields of a request.
fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        map.insert(*name, value.parse().unwrap());
    }

    map
}

#[test]
fn a_grant_ends_and_can_be_revoked() {
    let mut table = GrantTable::new();
    table.renew(&renewal(5, 100, None), 1_000);

    assert!(table.allows(3, 5, 100_999));
    assert!(!table.allows(3, 5, 101_000));
    assert!(!table.allows(3, 4, 2_000));
    assert!(!table.allows(4, 5, 2_000));

    table.renew(&renewal(5, 0, None), 2_000);
    assert!(!table.allows(3, 5, 2_000));
}

#[test]
fn an_older_epoch_is_refused_and_changes_nothing() {
    let mut table = GrantTable::new();
    table.renew(&renewal(5, 100, None), 0);

    let report = table.renew(&renewal(4, 900, None), 10);

    assert_eq!(report.refused.len(), 1);
    assert_eq!(report.refused[0].epoch, 5);
    assert!(table.allows(3, 5, 50));
    assert!(!table.allows(3, 4, 50));
}

#[test]
fn a_grant_that_waited_in_a_socket_is_shorter() {
    let mut table = GrantTable::new();
    table.renew(&renewal(5, 100, Some(1_000)), 90_000);

    assert!(table.allows(3, 5, 100_999));
    assert!(!table.allows(3, 5, 101_000));
}

#[test]
fn a_request_that_waited_in_a_socket_has_less_time() {
    let pairs = [
        ("wagtail-request-id", "r1"),
        ("wagtail-operation", "book"),
        ("wagtail-time-left-ms", "500"),
        ("wagtail-sent-us", "1000"),
    ];
    let fields = RequestFields::read(&headers(&pairs), 400_000).unwrap();

    assert_eq!(fields.deadline_us, Some(501_000));
    assert_eq!(fields.left_us(400_000, u64::MAX), 101_000);
    assert_eq!(fields.left_us(600_000, u64::MAX), 0);
}

#[test]
fn a_keyed_request_needs_its_slice_and_epoch() {
    let pairs = [
        ("wagtail-request-id", "r1"),
        ("wagtail-operation", "book"),
        ("wagtail-key", "k"),
        ("wagtail-slice", "1"),
    ];

    assert_matches!(RequestFields::read(&headers(&pairs), 0), Err(_));
}

#[test]
fn slots_go_to_waiting_requests_in_order_of_arrival() {
    let pool = SlotPool::new(1, 2);
    let SlotClaim::Taken(first) = pool.claim() else {
        panic!("the slot is free");
    };
    let SlotClaim::Queued(mut second) = pool.claim() else {
        panic!("the queue has room");
    };
    let SlotClaim::Queued(mut third) = pool.claim() else {
        panic!("the queue has room");
    };
    assert_matches!(pool.claim(), SlotClaim::Full);

    drop(first);
    let held = second.try_recv().unwrap();
    assert_matches!(held, Some(_));
    assert_matches!(third.try_recv(), Ok(None));

    drop(held);
    assert_matches!(third.try_recv(), Ok(Some(_)));
}

#[test]
fn a_request_that_gave_up_takes_no_slot() {
    let pool = SlotPool::new(1, 2);
    let first = pool.claim();
    let second = pool.claim();

    // The slot goes to the second request, which never takes it.
    drop(first);
    drop(second);

    assert_matches!(pool.claim(), SlotClaim::Taken(_));
}

#[test]
fn a_health_report_lags_and_can_be_falsified() {
    let busy = HealthReport {
        healthy: false,
        load: 6,
        slots: 6,
    };
    let idle = HealthReport { load: 0, ..busy };
    let mut monitor = HealthMonitor::new();

    assert_eq!(monitor.report(idle, 0, false), idle);
    assert_eq!(monitor.report(busy, HealthMonitor::LAG_US - 1, false), idle);
    assert_eq!(monitor.report(busy, HealthMonitor::LAG_US, false), busy);
    assert!(monitor.report(busy, HealthMonitor::LAG_US, true).healthy);
}

#[test]
fn the_log_file_holds_each_start_and_each_end() {
    let path = std::env::temp_dir().join(format!("target-standin-{}.log", std::process::id()));
    let mut log = ExecutionLog::new().with_file(&path).unwrap();
    let entry = ExecutionEntry {
        id: Arc::from("r1"),
        key: None,
        slice: None,
        epoch: None,
        operation: Arc::from("book"),
        started_us: 10,
        ended_us: None,
        cancelled: false,
        target: Arc::from("t"),
        process: 1,
        run: 0,
    };

    let run = log.start(entry.clone());
    log.end(run, 25, true);

    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    let lines: Vec<ExecutionEntry> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(lines[0], entry);
    assert_eq!(lines[1].ended_us, Some(25));
    assert!(lines[1].cancelled);
    assert_eq!(log.entries().len(), 1);
}
