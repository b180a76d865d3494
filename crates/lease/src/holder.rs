//! The state of one slice that a node holds or tries to gain.

use crate::{
    event::VersionedRecord,
    message::RefusalReason,
    quorum::{all_members, has_majority, lease_end, rank},
    serve::ServeGrant,
    witness::UNRECORDED_EPOCHS,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeName},
    lease::LeaseRecord,
    units::LocalMoment,
};

/// `HolderPhase` is the phase in which a holder is with its slice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HolderPhase {
    /// The record must be stored before the members are asked for grants.
    Claiming,
    /// The members are asked for grants, and the slice is not served yet.
    Gaining,
    /// The slice is served, or was until its lease lapsed a moment ago.
    Serving,
    /// Running work is to end before the slice is handed over to another node.
    Draining {
        /// The node and incarnation to which the slice is handed over.
        to: NodeIdentity,
        /// The epoch at which the drain began. A changed set may have raised the served epoch
        /// since.
        since: LeaseEpoch,
    },
}

/// `MemberRefusal` is the standing refusal of a member that promised a later epoch.
#[derive(Debug, Clone)]
pub(crate) struct MemberRefusal {
    /// When the member first refused.
    since: LocalMoment,
    /// The lowest epoch that the member still grants.
    promised: LeaseEpoch,
    /// The newest record that the member has seen.
    newest: Option<LeaseRecord>,
}

/// `HolderStep` is the reaction of a holder to its refusals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HolderStep {
    /// Go on as before.
    Keep,
    /// Raise the record's epoch above this one.
    Raise(LeaseEpoch),
    /// Yield the slice to the owner that this record names.
    Yield(LeaseRecord),
}

/// `LeaseHolder` is the state of one slice that a node holds or tries to gain.
#[derive(Debug, Clone)]
pub(crate) struct LeaseHolder {
    /// The record for which grants are asked.
    pub(crate) record: LeaseRecord,
    /// How far the slice is on its way from the claim to the handover.
    pub(crate) phase: HolderPhase,
    /// When the last granted request was sent, by member.
    grants: BTreeMap<NodeName, LocalMoment>,
    /// The standing refusals, by member.
    refusals: BTreeMap<NodeName, MemberRefusal>,
    /// The epoch of the last grant to another holder before this one, by member.
    followed: BTreeMap<NodeName, LeaseEpoch>,
    /// The epoch under which all work of the last owner has ended; absent unless the slice was
    /// handed over or had no owner before.
    pub(crate) drained: Option<LeaseEpoch>,
    /// When serving under the record's epoch may start; absent until the epoch is gained.
    pub(crate) serve_from: Option<LocalMoment>,
    /// The lease under which the slice is served now.
    pub(crate) serving: Option<ServeGrant>,
    /// Whether the record's epoch has been gained: each needed majority granted it.
    pub(crate) gained: bool,
    /// When the node drops the slice, unless it has a lease by then.
    pub(crate) give_up_at: LocalMoment,
    /// The members that left the set, and until when they are sent the record of the new set.
    pub(crate) removed_members: BTreeMap<NodeName, LocalMoment>,
    /// The newest stored record that is known.
    pub(crate) stored: Option<VersionedRecord>,
    /// The expected version for the next write, zero when no record is stored; absent when the
    /// record must be read first.
    pub(crate) version: Option<u64>,
    /// A record with a changed set that is not yet known to be stored.
    pub(crate) proposal: Option<LeaseRecord>,
    /// The earliest time of the next call to the platform for the slice.
    pub(crate) call_after: LocalMoment,
    /// Whether a call to the platform is in flight for the slice.
    pub(crate) is_call_in_flight: bool,
    /// The lost owner from which the slice is taken over, until the takeover is reported.
    pub(crate) lost_owner: Option<NodeName>,
    /// When the epoch was last raised.
    pub(crate) raised_at: LocalMoment,
    /// Whether a grant or refusal arrived since the holder was last advanced.
    pub(crate) is_touched: bool,
}

