//! The settings that a node gets at its start.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// `SidecarSettings` holds the identity, the addresses and the time limits of one node.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarSettings {
    /// The name of the node, unique among all VMs that ever exist.
    pub node: Arc<str>,
    /// The availability zone of this VM.
    pub zone: Arc<str>,
    /// The service of the target on this VM.
    pub service: Arc<str>,
    /// The address on which the target on this VM accepts requests.
    pub target: SocketAddr,
    /// The IP address of this VM.
    pub own_address: IpAddr,
    /// The address to listen on for requests of callers.
    pub callers: SocketAddr,
    /// The address to listen on for readiness checks.
    pub readiness: SocketAddr,
    /// The address to listen on for the target's heartbeats.
    pub local: SocketAddr,
    /// The address to listen on for the other nodes.
    pub peers: SocketAddr,
    /// The address to listen on for collectors of metrics; `None` serves no metrics.
    pub metrics: Option<SocketAddr>,
    /// The rate of the network link of this VM in megabits per second.
    pub link_mbps: f64,
    /// The memory that the process may use, in bytes; `None` if no limit is stated.
    pub memory: Option<u64>,
    /// Whether the node learns how many requests its target handles well, below the slots that it states.
    pub learns_capacity: bool,
    /// Whether callers send further requests on a connection before the first is answered.
    pub pipelining: bool,
    /// The time after which a zone that is to be evacuated gets no requests; `None` if zones are not
    /// evacuated.
    pub evacuation: Option<Duration>,
    /// The factor on the rate that a cold target tolerates, for the most requests in a second.
    pub cold_factor: f64,
    /// The requests in a second that a cold target may get on top of that.
    pub cold_slack: f64,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The interval between two heartbeats of a target.
    pub heartbeat: Duration,
    /// The maximum time for which one grant of keys is valid.
    pub max_hold: Duration,
    /// The time for which a target that announced that it is leaving may still receive requests.
    pub drain: Duration,
    /// The time after a target first named a limit from which the limit has to hold.
    pub limit_grace: Duration,
    /// The time from the signal to shut down until the forced end of the process.
    pub grace: Duration,
    /// The maximum retries of all nodes together, as a fraction of the requests.
    pub retry_ratio: f32,
    /// The number of retries that all nodes together may make on top of `retry_ratio`, in the time
    /// of the budget.
    pub retry_slack: f32,
}
