//! Builds the initial state of a run.

use super::{CallRecord, DaemonNode, RouterVersion, World, WorldEvent, WorldOptions};
use crate::requests::{
    broken::{BrokenPart, BrokenPolicy},
    checks::InvariantChecks,
    ingress::{IngressCall, IngressPolicy, NaiveIngress, RouteIngress},
    naive::{AdmitPolicy, NaiveQueue},
    target::FakeTarget,
    workload::{CallPlan, SLICES},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BinaryHeap};
use wagtail_admit::{AdmitMachine, AdmitOptions, TenantShare};
use wagtail_core::{
    ids::{NodeName, OperationName, ServiceName, TenantName},
    units::LocalMoment,
};

impl World {
    /// Creates a run of the given calls.
    ///
    /// # Panics
    ///
    /// Panics when a name in the options is not valid.
    pub fn new(options: WorldOptions, calls: Vec<CallPlan>) -> Self {
        let tenants = tenant_names(&options);
        let last_call = calls.last().map_or(LocalMoment::ZERO, |call| call.sent);
        let mut world = Self {
            now: LocalMoment::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(options.seed ^ 0x5eed),
            calls: Vec::new(),
            attempts: Vec::new(),
            daemons: daemons(&options),
            ingresses: ingresses(&options),
            runs: Vec::new(),
            identifier_runs: BTreeMap::new(),
            tenants,
            short: OperationName::new("short").expect("the name is allowed"),
            long: OperationName::new("long").expect("the name is allowed"),
            last_call,
            checks: InvariantChecks::default(),
            options,
        };

        for node in 0..world.daemons.len() {
            world.schedule(LocalMoment::ZERO, WorldEvent::Announce(node));
        }

        for call in calls {
            world.add_call(call);
        }

        world
    }

    /// Adds a call and schedules what its caller does.
    pub(super) fn add_call(&mut self, plan: CallPlan) {
        let index = self.calls.len();
        let reaches = plan.sent + self.options.size.caller_delay;
        let state = self.ingress_call(&plan);

        self.schedule(reaches, WorldEvent::Call(index));
        self.schedule(
            plan.sent + plan.patience + super::RESPONSE_BOUND,
            WorldEvent::Patience(index),
        );

        if let Some(gone) = plan.gone {
            self.schedule(plan.sent + gone, WorldEvent::Gone(index));
        }

        self.calls.push(CallRecord {
            plan,
            end: None,
            attempts: Vec::new(),
            state,
        });
    }

    /// Creates the state of a call at its ingress.
    fn ingress_call(&self, plan: &CallPlan) -> IngressCall {
        let size = &self.options.size;
        let first = size.first_node(plan.service);
        let targets = size.services[plan.service].targets;
        let owner = plan.slice.map(|slice| first + slice as usize % targets);
        let bound = !plan.idempotent && owner.is_none() && plan.has_caller_identifier;
        let home = bound.then_some(first + plan.identifier % targets);

        IngressCall {
            service: plan.service,
            owner,
            home,
            tenant: self.tenants[plan.tenant].clone(),
            idempotent: plan.idempotent,
            deadline: plan.sent + plan.patience - size.caller_delay,
            tried: Vec::new(),
            verdict: None,
        }
    }
}

/// Returns the names of the tenants.
fn tenant_names(options: &WorldOptions) -> Vec<TenantName> {
    let names = options.mix.tenants.iter();

    names
        .map(|tenant| TenantName::new(tenant.name).expect("the name is allowed"))
        .collect()
}

/// Returns the nodes of each service by its index.
fn members(options: &WorldOptions) -> BTreeMap<usize, Vec<usize>> {
    let services = 0..options.size.services.len();

    services
        .map(|service| {
            let first = options.size.first_node(service);
            let nodes = first..first + options.size.services[service].targets;

            (service, nodes.collect())
        })
        .collect()
}

/// Creates the daemons and their targets.
fn daemons(options: &WorldOptions) -> Vec<DaemonNode> {
    let shares = tenant_names(options)
        .into_iter()
        .zip(&options.mix.tenants)
        .map(|(name, tenant)| TenantShare {
            name,
            weight: tenant.weight,
        });
    let settings = AdmitOptions {
        slots: options.size.slots,
        connections: options.size.connections,
        tenants: shares.collect(),
        ..options.admit.clone()
    };

    (0..options.size.nodes())
        .map(|node| DaemonNode {
            policy: policy(options, &settings, node as u64),
            target: FakeTarget::default(),
            tick: None,
            kept: BTreeMap::new(),
        })
        .collect()
}

/// Creates the admission policy of one target.
fn policy(options: &WorldOptions, settings: &AdmitOptions, node: u64) -> Box<dyn AdmitPolicy> {
    let seed = options.seed ^ (node << 32);
    let wagtail = |settings: AdmitOptions| Box::new(AdmitMachine::new(settings, seed));

    match options.version {
        RouterVersion::Wagtail => wagtail(settings.clone()),
        RouterVersion::Naive => Box::new(NaiveQueue::new(settings.slots)),
        RouterVersion::Broken(part) => {
            let extra = if part == BrokenPart::IgnoresSlots {
                2
            } else {
                0
            };
            let settings = AdmitOptions {
                slots: settings.slots + extra,
                ..settings.clone()
            };

            Box::new(BrokenPolicy::new(wagtail(settings), part))
        }
    }
}

/// Creates the ingress policies of all nodes.
fn ingresses(options: &WorldOptions) -> Vec<Box<dyn IngressPolicy>> {
    (0..options.size.nodes())
        .map(|node| ingress(options, node as u64))
        .collect()
}

/// Creates the ingress policy of one node.
fn ingress(options: &WorldOptions, node: u64) -> Box<dyn IngressPolicy> {
    let members = members(options);

    if options.version == RouterVersion::Naive {
        return Box::new(NaiveIngress::new(members, options.size.slots));
    }

    let names = (0..options.size.nodes())
        .map(|index| NodeName::new(format!("node-{index}")).expect("the name is allowed"));
    let services = options.size.services.iter();
    let services = services
        .map(|service| ServiceName::new(service.name).expect("the name is allowed"))
        .collect();

    Box::new(RouteIngress::new(
        names.collect(),
        services,
        &members,
        options.seed ^ (node << 40),
    ))
}

/// The slices are spread evenly over the five owners of the keyed service.
const _: () = assert!(SLICES.is_multiple_of(5));
