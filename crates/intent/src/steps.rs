//! The steps of a call and the transitions between them.

use crate::{
    confirm::{Confirmation, on_base_read, on_confirm_written},
    document::IntentDocument,
    errors::IntentError,
    events::{CallId, ConfigOutcome, IntentAction, IntentReply, PlanOutcome, WriteOutcome},
    plan::{PlanDocument, make_plan},
    view::FleetView,
};
use serde::{Deserialize, Serialize};
use wagtail_core::service::ConfigDocument;

/// `CallStep` names what a call waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum CallStep {
    /// The read of the configuration that a plan is made for.
    PlanBase {
        intent: IntentDocument,
        view: FleetView,
        nonce: u64,
    },
    /// The write of a plan.
    PlanWrite { plan: Box<PlanDocument> },
    /// The read of the stored plan with the same identifier, for comparison.
    PlanCheck { plan: Box<PlanDocument> },
    /// The read of the plan to confirm.
    ConfirmPlan {
        plan: String,
        base_version: u64,
        view: FleetView,
        held: u64,
    },
    /// The read of the configuration that a plan is confirmed against.
    ConfirmBase { confirmation: Confirmation },
    /// The write of a confirmed configuration.
    ConfirmWrite { confirmation: Confirmation },
}

/// `StepResult` is the transition of a call after the outcome of a step.
#[derive(Debug)]
pub(crate) enum StepResult {
    /// The given step starts at once.
    Next(CallStep),
    /// The step is retried after a back-off.
    Retry(CallStep),
    /// The call ends with a reply. An accepted configuration is passed to the keeper.
    Done(IntentReply, Option<ConfigDocument>),
}

impl StepResult {
    /// Creates the result of a call that fails.
    pub(crate) fn fail(error: IntentError) -> Self {
        Self::Done(IntentReply::Failed { error }, None)
    }
}

/// Returns the action that executes an attempt of a step.
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

/// Continues a call after the configuration was read.
pub(crate) fn on_config_read(step: CallStep, outcome: ConfigOutcome) -> StepResult {
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
        CallStep::ConfirmBase { confirmation } => on_base_read(confirmation, expected, &document),
        other => StepResult::Retry(other),
    }
}

/// Continues a call after a plan was read.
pub(crate) fn on_plan_read(step: CallStep, outcome: PlanOutcome) -> StepResult {
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

/// Distinguishes an earlier write of the same plan from another plan with the same identifier.
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

/// Continues a call after the write of a plan.
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

/// Continues a call after the write of the configuration.
pub(crate) fn on_config_written(step: CallStep, outcome: WriteOutcome) -> StepResult {
    match step {
        CallStep::ConfirmWrite { confirmation } => on_confirm_written(confirmation, outcome),
        step => StepResult::Retry(step),
    }
}

/// Continues a call after an attempt without a response; the outcome of a write is unknown.
pub(crate) fn on_timeout(step: CallStep) -> StepResult {
    on_config_written(step, WriteOutcome::Unknown)
}

/// Returns the error of a call whose deadline has passed.
pub(crate) fn deadline_error(step: &CallStep) -> IntentError {
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
