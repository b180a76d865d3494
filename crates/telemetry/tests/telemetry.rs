//! Tests of the logs, the metrics and the latency histograms.

use assert_matches::assert_matches;
use std::{
    io::{self, Write},
    net::UdpSocket,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tracing_subscriber::fmt::MakeWriter;
use wagtail_core::{
    ids::{NodeName, TenantName},
    service::WorkClass,
};
use wagtail_telemetry::{
    TelemetryError,
    latency::{LatencyRecorder, OTHER_TENANTS},
    logs::{LogQueue, log_subscriber},
    metrics::MetricSink,
};

/// `SharedText` is a log writer that collects the text in memory.
#[derive(Debug, Clone, Default)]
struct SharedText(Arc<Mutex<Vec<u8>>>);

impl SharedText {
    /// Returns the text written so far.
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for SharedText {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for SharedText {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Returns a valid tenant name.
fn tenant(name: &str) -> TenantName {
    TenantName::new(name).unwrap()
}

/// Returns the name of the node.
fn node() -> NodeName {
    NodeName::new("vm-1").unwrap()
}

#[test]
fn an_event_is_one_line_of_key_value_pairs() {
    let text = SharedText::default();
    let subscriber = log_subscriber("info", text.clone()).unwrap();

    tracing::subscriber::with_default(subscriber, || {
        tracing::info!(request_id = "r 1", status = 200, "request answered\nwhole");
        tracing::debug!("below the filter");
    });

    let text = text.text();
    assert_eq!(text.lines().count(), 1, "{text}");
    for pair in ["level=info", "request_id=\"r 1\"", "status=200"] {
        assert!(text.contains(pair), "{text}");
    }
}

#[test]
fn a_malformed_filter_is_an_error() {
    let result = log_subscriber("wagtail=loud", SharedText::default());

    assert_matches!(result.err(), Some(TelemetryError::Filter { .. }));
}

#[test]
fn metrics_reach_the_statsd_server_with_the_node_tag() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    let sink = MetricSink::with_statsd(server.local_addr().unwrap(), &node()).unwrap();

    sink.count("requests", 3);
    sink.gauge("queue", 7);
    sink.time("renewal", Duration::from_millis(12));
    sink.flush();

    let mut buffer = [0; 2_048];
    let length = server.recv(&mut buffer).unwrap();
    let lines: Vec<&str> = str::from_utf8(&buffer[..length]).unwrap().lines().collect();
    assert_eq!(
        lines,
        [
            "wagtail.requests:3|c|#node:vm-1",
            "wagtail.queue:7|g|#node:vm-1",
            "wagtail.renewal:12|ms|#node:vm-1"
        ]
    );
}

#[test]
fn a_sink_without_a_server_drops_metrics() {
    let sink = MetricSink::new(&node());

    sink.count("requests", 1);
    sink.flush();
}

#[test]
fn each_tenant_and_class_has_its_own_quantiles() {
    let mut recorder = LatencyRecorder::new();
    for millis in 1..=1_000 {
        recorder.record(
            &tenant("malla"),
            WorkClass::Short,
            Duration::from_millis(millis),
        );
    }
    recorder.record(&tenant("malla"), WorkClass::Long, Duration::from_secs(9));

    let snapshot = recorder.snapshot();

    assert_eq!(snapshot.entries.len(), 2);
    let short = &snapshot.entries[0];
    assert_eq!((&*short.tenant, short.class), ("malla", WorkClass::Short));
    assert_eq!(short.count, 1_000);
    // Two significant digits keep a value within one percent.
    assert!((495_000..=505_000).contains(&short.p50_us), "{short:?}");
    assert!((980_000..=1_000_000).contains(&short.p99_us), "{short:?}");
    assert_eq!(snapshot.entries[1].class, WorkClass::Long);
}

#[test]
fn tenants_beyond_the_limit_share_one_entry() {
    let mut recorder = LatencyRecorder::new().with_limit(2);
    for name in ["a", "b", "c", "d", "a"] {
        recorder.record(&tenant(name), WorkClass::Short, Duration::from_millis(5));
    }

    let counts: Vec<(String, u64)> = recorder
        .snapshot()
        .entries
        .iter()
        .map(|entry| (entry.tenant.to_string(), entry.count))
        .collect();

    assert_eq!(
        counts,
        [
            (String::from("a"), 2),
            (String::from("b"), 1),
            (String::from(OTHER_TENANTS), 2)
        ]
    );
}

#[test]
fn a_latency_beyond_the_maximum_is_clamped() {
    let mut recorder = LatencyRecorder::new();
    recorder.record(&tenant("a"), WorkClass::Short, Duration::MAX);

    let entry = recorder.snapshot().entries[0].clone();

    assert_eq!(entry.count, 1);
    assert!(entry.max_us >= 600_000_000, "{entry:?}");
}

/// `StalledWriter` is a log output that blocks for 200 ms in each call and accepts no byte.
struct StalledWriter;

impl io::Write for StalledWriter {
    fn write(&mut self, _buf: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(200));

        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_log_output_drops_lines_without_blocking() {
    let (queue, mut lines) = LogQueue::new(StalledWriter);

    let began = Instant::now();
    for _ in 0..10_000 {
        io::Write::write_all(&mut lines, b"event=request-ended\n").unwrap();
    }

    assert!(began.elapsed() < Duration::from_millis(200));
    assert!(queue.dropped_lines() > 5_000, "{}", queue.dropped_lines());
    // Dropping the queue would wait for the stalled writer to write the remaining lines.
    std::mem::forget(queue);
}
