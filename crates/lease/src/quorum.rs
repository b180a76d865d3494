//! Majorities of a record's member sets, and the order of its epochs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIncarnation, NodeName},
    lease::LeaseRecord,
    units::LocalMoment,
};

/// `SetView` is one of the member sets whose majority a record needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SetView<'a> {
    /// The names of the members.
    pub(crate) members: &'a [NodeName],
    /// The incarnation as which each member joined, in the order of `members`.
    pub(crate) incarnations: &'a [NodeIncarnation],
}

impl SetView<'_> {
    /// Returns the incarnation as which a node joined the set, when it is a member.
    pub(crate) fn incarnation_of(&self, name: &NodeName) -> Option<NodeIncarnation> {
        let index = self.members.iter().position(|member| member == name)?;

        Some(self.incarnations.get(index).copied().unwrap_or_default())
    }

    /// Returns whether the members for which `is_counted` holds are a majority.
    fn has_majority(&self, is_counted: impl Fn(&NodeName) -> bool) -> bool {
        let counted = self.members.iter().filter(|name| is_counted(name)).count();

        counted >= majority(self.members.len())
    }
}

/// `RecordRank` orders the records of one slice from the oldest to the newest.
pub(crate) type RecordRank = (LeaseEpoch, LeaseEpoch, bool, LeaseEpoch);

/// Returns the rank of a record. A later set decides first, then a later epoch, then a set that
/// replaces no other any more, then the epoch that is known to be stored.
pub(crate) fn rank(record: &LeaseRecord) -> RecordRank {
    (
        record.set_epoch,
        record.epoch,
        record.replaced.is_none(),
        record.stored_epoch,
    )
}

/// Returns the smallest count that is more than half of `size`.
pub(crate) const fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// Returns the lowest epoch of a class that is later than `above`, where the class of an epoch is
/// its remainder by `class_count`. Classes keep deputies that bid at the same time from choosing
/// the same epoch.
pub(crate) const fn next_epoch(above: LeaseEpoch, class: u64, class_count: u64) -> LeaseEpoch {
    let base = above.0 - above.0 % class_count + class;

    if base > above.0 {
        LeaseEpoch(base)
    } else {
        LeaseEpoch(base + class_count)
    }
}

/// Returns the next epoch of the common class, which is reserved for no deputy.
pub(crate) fn next_change_epoch(record: &LeaseRecord, above: LeaseEpoch) -> LeaseEpoch {
    next_epoch(above, 0, class_count(record))
}

/// Returns the next epoch at which a node may bid: of the class reserved for it, or of the common
/// class when the node is not a deputy.
pub(crate) fn next_bid_epoch(
    record: &LeaseRecord,
    above: LeaseEpoch,
    name: &NodeName,
) -> LeaseEpoch {
    let index = record.deputies.iter().position(|deputy| deputy == name);
    let class = index.map_or(0, |index| index as u64 + 1);

    next_epoch(above, class, class_count(record))
}

/// Returns the sets whose majorities a record needs: the current one and the one that it replaces.
/// A replaced set without a majority outside `gone`, the nodes lost for good, can hold no lease any
/// more and isn't needed.
pub(crate) fn sets<'a>(
    record: &'a LeaseRecord,
    gone: &BTreeSet<NodeName>,
) -> impl Iterator<Item = SetView<'a>> {
    let current = SetView {
        members: &record.members,
        incarnations: &record.member_starts,
    };

    let replaced = record
        .replaced
        .as_ref()
        .map(|replaced| SetView {
            members: &replaced.members,
            incarnations: &replaced.member_starts,
        })
        .filter(|set| set.has_majority(|name| !gone.contains(name)));

    [Some(current), replaced].into_iter().flatten()
}

/// Returns the names of the members of a record's current and replaced sets.
pub(crate) fn all_members(record: &LeaseRecord) -> BTreeSet<NodeName> {
    let replaced = record.replaced.iter().flat_map(|set| set.members.iter());

    record.members.iter().chain(replaced).cloned().collect()
}

/// Returns whether a node is a member of the record's current or replaced set.
pub(crate) fn is_member(record: &LeaseRecord, name: &NodeName) -> bool {
    let replaced = record.replaced.iter().flat_map(|set| set.members.iter());

    record
        .members
        .iter()
        .chain(replaced)
        .any(|member| member == name)
}

/// Returns whether the nodes for which `is_counted` holds are a majority of each needed set.
pub(crate) fn has_majority(
    record: &LeaseRecord,
    gone: &BTreeSet<NodeName>,
    is_counted: impl Fn(&NodeName) -> bool,
) -> bool {
    sets(record, gone).all(|set| set.has_majority(&is_counted))
}

/// Returns the end of the lease that the grants add up to, or nothing without a majority of each
/// needed set. `grants` holds the moment at which each granted request was sent.
pub(crate) fn lease_end(
    record: &LeaseRecord,
    gone: &BTreeSet<NodeName>,
    grants: &BTreeMap<NodeName, LocalMoment>,
    term: Duration,
) -> Option<LocalMoment> {
    let mut end = None;

    for set in sets(record, gone) {
        let set_end = set_end(&set, grants)? + term;
        end = Some(end.map_or(set_end, |end: LocalMoment| end.min(set_end)));
    }

    end
}

/// Returns the latest moment such that a majority of a set granted requests sent at or after it;
/// the lease of the set ends one term later.
fn set_end(set: &SetView<'_>, grants: &BTreeMap<NodeName, LocalMoment>) -> Option<LocalMoment> {
    let mut moments: Vec<LocalMoment> = set
        .members
        .iter()
        .filter_map(|name| grants.get(name).copied())
        .collect();

    moments.sort_unstable_by(|left, right| right.cmp(left));

    moments.get(majority(set.members.len()) - 1).copied()
}

/// Returns the number of epoch classes of a record: one for each deputy and the common class.
fn class_count(record: &LeaseRecord) -> u64 {
    record.deputies.len() as u64 + 1
}
