//! Decides whether and when a request may run at the target.

use super::{
    NODE_STOPPING, SLOW_PACE, TARGET_UNREACHABLE, TargetProxy, replies,
    slots::{Admission, SlotGuard},
};
use crate::{
    messages::{DispatchHead, NotRunFields, PauseKind, PeerReply, ReplyBody},
    outcomes::DispatchEnd,
    pacing::{LinkPromise, PromisedBody},
};
use bytes::Bytes;
use compio::time::sleep;
use futures_channel::oneshot;
use std::{
    cell::Cell,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};
use wagtail_core::units::LocalMoment;
use wagtail_gate::{
    GateArrival, GateRefusal,
    link::{BULK_BYTES, BulkArrival},
    runs::RunEnd,
};
use wagtail_net::clock;
use wagtail_peer::answer::PeerResponse;
use wagtail_shard::table::RowState;

/// The time for which the target's grant of a key must still be valid when a request starts.
const MIN_HOLD_LEFT: Duration = Duration::from_millis(100);

/// The longest time for which a request waits for a key that the table assigns to this target but
/// that has not been granted yet.
const MAX_GRANT_WAIT: Duration = Duration::from_millis(150);

/// The time between two checks whether such a key has been granted.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(15);

impl TargetProxy {
    /// Runs a request at the target and returns the reply, which may be a refusal.
    pub async fn serve(
        &self,
        dispatch_head: &DispatchHead,
        body: Bytes,
    ) -> PeerResponse<PeerReply> {
        let arrived = clock::now();
        let started = Cell::new(None);
        let response = self.run(dispatch_head, body, arrived, &started).await;

        self.record(dispatch_head, &response.head.body, arrived, started.get());
        response
    }

    /// Runs a request that arrived at `arrived`. Sets `started` to the time at which it got a
    /// slot.
    async fn run(
        &self,
        dispatch_head: &DispatchHead,
        body: Bytes,
        arrived: LocalMoment,
        started: &Cell<Option<LocalMoment>>,
    ) -> PeerResponse<PeerReply> {
        let deadline = arrived + Duration::from_millis(u64::from(dispatch_head.time_left_ms));
        if let Some(notice) = &dispatch_head.notice {
            self.apply_notice(notice);
        }
        if let Some(refusal) = self.refuse_head(dispatch_head) {
            return self.not_run(refusal);
        }
        if let Some(refusal) = self.check_shutdown(dispatch_head, deadline) {
            return self.not_run(refusal);
        }
        let is_call = self.observe(dispatch_head);
        if let Some(key) = dispatch_head.key
            && let Some(refusal) = self.wait_for_key(key, deadline).await
        {
            return self.not_run(refusal);
        }

        let promise = match self.promise_link(dispatch_head, deadline) {
            Ok(promise) => promise,
            Err(refusal) => return self.not_run(refusal),
        };

        let content = dispatch_head.content(body.clone());
        let guard = match self.admit(dispatch_head, is_call, deadline).await {
            Ok(guard) => guard,
            Err(refusal) => return self.not_run(refusal),
        };
        if let Some(key) = dispatch_head.key
            && !self.holds(key)
        {
            return self.not_run(self.key_not_held(key));
        }
        // An evacuation may become known, or its time run out, while the request waits.
        if let Some(refusal) = self.check_zone(dispatch_head) {
            return self.not_run(refusal);
        }
        if self.close_if_drained() {
            return self.not_run(replies::elsewhere(GateRefusal::Closed.as_str()));
        }

        // A shutdown may begin while the request waits for its slot, or a crash become known.
        if let Some(refusal) = self.check_shutdown(dispatch_head, deadline) {
            return self.not_run(refusal);
        }
        if let Some(refusal) = self.check_standing(&content) {
            return self.not_run(refusal);
        }

        self.begin_run(guard.ticket, dispatch_head, content, deadline);
        started.set(Some(clock::now()));
        let mut response = self.dispatch(dispatch_head, body, deadline, guard).await;
        if let Some(promise) = promise {
            response.body = Box::new(PromisedBody::new(response.body, promise));
        }
        response
    }

