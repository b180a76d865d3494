//! The decisions of a confirmation after each read and write of the configuration.

use crate::{
    diff::diff_documents,
    errors::{ConfirmConflict, IntentError},
    events::{IntentReply, WriteOutcome},
    plan::PlanDocument,
    promise::check_promises,
    steps::{CallStep, StepResult},
    view::FleetView,
};
use serde::{Deserialize, Serialize};
use wagtail_core::service::ConfigDocument;

/// `Confirmation` is the state of a confirmation in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Confirmation {
    /// The plan that is being confirmed.
    pub plan: Box<PlanDocument>,
    /// The fleet as the confirming node knows it.
    pub view: FleetView,
    /// The configuration version in force at the confirming node.
    pub held: u64,
    /// The platform's version of the stored value at the latest read, for the conditional write.
    pub expected: u64,
    /// Whether a write was sent whose outcome is unknown.
    pub may_be_written: bool,
}

impl Confirmation {
    /// Creates the confirmation of a plan.
    pub fn new(plan: Box<PlanDocument>, view: FleetView, held: u64) -> Self {
        Self {
            plan,
            view,
            held,
            expected: 0,
            may_be_written: false,
        }
    }
}

/// Continues a confirmation after the stored configuration was read.
///
/// `expected` is the platform's version of the stored value.
pub fn on_base_read(
    mut confirmation: Confirmation,
    expected: u64,
    found: &ConfigDocument,
) -> StepResult {
    let plan = &confirmation.plan;

    if let Some(version) = accepted_version(plan, found) {
        let reply = IntentReply::Confirmed { version };

        return StepResult::Done(reply, Some(found.clone()));
    }

    if found.version < confirmation.held {
        return StepResult::fail(IntentError::PlatformReverted {
            found: found.version,
            held: confirmation.held,
        });
    }

    if found.version != plan.base_version {
        return StepResult::fail(conflict_error(plan, found));
    }

    // The fleet may have changed since the plan was made. A write of unknown outcome may still
    // take effect, so it cannot be reported as refused; it is retried instead.
    let refusals = check_promises(found, &plan.document, &confirmation.view);

    if !refusals.is_empty() && !confirmation.may_be_written {
        return StepResult::fail(IntentError::Refused { refusals });
    }

    confirmation.expected = expected;

    StepResult::Next(CallStep::ConfirmWrite { confirmation })
}

/// Continues a confirmation after the outcome of its write.
pub fn on_confirm_written(mut confirmation: Confirmation, outcome: WriteOutcome) -> StepResult {
    match outcome {
        WriteOutcome::Written => {
            let document = confirmation.plan.document.clone();
            let reply = IntentReply::Confirmed {
                version: document.version,
            };

            StepResult::Done(reply, Some(document))
        }
        // An earlier attempt of this confirmation or another plan changed the value: read it again.
        WriteOutcome::Conflict => StepResult::Next(CallStep::ConfirmBase { confirmation }),
        WriteOutcome::NotRun => StepResult::Retry(CallStep::ConfirmBase { confirmation }),
        WriteOutcome::Unknown => {
            confirmation.may_be_written = true;

            StepResult::Retry(CallStep::ConfirmBase { confirmation })
        }
    }
}

/// Returns the version that a plan created, if the configuration still records it.
fn accepted_version(plan: &PlanDocument, found: &ConfigDocument) -> Option<u64> {
    found
        .recent
        .iter()
        .find(|stamp| stamp.plan == plan.id)
        .map(|stamp| stamp.version)
}

/// Returns the error for a plan whose base version is not the version in force.
fn conflict_error(plan: &PlanDocument, found: &ConfigDocument) -> IntentError {
    let oldest = found.recent.first().map_or(0, |stamp| stamp.version);

    // The plan that created the version after the base is still recorded, and it is another one.
    if oldest <= plan.base_version + 1 {
        return IntentError::Conflict {
            conflict: Box::new(ConfirmConflict {
                base_version: plan.base_version,
                found_version: found.version,
                found_plan: found.plan.clone(),
                changes: diff_documents(&plan.base, found),
            }),
        };
    }

    IntentError::ExpiredPlan {
        plan: plan.id.clone(),
        version: found.version,
    }
}
