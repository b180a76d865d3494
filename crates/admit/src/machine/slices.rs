//! The moves of slices, and the starts and stops of the target.

use crate::{
    machine::{AdmitMachine, SliceHalt},
    memory::{MemoryEntry, MemoryTransfer},
    messages::{AdmitAction, AdmitRefusal},
    work::WorkState,
};
use std::time::Duration;
use wagtail_core::{units::LocalMoment, verdict::RunVerdict};

impl AdmitMachine {
    /// Returns what the next owner of a slice must know of its non-idempotent requests.
    ///
    /// It is asked for after [`SliceDrained`](AdmitAction::SliceDrained) and before the slice
    /// is granted to another owner.
    pub fn transfer_memory(&self, now: LocalMoment, slice: u32) -> MemoryTransfer {
        self.memory.transfer(now, slice)
    }

    /// Returns the remembered requests of a slice alone. They are not enough for a move while
    /// an earlier loss matters: [`transfer_memory`](Self::transfer_memory) tells that too.
    pub fn export_memory(&self, now: LocalMoment, slice: u32) -> Vec<MemoryEntry> {
        self.memory.export(now, slice)
    }

    /// Takes in what is known of the requests before a take-over of a slice, ahead of
    /// [`SliceGained`](crate::AdmitEvent::SliceGained).
    pub fn import_memory(&mut self, now: LocalMoment, slice: u32, transfer: MemoryTransfer) {
        self.memory.import(now, slice, transfer);
    }

    /// Takes in that an earlier start of this daemon, or of another beside the same target, ran
    /// requests of a service without keys that are unknown now. It is not called at the first
    /// start of a node.
    pub fn record_memory_loss(&mut self, now: LocalMoment) {
        self.memory.lose(now);
    }

    /// Admits work for a slice.
    pub(super) fn gain_slice(&mut self, slice: u32) {
        self.halted.remove(&slice);
    }

    /// Refuses new work for a slice that is to move. What waits is refused too, as a standing queue
    /// would keep the slice unserved for as long as it is; what runs is completed.
    pub(super) fn stop_slice(&mut self, slice: u32) {
        self.halted.entry(slice).or_insert(SliceHalt::Stopping);
        self.refuse_queued_of(slice);
    }

    /// Refuses the waiting work of a slice as not run.
    fn refuse_queued_of(&mut self, slice: u32) {
        let queued =
            self.tickets(|work| work.is_of_slice(slice) && work.state == WorkState::Queued);

        for ticket in queued {
            self.end(
                ticket,
                AdmitRefusal::NotOwner,
                RunVerdict::NotRun,
                Duration::ZERO,
            );
        }
    }

    /// Gives up the work of a slice whose lease has lapsed.
    pub(super) fn lose_slice(&mut self, now: LocalMoment, slice: u32) {
        self.halted.insert(slice, SliceHalt::Lost);

        let running = self.tickets(|work| work.is_of_slice(slice) && work.is_running());

        self.refuse_queued_of(slice);

        // A fenced target itself refuses to run past the grant.
        if self.options.fenced {
            return;
        }

        for ticket in running {
            self.lose_running(now, ticket);
        }
    }

    /// Closes a running order whose lease has lapsed, and its repeats.
    fn lose_running(&mut self, now: LocalMoment, ticket: u64) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        let followers = std::mem::take(&mut work.followers);

        if !work.arrival.idempotent {
            self.memory.resolve_spent(now, &work.arrival);
        }

        for follower in followers {
            self.end(
                follower,
                AdmitRefusal::NotOwner,
                RunVerdict::Unknown,
                Duration::ZERO,
            );
        }

        self.close_running(ticket, AdmitRefusal::NotOwner);
    }

    /// Begins a graceful stop: nothing new is admitted, what was accepted is completed.
    pub(super) fn stop(&mut self, now: LocalMoment) {
        let until = now + self.options.stop_grace;

        self.stop_until.get_or_insert(until);
    }

    /// Begins again with a target that has just started.
    pub(super) fn start_target(&mut self, now: LocalMoment) {
        self.leaving = false;
        self.abandoned.clear();
        self.limit.start_cold(now);
    }

    /// Takes in the load that the target reports.
    pub(super) fn report(&mut self, now: LocalMoment, running: u32) {
        self.record_sign(now, now - self.options.report_lag);

        // The target runs more than it has slots for, which only orders of others can cause.
        if running > self.options.max_running() {
            self.limit.record_shed(now);
        }
    }

    /// Reports slices and stops that are complete.
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

        if self.stop_until.is_some() && self.works.is_empty() && !self.done {
            self.done = true;
            self.actions.push(AdmitAction::AllDone);
        }
    }

    /// Reports one stopping slice when nothing of it is left.
    fn report_slice(&mut self, slice: u32) {
        if self.works.values().any(|work| work.is_of_slice(slice)) {
            return;
        }

        self.halted.insert(slice, SliceHalt::Drained);
        self.actions.push(AdmitAction::SliceDrained { slice });
    }
}
