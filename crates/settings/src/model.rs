//! The types of the daemon's settings.

use crate::{faults::Result, parse};
use std::{fmt, net::SocketAddr, sync::Arc};
use wagtail_core::ids::{NodeName, ZoneName};

/// `DaemonSettings` holds the validated content of a daemon's settings file.
#[derive(Clone, PartialEq, Eq)]
pub struct DaemonSettings {
    /// The name of this node, the VM of the daemon.
    pub node: NodeName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The region of the VM, or `None` in a deployment with a single region.
    pub region: Option<ZoneName>,
    /// The addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// The bearer token of the administration API.
    pub admin_token: Arc<str>,
    /// Whether the administration API may listen beyond the loopback interface.
    pub admin_remote: bool,
    /// The address of the platform's object API.
    pub platform: SocketAddr,
    /// The address of the statsd server, or `None` to send no metrics.
    pub statsd: Option<SocketAddr>,
    /// The log filter, in the syntax of `tracing_subscriber::EnvFilter`.
    pub log: Arc<str>,
    /// The limits on requests.
    pub limits: LimitSettings,
    /// The timing of slice leases.
    pub lease: LeaseSettings,
    /// The timing of a graceful shutdown.
    pub shutdown: ShutdownSettings,
}

impl DaemonSettings {
    /// Parses settings from YAML and validates all of them before it returns.
    ///
    /// # Errors
    ///
    /// Returns [`Syntax`](crate::SettingsError::Syntax) if the text is not valid YAML, and
    /// [`Invalid`](crate::SettingsError::Invalid) with all faults if any field is invalid.
    pub fn from_yaml(text: &str) -> Result<Self> {
        parse::read_settings(text)
    }
}

impl fmt::Debug for DaemonSettings {
    /// Formats the settings without the administration token, because they may be logged.
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

/// `ListenSettings` holds the addresses that the daemon listens on, which are all different.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// The address for requests of callers.
    pub callers: SocketAddr,
    /// The address for other daemons. It is announced to them, so it is never a wildcard address.
    pub peers: SocketAddr,
    /// The address of the administration API, on the loopback interface unless
    /// [`admin_remote`](DaemonSettings::admin_remote) is set.
    pub admin: SocketAddr,
    /// The address for the target on the same VM.
    pub local: SocketAddr,
}

/// `LimitSettings` holds the limits on requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// The largest accepted request body in bytes.
    pub max_body_bytes: u64,
    /// The largest accepted request head in bytes.
    pub max_header_bytes: u64,
    /// The maximum number of requests in flight in the daemon.
    pub max_requests: u64,
}

/// `LeaseSettings` holds the timing of slice leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// The term of a lease grant in milliseconds.
    pub term_ms: u64,
    /// The interval between lease renewals in milliseconds.
    pub renew_ms: u64,
    /// The silence in milliseconds after which an owner is suspected to have failed.
    pub suspicion_ms: u64,
    /// The wait in milliseconds before the next deputy is called to take over from a suspected
    /// owner.
    pub stagger_ms: u64,
}

/// `ShutdownSettings` holds the timing of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// The longest wait in milliseconds for requests in flight.
    pub drain_ms: u64,
}
