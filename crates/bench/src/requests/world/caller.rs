//! The events at the callers and the ingresses.

use super::{
    Attempt, CallEnd, ConnectionState, HOP_MARGIN, HOP_MICROS, RESPONSE_BOUND, Reply, World,
    WorldEvent,
};
use crate::requests::{
    broken::BrokenPart, checks::InvariantName, ingress::AttemptEnd, workload::CallPlan,
};
use rand::Rng;
use std::time::Duration;
use wagtail_admit::AdmitRefusal;
use wagtail_core::{units::LocalMoment, verdict::RunVerdict};
use wagtail_route::LoadHint;

/// The longest time in milliseconds until an ingress notices that a caller disconnected.
const MAX_NOTICE_MS: u64 = 50;

impl World {
    /// Handles the arrival of a call at its ingress.
    pub(super) fn call(&mut self, call: usize) {
        if self.calls[call].end.is_some() {
            return;
        }

        let record = &self.calls[call];

        self.ingresses[record.plan.ingress].record_first(&record.state);

        if !self.attempt(call) {
            self.respond_to_call(call, CallEnd::Refused(RunVerdict::NotRun));
        }
    }

    /// Starts the next attempt of a call and returns whether there was a node to send it to.
    fn attempt(&mut self, call: usize) -> bool {
        let now = self.now;
        let ingress = self.calls[call].plan.ingress;
        let Some(node) = self.ingresses[ingress].choose(now, &self.calls[call].state) else {
            return false;
        };
        let attempt = self.attempts.len();
        let record = &mut self.calls[call];
        let deadline = record.state.deadline;
        let timeout = self.ingresses[ingress].attempt_timeout(record.plan.patience);
        let expires = (now + timeout).min(deadline);

        record.state.tried.push(node);
        record.attempts.push(attempt);
        self.attempts.push(Attempt {
            call,
            node,
            sent: now,
            arrived: now,
            deadline: deadline - HOP_MARGIN,
            open: true,
            awaits_response: false,
            final_responses: 0,
            starts: LocalMoment::ZERO,
            connection: ConnectionState::Idle,
            truncated: false,
            run: None,
        });

        let hop = self.hop(ingress, node);

        self.schedule(now + hop, WorldEvent::Arrive(attempt));

        if !self.is_broken(BrokenPart::WaitsForever) {
            self.schedule(expires, WorldEvent::AttemptTimeout(attempt));
        }

        true
    }

    /// Draws the one-way delay between two nodes.
    pub(super) fn hop(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }

