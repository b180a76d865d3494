//! The checked settings of the daemon.
//!
//! [`DaemonSettings::from_yaml`] reads the whole file before it answers, so that one run lists
//! every fault with its path, its accepted range and its unit.
//!
//! - [`model`]: the settings themselves.
//! - [`limits`]: the accepted ranges and the defaults of the numbers.
//! - [`faults`]: what can be wrong with a file.
//! - [`section`]: the reader of one mapping of the file.
//! - [`parse`]: the reader of the whole file.

pub mod faults;
pub mod limits;
pub mod model;
mod parse;
mod section;

pub use faults::{FaultKind, Result, SettingFault, SettingsError};
pub use model::{DaemonSettings, LeaseSettings, LimitSettings, ListenSettings, ShutdownSettings};
