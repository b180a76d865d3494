//! Random faults in virtual time: no slice ever has two owners, and once the faults end each slice
//! is served by its recorded owner.

use crate::driver::{
    SECOND,
    storm::{run_storm, storm_options},
};

#[test]
fn random_faults_leave_one_owner_and_a_record() {
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
