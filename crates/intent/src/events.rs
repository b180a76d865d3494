//! The events and actions of an [`IntentMachine`](crate::IntentMachine).

use crate::{document::IntentDocument, errors::IntentError, plan::PlanDocument, view::FleetView};
use serde::{Deserialize, Serialize};
use wagtail_core::{service::ConfigDocument, units::LocalMoment};

/// `CallId` identifies an operator's call to the administration API within one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// `ConfigOutcome` is the outcome of reading the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ConfigOutcome {
    /// The platform stores a configuration.
    Found {
        /// The platform's version of the value.
        version: u64,
        /// The configuration as the platform stores it.
        document: ConfigDocument,
    },
    /// The platform stores no configuration.
    Absent,
    /// The platform did not respond.
    Failed,
}

/// `PlanOutcome` is the outcome of reading a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum PlanOutcome {
    /// The platform stores the plan.
    Found {
        /// The plan with the requested identifier.
        plan: Box<PlanDocument>,
    },
    /// The platform stores no plan with the identifier.
    Absent,
    /// The platform did not respond.
    Failed,
}

/// `WriteOutcome` is the outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The stored value had a different version; nothing was written.
    Conflict,
    /// Nothing was written, because the platform refused or was unreachable.
    NotRun,
    /// No response arrived; the write may have taken effect or may still do so later.
    Unknown,
}

/// `IntentEvent` is an input of an [`IntentMachine`](crate::IntentMachine).
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum IntentEvent {
    /// An operator submitted an intent.
    PlanRequested {
        /// The identifier of the operator's call.
        call: CallId,
        /// The submitted intent, which has passed validation.
        intent: IntentDocument,
        /// The fleet as this node knows it.
        view: FleetView,
        /// A random number that makes the plan's identifier unique.
        nonce: u64,
    },
    /// An operator confirmed a plan.
    ConfirmRequested {
        /// The identifier of the operator's call.
        call: CallId,
        /// The identifier of the plan.
        plan: String,
        /// The configuration version that, according to the operator, the plan was made for.
        base_version: u64,
        /// The fleet as this node knows it.
        view: FleetView,
        /// The configuration version in force at this node.
        held: u64,
    },
    /// The configuration was read.
    ConfigRead {
        /// The identifier of the operator's call.
        call: CallId,
        /// The attempt number of the action.
        attempt: u32,
        /// The outcome of the attempt.
        outcome: ConfigOutcome,
    },
    /// A plan was read.
    PlanRead {
        /// The identifier of the operator's call.
        call: CallId,
        /// The attempt number of the action.
        attempt: u32,
        /// The outcome of the attempt.
        outcome: PlanOutcome,
    },
    /// A plan was written.
    PlanWritten {
        /// The identifier of the operator's call.
        call: CallId,
        /// The attempt number of the action.
        attempt: u32,
        /// The outcome of the attempt.
        outcome: WriteOutcome,
    },
    /// The configuration was written.
    ConfigWritten {
        /// The identifier of the operator's call.
        call: CallId,
        /// The attempt number of the action.
        attempt: u32,
        /// The outcome of the attempt.
        outcome: WriteOutcome,
    },
    /// A requested wake-up time was reached.
    Tick,
}

/// `IntentAction` is what the daemon must do for an [`IntentMachine`](crate::IntentMachine).
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum IntentAction {
    /// Read the configuration from the platform.
    ReadConfig {
        /// The identifier of the operator's call.
        call: CallId,
        /// The attempt number, to be returned with the outcome.
        attempt: u32,
    },
    /// Read a plan from the platform.
    ReadPlan {
        /// The identifier of the operator's call.
        call: CallId,
        /// The attempt number, to be returned with the outcome.
        attempt: u32,
        /// The identifier of the plan.
        plan: String,
    },
    /// Write a plan to the platform unless one with its identifier exists.
    WritePlan {
        /// The identifier of the operator's call.
        call: CallId,
        /// The attempt number, to be returned with the outcome.
        attempt: u32,
        /// The plan to store under its identifier.
        plan: Box<PlanDocument>,
    },
    /// Write the configuration to the platform if the stored version still is `expected`.
    WriteConfig {
        /// The identifier of the operator's call.
        call: CallId,
        /// The attempt number, to be returned with the outcome.
        attempt: u32,
        /// The configuration that replaces the stored one.
        document: ConfigDocument,
        /// The platform's version of the stored value; zero when absent.
        expected: u64,
    },
    /// The configuration was accepted; pass it to the [`ConfigKeeper`](crate::ConfigKeeper) of the
    /// daemon.
    Accepted {
        /// The configuration that was written to the platform.
        document: ConfigDocument,
    },
    /// The call is complete; send the reply to the operator.
    Answer {
        /// The identifier of the operator's call.
        call: CallId,
        /// The result of the call.
        reply: IntentReply,
    },
    /// Send [`IntentEvent::Tick`] at a time.
    Wake {
        /// The wake-up time.
        at: LocalMoment,
    },
}

/// `IntentReply` is the result of an operator's call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum IntentReply {
    /// The plan was stored and can be confirmed.
    Planned {
        /// The stored plan, which the operator may confirm.
        plan: Box<PlanDocument>,
    },
    /// The plan was confirmed, now or earlier.
    Confirmed {
        /// The configuration version that the plan created.
        version: u64,
    },
    /// The call was refused, or its outcome is unknown.
    Failed {
        /// The failure that is reported to the operator.
        error: IntentError,
    },
}
