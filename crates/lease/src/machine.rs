//! The lease state machine of one node.

use crate::{
    action::{LeaseAction, LeaseProblem},
    event::{LeaseEvent, MemberInfo},
    holder::{HolderPhase, LeaseHolder},
    members::MemberTable,
    message::LeaseMessage,
    options::LeaseOptions,
    pairs::{MessageCounter, WitnessPair},
    platform::PlatformThrottle,
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

/// The shortest time until the next requested tick.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// `LeaseMachine` decides for one node which slices it owns, grants to other nodes and takes over.
#[derive(Debug)]
pub struct LeaseMachine {
    /// The name and incarnation of this node.
    pub(crate) identity: NodeIdentity,
    /// The zone of this node.
    pub(crate) zone: ZoneName,
    /// The durations and rates of the lease protocol.
    pub(crate) options: LeaseOptions,
    /// The source of write and read identifiers and of jitter.
    rng: ChaCha8Rng,
    /// Whether an event has arrived yet.
    is_started: bool,
    /// Whether a later incarnation of this node is known, which ends this one.
    is_outdated: bool,
    /// The nodes of the fleet.
    pub(crate) members: MemberTable,
    /// The VMs that the operator confirmed as gone for good, and when. They count as gone once all
    /// that they granted has lapsed.
    pub(crate) pending_gone: BTreeMap<NodeName, LocalMoment>,
    /// Whether the targets of a service check fencing tokens.
    fencing: BTreeMap<ServiceName, bool>,
    /// The set of members that witness this node's slices, shared by all of them.
    pub(crate) set: Vec<NodeIdentity>,
    /// The nodes that did not respond as witnesses and have not been heard from since, and when
    /// that was noticed.
    pub(crate) silent: BTreeMap<NodeName, LocalMoment>,
    /// When the sets are planned next.
    pub(crate) plan_at: LocalMoment,
    /// The slices that this node holds or tries to gain.
    pub(crate) holders: BTreeMap<SliceId, LeaseHolder>,
    /// The counter of the messages and lists that are sent to witnesses.
    pub(crate) counter: MessageCounter,
    /// The renewals by witness.
    pub(crate) pairs: BTreeMap<NodeName, WitnessPair>,
    /// Whether the lists of slices to renew must be built again.
    pub(crate) are_lists_outdated: bool,
    /// The slices that this node witnesses, with its promises and grants.
    pub(crate) witnesses: WitnessTable,
    /// The calls of witnesses on this node to take slices over.
    pub(crate) ballots: BTreeMap<SliceId, TakeoverBallot>,
    /// The hand-overs that the new owner may not know of.
    pub(crate) hand_overs: BTreeMap<SliceId, HandOverAttempt>,
    /// The slices whose sets lost their majority for good, as the operator confirmed, and whose
    /// records this node is to replace.
    pub(crate) lost_slices: BTreeSet<SliceId>,
    /// The calls to the platform in flight, and their pace.
    pub(crate) platform: PlatformThrottle,
    /// The newest known record of each slice.
    pub(crate) known: BTreeMap<SliceId, LeaseRecord>,
    /// The actions of the event that is being handled.
    actions: Vec<LeaseAction>,
    /// When the next tick is due.
    wake_at: LocalMoment,
}

impl LeaseMachine {
    /// Creates the machine of a node that has just started. Each start of the node must have a
    /// higher incarnation than the last, and the options must have passed [`LeaseOptions::check`].
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
            platform: PlatformThrottle::default(),
            known: BTreeMap::new(),
            actions: Vec::new(),
            wake_at: LocalMoment::ZERO,
            options,
        }
    }

    /// Returns the name and incarnation of this node.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Returns the zone of this node.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Handles an event and returns the actions to carry out, in order.
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

    /// Returns the grant to dispatch work of a slice now, or `None` when this node may not. Call it
    /// before each dispatch.
    pub fn may_serve(&self, now: LocalMoment, slice: &SliceId) -> Option<ServeGrant> {
        let holder = self.holders.get(slice)?;

        if matches!(holder.phase, HolderPhase::Draining { .. }) {
            return None;
        }

        holder.serving.filter(|grant| now < grant.until)
    }

    /// Returns the newest known owner of a slice.
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

    /// Returns the summary for the status page.
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

    /// Returns the number of holders for which `counts` is true.
    pub(crate) fn count_holders(&self, counts: impl Fn(&LeaseHolder) -> bool) -> usize {
        self.holders
            .values()
            .filter(|holder| counts(holder))
            .count()
    }

    /// Adds an action to those of the current event.
    pub(crate) fn act(&mut self, action: LeaseAction) {
        self.actions.push(action);
    }

    /// Adds the action that sends a message to another node.
    pub(crate) fn send(&mut self, to: NodeName, message: LeaseMessage) {
        self.act(LeaseAction::Send { to, message });
    }

    /// Adds the action that reports a problem.
    pub(crate) fn report(&mut self, slice: Option<&SliceId>, problem: LeaseProblem) {
        self.act(LeaseAction::Report {
            slice: slice.cloned(),
            problem,
        });
    }

    /// Returns a new random identifier for a write or read; never zero.
    pub(crate) fn new_id(&mut self) -> u64 {
        self.rng.random_range(1..=u64::MAX)
    }

    /// Returns a random factor from 0.5 up to 1.5.
    pub(crate) fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.5)
    }

    /// Returns a random fraction from 0 up to 1.
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

    /// Records a held or stored record for routing, if its epoch is the newest known.
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

    /// Dispatches an event to its handler.
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

    /// Handles a message from another node.
    fn receive(&mut self, now: LocalMoment, from: &NodeIdentity, message: LeaseMessage) {
        if from.name == self.identity.name {
            self.observe_own(from);
            return;
        }

        self.witnesses.observe_incarnation(now, from);
        self.silent.remove(&from.name);

        match message {
            LeaseMessage::Renew { .. } => {
                let response =
                    self.witnesses
                        .renew(now, &self.identity, from, message, &self.options);

                if let Some(response) = response {
                    self.send(from.name.clone(), response);
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
                let response = self.witnesses.answer_recall(&self.identity, &records);
                self.send(from.name.clone(), response);
            }
            LeaseMessage::Recalled { memories } => {
                self.witnesses
                    .recalled(now, &self.identity, &from.name, memories);
            }
        }
    }

    /// Performs all work that is due.
    fn advance(&mut self, now: LocalMoment) {
        self.advance_gone(now);
        self.advance_holders(now);
        self.call_candidates(now);
        self.repeat_hand_overs(now);
        self.ask_members(now);
        self.plan_sets(now);
        self.call_platform(now);
    }

    /// Handles a changed membership.
    fn members_changed(&mut self, now: LocalMoment, members: Vec<MemberInfo>) {
        for member in &members {
            // The operator confirmed an earlier incarnation as gone; a later one is a member again.
            if self.members.is_later_incarnation(&member.identity) {
                self.pending_gone.remove(&member.identity.name);
                self.members.gone.remove(&member.identity.name);
            }

            if member.identity.name == self.identity.name {
                self.observe_own(&member.identity);
            } else {
                self.witnesses.observe_incarnation(now, &member.identity);
            }
        }

        self.members.replace(members);
        self.plan_at = now;
    }

    /// Shuts this machine down when a later incarnation of this node exists: all slices are
    /// stopped.
    fn observe_own(&mut self, observed: &NodeIdentity) {
        if observed.incarnation <= self.identity.incarnation {
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

    /// Asks the other members for the promises that this node lost in its restart.
    fn ask_members(&mut self, now: LocalMoment) {
        for (to, records) in self.witnesses.due_recalls(now, &self.identity) {
            self.send(to, LeaseMessage::Recall { records });
        }
    }

    /// Returns when the next timed work is due.
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

    /// Returns the nodes that are gone for good and whose grants have all lapsed.
    pub(crate) fn gone(&self) -> BTreeSet<NodeName> {
        self.members.gone.clone()
    }
}
