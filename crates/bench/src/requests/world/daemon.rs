//! The events at the daemons of the targets.

use super::{CANCEL_NOTICE, ConnectionState, LOCAL_DELAY, Reply, World, WorldEvent};
use crate::requests::checks::InvariantName;
use std::time::Duration;
use wagtail_admit::{
    AdmitAction, AdmitEvent, AdmitRefusal, WorkArrival, WorkOutcome, messages::IdentifierAge,
};
use wagtail_core::{ids::RequestId, service::WorkClass};

impl World {
    /// Handles the arrival of an attempt at the daemon of its target.
    pub(super) fn arrive(&mut self, attempt: usize) {
        let state = &mut self.attempts[attempt];
        let record = &self.calls[state.call];
        let id = RequestId::new(format!("call-{}", record.plan.identifier));

        state.awaits_response = true;
        state.arrived = self.now;

        let arrival = WorkArrival {
            ticket: attempt as u64,
            id: id.expect("the identifier is allowed"),
            tenant: record.state.tenant.clone(),
            operation: match record.plan.class {
                WorkClass::Short => self.short.clone(),
                WorkClass::Long => self.long.clone(),
            },
            class: record.plan.declared,
            idempotent: record.plan.idempotent,
            deadline: state.deadline,
            slice: record.plan.slice,
            age: IdentifierAge::Unknown,
        };
        let node = state.node;
        let check = state.deadline + Duration::from_micros(1);

        self.schedule(check.max(self.now), WorldEvent::DeadlineCheck(attempt));
        self.handle(node, AdmitEvent::Arrived(arrival));
    }

    /// Passes an event to the policy of a node and performs its actions.
    pub(super) fn handle(&mut self, node: usize, event: AdmitEvent) {
        let actions = self.daemons[node].policy.handle(self.now, event);

        for action in actions {
            self.perform(node, &action);
        }

        self.schedule_tick(node);
    }

    /// Schedules the next tick of a node, unless one is due as early.
    fn schedule_tick(&mut self, node: usize) {
        let daemon = &mut self.daemons[node];
        let Some(wanted) = daemon.policy.next_wakeup() else {
            return;
        };
        let wanted = wanted.max(self.now);

        if daemon.tick.is_some_and(|tick| tick <= wanted) {
            return;
        }

        daemon.tick = Some(wanted);
        self.schedule(wanted, WorldEvent::Tick(node));
    }

    /// Passes a tick to the policy of a node.
    pub(super) fn tick(&mut self, node: usize) {
        // A tick that was replaced by an earlier one does nothing.
        if self.daemons[node].tick != Some(self.now) {
            return;
        }

        self.daemons[node].tick = None;
        self.handle(node, AdmitEvent::Tick);
    }

    /// Performs one action of a policy.
    fn perform(&mut self, node: usize, action: &AdmitAction) {
        match *action {
            AdmitAction::Dispatch { ticket } => self.dispatch(node, index(ticket)),
            AdmitAction::Refuse {
                ticket,
                refusal,
                verdict,
                ..
            } => {
                self.check_immediate_refusal(index(ticket), refusal);
                self.send_final_response(index(ticket), Reply::Refusal { refusal, verdict });
            }
            AdmitAction::CancelAtTarget { ticket } => self.cancel_at_target(index(ticket)),
            AdmitAction::Replay { ticket, of } => self.replay(node, index(ticket), of),
            AdmitAction::Keep { ticket } => {
                let call = self.attempts[index(ticket)].call;
                let identifier = self.calls[call].plan.identifier;

                self.daemons[node].kept.insert(ticket, identifier);
            }
            AdmitAction::Forget { ticket } => {
                self.daemons[node].kept.remove(&ticket);
            }
            AdmitAction::SliceDrained { .. } | AdmitAction::AllDone => {}
        }
    }

    /// Dispatches a request to the target, on a new connection when none is idle.
    fn dispatch(&mut self, node: usize, attempt: usize) {
        let target = &mut self.daemons[node].target;
        let connect = if target.connect() {
            self.options.size.connect
        } else {
            Duration::ZERO
        };
        let within = target.connections <= self.options.size.connections;
        let starts = self.now + LOCAL_DELAY + connect;

        self.checks.check(InvariantName::WithinSlots, within);
        self.attempts[attempt].starts = starts;
        self.attempts[attempt].connection = ConnectionState::Held;
        self.schedule(starts, WorldEvent::Start(attempt));
    }

