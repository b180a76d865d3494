//! Random faults in virtual time.

use crate::driver::{
    SECOND,
    storm::{run_storm, storm_options},
};

#[test]
fn storms_leave_one_owner_and_a_record() {
    for seed in 0..12 {
        let result = run_storm(storm_options(seed), 30 * SECOND);

        assert!(
            result.has_passed(),
            "seed {seed}: {:?} {:?}",
            result.world.violations,
            result.unsettled
        );
    }
}
