//! What the command line sets.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

/// `TargetOptions` is what the command line sets.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// The address to listen on, which is announced.
    pub listen: SocketAddr,
    /// The `local` address of the daemon beside the target.
    pub daemon: Option<SocketAddr>,
    /// The name of the service.
    pub service: Arc<str>,
    /// The orders that run at a time.
    pub slots: u32,
    /// The orders that wait for a slot.
    pub queue: usize,
    /// Whether an order of a keyed service needs a grant.
    pub fenced: bool,
    /// The time in milliseconds until a cold start is over.
    pub cold_ms: u64,
    /// The longest wait in milliseconds for running orders at a shutdown.
    pub drain_ms: u64,
    /// The file to which the execution log is appended.
    pub log: Option<PathBuf>,
    /// The seed of the faults that strike by chance.
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
