//! The decisions of a confirmation.

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

/// `Confirmation` is a confirmation in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Confirmation {
    /// The plan to put in force.
    pub plan: Box<PlanDocument>,
    /// The fleet as the confirming node knows it.
    pub view: FleetView,
    /// The version in force at the confirming node.
    pub held: u64,
    /// The platform's version of the value that was read last.
    pub expected: u64,
    /// Whether a write was sent whose outcome is not known.
    pub may_be_written: bool,
}

impl Confirmation {
    /// Makes the confirmation of a plan.
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

/// Decides on a confirmation by the configuration that the platform holds.
pub fn settle_read(
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

    // The fleet may have changed since the plan was made.
    let refusals = check_promises(found, &plan.document, &confirmation.view);

    if !refusals.is_empty() && !confirmation.may_be_written {
        return StepResult::fail(IntentError::Refused { refusals });
    }

    confirmation.expected = expected;

    StepResult::Next(CallStep::ConfirmWrite { confirmation })
}

/// Decides on a confirmation by the outcome of its write.
pub fn settle_write(mut confirmation: Confirmation, outcome: WriteOutcome) -> StepResult {
    match outcome {
        WriteOutcome::Written => {
            let document = confirmation.plan.document.clone();
            let reply = IntentReply::Confirmed {
                version: document.version,
            };

            StepResult::Done(reply, Some(document))
        }
        // The value may hold this plan, by an earlier attempt, or another one: it is read again.
        WriteOutcome::Conflict => StepResult::Next(CallStep::ConfirmBase { confirmation }),
        WriteOutcome::NotRun => StepResult::Retry(CallStep::ConfirmBase { confirmation }),
        WriteOutcome::Unknown => {
            confirmation.may_be_written = true;

            StepResult::Retry(CallStep::ConfirmBase { confirmation })
        }
    }
}

/// Returns the version that a plan made, when the configuration still remembers it.
fn accepted_version(plan: &PlanDocument, found: &ConfigDocument) -> Option<u64> {
    found
        .recent
        .iter()
        .find(|stamp| stamp.plan == plan.id)
        .map(|stamp| stamp.version)
}

/// Returns the error for a plan whose version is no longer the one in force.
fn conflict_error(plan: &PlanDocument, found: &ConfigDocument) -> IntentError {
    let oldest = found.recent.first().map_or(0, |stamp| stamp.version);

    // The version right after the plan's is remembered, so another plan made it.
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
