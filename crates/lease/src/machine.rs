//! The state machine of one node.

use crate::{
    action::{LeaseAction, LeaseProblem},
    event::{LeaseEvent, MemberInfo},
    holder::{HolderPhase, LeaseHolder},
    members::MemberTable,
    message::LeaseMessage,
    options::LeaseOptions,
    pairs::{MessageCounter, WitnessPair},
    platform::PlatformPace,
    serve::{LeaseSummary, OwnerHint, ServeGrant},
    takeover::{HandOverAttempt, TakeoverBallot},
    witnesses::WitnessTable,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    time::Duration,
};
use wagtail_core::{
    ids::{NodeIdentity, NodeName, ServiceName, ZoneName},
    lease::LeaseRecord,
    slice::SliceId,
    units::LocalMoment,
};

/// The least time between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// `LeaseMachine` decides for one node which slices it owns, grants and takes over.
#[derive(Debug)]
pub struct LeaseMachine {
    /// This start of this node.
    pub(crate) identity: NodeIdentity,
    /// The zone of this node.
    pub(crate) zone: ZoneName,
    /// The times and rates.
    pub(crate) options: LeaseOptions,
    /// The source of identifiers and jitter.
    rng: ChaCha8Rng,
    /// Whether an event has arrived yet.
    is_started: bool,
    /// Whether a later start of this node is known.
    is_outdated: bool,
    /// The nodes of the fleet.
    pub(crate) members: MemberTable,
    /// The VMs that are gone for good, until all that they granted has lapsed.
    pub(crate) pending_gone: BTreeMap<NodeName, LocalMoment>,
    /// Whether the targets of a service check fencing tokens.
    fencing: BTreeMap<ServiceName, bool>,
    /// The set that this node's slices share.
    pub(crate) set: Vec<NodeIdentity>,
    /// The nodes that did not answer as witnesses and have not been heard since, and when that was
    /// noticed.
    pub(crate) silent: BTreeMap<NodeName, LocalMoment>,
    /// When the sets are looked at next.
    pub(crate) plan_at: LocalMoment,
    /// The slices that this node holds or tries to gain.
    pub(crate) holders: BTreeMap<SliceId, LeaseHolder>,
    /// The numbers of the messages to witnesses.
    pub(crate) counter: MessageCounter,
    /// The renewals by witness.
    pub(crate) pairs: BTreeMap<NodeName, WitnessPair>,
    /// Whether the lists of the renewals may have changed.
    pub(crate) are_lists_outdated: bool,
    /// The slices that this node witnesses.
    pub(crate) witnesses: WitnessTable,
    /// The calls of witnesses to take slices over.
    pub(crate) ballots: BTreeMap<SliceId, TakeoverBallot>,
    /// The hand-overs that the new owner may not know of.
    pub(crate) hand_overs: BTreeMap<SliceId, HandOverAttempt>,
    /// The lost slices that this node is to replace by the operator's word.
    pub(crate) lost_slices: BTreeSet<SliceId>,
    /// The calls of the platform.
    pub(crate) platform: PlatformPace,
    /// The newest known record of each slice.
    pub(crate) known: BTreeMap<SliceId, LeaseRecord>,
    /// The actions of the event at hand.
    actions: Vec<LeaseAction>,
    /// When the next tick is due.
    wake_at: LocalMoment,
}

impl LeaseMachine {
    /// Makes the machine of a node that has just started. A later start of the node must have a
    /// higher incarnation, and the options must have passed [`LeaseOptions::check`].
    pub fn new(identity: NodeIdentity, zone: ZoneName, options: LeaseOptions, seed: u64) -> Self {
        Self {
            identity,
            zone,
            rng: ChaCha8Rng::seed_from_u64(seed),
            is_started: false,
            is_outdated: false,
            members: MemberTable::default(),
            pending_gone: BTreeMap::new(),
            fencing: BTreeMap::new(),
            set: Vec::new(),
            silent: BTreeMap::new(),
            plan_at: LocalMoment::ZERO,
            holders: BTreeMap::new(),
            counter: MessageCounter::default(),
            pairs: BTreeMap::new(),
            are_lists_outdated: false,
            witnesses: WitnessTable::new(LocalMoment::ZERO, &options),
            ballots: BTreeMap::new(),
            hand_overs: BTreeMap::new(),
            lost_slices: BTreeSet::new(),
            platform: PlatformPace::default(),
            known: BTreeMap::new(),
            actions: Vec::new(),
            wake_at: LocalMoment::ZERO,
            options,
        }
    }