impl LeaseHolder {
    /// Creates the holder of a slice that is to be gained by `give_up_at`.
    pub(crate) fn new(
        record: LeaseRecord,
        phase: HolderPhase,
        now: LocalMoment,
        give_up_at: LocalMoment,
    ) -> Self {
        Self {
            record,
            phase,
            grants: BTreeMap::new(),
            refusals: BTreeMap::new(),
            followed: BTreeMap::new(),
            drained: None,
            serve_from: None,
            serving: None,
            gained: false,
            give_up_at,
            removed_members: BTreeMap::new(),
            stored: None,
            version: None,
            proposal: None,
            call_after: now,
            is_call_in_flight: false,
            lost_owner: None,
            raised_at: now,
            is_touched: true,
        }
    }

    /// Returns whether the holder needn't be advanced: it serves under its record's epoch, its
    /// lease is valid, and neither grants nor refusals arrived.
    pub(crate) fn is_steady(&self, now: LocalMoment) -> bool {
        let is_served = self
            .serving
            .is_some_and(|grant| grant.epoch == self.record.epoch && grant.until > now);

        !self.is_touched && is_served && self.refusals.is_empty()
    }

    /// Returns whether the members are asked for grants.
    pub(crate) fn is_asking(&self) -> bool {
        self.phase != HolderPhase::Claiming
    }

    /// Returns the nodes that receive the record: all members, and those that left the set
    /// recently.
    pub(crate) fn recipients(&self) -> BTreeSet<NodeName> {
        let mut names = all_members(&self.record);
        names.extend(self.removed_members.keys().cloned());

        names
    }

    /// Returns the end of the lease under the record's epoch, or `None` when a needed majority has
    /// not granted it.
    pub(crate) fn lease_end(
        &self,
        gone: &BTreeSet<NodeName>,
        term: Duration,
    ) -> Option<LocalMoment> {
        lease_end(&self.record, gone, &self.grants, term)
    }

    /// Records that a member granted an epoch in response to a request sent at `asked`. `change` is
    /// the epoch that the grant follows, when the member granted this epoch for the first time.
    pub(crate) fn granted(
        &mut self,
        from: &NodeName,
        epoch: LeaseEpoch,
        asked: LocalMoment,
        change: Option<LeaseEpoch>,
    ) {
        if epoch != self.record.epoch {
            return;
        }

        if let Some(followed) = change {
            self.followed.insert(from.clone(), followed);
        }

        self.is_touched = true;

        let moment = self.grants.entry(from.clone()).or_insert(asked);
        *moment = (*moment).max(asked);

        self.refusals.remove(from);
    }

    /// Records that a member refused an epoch.
    pub(crate) fn refused(
        &mut self,
        from: &NodeName,
        epoch: LeaseEpoch,
        reason: &RefusalReason,
        now: LocalMoment,
    ) {
        if epoch != self.record.epoch {
            return;
        }

        self.is_touched = true;

        match reason {
            RefusalReason::Superseded { promised, newest } => {
                let since = self.refusals.get(from).map_or(now, |refusal| refusal.since);
                let refusal = MemberRefusal {
                    since,
                    promised: *promised,
                    newest: newest.as_deref().cloned(),
                };

                self.refusals.insert(from.clone(), refusal);
            }
            RefusalReason::NotMember => {
                self.removed_members.remove(from);
            }
            RefusalReason::Outstanding { .. } | RefusalReason::Recovering => {}
        }
    }

    /// Counts every member as having granted now, which only an injected fault does.
    pub(crate) fn assume_granted(&mut self, now: LocalMoment) {
        for name in all_members(&self.record) {
            self.grants.insert(name, now);
        }
    }

    /// Replaces the record by one of a later epoch, which must be gained anew. The lease under the
    /// last epoch stays valid until its end.
    pub(crate) fn adopt(&mut self, record: LeaseRecord, give_up_at: LocalMoment) {
        self.record = record;
        self.grants.clear();
        self.refusals.clear();
        self.followed.clear();
        self.serve_from = None;
        self.gained = false;
        self.give_up_at = self.give_up_at.max(give_up_at);
    }

