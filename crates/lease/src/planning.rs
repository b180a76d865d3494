//! The choice and change of sets, and the replacement of sets that are gone for good.

use crate::{
    event::VersionedRecord,
    holder::{HolderPhase, LeaseHolder},
    machine::LeaseMachine,
    options::LeaseFault,
    quorum::{majority, next_change_epoch},
    witness::UNRECORDED_EPOCHS,
};
use std::{collections::BTreeSet, time::Duration};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeName},
    lease::{LeaseRecord, ReplacedSet},
    slice::SliceId,
    units::LocalMoment,
};

/// The interval at which the sets are planned.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// The time within which a member must have responded before a changed set relies on it. It is
/// shorter than the suspicion time, so that a deputy does not rely on responses from before the
/// failure that it was called for.
const RECENT_RESPONSE: Duration = Duration::from_millis(500);

/// The number of lost deputies at which a record names others.
const LOST_DEPUTIES: usize = 2;

/// The time after which a silent node is tried as a witness again.
const RETRY_SILENT_AFTER: Duration = Duration::from_mins(1);

/// The most changes of sets that one node has in flight.
const CHANGES_IN_FLIGHT: usize = 4;

impl LeaseMachine {
    /// Chooses the shared set and proposes the changes that the slices need, when planning is due.
    pub(crate) fn plan_sets(&mut self, now: LocalMoment) {
        if now < self.plan_at {
            return;
        }

        self.plan_at = now + PLAN_INTERVAL;

        if self.members.len() == 0 {
            return;
        }

        self.choose_set(now);
        self.find_lost_slices();

        let slices: Vec<SliceId> = self.holders.keys().cloned().collect();

        for slice in slices {
            self.plan_change(now, &slice);
        }
    }

    /// Returns a new record of a slice with this node as the owner and the shared set.
    pub(crate) fn first_record(&mut self, slice: SliceId) -> LeaseRecord {
        let deputies =
            self.members
                .choose_deputies(&slice, &self.identity.name, self.options.deputies);

        let mut record = LeaseRecord {
            slice,
            epoch: LeaseEpoch::default(),
            owner: self.identity.clone(),
            members: names(&self.set),
            member_starts: self.set.iter().map(|member| member.incarnation).collect(),
            set_epoch: LeaseEpoch::default(),
            replaced: None,
            stored_epoch: LeaseEpoch::default(),
            deputies,
            write_id: self.new_id(),
        };

        record.epoch = next_change_epoch(&record, LeaseEpoch::default());
        record.set_epoch = record.epoch;
        record.stored_epoch = record.epoch;

        record
    }

    /// Counts the nodes that the operator confirmed as gone for good as gone, once all that they
    /// granted has lapsed.
    pub(crate) fn advance_gone(&mut self, now: LocalMoment) {
        let wait = self.options.witness_term();
        let due: Vec<NodeName> = self
            .pending_gone
            .iter()
            .filter(|(_, since)| now.since(**since) >= wait)
            .map(|(name, _)| name.clone())
            .collect();

        for name in due {
            self.pending_gone.remove(&name);
            self.members.gone.insert(name);
            self.plan_at = now;
        }
    }

    /// Starts to replace a stored record whose set has lost its majority for good, as the operator
    /// confirmed.
    pub(crate) fn replace_lost(&mut self, now: LocalMoment, stored: &VersionedRecord) {
        let slice = &stored.record.slice;

        if !self.lost_slices.remove(slice) || self.holders.contains_key(slice) {
            return;
        }

        if !is_lost(&stored.record, &self.members.gone) || self.set.is_empty() {
            return;
        }

        // Takeovers that were served without a stored record had lower epochs than this.
        let above = LeaseEpoch(stored.record.epoch.0 + UNRECORDED_EPOCHS);

        let mut record = self.first_record(slice.clone());
        record.epoch = next_change_epoch(&record, above);
        record.set_epoch = record.epoch;
        record.stored_epoch = record.epoch;

        let mut holder = LeaseHolder::new(record, HolderPhase::Claiming, now, now);
        holder.version = Some(stored.version);
        holder.lost_owner = Some(stored.record.owner.name.clone());
        self.holders.insert(slice.clone(), holder);
    }

    /// Chooses the shared set of this node; witnesses that are silent or gone come last.
    fn choose_set(&mut self, now: LocalMoment) {
        let replace_after = self.options.replace_after;
        let silent = self
            .pairs
            .values()
            .filter(|pair| pair.is_silent(now, replace_after))
            .map(|pair| (pair.to.clone(), now));
        self.silent.extend(silent);
        self.silent
            .retain(|_, noticed| now.since(*noticed) < RETRY_SILENT_AFTER);

        let is_usable =
            |name: &NodeName| !self.silent.contains_key(name) && !self.members.gone.contains(name);

        let set = self.members.choose_set(
            &self.identity,
            &self.zone,
            &self.set,
            is_usable,
            &self.options,
        );

        if set != self.set {
            self.set = set;
            self.are_lists_outdated = true;
        }
    }

