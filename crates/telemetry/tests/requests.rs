//! Tests of the request counters and histograms.

use std::time::Duration;
use wagtail_telemetry::requests::{RequestClass, RequestMetrics};

/// Returns a request class of a service.
fn class(service: &str) -> RequestClass {
    RequestClass {
        service: service.to_owned(),
        kind: "idempotent".to_owned(),
        priority: 1,
    }
}

#[test]
fn requests_are_counted_by_class_and_status() {
    let metrics = RequestMetrics::new();
    metrics.count_request(class("agenda"), 200, Duration::from_millis(30));
    metrics.count_request(class("agenda"), 200, Duration::from_millis(50));
    metrics.count_request(class("agenda"), 503, Duration::from_millis(1));
    metrics.count_reason("wait-too-long");
    metrics.count_unmatched(true, true);
    metrics.count_unmatched(true, false);
    metrics.count_unmatched(true, false);
    metrics.gauge("slots", "Slots of the target").set(6.0);

    let text = metrics.text().unwrap();
    for line in [
        r#"wagtail_requests_total{service="agenda",kind="idempotent",priority="1",status="200"} 2"#,
        r#"wagtail_requests_total{service="agenda",kind="idempotent",priority="1",status="503"} 1"#,
        r#"wagtail_request_seconds_count{service="agenda",kind="idempotent",priority="1"} 3"#,
        r#"wagtail_reasons_total{reason="wait-too-long"} 1"#,
        r#"wagtail_unmatched_responses_total{states="refusal",names="another"} 1"#,
        r#"wagtail_unmatched_responses_total{states="refusal",names="none"} 2"#,
        "wagtail_slots 6.0",
    ] {
        assert!(text.lines().any(|known| known == line), "{line} in\n{text}");
    }
}

#[test]
fn the_number_of_classes_is_bounded() {
    let metrics = RequestMetrics::new();
    for index in 0..1_000 {
        let service = format!("service-{index}");
        metrics.count_request(class(&service), 200, Duration::from_millis(1));
    }

    let text = metrics.text().unwrap();
    let classes = text
        .lines()
        .filter(|line| line.starts_with("wagtail_request_seconds_count"))
        .count();
    assert_eq!(classes, 65);
    assert!(text.contains(r#"service="other""#));
}
