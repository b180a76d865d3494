//! The two deployments of the users.

use std::time::Duration;

/// `ServiceSize` is one service of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceSize {
    /// The name of the service.
    pub name: &'static str,
    /// Whether each key is owned by one target.
    pub keyed: bool,
    /// The targets.
    pub targets: usize,
}

/// `DeploymentSize` is one user's fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeploymentSize {
    /// The name of the user.
    pub name: &'static str,
    /// The services.
    pub services: [ServiceSize; 4],
    /// The slots of each target.
    pub slots: u32,
    /// The connections of each target.
    pub connections: u32,
    /// The time one way between a caller and a node.
    pub caller_delay: Duration,
    /// The time to open a connection to a target.
    pub connect: Duration,
}

impl DeploymentSize {
    /// Returns the fleet of Malla Celeste.
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

    /// Returns the fleet of Suturo.
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

    /// Returns the count of nodes, one beside each target.
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

    /// Returns the service of a node.
    pub fn service_of(&self, node: usize) -> usize {
        let holds = |service: &usize| node < self.first_node(service + 1);

        (0..self.services.len() - 1)
            .find(holds)
            .unwrap_or(self.services.len() - 1)
    }
}

/// Returns the four services of a deployment; the first is divided by key.
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
