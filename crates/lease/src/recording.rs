//! Reads and writes of the records in the platform: claims, takeovers that are recorded later, and
//! changed sets.

use crate::{
    action::{LeaseAction, LeaseProblem},
    event::{VersionedRecord, WriteOutcome},
    holder::{HolderPhase, LeaseHolder},
    machine::LeaseMachine,
    options::LeaseFault,
    platform::{REPORTED_FAILURES, RecordCall, write_spacing},
    witness::UNRECORDED_EPOCHS,
};
use std::time::Duration;
use wagtail_core::{lease::LeaseRecord, slice::SliceId, units::LocalMoment};

/// `RecordNeed` is a call to the platform that a node needs to make. The order of the variants is
/// the order of priority, the most urgent first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum RecordNeed {
    /// A witness that lost its promises reads the record instead.
    Recall(SliceId),
    /// The record of a slice whose set is gone for good is read before it is replaced.
    ReplaceLost(SliceId),
    /// A record is created, or replaces one whose set is gone for good.
    Claim(SliceId),
    /// A gained slice is recorded, such as one that was taken over.
    Record(SliceId),
    /// A changed set is recorded.
    Propose(SliceId),
}

impl LeaseMachine {
    /// Fails the calls to the platform that timed out, and starts those that are due.
    pub(crate) fn call_platform(&mut self, now: LocalMoment) {
        for call in self.platform.take_expired(now, &self.options) {
            self.call_failed(now, &call);
        }

        while self.platform.is_open(now, &self.options) {
            let Some(need) = self.first_need(now) else {
                break;
            };

            self.start_call(now, need);
        }
    }

    /// Returns when the next call to the platform times out or is due.
    pub(crate) fn platform_wakeup(&self) -> Option<LocalMoment> {
        let timeout = self.options.platform_timeout;
        let expiry = self
            .platform
            .calls
            .values()
            .map(|call| call.started + timeout);
        let due = self
            .holders
            .values()
            .filter(|holder| !holder.is_call_in_flight && need_of(holder).is_some())
            .map(|holder| holder.call_after.max(self.platform.next_at))
            .filter(|_| self.platform.has_capacity(&self.options));

        expiry.chain(due).min()
    }

    /// Returns a random delay before the first call for a slice, so that many nodes that take over
    /// at the same time don't call the platform at the same time.
    pub(crate) fn call_spread(&mut self) -> Duration {
        let part = self.random_fraction();

        write_spacing(self.members.len(), &self.options).mul_f64(part)
    }

    /// Applies the listed records.
    pub(crate) fn records_listed(&mut self, now: LocalMoment, listed: &[VersionedRecord]) {
        for stored in listed {
            self.apply_stored(now, stored);
        }
    }

    /// Handles the result of a read.
    pub(crate) fn record_read(
        &mut self,
        now: LocalMoment,
        read_id: u64,
        stored: Option<VersionedRecord>,
    ) {
        let Some(call) = self.platform.calls.remove(&read_id) else {
            return;
        };

        self.platform.succeed();

        if let Some(holder) = self.holders.get_mut(&call.slice) {
            holder.is_call_in_flight = false;
        }

        let Some(stored) = stored else {
            if let Some(holder) = self.holders.get_mut(&call.slice) {
                holder.version = Some(0);
                holder.stored = None;
            }

            return;
        };

        // The grants of this node's earlier incarnations lapse within one term of its start. Only a
        // read that began after that shows every set that the node witnessed.
        if self.witnesses.is_past_quiet(call.started) {
            self.witnesses.recall_stored(&self.identity, &stored);
        }

        self.apply_stored(now, &stored);
        self.replace_lost(now, &stored);
    }

    /// Handles the failure of a read.
    pub(crate) fn read_failed(&mut self, now: LocalMoment, read_id: u64) {
        if let Some(call) = self.platform.calls.remove(&read_id) {
            self.call_failed(now, &call);
        }
    }

    /// Handles the outcome of a write.
    pub(crate) fn write_finished(
        &mut self,
        now: LocalMoment,
        write_id: u64,
        outcome: WriteOutcome,
    ) {
        let Some(call) = self.platform.calls.remove(&write_id) else {
            return;
        };

        if let Some(holder) = self.holders.get_mut(&call.slice) {
            holder.is_call_in_flight = false;
        }

        match (outcome, &call.record) {
            (WriteOutcome::Written { version }, Some(record)) => {
                self.platform.succeed();

                let record = record.clone();
                self.apply_stored(now, &VersionedRecord { version, record });
            }
            (WriteOutcome::Conflict { stored }, _) => {
                self.platform.succeed();
                self.forget_version(&call.slice);

                if let Some(stored) = stored {
                    self.apply_stored(now, &stored);
                }
            }
            _ => self.call_failed(now, &call),
        }
    }

