//! The daemons beside the targets, and the targets.

use super::{CANCEL_NOTICE, ConnectionState, LOCAL_DELAY, Reply, World, WorldEvent};
use crate::requests::checks::InvariantName;
use std::time::Duration;
use wagtail_admit::{
    AdmitAction, AdmitEvent, AdmitRefusal, WorkArrival, WorkOutcome, messages::IdentifierAge,
};
use wagtail_core::{ids::RequestId, service::WorkClass};

impl World {
    /// Takes an attempt in beside its target.
    pub(super) fn arrive(&mut self, attempt: usize) {
        let state = &mut self.attempts[attempt];
        let record = &self.calls[state.call];
        let id = RequestId::new(format!("call-{}", record.plan.identifier));

        state.owed = true;
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

    /// Passes an event to the policy of a node and does what it says.
    pub(super) fn handle(&mut self, node: usize, event: AdmitEvent) {
        let actions = self.agents[node].policy.handle(self.now, event);

        for action in actions {
            self.act(node, &action);
        }

        self.schedule_tick(node);
    }

    /// Schedules the next tick of a node, unless one comes as early.
    fn schedule_tick(&mut self, node: usize) {
        let agent = &mut self.agents[node];
        let Some(wanted) = agent.policy.next_wakeup() else {
            return;
        };
        let wanted = wanted.max(self.now);

        if agent.tick.is_some_and(|tick| tick <= wanted) {
            return;
        }

        agent.tick = Some(wanted);
        self.schedule(wanted, WorldEvent::Tick(node));
    }

    /// Wakes the policy of a node.
    pub(super) fn tick(&mut self, node: usize) {
        // A tick that an earlier one replaced does nothing.
        if self.agents[node].tick != Some(self.now) {
            return;
        }

        self.agents[node].tick = None;
        self.handle(node, AdmitEvent::Tick);
    }

    /// Does one action of a policy.
    fn act(&mut self, node: usize, action: &AdmitAction) {
        match *action {
            AdmitAction::Dispatch { ticket } => self.dispatch(node, index(ticket)),
            AdmitAction::Refuse {
                ticket,
                refusal,
                verdict,
                ..
            } => {
                self.check_prompt(index(ticket), refusal);
                self.send_final(index(ticket), Reply::Refusal { refusal, verdict });
            }
            AdmitAction::CancelAtTarget { ticket } => self.cancel_at_target(index(ticket)),
            AdmitAction::Replay { ticket, of } => self.replay(node, index(ticket), of),
            AdmitAction::Keep { ticket } => {
                let call = self.attempts[index(ticket)].call;
                let identifier = self.calls[call].plan.identifier;

                self.agents[node].kept.insert(ticket, identifier);
            }
            AdmitAction::Forget { ticket } => {
                self.agents[node].kept.remove(&ticket);
            }
            AdmitAction::SliceDrained { .. } | AdmitAction::AllDone => {}
        }
    }

    /// Sends an order to the target, on a new connection when none is idle.
    fn dispatch(&mut self, node: usize, attempt: usize) {
        let target = &mut self.agents[node].target;
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

    /// Takes the end of an order in beside the target.
    pub(super) fn report(&mut self, attempt: usize, outcome: WorkOutcome) {
        let node = self.attempts[attempt].node;
        let abandoned = outcome == WorkOutcome::Abandoned;

        // Nothing comes over a connection that was closed.
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

        // The connection of an order is given back once, whatever is reported again.
        if held {
            let broken = matches!(outcome, WorkOutcome::Failed { .. });

            self.attempts[attempt].connection = ConnectionState::Idle;
            self.agents[node].target.release(broken);
        }

        self.handle(node, event);

        if matches!(outcome, WorkOutcome::Answered { .. }) && self.attempts[attempt].owed {
            self.answer(attempt);
        }
    }

    /// Sends the target's answer of an attempt.
    fn answer(&mut self, attempt: usize) {
        let call = self.attempts[attempt].call;
        let identifier = self.calls[call].plan.identifier;
        let reply = Reply::Answer {
            identifier,
            whole: !self.attempts[attempt].truncated,
        };

        self.send_final(attempt, reply);
    }

    /// Sends a kept answer.
    fn replay(&mut self, node: usize, attempt: usize, of: u64) {
        let kept = self.agents[node].kept.get(&of).copied();
        let reply = Reply::Answer {
            identifier: kept.unwrap_or(usize::MAX),
            whole: kept.is_some(),
        };

        self.send_final(attempt, reply);
    }

    /// Sends the one final answer of an attempt to its ingress.
    fn send_final(&mut self, attempt: usize, reply: Reply) {
        let state = &mut self.attempts[attempt];

        state.finals += 1;
        state.owed = false;

        let one = state.finals == 1;
        let node = state.node;
        let call = state.call;
        let hint = self.agents[node].policy.load();
        let hop = self.hop(node, self.calls[call].plan.ingress);

        self.checks.check(InvariantName::OneAnswer, one);
        self.schedule(self.now + hop, WorldEvent::Reply(attempt, reply, hint));
    }

    /// Closes the connection of an order; the target notices when it runs.
    fn cancel_at_target(&mut self, attempt: usize) {
        let state = &mut self.attempts[attempt];
        let notice = self.now.max(state.starts) + CANCEL_NOTICE;
        let node = state.node;

        state.connection = ConnectionState::Closed;
        self.agents[node].target.release(true);
        self.schedule(notice, WorldEvent::Notice(attempt));
        self.schedule(
            self.now,
            WorldEvent::Report(attempt, WorkOutcome::Abandoned),
        );
    }

    /// Takes a cancellation in beside the target.
    pub(super) fn cancel(&mut self, attempt: usize) {
        let state = &mut self.attempts[attempt];

        if !state.owed {
            return;
        }

        state.owed = false;

        let node = state.node;
        let event = AdmitEvent::Cancelled {
            ticket: attempt as u64,
        };

        self.handle(node, event);
    }

    /// Checks that a refusal for want of room, which is decided at entry, was given there.
    fn check_prompt(&mut self, attempt: usize, refusal: AdmitRefusal) {
        let at_entry = matches!(
            refusal,
            AdmitRefusal::QueueFull | AdmitRefusal::TenantOverShare
        );

        if at_entry {
            let prompt = self.attempts[attempt].arrived == self.now;

            self.checks.check(InvariantName::GivenUpAtOnce, prompt);
        }
    }

    /// Checks that nothing is owed to an attempt whose deadline has passed.
    pub(super) fn check_owed(&mut self, attempt: usize) {
        let owed = self.attempts[attempt].owed;

        self.checks.check(InvariantName::GivenUpAtOnce, !owed);
    }
}

/// Returns the attempt of a ticket.
fn index(ticket: u64) -> usize {
    usize::try_from(ticket).unwrap_or(usize::MAX)
}
