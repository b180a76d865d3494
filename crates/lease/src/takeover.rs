//! The takeover of slices from a silent holder, and the planned hand-over.
//!
//! Each witness of a silent holder calls the candidates one after another: the deputies, then
//! others. A candidate that a majority of the members has called asks them to grant it the slice
//! under a later epoch.

use crate::{
    action::{LeaseAction, LeaseProblem},
    holder::{HolderPhase, LeaseHolder},
    machine::LeaseMachine,
    message::{LeaseMessage, SilentSlice},
    quorum::{all_members, has_majority, is_member, next_bid_epoch, next_change_epoch, rank},
};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{
    ids::{LeaseEpoch, NodeName},
    lease::LeaseRecord,
    slice::SliceId,
    units::LocalMoment,
};

/// The interval at which the message of a hand-over is repeated.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(100);

/// The number of times that the message of a hand-over is sent.
const HAND_OVER_MESSAGES: u32 = 5;

/// The time without calls from a majority after which `QuorumLost` is reported.
const QUORUM_LOST_AFTER: Duration = Duration::from_secs(3);

/// The pause that each further round of calls adds, when no candidate of a round has taken over.
const ROUND_PAUSE_STEP: Duration = Duration::from_millis(300);

/// The most steps of which the pause after a round consists.
const MAX_ROUND_PAUSE_STEPS: u32 = 4;

/// The interval at which a slice that this node no longer witnesses is checked.
const RETIRED_CHECK: Duration = Duration::from_secs(1);

/// The interval at which a candidate that too few members have called asks the others.
const INQUIRE_INTERVAL: Duration = Duration::from_millis(150);

/// The time for which the call of a witness counts. It covers a round and its pause, because the
/// witnesses of one slice don't start their rounds at the same time after restarts.
const CALL_WINDOW: Duration = Duration::from_millis(1_800);

/// `TakeoverBallot` collects the calls of one slice's witnesses on this node to take it over.
#[derive(Debug)]
pub(crate) struct TakeoverBallot {
    /// When the first call arrived.
    since: LocalMoment,
    /// When the last call arrived.
    last: LocalMoment,
    /// The last call of each witness.
    calls: BTreeMap<NodeName, (LocalMoment, SilentSlice)>,
    /// When the other members are asked next.
    inquire_at: LocalMoment,
    /// Whether `QuorumLost` was reported.
    is_reported: bool,
}

/// `HandOverAttempt` is a hand-over whose message is still repeated, as it may have been lost.
#[derive(Debug)]
pub(crate) struct HandOverAttempt {
    /// The record for the new owner.
    record: LeaseRecord,
    /// The epoch under which all work of this node has ended.
    drained: LeaseEpoch,
    /// When the message is sent next.
    pub(crate) send_at: LocalMoment,
    /// The number of messages that remain to be sent.
    left: u32,
}

impl LeaseMachine {
    /// Calls the next candidate for each slice whose holder is silent.
    pub(crate) fn call_candidates(&mut self, now: LocalMoment) {
        let mut calls: BTreeMap<NodeName, Vec<SilentSlice>> = BTreeMap::new();

        for witness in self.witnesses.slices.values_mut() {
            if witness.call_at > now {
                continue;
            }

            if !is_member(&witness.record, &self.identity.name) {
                witness.call_at = now + RETIRED_CHECK;
                continue;
            }

            if let Some(name) = self.members.candidate(&witness.record, witness.calls) {
                calls.entry(name).or_default().push(witness.silent_slice());
            }

            witness.calls += 1;
            witness.call_at =
                now + self.options.deputy_step + round_pause(witness.calls, &witness.record);
        }

        let me = self.identity.name.clone();

        for (to, entries) in calls {
            if to == me {
                self.suspected(now, &me, entries);
            } else {
                self.send(to, LeaseMessage::Suspect { entries });
            }
        }
    }

    /// Handles calls of a witness to take slices over, and bids for those that a majority of the
    /// members has called for.
    pub(crate) fn suspected(
        &mut self,
        now: LocalMoment,
        from: &NodeName,
        entries: Vec<SilentSlice>,
    ) {
        let mut inquiries: BTreeMap<NodeName, Vec<LeaseRecord>> = BTreeMap::new();

        for entry in entries {
            let slice = entry.record.slice.clone();
            self.learn(&entry.record);

            if self.holders.contains_key(&slice) || !self.can_own(&slice) {
                continue;
            }

            let ballot = self
                .ballots
                .entry(slice.clone())
                .or_insert_with(|| TakeoverBallot::new(now));

            ballot.call(now, from, entry);
            self.count_calls(now, &slice);
            self.list_inquiries(now, &slice, &mut inquiries);
        }

        for (to, records) in inquiries {
            self.send(to, LeaseMessage::Inquire { records });
        }
    }

