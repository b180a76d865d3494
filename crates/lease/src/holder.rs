//! One slice that a node holds or tries to gain.

use crate::{
    event::VersionedRecord,
    message::RefusalReason,
    quorum::{everyone, has_majority, lease_end, rank},
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

/// `HolderPhase` is what a holder does with its slice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HolderPhase {
    /// The record is to be stored before the members are asked.
    Claiming,
    /// The members are asked.
    Gaining,
    /// The slice is served, or was until its lease lapsed a moment ago.
    Serving,
    /// The work is to end before the slice goes to another node.
    Draining {
        /// The next owner.
        to: NodeIdentity,
        /// The epoch at which the drain began. A changed set may raise the served epoch since.
        since: LeaseEpoch,
    },
}

/// `MemberRefusal` is the last refusal of a member.
#[derive(Debug, Clone)]
pub(crate) struct MemberRefusal {
    /// When it came.
    since: LocalMoment,
    /// The lowest epoch that the member grants.
    promised: LeaseEpoch,
    /// The newest record that it saw.
    newest: Option<LeaseRecord>,
}

/// `HolderStep` is what a holder decides to do about its refusals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HolderStep {
    /// Nothing.
    Keep,
    /// Ask for a later epoch than this.
    Raise(LeaseEpoch),
    /// Give the slice up to the holder of this record.
    Yield(LeaseRecord),
}

/// `LeaseHolder` is one slice that a node holds or tries to gain.
#[derive(Debug, Clone)]
pub(crate) struct LeaseHolder {
    /// The record under which it asks.
    pub(crate) record: LeaseRecord,
    /// What it does.
    pub(crate) phase: HolderPhase,
    /// The moment of the last granted request, by member.
    grants: BTreeMap<NodeName, LocalMoment>,
    /// The last refusals, by member.
    refusals: BTreeMap<NodeName, MemberRefusal>,
    /// The epochs of the holders that it follows, by member.
    followed: BTreeMap<NodeName, LeaseEpoch>,
    /// The epoch under which all work of the last owner had ended, when it was handed over.
    pub(crate) drained: Option<LeaseEpoch>,
    /// When it may serve under the record's epoch; absent until that is gained.
    pub(crate) serve_from: Option<LocalMoment>,
    /// The lease that it serves under now.
    pub(crate) serving: Option<ServeGrant>,
    /// Whether the record's epoch was gained once.
    pub(crate) gained: bool,
    /// When it gives up unless its lease is in force.
    pub(crate) give_up_at: LocalMoment,
    /// The old members that are to learn that their set is replaced, until then.
    pub(crate) removed_members: BTreeMap<NodeName, LocalMoment>,
    /// The stored record, as far as it is known.
    pub(crate) stored: Option<VersionedRecord>,
    /// Whether the version in the platform is known; a claim expects none.
    pub(crate) version: Option<u64>,
    /// A changed set that is not known to be stored.
    pub(crate) proposal: Option<LeaseRecord>,
    /// When the platform may be called for the slice.
    pub(crate) call_after: LocalMoment,
    /// Whether a call of the platform is in flight.
    pub(crate) is_call_in_flight: bool,
    /// The lost owner that it follows, for the report.
    pub(crate) lost_owner: Option<NodeName>,
    /// When the epoch was last raised.
    pub(crate) raised_at: LocalMoment,
    /// Whether something happened since the holder was looked at.
    pub(crate) is_touched: bool,
}

impl LeaseHolder {
    /// Makes the holder of a slice that is to be gained until a moment.
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

    /// Returns whether nothing but time has passed, and not enough to matter.
    pub(crate) fn is_steady(&self, now: LocalMoment) -> bool {
        let is_served = self
            .serving
            .is_some_and(|grant| grant.epoch == self.record.epoch && grant.until > now);

        !self.is_touched && is_served && self.refusals.is_empty()
    }

    /// Returns whether members are asked.
    pub(crate) fn is_asking(&self) -> bool {
        self.phase != HolderPhase::Claiming
    }

    /// Returns the nodes that are asked or told.
    pub(crate) fn recipients(&self) -> BTreeSet<NodeName> {
        let mut names = everyone(&self.record);
        names.extend(self.removed_members.keys().cloned());

        names
    }

    /// Returns the end of the lease under the record's epoch.
    pub(crate) fn lease_end(
        &self,
        gone: &BTreeSet<NodeName>,
        term: Duration,
    ) -> Option<LocalMoment> {
        lease_end(&self.record, gone, &self.grants, term)
    }

    /// Takes in that a member granted the epoch when asked at a moment.
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

    /// Takes in that a member refused the epoch.
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

    /// Counts every member as having granted now, which a correct holder never does.
    pub(crate) fn assume_granted(&mut self, now: LocalMoment) {
        for name in everyone(&self.record) {
            self.grants.insert(name, now);
        }
    }

    /// Replaces the record by one of a later epoch, which is to be gained anew. The lease under
    /// the last epoch counts until its end.
    pub(crate) fn adopt(&mut self, record: LeaseRecord, give_up_at: LocalMoment) {
        self.record = record;
        self.grants.clear();
        self.refusals.clear();
        self.followed.clear();
        self.serve_from = None;
        self.gained = false;
        self.give_up_at = self.give_up_at.max(give_up_at);
    }

    /// Marks the replaced set as needed no longer, once both sets were gained.
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

    /// Returns whether each member of a majority follows nobody later than the drained owner.
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

    /// Decides what to do about the refusals: a later holder is yielded to when no majority is
    /// left; a promise that nobody uses any more is overtaken.
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

    /// Returns whether a member knows a later set, so that the platform is to be asked.
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

    /// Returns whether the epoch may be served before it is stored. A witness that has forgotten
    /// everything skips no more epochs than this above the stored one.
    pub(crate) fn is_near_stored(&self) -> bool {
        self.record.epoch.0 < self.stored_epoch().0 + UNRECORDED_EPOCHS
    }

    /// Returns whether the stored record is not the held one.
    pub(crate) fn is_unwritten(&self) -> bool {
        self.stored
            .as_ref()
            .is_none_or(|stored| stored.record.write_id != self.record.write_id)
    }

    /// Returns the newest record of another holder that a refusing member knows.
    fn later_holder(&self, me: &NodeIdentity) -> Option<&LeaseRecord> {
        self.refusals
            .values()
            .filter_map(|refusal| refusal.newest.as_ref())
            .filter(|newest| newest.owner != *me && rank(newest) > rank(&self.record))
            .max_by_key(|newest| rank(newest))
    }
}
