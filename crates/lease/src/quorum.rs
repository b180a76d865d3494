//! Majorities of the sets of a record.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIncarnation, NodeName},
    lease::LeaseRecord,
    units::LocalMoment,
};

/// `SetView` is one of the sets whose majority a record needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SetView<'a> {
    /// The members.
    pub(crate) members: &'a [NodeName],
    /// The start of each member when it joined.
    pub(crate) starts: &'a [NodeIncarnation],
}

impl SetView<'_> {
    /// Returns the start at which a node joined the set.
    pub(crate) fn start_of(&self, name: &NodeName) -> Option<NodeIncarnation> {
        let place = self.members.iter().position(|member| member == name)?;

        Some(self.starts.get(place).copied().unwrap_or_default())
    }

    /// Returns whether those of whom `counts` holds are a majority.
    fn has_majority(&self, counts: impl Fn(&NodeName) -> bool) -> bool {
        let counted = self.members.iter().filter(|name| counts(name)).count();

        counted >= majority(self.members.len())
    }
}

/// `RecordRank` orders the records of one slice by the age of what they say.
pub(crate) type RecordRank = (LeaseEpoch, LeaseEpoch, bool, LeaseEpoch);

/// Returns the rank of a record: a later set first, then a later epoch, then a settled set, then
/// what is known to be stored.
pub(crate) fn rank(record: &LeaseRecord) -> RecordRank {
    (
        record.set_epoch,
        record.epoch,
        record.replaced.is_none(),
        record.stored_epoch,
    )
}

/// Returns the least count that is more than half of `size`.
pub(crate) const fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// Returns the lowest epoch of a class above another, where the class is the remainder by
/// `modulus`.
pub(crate) const fn next_epoch(above: LeaseEpoch, class: u64, modulus: u64) -> LeaseEpoch {
    let base = above.0 - above.0 % modulus + class;

    if base > above.0 {
        LeaseEpoch(base)
    } else {
        LeaseEpoch(base + modulus)
    }
}

/// Returns the next epoch of the class that no deputy bids for.
pub(crate) fn next_change_epoch(record: &LeaseRecord, above: LeaseEpoch) -> LeaseEpoch {
    next_epoch(above, 0, modulus(record))
}

/// Returns the next epoch that is reserved for a node, or of the common class when the node is
/// no deputy.
pub(crate) fn next_bid_epoch(
    record: &LeaseRecord,
    above: LeaseEpoch,
    name: &NodeName,
) -> LeaseEpoch {
    let place = record.deputies.iter().position(|deputy| deputy == name);
    let class = place.map_or(0, |place| place as u64 + 1);

    next_epoch(above, class, modulus(record))
}

/// Returns the sets whose majorities a record needs. A replaced set of which a majority is gone
/// for good can hold no lease any more and isn't needed.
pub(crate) fn sets<'a>(
    record: &'a LeaseRecord,
    gone: &BTreeSet<NodeName>,
) -> impl Iterator<Item = SetView<'a>> {
    let current = SetView {
        members: &record.members,
        starts: &record.member_starts,
    };

    let replaced = record
        .replaced
        .as_ref()
        .map(|replaced| SetView {
            members: &replaced.members,
            starts: &replaced.member_starts,
        })
        .filter(|set| set.has_majority(|name| !gone.contains(name)));

    [Some(current), replaced].into_iter().flatten()
}

/// Returns every member of the sets of a record.
pub(crate) fn all_members(record: &LeaseRecord) -> BTreeSet<NodeName> {
    let replaced = record.replaced.iter().flat_map(|set| set.members.iter());

    record.members.iter().chain(replaced).cloned().collect()
}

/// Returns whether a node is a member of a set of the record.
pub(crate) fn is_member(record: &LeaseRecord, name: &NodeName) -> bool {
    let replaced = record.replaced.iter().flat_map(|set| set.members.iter());

    record
        .members
        .iter()
        .chain(replaced)
        .any(|member| member == name)
}

/// Returns whether those of whom `counts` holds are a majority of each set.
pub(crate) fn has_majority(
    record: &LeaseRecord,
    gone: &BTreeSet<NodeName>,
    counts: impl Fn(&NodeName) -> bool,
) -> bool {
    sets(record, gone).all(|set| set.has_majority(&counts))
}

/// Returns the end of the lease that the grants give, counted from the moment of each request.
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

/// Returns the latest moment at or after which a majority of a set was asked.
fn set_end(set: &SetView<'_>, grants: &BTreeMap<NodeName, LocalMoment>) -> Option<LocalMoment> {
    let mut moments: Vec<LocalMoment> = set
        .members
        .iter()
        .filter_map(|name| grants.get(name).copied())
        .collect();

    moments.sort_unstable_by(|left, right| right.cmp(left));

    moments.get(majority(set.members.len()) - 1).copied()
}

/// Returns the count of epoch classes of a record.
fn modulus(record: &LeaseRecord) -> u64 {
    record.deputies.len() as u64 + 1
}
