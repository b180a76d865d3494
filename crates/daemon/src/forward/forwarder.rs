//! The attempts of a request and its single final response.

use crate::{
    agent::{AgentHandle, answer::RefusalResponse},
    fleet::FleetCell,
    forward::outcome::{failure_reason, is_redirection, no_owner},
    homes::HomeTables,
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

/// The number of redirections that one request follows. A redirected attempt neither ran nor was
/// queued anywhere.
const MAX_REDIRECTIONS: usize = 6;

/// `ForwardOptions` holds the collaborators of the forwarder.
#[derive(Debug)]
pub struct ForwardOptions {
    /// The name of this node.
    pub node: NodeName,
    /// The shared state of the fleet.
    pub fleet: FleetCell,
    /// The view of the leases, with the routes to the slice owners.
    pub view: OwnershipView,
    /// The agent task of this node.
    pub agent: AgentHandle,
    /// The ownership task, which is asked to look up unknown owners of slices.
    pub ownership: OwnershipHandle,
    /// The seed of the random choices among targets.
    pub seed: u64,
}

/// `RequestForwarder` sends requests to the daemons that serve them, with retries.
#[derive(Debug)]
pub struct RequestForwarder {
    pub(super) options: ForwardOptions,
    pub(super) links: RefCell<BTreeMap<NodeName, Rc<PeerLink>>>,
    pub(super) choices: RefCell<BTreeMap<ServiceName, ChoiceMachine>>,
    pub(super) homes: RefCell<HomeTables>,
    pub(super) retries: RefCell<RetryPolicy>,
}

/// `RequestRoute` is the state of one request between its attempts.
#[derive(Debug)]
pub(super) struct RequestRoute {
    pub(super) slice: Option<SliceId>,
    pub(super) deadline: LocalMoment,
    pub(super) tried: Vec<NodeName>,
    pub(super) redirections: usize,
    /// The only target that may run the request, for non-idempotent requests without a key.
    pub(super) home: Option<HomeChoice>,
    pub(super) attempt: u32,
    /// Whether the request may have run in the attempts so far.
    pub(super) verdict: RunVerdict,
}

impl RequestForwarder {
    /// Creates a forwarder without connections.
    pub fn new(options: ForwardOptions) -> Self {
        Self {
            options,
            links: RefCell::default(),
            choices: RefCell::default(),
            homes: RefCell::default(),
            retries: RefCell::new(RetryPolicy::new(BudgetOptions::default())),
        }
    }

    /// Sends a request to the daemon that serves it, retries where that is allowed, and returns
    /// the single final response.
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

            if let Some(response) = self.evaluate_outcome(head, node, &mut route, outcome) {
                return response;
            }
        }
    }

    /// Evaluates the outcome of an attempt. Returns the final response, or `None` when another
    /// attempt follows.
    fn evaluate_outcome(
        &self,
        head: &RequestHead,
        node: NodeName,
        route: &mut RequestRoute,
        outcome: Result<TargetResponse>,
    ) -> Option<TargetResponse> {
        let verdict = match &outcome {
            Ok(response) if response.head.refusal.is_none() => return outcome.ok(),
            Ok(response) => response.head.verdict,
            Err(error) => error.verdict(),
        };
        info!(
            event = "attempt-failed", request_id = %head.id, to = %node,
            verdict = verdict.as_str(), reason = &*failure_reason(&outcome)
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

    /// Creates the final response to a request that has no node left to try.
    fn refuse_route(&self, head: &RequestHead, route: &RequestRoute) -> TargetResponse {
        if route.home == Some(HomeChoice::Refused) {
            // The target that may have run the request is gone, and its memory with it.
            let refusal = RefusalResponse::unknown(Arc::from("identifier-too-old"));
            return refusal.into_response(&head.id, &self.options.node);
        }

        self.give_up(head, route.verdict, Err(no_owner(route)))
    }

    /// Creates the final response to a request whose attempts all failed.
    fn give_up(
        &self,
        head: &RequestHead,
        verdict: RunVerdict,
        outcome: Result<TargetResponse>,
    ) -> TargetResponse {
        let refusal = match outcome {
            Ok(response) if response.head.verdict == verdict => return response,
            // An earlier attempt may have run, which the last refusal does not reflect.
            Ok(response) => RefusalResponse::unknown(response.head.refusal.unwrap_or_default()),
            Err(error) if error.verdict() == verdict => RefusalResponse::from(&error),
            Err(error) => RefusalResponse::unknown(Arc::from(error.code())),
        };

        refusal.into_response(&head.id, &self.options.node)
    }

    /// Returns whether the retry policy allows another attempt.
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

    /// Asks the ownership task to read the record of a slice that no tried node owns.
    fn refresh(&self, route: &RequestRoute) {
        if let Some(slice) = &route.slice {
            let slice = slice.clone();
            self.options
                .ownership
                .tell(OwnershipCommand::Refresh { slice });
        }
    }
}
