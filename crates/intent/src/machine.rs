//! The state machine of plans and confirmations.

use crate::{
    events::{CallId, IntentAction, IntentEvent, IntentReply},
    steps::{
        CallStep, StepResult, deadline_error, on_config_read, on_config_written, on_plan_read,
        on_plan_written, on_timeout, step_action,
    },
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{slice::KeyHash, units::LocalMoment};

/// `IntentOptions` holds the timeouts and the retry back-off of an [`IntentMachine`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct IntentOptions {
    /// The maximum duration of a call; after it, the call fails.
    pub call_timeout: Duration,
    /// The time after which a platform request without a response counts as lost.
    pub attempt_timeout: Duration,
    /// The back-off before the first retry; it doubles with each further one.
    pub initial_backoff: Duration,
    /// The maximum back-off before a retry.
    pub max_backoff: Duration,
}

impl Default for IntentOptions {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(10),
            attempt_timeout: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// `CallState` is the state of a call in progress.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CallState {
    step: CallStep,
    deadline: LocalMoment,
    attempt: u32,
    failures: u32,
    /// When the current attempt times out or, during a back-off, when the next one starts.
    due: LocalMoment,
    in_backoff: bool,
}

/// `IntentMachine` runs plans and confirmations against the platform.
///
/// Its state need not survive a restart: the operator repeats the call, and a repeated confirmation
/// is recognised by the identifier of the plan in the configuration.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct IntentMachine {
    options: IntentOptions,
    seed: u64,
    calls: BTreeMap<CallId, CallState>,
}

impl IntentMachine {
    /// Creates a machine with default options. The seed determines the jitter of the back-off.
    pub fn new(seed: u64) -> Self {
        Self {
            options: IntentOptions::default(),
            seed,
            calls: BTreeMap::new(),
        }
    }

    /// Replaces the timeouts and the back-off.
    #[must_use]
    pub fn with_options(mut self, options: IntentOptions) -> Self {
        self.options = options;
        self
    }

    /// Returns the number of calls in progress.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Handles an event and returns the resulting actions.
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
            } => self.apply_outcome(now, call, attempt, |step| on_config_read(step, outcome)),
            IntentEvent::PlanRead {
                call,
                attempt,
                outcome,
            } => self.apply_outcome(now, call, attempt, |step| on_plan_read(step, outcome)),
            IntentEvent::PlanWritten {
                call,
                attempt,
                outcome,
            } => self.apply_outcome(now, call, attempt, |step| on_plan_written(step, outcome)),
            IntentEvent::ConfigWritten {
                call,
                attempt,
                outcome,
            } => self.apply_outcome(now, call, attempt, |step| on_config_written(step, outcome)),
            IntentEvent::Tick => self.tick(now),
        }
    }

    /// Starts a call with its first step.
    fn open(&mut self, now: LocalMoment, call: CallId, step: CallStep) -> Vec<IntentAction> {
        let state = CallState {
            step,
            deadline: now + self.options.call_timeout,
            attempt: 0,
            failures: 0,
            due: now,
            in_backoff: false,
        };

        self.start_attempt(now, call, state)
    }

    /// Starts the next attempt of the current step of a call.
    fn start_attempt(
        &mut self,
        now: LocalMoment,
        call: CallId,
        mut state: CallState,
    ) -> Vec<IntentAction> {
        state.attempt += 1;
        state.in_backoff = false;
        state.due = (now + self.options.attempt_timeout).min(state.deadline);

        let action = step_action(call, state.attempt, &state.step);
        let wake = IntentAction::Wake { at: state.due };
        self.calls.insert(call, state);

        vec![action, wake]
    }

    /// Applies the outcome of an attempt unless it belongs to an earlier attempt.
    fn apply_outcome(
        &mut self,
        now: LocalMoment,
        call: CallId,
        attempt: u32,
        decide: impl FnOnce(CallStep) -> StepResult,
    ) -> Vec<IntentAction> {
        let is_current = |state: &CallState| state.attempt == attempt && !state.in_backoff;

        if !self.calls.get(&call).is_some_and(is_current) {
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

                self.backoff(now, call, state)
            }
            StepResult::Done(reply, accepted) => {
                let accepted = accepted.map(|document| IntentAction::Accepted { document });
                let answer = IntentAction::Answer { call, reply };

                accepted.into_iter().chain([answer]).collect()
            }
        }
    }

    /// Schedules the next attempt, or fails the call if its deadline would pass first.
    fn backoff(
        &mut self,
        now: LocalMoment,
        call: CallId,
        mut state: CallState,
    ) -> Vec<IntentAction> {
        let backoff = self.next_backoff(call, state.failures);

        state.failures += 1;
        state.in_backoff = true;
        state.due = now + backoff;

        if state.due >= state.deadline {
            let reply = IntentReply::Failed {
                error: deadline_error(&state.step),
            };

            return vec![IntentAction::Answer { call, reply }];
        }

        let wake = IntentAction::Wake { at: state.due };
        self.calls.insert(call, state);

        vec![wake]
    }

    /// Returns the exponential back-off after a number of failures, with jitter: 50% to 100% of it.
    fn next_backoff(&self, call: CallId, failures: u32) -> Duration {
        let doubled = self.options.initial_backoff * 2_u32.saturating_pow(failures.min(16));
        let backoff = doubled.min(self.options.max_backoff);

        let mut salt = self.seed.to_le_bytes().to_vec();
        salt.extend(call.0.to_le_bytes());
        salt.extend(failures.to_le_bytes());
        let fraction = KeyHash::new(&salt).slice_index(1_000);

        backoff / 2 + backoff * fraction / 2_000
    }

    /// Handles all calls whose back-off or attempt has ended.
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

    /// Retries the step of a call after its back-off, or times out its attempt.
    fn wake_call(&mut self, now: LocalMoment, call: CallId) -> Vec<IntentAction> {
        let Some(state) = self.calls.get(&call) else {
            return Vec::new();
        };
        let attempt = state.attempt;

        if state.in_backoff {
            return match self.calls.remove(&call) {
                Some(state) => self.start_attempt(now, call, state),
                None => Vec::new(),
            };
        }

        self.apply_outcome(now, call, attempt, on_timeout)
    }
}
