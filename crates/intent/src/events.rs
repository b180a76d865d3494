//! What reaches an [`IntentMachine`](crate::IntentMachine) and what it asks for.

use crate::{document::IntentDocument, errors::IntentError, plan::PlanDocument, view::FleetView};
use serde::{Deserialize, Serialize};
use wagtail_core::{service::ConfigDocument, units::LocalMoment};

/// `CallId` identifies one call of an operator at one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// `ConfigOutcome` is the outcome of reading the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
