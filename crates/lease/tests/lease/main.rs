//! Tests of the real machines over a small network, platform and target in virtual time.

mod course;
mod differential;
mod driver;
mod faults;
mod limits;
mod storms;
