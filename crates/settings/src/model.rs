//! The settings of the daemon.

use crate::{faults::Result, parse};
use std::{fmt, net::SocketAddr, sync::Arc};
use wagtail_core::ids::{NodeName, ZoneName};

/// `DaemonSettings` is all that a daemon learns from its settings file.
#[derive(Clone, PartialEq, Eq)]
pub struct DaemonSettings {
    /// The name of the VM.
    pub node: NodeName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The region of the VM; absent where there is only one.
    pub region: Option<ZoneName>,
    /// The addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// The bearer token of the administration API.
    pub admin_token: Arc<str>,
    /// Whether the administration API may listen beyond the loopback interface.
    pub admin_remote: bool,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The address of the statsd server; absent when no metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// The filter of the logs, in the syntax of `tracing`.
    pub log: Arc<str>,
    /// The limits on requests.
    pub limits: LimitSettings,
    /// The timing of leases.
    pub lease: LeaseSettings,
    /// The timing of a graceful shutdown.
    pub shutdown: ShutdownSettings,
}

impl DaemonSettings {
    /// Reads the settings from a YAML text and checks them whole.
    ///
    /// # Errors
    ///
    /// Returns [`Syntax`](crate::SettingsError::Syntax) when the text is not YAML, and
    /// [`Invalid`](crate::SettingsError::Invalid) with every fault otherwise.
    pub fn from_yaml(text: &str) -> Result<Self> {
        parse::read_settings(text)
    }
}

impl fmt::Debug for DaemonSettings {
    /// Writes the settings without the token, since they may be logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DaemonSettings")
            .field("node", &self.node)
            .field("zone", &self.zone)
            .field("region", &self.region)
            .field("listen", &self.listen)
            .field("admin_token", &"(hidden)")
            .field("admin_remote", &self.admin_remote)
            .field("platform", &self.platform)
            .field("statsd", &self.statsd)
            .field("log", &self.log)
            .field("limits", &self.limits)
            .field("lease", &self.lease)
            .field("shutdown", &self.shutdown)
            .finish()
    }
}

/// `ListenSettings` is the addresses that the daemon listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the other daemons; they are told it, so it names an interface.
    pub peers: SocketAddr,
    /// The address of the administration API.
    pub admin: SocketAddr,
    /// The address for the target beside the daemon.
    pub local: SocketAddr,
}

/// `LimitSettings` is the limits on requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// The largest body of a request in bytes.
    pub max_body_bytes: u64,
    /// The largest head of a request in bytes.
    pub max_header_bytes: u64,
    /// The requests that the daemon holds at a time.
    pub max_requests: u64,
}

/// `LeaseSettings` is the timing of leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// The length of a grant in milliseconds.
    pub term_ms: u64,
    /// The time between two renewals in milliseconds.
    pub renew_ms: u64,
    /// The silence in milliseconds after which an owner is suspected.
    pub suspicion_ms: u64,
    /// The further wait in milliseconds for each place in the order of deputies.
    pub stagger_ms: u64,
}

/// `ShutdownSettings` is the timing of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// The longest wait in milliseconds for requests in flight.
    pub drain_ms: u64,
}