    /// Handles the outcome of a dispatched request at the daemon.
    pub(super) fn report(&mut self, attempt: usize, outcome: WorkOutcome) {
        let node = self.attempts[attempt].node;
        let abandoned = outcome == WorkOutcome::Abandoned;

        // Nothing arrives over a closed connection.
        if self.attempts[attempt].connection == ConnectionState::Closed && !abandoned {
            return;
        }

        let held = self.attempts[attempt].connection == ConnectionState::Held;
        let took = self.now.since(self.attempts[attempt].starts);
        let event = AdmitEvent::Finished {
            ticket: attempt as u64,
            outcome,
            took,
        };

        // The connection is returned only once, even when the outcome is reported again.
        if held {
            let broken = matches!(outcome, WorkOutcome::Failed { .. });

            self.attempts[attempt].connection = ConnectionState::Idle;
            self.daemons[node].target.release(broken);
        }

        self.handle(node, event);

        if matches!(outcome, WorkOutcome::Answered { .. }) && self.attempts[attempt].awaits_response
        {
            self.respond(attempt);
        }
    }

    /// Sends the target's response to an attempt.
    fn respond(&mut self, attempt: usize) {
        let call = self.attempts[attempt].call;
        let identifier = self.calls[call].plan.identifier;
        let reply = Reply::Response {
            identifier,
            whole: !self.attempts[attempt].truncated,
        };

        self.send_final_response(attempt, reply);
    }

    /// Sends a kept response.
    fn replay(&mut self, node: usize, attempt: usize, of: u64) {
        let kept = self.daemons[node].kept.get(&of).copied();
        let reply = Reply::Response {
            identifier: kept.unwrap_or(usize::MAX),
            whole: kept.is_some(),
        };

        self.send_final_response(attempt, reply);
    }

    /// Sends the final response to an attempt to its ingress.
    fn send_final_response(&mut self, attempt: usize, reply: Reply) {
        let state = &mut self.attempts[attempt];

        state.final_responses += 1;
        state.awaits_response = false;

        let one = state.final_responses == 1;
        let node = state.node;
        let call = state.call;
        let hint = self.daemons[node].policy.load();
        let hop = self.hop(node, self.calls[call].plan.ingress);

        self.checks.check(InvariantName::OneAnswer, one);
        self.schedule(self.now + hop, WorldEvent::Reply(attempt, reply, hint));
    }

    /// Closes the connection of a dispatched request; the target notices it while it is running.
    fn cancel_at_target(&mut self, attempt: usize) {
        let state = &mut self.attempts[attempt];
        let notice = self.now.max(state.starts) + CANCEL_NOTICE;
        let node = state.node;

        state.connection = ConnectionState::Closed;
        self.daemons[node].target.release(true);
        self.schedule(notice, WorldEvent::Notice(attempt));
        self.schedule(
            self.now,
            WorldEvent::Report(attempt, WorkOutcome::Abandoned),
        );
    }

    /// Handles a cancellation at the daemon of the target.
    pub(super) fn cancel(&mut self, attempt: usize) {
        let state = &mut self.attempts[attempt];

        if !state.awaits_response {
            return;
        }

        state.awaits_response = false;

        let node = state.node;
        let event = AdmitEvent::Cancelled {
            ticket: attempt as u64,
        };

        self.handle(node, event);
    }

    /// Checks that a refusal for lack of queue space, which is decided on arrival, is sent at that
    /// moment.
    fn check_immediate_refusal(&mut self, attempt: usize, refusal: AdmitRefusal) {
        let at_entry = matches!(
            refusal,
            AdmitRefusal::QueueFull | AdmitRefusal::TenantOverShare
        );

        if at_entry {
            let prompt = self.attempts[attempt].arrived == self.now;

            self.checks.check(InvariantName::GivenUpAtOnce, prompt);
        }
    }

    /// Checks that an attempt whose deadline has passed no longer waits for a response.
    pub(super) fn check_deadline(&mut self, attempt: usize) {
        let awaits_response = self.attempts[attempt].awaits_response;

        self.checks
            .check(InvariantName::GivenUpAtOnce, !awaits_response);
    }
}

/// Returns the index of the attempt of a ticket.
fn index(ticket: u64) -> usize {
    usize::try_from(ticket).unwrap_or(usize::MAX)
}
