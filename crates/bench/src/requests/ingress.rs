//! The routing and retry decisions of the ingress, the node that a caller connects to.

use std::{collections::BTreeMap, fmt::Debug, time::Duration};
use wagtail_core::{
    ids::{NodeName, ServiceName, TenantName},
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_route::{
    AttemptResult, BudgetOptions, ChoiceEvent, ChoiceMachine, ChoiceOptions, LoadHint,
    RetryContext, RetryDecision, RetryPolicy, combined_verdict,
};

/// The retries of the naive version, after any failure.
const NAIVE_RETRIES: u32 = 3;

/// `IngressCall` is the state of a call at its ingress.
#[derive(Debug, Clone)]
pub struct IngressCall {
    /// The index of the service.
    pub service: usize,
    /// The node that owns the key, for a keyed service.
    pub owner: Option<usize>,
    /// The only node that may run a non-idempotent call whose identifier the caller made, for a
    /// service without keys.
    pub home: Option<usize>,
    /// The tenant that sent the call and whose retry budget its retries use.
    pub tenant: TenantName,
    /// Whether the operation is idempotent.
    pub idempotent: bool,
    /// The moment after which the caller no longer waits.
    pub deadline: LocalMoment,
    /// The nodes of the attempts so far, oldest first.
    pub tried: Vec<usize>,
    /// Whether any of the attempts so far may have run.
    pub verdict: Option<RunVerdict>,
}

/// `AttemptEnd` describes an attempt that ended without a response of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
    /// Whether the daemon of the target refused because it had no capacity.
    pub overloaded: bool,
}

/// `IngressPolicy` makes the routing and retry decisions of an ingress.
pub trait IngressPolicy: Debug {
    /// Picks the node for the first or next attempt; `None` when no node is left.
    fn choose(&mut self, now: LocalMoment, call: &IngressCall) -> Option<usize>;

    /// Records a first attempt, which the retry budget is a ratio of.
    fn record_first(&mut self, call: &IngressCall);

    /// Records the end of an attempt; `end` is `None` when the target responded.
    fn record_end(
        &mut self,
        now: LocalMoment,
        call: &IngressCall,
        node: usize,
        end: Option<AttemptEnd>,
        took: Duration,
        hint: Option<LoadHint>,
    );

    /// Returns whether a call is retried after a failed attempt.
    fn retries(&mut self, now: LocalMoment, call: &IngressCall, end: AttemptEnd) -> bool;

    /// Combines the verdict of the earlier attempts with that of the last one.
    fn verdict(&self, earlier: Option<RunVerdict>, last: RunVerdict) -> RunVerdict;

    /// Returns the time after which an attempt counts as failed.
    fn attempt_timeout(&self, patience: Duration) -> Duration;

    /// Records that a target has just started.
    fn record_started(&mut self, now: LocalMoment, service: usize, node: usize);
}

/// `RouteIngress` decides with the machines of `wagtail_route`.
#[derive(Debug)]
pub struct RouteIngress {
    /// The names of the nodes.
    names: Vec<NodeName>,
    /// The names of the services.
    services: Vec<ServiceName>,
    /// The target choice of each service, for calls that are not bound to an owner or home.
    choices: BTreeMap<usize, ChoiceMachine>,
    /// The retry policy and its budgets.
    retry: RetryPolicy,
}

impl RouteIngress {
    /// Creates the ingress of one node; `members` holds the nodes of each service.
    pub fn new(
        names: Vec<NodeName>,
        services: Vec<ServiceName>,
        members: &BTreeMap<usize, Vec<usize>>,
        seed: u64,
    ) -> Self {
        let mut choices = BTreeMap::new();

        for (service, nodes) in members {
            let mut choice = ChoiceMachine::new(ChoiceOptions::default(), seed ^ *service as u64);

            for node in nodes {
                let event = ChoiceEvent::Joined {
                    node: names[*node].clone(),
                    cold: false,
                };

                choice.handle(LocalMoment::ZERO, event);
            }

            choices.insert(*service, choice);
        }

        Self {
            names,
            services,
            choices,
            retry: RetryPolicy::new(BudgetOptions::default()),
        }
    }

    /// Returns the names of the nodes that a call has tried.
    fn tried(&self, call: &IngressCall) -> Vec<NodeName> {
        call.tried
            .iter()
            .map(|node| self.names[*node].clone())
            .collect()
    }

    /// Returns the index of a node by its name.
    fn index(&self, name: &NodeName) -> Option<usize> {
        self.names.iter().position(|known| known == name)
    }
}

impl IngressPolicy for RouteIngress {
    fn choose(&mut self, now: LocalMoment, call: &IngressCall) -> Option<usize> {
        if let Some(node) = call.owner.or(call.home) {
            return (!call.tried.contains(&node)).then_some(node);
        }

        let tried = self.tried(call);
        let name = self.choices.get_mut(&call.service)?.choose(now, &tried)?;

        self.index(&name)
    }

