//! The HTTP client of the target beside a daemon.
