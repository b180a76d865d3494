//! Startup and shutdown of the daemon.

use crate::{
    admin::{AdminHandler, AdminOptions, status::StatusSources},
    agent::{self, AgentCommand, AgentHandle, AgentOptions},
    control::ControlOutbox,
    directory::{self, DirectoryHandle, DirectoryOptions},
    fleet::{FleetCell, NodeEntry},
    forward::{ForwardOptions, RequestForwarder},
    inbound::InboundHandler,
    ingress::{IngressHandler, IngressOptions},
    latency::LatencyHandle,
    local::LocalHandler,
    ownership::{self, OwnershipHandle, OwnershipOptions, OwnershipView},
};
use compio::{
    net::TcpListener,
    runtime::JoinHandle,
    time::{sleep, timeout},
};
use futures_util::{
    FutureExt,
    future::{Either, select},
};
use std::{
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use thiserror::Error;
use tracing::{info, warn};
use wagtail_assign::AssignOptions;
use wagtail_core::{
    ids::{NodeIdentity, NodeIncarnation},
    ports::PlatformStore,
};
use wagtail_lease::{LeaseMachine, LeaseOptions};
use wagtail_net::{
    server::{self, ConnectionLimits, HttpHandler},
    stop::StopSignal,
};
use wagtail_platform::HttpStore;
use wagtail_settings::DaemonSettings;
use wagtail_telemetry::{TelemetryError, metrics::MetricSink};

/// The largest request head in bytes on the local and the administration listeners.
const LOCAL_HEADER_BYTES: usize = 16 << 10;

/// The time between two checks whether slices are still to be handed over during a shutdown.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `Result` is the result of running a daemon.
pub type Result<T, E = RunError> = std::result::Result<T, E>;

/// `RunError` is the reason why a daemon could not start or was not shut down cleanly.
#[derive(Debug)]
#[derive(Error)]
pub enum RunError {
    /// An address of the settings cannot be listened on.
    #[error("listen.{field}: cannot listen on {address}: {source}")]
    Listen {
        /// The field below `listen` in the settings.
        field: &'static str,
        /// The address that was to be bound.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The metrics sink cannot be created.
    #[error("statsd: {source}")]
    Metrics {
        /// The error of the metrics sink.
        source: TelemetryError,
    },
    /// A second signal arrived before the shutdown was complete.
    #[error("stopped by a second signal with {in_flight} requests in flight")]
    Interrupted {
        /// The number of requests that were cut off.
        in_flight: usize,
    },
    /// Requests were still in flight at the end of the drain time.
    #[error("{in_flight} requests were still in flight after {drain_ms} ms")]
    DrainTimeout {
        /// The number of requests that were cut off.
        in_flight: usize,
        /// The drain time in milliseconds.
        drain_ms: u64,
    },
}

/// `DaemonParts` are the running parts that the shutdown needs.
#[derive(Debug)]
struct DaemonParts {
    agent: AgentHandle,
    agent_done: StopSignal,
    view: OwnershipView,
    local: Rc<LocalHandler>,
    ingress: Rc<IngressHandler>,
    callers_stop: StopSignal,
    callers: JoinHandle<()>,
    peers_stop: StopSignal,
    peers: JoinHandle<()>,
}

/// Runs a daemon until a signal asks it to stop, and then until its requests have completed.
///
/// # Errors
///
/// Fails if an address is not available, if the metrics sink cannot be created, or if the shutdown
/// did not complete within the drain time or before a second signal.
pub async fn run(settings: DaemonSettings) -> Result<()> {
    let drain = Duration::from_millis(settings.shutdown.drain_ms);
    let parts = start(&settings).await?;
    info!(event = "daemon-started", node = %settings.node, zone = %settings.zone);

    wait_for_signal().await;
    info!(
        event = "shutdown-started",
        in_flight = parts.ingress.in_flight()
    );

    let ingress = Rc::clone(&parts.ingress);
    let in_flight = || ingress.in_flight();
    let leaving = pin!(timeout(drain, leave(parts)));
    let interrupted = pin!(wait_for_signal());

    match select(leaving, interrupted).await {
        Either::Left((Ok(()), _)) => {
            info!(event = "shutdown-complete");
            Ok(())
        }
        Either::Left((Err(_elapsed), _)) => Err(RunError::DrainTimeout {
            in_flight: in_flight(),
            drain_ms: settings.shutdown.drain_ms,
        }),
        Either::Right(_) => {
            warn!(event = "shutdown-interrupted", in_flight = in_flight());
            Err(RunError::Interrupted {
                in_flight: in_flight(),
            })
        }
    }
}

/// `DaemonBase` holds the handles and the shared state that the servers are built from.
#[derive(Debug)]
struct DaemonBase {
    identity: NodeIdentity,
    seed: u64,
    /// The client of the platform, for its counters.
    http_store: Rc<HttpStore>,
    /// The same client behind the port that the tasks use.
    store: Rc<dyn PlatformStore>,
    fleet: FleetCell,
    view: OwnershipView,
    latency: LatencyHandle,
    agent: AgentHandle,
    agent_done: StopSignal,
    ownership: OwnershipHandle,
    directory: DirectoryHandle,
}

/// Binds the listeners, spawns the tasks, publishes this node's entry and starts the servers.
async fn start(settings: &DaemonSettings) -> Result<DaemonParts> {
    let listeners = DaemonListeners::bind(settings).await?;
    let base = start_tasks(settings)?;

    let entry = NodeEntry {
        identity: base.identity.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peers: settings.listen.peers,
        service: None,
        fenced: false,
        leaving: false,
    };
    base.directory.publish(entry.clone());

    Ok(start_servers(settings, listeners, base, entry))
}

/// Spawns the tasks that own the target (agent), the leases (ownership) and the fleet's state
/// (directory).
fn start_tasks(settings: &DaemonSettings) -> Result<DaemonBase> {
    let identity = NodeIdentity::new(settings.node.clone(), start_incarnation());
    let seed = identity.incarnation.0;
    let http_store = Rc::new(HttpStore::new(settings.platform));
    let store: Rc<dyn PlatformStore> = Rc::<HttpStore>::clone(&http_store);
    let latency = LatencyHandle::new(Rc::new(metric_sink(settings)?));
    let fleet = FleetCell::default();
    let zone = settings.zone.clone();
    let machine = LeaseMachine::new(identity.clone(), zone, lease_options(settings), seed);
    let view = OwnershipView::new(machine);

    // Both handles are created before the tasks, as each task sends commands to the other.
    let (agent, agent_commands) = agent::task::channel(settings.node.clone());
    let (ownership, ownership_commands) = ownership::channel();
    let agent_done = StopSignal::new();

    let agent_options = AgentOptions {
        node: settings.node.clone(),
        fleet: fleet.clone(),
        leases: Rc::new(view.clone()),
        ownership: ownership.clone(),
        latency: latency.clone(),
        done: agent_done.clone(),
        seed,
    };
    agent::spawn(agent.clone(), agent_commands, agent_options);

    let ownership_options = OwnershipOptions {
        identity: identity.clone(),
        store: Rc::clone(&store),
        fleet: fleet.clone(),
        view: view.clone(),
        agent: agent.clone(),
        outbox: Rc::new(ControlOutbox::new(identity.clone(), fleet.clone())),
        seed,
    };
    ownership::spawn(ownership.clone(), ownership_commands, ownership_options);

    let directory = directory::spawn(DirectoryOptions {
        store: Rc::clone(&store),
        fleet: fleet.clone(),
        ownership: ownership.clone(),
        node: settings.node.clone(),
        seed,
    });

    Ok(DaemonBase {
        identity,
        seed,
        http_store,
        store,
        fleet,
        view,
        latency,
        agent,
        agent_done,
        ownership,
        directory,
    })
}

/// Starts the servers for callers, peers, operators and the target.
fn start_servers(
    settings: &DaemonSettings,
    listeners: DaemonListeners,
    base: DaemonBase,
    entry: NodeEntry,
) -> DaemonParts {
    let callers_stop = StopSignal::new();
    let peers_stop = StopSignal::new();
    let header_bytes = to_usize(settings.limits.max_header_bytes);
    let max_body_bytes = to_usize(settings.limits.max_body_bytes);

    let ingress = Rc::new(IngressHandler::new(IngressOptions {
        node: settings.node.clone(),
        fleet: base.fleet.clone(),
        forwarder: Rc::new(forwarder(settings, &base)),
        max_body_bytes,
        max_requests: to_usize(settings.limits.max_requests),
        stop: callers_stop.clone(),
    }));
    let handler = Rc::<IngressHandler>::clone(&ingress);
    let callers = serve_http(listeners.callers, handler, header_bytes, &callers_stop);

    let inbound = Rc::new(InboundHandler::new(
        base.agent.clone(),
        base.ownership.clone(),
        max_body_bytes,
    ));
    let serve_peers = wagtail_peer::server::serve(listeners.peers, inbound, peers_stop.clone());
    let peers = compio::runtime::spawn(serve_peers);

    let local = Rc::new(LocalHandler::new(
        base.agent.clone(),
        base.directory.clone(),
        entry,
    ));
    let handler = Rc::<LocalHandler>::clone(&local);
    serve_http(listeners.local, handler, LOCAL_HEADER_BYTES, &peers_stop).detach();

    let watched = Rc::<LocalHandler>::clone(&local);
    compio::runtime::spawn(async move { watched.watch().await }).detach();

    let parts = DaemonParts {
        agent: base.agent.clone(),
        agent_done: base.agent_done.clone(),
        view: base.view.clone(),
        local,
        ingress,
        callers_stop,
        callers,
        peers_stop: peers_stop.clone(),
        peers,
    };

    let admin = Rc::new(AdminHandler::new(admin_options(settings, base)));
    serve_http(listeners.admin, admin, LOCAL_HEADER_BYTES, &peers_stop).detach();

    parts
}

/// Creates the forwarder for the requests of callers.
fn forwarder(settings: &DaemonSettings, base: &DaemonBase) -> RequestForwarder {
    RequestForwarder::new(ForwardOptions {
        node: settings.node.clone(),
        fleet: base.fleet.clone(),
        view: base.view.clone(),
        agent: base.agent.clone(),
        ownership: base.ownership.clone(),
        seed: base.seed,
    })
}

/// Returns the options of the administration API.
fn admin_options(settings: &DaemonSettings, base: DaemonBase) -> AdminOptions {
    AdminOptions {
        token: Arc::clone(&settings.admin_token),
        store: base.store,
        fleet: base.fleet.clone(),
        view: base.view.clone(),
        status: StatusSources {
            identity: base.identity,
            zone: settings.zone.clone(),
            fleet: base.fleet,
            view: base.view,
            agent: base.agent,
            latency: base.latency,
            store: base.http_store,
        },
        seed: base.seed,
    }
}

/// Shuts the daemon down step by step: it takes no new work, hands its slices over, empties its
/// queues, and completes first the requests of its callers and then those of its peers.
async fn leave(parts: DaemonParts) {
    parts.local.leave();
    while !parts.view.summary().serving.is_empty() {
        sleep(LEAVE_POLL_INTERVAL).await;
    }

    parts.agent.tell(AgentCommand::Stop);
    parts.agent_done.wait().await;

    parts.callers_stop.trigger();
    // If the server panicked, no request is in flight any more.
    drop(parts.callers.await);

    parts.peers_stop.trigger();
    drop(parts.peers.await);
}

/// `DaemonListeners` holds the sockets that the daemon listens on.
#[derive(Debug)]
struct DaemonListeners {
    callers: TcpListener,
    peers: TcpListener,
    local: TcpListener,
    admin: TcpListener,
}

impl DaemonListeners {
    /// Binds all addresses, before any task starts.
    async fn bind(settings: &DaemonSettings) -> Result<Self> {
        Ok(Self {
            callers: bind("callers", settings.listen.callers).await?,
            peers: bind("peers", settings.listen.peers).await?,
            local: bind("local", settings.listen.local).await?,
            admin: bind("admin", settings.listen.admin).await?,
        })
    }
}

/// Binds the address of one field of the settings.
async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| RunError::Listen {
            field,
            address,
            source,
        })
}