    /// Responds to a candidate that asks whether this node hears from the holders of slices, with a
    /// call for the silent ones.
    pub(crate) fn inquired(&mut self, now: LocalMoment, from: &NodeName, records: &[LeaseRecord]) {
        let entries = self
            .witnesses
            .answer_inquiry(now, &self.identity, records, &self.options);

        if !entries.is_empty() {
            self.send(from.clone(), LeaseMessage::Suspect { entries });
        }
    }

    /// Starts to drain a slice for its next owner, or reports that the move is refused.
    pub(crate) fn start_move(&mut self, slice: &SliceId, to: NodeName) {
        let moving =
            self.count_holders(|holder| matches!(holder.phase, HolderPhase::Draining { .. }));
        let is_allowed = moving < self.options.moves_in_flight
            && to != self.identity.name
            && self.members.can_own(&to, slice);
        let next = self
            .members
            .get(&to)
            .map(|member| member.identity.clone())
            .filter(|_| is_allowed);
        let holder = self
            .holders
            .get_mut(slice)
            .filter(|holder| holder.phase == HolderPhase::Serving);

        let grant = holder.as_ref().and_then(|holder| holder.serving);

        let (Some(next), Some(holder), Some(grant)) = (next, holder, grant) else {
            self.report(Some(slice), LeaseProblem::MoveRefused { to });
            return;
        };

        holder.phase = HolderPhase::Draining {
            to: next,
            since: grant.epoch,
        };

        self.act(LeaseAction::Drain {
            slice: slice.clone(),
            epoch: grant.epoch,
        });
    }

    /// Releases a drained slice and hands it over to its next owner.
    pub(crate) fn drained(&mut self, now: LocalMoment, slice: &SliceId, epoch: LeaseEpoch) {
        let Some(holder) = self.holders.get(slice) else {
            return;
        };

        let HolderPhase::Draining { to, since } = &holder.phase else {
            return;
        };

        let Some(grant) = holder.serving.filter(|_| *since == epoch) else {
            return;
        };

        let mut record = holder.record.clone();
        record.epoch = next_change_epoch(&record, record.epoch);
        record.owner = to.clone();

        self.release(now, slice);
        self.drop_holder(slice);
        self.hand_overs.insert(
            slice.clone(),
            HandOverAttempt {
                record,
                drained: grant.epoch,
                send_at: now,
                left: HAND_OVER_MESSAGES,
            },
        );
        self.repeat_hand_overs(now);
    }

    /// Sends the hand-over messages that are due.
    pub(crate) fn repeat_hand_overs(&mut self, now: LocalMoment) {
        let mut due = Vec::new();

        for attempt in self.hand_overs.values_mut() {
            if attempt.send_at <= now {
                attempt.send_at = now + HAND_OVER_INTERVAL;
                attempt.left -= 1;
                due.push((attempt.record.clone(), attempt.drained));
            }
        }

        self.hand_overs.retain(|_, attempt| attempt.left > 0);

        for (record, drained) in due {
            let to = record.owner.name.clone();
            self.send(to, LeaseMessage::HandOver { record, drained });
        }
    }

    /// Handles a hand-over of a slice that its owner has drained for this node.
    pub(crate) fn handed_over(
        &mut self,
        now: LocalMoment,
        record: LeaseRecord,
        drained: LeaseEpoch,
    ) {
        let is_newer = self
            .known
            .get(&record.slice)
            .is_none_or(|known| known.epoch < record.epoch);

        if record.owner != self.identity
            || !is_newer
            || !self.can_own(&record.slice)
            || self.holders.contains_key(&record.slice)
        {
            return;
        }

        let mut holder = self.new_holder(now, record);
        holder.drained = Some(drained);
        self.start_gaining(holder);
    }

    /// Creates the holder of a slice that this node is to gain.
    pub(crate) fn new_holder(&mut self, now: LocalMoment, mut record: LeaseRecord) -> LeaseHolder {
        record.owner = self.identity.clone();
        record.write_id = self.new_id();

        let give_up_at = now + self.options.witness_term() * 2 + self.options.suspicion;

        LeaseHolder::new(record, HolderPhase::Gaining, now, give_up_at)
    }

    /// Starts to ask the members of a slice for grants.
    pub(crate) fn start_gaining(&mut self, holder: LeaseHolder) {
        self.learn(&holder.record.clone());
        self.ballots.remove(&holder.record.slice);
        self.holders.insert(holder.record.slice.clone(), holder);
        self.are_lists_outdated = true;
    }

