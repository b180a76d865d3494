//! Counters, gauges and timers, sent to a statsd server.

use crate::errors::Result;
use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient, StatsdClientBuilder, Timed,
};
use std::{
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
    time::Duration,
};
use wagtail_core::ids::NodeName;

/// The prefix of every metric name.
const PREFIX: &str = "wagtail";

/// `MetricSink` sends metrics that are tagged with the node name. Metrics that cannot be sent are
/// dropped, because a request must not wait for them.
#[derive(Debug)]
pub struct MetricSink {
    /// The statsd client, which adds the prefix and the node tag.
    client: StatsdClient,
}

impl MetricSink {
    /// Creates a sink that drops every metric.
    pub fn new(node: &NodeName) -> Self {
        Self::build(StatsdClient::builder(PREFIX, NopMetricSink), node)
    }

    /// Creates a sink that sends to a statsd server over UDP.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be opened.
    pub fn with_statsd(address: SocketAddr, node: &NodeName) -> Result<Self> {
        let local = match address {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        let socket = UdpSocket::bind(local)?;
        // With a full socket buffer the metric is dropped instead of blocking the caller.
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;

        Ok(Self::build(StatsdClient::builder(PREFIX, sink), node))
    }

    /// Adds a number of events to a counter.
    pub fn count(&self, name: &str, events: i64) {
        self.client.count_with_tags(name, events).send();
    }

    /// Sets a gauge to a value.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }

    /// Records a duration, which is sent in milliseconds.
    pub fn time(&self, name: &str, took: Duration) {
        self.client.time_with_tags(name, took).send();
    }

    /// Sends the buffered metrics.
    pub fn flush(&self) {
        // Metrics that cannot be sent are dropped.
        let _sent = self.client.flush();
    }

    /// Creates a sink that tags its metrics with the node name and ignores send errors.
    fn build(builder: StatsdClientBuilder, node: &NodeName) -> Self {
        let client = builder
            .with_tag("node", node.as_str())
            .with_error_handler(|_dropped| {})
            .build();

        Self { client }
    }
}
