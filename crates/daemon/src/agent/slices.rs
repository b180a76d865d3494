//! The slices that the node serves.

use crate::{agent::task::AgentTask, ownership::OwnershipCommand};
use wagtail_admit::{AdmitEvent, MemoryTransfer};
use wagtail_net::clock;

impl AgentTask {
    /// Takes in that the node serves a slice.
    pub(super) fn slice_gained(&mut self, slice: u32, memory: Option<MemoryTransfer>) {
        if !self.served.contains(&slice) {
            self.served.push(slice);
        }

        // Memory goes first, so that no repeat slips in before it.
        if let (Some(target), Some(memory)) = (&mut self.target, memory) {
            target.admission.import_memory(clock::now(), slice, memory);
        }

        self.admit(AdmitEvent::SliceGained { slice });
    }

    /// Takes in that a slice is to move.
    pub(super) fn slice_stopping(&mut self, slice: u32) {
        if self.target.is_none() {
            self.slice_drained(slice);
            return;
        }

        self.admit(AdmitEvent::SliceStopping { slice });
    }

    /// Takes in that the lease of a slice has ended.
    pub(super) fn slice_lost(&mut self, slice: u32) {
        self.served.retain(|&served| served != slice);
        self.meter.forget(slice);
        self.admit(AdmitEvent::SliceLost { slice });
    }

    /// Tells the ownership task that nothing of a slice is at the target any more.
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
