//! The configuration of routes, services and caller limits that an operator activates.

use crate::notice::RequestRate;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// `RequestKind` classifies the requests of a route by whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run at most once.
    NonIdempotent,
    /// An idempotent request with a large response.
    Download,
    /// A request with a large body that may run at most once.
    Upload,
}

impl RequestKind {
    /// Returns whether running the request again has no further effect.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }

    /// Returns whether the requests or their responses are expected to be large.
    pub const fn is_bulk(self) -> bool {
        matches!(self, Self::Download | Self::Upload)
    }
}

/// `RouteDestination` is a service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteDestination {
    /// The name of the service.
    pub service: Arc<str>,
    /// The share of the requests, relative to the weights of the route's other destinations.
    pub weight: u32,
}

/// `RouteSpec` maps requests with a given host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteSpec {
    /// The name of the route.
    pub name: Arc<str>,
    /// The host name that requests must have, in lower case.
    pub host: Arc<str>,
    /// The path prefix. Among the routes of a host, the one with the longest match applies.
    pub prefix: Arc<str>,
    /// Whether the requests may be retried, and whether their responses are large.
    pub kind: RequestKind,
    /// The maximum time that a request may wait for its response.
    pub timeout: Duration,
    /// The target latency: a response within this time is worth the most.
    pub objective: Duration,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The maximum number of targets to which one request may be sent.
    pub max_attempts: u32,
    /// The destinations, of which at least one has a weight above zero.
    pub shares: Vec<RouteDestination>,
}

/// `ServiceEntry` is the operator's configuration of one service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The name, to which routes refer.
    pub name: Arc<str>,
    /// Whether the keys of the service are sharded, with each key held by one target.
    pub keyed: bool,
    /// The maximum number of connections that one target accepts.
    pub connections: u32,
    /// The time for which a key is slow after it moved to another target without its state.
    pub warm_up: Duration,
    /// The rate of requests that a cold target tolerates; `None` if it needs no protection.
    pub cold_rate: Option<RequestRate>,
}

/// `EntryKind` is what an entry of a configuration describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EntryKind {
    /// A route.
    Route,
    /// A service.
    Service,
    /// The limits on callers.
    Limits,
}

/// `UnreadEntry` is an entry of a configuration that could not be read. The entry of the same kind and name
/// of the version before stays in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnreadEntry {
    /// What the entry describes.
    pub kind: EntryKind,
    /// The name of the entry; empty for the limits.
    pub name: Arc<str>,
}

/// `CallerLimits` bounds the size and duration of what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// The maximum time that a caller may take to send the request head.
    pub head_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// `RoutingConfig` is one version of the complete routing configuration.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct RoutingConfig {
    /// The version. A configuration replaces any with a lower version.
    pub version: u64,
    /// The routes of all hosts.
    pub routes: Vec<RouteSpec>,
    /// The services that routes may send requests to.
    pub services: Vec<ServiceEntry>,
    /// The limits on what callers send.
    pub limits: CallerLimits,
    /// The entries that could not be read.
    pub unread: Vec<UnreadEntry>,
}

impl RoutingConfig {
    /// Returns the configuration of the service called `name`, if there is one.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.iter().find(|entry| &*entry.name == name)
    }
}