    /// Drops the replaced set from the record, once majorities of both sets were gained. The
    /// members that left are sent the record until the given time. Returns whether there was a
    /// replaced set.
    pub(crate) fn settle(&mut self, until: LocalMoment) -> bool {
        let Some(replaced) = self.record.replaced.take() else {
            return false;
        };

        for name in replaced.members {
            if !self.record.members.contains(&name) {
                self.removed_members.insert(name, until);
            }
        }

        true
    }

    /// Returns whether a majority granted and last granted no other holder a later epoch than the
    /// drained one, so that no work of a predecessor can still be running.
    pub(crate) fn follows_drained(&self, gone: &BTreeSet<NodeName>) -> bool {
        let Some(drained) = self.drained else {
            return false;
        };

        has_majority(&self.record, gone, |name| {
            self.grants.contains_key(name)
                && self
                    .followed
                    .get(name)
                    .is_some_and(|epoch| *epoch <= drained)
        })
    }

    /// Decides how to react to the refusals. When they leave no majority and the lease has lapsed,
    /// the holder yields to a later one. Otherwise a promise that no holder uses is overtaken by a
    /// higher epoch, at most once within `patience`.
    pub(crate) fn step(
        &self,
        now: LocalMoment,
        gone: &BTreeSet<NodeName>,
        me: &NodeIdentity,
        patience: Duration,
    ) -> HolderStep {
        let promised = self.refusals.values().map(|refusal| refusal.promised).max();

        let Some(promised) = promised else {
            return HolderStep::Keep;
        };

        let blocked = !has_majority(&self.record, gone, |name| !self.refusals.contains_key(name));
        let valid = self.serving.is_some_and(|grant| grant.until > now);
        let later = self.later_holder(me);

        if let Some(later) = later.filter(|_| blocked && !valid) {
            return HolderStep::Yield(later.clone());
        }

        let old = |refusal: &MemberRefusal| now.since(refusal.since) >= patience;
        let stale = self.gained && self.refusals.values().any(old);
        let raisable = now.since(self.raised_at) >= patience;

        if raisable && (stale || (blocked && later.is_none())) {
            return HolderStep::Raise(promised.max(self.record.epoch));
        }

        HolderStep::Keep
    }

    /// Returns whether a refusing member knows a later set, so that the stored record must be read.
    pub(crate) fn is_set_outdated(&self) -> bool {
        self.refusals.values().any(|refusal| {
            refusal
                .newest
                .as_ref()
                .is_some_and(|newest| newest.set_epoch > self.record.set_epoch)
        })
    }

    /// Returns the highest epoch that is known to be stored.
    pub(crate) fn stored_epoch(&self) -> LeaseEpoch {
        let stored = self.stored.as_ref().map(|stored| stored.record.epoch);

        stored.unwrap_or_default().max(self.record.stored_epoch)
    }

    /// Returns whether the epoch may be served before it is stored. Witnesses that lost their state
    /// skip [`UNRECORDED_EPOCHS`] above the stored epoch, so that epochs below that are safe.
    pub(crate) fn is_near_stored(&self) -> bool {
        self.record.epoch.0 < self.stored_epoch().0 + UNRECORDED_EPOCHS
    }

    /// Returns whether the held record is not known to be stored.
    pub(crate) fn is_unwritten(&self) -> bool {
        self.stored
            .as_ref()
            .is_none_or(|stored| stored.record.write_id != self.record.write_id)
    }

    /// Returns the newest record that a refusing member knows, if it names another owner and ranks
    /// above the held one.
    fn later_holder(&self, me: &NodeIdentity) -> Option<&LeaseRecord> {
        self.refusals
            .values()
            .filter_map(|refusal| refusal.newest.as_ref())
            .filter(|newest| newest.owner != *me && rank(newest) > rank(&self.record))
            .max_by_key(|newest| rank(newest))
    }
}
