//! Forwards a caller's request to a node whose target may run it, and retries at other nodes.

mod ending;
mod job;
mod nodes;
mod probing;

pub use job::ForwardJob;

use crate::{
    evacuations::ZONE_EVACUATED,
    front_state::FrontState,
    links::NodeLinks,
    messages::{
        CompletedFields, DispatchHead, NoticeReport, PeerReply, PeerRequest, ReplyBody,
        TargetNotice,
    },
    proxy::{NODE_STOPPING, TargetProxy},
    settings::SidecarSettings,
    view::FleetView,
};
use ending::unreachable_refusal;
use futures_util::{
    StreamExt,
    future::{Either, pending, select},
    stream::FuturesUnordered,
};
use job::{AttemptTerms, EndedAttempt, ForwardAttempts};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use wagtail_core::{CoreError, ports::BodyStream, service::WorkClass, verdict::RunVerdict};
use wagtail_gate::{GateRefusal, sizes::ResponseSizes};
use wagtail_net::{clock, stop::StopSignal};
use wagtail_peer::{answer::PeerResponse, link::SilencePolicy};
use wagtail_route::{
    RetryBudget,
    attempts::may_relay,
    pick::{LoadReport, PickOptions, TargetPicker},
    room::RoomSearch,
};

/// `ForwardOutcome` is the final outcome of a forwarded request.
#[derive(Debug)]
pub enum ForwardOutcome {
    /// A target responded, with any status.
    Completed {
        /// The status, the header fields and the load of the target.
        fields: CompletedFields,
        /// The body of the response.
        body: Box<dyn BodyStream>,
    },
    /// The request did not run and will not run.
    NotRun {
        /// The stable code of the reason.
        reason: Arc<str>,
        /// The time after which a retry is expected to succeed.
        pause: Duration,
    },
    /// The request may have run, but there is no response.
    Failed {
        /// The stable code of the reason.
        reason: Arc<str>,
    },
}

/// `RequestForwarder` sends requests to the nodes of their targets, within a retry budget for each
/// service.
#[derive(Debug)]
pub struct RequestForwarder {
    settings: Rc<SidecarSettings>,
    view: FleetView,
    links: NodeLinks,
    proxy: TargetProxy,
    picker: Rc<RefCell<TargetPicker>>,
    /// The unreachable nodes that are being probed.
    probing: Rc<RefCell<HashSet<Arc<str>>>>,
    budgets: RefCell<HashMap<Arc<str>, RetryBudget>>,
    /// What nodes last reported of their targets, if it binds requests to them.
    notices: RefCell<HashMap<Arc<str>, TargetNotice>>,
    response_sizes: RefCell<ResponseSizes>,
    /// How long requests for each service take to find a target with room.
    room: RefCell<HashMap<Arc<str>, RoomSearch>>,
    random: RefCell<ChaCha8Rng>,
    front: FrontState,
}

