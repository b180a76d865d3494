//! Tests of admission control.

mod calls;
mod cold;
mod lag;
mod limits;
mod link;
mod memory;
mod process_end;
mod quarantine;
mod quarantine_repeats;
mod quarantine_storm;
mod responses;
mod runs;
mod shutdown;
mod slots;
mod uploads;
