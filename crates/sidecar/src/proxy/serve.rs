//! Whether a request may run here, and when.

use super::{
    NODE_STOPPING, TargetProxy, replies,
    slots::{Admission, SlotGuard},
};
use crate::{
    messages::{DispatchHead, NotRunFields, PeerReply, ReplyBody},
    outcomes::DispatchEnd,
};
use bytes::Bytes;
use compio::time::sleep;
use futures_channel::oneshot;
use std::{cell::Cell, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_gate::{GateArrival, GateOptions, GateRefusal};
use wagtail_net::clock;
use wagtail_peer::answer::PeerResponse;
use wagtail_shard::table::RowState;

/// The time that a hold must still last when a request starts.
const HOLD_MARGIN: Duration = Duration::from_millis(100);

/// The longest wait for a key that the table names this target for and that it is about to get.
const GRANT_WAIT: Duration = Duration::from_millis(150);

/// The time between two looks for such a key.
const GRANT_LOOK: Duration = Duration::from_millis(15);

impl TargetProxy {
    /// Runs a request at the target, or says that it did not run.
    pub async fn serve(
        &self,
        dispatch_head: &DispatchHead,
        body: Bytes,
    ) -> PeerResponse<PeerReply> {
        let arrived = clock::now();
        let started = Cell::new(None);
        let answer = self.run(dispatch_head, body, arrived, &started).await;

        self.record(dispatch_head, &answer.head.body, arrived, started.get());
        answer
    }

    /// Runs a request that arrived at `arrived`. Sets the moment at which it got its slot.
    async fn run(
        &self,
        dispatch_head: &DispatchHead,
        body: Bytes,
        arrived: LocalMoment,
        started: &Cell<Option<LocalMoment>>,
    ) -> PeerResponse<PeerReply> {
        let deadline = arrived + Duration::from_millis(u64::from(dispatch_head.time_left_ms));
        if let Some(refusal) = self.check(dispatch_head) {
            return self.not_run(refusal);
        }
        let is_call = self.observe(dispatch_head);
        if let Some(key) = dispatch_head.key
            && let Some(refusal) = self.wait_for_key(key, deadline).await
        {
            return self.not_run(refusal);
        }

        let guard = match self.admit(dispatch_head, is_call, deadline).await {
            Ok(guard) => guard,
            Err(refusal) => return self.not_run(refusal),
        };
        if let Some(key) = dispatch_head.key
            && !self.holds(key)
        {
            return self.not_run(self.other_holder(key));
        }

        started.set(Some(clock::now()));
        let mut answer = self.dispatch(dispatch_head, body, deadline, guard).await;
        if is_call {
            replies::tell_load(&mut answer.head.body, self.load_for(true));
        }
        answer
    }

    /// Records how a request ended.
    fn record(
        &self,
        dispatch_head: &DispatchHead,
        reply: &ReplyBody,
        arrived: LocalMoment,
        started: Option<LocalMoment>,
    ) {
        let now = clock::now();
        let (outcome, failed) = match reply {
            ReplyBody::Completed(fields) => ("answered", fields.status >= 500),
            ReplyBody::NotRun(fields) => (&*fields.reason, true),
            // Its line was written with the cause.
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

    /// Takes note of where a request began; returns whether it is a call of running work.
    fn observe(&self, dispatch_head: &DispatchHead) -> bool {
        let mut state = self.state.borrow_mut();
        let is_call = state
            .origins
            .observe(&dispatch_head.route, &dispatch_head.caller_service);

        if is_call {
            state.pressure.called(dispatch_head.caller_priority);
        } else {
            state.work_priority = dispatch_head.priority;
        }

        let wait = state
            .gate
            .expected_wait(is_call, dispatch_head.priority, clock::now());
        let objective = Duration::from_millis(u64::from(dispatch_head.objective_ms));
        state
            .pressure
            .arrived(is_call, dispatch_head.priority, wait, objective);
        is_call
    }

    /// Returns why a request cannot run here at all.
    fn check(&self, dispatch_head: &DispatchHead) -> Option<NotRunFields> {
        let state = self.state.borrow();
        let reason = if dispatch_head.service != self.settings.service {
            "other-service"
        } else if state.ended || state.keeper.life().is_none() {
            "target-down"
        } else if state.stopping {
            // Whatever began now would be cut off by the end of the process.
            NODE_STOPPING
        } else {
            return None;
        };

        Some(replies::elsewhere(reason))
    }

    /// Counts an arrival for a key and waits a little when the target is about to get it.
    async fn wait_for_key(&self, key: u16, deadline: LocalMoment) -> Option<NotRunFields> {
        let began = clock::now();
        self.state.borrow_mut().keys.count(key, began);

        while !self.holds(key) {
            let now = clock::now();
            if !self.is_named(key) || now >= deadline {
                return Some(self.other_holder(key));
            }
            // The key comes with the answer to the next heartbeat.
            let rest = self.next_beat().since(now);
            if now.since(began) > GRANT_WAIT || rest > GRANT_WAIT {
                return Some(NotRunFields {
                    reason: Arc::from("key-not-granted"),
                    pause_ms: u32::try_from((rest + GRANT_LOOK).as_millis()).unwrap_or(u32::MAX),
                    elsewhere: false,
                    ..replies::elsewhere("")
                });
            }
            sleep(GRANT_LOOK).await;
        }

        None
    }

    /// Returns the moment at which the next heartbeat of the target is expected.
    fn next_beat(&self) -> LocalMoment {
        let beat_at = self.state.borrow().beat_at;

        beat_at.map_or(LocalMoment::ZERO, |at| at + self.settings.heartbeat)
    }

    /// Returns whether the target holds a key.
    fn holds(&self, key: u16) -> bool {
        self.state
            .borrow()
            .keeper
            .holds(key, clock::now(), HOLD_MARGIN)
    }

    /// Returns whether the table names this target for a key.
    fn is_named(&self, key: u16) -> bool {
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

    /// Makes the refusal of a key that the target does not hold.
    fn other_holder(&self, key: u16) -> NotRunFields {
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
            pause_ms: replies::NO_HOLDER_PAUSE_MS,
            reached_target: false,
            elsewhere: holder.is_some(),
            holder,
            load: None,
        }
    }

    /// Waits for a slot.
    async fn admit(
        &self,
        dispatch_head: &DispatchHead,
        is_call: bool,
        deadline: LocalMoment,
    ) -> std::result::Result<SlotGuard, NotRunFields> {
        let now = clock::now();
        if !is_call && !self.state.borrow_mut().throttle.admit(now) {
            let retry_after = GateOptions::default().min_retry_after;
            return Err(self.refused(dispatch_head, is_call, GateRefusal::CalleeBusy, retry_after));
        }

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
            };
            (ticket, state.gate.arrive(arrival, now))
        };
        let guard = SlotGuard {
            proxy: self.clone(),
            ticket,
            started: Cell::new(false),
            worked: Cell::new(false),
        };
        self.carry_out(actions);

        match receiver.await {
            Ok(Admission::Started) => {
                guard.started.set(true);
                Ok(guard)
            }
            Ok(Admission::Refused {
                refusal,
                retry_after,
            }) => Err(self.refused(dispatch_head, is_call, refusal, retry_after)),
            // The gate always answers; a lost answer is a refusal.
            Err(_canceled) => Err(replies::elsewhere("gate-lost")),
        }
    }

    /// Makes the refusal of the gate.
    fn refused(
        &self,
        dispatch_head: &DispatchHead,
        is_call: bool,
        refusal: GateRefusal,
        retry_after: Duration,
    ) -> NotRunFields {
        NotRunFields {
            reason: Arc::from(refusal.as_str()),
            pause_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            reached_target: false,
            elsewhere: dispatch_head.key.is_none(),
            holder: None,
            load: Some(self.load_for(is_call)),
        }
    }
}
