//! A stand-in for the callers: sends requests and checks the answers.
//!
//! Every attempt has an identifier of its own, so that an attempt that was refused as not run can
//! be looked for in the execution logs of the targets, also when a later attempt ran.
//!
//! - [`plan`]: the seeded requests.
//! - [`record`]: what became of each request.
//! - [`judge`]: what one answer says, and whether it is the request's own and whole.
//! - [`logs`]: the reader of execution logs.
//! - [`audit`]: the comparison of the records with the logs.
//! - [`unserved`]: the longest time that a slice was not served.
//! - [`report`]: the counts and the last lines.
//! - [`sender`]: the callers with their connections.
//! - [`cli`]: the command line.

pub mod audit;
pub mod cli;
pub mod judge;
pub mod logs;
pub mod plan;
pub mod record;
pub mod report;
pub mod sender;
pub mod unserved;
