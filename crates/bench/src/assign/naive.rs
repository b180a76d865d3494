//! Naive assignments for comparison: by the remainder of the slice index, or a full rebalance by
//! load.

use crate::assign::fleet::Fleet;

/// Assigns each slice to the target at its index modulo the number of targets.
pub fn assign_by_remainder(fleet: &mut Fleet) {
    let eligible = fleet.eligible_targets();

    for slice in 0..fleet.slices() {
        fleet.reassign(slice, eligible[slice % eligible.len()]);
    }
}

/// Reassigns all slices, the most loaded ones first, each to the least loaded target.
pub fn assign_by_load(fleet: &mut Fleet) {
    let eligible = fleet.eligible_targets();
    let mut loads = vec![0.0; eligible.len()];
    let mut slices: Vec<(f64, usize)> = (0..fleet.slices())
        .map(|slice| (fleet.demand.rate(slice), slice))
        .collect();
    slices.sort_by(|left, right| right.0.total_cmp(&left.0));

    for (rate, slice) in slices {
        let least = loads
            .iter()
            .enumerate()
            .min_by(|left, right| f64::total_cmp(left.1, right.1));
        let index = least.map_or(0, |(index, _)| index);

        loads[index] += rate;
        fleet.reassign(slice, eligible[index]);
    }
}
