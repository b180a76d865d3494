//! The command-line tool of wagtailpulley.
//!
//! - [`args`]: the command line.
//! - [`input`]: the intent file.
//! - [`client`]: the administration API.
//! - [`commands`]: what each command does.
//! - [`render`]: answers as text for people.
//! - [`table`]: aligned columns.
//! - [`errors`]: why a command fails, and the exit code.

pub mod args;
pub mod client;
pub mod commands;
pub mod errors;
pub mod input;
pub mod render;
pub mod table;

pub use args::{CommandLine, OutputFormat, ToolCommand};
pub use errors::{ExitStatus, Result, ToolError};
