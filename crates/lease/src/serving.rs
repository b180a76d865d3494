//! The course of a held slice: gained, served, raised, yielded, lapsed.

use crate::{
    action::{LeaseAction, LeaseProblem},
    holder::{HolderPhase, HolderStep, LeaseHolder},
    machine::LeaseMachine,
    quorum::{next_change_epoch, rank},
    serve::ServeGrant,
};
use std::time::Duration;
use wagtail_core::{ids::LeaseEpoch, lease::LeaseRecord, slice::SliceId, units::LocalMoment};

/// The time for which old members are told that their set is replaced.
const FAREWELL: Duration = Duration::from_secs(5);

/// The time after which an unused promise in the way of a holder is overtaken.
const RAISE_PATIENCE: Duration = Duration::from_secs(1);

impl LeaseHolder {
    /// Returns when the holder has something to do by itself.
    pub(crate) fn next_wakeup(&self, now: LocalMoment) -> Option<LocalMoment> {
        if let Some(grant) = self.serving {
            return Some(grant.until);
        }

        // A wait that is over and has not led to service ends with a grant or the end of patience.
        let wait = self.serve_from.filter(|from| *from > now);
        let gain_timeout = self.is_asking().then_some(self.give_up_at);

        wait.into_iter()
            .chain(gain_timeout.filter(|end| *end > now))
            .min()
    }
}

impl LeaseMachine {
    /// Advances every holder.
    pub(crate) fn advance_holders(&mut self, now: LocalMoment) {
        let slices: Vec<SliceId> = self
            .holders
            .iter()
            .filter(|(_, holder)| !holder.is_steady(now))
            .map(|(slice, _)| slice.clone())
            .collect();

        for slice in slices {
            self.advance_holder(now, &slice);
        }
    }

    /// Advances one holder.
    fn advance_holder(&mut self, now: LocalMoment, slice: &SliceId) {
        let end = self.lease_end(now, slice);

        if let Some(holder) = self.holders.get_mut(slice) {
            holder.is_touched = false;
        }

        if let Some(end) = end {
            self.extend_lease(slice, end);
        }

        self.end_lapsed(now, slice);

        if let Some(end) = end {
            self.gain(now, slice);
            self.start_serving(now, slice, end);
        }

        self.heed_refusals(now, slice);

        if end.is_none() {
            self.give_up(now, slice);
        }
    }

    /// Returns how long a holder without a lease goes on asking.
    pub(crate) fn gain_timeout(&self) -> Duration {
        self.options.renew_interval * 2
    }

    /// Gives a slice up to the holder of a later record.
    pub(crate) fn yield_to(&mut self, slice: &SliceId, later: &LeaseRecord) {
        self.learn(later);
        self.drop_holder(slice);
    }

    /// Raises a holder's epoch above another, under the same set.
    pub(crate) fn raise(&mut self, now: LocalMoment, slice: &SliceId, above: LeaseEpoch) {
        let write_id = self.new_id();
        let gain_timeout = self.gain_timeout();

        if let Some(holder) = self.holders.get_mut(slice) {
            let mut record = holder.record.clone();
            record.epoch = next_change_epoch(&record, above.max(record.epoch));
            record.stored_epoch = holder.stored_epoch();
            record.write_id = write_id;

            holder.adopt(record, now + gain_timeout);
            holder.proposal = None;
            holder.raised_at = now;
            self.are_lists_outdated = true;
        }
    }

    /// Forgets a holder, and stops its work.
    pub(crate) fn drop_holder(&mut self, slice: &SliceId) {
        let Some(holder) = self.holders.remove(slice) else {
            return;
        };

        self.are_lists_outdated = true;

        if let Some(grant) = holder.serving {
            self.act(LeaseAction::Stop {
                slice: slice.clone(),
                epoch: grant.epoch,
            });
        }
    }

    /// Moves the end of the lease to what the grants give.
    fn extend_lease(&mut self, slice: &SliceId, end: LocalMoment) {
        if let Some(holder) = self.holders.get_mut(slice) {
            let epoch = holder.record.epoch;

            if let Some(grant) = &mut holder.serving
                && grant.epoch == epoch
            {
                grant.until = grant.until.max(end);
            }
        }
    }

    /// Ends the service of a slice whose lease has lapsed.
    fn end_lapsed(&mut self, now: LocalMoment, slice: &SliceId) {
        let give_up_at = now + self.gain_timeout();

        let Some(holder) = self.holders.get_mut(slice) else {
            return;
        };

        let Some(grant) = holder.serving.filter(|grant| grant.until <= now) else {
            return;
        };

        holder.serving = None;
        holder.phase = HolderPhase::Gaining;
        holder.give_up_at = give_up_at;

        self.act(LeaseAction::Stop {
            slice: slice.clone(),
            epoch: grant.epoch,
        });
        self.report(Some(slice), LeaseProblem::Lapsed { epoch: grant.epoch });
    }