impl RequestForwarder {
    /// Creates a forwarder. `seed` determines the choice of targets and the spread of retries.
    pub fn new(
        settings: Rc<SidecarSettings>,
        view: FleetView,
        links: NodeLinks,
        proxy: TargetProxy,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            view,
            links,
            proxy,
            picker: Rc::new(RefCell::new(TargetPicker::new(
                PickOptions::default(),
                seed,
            ))),
            probing: Rc::default(),
            budgets: RefCell::default(),
            notices: RefCell::default(),
            response_sizes: RefCell::default(),
            room: RefCell::default(),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            front: FrontState::default(),
        }
    }

    /// Returns this forwarder with the state that tells which requests still end before the process.
    #[must_use]
    pub fn with_front(self, front: FrontState) -> Self {
        Self { front, ..self }
    }

    /// Records that a node has started and is reachable.
    pub fn node_started(&self, node: &Arc<str>) {
        self.picker.borrow_mut().forget(node);
    }

    /// Sends a request to one node after another until it has a response or must be given up.
    ///
    /// A node that falls silent may still be at work on the request. Another node may be asked
    /// meanwhile, but the silent one is not given up before its connection is closed.
    pub async fn forward(&self, job: &ForwardJob) -> ForwardOutcome {
        self.with_budget(&job.dispatch_head.service, RetryBudget::deposit);
        let mut attempts = ForwardAttempts::default();
        let mut in_flight = FuturesUnordered::new();
        // The attempt that is not silent, by its ordinal, with the signal that it has fallen silent.
        let mut heard: Option<(usize, StopSignal)> = None;

        loop {
            if heard.is_none()
                && let Some(node) = self.next_attempt(job, &attempts)
            {
                let silence = StopSignal::new();
                let ordinal = job.asked.borrow().len();
                job.asked.borrow_mut().push(Arc::clone(&node));
                self.picker.borrow_mut().sent(&node);
                let terms = AttemptTerms {
                    accepted_wait_ms: self.accepted_wait_ms(job, &attempts),
                    is_repeat: attempts.record.has_failed(),
                };
                in_flight.push(self.attempt(job, node, ordinal, terms, silence.clone()));
                heard = Some((ordinal, silence));
            }
            if in_flight.is_empty() {
                return self.give_up(job, attempts);
            }

            let ended = {
                let silenced = async {
                    match &heard {
                        Some((_, silence)) => silence.wait().await,
                        None => pending().await,
                    }
                };
                match select(in_flight.next(), pin!(silenced)).await {
                    Either::Left((ended, _)) => ended,
                    Either::Right(((), _)) => None,
                }
            };

            let Some(ended) = ended else {
                heard = None;
                self.record_silence(job, &mut attempts);
                continue;
            };
            if heard
                .take_if(|(ordinal, _)| *ordinal == ended.ordinal)
                .is_none()
            {
                attempts.record.record_silence_end();
            }
            if let Some(outcome) = self.record_attempt(job, ended, &mut attempts) {
                return outcome;
            }
        }
    }

    /// Returns the node to send a request to now, or `None` if no further attempt may be made.
    fn next_attempt(&self, job: &ForwardJob, attempts: &ForwardAttempts) -> Option<Arc<str>> {
        let node = self.next_node(job, attempts)?;
        let shutdown = self.front.shutdown();
        if !shutdown.admits(&job.route.name, job.deadline, clock::now()) {
            return None;
        }
        let is_retry = attempts.record.at_targets() > 0;

        (!is_retry || self.may_retry(job, attempts)).then_some(node)
    }

    /// Sends a request to one node and waits for its reply. Triggers `silence` when the node falls
    /// silent, if another one may be asked meanwhile.
    async fn attempt(
        &self,
        job: &ForwardJob,
        node: Arc<str>,
        ordinal: usize,
        terms: AttemptTerms,
        silence: StopSignal,
    ) -> EndedAttempt {
        let sent_at = clock::now();
        let response = self.send(job, &node, terms, silence).await;

        EndedAttempt {
            node,
            ordinal,
            took: clock::now().since(sent_at),
            response,
        }
    }

    /// Records that the node that was asked last has fallen silent.
    fn record_silence(&self, job: &ForwardJob, attempts: &mut ForwardAttempts) {
        let Some(node) = job.asked.borrow().last().cloned() else {
            return;
        };

        attempts.record.record_silence();
        self.picker.borrow_mut().unreachable(&node, clock::now());
        self.probe(&node);
        tracing::info!(
            event = "node-silent", request_id = %job.dispatch_head.id, node = %node
        );
    }

    /// Records how an attempt ended. Returns the outcome of the request if that was its last one.
    fn record_attempt(
        &self,
        job: &ForwardJob,
        ended: EndedAttempt,
        attempts: &mut ForwardAttempts,
    ) -> Option<ForwardOutcome> {
        let node = &ended.node;
        let response = match ended.response {
            Ok(response) => response,
            Err(error) => {
                self.picker.borrow_mut().unreachable(node, clock::now());
                self.probe(node);
                let reason: Arc<str> = Arc::from(error.to_string());
                tracing::info!(
                    event = "node-unreachable", request_id = %job.dispatch_head.id, node = %node,
                    verdict = error.verdict().as_str(), reason = %reason
                );
                if error.verdict() == RunVerdict::NotRun {
                    let refusal = unreachable_refusal();
                    attempts.refusal = Some(refusal.with_sooner(attempts.refusal.take()));
                } else {
                    attempts.record.record_failure(Arc::from("node-lost"));
                }
                return None;
            }
        };

        self.record_notice(node, response.head.notice);
        match response.head.body {
            ReplyBody::Completed(fields) => {
                self.record_load(job, node, fields.load);
                self.record_response_size(job, &fields);
                self.record_room(job, ended.ordinal, true);
                if !may_relay(fields.status, job.route.kind.is_idempotent()) {
                    return Some(ForwardOutcome::Failed {
                        reason: Arc::from("refusal-not-stated"),
                    });
                }
                Some(ForwardOutcome::Completed {
                    fields,
                    body: response.body,
                })
            }
            ReplyBody::NotRun(fields) => {
                if let Some(load) = fields.load {
                    self.record_load(job, node, load);
                    self.record_room(job, ended.ordinal, false);
                }
                if &*fields.reason == GateRefusal::SlotsTaken.as_str() {
                    let service = &job.dispatch_head.service;
                    self.with_room(service, |room| room.record_round_trip(ended.took));
                    attempts.declined.push(Arc::clone(node));
                    return None;
                }
                if &*fields.reason == NODE_STOPPING {
                    self.picker.borrow_mut().unreachable(node, clock::now());
                }
                if &*fields.reason == ZONE_EVACUATED
                    && let Some(record) = self.view.node(node)
                {
                    attempts.evacuated_zones.push(Arc::clone(&record.zone));
                }
                attempts.record.record_refusal(fields.reached_target);
                attempts.holder_hint.clone_from(&fields.holder);
                if &*fields.reason == ZONE_EVACUATED && !job.keyed && attempts.refusal.is_some() {
                    // The target has no part in when the request may run.
                    return None;
                }
                attempts.refusal = Some(fields.with_sooner(attempts.refusal.take()));
                None
            }
            ReplyBody::Failed { reason, load } => {
                self.record_load(job, node, load);
                attempts.record.record_failure(reason);
                None
            }
            _ => {
                attempts
                    .record
                    .record_failure(Arc::from("unexpected-reply"));
                None
            }
        }
    }

    /// Returns what the present process of a node may not know of its target: what the target stated to an earlier
    /// process, or that it has announced its leave.
    fn notice_for(&self, node: &Arc<str>) -> Option<TargetNotice> {
        let stated = self.notices.borrow().get(node).cloned();
        let record = self.view.node(node);
        let departure = record
            .as_ref()
            .and_then(|record| record.departures.latest());

        match departure {
            Some(departure)
                if stated
                    .as_ref()
                    .is_none_or(|notice| departure.covers(&notice.life)) =>
            {
                Some(TargetNotice::from(departure))
            }
            _ => stated,
        }
    }

    /// Records what a node reported of its target, so that a later process of that node learns of it.
    fn record_notice(&self, node: &Arc<str>, report: NoticeReport) {
        let mut notices = self.notices.borrow_mut();

        match report {
            NoticeReport::Unknown => {}
            NoticeReport::Nothing => {
                notices.remove(node);
            }
            NoticeReport::Stated(notice) => {
                notices.retain(|known, _| self.view.node(known).is_some());
                notices.insert(Arc::clone(node), notice);
            }
        }
    }

    /// Records the load that came with a reply.
    fn record_load(&self, job: &ForwardJob, node: &Arc<str>, load: LoadReport) {
        let mut picker = self.picker.borrow_mut();
        picker.reported(node, &job.route.name, load, clock::now());
    }

    /// Records whether a target had room for a request, if an earlier one that was asked had none.
    fn record_room(&self, job: &ForwardJob, ordinal: usize, has_room: bool) {
        if ordinal > 0 && !job.keyed {
            let now = clock::now();
            self.with_room(&job.dispatch_head.service, |room| {
                room.record_room(has_room, now);
            });
        }
    }

    /// Sends a request to a node, which may be this one, and waits for the head of its reply. Triggers
    /// `silence` when the node falls silent and the request may be repeated.
    async fn send(
        &self,
        job: &ForwardJob,
        node: &Arc<str>,
        terms: AttemptTerms,
        silence: StopSignal,
    ) -> Result<PeerResponse<PeerReply>, CoreError> {
        let now = clock::now();
        let useful_until = self.front.shutdown().useful_until(job.deadline);
        let dispatch_head = DispatchHead {
            elapsed_ms: millis(job.waited + now.since(job.started_at)),
            time_left_ms: millis(useful_until.since(now)),
            notice: self.notice_for(node),
            accepted_wait_ms: terms.accepted_wait_ms,
            is_repeat: terms.is_repeat,
            ..job.dispatch_head.clone()
        };
        if *node == self.settings.node {
            return Ok(self.proxy.serve(&dispatch_head, job.body.clone()).await);
        }

        let class = if job.route.kind.is_bulk() {
            WorkClass::Long
        } else {
            WorkClass::Short
        };
        let policy = if job.route.kind.is_idempotent() {
            SilencePolicy::Report(silence)
        } else {
            SilencePolicy::Wait
        };
        let request = PeerRequest::Dispatch(Box::new(dispatch_head));
        let body = self.proxy.link().paced_request(job.body.clone());

        self.links
            .exchange(node, &request, class, policy, body)
            .await
    }

    /// Records the size of a response whose length is known.
    fn record_response_size(&self, job: &ForwardJob, fields: &CompletedFields) {
        if let Some(length) = fields.body_bytes {
            let mut sizes = self.response_sizes.borrow_mut();
            sizes.observe(&job.route.name, length);
        }
    }
}

/// Returns a duration in milliseconds, rounded down and at most `u32::MAX`.
fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