    /// Returns the reply to a request with a large body that is refused for what its head says, before the
    /// body is sent. Uploads that ask several full targets would otherwise take the links of all of them.
    pub fn refuse_early(
        &self,
        dispatch_head: &DispatchHead,
        length: u64,
    ) -> Option<PeerResponse<PeerReply>> {
        if length < BULK_BYTES {
            return None;
        }
        let refusal = self.refuse_head(dispatch_head)?;

        let response = self.not_run(refusal);
        self.record(dispatch_head, &response.head.body, clock::now(), None);
        Some(response)
    }

    /// Returns the refusal of a request that this target cannot run, or that is better sent to another one.
    fn refuse_head(&self, dispatch_head: &DispatchHead) -> Option<NotRunFields> {
        if let Some(refusal) = self.check(dispatch_head) {
            return Some(refusal);
        }
        if let Some(refusal) = self.check_zone(dispatch_head) {
            return Some(refusal);
        }

        self.declines(dispatch_head).then(|| {
            let refusal = GateRefusal::SlotsTaken;
            self.gate_refusal(dispatch_head, refusal, Duration::ZERO)
        })
    }

    /// Returns whether a request is declined, as it would wait longer for a slot than its caller's node
    /// accepts, or the VM is slow at present.
    fn declines(&self, dispatch_head: &DispatchHead) -> bool {
        let Some(accepted_ms) = dispatch_head.accepted_wait_ms else {
            return false;
        };
        let state = self.state.borrow();
        if state.gate.pace(clock::now()) >= SLOW_PACE {
            return true;
        }
        if !state.gate.has_taken_slots() {
            return false;
        }

        let is_call = state
            .origins
            .is_call(&dispatch_head.route, &dispatch_head.caller_service);
        let wait = state
            .gate
            .expected_wait(is_call, dispatch_head.priority, clock::now());
        wait > Duration::from_millis(accepted_ms.into()).as_secs_f32()
    }

    /// Promises the link to the response of a request if that is expected to be large.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the link could not send the response in time.
    fn promise_link(
        &self,
        dispatch_head: &DispatchHead,
        deadline: LocalMoment,
    ) -> std::result::Result<Option<LinkPromise>, NotRunFields> {
        let now = clock::now();
        let arrival = {
            let state = self.state.borrow();
            let bytes = state.response_sizes.expected(&dispatch_head.route);
            if bytes < BULK_BYTES {
                return Ok(None);
            }
            let objective = Duration::from_millis(u64::from(dispatch_head.objective_ms));
            let elapsed = Duration::from_millis(u64::from(dispatch_head.elapsed_ms));
            BulkArrival {
                bytes,
                objective,
                objective_left: objective.saturating_sub(elapsed),
                time_left: deadline.since(now),
                service_time: state.gate.expected_time(
                    &dispatch_head.route,
                    dispatch_head.priority,
                    now,
                ),
            }
        };

        match self.link.refusal(arrival) {
            Some(retry_after) => Err(NotRunFields {
                reason: Arc::from("link-busy"),
                pause_ms: replies::millis_up(retry_after),
                reached_target: false,
                elsewhere: dispatch_head.key.is_none(),
                pause_kind: PauseKind::Estimate,
                holder: None,
                load: Some(self.load_for(&dispatch_head.route)),
            }),
            None => Ok(Some(self.link.promise(arrival.bytes))),
        }
    }

    /// Records the size of a response body in bytes.
    pub(super) fn observe_size(&self, dispatch_head: &DispatchHead, bytes: u64) {
        let mut state = self.state.borrow_mut();
        state.response_sizes.observe(&dispatch_head.route, bytes);
    }

