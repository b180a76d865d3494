//! Moves of slices, and starts and stops of the target.

use crate::{
    machine::{AdmitMachine, SliceHalt},
    memory::{MemoryEntry, MemoryTransfer},
    messages::{AdmitAction, AdmitRefusal},
    work::WorkState,
};
use std::time::Duration;
use wagtail_core::{units::LocalMoment, verdict::RunVerdict};

impl AdmitMachine {
    /// Returns what the next owner of a slice must know about its non-idempotent requests.
    ///
    /// The caller asks for it after [`SliceDrained`](AdmitAction::SliceDrained) and before the
    /// slice is granted to another owner.
    pub fn transfer_memory(&self, now: LocalMoment, slice: u32) -> MemoryTransfer {
        self.memory.transfer(now, slice)
    }

    /// Returns only the remembered requests of a slice. They are not enough for a move while an
    /// earlier loss of memory still matters; [`transfer_memory`](Self::transfer_memory) includes
    /// that.
    pub fn export_memory(&self, now: LocalMoment, slice: u32) -> Vec<MemoryEntry> {
        self.memory.export(now, slice)
    }

    /// Imports what is known about the requests of a slice before its takeover. The call comes
    /// before [`SliceGained`](crate::AdmitEvent::SliceGained).
    pub fn import_memory(&mut self, now: LocalMoment, slice: u32, transfer: MemoryTransfer) {
        self.memory.import(now, slice, transfer);
    }

    /// Records that requests of a service without keys may have run that are unknown now: an
    /// earlier run of this daemon, or of another daemon of the same target, accepted them. It is
    /// not called at the first start of a node.
    pub fn record_memory_loss(&mut self, now: LocalMoment) {
        self.memory.record_loss(now);
    }

    /// Admits requests for a slice that the node has gained.
    pub(super) fn gain_slice(&mut self, slice: u32) {
        self.halted.remove(&slice);
    }

    /// Refuses new requests for a slice that is about to move. Queued requests are refused too,
    /// because the slice would stay without an owner until all of the queue has run. Requests
    /// at the target are completed.
    pub(super) fn stop_slice(&mut self, slice: u32) {
        self.halted.entry(slice).or_insert(SliceHalt::Stopping);
        self.refuse_queued_of(slice);
    }

    /// Refuses the queued requests of a slice as not run.
    fn refuse_queued_of(&mut self, slice: u32) {
        let queued =
            self.tickets(|work| work.is_of_slice(slice) && work.state == WorkState::Queued);

        for ticket in queued {
            self.refuse_with_followers(
                ticket,
                AdmitRefusal::NotOwner,
                RunVerdict::NotRun,
                Duration::ZERO,
            );
        }
    }

    /// Refuses the requests of a slice whose lease has lapsed.
    pub(super) fn lose_slice(&mut self, now: LocalMoment, slice: u32) {
        self.halted.insert(slice, SliceHalt::Lost);

        let running = self.tickets(|work| work.is_of_slice(slice) && work.is_running());

        self.refuse_queued_of(slice);

        // A fenced target refuses by itself to run requests after the grant.
        if self.options.fenced {
            return;
        }

        for ticket in running {
            self.lose_running(now, ticket);
        }
    }

    /// Refuses a request at the target whose lease has lapsed, and the retries that follow it.
    fn lose_running(&mut self, now: LocalMoment, ticket: u64) {
        let Some(work) = self.entries.get_mut(&ticket) else {
            return;
        };
        let followers = std::mem::take(&mut work.followers);

        if !work.arrival.idempotent {
            self.memory.resolve_spent(now, &work.arrival);
        }

        for follower in followers {
            self.refuse_with_followers(
                follower,
                AdmitRefusal::NotOwner,
                RunVerdict::Unknown,
                Duration::ZERO,
            );
        }

        self.close_running(ticket, AdmitRefusal::NotOwner);
    }

    /// Starts a graceful stop: nothing new is admitted, admitted requests are completed.
    pub(super) fn stop(&mut self, now: LocalMoment) {
        let until = now + self.options.stop_grace;

        self.stop_until.get_or_insert(until);
    }

    /// Resets the state for a target that has just started.
    pub(super) fn start_target(&mut self, now: LocalMoment) {
        self.leaving = false;
        self.abandoned.clear();
        self.limit.start_cold(now);
    }

    /// Handles a load report of the target.
    pub(super) fn record_target_report(&mut self, now: LocalMoment, running: u32) {
        self.record_activity(now, now - self.options.report_lag);

        // More running requests than slots can only come from another sender.
        if running > self.options.max_running() {
            self.limit.record_shed(now);
        }
    }

    /// Reports the slices that are drained, and the stop once no request is left.
    pub(super) fn report_drained(&mut self) {
        let stopping: Vec<u32> = self
            .halted
            .iter()
            .filter(|(_, halt)| **halt == SliceHalt::Stopping)
            .map(|(slice, _)| *slice)
            .collect();

        for slice in stopping {
            self.report_slice(slice);
        }

        if self.stop_until.is_some() && self.entries.is_empty() && !self.stop_reported {
            self.stop_reported = true;
            self.actions.push(AdmitAction::AllDone);
        }
    }

    /// Reports a stopping slice as drained once none of its requests is left.
    fn report_slice(&mut self, slice: u32) {
        if self.entries.values().any(|work| work.is_of_slice(slice)) {
            return;
        }

        self.halted.insert(slice, SliceHalt::Drained);
        self.actions.push(AdmitAction::SliceDrained { slice });
    }
}
