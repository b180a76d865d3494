//! Routes by host and path prefix, and the shares of their destinations.

use std::{collections::HashMap, sync::Arc};
use wagtail_core::{
    routing::{CallerLimits, RouteSpec, RoutingConfig, ServiceEntry},
    slice::KeyHash,
};

/// `HostTable` finds the route of a request.
#[derive(Debug, Clone, Default)]
pub struct HostTable {
    version: u64,
    hosts: HashMap<Arc<str>, Vec<Arc<RouteSpec>>>,
    services: HashMap<Arc<str>, Arc<ServiceEntry>>,
    limits: CallerLimits,
}

impl HostTable {
    /// Makes the table of a configuration.
    pub fn new(config: &RoutingConfig) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<RouteSpec>>> = HashMap::new();
        for route in &config.routes {
            hosts
                .entry(Arc::clone(&route.host))
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            // The first match is then the longest one.
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
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits of callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route of a host and path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let name = without_port(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };

        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceEntry>> {
        self.services.get(name)
    }
}

/// Returns the destination of a request, by a hash of its identifier, so that each destination
/// gets its share whatever the order of the requests.
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

/// Returns a host without its port.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
