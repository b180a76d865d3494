//! The callers and the ingresses.

use super::{
    ANSWER_BOUND, Attempt, CallEnd, ConnectionState, HOP_MARGIN, HOP_MICROS, Reply, World,
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

/// The longest time in milliseconds in which an ingress notices that a caller went away.
const MAX_NOTICE_MS: u64 = 50;

impl World {
    /// Takes a call in at its ingress.
    pub(super) fn call(&mut self, call: usize) {
        if self.calls[call].end.is_some() {
            return;
        }

        let record = &self.calls[call];

        self.ingresses[record.plan.ingress].record_first(&record.state);

        if !self.attempt(call) {
            self.answer_call(call, CallEnd::Refused(RunVerdict::NotRun));
        }
    }

    /// Begins the next attempt of a call and returns whether a node was open to it.
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
            owed: false,
            finals: 0,
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

    /// Draws the time one way between two nodes.
    pub(super) fn hop(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }

        Duration::from_micros(self.rng.random_range(HOP_MICROS))
    }

    /// Takes a reply in at the ingress.
    pub(super) fn reply(&mut self, attempt: usize, reply: Reply, hint: Option<LoadHint>) {
        let end = match reply {
            Reply::Answer { .. } => None,
            Reply::Refusal { refusal, verdict } => Some(AttemptEnd {
                verdict,
                overloaded: is_overload(refusal),
            }),
        };

        if !self.close_attempt(attempt, end, hint) {
            return;
        }

        match (reply, end) {
            (Reply::Answer { identifier, whole }, _) => {
                let call = self.attempts[attempt].call;
                let own = self.calls[call].plan.identifier == identifier && whole;

                self.checks.check(InvariantName::OwnAnswer, own);
                self.answer_call(call, CallEnd::Answered);
            }
            (Reply::Refusal { .. }, Some(end)) => self.after_failure(attempt, end),
            (Reply::Refusal { .. }, None) => {}
        }
    }

    /// Takes in that the time of an attempt is over.
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

    /// Ends an attempt at the ingress and returns whether it was open and its call too.
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

    /// Repeats a failed attempt, or gives its outcome to the caller.
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

        self.answer_call(call, CallEnd::Refused(verdict));
    }

    /// Sends the final answer to the caller.
    fn answer_call(&mut self, call: usize, end: CallEnd) {
        let arrives = self.now + self.options.size.caller_delay;
        let record = &mut self.calls[call];

        if record.end.is_some() {
            self.checks.check(InvariantName::OneAnswer, false);

            return;
        }

        let due = record.plan.sent + record.plan.patience + ANSWER_BOUND;

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

    /// Takes in that a caller's patience is over.
    pub(super) fn end_call(&mut self, call: usize, end: CallEnd) {
        if self.calls[call].end.is_some() {
            return;
        }

        self.calls[call].end = Some((self.now, end));
        self.checks.check(InvariantName::WithinDeadline, false);
        self.repeat_call(call, self.now);
    }

    /// Takes in that a caller went away: its repeat may overtake the cancellation.
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

    /// Sends a cancellation to the daemon beside the target.
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

    /// Repeats a call under the same identifier, at another ingress, when its caller does so.
    fn repeat_call(&mut self, call: usize, from: LocalMoment) {
        let plan = &self.calls[call].plan;

        if plan.repeats == 0 {
            return;
        }

        let repeat = CallPlan {
            sent: from + Duration::from_millis(self.rng.random_range(0..300)),
            ingress: (plan.ingress + 1) % self.agents.len(),
            gone: None,
            repeats: plan.repeats - 1,
            ..plan.clone()
        };

        self.add_call(repeat);
    }

    /// Checks that no attempt of a call that was refused as not run is in the log.
    fn check_not_run(&mut self, call: usize) {
        let ran = self.calls[call]
            .attempts
            .iter()
            .any(|attempt| self.attempts[*attempt].run.is_some());

        self.checks.check(InvariantName::NotRunIsTrue, !ran);
    }

    /// Checks what holds once nothing more happens.
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

/// Returns whether a refusal says that the daemon beside the target lives and has no room.
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
