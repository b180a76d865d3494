//! The attempts of a request, and its one final answer.

use crate::{
    agent::{AgentHandle, answer::RefusalAnswer},
    fleet::FleetCell,
    forward::outcome::{is_redirection, no_owner, reason_of},
    homes::HomeBook,
    ownership::{OwnershipCommand, OwnershipHandle, OwnershipView},
};
use bytes::Bytes;
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};
use tracing::info;
use wagtail_core::{
    Result,
    ids::{NodeName, ServiceName},
    ports::TargetResponse,
    request::RequestHead,
    slice::SliceId,
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_net::clock;
use wagtail_peer::link::PeerLink;
use wagtail_route::{
    BudgetOptions, ChoiceMachine, HomeChoice, RetryContext, RetryDecision, RetryPolicy,
    combined_verdict,
};

/// The redirections that one request follows; none of them ran or was queued anywhere.
const MAX_REDIRECTIONS: usize = 6;

/// `ForwardOptions` are the collaborators of the forwarder.
#[derive(Debug)]
pub struct ForwardOptions {
    /// The name of this node.
    pub node: NodeName,
    /// The shared state of the fleet.
    pub fleet: FleetCell,
    /// The routes to the owners.
    pub view: OwnershipView,
    /// The agent task of this node.
    pub agent: AgentHandle,
    /// The ownership task, which is told of slices whose owner is not known.
    pub ownership: OwnershipHandle,
    /// The seed of the choices.
    pub seed: u64,
}

/// `RequestForwarder` finds the daemon that answers a request.
#[derive(Debug)]
pub struct RequestForwarder {
    pub(super) options: ForwardOptions,
    pub(super) links: RefCell<BTreeMap<NodeName, Rc<PeerLink>>>,
    pub(super) choices: RefCell<BTreeMap<ServiceName, ChoiceMachine>>,
    pub(super) homes: RefCell<HomeBook>,
    pub(super) retries: RefCell<RetryPolicy>,
}

/// `RequestRoute` is the state of one request between its attempts.
#[derive(Debug)]
pub(super) struct RequestRoute {
    pub(super) slice: Option<SliceId>,
    pub(super) deadline: LocalMoment,
    pub(super) tried: Vec<NodeName>,
    pub(super) redirections: usize,
    /// Where alone the request may run.
    pub(super) home: Option<HomeChoice>,
    pub(super) attempt: u32,
    /// Whether the request may have run in the attempts so far.
    pub(super) verdict: RunVerdict,
}

impl RequestForwarder {
    /// Makes a forwarder without connections.
    pub fn new(options: ForwardOptions) -> Self {
        Self {
            options,
            links: RefCell::default(),
            choices: RefCell::default(),
            homes: RefCell::default(),
            retries: RefCell::new(RetryPolicy::new(BudgetOptions::default())),
        }
    }

    /// Sends a request to the daemon that answers it, again where that is allowed, and returns
    /// the one final answer.
    pub async fn forward(
        &self,
        head: &RequestHead,
        body: Bytes,
        deadline: LocalMoment,
    ) -> TargetResponse {
        let slice = self.slice_of(head);
        let mut route = RequestRoute {
            home: self.home_of(head, slice.as_ref()),
            slice,
            deadline,
            tried: Vec::new(),
            redirections: 0,
            attempt: 1,
            verdict: RunVerdict::NotRun,
        };
        self.retries
            .borrow_mut()
            .record_first(&head.service, &head.tenant);

        loop {
            let Some(node) = self.next_node(head, &route) else {
                self.refresh(&route);
                return self.refuse_route(head, &route);
            };

            let started = clock::now();
            let outcome = self.attempt(head, &body, &node, &route).await;
            let took = clock::now().since(started);
            self.learn(head, &node, &route, &outcome, took);

            if let Some(answer) = self.settle(head, node, &mut route, outcome) {
                return answer;
            }
        }
    }

    /// Returns the final answer, or nothing when another attempt follows.
    fn settle(
        &self,
        head: &RequestHead,
        node: NodeName,
        route: &mut RequestRoute,
        outcome: Result<TargetResponse>,
    ) -> Option<TargetResponse> {
        let verdict = match &outcome {
            Ok(answer) if answer.head.refusal.is_none() => return outcome.ok(),
            Ok(answer) => answer.head.verdict,
            Err(error) => error.verdict(),
        };
        info!(
            event = "attempt-failed", request_id = %head.id, to = %node,
            verdict = verdict.as_str(), reason = &*reason_of(&outcome)
        );
        route.tried.push(node);
        route.verdict = combined_verdict(Some(route.verdict), verdict);

        if is_redirection(&outcome) && route.redirections < MAX_REDIRECTIONS {
            route.redirections += 1;
            if self.has_other(head, route) {
                return None;
            }
            self.refresh(route);
        } else if self.may_retry(head, route, verdict) {
            route.attempt += 1;
            return None;
        }

        Some(self.give_up(head, route.verdict, outcome))
    }

    /// Makes the final answer of a request that no node is left for.
    fn refuse_route(&self, head: &RequestHead, route: &RequestRoute) -> TargetResponse {
        if route.home == Some(HomeChoice::Refused) {
            // The target that may have run the identifier is gone with its memory.
            let refusal = RefusalAnswer::unknown(Arc::from("identifier-too-old"));
            return refusal.into_answer(&head.id, &self.options.node);
        }

        self.give_up(head, route.verdict, Err(no_owner(route)))
    }

    /// Makes the final answer of a request that no attempt answered.
    fn give_up(
        &self,
        head: &RequestHead,
        verdict: RunVerdict,
        outcome: Result<TargetResponse>,
    ) -> TargetResponse {
        let refusal = match outcome {
            Ok(answer) if answer.head.verdict == verdict => return answer,
            // An earlier attempt may have run, which the latest refusal does not know.
            Ok(answer) => RefusalAnswer::unknown(answer.head.refusal.unwrap_or_default()),
            Err(error) if error.verdict() == verdict => RefusalAnswer::from(&error),
            Err(error) => RefusalAnswer::unknown(Arc::from(error.code())),
        };

        refusal.into_answer(&head.id, &self.options.node)
    }

    /// Returns whether the request may be sent once more.
    fn may_retry(&self, head: &RequestHead, route: &RequestRoute, verdict: RunVerdict) -> bool {
        let context = RetryContext {
            service: head.service.clone(),
            tenant: head.tenant.clone(),
            idempotent: head.idempotent,
            verdict,
            attempt: route.attempt,
            forwarded: false,
            elsewhere: self.has_other(head, route),
            deadline: route.deadline,
            expected: Duration::ZERO,
        };
        let decision = self.retries.borrow_mut().decide(clock::now(), &context);

        matches!(decision, RetryDecision::Retry { .. })
    }

    /// Asks for the record of a slice that no tried node owns.
    fn refresh(&self, route: &RequestRoute) {
        if let Some(slice) = &route.slice {
            let slice = slice.clone();
            self.options
                .ownership
                .tell(OwnershipCommand::Refresh { slice });
        }
    }
}
