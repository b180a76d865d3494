//! What a node is told at its start.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// `SidecarSettings` are the addresses and bounds of one node.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarSettings {
    /// The name of the node, unique among all VMs that ever exist.
    pub node: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The service of the target on this VM.
    pub service: Arc<str>,
    /// The address of the target on this VM.
    pub target: SocketAddr,
    /// The address of this VM.
    pub own_address: IpAddr,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the question whether the node is ready.
    pub readiness: SocketAddr,
    /// The address for the target's heartbeats.
    pub local: SocketAddr,
    /// The address for the other nodes.
    pub peers: SocketAddr,
    /// The address for collectors of metrics.
    pub metrics: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The time between two heartbeats of a target.
    pub heartbeat: Duration,
    /// The longest time for which a target may be granted keys.
    pub max_hold: Duration,
    /// The time for which a leaving target may still receive requests.
    pub drain: Duration,
    /// The time from the signal to stop to the forced end.
    pub grace: Duration,
    /// The retries of all nodes together, as a share of the requests.
    pub retry_ratio: f32,
    /// The retries of all nodes together that come on top, in the time of the budget.
    pub retry_slack: f32,
}
