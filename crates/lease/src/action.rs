//! The outputs of the lease machine.

use crate::message::LeaseMessage;
use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{LeaseEpoch, NodeName},
    lease::LeaseRecord,
    slice::SliceId,
};

/// `LeaseAction` is something that the machine asks the daemon to do. The actions of one event are
/// carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseAction {
    /// Send a message. The daemon doesn't retry: the machine repeats a message that was lost.
    Send {
        /// The node to which the message is sent.
        to: NodeName,
        /// The message to encode and send.
        message: LeaseMessage,
    },
    /// Read a record, and report the result by `RecordRead` or `ReadFailed`.
    ReadRecord {
        /// The slice of the record.
        slice: SliceId,
        /// The identifier of the read.
        read_id: u64,
    },
    /// Write a record if the stored version is as expected, and report the outcome by
    /// `WriteFinished`.
    WriteRecord {
        /// The record to store in place of the previous one of its slice, if any.
        record: LeaseRecord,
        /// The expected version; zero when no record may be stored yet.
        expected_version: u64,
    },
    /// Serve the slice from now on, under this epoch. It replaces an earlier epoch of the same
    /// slice without interruption.
    Serve {
        /// The slice whose requests the node may dispatch from now on.
        slice: SliceId,
        /// The epoch, which is the fencing token of dispatched requests.
        epoch: LeaseEpoch,
    },
    /// Start no new work of the slice, let running work finish, and then report `Drained`.
    Drain {
        /// The slice that is about to be handed over.
        slice: SliceId,
        /// The epoch under which the work runs.
        epoch: LeaseEpoch,
    },
    /// Stop serving the slice and cancel the work that still runs.
    Stop {
        /// The slice that the node no longer owns.
        slice: SliceId,
        /// The epoch that ended.
        epoch: LeaseEpoch,
    },
    /// A record with a later epoch is known; route by it.
    Learned {
        /// The newest known record.
        record: LeaseRecord,
    },
    /// Report a problem in the log and on the status page.
    Report {
        /// The affected slice; absent when the problem concerns the node itself.
        slice: Option<SliceId>,
        /// The condition to report, with the nodes or epoch that it concerns.
        problem: LeaseProblem,
    },
}

/// `LeaseProblem` is a condition that the operator should know of.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseProblem {
    /// The set of a slice has lost its majority. The operator waits for the named nodes to return,
    /// or confirms which VMs are gone for good.
    QuorumLost {
        /// The members that don't respond.
        silent: Vec<NodeName>,
    },
    /// The fleet is too small for sets of five.
    SmallFleet {
        /// The number of nodes that may be lost at once.
        tolerated: usize,
    },
    /// The platform fails or is slow, so that records wait to be written. Owners keep serving.
    PlatformUnavailable {
        /// The number of records that wait.
        waiting: usize,
    },
    /// A later incarnation of this node exists and holds its name. The daemon must shut down.
    IncarnationOutdated,
    /// This node claimed the slice, but another node owns it already.
    AlreadyOwned {
        /// The node that the stored record names as the owner.
        owner: NodeName,
    },
    /// A move was refused because this node does not serve the slice, the new owner is this node,
    /// unknown, draining or of another service, or `moves_in_flight` moves are running.
    MoveRefused {
        /// The node to which the slice was to be moved.
        to: NodeName,
    },
    /// This node took a slice over from a lost owner.
    TookOver {
        /// The previous owner, which the members no longer heard from.
        from: NodeName,
        /// The epoch of the takeover.
        epoch: LeaseEpoch,
    },
    /// The lease of a slice lapsed without renewal, after a pause of the VM or a network partition.
    Lapsed {
        /// The epoch of the lease.
        epoch: LeaseEpoch,
    },
}

impl LeaseProblem {
    /// Returns what the operator should do about the problem, for the log and the status page.
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
