//! Counters, gauges and timers, sent as statsd.

use crate::errors::Result;
use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient, StatsdClientBuilder, Timed,
};
use std::{
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
    time::Duration,
};
use wagtail_core::ids::NodeName;

/// The prefix of each metric.
const PREFIX: &str = "wagtail";

/// `MetricSink` sends metrics, tagged with the node. A metric that cannot be sent is dropped, as
/// the path of a request must not wait for it.
#[derive(Debug)]
pub struct MetricSink {
    /// The client of the metrics library.
    client: StatsdClient,
}

impl MetricSink {
    /// Makes a sink that drops every metric.
    pub fn new(node: &NodeName) -> Self {
        Self::build(StatsdClient::builder(PREFIX, NopMetricSink), node)
    }

    /// Makes a sink that sends to a statsd server over UDP.
    ///
    /// # Errors
    ///
    /// Fails when the socket cannot be opened.
    pub fn with_statsd(address: SocketAddr, node: &NodeName) -> Result<Self> {
        let local = match address {
            SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        };
        let socket = UdpSocket::bind(local)?;
        // A full socket buffer drops the metric.
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;

        Ok(Self::build(StatsdClient::builder(PREFIX, sink), node))
    }

    /// Counts events.
    pub fn count(&self, name: &str, events: i64) {
        self.client.count_with_tags(name, events).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }

    /// Records a duration, which is sent in milliseconds.
    pub fn time(&self, name: &str, took: Duration) {
        self.client.time_with_tags(name, took).send();
    }

    /// Sends what is buffered.
    pub fn flush(&self) {
        // A metric that cannot be sent is dropped.
        let _sent = self.client.flush();
    }

    /// Makes a sink whose metrics carry the node.
    fn build(builder: StatsdClientBuilder, node: &NodeName) -> Self {
        let client = builder
            .with_tag("node", node.as_str())
            .with_error_handler(|_dropped| {})
            .build();

        Self { client }
    }
}
