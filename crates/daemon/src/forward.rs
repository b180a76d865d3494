//! The way of a request from the ingress to the daemon that answers it.

use crate::{
    agent::{AgentHandle, answer::RefusalAnswer},
    fleet::FleetCell,
    homes::HomeBook,
    identifier::unique_text,
    ownership::{OwnershipCommand, OwnershipHandle, OwnershipView, claim_targets},
};
use bytes::Bytes;
use compio::time::timeout;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tracing::{debug, info};
use wagtail_assign::placement::rank_targets;
use wagtail_core::{
    CoreError, Result,
    ids::{NodeName, ServiceName},
    ports::TargetAnswer,
    request::{RequestHead, TargetLoad},
    service::WorkClass,
    slice::{KeyHash, SliceId},
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_net::clock;
use wagtail_peer::link::PeerLink;
use wagtail_route::{
    AttemptResult, BudgetOptions, ChoiceEvent, ChoiceMachine, ChoiceOptions, HomeChoice, LoadHint,
    RetryDecision, RetryPolicy, RetryQuestion, combined_verdict, mint_identifier,
};

/// The longest time that one attempt at idempotent short work may take, so that a frozen node
/// leaves time for another attempt.
const SHORT_ATTEMPT: Duration = Duration::from_secs(1);

/// The redirections that one request follows; none of them ran or was queued anywhere.
const MAX_REDIRECTIONS: usize = 6;

/// The time after which a repeat is expected to find an owner.
const NO_OWNER_RETRY: Duration = Duration::from_millis(500);

/// The code of a refusal by a node that does not own the key.
const NOT_OWNER: &str = "not-owner";

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
    options: ForwardOptions,
    links: RefCell<BTreeMap<NodeName, Rc<PeerLink>>>,
    choices: RefCell<BTreeMap<ServiceName, ChoiceMachine>>,
    homes: RefCell<HomeBook>,
    retries: RefCell<RetryPolicy>,
    attempts: Cell<u64>,
}