    /// Returns this start of this node.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Returns the zone of this node.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Takes an event in and returns what is to be done, in order.
    pub fn handle(&mut self, now: LocalMoment, event: LeaseEvent) -> Vec<LeaseAction> {
        if !self.is_started {
            self.is_started = true;
            self.witnesses = WitnessTable::new(now, &self.options);
        }

        if !self.is_outdated {
            self.apply(now, event);
            self.advance(now);
            self.send_renewals(now);
        }

        self.wake_at = self.find_wakeup(now);

        mem::take(&mut self.actions)
    }

    /// Returns the right to dispatch work of a slice now. It is asked again before each dispatch.
    pub fn may_serve(&self, now: LocalMoment, slice: &SliceId) -> Option<ServeGrant> {
        let holder = self.holders.get(slice)?;

        if matches!(holder.phase, HolderPhase::Draining { .. }) {
            return None;
        }

        holder.serving.filter(|grant| now < grant.until)
    }

    /// Returns the newest owner that this node knows of.
    pub fn owner_hint(&self, slice: &SliceId) -> Option<OwnerHint> {
        let record = self.known.get(slice)?;

        Some(OwnerHint {
            owner: record.owner.clone(),
            epoch: record.epoch,
        })
    }

    /// Returns when the next [`LeaseEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> LocalMoment {
        self.wake_at
    }

    /// Returns what the status page shows.
    pub fn summary(&self) -> LeaseSummary {
        let serving = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.serving.is_some())
            .map(|(slice, _)| slice.clone())
            .collect();

        LeaseSummary {
            serving,
            gaining: self.count_holders(|holder| holder.serving.is_none()),
            draining: self
                .count_holders(|holder| matches!(holder.phase, HolderPhase::Draining { .. })),
            witnessed: self.witnesses.slices.len(),
            recovering: self.witnesses.recalling(),
            unwritten: self.count_holders(|holder| holder.gained && holder.is_unwritten()),
        }
    }

    /// Counts the holders for whom `counts` holds.
    pub(crate) fn count_holders(&self, counts: impl Fn(&LeaseHolder) -> bool) -> usize {
        self.holders
            .values()
            .filter(|holder| counts(holder))
            .count()
    }

    /// Adds an action.
    pub(crate) fn act(&mut self, action: LeaseAction) {
        self.actions.push(action);
    }

    /// Adds a message to another node.
    pub(crate) fn send(&mut self, to: NodeName, message: LeaseMessage) {
        self.act(LeaseAction::Send { to, message });
    }

    /// Adds a report.
    pub(crate) fn report(&mut self, slice: Option<&SliceId>, problem: LeaseProblem) {
        self.act(LeaseAction::Report {
            slice: slice.cloned(),
            problem,
        });
    }

    /// Returns a new identifier of a write or read.
    pub(crate) fn new_id(&mut self) -> u64 {
        self.rng.random_range(1..=u64::MAX)
    }

    /// Returns a random factor around one.
    pub(crate) fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.5)
    }

    /// Returns a random part of the whole.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    /// Returns whether the targets of a slice check fencing tokens.
    pub(crate) fn is_fenced(&self, slice: &SliceId) -> bool {
        self.fencing.get(&slice.service).copied().unwrap_or(false)
    }

    /// Returns whether this node can own a slice.
    pub(crate) fn can_own(&self, slice: &SliceId) -> bool {
        self.members.can_own(&self.identity.name, slice)
    }

    /// Takes up a record that is held or stored, for routing.
    pub(crate) fn learn(&mut self, record: &LeaseRecord) {
        let known = self.known.get(&record.slice);
        let is_newer = known.is_none_or(|known| known.epoch < record.epoch);

        if is_newer {
            self.known.insert(record.slice.clone(), record.clone());
            self.act(LeaseAction::Learned {
                record: record.clone(),
            });
        }
    }

    /// Takes in an event.
    fn apply(&mut self, now: LocalMoment, event: LeaseEvent) {
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Received { from, message } => self.receive(now, &from, message),
            LeaseEvent::RecordsListed(listed) => self.records_listed(now, &listed),
            LeaseEvent::RecordRead {
                read_id, stored, ..
            } => self.record_read(now, read_id, stored),
            LeaseEvent::ReadFailed { read_id, .. } => self.read_failed(now, read_id),
            LeaseEvent::WriteFinished { write_id, outcome } => {
                self.write_finished(now, write_id, outcome);
            }
            LeaseEvent::MembersChanged(members) => self.members_changed(now, members),
            LeaseEvent::ServiceFencing { service, fenced } => {
                self.fencing.insert(service, fenced);
            }
            LeaseEvent::Claim { slice } => self.claim(now, slice),
            LeaseEvent::Move { slice, to } => self.start_move(&slice, to),
            LeaseEvent::Drained { slice, epoch } => self.drained(now, &slice, epoch),
            LeaseEvent::NodeGone { name } => {
                self.pending_gone.entry(name).or_insert(now);
            }
        }
    }

    /// Takes in a message of another node.
    fn receive(&mut self, now: LocalMoment, from: &NodeIdentity, message: LeaseMessage) {
        if from.name == self.identity.name {
            self.observe_own(from);
            return;
        }

        self.witnesses.observe_start(now, from);
        self.silent.remove(&from.name);

        match message {
            LeaseMessage::Renew { .. } => {
                let answer =
                    self.witnesses
                        .renew(now, &self.identity, from, message, &self.options);

                if let Some(answer) = answer {
                    self.send(from.name.clone(), answer);
                }
            }
            LeaseMessage::Renewed {
                sequence,
                refusals,
                changes,
            } => self.renewed(now, &from.name, sequence, &refusals, &changes),
            LeaseMessage::BundleMissing { sequence } => {
                if let Some(pair) = self.pairs.get_mut(&from.name) {
                    pair.bundle_missing(now, sequence);
                }
            }
            LeaseMessage::Release {
                sequence,
                slice,
                epoch,
            } => self.witnesses.release(now, from, sequence, &slice, epoch),
            LeaseMessage::HandOver { record, drained } => self.handed_over(now, record, drained),
            LeaseMessage::Suspect { entries } => self.suspected(now, &from.name, entries),
            LeaseMessage::Inquire { records } => self.inquired(now, &from.name, &records),
            LeaseMessage::Recall { records } => {
                let answer = self.witnesses.answer_recall(&self.identity, &records);
                self.send(from.name.clone(), answer);
            }
            LeaseMessage::Recalled { memories } => {
                self.witnesses
                    .recalled(now, &self.identity, &from.name, memories);
            }
        }
    }

    /// Does what time makes due.
    fn advance(&mut self, now: LocalMoment) {
        self.advance_gone(now);
        self.advance_holders(now);
        self.call_candidates(now);
        self.repeat_hand_overs(now);
        self.ask_members(now);
        self.plan_sets(now);
        self.call_platform(now);
    }

    /// Takes up the membership.
    fn members_changed(&mut self, now: LocalMoment, members: Vec<MemberInfo>) {
        for member in &members {
            // The operator's word was for an earlier start; a later one counts.
            if self.members.is_later_start(&member.identity) {
                self.pending_gone.remove(&member.identity.name);
                self.members.gone.remove(&member.identity.name);
            }

            if member.identity.name == self.identity.name {
                self.observe_own(&member.identity);
            } else {
                self.witnesses.observe_start(now, &member.identity);
            }
        }

        self.members.replace(members);
        self.plan_at = now;
    }

    /// Ends everything when a later start of this node exists.
    fn observe_own(&mut self, start: &NodeIdentity) {
        if start.incarnation <= self.identity.incarnation {
            return;
        }

        self.is_outdated = true;

        for (slice, holder) in mem::take(&mut self.holders) {
            if let Some(grant) = holder.serving {
                self.act(LeaseAction::Stop {
                    slice,
                    epoch: grant.epoch,
                });
            }
        }

        self.report(None, LeaseProblem::IncarnationOutdated);
    }

    /// Asks the other members what this start has forgotten.
    fn ask_members(&mut self, now: LocalMoment) {
        for (to, records) in self.witnesses.due_recalls(now, &self.identity) {
            self.send(to, LeaseMessage::Recall { records });
        }
    }

    /// Returns when something is due by itself.
    fn find_wakeup(&self, now: LocalMoment) -> LocalMoment {
        let pairs = self.pairs.values().map(|pair| pair.send_at);
        let holders = self
            .holders
            .values()
            .filter_map(|holder| holder.next_wakeup(now));
        let hand_overs = self.hand_overs.values().map(|attempt| attempt.send_at);
        let others = [
            Some(self.plan_at),
            self.witnesses.next_wakeup(),
            self.platform_wakeup(),
        ];

        let earliest = pairs
            .chain(holders)
            .chain(hand_overs)
            .chain(others.into_iter().flatten())
            .min();

        earliest
            .unwrap_or(self.plan_at)
            .max(now + MIN_TICK_INTERVAL)
    }

    /// Returns the nodes that are gone for good and can hold no lease any more.
    pub(crate) fn gone(&self) -> BTreeSet<NodeName> {
        self.members.gone.clone()
    }
}
