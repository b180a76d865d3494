//! Handling of slices that the node gains, drains and loses.

use crate::{agent::task::AgentTask, ownership::OwnershipCommand};
use wagtail_admit::{AdmitEvent, MemoryTransfer};
use wagtail_net::clock;

impl AgentTask {
    /// Starts serving a slice, with the memory of its previous owner if there is any.
    pub(super) fn slice_gained(&mut self, slice: u32, memory: Option<MemoryTransfer>) {
        if !self.served.contains(&slice) {
            self.served.push(slice);
        }

        // The memory is imported first, so that no retry is admitted before it is known.
        if let (Some(target), Some(memory)) = (&mut self.target, memory) {
            target.admission.import_memory(clock::now(), slice, memory);
        }

        self.admit(AdmitEvent::SliceGained { slice });
    }

    /// Starts draining a slice, which is drained at once if there is no target.
    pub(super) fn slice_stopping(&mut self, slice: u32) {
        if self.target.is_none() {
            self.slice_drained(slice);
            return;
        }

        self.admit(AdmitEvent::SliceStopping { slice });
    }

    /// Stops serving a slice whose lease has lapsed.
    pub(super) fn slice_lost(&mut self, slice: u32) {
        self.served.retain(|&served| served != slice);
        self.meter.forget(slice);
        self.admit(AdmitEvent::SliceLost { slice });
    }

    /// Notifies the ownership task that no request of a slice is at the target any more, and hands
    /// over the memory of the slice.
    pub(super) fn slice_drained(&mut self, slice: u32) {
        let now = clock::now();
        let memory = match &self.target {
            Some(target) => target.admission.transfer_memory(now, slice),
            None => MemoryTransfer::Lost,
        };

        self.options
            .ownership
            .tell(OwnershipCommand::SliceDrained { slice, memory });
    }
}
