//! The state machine of plans and confirmations.

use crate::{
    confirm::{Confirmation, settle_read, settle_write},
    document::IntentDocument,
    errors::IntentError,
    plan::{PlanDocument, make_plan},
    view::FleetView,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{service::ConfigDocument, slice::KeyHash, units::LocalMoment};

/// `CallId` identifies one call of an operator at one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// `ConfigOutcome` is the outcome of reading the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ConfigOutcome {
    /// The platform holds a configuration.
    Found {
        /// The platform's version of the value.
        version: u64,
        /// The configuration.
        document: ConfigDocument,
    },
    /// The platform holds none.
    Absent,
    /// The platform did not answer.
    Failed,
}

/// `PlanOutcome` is the outcome of reading a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum PlanOutcome {
    /// The platform holds the plan.
    Found {
        /// The plan.
        plan: Box<PlanDocument>,
    },
    /// The platform holds no such plan.
    Absent,
    /// The platform did not answer.
    Failed,
}

/// `WriteOutcome` is the outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The value had another version; nothing was written.
    Conflict,
    /// Nothing was written, as the platform refused or was out of reach.
    NotRun,
    /// No answer came; the write may take effect, also later.
    Unknown,
}

/// `IntentEvent` is what reaches an [`IntentMachine`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum IntentEvent {
    /// An operator states an intent.
    PlanRequested {
        /// The call.
        call: CallId,
        /// The checked intent.
        intent: IntentDocument,
        /// The fleet as this node knows it.
        view: FleetView,
        /// A random number that makes the plan's identifier unique.
        nonce: u64,
    },
    /// An operator confirms a plan.
    ConfirmRequested {
        /// The call.
        call: CallId,
        /// The identifier of the plan.
        plan: String,
        /// The version that the operator believes the plan was made for.
        base_version: u64,
        /// The fleet as this node knows it.
        view: FleetView,
        /// The version in force at this node.
        held: u64,
    },
    /// The configuration was read.
    ConfigRead {
        /// The call.
        call: CallId,
        /// The attempt by the action.
        attempt: u32,
        /// The outcome.
        outcome: ConfigOutcome,
    },
    /// A plan was read.
    PlanRead {
        /// The call.
        call: CallId,
        /// The attempt by the action.
        attempt: u32,
        /// The outcome.
        outcome: PlanOutcome,
    },
    /// A plan was written.
    PlanWritten {
        /// The call.
        call: CallId,
        /// The attempt by the action.
        attempt: u32,
        /// The outcome.
        outcome: WriteOutcome,
    },
    /// The configuration was written.
    ConfigWritten {
        /// The call.
        call: CallId,
        /// The attempt by the action.
        attempt: u32,
        /// The outcome.
        outcome: WriteOutcome,
    },
    /// A wake-up time has come.
    Tick,
}

/// `IntentAction` is what an [`IntentMachine`] asks of its daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum IntentAction {
    /// The configuration is to be read from the platform.
    ReadConfig {
        /// The call.
        call: CallId,
        /// The attempt, to be returned with the outcome.
        attempt: u32,
    },
    /// A plan is to be read from the platform.
    ReadPlan {
        /// The call.
        call: CallId,
        /// The attempt, to be returned with the outcome.
        attempt: u32,
        /// The identifier of the plan.
        plan: String,
    },
    /// A plan is to be written to the platform if none has its identifier.
    WritePlan {
        /// The call.
        call: CallId,
        /// The attempt, to be returned with the outcome.
        attempt: u32,
        /// The plan.
        plan: Box<PlanDocument>,
    },
    /// The configuration is to be written to the platform if its version still is `expected`.
    WriteConfig {
        /// The call.
        call: CallId,
        /// The attempt, to be returned with the outcome.
        attempt: u32,
        /// The configuration.
        document: ConfigDocument,
        /// The platform's version of the value, zero when absent.
        expected: u64,
    },
    /// The configuration was accepted; the keeper of the daemon takes it up.
    Accepted {
        /// The configuration.
        document: ConfigDocument,
    },
    /// The call ends with an answer.
    Answer {
        /// The call.
        call: CallId,
        /// The answer.
        reply: IntentReply,
    },
    /// A tick is wanted at a time.
    Wake {
        /// The time.
        at: LocalMoment,
    },
}

/// `IntentReply` is the answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum IntentReply {
    /// The plan is made and waits for its confirmation.
    Planned {
        /// The plan.
        plan: Box<PlanDocument>,
    },
    /// The plan was confirmed, now or earlier.
    Confirmed {
        /// The version that it made.
        version: u64,
    },
    /// The call failed.
    Failed {
        /// Why.
        error: IntentError,
    },
}

/// `IntentOptions` sets the patience of an [`IntentMachine`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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

/// `CallStep` is what a call waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CallStep {
    /// The configuration, to make a plan from it.
    PlanBase {
        intent: IntentDocument,
        view: FleetView,
        nonce: u64,
    },
    /// The write of a plan.
    PlanWrite { plan: Box<PlanDocument> },
    /// The plan to confirm.
    ConfirmPlan {
        plan: String,
        base_version: u64,
        view: FleetView,
        held: u64,
    },
    /// The configuration, to confirm a plan against it.
    ConfirmBase { confirmation: Confirmation },
    /// The write of a confirmed configuration.
    ConfirmWrite { confirmation: Confirmation },
}