        Duration::from_micros(self.rng.random_range(HOP_MICROS))
    }

    /// Handles a reply at the ingress.
    pub(super) fn reply(&mut self, attempt: usize, reply: Reply, hint: Option<LoadHint>) {
        let end = match reply {
            Reply::Response { .. } => None,
            Reply::Refusal { refusal, verdict } => Some(AttemptEnd {
                verdict,
                overloaded: is_overload(refusal),
            }),
        };

        if !self.close_attempt(attempt, end, hint) {
            return;
        }

        match (reply, end) {
            (Reply::Response { identifier, whole }, _) => {
                let call = self.attempts[attempt].call;
                let own = self.calls[call].plan.identifier == identifier && whole;

                self.checks.check(InvariantName::OwnAnswer, own);
                self.respond_to_call(call, CallEnd::Answered);
            }
            (Reply::Refusal { .. }, Some(end)) => self.after_failure(attempt, end),
            (Reply::Refusal { .. }, None) => {}
        }
    }

    /// Cancels an attempt that timed out and handles its failure.
    pub(super) fn attempt_timeout(&mut self, attempt: usize) {
        let end = AttemptEnd {
            verdict: RunVerdict::Unknown,
            overloaded: false,
        };

        if self.close_attempt(attempt, Some(end), None) {
            self.send_cancel(attempt, Duration::ZERO);
            self.after_failure(attempt, end);
        }
    }

    /// Ends an attempt at the ingress and returns whether both the attempt and its call were still
    /// open.
    fn close_attempt(
        &mut self,
        attempt: usize,
        end: Option<AttemptEnd>,
        hint: Option<LoadHint>,
    ) -> bool {
        let state = &mut self.attempts[attempt];

        if !state.open {
            return false;
        }

        state.open = false;

        let took = self.now.since(state.sent);
        let record = &self.calls[state.call];
        let ingress = &mut self.ingresses[record.plan.ingress];

        ingress.record_end(self.now, &record.state, state.node, end, took, hint);

        record.end.is_none()
    }

    /// Retries a failed attempt, or sends its outcome to the caller.
    fn after_failure(&mut self, attempt: usize, end: AttemptEnd) {
        let call = self.attempts[attempt].call;
        let record = &mut self.calls[call];
        let ingress = record.plan.ingress;
        let verdict = self.ingresses[ingress].verdict(record.state.verdict, end.verdict);

        record.state.verdict = Some(verdict);

        let again = self.ingresses[ingress].retries(self.now, &record.state, end);

        if again && self.attempt(call) {
            return;
        }

        self.respond_to_call(call, CallEnd::Refused(verdict));
    }

    /// Sends the final response to the caller.
    fn respond_to_call(&mut self, call: usize, end: CallEnd) {
        let arrives = self.now + self.options.size.caller_delay;
        let record = &mut self.calls[call];

        if record.end.is_some() {
            self.checks.check(InvariantName::OneAnswer, false);

            return;
        }

        let due = record.plan.sent + record.plan.patience + RESPONSE_BOUND;

        record.end = Some((arrives, end));
        self.checks
            .check(InvariantName::WithinDeadline, arrives <= due);

        if end == CallEnd::Refused(RunVerdict::NotRun) {
            self.check_not_run(call);
        }

        if end != CallEnd::Answered {
            self.repeat_call(call, arrives);
        }
    }

    /// Ends a call whose caller stopped waiting, which misses the deadline.
    pub(super) fn end_call(&mut self, call: usize, end: CallEnd) {
        if self.calls[call].end.is_some() {
            return;
        }

        self.calls[call].end = Some((self.now, end));
        self.checks.check(InvariantName::WithinDeadline, false);
        self.repeat_call(call, self.now);
    }

    /// Handles a caller that disconnected; its repeated call may overtake the cancellation.
    pub(super) fn caller_gone(&mut self, call: usize) {
        if self.calls[call].end.is_some() {
            return;
        }

        self.calls[call].end = Some((self.now, CallEnd::Gone));

        for attempt in self.calls[call].attempts.clone() {
            if self.attempts[attempt].open {
                let noticed = Duration::from_millis(self.rng.random_range(0..MAX_NOTICE_MS));

                self.send_cancel(attempt, noticed);
            }
        }

        self.repeat_call(call, self.now);
    }

    /// Sends a cancellation to the daemon of the target.
    fn send_cancel(&mut self, attempt: usize, delay: Duration) {
        let state = &self.attempts[attempt];
        let ingress = self.calls[state.call].plan.ingress;
        let node = state.node;
        // A cancellation follows its request on the same stream.
        let arrived = state.sent + Duration::from_micros(HOP_MICROS.end);
        let hop = self.hop(ingress, node);

        self.schedule(
            (self.now + delay + hop).max(arrived),
            WorldEvent::Cancel(attempt),
        );
    }

    /// Repeats a call under the same identifier at another ingress, if the caller has repeats left.
    fn repeat_call(&mut self, call: usize, from: LocalMoment) {
        let plan = &self.calls[call].plan;

        if plan.repeats == 0 {
            return;
        }

        let repeat = CallPlan {
            sent: from + Duration::from_millis(self.rng.random_range(0..300)),
            ingress: (plan.ingress + 1) % self.daemons.len(),
            gone: None,
            repeats: plan.repeats - 1,
            ..plan.clone()
        };

        self.add_call(repeat);
    }

    /// Checks that no attempt of a call that was refused as not run has run.
    fn check_not_run(&mut self, call: usize) {
        let ran = self.calls[call]
            .attempts
            .iter()
            .any(|attempt| self.attempts[*attempt].run.is_some());

        self.checks.check(InvariantName::NotRunIsTrue, !ran);
    }

    /// Checks the invariants that hold at the end of a run.
    pub(super) fn check_ends(&mut self) {
        for call in 0..self.calls.len() {
            let end = self.calls[call].end.map(|(_, end)| end);
            let answered = end.is_some_and(|end| end != CallEnd::Unanswered);

            self.checks.check(InvariantName::OneAnswer, answered);

            if end == Some(CallEnd::Refused(RunVerdict::NotRun)) {
                self.check_not_run(call);
            }
        }

        let once = self.identifier_runs.values().map(|runs| *runs <= 1);

        for holds in once.collect::<Vec<_>>() {
            self.checks.check(InvariantName::AtMostOnce, holds);
        }
    }
}

/// Returns whether a refusal shows that the daemon of the target is alive, as opposed to a failed
/// target.
fn is_overload(refusal: AdmitRefusal) -> bool {
    matches!(
        refusal,
        AdmitRefusal::QueueFull
            | AdmitRefusal::QueueCut
            | AdmitRefusal::TenantOverShare
            | AdmitRefusal::DeadlinePassed
            | AdmitRefusal::Duplicate
            | AdmitRefusal::IdentifierReused
            | AdmitRefusal::IdentifierTooOld
            | AdmitRefusal::MemoryFull
            | AdmitRefusal::TargetShed
    )
}
