//! The options of the target.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

/// `TargetOptions` holds the options from the command line.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// The address to listen on, which is announced.
    pub listen: SocketAddr,
    /// The `local` address of the daemon of the target.
    pub daemon: Option<SocketAddr>,
    /// The name of the service.
    pub service: Arc<str>,
    /// The number of requests that run concurrently.
    pub slots: u32,
    /// The maximum number of requests that wait for a slot.
    pub queue: usize,
    /// Whether a request with a key needs a grant.
    pub fenced: bool,
    /// The duration of a cold start in milliseconds.
    pub cold_ms: u64,
    /// The longest wait in milliseconds for requests in flight at shutdown.
    pub drain_ms: u64,
    /// The file to which the execution log is appended.
    pub log: Option<PathBuf>,
    /// The seed of the random faults.
    pub seed: u64,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            daemon: None,
            service: Arc::from("default"),
            slots: 6,
            queue: 120,
            fenced: false,
            cold_ms: 0,
            drain_ms: 30_000,
            log: None,
            seed: 1,
        }
    }
}
