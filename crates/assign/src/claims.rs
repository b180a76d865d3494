//! The claims of slices that have no owner.

use crate::{
    options::AssignOptions,
    placement::{PlacementTarget, ranks_within},
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

        let step = options.claim_step.as_micros().max(1);
        let due = |(&slice, &since): (&u32, &LocalMoment)| {
            let waited = now.since(since).as_micros() / step;
            let places = usize::try_from(waited + 1).unwrap_or(usize::MAX);
            let slice_id = SliceId::new(service.clone(), slice);

            ranks_within(&slice_id, node, targets, places).then_some(slice)
        };

        self.unowned.iter().filter_map(due).collect()
    }
}
