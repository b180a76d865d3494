//! A stand-in for the callers: sends requests and checks the responses.
//!
//! Every attempt has its own identifier, so that the execution logs of the targets show whether an
//! attempt ran that was refused as not run, even when a later attempt ran.
//!
//! - [`plan`]: the requests planned from a seed.
//! - [`record`]: the attempts of each request and their outcomes.
//! - [`validate`]: the validation of one response.
//! - [`logs`]: reads the execution logs of targets.
//! - [`audit`]: the audit that compares the records with the logs.
//! - [`unserved`]: the longest time that a slice was not served.
//! - [`report`]: the summary of a run.
//! - [`sender`]: the callers and their connections to the nodes.
//! - [`cli`]: the command line.

pub mod audit;
pub mod cli;
pub mod logs;
pub mod plan;
pub mod record;
pub mod report;
pub mod sender;
pub mod unserved;
pub mod validate;