    /// Records the outcome and the timing of a request.
    pub(super) fn record(
        &self,
        dispatch_head: &DispatchHead,
        reply: &ReplyBody,
        arrived: LocalMoment,
        started: Option<LocalMoment>,
    ) {
        let now = clock::now();
        let (outcome, failed) = match reply {
            ReplyBody::Completed(fields) => ("answered", fields.status >= 500),
            ReplyBody::NotRun(fields) => {
                let is_declined = &*fields.reason == GateRefusal::SlotsTaken.as_str();
                (&*fields.reason, !is_declined)
            }
            // `failed` has logged it together with its cause.
            _ => return,
        };
        let load = self.load();

        self.recorder.dispatch_ended(
            &DispatchEnd {
                dispatch_head,
                outcome,
                waited: started.unwrap_or(now).since(arrived),
                ran: started.map(|started| now.since(started)),
                running: load.running,
                waiting: load.waiting,
                service_ms: load.service_ms,
            },
            failed,
        );
    }

    /// Records the origin of a request. Returns whether it is a call, which running work sends, and not new
    /// work.
    fn observe(&self, dispatch_head: &DispatchHead) -> bool {
        self.state
            .borrow_mut()
            .origins
            .observe(&dispatch_head.route, &dispatch_head.caller_service)
    }

    /// Returns the refusal if this node cannot run the request at all.
    fn check(&self, dispatch_head: &DispatchHead) -> Option<NotRunFields> {
        let state = self.state.borrow();
        let reason = if dispatch_head.service != self.settings.service {
            "other-service"
        } else if state.ended || state.keeper.life().is_none() {
            "target-down"
        } else if state.leaving_since.is_none() && state.end_detector.is_refusing() {
            TARGET_UNREACHABLE
        } else if state.stopping {
            // A request that started now would be cut off by the end of the process.
            NODE_STOPPING
        } else {
            return None;
        };

        Some(replies::elsewhere(reason))
    }

    /// Returns the refusal of a request that would be cut off by the end of this node's shutdown.
    fn check_shutdown(
        &self,
        dispatch_head: &DispatchHead,
        deadline: LocalMoment,
    ) -> Option<NotRunFields> {
        let state = self.state.borrow();
        let ends_in_time = (state.shutdown).admits(&dispatch_head.route, deadline, clock::now());

        (!ends_in_time).then(|| replies::elsewhere(NODE_STOPPING))
    }

    /// Counts an arrival for a key and waits for its grant if that is expected within
    /// `MAX_GRANT_WAIT`. Returns the refusal if the target does not get the key in time.
    async fn wait_for_key(&self, key: u16, deadline: LocalMoment) -> Option<NotRunFields> {
        let wait_start = clock::now();
        self.state.borrow_mut().keys.count(key, wait_start);

        while !self.holds(key) {
            let now = clock::now();
            if !self.is_assigned(key) || now >= deadline {
                return Some(self.key_not_held(key));
            }
            // The key is granted in the reply to the next heartbeat.
            let until_heartbeat = self.next_heartbeat().since(now);
            if now.since(wait_start) > MAX_GRANT_WAIT || until_heartbeat > MAX_GRANT_WAIT {
                return Some(NotRunFields {
                    reason: Arc::from("key-not-granted"),
                    pause_ms: u32::try_from((until_heartbeat + GRANT_POLL_INTERVAL).as_millis())
                        .unwrap_or(u32::MAX),
                    elsewhere: false,
                    ..replies::elsewhere("")
                });
            }
            sleep(GRANT_POLL_INTERVAL).await;
        }

        None
    }

    /// Returns the time at which the next heartbeat of the target is expected.
    fn next_heartbeat(&self) -> LocalMoment {
        let last_heartbeat = self.state.borrow().last_heartbeat;

        last_heartbeat.map_or(LocalMoment::ZERO, |at| at + self.settings.heartbeat)
    }

    /// Returns whether the target holds a key for at least `MIN_HOLD_LEFT` from now on.
    fn holds(&self, key: u16) -> bool {
        self.state
            .borrow()
            .keeper
            .holds(key, clock::now(), MIN_HOLD_LEFT)
    }

