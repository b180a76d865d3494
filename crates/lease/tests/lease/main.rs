//! Tests of the lease machines on a simulated network, platform and targets in virtual time.

mod broken_variants;
mod differential;
mod driver;
mod limits;
mod random_faults;
mod scenarios;
