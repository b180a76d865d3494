//! What the machine asks for.

use crate::message::LeaseMessage;
use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{LeaseEpoch, NodeName},
    lease::LeaseRecord,
    slice::SliceId,
};

/// `LeaseAction` is everything that the machine asks the daemon to do, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseAction {
    /// Send a message; a lost one is sent again by the machine.
    Send {
        /// The receiving node.
        to: NodeName,
        /// The message.
        message: LeaseMessage,
    },
    /// Read a record, and answer with `RecordRead` or `ReadFailed`.
    ReadRecord {
        /// The slice of the record.
        slice: SliceId,
        /// The identifier of the request.
        read_id: u64,
    },
    /// Write a record if its version is as expected, and answer with `WriteFinished`.
    WriteRecord {
        /// The record.
        record: LeaseRecord,
        /// The expected version; zero means absent.
        expected_version: u64,
    },
    /// This node serves the slice from now on, under this epoch. An earlier epoch of the same
    /// slice is replaced without a pause.
    Serve {
        /// The slice.
        slice: SliceId,
        /// The fencing token.
        epoch: LeaseEpoch,
    },
    /// Start no new work of the slice, finish what runs, and answer with `Drained`.
    Drain {
        /// The slice.
        slice: SliceId,
        /// The epoch under which the work runs.
        epoch: LeaseEpoch,
    },
    /// This node serves the slice no longer: work that still runs is cancelled.
    Stop {
        /// The slice.
        slice: SliceId,
        /// The epoch that ended.
        epoch: LeaseEpoch,
    },
    /// A newer owner is known, for routing.
    Learned {
        /// The newest known record.
        record: LeaseRecord,
    },
    /// Something for the log and the status page.
    Report {
        /// The slice, when it concerns one.
        slice: Option<SliceId>,
        /// What it is.
        problem: LeaseProblem,
    },
}

/// `LeaseProblem` is something that the operator should know.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseProblem {
    /// More of the set is lost than a majority allows. The operator waits for the named nodes to
    /// return or confirms an intent that says which VMs are gone for good.
    QuorumLost {
        /// The members that do not answer.
        silent: Vec<NodeName>,
    },
    /// The fleet is too small for sets of five; this many losses are tolerated.
    SmallFleet {
        /// The nodes that may be lost at once.
        tolerated: usize,
    },
    /// The platform fails or is slow: records wait to be written. Owners go on serving.
    PlatformUnavailable {
        /// The records that wait.
        waiting: usize,
    },
    /// Another start of this node, or an older one, holds the name. The daemon must end.
    IncarnationOutdated,
    /// The slice was claimed but another node owns it.
    AlreadyOwned {
        /// The owner.
        owner: NodeName,
    },
    /// A move was refused, because this node does not serve the slice, the new owner is unknown
    /// or leaving, or as many moves run as are allowed.
    MoveRefused {
        /// The intended owner.
        to: NodeName,
    },
    /// This node took a slice over from a lost owner.
    TookOver {
        /// The lost owner.
        from: NodeName,
        /// The epoch of the takeover.
        epoch: LeaseEpoch,
    },
    /// The lease of a slice lapsed without renewal, after a pause or a cut of the network.
    Lapsed {
        /// The epoch.
        epoch: LeaseEpoch,
    },
}

impl LeaseProblem {
    /// Returns what the operator should do, in words.
    pub const fn advice(&self) -> &'static str {
        match self {
            Self::QuorumLost { .. } => {
                "bring the named nodes back, or confirm an intent that says which are gone for good"
            }
            Self::SmallFleet { .. } => "add nodes, up to five, to tolerate two losses",
            Self::PlatformUnavailable { .. } => "restore the platform; owners go on serving",
            Self::IncarnationOutdated => "end this daemon; a later start holds its name",
            Self::AlreadyOwned { .. } | Self::TookOver { .. } => "nothing",
            Self::MoveRefused { .. } => "plan the move again when the reason is gone",
            Self::Lapsed { .. } => "look for pauses of the VM or cuts of its network",
        }
    }
}