    fn record_first(&mut self, call: &IngressCall) {
        self.retry
            .record_first(&self.services[call.service], &call.tenant);
    }

    fn record_end(
        &mut self,
        now: LocalMoment,
        call: &IngressCall,
        node: usize,
        end: Option<AttemptEnd>,
        took: Duration,
        hint: Option<LoadHint>,
    ) {
        if call.owner.or(call.home).is_some() {
            return;
        }

        let result = match end {
            None => AttemptResult::Answered,
            Some(end) if end.overloaded => AttemptResult::Overloaded,
            Some(end) => AttemptResult::Failed {
                verdict: end.verdict,
            },
        };
        let event = ChoiceEvent::Ended {
            node: self.names[node].clone(),
            result,
            took,
            hint,
        };

        if let Some(choice) = self.choices.get_mut(&call.service) {
            choice.handle(now, event);
        }
    }

    fn retries(&mut self, now: LocalMoment, call: &IngressCall, end: AttemptEnd) -> bool {
        let tried = self.tried(call);
        let elsewhere = call.owner.or(call.home).is_none()
            && self
                .choices
                .get(&call.service)
                .is_some_and(|choice| choice.has_other(now, &tried));
        let context = RetryContext {
            service: self.services[call.service].clone(),
            tenant: call.tenant.clone(),
            idempotent: call.idempotent,
            verdict: end.verdict,
            attempt: u32::try_from(call.tried.len()).unwrap_or(u32::MAX),
            forwarded: false,
            elsewhere,
            deadline: call.deadline,
            expected: Duration::from_millis(10),
        };

        matches!(
            self.retry.decide(now, &context),
            RetryDecision::Retry { .. }
        )
    }

    fn verdict(&self, earlier: Option<RunVerdict>, last: RunVerdict) -> RunVerdict {
        combined_verdict(earlier, last)
    }

    fn attempt_timeout(&self, patience: Duration) -> Duration {
        patience
    }

    fn record_started(&mut self, now: LocalMoment, service: usize, node: usize) {
        let event = ChoiceEvent::Joined {
            node: self.names[node].clone(),
            cold: true,
        };

        if let Some(choice) = self.choices.get_mut(&service) {
            choice.handle(now, event);
        }
    }
}

/// `NaiveIngress` sends to the first target that has a free slot by its own counts, and retries
/// three times after any failure.
#[derive(Debug)]
pub struct NaiveIngress {
    /// The nodes of each service.
    members: BTreeMap<usize, Vec<usize>>,
    /// The number of slots of each target.
    slots: u32,
    /// The attempts in flight from this ingress to each node.
    pending: BTreeMap<usize, u32>,
}

impl NaiveIngress {
    /// Creates the ingress of one node.
    pub fn new(members: BTreeMap<usize, Vec<usize>>, slots: u32) -> Self {
        Self {
            members,
            slots,
            pending: BTreeMap::new(),
        }
    }

    /// Returns the attempts in flight to a node.
    fn pending(&self, node: usize) -> u32 {
        self.pending.get(&node).copied().unwrap_or(0)
    }
}

impl IngressPolicy for NaiveIngress {
    fn choose(&mut self, _now: LocalMoment, call: &IngressCall) -> Option<usize> {
        let nodes = self.members.get(&call.service);
        let nodes = nodes.map_or(&[] as &[usize], Vec::as_slice);
        let last = call.tried.last();
        let others = || nodes.iter().copied().filter(|node| Some(node) != last);
        let free = others().find(|node| self.pending(*node) < self.slots);
        let node = call
            .owner
            .or(free)
            .or_else(|| others().min_by_key(|node| self.pending(*node)))?;

        *self.pending.entry(node).or_default() += 1;

        Some(node)
    }

    fn record_first(&mut self, _call: &IngressCall) {}

    fn record_end(
        &mut self,
        _now: LocalMoment,
        _call: &IngressCall,
        node: usize,
        _end: Option<AttemptEnd>,
        _took: Duration,
        _hint: Option<LoadHint>,
    ) {
        if let Some(pending) = self.pending.get_mut(&node) {
            *pending = pending.saturating_sub(1);
        }
    }

    fn retries(&mut self, _now: LocalMoment, call: &IngressCall, _end: AttemptEnd) -> bool {
        u32::try_from(call.tried.len()).unwrap_or(u32::MAX) <= NAIVE_RETRIES
    }

    fn verdict(&self, _earlier: Option<RunVerdict>, last: RunVerdict) -> RunVerdict {
        last
    }

    fn attempt_timeout(&self, patience: Duration) -> Duration {
        patience / NAIVE_RETRIES
    }

    fn record_started(&mut self, _now: LocalMoment, _service: usize, _node: usize) {}
}
