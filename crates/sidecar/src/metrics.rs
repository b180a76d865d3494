//! The handler that serves the node's metrics to collectors.

use crate::{outcomes::RequestRecorder, proxy::TargetProxy, relay::StoreRelay, view::FleetView};
use hyper::{Request, Response, StatusCode};
use prometheus_client::metrics::gauge::Gauge;
use std::{fmt::Debug, rc::Rc, sync::atomic::AtomicU64};
use wagtail_core::{notice::RequestRate, ports::LocalFuture};
use wagtail_net::{
    clock,
    pipeline::PipelineCounts,
    request_body::RequestBody,
    server::{HttpHandler, ServerBody, whole_body},
};

/// `DroppedLines` counts the log lines that were dropped because their reader was too slow.
pub trait DroppedLines: Debug {
    /// Returns the number of lines dropped since the start.
    fn dropped_lines(&self) -> u64;
}

/// `StateGauge` is a gauge with a floating-point value.
type StateGauge = Gauge<f64, AtomicU64>;

/// `StateGauges` holds the gauges of the node's state, which are set on each collection.
#[derive(Debug)]
struct StateGauges {
    slots: StateGauge,
    learned_slots: StateGauge,
    pace: StateGauge,
    running: StateGauge,
    waiting: StateGauge,
    limit: StateGauge,
    config: StateGauge,
    unread_entries: StateGauge,
    fleet: StateGauge,
    nodes: StateGauge,
    store_silence: StateGauge,
    evacuated_zones: StateGauge,
    cold_limit: StateGauge,
    skipped_lines: StateGauge,
    dropped_lines: StateGauge,
    pipelined_requests: StateGauge,
    pipeline_depth: StateGauge,
    body_bytes: StateGauge,
    memory_refusals: StateGauge,
}

/// `MetricsHandler` serves the metrics of requests and the state of the node as text.
#[derive(Debug)]
pub struct MetricsHandler {
    recorder: Rc<RequestRecorder>,
    view: FleetView,
    proxy: TargetProxy,
    relay: StoreRelay,
    pipeline: PipelineCounts,
    lines: Rc<dyn DroppedLines>,
    gauges: StateGauges,
}

impl MetricsHandler {
    /// Creates the handler and registers its gauges with the recorder's metrics.
    pub fn new(
        recorder: Rc<RequestRecorder>,
        view: FleetView,
        proxy: TargetProxy,
        relay: StoreRelay,
        pipeline: PipelineCounts,
        lines: Rc<dyn DroppedLines>,
    ) -> Self {
        let gauge = |name, help| recorder.metrics().gauge(name, help);
        let gauges = StateGauges {
            slots: gauge("slots", "Requests that the target runs at a time"),
            learned_slots: gauge(
                "learned_slots",
                "Requests that the target handles well at a time",
            ),
            pace: gauge(
                "stated_pace",
                "Percent of its normal time that work takes on this VM now, 100 if none is stated",
            ),
            running: gauge("running", "Requests that run at the target"),
            waiting: gauge("waiting", "Requests that wait for the target"),
            limit: gauge(
                "target_limit",
                "Requests per second that the target accepts, infinite without a limit",
            ),
            config: gauge("config_version", "Version of the configuration in force"),
            unread_entries: gauge(
                "config_entries_unread",
                "Entries of the configuration in force that could not be read",
            ),
            fleet: gauge("fleet_revision", "Revision of the newest known object"),
            nodes: gauge("known_nodes", "Nodes with a record"),
            store_silence: gauge(
                "store_silence_seconds",
                "Time since the store last answered a call, itself or through a peer",
            ),
            evacuated_zones: gauge("evacuated_zones", "Zones that get no requests"),
            cold_limit: gauge(
                "cold_limit",
                "Requests per second that the target gets while it is cold, infinite when warm",
            ),
            skipped_lines: gauge("log_lines_skipped", "Lines of failures beyond their rate"),
            dropped_lines: gauge("log_lines_dropped", "Lines lost to a slow reader"),
            pipelined_requests: gauge(
                "pipelined_requests",
                "Requests read while another one of their connection was in flight",
            ),
            pipeline_depth: gauge(
                "pipeline_depth_max",
                "Most requests in flight on one connection since the last collection",
            ),
            body_bytes: gauge("body_bytes", "Bytes of memory that are reserved for bodies"),
            memory_refusals: gauge(
                "memory_refusals",
                "Bodies that found no room in memory since the start",
            ),
        };

        Self {
            recorder,
            view,
            proxy,
            relay,
            pipeline,
            lines,
            gauges,
        }
    }

    /// Sets the gauges and returns all metrics as text.
    #[expect(
        clippy::cast_precision_loss,
        reason = "versions and counts are far below 2^52"
    )]
    fn text(&self) -> wagtail_telemetry::Result<String> {
        let (load, versions) = (self.proxy.load(), self.view.versions());
        let gauges = &self.gauges;

        gauges.slots.set(f64::from(self.proxy.slots()));
        gauges
            .learned_slots
            .set(f64::from(self.proxy.learned_slots()));
        gauges.pace.set(f64::from(self.proxy.stated_pace()));
        gauges.running.set(f64::from(load.running));
        gauges.waiting.set(f64::from(load.waiting));
        let limit = self.proxy.limit();
        gauges
            .limit
            .set(limit.map_or(f64::INFINITY, RequestRate::per_second));
        gauges.config.set(versions.config as f64);
        let unread = self.view.hosts().map_or(0, |hosts| hosts.unread_entries());
        gauges.unread_entries.set(unread as f64);
        gauges.fleet.set(versions.fleet.number as f64);
        gauges.nodes.set(self.view.nodes().len() as f64);
        let silence = clock::now().since(self.relay.reached_at());
        gauges.store_silence.set(silence.as_secs_f64());
        let evacuated = self.view.evacuations().zone_count();
        gauges.evacuated_zones.set(evacuated as f64);
        let cold_limit = self.proxy.cold_limit();
        gauges
            .cold_limit
            .set(cold_limit.map_or(f64::INFINITY, RequestRate::per_second));
        let skipped = self.recorder.skipped_lines();
        gauges.skipped_lines.set(skipped as f64);
        gauges.dropped_lines.set(self.lines.dropped_lines() as f64);

        let pipelined = self.pipeline.requests();
        gauges.pipelined_requests.set(pipelined as f64);
        let depth = self.pipeline.take_max_depth();
        gauges.pipeline_depth.set(depth as f64);
        let memory = self.proxy.memory();
        gauges.body_bytes.set(memory.held() as f64);
        gauges.memory_refusals.set(memory.refusals() as f64);

        self.recorder.metrics().text()
    }
}

impl HttpHandler for MetricsHandler {
    fn handle(&self, _request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>> {
        let response = match self.text() {
            Ok(text) => Response::new(whole_body(text)),
            Err(error) => {
                let mut response = Response::new(whole_body(error.to_string()));
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }
        };

        Box::pin(std::future::ready(response))
    }
}
