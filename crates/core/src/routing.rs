//! The routes, services and limits that an operator puts in force.

use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// `RequestKind` tells what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// An idempotent request.
    Idempotent,
    /// A request that may run once at most.
    NonIdempotent,
    /// An idempotent request with a large answer.
    Download,
}

impl RequestKind {
    /// Returns whether a repeat has no further effect.
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::NonIdempotent)
    }
}

/// `RouteDestination` is one destination of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteDestination {
    /// The service.
    pub service: Arc<str>,
    /// The share of the requests, relative to the other destinations.
    pub weight: u32,
}

/// `RouteSpec` sends the requests of a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteSpec {
    /// The name of the route.
    pub name: Arc<str>,
    /// The host, in lower case.
    pub host: Arc<str>,
    /// The path prefix; the longest match of a host applies.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// The most targets to which one request may be sent.
    pub max_attempts: u32,
    /// The destinations; at least one with a weight above zero.
    pub shares: Vec<RouteDestination>,
}

/// `ServiceEntry` is what the operator says of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The name.
    pub name: Arc<str>,
    /// Whether each key is held by one target.
    pub keyed: bool,
    /// The connections that one target accepts.
    pub connections: u32,
    /// The time for which keys that moved without their state are slow.
    pub warm_up: Duration,
}

/// `CallerLimits` bound what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request in bytes.
    pub head_bytes: usize,
    /// The largest body of a request in bytes.
    pub body_bytes: usize,
    /// The time to send the head.
    pub head_timeout: Duration,
    /// The time for which a connection may stay idle.
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

/// `RoutingConfig` is one version of the whole configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct RoutingConfig {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceEntry>,
    /// The limits of callers.
    pub limits: CallerLimits,
}

impl RoutingConfig {
    /// Returns the entry of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.iter().find(|entry| &*entry.name == name)
    }
}
