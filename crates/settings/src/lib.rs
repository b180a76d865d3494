//! The validated settings of the daemon.
//!
//! [`DaemonSettings::from_yaml`] validates the entire file before it returns, so that one run lists
//! every fault with its path, the accepted range and the unit.
//!
//! - [`model`]: the types of the settings.
//! - [`limits`]: the accepted ranges and defaults of numeric settings.
//! - [`faults`]: the errors of a settings file.
//! - [`section`]: the reader of one YAML mapping of the file.
//! - [`parse`]: the reader of a settings file with all its sections.

pub mod faults;
pub mod limits;
pub mod model;
mod parse;
mod section;

pub use faults::{FaultKind, Result, SettingFault, SettingsError};
pub use model::{DaemonSettings, LeaseSettings, LimitSettings, ListenSettings, ShutdownSettings};
