//! The fleet sizes of the two known deployments.

use std::time::Duration;

/// `ServiceSize` is one service of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceSize {
    /// The name of the service.
    pub name: &'static str,
    /// Whether the service is sharded, so that each key is owned by one target.
    pub keyed: bool,
    /// The number of targets.
    pub targets: usize,
}

/// `DeploymentSize` describes the fleet of one deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeploymentSize {
    /// The name of the deployment, as the `--fleet` flag takes it.
    pub name: &'static str,
    /// The services; nodes are numbered from 0 in the sequence of the services.
    pub services: [ServiceSize; 4],
    /// The number of requests that each target runs at the same time.
    pub slots: u32,
    /// The maximum number of connections to each target.
    pub connections: u32,
    /// The one-way network delay between a caller and a node.
    pub caller_delay: Duration,
    /// The time to open a connection to a target.
    pub connect: Duration,
}

impl DeploymentSize {
    /// Returns the fleet of the Malla Celeste deployment.
    pub const fn malla() -> Self {
        Self {
            name: "malla",
            services: services(["agenda", "reservas", "patrones", "bajas"]),
            slots: 6,
            connections: 120,
            caller_delay: Duration::from_millis(8),
            connect: Duration::from_millis(1),
        }
    }

    /// Returns the fleet of the Suturo deployment.
    pub const fn suturo() -> Self {
        Self {
            name: "suturo",
            services: services(["patchbook", "lotdesk", "scanvault", "orderline"]),
            slots: 9,
            connections: 110,
            caller_delay: Duration::from_millis(1),
            connect: Duration::from_millis(1),
        }
    }

    /// Returns the number of nodes; each target has one.
    pub fn nodes(&self) -> usize {
        self.services.iter().map(|service| service.targets).sum()
    }

    /// Returns the index of the first node of a service.
    pub fn first_node(&self, service: usize) -> usize {
        self.services[..service]
            .iter()
            .map(|service| service.targets)
            .sum()
    }

    /// Returns the index of the service of a node.
    pub fn service_of(&self, node: usize) -> usize {
        let holds = |service: &usize| node < self.first_node(service + 1);

        (0..self.services.len() - 1)
            .find(holds)
            .unwrap_or(self.services.len() - 1)
    }
}

/// Returns the four services of a deployment; the first one is sharded by key.
const fn services(names: [&'static str; 4]) -> [ServiceSize; 4] {
    [
        ServiceSize {
            name: names[0],
            keyed: true,
            targets: 5,
        },
        ServiceSize {
            name: names[1],
            keyed: false,
            targets: 3,
        },
        ServiceSize {
            name: names[2],
            keyed: false,
            targets: 3,
        },
        ServiceSize {
            name: names[3],
            keyed: false,
            targets: 3,
        },
    ]
}
