//! What the ownership task is told, and the handle that tells it.

use futures_channel::mpsc::{self, UnboundedReceiver, UnboundedSender};
use serde::{Deserialize, Serialize};
use wagtail_admit::MemoryTransfer;
use wagtail_assign::{LoadMessage, LoadSample};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeName, ServiceName},
    ports::StoredValue,
    slice::SliceId,
};
use wagtail_lease::{LeaseMessage, WriteOutcome};

/// `MemoryNotice` is what the former owner of a slice remembers of its requests.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct MemoryNotice {
    /// The slice.
    pub slice: SliceId,
    /// The epoch under which the former owner served it.
    pub epoch: LeaseEpoch,
    /// The remembered requests.
    pub memory: MemoryTransfer,
}

/// `OwnershipCommand` is what the ownership task is told.
#[derive(Debug)]
pub enum OwnershipCommand {
    /// The configuration or the nodes changed.
    FleetChanged,
    /// A message of another daemon's lease machine arrived.
    Received {
        /// The start of the daemon that sent it.
        from: NodeIdentity,
        /// The message.
        message: LeaseMessage,
    },
    /// All records under a prefix were read.
    Listed {
        /// The service whose records were read.
        service: ServiceName,
        /// The records.
        records: Vec<StoredValue>,
    },
    /// The records of a service could not be read.
    ListFailed {
        /// The service.
        service: ServiceName,
    },
    /// One record was read, or the read failed.
    Read {
        /// The slice.
        slice: SliceId,
        /// The identifier of the read.
        read_id: u64,
        /// The stored record, or the failure.
        outcome: wagtail_core::Result<Option<StoredValue>>,
    },
    /// A write of a record ended.
    Written {
        /// The identifier of the write.
        write_id: u64,
        /// What became of it.
        outcome: WriteOutcome,
    },
    /// Nothing of a slice that is to move is at the target any more.
    SliceDrained {
        /// The index of the slice in the service of the target.
        slice: u32,
        /// What the next owner must know of its requests.
        memory: MemoryTransfer,
    },
    /// The former owner of a slice sent what it remembers of its requests.
    Memory(MemoryNotice),
    /// No node that was tried owns a slice.
    Refresh {
        /// The slice.
        slice: SliceId,
    },
    /// The destination of a move was tried.
    MoveProbed {
        /// The slice.
        slice: SliceId,
        /// The destination.
        to: NodeName,
        /// Whether it takes connections.
        reachable: bool,
    },
    /// The load of the slices was measured at the target.
    LoadMeasured(LoadSample),
    /// A peer sent the load of its target.
    LoadReceived {
        /// The service of the target.
        service: ServiceName,
        /// The load.
        message: LoadMessage,
    },
    /// The target began or ceased to answer.
    TargetAnswers(bool),
}

/// `OwnershipHandle` tells the ownership task.
#[derive(Debug, Clone)]
pub struct OwnershipHandle(UnboundedSender<OwnershipCommand>);

impl OwnershipHandle {
    /// Tells the task something.
    pub fn tell(&self, command: OwnershipCommand) {
        // Only a daemon that ends has no ownership task.
        drop(self.0.unbounded_send(command));
    }
}

/// Makes the handle of a task that is not spawned yet, with the channel that it will read.
pub fn channel() -> (OwnershipHandle, UnboundedReceiver<OwnershipCommand>) {
    let (sender, commands) = mpsc::unbounded();

    (OwnershipHandle(sender), commands)
}
