//! The commands of the ownership task and the handle that sends them.

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

/// `MemoryNotice` carries the request memory of a slice from its former owner to the next one.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct MemoryNotice {
    /// The slice that changes its owner.
    pub slice: SliceId,
    /// The epoch under which the former owner served the slice.
    pub epoch: LeaseEpoch,
    /// The requests that the former owner remembers.
    pub memory: MemoryTransfer,
}

/// `OwnershipCommand` is an event, a result or a request that the ownership task handles.
#[derive(Debug)]
pub enum OwnershipCommand {
    /// The configuration or the set of nodes changed.
    FleetChanged,
    /// A message from another daemon's lease machine arrived.
    Received {
        /// The incarnation of the sending daemon.
        from: NodeIdentity,
        /// The message for this node's lease machine.
        message: LeaseMessage,
    },
    /// All lease records of a service were read.
    Listed {
        /// The service whose records were read.
        service: ServiceName,
        /// The records as stored.
        records: Vec<StoredValue>,
    },
    /// The lease records of a service could not be read.
    ListFailed {
        /// The service whose records are to be read again.
        service: ServiceName,
    },
    /// The read of one lease record ended.
    Read {
        /// The slice of the record.
        slice: SliceId,
        /// The identifier of the read.
        read_id: u64,
        /// The stored record, `None` if there is none, or the error of the call.
        outcome: wagtail_core::Result<Option<StoredValue>>,
    },
    /// The write of a lease record ended.
    Written {
        /// The identifier of the write.
        write_id: u64,
        /// Whether the record was written.
        outcome: WriteOutcome,
    },
    /// No request of a slice that is to move is at the target any more.
    SliceDrained {
        /// The index of the slice in the service of the target.
        slice: u32,
        /// The request memory for the next owner.
        memory: MemoryTransfer,
    },
    /// The former owner of a slice sent its request memory.
    Memory(MemoryNotice),
    /// None of the nodes that a request was sent to owns its slice.
    Refresh {
        /// The slice whose record is to be read.
        slice: SliceId,
    },
    /// The probe of a move's destination ended.
    MoveProbed {
        /// The slice that is to move.
        slice: SliceId,
        /// The node that is to take over the slice.
        to: NodeName,
        /// Whether the destination accepted a connection.
        reachable: bool,
    },
    /// The load of this node's slices was measured.
    LoadMeasured(LoadSample),
    /// A peer sent the load of its own target.
    LoadReceived {
        /// The service of the target.
        service: ServiceName,
        /// The load of the target.
        message: LoadMessage,
    },
    /// The target started (`true`) or stopped (`false`) responding.
    TargetAnswers(bool),
}

/// `OwnershipHandle` sends commands to the ownership task.
#[derive(Debug, Clone)]
pub struct OwnershipHandle(UnboundedSender<OwnershipCommand>);

impl OwnershipHandle {
    /// Sends a command to the task without waiting.
    pub fn tell(&self, command: OwnershipCommand) {
        // Sending fails only while the daemon shuts down and the task is gone.
        drop(self.0.unbounded_send(command));
    }
}

/// Creates the handle of a task that is not spawned yet, and the channel that the task will read.
pub fn channel() -> (OwnershipHandle, UnboundedReceiver<OwnershipCommand>) {
    let (sender, commands) = mpsc::unbounded();

    (OwnershipHandle(sender), commands)
}