/// Spawns an HTTP server with a limit on the size of request heads.
fn serve_http(
    listener: TcpListener,
    handler: Rc<dyn HttpHandler>,
    header_bytes: usize,
    stop: &StopSignal,
) -> JoinHandle<()> {
    let limits = Rc::new(ConnectionLimits::new(header_bytes));

    compio::runtime::spawn(server::serve(listener, handler, limits, stop.clone()))
}

/// Waits for SIGTERM or for an interrupt (SIGINT) from the terminal.
async fn wait_for_signal() {
    let terminate = pin!(compio::signal::unix::signal(SIGTERM).fuse());
    let interrupt = pin!(compio::signal::ctrl_c().fuse());

    // The results are ignored: a signal handler that cannot be installed ends the wait at once.
    drop(select(terminate, interrupt).await);
}

/// The number of the signal that asks a process to terminate.
const SIGTERM: i32 = 15;

/// Returns the incarnation of this start: the Unix time in milliseconds, which is higher at each
/// start on a VM.
fn start_incarnation() -> NodeIncarnation {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();

    NodeIncarnation(u64::try_from(unix.as_millis()).unwrap_or(0))
}

/// Creates the sink of the metrics, which sends to statsd if the settings name an address.
fn metric_sink(settings: &DaemonSettings) -> Result<MetricSink> {
    match settings.statsd {
        Some(address) => MetricSink::with_statsd(address, &settings.node)
            .map_err(|source| RunError::Metrics { source }),
        None => Ok(MetricSink::new(&settings.node)),
    }
}

/// Returns the options of the lease machine by the settings.
fn lease_options(settings: &DaemonSettings) -> LeaseOptions {
    LeaseOptions {
        term: Duration::from_millis(settings.lease.term_ms),
        renew_interval: Duration::from_millis(settings.lease.renew_ms),
        suspicion: Duration::from_millis(settings.lease.suspicion_ms),
        deputy_step: Duration::from_millis(settings.lease.stagger_ms),
        // A draining node moves as many slices at a time as its assignment machine starts.
        moves_in_flight: AssignOptions::default().max_drain_moves,
        ..LeaseOptions::default()
    }
}

/// Converts a size of the checked settings, which fits on every supported platform.
fn to_usize(size: u64) -> usize {
    usize::try_from(size).unwrap_or(usize::MAX)
}
