//! The command-line tool with which operators plan, confirm and show the configuration of
//! wagtailpulley.
//!
//! - [`args`]: the definition and the parsing of the command line.
//! - [`input`]: reads and validates intent files.
//! - [`client`]: calls the administration API of a node.
//! - [`commands`]: runs each command and prints its output.
//! - [`logs`]: sums up the log lines of nodes.
//! - [`render`]: formats plans and reports as text for people.
//! - [`table`]: tables with aligned columns.
//! - [`errors`]: the errors of commands, their exit codes and messages.

pub mod args;
pub mod client;
pub mod commands;
pub mod errors;
pub mod input;
pub mod logs;
pub mod render;
pub mod table;

pub use args::{CommandLine, OutputFormat, ToolCommand};
pub use errors::{ExitStatus, Result, ToolError};