    /// Finds the slices whose sets lost their majority for good and whose first remaining candidate
    /// is this node.
    fn find_lost_slices(&mut self) {
        if self.members.gone.is_empty() {
            return;
        }

        let me = &self.identity.name;
        let lost: Vec<SliceId> = self
            .known
            .values()
            .filter(|record| is_lost(record, &self.members.gone))
            .filter(|record| self.first_candidate(record).as_ref() == Some(me))
            .map(|record| record.slice.clone())
            .collect();

        self.lost_slices.extend(lost);
    }

    /// Returns the first candidate for a takeover of a record that is not gone.
    fn first_candidate(&self, record: &LeaseRecord) -> Option<NodeName> {
        (0..self.members.len())
            .filter_map(|place| self.members.candidate(record, place))
            .find(|name| !self.members.gone.contains(name))
    }

    /// Proposes a change of the set or the deputies of a held slice, if it needs one, its record is
    /// stored and settled, and the members respond.
    fn plan_change(&mut self, now: LocalMoment, slice: &SliceId) {
        let changing = self.count_holders(|holder| holder.proposal.is_some());
        let Some(holder) = self.holders.get(slice) else {
            return;
        };

        let is_settled = holder.phase == HolderPhase::Serving
            && holder.gained
            && holder.serving.is_some_and(|grant| grant.until > now)
            && holder.proposal.is_none()
            && holder.record.replaced.is_none()
            && !holder.is_unwritten()
            && holder.version.is_some();

        if !is_settled || changing >= CHANGES_IN_FLIGHT {
            return;
        }

        let is_same_set = is_same(&names(&self.set), &holder.record.members);
        let is_wanted = !is_same_set || self.are_deputies_lost(&holder.record);

        if is_wanted && self.is_set_answering(now, &holder.record) {
            self.propose(now, slice);
        }
    }

    /// Returns whether so many deputies of a record are lost that others are to be named, and
    /// others are available.
    fn are_deputies_lost(&self, record: &LeaseRecord) -> bool {
        let usable = record
            .deputies
            .iter()
            .filter(|name| self.members.can_own(name, &record.slice))
            .count();

        if usable >= self.options.deputies {
            return false;
        }

        let best =
            self.members
                .choose_deputies(&record.slice, &record.owner.name, self.options.deputies);

        let short = best.len().saturating_sub(usable);

        short >= LOST_DEPUTIES || (usable == 0 && short > 0)
    }

    /// Returns whether a majority of the shared set and each of its members that is new to the
    /// record has responded recently.
    fn is_set_answering(&self, now: LocalMoment, record: &LeaseRecord) -> bool {
        let is_responsive = |name: &NodeName| {
            self.pairs
                .get(name)
                .is_some_and(|pair| pair.is_responsive(now, RECENT_RESPONSE))
        };

        let answering = self.set.iter().filter(|member| is_responsive(&member.name));
        let is_majority = answering.count() >= majority(self.set.len());

        let are_new_answering = self
            .set
            .iter()
            .filter(|member| !record.members.contains(&member.name))
            .all(|member| is_responsive(&member.name));

        is_majority && are_new_answering
    }

    /// Proposes the shared set for a slice. It takes effect when it is known to be stored; then
    /// majorities of both sets are needed until both were gained once.
    fn propose(&mut self, now: LocalMoment, slice: &SliceId) {
        let fresh = self.first_record(slice.clone());
        let fault = self.options.fault;
        let gain_timeout = self.gain_timeout();
        let spread = self.call_spread();

        let Some(holder) = self.holders.get_mut(slice) else {
            return;
        };

        let held = &holder.record;
        let mut record = fresh;
        record.epoch = next_change_epoch(&record, held.epoch);
        record.set_epoch = record.epoch;
        record.stored_epoch = record.epoch;
        record.replaced = Some(ReplacedSet {
            members: held.members.clone(),
            member_starts: held.member_starts.clone(),
        });

        if fault == LeaseFault::NewSetOnly {
            record.replaced = None;
        }

        if fault == LeaseFault::UnwrittenSet {
            holder.adopt(record, now + gain_timeout);
            self.are_lists_outdated = true;
            return;
        }

        holder.proposal = Some(record);
        holder.call_after = now + spread;
    }
}

/// Returns whether neither the set of a record nor the one it replaces has a majority of members
/// that are not gone.
fn is_lost(record: &LeaseRecord, gone: &BTreeSet<NodeName>) -> bool {
    let lacks_majority = |members: &[NodeName]| {
        let left = members.iter().filter(|name| !gone.contains(*name));

        left.count() < majority(members.len())
    };

    let replaced = record.replaced.as_ref();

    lacks_majority(&record.members)
        && replaced.is_none_or(|replaced| lacks_majority(&replaced.members))
}

/// Returns the names of the members of a set.
fn names(set: &[NodeIdentity]) -> Vec<NodeName> {
    set.iter().map(|member| member.name.clone()).collect()
}

/// Returns whether two sets have the same members, in any order.
fn is_same(left: &[NodeName], right: &[NodeName]) -> bool {
    left.len() == right.len() && left.iter().all(|name| right.contains(name))
}
