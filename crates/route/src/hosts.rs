//! Route lookup by host and path prefix, and the weighted choice among a route's services.

use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::{
    routing::{CallerLimits, EntryKind, RouteSpec, RoutingConfig, ServiceEntry},
    slice::KeyHash,
};

/// `HostTable` is an index over a routing configuration: routes by host, services by name.
#[derive(Debug, Clone, Default)]
pub struct HostTable {
    version: u64,
    hosts: HashMap<Arc<str>, Vec<Arc<RouteSpec>>>,
    services: HashMap<Arc<str>, Arc<ServiceEntry>>,
    limits: CallerLimits,
    unread: usize,
}

impl HostTable {
    /// Builds the index of a configuration that follows this one. Entries that could not be read stay as
    /// they are here.
    #[must_use]
    pub fn next(&self, config: &RoutingConfig) -> Self {
        if config.unread.is_empty() {
            return Self::new(config);
        }

        let mut merged = config.clone();
        for entry in &config.unread {
            match entry.kind {
                EntryKind::Route => merged.routes.extend(self.route(&entry.name)),
                EntryKind::Service => merged.services.extend(
                    self.services
                        .get(&entry.name)
                        .map(|service| ServiceEntry::clone(service)),
                ),
                EntryKind::Limits => merged.limits = self.limits,
            }
        }

        Self::new(&merged)
    }

    /// Returns a copy of the route with a name.
    fn route(&self, name: &str) -> Option<RouteSpec> {
        let mut routes = self.hosts.values().flatten();

        routes
            .find(|route| &*route.name == name)
            .map(|route| RouteSpec::clone(route))
    }

    /// Builds the index of a configuration.
    pub fn new(config: &RoutingConfig) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<RouteSpec>>> = HashMap::new();
        for route in &config.routes {
            hosts
                .entry(Arc::clone(&route.host))
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            // With the longest prefix first, the first match is the most specific one.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }

        let services = config
            .services
            .iter()
            .map(|entry| (Arc::clone(&entry.name), Arc::new(entry.clone())))
            .collect();

        Self {
            version: config.version,
            hosts,
            services,
            limits: config.limits,
            unread: config.unread.len(),
        }
    }

    /// Returns the number of entries of the configuration that could not be read.
    pub fn unread_entries(&self) -> usize {
        self.unread
    }

    /// Returns the version of the indexed configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the longest time that a route gives its requests, or `None` without a route.
    pub fn longest_timeout(&self) -> Option<Duration> {
        self.hosts
            .values()
            .flatten()
            .map(|route| route.timeout)
            .max()
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route with the longest prefix of `path` at a host.
    ///
    /// `host` may end in a port. If no route has the host as given, its lower-case form is tried.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let name = without_port(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };

        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the service with a name, if the configuration has one.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceEntry>> {
        self.services.get(name)
    }
}

/// Returns the service that a request goes to, or `None` if all weights of the route are 0.
///
/// A hash of the request's identifier decides, so that each service gets its share in any order
/// of requests.
pub fn choose_service<'a>(route: &'a RouteSpec, request_id: &str) -> Option<&'a Arc<str>> {
    let total: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    if total == 0 {
        return None;
    }

    let mut point = KeyHash::new(request_id.as_bytes()).0 % total;
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if point < weight {
            return Some(&share.service);
        }
        point -= weight;
    }

    None
}

/// Strips the port from a host.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