    /// Starts to create the record of a slice, unless this node holds it, can't own it or has no
    /// set.
    pub(crate) fn claim(&mut self, now: LocalMoment, slice: SliceId) {
        let is_held = self.holders.contains_key(&slice);

        if is_held || self.set.is_empty() || !self.can_own(&slice) {
            return;
        }

        let record = self.first_record(slice);
        let mut holder = LeaseHolder::new(record, HolderPhase::Claiming, now, now);

        // A slice without a record had no owner whose work could still be running.
        holder.drained = Some(wagtail_core::ids::LeaseEpoch::default());
        holder.version = Some(0);
        self.holders.insert(holder.record.slice.clone(), holder);
    }

    /// Applies a record that is stored in the platform.
    fn apply_stored(&mut self, now: LocalMoment, stored: &VersionedRecord) {
        let record = &stored.record;

        self.learn(record);
        self.witnesses
            .observe_record(now, &self.identity, record, &self.options);

        let Some(holder) = self.holders.get_mut(&record.slice) else {
            return;
        };

        let known_version = holder.stored.as_ref().map_or(0, |known| known.version);

        if stored.version < known_version {
            return;
        }

        holder.version = Some(stored.version);
        holder.stored = Some(stored.clone());
        self.compare_with_stored(now, record);
    }

    /// Brings the holder of a slice in line with the stored record: it continues, adopts the stored
    /// set, raises its epoch or yields.
    fn compare_with_stored(&mut self, now: LocalMoment, stored: &LeaseRecord) {
        let slice = &stored.slice;
        let me = self.identity.clone();
        let is_gained = self.lease_end(now, slice).is_some();

        let Some(holder) = self.holders.get_mut(slice) else {
            return;
        };

        let proposed = holder.proposal.as_ref().map(|record| record.write_id);
        let is_serving = holder.serving.is_some_and(|grant| grant.until > now);

        // A holder with a valid lease, served already or not, continues under the stored set.
        let is_valid = is_serving || is_gained;
        let held = &holder.record;

        if proposed == Some(stored.write_id) {
            self.adopt_proposal(now, slice);
        } else if stored.write_id == held.write_id {
            self.start_claimed(now, slice);
            self.tell_stored(slice);
        } else if holder.phase == HolderPhase::Claiming {
            self.holders.remove(slice);

            let owner = stored.owner.name.clone();
            self.report(Some(slice), LeaseProblem::AlreadyOwned { owner });
        } else if stored.set_epoch > held.set_epoch {
            if is_valid || stored.owner == me {
                self.adopt_set(now, slice, stored);
            } else {
                self.yield_to(slice, stored);
            }
        } else if stored.epoch > held.epoch {
            if is_valid || stored.owner == me {
                self.raise(now, slice, stored.epoch);
            } else {
                self.yield_to(slice, stored);
            }
        }
    }

    /// Adopts the proposed set of a slice, now that it is known to be stored.
    fn adopt_proposal(&mut self, now: LocalMoment, slice: &SliceId) {
        let gain_timeout = self.gain_timeout();
        let fault = self.options.fault;

        let Some(holder) = self.holders.get_mut(slice) else {
            return;
        };

        let Some(record) = holder.proposal.take() else {
            return;
        };

        holder.adopt(record, now + gain_timeout);

        if fault == LeaseFault::DeposedChange {
            holder.assume_granted(now);
        }

        self.are_lists_outdated = true;
    }

    /// Starts to ask the members for grants of a slice whose claim is stored.
    fn start_claimed(&mut self, now: LocalMoment, slice: &SliceId) {
        let give_up_at = now + self.options.witness_term() * 4;

        if let Some(holder) = self.holders.get_mut(slice)
            && holder.phase == HolderPhase::Claiming
        {
            holder.phase = HolderPhase::Gaining;
            holder.give_up_at = give_up_at;
            self.are_lists_outdated = true;
        }
    }