/// `RequestRoute` is the state of one request between its attempts.
#[derive(Debug)]
struct RequestRoute {
    slice: Option<SliceId>,
    deadline: LocalMoment,
    tried: Vec<NodeName>,
    redirections: usize,
    /// Where alone the request may run.
    home: Option<HomeChoice>,
    attempt: u32,
    /// Whether the request may have run in the attempts so far.
    verdict: RunVerdict,
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
            attempts: Cell::new(0),
        }
    }

    /// Returns the attempts made so far.
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Sends a request to the daemon that answers it, again where that is allowed, and returns
    /// the one final answer.
    pub async fn forward(
        &self,
        head: &RequestHead,
        body: Bytes,
        deadline: LocalMoment,
    ) -> TargetAnswer {
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

    /// Returns the slice of a keyed request.
    fn slice_of(&self, head: &RequestHead) -> Option<SliceId> {
        let fleet = self.options.fleet.load();
        let spec = fleet
            .config
            .service(&head.service)
            .filter(|spec| spec.keyed)?;
        let key = head.key.as_ref()?;
        let index = KeyHash::new(key.as_bytes()).slice_index(spec.slices);

        Some(SliceId::new(spec.name.clone(), index))
    }

    /// Returns where alone a caller's identifier of non-idempotent work may run, so that a repeat
    /// through another ingress meets the memory of the first. Keyed work has its owner, and an
    /// identifier made here is not known to any caller yet.
    fn home_of(&self, head: &RequestHead, slice: Option<&SliceId>) -> Option<HomeChoice> {
        if slice.is_some() || head.idempotent || head.id_made {
            return None;
        }
        let fleet = self.options.fleet.load();
        let mut homes = self.homes.borrow_mut();

        Some(homes.home(clock::now(), &fleet, &head.service, &head.id))
    }

    /// Returns the node to try next.
    fn next_node(&self, head: &RequestHead, route: &RequestRoute) -> Option<NodeName> {
        match &route.home {
            Some(HomeChoice::Only(node)) => {
                return (!route.tried.contains(node)).then(|| node.clone());
            }
            Some(HomeChoice::Refused) => return None,
            None => {}
        }

        match &route.slice {
            Some(slice) => self.next_owner(slice, &route.tried),
            None => self.choose(&head.service, &route.tried),
        }
    }

    /// Returns the node that most likely owns a slice: the known owner, its deputies, and then
    /// the targets in the order in which they claim a slice without a record.
    fn next_owner(&self, slice: &SliceId, tried: &[NodeName]) -> Option<NodeName> {
        let known = self.options.view.routes().borrow().next(slice, tried);

        known.or_else(|| {
            let targets = claim_targets(&self.options.fleet.load(), &slice.service);

            rank_targets(slice, &targets)
                .into_iter()
                .find(|node| !tried.contains(node))
        })
    }

    /// Chooses a target of a service without keys.
    fn choose(&self, service: &ServiceName, tried: &[NodeName]) -> Option<NodeName> {
        let now = clock::now();
        let mut choices = self.choices.borrow_mut();
        let choice = choices
            .entry(service.clone())
            .or_insert_with(|| ChoiceMachine::new(ChoiceOptions::default(), self.options.seed));

        self.update_targets(choice, service, now);

        choice.choose(now, tried)
    }

    /// Tells a choice of the targets that joined or left.
    fn update_targets(&self, choice: &mut ChoiceMachine, service: &ServiceName, now: LocalMoment) {
        let fleet = self.options.fleet.load();
        let open: Vec<&NodeName> = fleet
            .targets(service)
            .filter(|entry| !fleet.is_leaving(entry))
            .map(|entry| &entry.identity.name)
            .collect();

        let gone: Vec<NodeName> = choice
            .targets()
            .map(|(node, _)| node)
            .filter(|node| !open.contains(node))
            .cloned()
            .collect();
        for node in gone {
            choice.handle(now, ChoiceEvent::Left { node });
        }

        for node in open {
            if !choice.targets().any(|(known, _)| known == node) {
                choice.handle(
                    now,
                    ChoiceEvent::Joined {
                        node: node.clone(),
                        cold: true,
                    },
                );
            }
        }
    }

    /// Makes one attempt.
    async fn attempt(
        &self,
        head: &RequestHead,
        body: &Bytes,
        node: &NodeName,
        route: &RequestRoute,
    ) -> Result<TargetAnswer> {
        let left = route.deadline.since(clock::now());
        if left.is_zero() {
            return Err(CoreError::DeadlineExceeded {
                verdict: RunVerdict::NotRun,
            });
        }
        self.attempts.set(self.attempts.get() + 1);

        let mut head = head.clone();
        head.attempt = route.attempt;
        head.time_left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        name_home(&mut head, node);
        debug!(event = "request-attempt", request_id = %head.id, to = %node, attempt = head.attempt);

        let limit = attempt_limit(&head, left);
        let attempt = async {
            if node == &self.options.node {
                return Ok(self
                    .options
                    .agent
                    .submit(head, body.clone(), route.deadline)
                    .await);
            }
            let link = self.link(node)?;

            link.request(&head, body.clone()).await
        };

        timeout(limit, attempt)
            .await
            .unwrap_or(Err(CoreError::DeadlineExceeded {
                verdict: RunVerdict::Unknown,
            }))
    }

    /// Returns the link to a peer, a new one when the peer has moved.
    fn link(&self, node: &NodeName) -> Result<Rc<PeerLink>> {
        let fleet = self.options.fleet.load();
        let entry = fleet.nodes.get(node).ok_or_else(|| {
            CoreError::unavailable(format!("node {node} is unknown"), RunVerdict::NotRun)
        })?;

        let mut links = self.links.borrow_mut();
        let link = links
            .entry(node.clone())
            .or_insert_with(|| new_link(entry.peers));
        if link.address() != entry.peers {
            *link = new_link(entry.peers);
        }

        Ok(Rc::clone(link))
    }

    /// Learns from an outcome where the requests of a slice go, and how a target stands.
    fn learn(
        &self,
        head: &RequestHead,
        node: &NodeName,
        route: &RequestRoute,
        outcome: &Result<TargetAnswer>,
        took: Duration,
    ) {
        match &route.slice {
            Some(slice) => self.learn_owner(slice, node, outcome),
            None if route.home.is_none() => self.learn_standing(head, node, outcome, took),
            None => {}
        }
    }

    /// Learns the owner of a slice.
    fn learn_owner(&self, slice: &SliceId, node: &NodeName, outcome: &Result<TargetAnswer>) {
        let Ok(answer) = outcome else {
            return;
        };
        let mut routes = self.options.view.routes().borrow_mut();

        match answer.head.refusal.as_deref() {
            None => routes.learn_answer(slice, node, answer.head.epoch),
            Some(NOT_OWNER) => {
                let owner = answer.head.owner.as_ref();
                routes.learn_refusal(slice, node, owner, answer.head.epoch);
            }
            Some(_) => {}
        }
    }

    /// Learns how a target stands.
    fn learn_standing(
        &self,
        head: &RequestHead,
        node: &NodeName,
        outcome: &Result<TargetAnswer>,
        took: Duration,
    ) {
        let result = attempt_result(outcome);
        let hint = outcome
            .as_ref()
            .ok()
            .and_then(|answer| answer.head.load)
            .map(load_hint);

        if let Some(choice) = self.choices.borrow_mut().get_mut(&head.service) {
            let ended = ChoiceEvent::Ended {
                node: node.clone(),
                result,
                took,
                hint,
            };
            choice.handle(clock::now(), ended);
        }
    }

    /// Returns the final answer, or nothing when another attempt follows.
    fn settle(
        &self,
        head: &RequestHead,
        node: NodeName,
        route: &mut RequestRoute,
        outcome: Result<TargetAnswer>,
    ) -> Option<TargetAnswer> {
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
    fn refuse_route(&self, head: &RequestHead, route: &RequestRoute) -> TargetAnswer {
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
        outcome: Result<TargetAnswer>,
    ) -> TargetAnswer {
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
        let question = RetryQuestion {
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
        let decision = self.retries.borrow_mut().decide(clock::now(), &question);

        matches!(decision, RetryDecision::Retry { .. })
    }

    /// Returns whether a node that was not tried may serve the request.
    fn has_other(&self, head: &RequestHead, route: &RequestRoute) -> bool {
        if route.home.is_some() {
            return false;
        }

        match &route.slice {
            Some(slice) => self.next_owner(slice, &route.tried).is_some(),
            None => self
                .choices
                .borrow()
                .get(&head.service)
                .is_some_and(|choice| choice.has_other(clock::now(), &route.tried)),
        }
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

/// Lets an identifier made here name the node that will remember it, so that a repeat by the
/// caller finds it.
fn name_home(head: &mut RequestHead, node: &NodeName) {
    if !head.id_made || head.idempotent || head.key.is_some() {
        return;
    }

    if let Ok(id) = mint_identifier(node, &unique_text()) {
        debug!(event = "identifier-made", request_id = %head.id, named = %id);
        head.id = id;
    }
}

/// Makes a link to a peer.
fn new_link(address: SocketAddr) -> Rc<PeerLink> {
    Rc::new(PeerLink::new(address))
}

/// Returns the longest time that an attempt may take.
fn attempt_limit(head: &RequestHead, left: Duration) -> Duration {
    if head.idempotent && head.class == WorkClass::Short {
        left.min(SHORT_ATTEMPT)
    } else {
        left
    }
}

/// Returns whether a node said that it does not own the key, or could not be reached at all.
fn is_redirection(outcome: &Result<TargetAnswer>) -> bool {
    match outcome {
        Ok(answer) => answer.head.refusal.as_deref() == Some(NOT_OWNER),
        Err(error) => error.verdict() == RunVerdict::NotRun,
    }
}

/// Makes the hint of a load that came along with an answer.
fn load_hint(load: TargetLoad) -> LoadHint {
    LoadHint {
        load: load.load,
        limit: load.limit,
    }
}

/// Returns what an outcome says of the target.
fn attempt_result(outcome: &Result<TargetAnswer>) -> AttemptResult {
    match outcome {
        Ok(answer) => match answer.head.refusal.as_deref() {
            None => AttemptResult::Answered,
            Some("stopping" | "target-draining" | "no-target") => AttemptResult::Leaving,
            Some("target-stalled" | "target-failed") => AttemptResult::Failed {
                verdict: answer.head.verdict,
            },
            Some(_) => AttemptResult::Overloaded,
        },
        Err(error) => AttemptResult::Failed {
            verdict: error.verdict(),
        },
    }
}

/// Returns the reason of a failed attempt, for the log.
fn reason_of(outcome: &Result<TargetAnswer>) -> Arc<str> {
    match outcome {
        Ok(answer) => answer
            .head
            .refusal
            .clone()
            .unwrap_or_else(|| Arc::from("answered")),
        Err(error) => Arc::from(error.to_string()),
    }
}

/// Makes the error of a request that no node is left for.
fn no_owner(route: &RequestRoute) -> CoreError {
    let reason = match &route.slice {
        Some(slice) => format!("no node serves slice {slice} now"),
        None => "no target of the service takes work now".to_owned(),
    };
    let retry_after_ms = u64::try_from(NO_OWNER_RETRY.as_millis()).unwrap_or(0);

    CoreError::overloaded(reason, retry_after_ms)
}
