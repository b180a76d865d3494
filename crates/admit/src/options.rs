//! The settings of the admission machine.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::{ids::TenantName, service::ServiceSpec};

/// `TenantShare` is the weight of one tenant in the queues.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantShare {
    /// The name of the tenant.
    pub name: TenantName,
    /// The weight relative to the other tenants, at least 1.
    pub weight: u32,
}

/// `AdmitOptions` are the settings of an admission machine.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmitOptions {
    /// How many requests the target runs at a time.
    pub slots: u32,
    /// How many connections the target accepts.
    pub connections: u32,
    /// Whether the target refuses requests with an outdated fencing token.
    pub fenced: bool,
    /// The tenants with a declared weight; any other tenant has weight 1.
    pub tenants: Vec<TenantShare>,
    /// How many arrivals may be queued at a time, over all tenants.
    pub max_queued: usize,
    /// The longest wait that a standing queue allows, unless the mean duration of the class demands
    /// more.
    pub queue_target: Duration,
    /// The queue counts as standing once more work than the slots can do was offered for this time.
    pub queue_interval: Duration,
    /// The slots that long requests never take; half of the slots when absent.
    pub reserved_slots: Option<u32>,
    /// The slots that queued long requests get even while short ones are queued.
    pub long_floor: u32,
    /// The multiple of the median short duration above which an operation counts as long.
    pub long_factor: u32,
    /// The duration that is assumed for short requests before the first sample.
    pub initial_short: Duration,
    /// The duration that is assumed for long requests before the first sample.
    pub initial_long: Duration,
    /// How long the identifier of a non-idempotent request is remembered after its end.
    pub memory_time: Duration,
    /// How many identifiers are remembered at a time; further non-idempotent requests are refused.
    pub memory_entries: usize,
    /// The total size in bytes of the responses that are kept for replays.
    pub memory_bytes: u64,
    /// The largest difference between the clocks of a caller and of this node.
    pub clock_skew: Duration,
    /// Whether identifiers of unknown age are accepted while a takeover without memory is recent.
    pub accept_unknown_age: bool,
    /// The least time between two rises of the limit of a cold or recovering target.
    pub ramp_step: Duration,
    /// The shortest silence of a busy target that counts as a stall.
    pub stall_floor: Duration,
    /// The multiple of the longest expected duration after which a silent target counts as stalled.
    pub stall_factor: u32,
    /// The time between two probes of a stalled target.
    pub probe_interval: Duration,
    /// How long the target takes at most to notice a cancellation, counted from when it is known to
    /// run.
    pub cancel_settle: Duration,
    /// How old a report of the target may be at most when it arrives.
    pub report_lag: Duration,
    /// How long admitted requests are still dispatched after a stop.
    pub stop_grace: Duration,
}

impl Default for AdmitOptions {
    fn default() -> Self {
        Self {
            slots: 6,
            connections: 120,
            fenced: false,
            tenants: Vec::new(),
            max_queued: 4_096,
            queue_target: Duration::from_millis(20),
            queue_interval: Duration::from_millis(150),
            reserved_slots: None,
            long_floor: 1,
            long_factor: 8,
            initial_short: Duration::from_millis(10),
            initial_long: Duration::from_millis(500),
            memory_time: Duration::from_mins(2),
            memory_entries: 100_000,
            memory_bytes: 8 << 20,
            clock_skew: Duration::from_millis(500),
            accept_unknown_age: false,
            ramp_step: Duration::from_millis(100),
            stall_floor: Duration::from_millis(250),
            stall_factor: 10,
            probe_interval: Duration::from_millis(500),
            cancel_settle: Duration::from_millis(5),
            report_lag: Duration::from_millis(500),
            stop_grace: Duration::from_secs(2),
        }
    }
}

impl AdmitOptions {
    /// Creates the settings of a target with a number of slots and connections.
    pub fn new(slots: u32, connections: u32) -> Self {
        Self {
            slots,
            connections,
            ..Self::default()
        }
    }

    /// Creates the settings of a declared service.
    pub fn for_service(spec: &ServiceSpec) -> Self {
        let tenants = spec.tenants.iter().map(|tenant| TenantShare {
            name: tenant.name.clone(),
            weight: tenant.weight,
        });

        Self {
            fenced: spec.fenced,
            tenants: tenants.collect(),
            ..Self::new(spec.slots, spec.connections)
        }
    }

    /// Sets the weights of the tenants.
    #[must_use]
    pub fn with_tenants(self, tenants: Vec<TenantShare>) -> Self {
        Self { tenants, ..self }
    }

    /// Sets the longest wait that a standing queue allows.
    #[must_use]
    pub fn with_queue_target(self, queue_target: Duration) -> Self {
        Self {
            queue_target,
            ..self
        }
    }

    /// Returns how many requests may be at the target at a time: its slots, but no more than its
    /// connections, and at least one.
    pub fn max_running(&self) -> u32 {
        self.slots.min(self.connections).max(1)
    }

    /// Returns the slots that long requests never take; it is always less than all of them.
    pub fn reserved(&self) -> u32 {
        let most = self.max_running().saturating_sub(1);

        self.reserved_slots
            .unwrap_or(self.max_running() / 2)
            .min(most)
    }

    /// Returns the weight of a tenant, which is 1 unless another one was declared.
    pub fn weight(&self, name: &TenantName) -> u32 {
        self.tenants
            .iter()
            .find(|tenant| &tenant.name == name)
            .map_or(1, |tenant| tenant.weight.max(1))
    }
}