    /// Notes that a slice is gained when each needed majority has granted it.
    fn gain(&mut self, now: LocalMoment, slice: &SliceId) {
        let is_pending = self
            .holders
            .get(slice)
            .is_some_and(|holder| !holder.gained && holder.is_asking());

        if !is_pending {
            return;
        }

        let fenced = self.is_fenced(slice);
        let gone = self.gone();
        let write_id = self.new_id();
        let spread = self.call_spread();

        let Some(holder) = self.holders.get_mut(slice) else {
            return;
        };

        // Work of a predecessor may still be on its way to a target that checks no token.
        let follows_itself = holder.serving.is_some();
        let needs_wait = !(fenced || follows_itself || holder.follows_drained(&gone));
        let wait = if needs_wait {
            self.options.unfenced_wait
        } else {
            Duration::ZERO
        };

        holder.gained = true;
        holder.serve_from = Some(now + wait);
        holder.call_after = if holder.is_near_stored() {
            now + spread
        } else {
            now
        };

        // Both majorities hold the set now, so that the old one can grant no other record again.
        if holder.settle(now + FAREWELL) {
            holder.record.write_id = write_id;
            self.are_lists_outdated = true;
        }

        let record = holder.record.clone();
        self.learn(&record);
    }

    /// Starts to serve a gained slice after the wait.
    fn start_serving(&mut self, now: LocalMoment, slice: &SliceId, until: LocalMoment) {
        let Some(holder) = self.holders.get_mut(slice) else {
            return;
        };

        let is_due = holder.serve_from.is_some_and(|from| from <= now) && holder.is_near_stored();
        let epoch = holder.record.epoch;
        let is_served = holder.serving.is_some_and(|grant| grant.epoch == epoch);

        if !is_due || is_served {
            return;
        }

        holder.serving = Some(ServeGrant { epoch, until });

        if holder.phase == HolderPhase::Gaining {
            holder.phase = HolderPhase::Serving;
        }

        let lost_owner = holder.lost_owner.take();

        self.act(LeaseAction::Serve {
            slice: slice.clone(),
            epoch,
        });

        if let Some(from) = lost_owner {
            self.report(Some(slice), LeaseProblem::TookOver { from, epoch });
        }
    }

    /// Yields to a later holder, or overtakes a promise that nobody uses.
    fn heed_refusals(&mut self, now: LocalMoment, slice: &SliceId) {
        let Some(holder) = self.holders.get_mut(slice) else {
            return;
        };

        if holder.is_set_outdated() {
            holder.version = None;
        }

        if !holder.is_asking() || matches!(holder.phase, HolderPhase::Draining { .. }) {
            return;
        }

        match holder.step(now, &self.members.gone, &self.identity, RAISE_PATIENCE) {
            HolderStep::Keep => {}
            HolderStep::Raise(above) => self.raise(now, slice, above),
            HolderStep::Yield(later) => self.yield_to(slice, &later),
        }
    }

    /// Stops asking for a slice that can't be gained, so that its members call another node.
    fn give_up(&mut self, now: LocalMoment, slice: &SliceId) {
        let Some(holder) = self.holders.get_mut(slice) else {
            return;
        };

        if holder.is_asking() && holder.serving.is_none() && holder.give_up_at <= now {
            self.drop_holder(slice);
        }
    }

    /// Returns the end of the lease under the record's epoch, when it is in the future.
    pub(crate) fn lease_end(&self, now: LocalMoment, slice: &SliceId) -> Option<LocalMoment> {
        let holder = self.holders.get(slice)?;
        let end = holder.lease_end(&self.members.gone, self.options.term)?;

        Some(end).filter(|end| *end > now)
    }

    /// Takes up the set of a stored record that replaced the held one, under a later epoch.
    pub(crate) fn adopt_set(&mut self, now: LocalMoment, slice: &SliceId, stored: &LeaseRecord) {
        let write_id = self.new_id();
        let gain_timeout = self.gain_timeout();
        let owner = self.identity.clone();

        if let Some(holder) = self.holders.get_mut(slice) {
            debug_assert!(rank(stored) > rank(&holder.record));

            let above = stored.epoch.max(holder.record.epoch);
            let mut record = stored.clone();
            record.epoch = next_change_epoch(stored, above);
            record.owner = owner;
            record.stored_epoch = stored.epoch;
            record.write_id = write_id;

            holder.adopt(record, now + gain_timeout);
            holder.proposal = None;
            self.are_lists_outdated = true;
        }
    }
}