    /// Tells the members that the held epoch is stored, when it is [`UNRECORDED_EPOCHS`] or more
    /// above the last epoch that they know to be stored.
    fn tell_stored(&mut self, slice: &SliceId) {
        if let Some(holder) = self.holders.get_mut(slice) {
            let record = &mut holder.record;

            if record.epoch.0 >= record.stored_epoch.0 + UNRECORDED_EPOCHS {
                record.stored_epoch = record.epoch;
                self.are_lists_outdated = true;
            }
        }
    }

    /// Returns the most urgent call that is due.
    fn first_need(&self, now: LocalMoment) -> Option<RecordNeed> {
        let is_reading = |slice: &SliceId| {
            self.platform
                .calls
                .values()
                .any(|call| &call.slice == slice)
        };

        let recall = self
            .witnesses
            .recall_from_platform(now)
            .filter(|slice| !is_reading(slice))
            .map(RecordNeed::Recall);

        let replace_lost = self
            .lost_slices
            .iter()
            .find(|slice| !is_reading(slice) && !self.holders.contains_key(*slice))
            .cloned()
            .map(RecordNeed::ReplaceLost);

        let needs = self
            .holders
            .values()
            .filter(|holder| holder.call_after <= now && !holder.is_call_in_flight)
            .filter_map(need_of);

        recall.into_iter().chain(replace_lost).chain(needs).min()
    }

    /// Starts the call for a need. A write whose expected version is unknown is preceded by a read.
    fn start_call(&mut self, now: LocalMoment, need: RecordNeed) {
        let (slice, is_proposal) = match need {
            RecordNeed::Recall(slice) | RecordNeed::ReplaceLost(slice) => {
                self.start_read(now, slice);
                return;
            }
            RecordNeed::Claim(slice) | RecordNeed::Record(slice) => (slice, false),
            RecordNeed::Propose(slice) => (slice, true),
        };

        let Some(holder) = self.holders.get_mut(&slice) else {
            return;
        };

        holder.is_call_in_flight = true;

        let Some(version) = holder.version else {
            self.start_read(now, slice);
            return;
        };

        let held = Some(holder.record.clone());
        let record = if is_proposal {
            holder.proposal.clone()
        } else {
            held
        };

        if let Some(record) = record {
            self.start_write(now, record, version);
        }
    }

    /// Starts the read of a record.
    fn start_read(&mut self, now: LocalMoment, slice: SliceId) {
        let read_id = self.new_id();

        self.start_paced(
            read_id,
            RecordCall {
                slice: slice.clone(),
                started: now,
                record: None,
            },
        );
        self.act(LeaseAction::ReadRecord { slice, read_id });
    }

    /// Starts the conditional write of a record.
    fn start_write(&mut self, now: LocalMoment, record: LeaseRecord, expected_version: u64) {
        self.start_paced(
            record.write_id,
            RecordCall {
                slice: record.slice.clone(),
                started: now,
                record: Some(record.clone()),
            },
        );
        self.act(LeaseAction::WriteRecord {
            record,
            expected_version,
        });
    }

    /// Registers a call with the platform's pace, with a random spacing to the next.
    fn start_paced(&mut self, id: u64, call: RecordCall) {
        let jitter = self.jitter();
        let spacing = write_spacing(self.members.len(), &self.options).mul_f64(jitter);

        self.platform.start(id, call, spacing);
    }

    /// Records a failed call. A failed write may have taken effect, so that the record is read
    /// before the next write.
    fn call_failed(&mut self, now: LocalMoment, call: &RecordCall) {
        let jitter = self.jitter();

        self.platform.fail(now, jitter, &self.options);
        self.forget_version(&call.slice);

        if self.platform.failures == REPORTED_FAILURES {
            let waiting = self.count_holders(|holder| holder.gained && holder.is_unwritten());
            self.report(None, LeaseProblem::PlatformUnavailable { waiting });
        }
    }

    /// Forgets the expected version of a slice, so that the next call for it is a read.
    fn forget_version(&mut self, slice: &SliceId) {
        if let Some(holder) = self.holders.get_mut(slice) {
            holder.is_call_in_flight = false;
            holder.version = None;
        }
    }
}

/// Returns the call that a holder needs, if any.
fn need_of(holder: &LeaseHolder) -> Option<RecordNeed> {
    let slice = holder.record.slice.clone();

    if holder.phase == HolderPhase::Claiming {
        return Some(RecordNeed::Claim(slice));
    }

    if holder.gained && (holder.is_unwritten() || holder.version.is_none()) {
        return Some(RecordNeed::Record(slice));
    }

    if holder.gained && holder.proposal.is_some() {
        return Some(RecordNeed::Propose(slice));
    }

    None
}
