//! The declared services, operations and tenants.

use crate::ids::{NodeIdentity, NodeName, OperationName, ServiceName, TenantName};
use serde::{Deserialize, Serialize};

/// `WorkClass` tells work that holds a slot briefly from work that holds it many times longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Work that holds a slot briefly.
    #[default]
    Short,
    /// Work that holds a slot many times longer, such as a catalogue download.
    Long,
}

/// `OperationSpec` declares one operation of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationSpec {
    /// The name of the operation.
    pub name: OperationName,
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path prefix below the service, starting with `/`. The longest match applies.
    pub path: String,
    /// Whether a repeat has no further effect.
    pub idempotent: bool,
    /// The declared class of the work.
    #[serde(default)]
    pub class: WorkClass,
}

/// `TenantSpec` declares a tenant's share of contended capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// The name of the tenant.
    pub name: TenantName,
    /// The share relative to the other tenants, 1 to 1000.
    pub weight: u32,
}

/// `ServiceSpec` declares a service and its targets' limits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name of the service.
    pub name: ServiceName,
    /// Whether each key is owned by exactly one target.
    pub keyed: bool,
    /// The count of hash slices of a keyed service; unused otherwise.
    #[serde(default = "default_slices")]
    pub slices: u32,
    /// The requests that one target runs at a time.
    pub slots: u32,
    /// The connections that one target accepts.
    pub connections: u32,
    /// Whether the targets refuse orders with an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// The longest time in milliseconds that a caller may ask to wait.
    #[serde(default = "default_deadline_ms")]
    pub max_deadline_ms: u64,
    /// The declared operations.
    pub operations: Vec<OperationSpec>,
    /// The tenants with a declared share; any other tenant has weight 1.
    #[serde(default)]
    pub tenants: Vec<TenantSpec>,
}

impl ServiceSpec {
    /// Returns the operation for a method and a path below the service.
    pub fn operation(&self, method: &str, path: &str) -> Option<&OperationSpec> {
        self.operations
            .iter()
            .filter(|operation| operation.method == method && path.starts_with(&operation.path))
            .max_by_key(|operation| operation.path.len())
    }

    /// Returns the declared weight of a tenant, or 1.
    pub fn tenant_weight(&self, name: &TenantName) -> u32 {
        self.tenants
            .iter()
            .find(|tenant| &tenant.name == name)
            .map_or(1, |tenant| tenant.weight)
    }
}

/// `AppliedPlan` names the plan that made a version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedPlan {
    /// The version.
    pub version: u64,
    /// The identifier of the plan.
    pub plan: String,
}

/// `ConfigDocument` is the whole configuration in force, at one version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// The version; it only grows. Zero is the empty configuration.
    pub version: u64,
    /// The plan whose confirmation made this version, empty at version zero.
    #[serde(default)]
    pub plan: String,
    /// The declared services.
    pub services: Vec<ServiceSpec>,
    /// The VMs that are to receive no new work.
    #[serde(default)]
    pub draining: Vec<NodeName>,
    /// The starts of VMs that the operator declared lost for good; earlier starts are included.
    #[serde(default)]
    pub gone: Vec<NodeIdentity>,
    /// The plans behind the latest versions, oldest first, by which a repeated confirmation is
    /// recognised.
    #[serde(default)]
    pub recent: Vec<AppliedPlan>,
}

impl ConfigDocument {
    /// Returns the declared service of a name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| &service.name == name)
    }

    /// Returns whether a start of a VM was declared lost for good.
    pub fn is_gone(&self, identity: &NodeIdentity) -> bool {
        self.gone
            .iter()
            .any(|gone| gone.name == identity.name && identity.incarnation <= gone.incarnation)
    }

    /// Returns whether a start of a VM may receive new work.
    pub fn takes_work(&self, identity: &NodeIdentity) -> bool {
        !self.draining.contains(&identity.name) && !self.is_gone(identity)
    }
}

/// Returns the count of hash slices of a service that declares none.
const fn default_slices() -> u32 {
    64
}

/// Returns the longest deadline in milliseconds of a service that declares none.
const fn default_deadline_ms() -> u64 {
    30_000
}
