//! The claims of slices that have no owner.

use crate::{
    options::AssignOptions,
    placement::{PlacementTarget, rank_targets},
};
use std::collections::BTreeMap;
use wagtail_core::{
    ids::{NodeName, ServiceName},
    slice::SliceId,
    units::LocalMoment,
};

/// `ClaimBook` remembers since when slices are unowned.
///
/// The first target in rank claims at once, each next one a step later. So a first target that
/// is lost without being noticed does not leave the slice unowned, and targets with the same view
/// do not race.
#[derive(Debug, Clone)]
pub struct ClaimBook {
    started: LocalMoment,
    unowned: BTreeMap<u32, LocalMoment>,
}

impl ClaimBook {
    /// Makes the book of a node that starts now.
    pub fn new(started: LocalMoment) -> Self {
        Self {
            started,
            unowned: BTreeMap::new(),
        }
    }

    /// Returns the slices that a node is to claim now, of those that are unowned.
    pub fn choose(
        &mut self,
        now: LocalMoment,
        node: &NodeName,
        service: &ServiceName,
        slices: &[u32],
        targets: &[PlacementTarget],
        options: &AssignOptions,
    ) -> Vec<u32> {
        self.unowned.retain(|slice, _| slices.contains(slice));
        for slice in slices {
            self.unowned.entry(*slice).or_insert(now);
        }

        if now.since(self.started) < options.claim_delay {
            return Vec::new();
        }

        let ranked = |slice: u32| rank_targets(&SliceId::new(service.clone(), slice), targets);
        let due = |(&slice, &since): (&u32, &LocalMoment)| {
            let rank = ranked(slice).iter().position(|target| target == node)?;
            let wait = options.claim_step * u32::try_from(rank).unwrap_or(u32::MAX);

            (now.since(since) >= wait).then_some(slice)
        };

        self.unowned.iter().filter_map(due).collect()
    }
}