    /// Adds the members that have not called for a slice, although others have for a while, to the
    /// inquiries to send. Counts this node's own call, if the holder is silent to it.
    fn list_inquiries(
        &mut self,
        now: LocalMoment,
        slice: &SliceId,
        inquiries: &mut BTreeMap<NodeName, Vec<LeaseRecord>>,
    ) {
        let me = self.identity.clone();
        let Some(ballot) = self.ballots.get_mut(slice) else {
            return;
        };

        let Some(newest) = ballot.newest().cloned() else {
            return;
        };

        if now < ballot.inquire_at {
            return;
        }

        ballot.inquire_at = now + INQUIRE_INTERVAL;

        for name in all_members(&newest) {
            if !ballot.calls.contains_key(&name) && name != me.name {
                inquiries.entry(name).or_default().push(newest.clone());
            }
        }

        let own = self
            .witnesses
            .answer_inquiry(now, &me, &[newest], &self.options);

        for entry in own {
            ballot.call(now, &me.name, entry);
        }
    }

    /// Bids for a slice when a majority of its members has called, and reports when none has for
    /// too long.
    fn count_calls(&mut self, now: LocalMoment, slice: &SliceId) {
        let Some(ballot) = self.ballots.get_mut(slice) else {
            return;
        };

        let Some(newest) = ballot.newest().cloned() else {
            return;
        };

        let called = |name: &NodeName| ballot.calls.contains_key(name);

        if has_majority(&newest, &self.members.gone, called) {
            let promised = ballot.promised().max(newest.epoch);
            self.bid(now, newest, promised);
            return;
        }

        if now.since(ballot.since) >= QUORUM_LOST_AFTER && !ballot.is_reported {
            ballot.is_reported = true;

            let silent = all_members(&newest)
                .into_iter()
                .filter(|name| !ballot.calls.contains_key(name))
                .collect();

            self.report(Some(slice), LeaseProblem::QuorumLost { silent });
        }
    }

    /// Asks the members of a silent holder's slice to grant it to this node under a later epoch.
    fn bid(&mut self, now: LocalMoment, newest: LeaseRecord, promised: LeaseEpoch) {
        let from = newest.owner.name.clone();
        let epoch = next_bid_epoch(&newest, promised, &self.identity.name);

        let mut holder = self.new_holder(now, newest);
        holder.record.epoch = epoch;
        holder.lost_owner = Some(from);
        self.start_gaining(holder);
    }

    /// Tells the members that this node releases a slice.
    fn release(&mut self, now: LocalMoment, slice: &SliceId) {
        let Some(holder) = self.holders.get(slice) else {
            return;
        };

        let epoch = holder.record.epoch;

        for name in holder.recipients() {
            let sequence = self.counter.next();

            if name == self.identity.name {
                let me = self.identity.clone();
                self.witnesses.release(now, &me, sequence, slice, epoch);
                continue;
            }

            let message = LeaseMessage::Release {
                sequence,
                slice: slice.clone(),
                epoch,
            };
            self.send(name, message);
        }
    }
}

impl TakeoverBallot {
    /// Creates the ballot at the first call.
    fn new(now: LocalMoment) -> Self {
        Self {
            since: now,
            last: now,
            calls: BTreeMap::new(),
            inquire_at: now + INQUIRE_INTERVAL,
            is_reported: false,
        }
    }

    /// Records a call and forgets those older than [`CALL_WINDOW`].
    fn call(&mut self, now: LocalMoment, from: &NodeName, entry: SilentSlice) {
        // A ballot without calls for this long belongs to an earlier loss.
        if now.since(self.last) > QUORUM_LOST_AFTER * 2 {
            self.since = now;
            self.is_reported = false;
        }

        self.last = now;
        self.calls
            .retain(|_, (moment, _)| now.since(*moment) <= CALL_WINDOW);
        self.calls.insert(from.clone(), (now, entry));
    }

    /// Returns the newest record that a calling witness has seen.
    fn newest(&self) -> Option<&LeaseRecord> {
        self.calls
            .values()
            .map(|(_, entry)| &entry.record)
            .max_by_key(|record| rank(record))
    }

    /// Returns the highest epoch that a calling witness has promised.
    fn promised(&self) -> LeaseEpoch {
        let promised = self.calls.values().map(|(_, entry)| entry.promised).max();

        promised.unwrap_or_default()
    }
}

/// Returns the pause after a call: zero within a round, and longer after each full round of calls
/// to all candidates without success.
fn round_pause(calls: usize, record: &LeaseRecord) -> Duration {
    let round = record.deputies.len() + 1;

    if !calls.is_multiple_of(round) {
        return Duration::ZERO;
    }

    let rounds = u32::try_from(calls / round).unwrap_or(u32::MAX);

    ROUND_PAUSE_STEP * rounds.min(MAX_ROUND_PAUSE_STEPS)
}
