//! The steps of a call and what their outcomes make of it.

use crate::{
    confirm::{Confirmation, settle_read, settle_write},
    document::IntentDocument,
    errors::IntentError,
    events::{CallId, ConfigOutcome, IntentAction, IntentReply, PlanOutcome, WriteOutcome},
    plan::{PlanDocument, make_plan},
    view::FleetView,
};
use serde::{Deserialize, Serialize};
use wagtail_core::service::ConfigDocument;

/// `CallStep` is what a call waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum CallStep {
    /// The configuration, to make a plan from it.
    PlanBase {
        intent: IntentDocument,
        view: FleetView,
        nonce: u64,
    },
    /// The write of a plan.
    PlanWrite { plan: Box<PlanDocument> },
    /// The plan that holds the identifier already, to compare it.
    PlanCheck { plan: Box<PlanDocument> },
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

/// Returns the action that carries out a step.
pub(crate) fn step_action(call: CallId, attempt: u32, step: &CallStep) -> IntentAction {
    match step {
        CallStep::PlanBase { .. } | CallStep::ConfirmBase { .. } => {
            IntentAction::ReadConfig { call, attempt }
        }
        CallStep::PlanWrite { plan } => IntentAction::WritePlan {
            call,
            attempt,
            plan: plan.clone(),
        },
        CallStep::PlanCheck { plan } => IntentAction::ReadPlan {
            call,
            attempt,
            plan: plan.id.clone(),
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
pub(crate) fn on_config(step: CallStep, outcome: ConfigOutcome) -> StepResult {
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
pub(crate) fn on_plan(step: CallStep, outcome: PlanOutcome) -> StepResult {
    match step {
        CallStep::PlanCheck { plan } => compare_plan(plan, outcome),
        CallStep::ConfirmPlan {
            plan,
            base_version,
            view,
            held,
        } => match outcome {
            PlanOutcome::Found { plan } if plan.base_version != base_version => {
                StepResult::fail(IntentError::WrongVersion {
                    planned: plan.base_version,
                    named: base_version,
                })
            }
            PlanOutcome::Found { plan } => StepResult::Next(CallStep::ConfirmBase {
                confirmation: Confirmation::new(plan, view, held),
            }),
            PlanOutcome::Absent => StepResult::fail(IntentError::UnknownPlan { plan }),
            PlanOutcome::Failed => StepResult::Retry(CallStep::ConfirmPlan {
                plan,
                base_version,
                view,
                held,
            }),
        },
        step => StepResult::Retry(step),
    }
}

/// Tells an own earlier write of a plan from another plan under the same identifier.
fn compare_plan(plan: Box<PlanDocument>, outcome: PlanOutcome) -> StepResult {
    match outcome {
        PlanOutcome::Found { plan: found } if found == plan => {
            StepResult::Done(IntentReply::Planned { plan }, None)
        }
        PlanOutcome::Found { .. } => StepResult::fail(IntentError::PlanExists { plan: plan.id }),
        PlanOutcome::Absent => StepResult::Next(CallStep::PlanWrite { plan }),
        PlanOutcome::Failed => StepResult::Retry(CallStep::PlanCheck { plan }),
    }
}

/// Takes the outcome of writing a plan.
pub(crate) fn on_plan_written(step: CallStep, outcome: WriteOutcome) -> StepResult {
    match (step, outcome) {
        (CallStep::PlanWrite { plan }, WriteOutcome::Written) => {
            StepResult::Done(IntentReply::Planned { plan }, None)
        }
        (CallStep::PlanWrite { plan }, WriteOutcome::Conflict) => {
            StepResult::Next(CallStep::PlanCheck { plan })
        }
        (step, _) => StepResult::Retry(step),
    }
}

/// Takes the outcome of writing the configuration.
pub(crate) fn on_config_written(step: CallStep, outcome: WriteOutcome) -> StepResult {
    match step {
        CallStep::ConfirmWrite { confirmation } => settle_write(confirmation, outcome),
        step => StepResult::Retry(step),
    }
}

/// Takes an attempt that was not answered in time.
pub(crate) fn lose_attempt(step: CallStep) -> StepResult {
    on_config_written(step, WriteOutcome::Unknown)
}

/// Returns the answer of a call whose time is up.
pub(crate) fn give_up(step: &CallStep) -> IntentError {
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
