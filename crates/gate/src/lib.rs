//! Admission control for one target: which requests run, wait in the queue or are refused.
//!
//! The node of a target is the target's only caller, so its count of occupied slots is exact.
//! A request that cannot complete in time is refused on arrival.
//!
//! A call is a request that running work sends to a service; if it fails, the work that sent it is
//! wasted, so calls have precedence. All other requests are new work.
//!
//! - [`admission`]: the request queue and the slots.
//! - [`arrival`]: the requests that ask for a slot, and what is decided on them.
//! - [`capacity`]: how many requests the target handles well at a time.
//! - [`crash_report`]: what one node reports of the crashes of its target.
//! - [`estimate`]: how long requests occupy a slot.
//! - [`lag`]: which requests are refused because the process gets its turns late.
//! - [`limit`]: the limit that a target names on the rate of its requests.
//! - [`link`]: the network link of the VM as a resource.
//! - [`memory`]: the memory for bodies as a resource.
//! - [`origins`]: which requests are calls from running work.
//! - [`process_end`]: whether the process of the target has ended.
//! - [`quarantine`]: which requests are refused because targets crash when they run them.
//! - [`response`]: what a response of the target says about its request.
//! - [`runs`]: which requests may have run when the target ended.
//! - [`shutdown`]: which requests still end before a process that is shutting down.
//! - [`sizes`]: the expected sizes of responses.
//! - [`slots`]: the slots, the pace and the service times of the target.
//! - [`target_limits`]: the limits on the rate of requests to one target.
//! - [`waits`]: how long callers waited on earlier, refused attempts.
//! - [`warmup`]: whether a target is cold.

pub mod admission;
pub mod arrival;
pub mod capacity;
pub mod crash_report;
pub mod estimate;
pub mod lag;
pub mod limit;
pub mod link;
pub mod memory;
pub mod origins;
pub mod process_end;
pub mod quarantine;
pub mod response;
pub mod runs;
pub mod shutdown;
pub mod sizes;
pub mod slots;
pub mod target_limits;
pub mod waits;
pub mod warmup;

pub use admission::{AdmissionGate, GateOptions};
pub use arrival::{GateAction, GateArrival, GateRefusal};
