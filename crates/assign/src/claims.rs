//! Claims of slices that have no owner.

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

/// `ClaimSchedule` records since when slices are unowned and decides when this node claims them.
///
/// The target that ranks first for a slice claims it at once, and each further target one step
/// later. So a slice does not stay unowned when the loss of its first target goes unnoticed, and
/// targets that know the same members do not claim it at the same time.
#[derive(Debug, Clone)]
pub struct ClaimSchedule {
    started_at: LocalMoment,
    unowned_since: BTreeMap<u32, LocalMoment>,
}

impl ClaimSchedule {
    /// Creates the schedule of a node that starts now.
    pub fn new(started_at: LocalMoment) -> Self {
        Self {
            started_at,
            unowned_since: BTreeMap::new(),
        }
    }

    /// Returns those of the unowned `slices` that `node` is to claim now; none until the claim
    /// delay after the start is over.
    pub fn choose(
        &mut self,
        now: LocalMoment,
        node: &NodeName,
        service: &ServiceName,
        slices: &[u32],
        targets: &[PlacementTarget],
        options: &AssignOptions,
    ) -> Vec<u32> {
        self.unowned_since.retain(|slice, _| slices.contains(slice));
        for slice in slices {
            self.unowned_since.entry(*slice).or_insert(now);
        }

        if now.since(self.started_at) < options.claim_delay {
            return Vec::new();
        }

        let step = options.claim_step.as_micros().max(1);
        let due = |(&slice, &since): (&u32, &LocalMoment)| {
            let waited = now.since(since).as_micros() / step;
            let ranks = usize::try_from(waited + 1).unwrap_or(usize::MAX);
            let slice_id = SliceId::new(service.clone(), slice);

            ranks_within(&slice_id, node, targets, ranks).then_some(slice)
        };

        self.unowned_since.iter().filter_map(due).collect()
    }
}
