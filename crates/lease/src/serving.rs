//! The life cycle of a held slice: it is gained, served, raised to a later epoch, or yielded to a
//! later holder, or its lease lapses.

use crate::{
    action::{LeaseAction, LeaseProblem},
    holder::{HolderPhase, HolderStep, LeaseHolder},
    machine::LeaseMachine,
    quorum::{next_change_epoch, rank},
    serve::ServeGrant,
};
use std::time::Duration;
use wagtail_core::{ids::LeaseEpoch, lease::LeaseRecord, slice::SliceId, units::LocalMoment};

/// The time for which the members that left a set are sent the record that replaced it.
const REPLACEMENT_NOTICE: Duration = Duration::from_secs(5);

/// The time after which a holder raises its epoch above a promise that blocks it and that no other
/// holder has used.
const RAISE_DELAY: Duration = Duration::from_secs(1);

impl LeaseHolder {
    /// Returns when the holder next has work to do without an event.
    pub(crate) fn next_wakeup(&self, now: LocalMoment) -> Option<LocalMoment> {
        if let Some(grant) = self.serving {
            return Some(grant.until);
        }

        // When the wait is over and the slice is still not served, the next step is a grant or the
        // gain timeout.
        let wait = self.serve_from.filter(|from| *from > now);
        let gain_timeout = self.is_asking().then_some(self.give_up_at);

        wait.into_iter()
            .chain(gain_timeout.filter(|end| *end > now))
            .min()
    }
}

impl LeaseMachine {
    /// Advances every holder that has something to do.
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

    /// Advances one holder: extends or ends its lease, starts to serve, and handles refusals.
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

        self.handle_refusals(now, slice);

        if end.is_none() {
            self.give_up(now, slice);
        }
    }

    /// Returns how long a holder without a lease keeps requesting grants.
    pub(crate) fn gain_timeout(&self) -> Duration {
        self.options.renew_interval * 2
    }

    /// Yields a slice to the holder of a later record.
    pub(crate) fn yield_to(&mut self, slice: &SliceId, later: &LeaseRecord) {
        self.learn(later);
        self.drop_holder(slice);
    }

    /// Raises a holder's epoch above `above`, under the same set.
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

    /// Removes a holder, and stops its work.
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

    /// Extends the lease to the end that the grants add up to.
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

    /// Stops serving a slice whose lease has lapsed, and tries to gain it again.
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

    /// Records that a slice is gained once each needed majority has granted it, and determines from
    /// when it may be served.
    fn gain(&mut self, now: LocalMoment, slice: &SliceId) {
        let can_gain = self
            .holders
            .get(slice)
            .is_some_and(|holder| !holder.gained && holder.is_asking());

        if !can_gain {
            return;
        }

        let is_fenced_service = self.is_fenced(slice);
        let gone = self.gone();
        let write_id = self.new_id();
        let spread = self.call_spread();

        let Some(holder) = self.holders.get_mut(slice) else {
            return;
        };

        // Work that a predecessor dispatched may still be in flight to a target that checks no
        // fencing token.
        let follows_itself = holder.serving.is_some();
        let needs_wait = !(is_fenced_service || follows_itself || holder.follows_drained(&gone));
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

        // Majorities of both sets have granted the new set now, so that the old set can no longer
        // grant any other record.
        if holder.settle(now + REPLACEMENT_NOTICE) {
            holder.record.write_id = write_id;
            self.are_lists_outdated = true;
        }

        let record = holder.record.clone();
        self.learn(&record);
    }

    /// Starts to serve a gained slice once its wait is over.
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

    /// Handles the refusals of members: yields to a later holder, or raises the epoch above a
    /// promise that no holder uses.
    fn handle_refusals(&mut self, now: LocalMoment, slice: &SliceId) {
        let Some(holder) = self.holders.get_mut(slice) else {
            return;
        };

        if holder.is_set_outdated() {
            holder.version = None;
        }

        if !holder.is_asking() || matches!(holder.phase, HolderPhase::Draining { .. }) {
            return;
        }

        match holder.step(now, &self.members.gone, &self.identity, RAISE_DELAY) {
            HolderStep::Keep => {}
            HolderStep::Raise(above) => self.raise(now, slice, above),
            HolderStep::Yield(later) => self.yield_to(slice, &later),
        }
    }

    /// Stops requesting grants for a slice that can't be gained, so that its members ask another
    /// node to take over.
    fn give_up(&mut self, now: LocalMoment, slice: &SliceId) {
        let Some(holder) = self.holders.get_mut(slice) else {
            return;
        };

        if holder.is_asking() && holder.serving.is_none() && holder.give_up_at <= now {
            self.drop_holder(slice);
        }
    }

    /// Returns the end of the lease under the record's epoch, unless it is past or there is no
    /// lease.
    pub(crate) fn lease_end(&self, now: LocalMoment, slice: &SliceId) -> Option<LocalMoment> {
        let holder = self.holders.get(slice)?;
        let end = holder.lease_end(&self.members.gone, self.options.term)?;

        Some(end).filter(|end| *end > now)
    }

    /// Adopts the set of a stored record that replaced the held record's set, under a later epoch.
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
