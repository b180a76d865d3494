//! The checked settings of the daemon.