/// `CallState` is one call in progress.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CallState {
    step: CallStep,
    deadline: LocalMoment,
    attempt: u32,
    failures: u32,
    /// The end of the running attempt, or of the pause before the next.
    due: LocalMoment,
    pausing: bool,
}

/// `StepResult` is what an outcome makes of a call.
#[derive(Debug)]
pub(crate) enum StepResult {
    /// The next step begins at once.
    Next(CallStep),
    /// The step is repeated after a pause.
    Retry(CallStep),
    /// The call ends; an accepted configuration goes to the keeper.
    Done(IntentReply, Option<ConfigDocument>),
}

impl StepResult {
    /// Ends a call with an error.
    pub(crate) fn fail(error: IntentError) -> Self {
        Self::Done(IntentReply::Failed { error }, None)
    }
}

/// `IntentMachine` drives plans and confirmations against the platform.
///
/// It keeps nothing that matters: after a restart the operator repeats the call, and a repeated
/// confirmation is recognised by the plan's identifier in the configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
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

/// Returns the action that carries out a step.
fn step_action(call: CallId, attempt: u32, step: &CallStep) -> IntentAction {
    match step {
        CallStep::PlanBase { .. } | CallStep::ConfirmBase { .. } => {
            IntentAction::ReadConfig { call, attempt }
        }
        CallStep::PlanWrite { plan } => IntentAction::WritePlan {
            call,
            attempt,
            plan: plan.clone(),
        },
        CallStep::ConfirmPlan { plan, .. } => IntentAction::ReadPlan {
            call,
            attempt,
            plan: plan.clone(),
        },
        CallStep::ConfirmWrite { confirmation } => IntentAction::WriteConfig {
            call,
            attempt,
            document: confirmation.plan.document.clone(),
            expected: confirmation.expected,
        },
    }
}

/// Takes the configuration that was read.
fn on_config(step: CallStep, outcome: ConfigOutcome) -> StepResult {
    let (expected, document) = match outcome {
        ConfigOutcome::Found { version, document } => (version, document),
        ConfigOutcome::Absent => (0, ConfigDocument::default()),
        ConfigOutcome::Failed => return StepResult::Retry(step),
    };

    match step {
        CallStep::PlanBase {
            intent,
            view,
            nonce,
        } => match make_plan(&intent, &document, &view, nonce) {
            Ok(plan) => StepResult::Next(CallStep::PlanWrite {
                plan: Box::new(plan),
            }),
            Err(error) => StepResult::fail(error),
        },
        CallStep::ConfirmBase { confirmation } => settle_read(confirmation, expected, &document),
        other => StepResult::Retry(other),
    }
}

/// Takes the plan that was read.
fn on_plan(step: CallStep, outcome: PlanOutcome) -> StepResult {
    let CallStep::ConfirmPlan {
        plan: id,
        base_version,
        view,
        held,
    } = step
    else {
        return StepResult::Retry(step);
    };

    match outcome {
        PlanOutcome::Found { plan } if plan.base_version != base_version => {
            StepResult::fail(IntentError::WrongVersion {
                planned: plan.base_version,
                named: base_version,
            })
        }
        PlanOutcome::Found { plan } => StepResult::Next(CallStep::ConfirmBase {
            confirmation: Confirmation::new(plan, view, held),
        }),
        PlanOutcome::Absent => StepResult::fail(IntentError::UnknownPlan { plan: id }),
        PlanOutcome::Failed => StepResult::Retry(CallStep::ConfirmPlan {
            plan: id,
            base_version,
            view,
            held,
        }),
    }
}

/// Takes the outcome of writing a plan.
fn on_plan_written(step: CallStep, outcome: WriteOutcome) -> StepResult {
    match (step, outcome) {
        // Only this call writes under the identifier, so a conflict is its own earlier write.
        (CallStep::PlanWrite { plan }, WriteOutcome::Written | WriteOutcome::Conflict) => {
            StepResult::Done(IntentReply::Planned { plan }, None)
        }
        (step, _) => StepResult::Retry(step),
    }
}

/// Takes the outcome of writing the configuration.
fn on_config_written(step: CallStep, outcome: WriteOutcome) -> StepResult {
    match step {
        CallStep::ConfirmWrite { confirmation } => settle_write(confirmation, outcome),
        step => StepResult::Retry(step),
    }
}

/// Takes an attempt that was not answered in time.
fn lose_attempt(step: CallStep) -> StepResult {
    on_config_written(step, WriteOutcome::Unknown)
}

/// Returns the answer of a call whose time is up.
fn give_up(step: &CallStep) -> IntentError {
    match step {
        CallStep::ConfirmBase { confirmation } | CallStep::ConfirmWrite { confirmation }
            if confirmation.may_be_written =>
        {
            IntentError::OutcomeUnknown {
                plan: confirmation.plan.id.clone(),
            }
        }
        _ => IntentError::Unavailable,
    }
}
