//! The state machine of plans and confirmations.

use crate::{
    events::{CallId, IntentAction, IntentEvent, IntentReply},
    steps::{
        CallStep, StepResult, give_up, lose_attempt, on_config, on_config_written, on_plan,
        on_plan_written, step_action,
    },
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{slice::KeyHash, units::LocalMoment};

/// `IntentOptions` sets the patience of an [`IntentMachine`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct IntentOptions {
    /// The time after which a call is answered as it stands.
    pub call_timeout: Duration,
    /// The time after which an unanswered call of the platform counts as lost.
    pub attempt_timeout: Duration,
    /// The first pause before a repeat; it doubles with each.
    pub first_pause: Duration,
    /// The longest pause before a repeat.
    pub longest_pause: Duration,
}

impl Default for IntentOptions {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(10),
            attempt_timeout: Duration::from_secs(2),
            first_pause: Duration::from_millis(100),
            longest_pause: Duration::from_secs(2),
        }
    }
}

/// `CallState` is one call in progress.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CallState {
    step: CallStep,
    deadline: LocalMoment,
    attempt: u32,
    failures: u32,
    /// The end of the running attempt, or of the pause before the next.
    due: LocalMoment,
    pausing: bool,
}

/// `IntentMachine` drives plans and confirmations against the platform.
///
/// It keeps nothing that matters: after a restart the operator repeats the call, and a repeated
/// confirmation is recognised by the plan's identifier in the configuration.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct IntentMachine {
    options: IntentOptions,
    seed: u64,
    calls: BTreeMap<CallId, CallState>,
}

impl IntentMachine {
    /// Makes a machine whose pauses vary by a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            options: IntentOptions::default(),
            seed,
            calls: BTreeMap::new(),
        }
    }

    /// Sets the options.
    #[must_use]
    pub fn with_options(mut self, options: IntentOptions) -> Self {
        self.options = options;
        self
    }

    /// Returns the count of calls in progress.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, now: LocalMoment, event: IntentEvent) -> Vec<IntentAction> {
        match event {
            IntentEvent::PlanRequested {
                call,
                intent,
                view,
                nonce,
            } => self.open(
                now,
                call,
                CallStep::PlanBase {
                    intent,
                    view,
                    nonce,
                },
            ),
            IntentEvent::ConfirmRequested {
                call,
                plan,
                base_version,
                view,
                held,
            } => self.open(
                now,
                call,
                CallStep::ConfirmPlan {
                    plan,
                    base_version,
                    view,
                    held,
                },
            ),
            IntentEvent::ConfigRead {
                call,
                attempt,
                outcome,
            } => self.settle(now, call, attempt, |step| on_config(step, outcome)),
            IntentEvent::PlanRead {
                call,
                attempt,
                outcome,
            } => self.settle(now, call, attempt, |step| on_plan(step, outcome)),
            IntentEvent::PlanWritten {
                call,
                attempt,
                outcome,
            } => self.settle(now, call, attempt, |step| on_plan_written(step, outcome)),
            IntentEvent::ConfigWritten {
                call,
                attempt,
                outcome,
            } => self.settle(now, call, attempt, |step| on_config_written(step, outcome)),
            IntentEvent::Tick => self.tick(now),
        }
    }

    /// Opens a call with its first step.
    fn open(&mut self, now: LocalMoment, call: CallId, step: CallStep) -> Vec<IntentAction> {
        let state = CallState {
            step,
            deadline: now + self.options.call_timeout,
            attempt: 0,
            failures: 0,
            due: now,
            pausing: false,
        };

        self.start_attempt(now, call, state)
    }

    /// Starts the next attempt of a call's step.
    fn start_attempt(
        &mut self,
        now: LocalMoment,
        call: CallId,
        mut state: CallState,
    ) -> Vec<IntentAction> {
        state.attempt += 1;
        state.pausing = false;
        state.due = (now + self.options.attempt_timeout).min(state.deadline);

        let action = step_action(call, state.attempt, &state.step);
        let wake = IntentAction::Wake { at: state.due };
        self.calls.insert(call, state);

        vec![action, wake]
    }

    /// Takes the outcome of an attempt, unless it is of an earlier one.
    fn settle(
        &mut self,
        now: LocalMoment,
        call: CallId,
        attempt: u32,
        decide: impl FnOnce(CallStep) -> StepResult,
    ) -> Vec<IntentAction> {
        let current = |state: &CallState| state.attempt == attempt && !state.pausing;

        if !self.calls.get(&call).is_some_and(current) {
            return Vec::new();
        }
        let Some(mut state) = self.calls.remove(&call) else {
            return Vec::new();
        };

        match decide(state.step) {
            StepResult::Next(step) => {
                state.step = step;
                state.failures = 0;

                self.start_attempt(now, call, state)
            }
            StepResult::Retry(step) => {
                state.step = step;

                self.pause(now, call, state)
            }
            StepResult::Done(reply, accepted) => {
                let accepted = accepted.map(|document| IntentAction::Accepted { document });
                let answer = IntentAction::Answer { call, reply };

                accepted.into_iter().chain([answer]).collect()
            }
        }
    }

    /// Waits before the next attempt, or ends the call when its time is up.
    fn pause(&mut self, now: LocalMoment, call: CallId, mut state: CallState) -> Vec<IntentAction> {
        let pause = self.next_pause(call, state.failures);

        state.failures += 1;
        state.pausing = true;
        state.due = now + pause;

        if state.due >= state.deadline {
            let reply = IntentReply::Failed {
                error: give_up(&state.step),
            };

            return vec![IntentAction::Answer { call, reply }];
        }

        let wake = IntentAction::Wake { at: state.due };
        self.calls.insert(call, state);

        vec![wake]
    }

    /// Returns a pause between half and all of the doubled one.
    fn next_pause(&self, call: CallId, failures: u32) -> Duration {
        let doubled = self.options.first_pause * 2_u32.saturating_pow(failures.min(16));
        let pause = doubled.min(self.options.longest_pause);

        let mut salt = self.seed.to_le_bytes().to_vec();
        salt.extend(call.0.to_le_bytes());
        salt.extend(failures.to_le_bytes());
        let fraction = KeyHash::new(&salt).slice_index(1_000);

        pause / 2 + pause * fraction / 2_000
    }

    /// Ends the pauses and attempts whose time has come.
    fn tick(&mut self, now: LocalMoment) -> Vec<IntentAction> {
        let due = |state: &CallState| state.due <= now;
        let calls: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, state)| due(state))
            .map(|(call, _)| *call)
            .collect();

        calls
            .into_iter()
            .flat_map(|call| self.wake_call(now, call))
            .collect()
    }

    /// Repeats the step of a call after its pause, or takes its attempt as lost.
    fn wake_call(&mut self, now: LocalMoment, call: CallId) -> Vec<IntentAction> {
        let Some(state) = self.calls.get(&call) else {
            return Vec::new();
        };
        let attempt = state.attempt;

        if state.pausing {
            return match self.calls.remove(&call) {
                Some(state) => self.start_attempt(now, call, state),
                None => Vec::new(),
            };
        }

        self.settle(now, call, attempt, lose_attempt)
    }
}
