//! Tests of the report on log lines, for the most part on those that the program itself writes.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};
use wagtail_core::{objects::StoreRevision, routing::RequestKind};
use wagtail_logs::{LogReport, ReportOptions, plot::draw_report};
use wagtail_net::clock;
use wagtail_sidecar::{
    messages::DispatchHead,
    outcomes::{DispatchEnd, RequestEnd, RequestRecorder},
};
use wagtail_telemetry::logs::log_subscriber;

/// `LineBuffer` collects what is logged.
#[derive(Debug, Clone, Default)]
struct LineBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LineBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);

        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the lines that a recorder logs.
fn logged(record: impl FnOnce(&RequestRecorder)) -> String {
    let buffer = LineBuffer::default();
    let writer = buffer.clone();
    let subscriber = log_subscriber("info", move || writer.clone()).unwrap();
    tracing::subscriber::with_default(subscriber, || record(&RequestRecorder::default()));

    String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap()
}

/// Returns the head of a request on the route `items`.
fn head(id: &str) -> DispatchHead {
    DispatchHead {
        id: Arc::from(id),
        service: Arc::from("books"),
        key: Some(7),
        route: Arc::from("items"),
        kind: RequestKind::Idempotent,
        priority: 1,
        objective_ms: 400,
        elapsed_ms: 0,
        time_left_ms: 1_000,
        caller_service: Arc::from("shop"),
        method: Arc::from("GET"),
        path: Arc::from("/items"),
        headers: Vec::new(),
        notice: None,
        accepted_wait_ms: None,
        is_repeat: false,
    }
}

/// Records the end of a request at its caller's node.
fn end_request(recorder: &RequestRecorder, id: &str, status: u16, reason: Option<&str>) {
    recorder.request_ended(&RequestEnd {
        dispatch_head: &head(id),
        started_at: clock::now(),
        status,
        reason,
        asked: "vm-1,vm-2",
        config: 3,
        fleet: StoreRevision::ZERO,
    });
}

/// Records the refusal of a request at the node of a target.
fn refuse_dispatch(recorder: &RequestRecorder, id: &str, outcome: &str) {
    recorder.dispatch_ended(
        &DispatchEnd {
            dispatch_head: &head(id),
            outcome,
            waited: Duration::from_millis(12),
            ran: None,
            running: 9,
            waiting: 4,
            service_ms: 80.0,
        },
        true,
    );
}

/// Returns the report on logs, each with the name of its node.
fn report_on(logs: &[(&str, &str)], options: ReportOptions) -> LogReport {
    let mut report = LogReport::new(options);
    for (node, lines) in logs {
        lines.lines().for_each(|line| report.add(line, node));
    }
    report.finish();

    report
}

/// Guards against a change of the log lines that the report does not understand any more.
#[test]
fn the_lines_that_nodes_write_are_counted_by_fate_and_reason() {
    let lines = logged(|recorder| {
        end_request(recorder, "a", 503, Some("wait-too-long"));
        end_request(recorder, "b", 503, Some("wait-too-long"));
        end_request(recorder, "c", 504, Some("timeout"));
        end_request(recorder, "d", 500, None);
        recorder.request_rejected("e", "/x y", 404, "no-route", None);
        refuse_dispatch(recorder, "a", "wait-too-long");
        recorder.dispatch_failed(&head("f"), "target-broke-off", "reset \"by\" peer");
    });
    let report = report_on(&[("vm-1", &lines)], ReportOptions::default());

    assert_eq!(
        (report.lines.events, report.lines.malformed),
        (7, 0),
        "{lines}"
    );
    assert_eq!((report.requests.refused, report.requests.failed), (3, 2));
    assert_eq!(report.routes["items"].refused, 2);
    assert_eq!(report.services["books"].unserved(), 4);
    assert_eq!(report.targets["vm-1"].unserved(), 2);
    assert_eq!(report.windows.len(), 1);
    let first = &report.reasons()[0];
    assert_eq!(
        (first.key.reason.as_str(), first.count),
        ("wait-too-long", 2)
    );
}

/// Guards against a report that fails on, or counts, what is no line of a node or was cut off in the middle.
#[test]
fn lines_that_are_damaged_or_of_others_are_counted_apart() {
    let whole = logged(|recorder| end_request(recorder, "a", 503, Some("wait-too-long")));
    let whole = whole.trim_end();
    let mut text = String::from("kernel: link is up\nts=now event=request-ended\n\n");
    for length in 0..whole.len() {
        text += &whole[..length];
        text += "\n";
    }
    let report = report_on(&[("vm-1", &text)], ReportOptions::default());

    assert_eq!(report.lines.read, 3 + whole.len() as u64);
    let lines = report.lines;
    assert_eq!(lines.read, lines.events + lines.foreign + lines.malformed);
    assert!(lines.malformed > 1);
}

/// Guards against a table that grows with the number of routes or nodes in the logs.
#[test]
fn tables_are_bounded_and_count_the_rest_together() {
    let line = logged(|recorder| end_request(recorder, "a", 503, Some("wait-too-long")));
    let options = ReportOptions {
        max_rows: 10,
        ..ReportOptions::default()
    };
    let mut report = LogReport::new(options);
    for node in 0..1_000 {
        let line = line
            .trim_end()
            .replace("route=items", &format!("route=r{node}"));
        report.add(&line, &format!("vm-{node}"));
    }
    report.finish();

    assert_eq!((report.routes.len(), report.callers.len()), (11, 11));
    let sum: u64 = report.routes.values().map(|counts| counts.refused).sum();
    assert_eq!(sum, 1_000);
}

/// Guards against a way that lacks a node, or is in the order of the files.
#[test]
fn the_way_of_a_request_is_in_order_of_time() {
    let caller = logged(|recorder| {
        end_request(recorder, "a17", 503, Some("wait-too-long"));
        end_request(recorder, "b", 503, Some("wait-too-long"));
    });
    let target = logged(|recorder| refuse_dispatch(recorder, "a17.1", "wait-too-long"));
    let options = ReportOptions {
        request_id: Some("a17".to_owned()),
        ..ReportOptions::default()
    };
    // The target's line was written last, and read first.
    let report = report_on(&[("vm-2", &target), ("vm-1", &caller)], options);

    let nodes: Vec<&str> = report.steps.iter().map(|step| step.node.as_str()).collect();
    assert_eq!(nodes, ["vm-1", "vm-2"]);
    assert!(report.steps[0].text.starts_with("event=request-ended"));
}

/// Guards against a node that is not told by a prefix, which collectors of logs put before the line.
#[test]
fn a_prefix_names_the_node() {
    let line = logged(|recorder| end_request(recorder, "a", 503, Some("wait-too-long")));
    let report = report_on(
        &[("all", &format!("  0.17 vm-9 {line}"))],
        ReportOptions::default(),
    );

    assert_eq!(report.callers.keys().collect::<Vec<_>>(), ["vm-9"]);
}

/// Guards against an image without curves, and against a report without requests that cannot be drawn.
#[test]
fn reports_are_drawn() {
    let lines = logged(|recorder| end_request(recorder, "a", 503, Some("wait-too-long")));
    for lines in [lines.as_str(), ""] {
        let report = report_on(&[("vm-1", lines)], ReportOptions::default());
        let image = draw_report(&report).unwrap();
        assert!(image.starts_with("<svg") && image.trim_end().ends_with("</svg>"));
    }
}