    /// Returns whether the table assigns a key to the current incarnation of this target.
    fn is_assigned(&self, key: u16) -> bool {
        let state = self.state.borrow();
        let Some(versioned) = self.view.table(&self.settings.service) else {
            return false;
        };

        state.keeper.life().is_some_and(|life| {
            versioned
                .table
                .row(key)
                .is_some_and(|row| row.is_held_by(life) && row.state == RowState::Held)
        })
    }

    /// Creates the refusal for a key that the target does not hold. If the table assigns the key to
    /// a target of another node, the refusal names that node.
    pub(super) fn key_not_held(&self, key: u16) -> NotRunFields {
        let holder = self
            .view
            .table(&self.settings.service)
            .and_then(|versioned| {
                let row = versioned.table.row(key)?;
                row.holder.as_ref().map(|holder| Arc::clone(&holder.node))
            })
            .filter(|node| *node != self.settings.node);

        NotRunFields {
            reason: Arc::from("key-not-held"),
            pause_ms: replies::NO_HOLDER_RETRY_AFTER_MS,
            reached_target: false,
            elsewhere: holder.is_some(),
            pause_kind: PauseKind::Estimate,
            holder,
            load: None,
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the gate does not admit the request.
    async fn admit(
        &self,
        dispatch_head: &DispatchHead,
        is_call: bool,
        deadline: LocalMoment,
    ) -> std::result::Result<SlotGuard, NotRunFields> {
        let now = clock::now();
        self.update_cold_rate(now);
        self.log_warmth(now);

        let (sender, receiver) = oneshot::channel();
        let (ticket, actions) = {
            let mut state = self.state.borrow_mut();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            state.waiters.insert(ticket, sender);

            let objective = Duration::from_millis(u64::from(dispatch_head.objective_ms));
            let elapsed = Duration::from_millis(u64::from(dispatch_head.elapsed_ms));
            let arrival = GateArrival {
                ticket,
                class: Arc::clone(&dispatch_head.route),
                is_call,
                priority: dispatch_head.priority,
                objective_left: objective.saturating_sub(elapsed),
                objective,
                deadline,
                repeat_id: dispatch_head
                    .key
                    .is_some()
                    .then(|| repeat_id(dispatch_head)),
            };
            (ticket, state.gate.arrive(arrival, now))
        };
        let guard = SlotGuard {
            proxy: self.clone(),
            ticket,
            started: Cell::new(false),
            executed: Cell::new(false),
            run_end: Cell::new(RunEnd::Unresolved),
        };
        self.apply_actions(actions);

        match receiver.await {
            Ok(Admission::Started) => {
                guard.started.set(true);
                Ok(guard)
            }
            Ok(Admission::Refused {
                refusal,
                retry_after,
            }) => Err(self.gate_refusal(dispatch_head, refusal, retry_after)),
            // The gate decides on every request, so this is not expected; it counts as a refusal.
            Err(_canceled) => Err(replies::elsewhere("gate-lost")),
        }
    }

    /// Creates the reply for a refusal by the gate.
    fn gate_refusal(
        &self,
        dispatch_head: &DispatchHead,
        refusal: GateRefusal,
        retry_after: Duration,
    ) -> NotRunFields {
        let pause_kind = match refusal {
            GateRefusal::LimitReached if dispatch_head.key.is_some() => PauseKind::Exact,
            GateRefusal::LimitReached => PauseKind::Minimum,
            _ => PauseKind::Estimate,
        };

        NotRunFields {
            reason: Arc::from(refusal.as_str()),
            pause_ms: replies::millis_up(retry_after),
            reached_target: false,
            elsewhere: dispatch_head.key.is_none(),
            pause_kind,
            holder: None,
            load: Some(self.load_for(&dispatch_head.route)),
        }
    }
}

/// Returns a number that a request and its repetitions by the same caller have in common.
fn repeat_id(dispatch_head: &DispatchHead) -> u64 {
    let mut hasher = DefaultHasher::new();
    dispatch_head.method.hash(&mut hasher);
    dispatch_head.path.hash(&mut hasher);
    dispatch_head.key.hash(&mut hasher);

    hasher.finish()
}
