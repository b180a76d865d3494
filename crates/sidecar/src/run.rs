//! Starts a node, runs it and shuts it down.

use crate::{
    directory::{self, DirectoryOptions},
    evacuations::EvacuationOptions,
    forward::RequestForwarder,
    front::{CallerLimitSource, FrontHandler},
    front_state::{FrontState, ReadinessHandler},
    heartbeats::HeartbeatHandler,
    inbound::InboundHandler,
    links::NodeLinks,
    messages::PeerRequest,
    metrics::{DroppedLines, MetricsHandler},
    outcomes::RequestRecorder,
    planning::{PlannerActivity, PlannerTask},
    ports::WireDialect,
    proxy::TargetProxy,
    record::{RecordPublisher, spawn_publication},
    record_restore::RecordRestorer,
    relay::StoreRelay,
    settings::SidecarSettings,
    tables::TableReader,
    view::FleetView,
    watching::WatchRelay,
};
use bytes::Bytes;
use compio::{
    net::TcpListener,
    runtime::JoinHandle,
    time::{sleep, timeout},
};
use std::{io, net::SocketAddr, pin::pin, rc::Rc, sync::Arc, time::Duration};
use thiserror::Error;
use tracing::{info, warn};
use wagtail_core::{objects::ObjectStore, service::WorkClass};
use wagtail_gate::shutdown::{ShutdownOptions, ShutdownPlan};
use wagtail_net::{
    clock,
    pipeline::{PipelineCounts, spawn_server},
    server::{self, ConnectionLimits, HttpHandler},
    stop::StopSignal,
    stop_request::handle_stop_signal,
};
use wagtail_route::announce::announced_nodes;
use wagtail_shard::keeper::KeeperOptions;

/// The maximum head size of a request from the target, the platform or a collector, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The interval between two checks whether the target still has requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time for which a grant is valid beyond the heartbeats that may be lost.
const HOLD_BASE: Duration = Duration::from_millis(1_200);

/// The number of heartbeats in a row that may be lost before a grant ends.
const MAX_LOST_HEARTBEATS: u32 = 2;

/// The interval between two checks whether the other nodes are known, so that the start can be
/// announced to them.
const HELLO_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// `Result` is the result of starting and running a node.
pub type Result<T, E = RunError> = std::result::Result<T, E>;

/// `RunError` is the error of a node that could not start.
#[derive(Debug)]
#[derive(Error)]
pub enum RunError {
    /// The node could not listen on an address.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// The clients that the address is for.
        purpose: &'static str,
        /// The address that could not be bound.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// `NodeServers` holds the servers that the shutdown stops, with their signals.
#[derive(Debug)]
struct NodeServers {
    callers: JoinHandle<()>,
    callers_stop: StopSignal,
    peers: JoinHandle<()>,
    peers_stop: StopSignal,
}

/// Runs a node until the process gets SIGTERM, and then until its requests in flight have ended or
/// the grace period is almost over.
///
/// # Errors
///
/// Fails when the node cannot listen on one of its addresses, except that for metrics.
pub async fn run(
    settings: SidecarSettings,
    dialect: Rc<dyn WireDialect>,
    store: Rc<dyn ObjectStore>,
    lines: Rc<dyn DroppedLines>,
    seed: u64,
) -> Result<()> {
    let stop_requested = handle_stop_signal();
    let settings = Rc::new(settings);
    let context = NodeContext::new(Rc::clone(&settings), dialect, store, seed);
    let servers = start(&context).await?;
    serve_metrics(&context, lines).await;
    info!(
        event = "node-started", node = %settings.node, zone = %settings.zone,
        service = %settings.service, target = %settings.target
    );

    stop_requested.wait().await;
    stop(&context, servers).await;

    Ok(())
}

/// `NodeListeners` holds the sockets that the node listens on.
#[derive(Debug)]
struct NodeListeners {
    callers: TcpListener,
    peers: TcpListener,
    local: TcpListener,
    readiness: TcpListener,
}

impl NodeListeners {
    /// Binds all addresses, before any task or server starts.
    async fn bind(settings: &SidecarSettings) -> Result<Self> {
        Ok(Self {
            callers: bind("callers", settings.callers).await?,
            peers: bind("peers", settings.peers).await?,
            local: bind("heartbeats", settings.local).await?,
            readiness: bind("readiness", settings.readiness).await?,
        })
    }
}

/// `NodeContext` holds what the tasks and servers of the node share.
#[derive(Debug)]
struct NodeContext {
    settings: Rc<SidecarSettings>,
    dialect: Rc<dyn WireDialect>,
    store: Rc<dyn ObjectStore>,
    view: FleetView,
    links: NodeLinks,
    relay: StoreRelay,
    proxy: TargetProxy,
    forwarder: Rc<RequestForwarder>,
    recorder: Rc<RequestRecorder>,
    planners: PlannerActivity,
    watching: WatchRelay,
    tables: TableReader,
    front: FrontState,
    pipeline: PipelineCounts,
    seed: u64,
}

impl NodeContext {
    /// Creates the shared components without starting anything.
    fn new(
        settings: Rc<SidecarSettings>,
        dialect: Rc<dyn WireDialect>,
        store: Rc<dyn ObjectStore>,
        seed: u64,
    ) -> Self {
        let view = FleetView::default();
        let watching = WatchRelay::new(view.clone());
        let links = NodeLinks::new(view.clone(), settings.memory);
        let relay = StoreRelay::new(
            Arc::clone(&settings.node),
            Rc::clone(&store),
            links.clone(),
            view.clone(),
        );
        let tables = TableReader::new(
            Rc::clone(&settings),
            view.clone(),
            links.clone(),
            relay.clone(),
        );
        let recorder = Rc::new(RequestRecorder::default());
        let proxy = TargetProxy::new(
            Rc::clone(&settings),
            Rc::clone(&dialect),
            view.clone(),
            Rc::clone(&recorder),
            keeper_options(&settings),
        )
        .with_meter(links.sent_meter().clone());
        let front = FrontState::default();
        let forwarder = RequestForwarder::new(
            Rc::clone(&settings),
            view.clone(),
            links.clone(),
            proxy.clone(),
            seed,
        )
        .with_front(front.clone());

        Self {
            settings,
            dialect,
            store,
            view,
            links,
            relay,
            proxy,
            forwarder: Rc::new(forwarder),
            recorder,
            planners: PlannerActivity::default(),
            watching,
            tables,
            front,
            pipeline: PipelineCounts::default(),
            seed,
        }
    }

    /// Spawns the tasks that need no listener.
    fn spawn_tasks(&self) {
        let front = self.front.clone();
        compio::runtime::spawn(async move { front.watch_lag().await }).detach();
        directory::spawn(&DirectoryOptions {
            node: Arc::clone(&self.settings.node),
            zone: Arc::clone(&self.settings.zone),
            store: Rc::clone(&self.store),
            dialect: Rc::clone(&self.dialect),
            view: self.view.clone(),
            links: self.links.clone(),
            watching: self.watching.clone(),
            evacuations: self.settings.evacuation.map(EvacuationOptions::with_limit),
            seed: self.seed,
        });

        let planner = PlannerTask::new(
            Rc::clone(&self.settings),
            self.view.clone(),
            self.links.clone(),
            self.relay.clone(),
            self.proxy.clone(),
            self.planners.clone(),
        );
        let lapse = keeper_options(&self.settings).revocation_lapse();
        compio::runtime::spawn(async move { planner.run(lapse).await }).detach();

        spawn_hello(&self.settings, &self.view, &self.links, self.seed);
    }

    /// Creates the handler of the target's heartbeats, and spawns the tasks that publish the node's
    /// record and watch for a silent or departed target.
    fn spawn_heartbeat_handler(&self) -> Rc<HeartbeatHandler> {
        let record = RecordPublisher::spawn(
            &self.settings,
            self.view.clone(),
            self.relay.clone(),
            Rc::clone(&self.store),
        );
        spawn_publication(&self.settings, &self.proxy, &record, self.view.clone());
        let restorer = RecordRestorer::new(
            Arc::clone(&self.settings.node),
            self.view.clone(),
            self.relay.clone(),
        );
        compio::runtime::spawn(restorer.run()).detach();
        let heartbeats = Rc::new(HeartbeatHandler::new(
            Rc::clone(&self.settings),
            Rc::clone(&self.dialect),
            self.view.clone(),
            self.relay.clone(),
            self.tables.clone(),
            self.proxy.clone(),
            record,
        ));
        let watched = Rc::clone(&heartbeats);
        compio::runtime::spawn(async move { watched.watch_target().await }).detach();
        let watched = Rc::clone(&heartbeats);
        compio::runtime::spawn(async move { watched.watch_departures().await }).detach();
        let watched = Rc::clone(&heartbeats);
        compio::runtime::spawn(async move { watched.watch_stated_leave().await }).detach();

        heartbeats
    }

    /// Creates the handler of callers' requests.
    fn front_handler(&self) -> Rc<FrontHandler> {
        Rc::new(FrontHandler::new(
            Rc::clone(&self.settings),
            Rc::clone(&self.dialect),
            self.view.clone(),
            Rc::clone(&self.forwarder),
            self.proxy.clone(),
            Rc::clone(&self.recorder),
            self.front.clone(),
        ))
    }

    /// Creates the handler of requests from the other nodes.
    fn inbound_handler(&self) -> Rc<InboundHandler> {
        Rc::new(InboundHandler::new(
            self.proxy.clone(),
            self.view.clone(),
            self.relay.clone(),
            Rc::clone(&self.forwarder),
            self.planners.clone(),
            self.watching.clone(),
            self.tables.clone(),
        ))
    }
}

/// Returns the time limits of grants.
fn keeper_options(settings: &SidecarSettings) -> KeeperOptions {
    let hold = HOLD_BASE + settings.heartbeat * MAX_LOST_HEARTBEATS;

    KeeperOptions {
        hold: hold.min(settings.max_hold),
        ..KeeperOptions::default()
    }
}

/// Binds the listeners and starts all tasks and servers but that for metrics.
async fn start(context: &NodeContext) -> Result<NodeServers> {
    let listeners = NodeListeners::bind(&context.settings).await?;
    context.spawn_tasks();

    let (callers_stop, peers_stop) = (StopSignal::new(), StopSignal::new());
    let callers = spawn_server(
        listeners.callers,
        context.front_handler(),
        Rc::new(CallerLimitSource::new(
            context.view.clone(),
            &context.settings,
        )),
        (context.settings.pipelining).then(|| context.pipeline.clone()),
        callers_stop.clone(),
    );
    let peers = compio::runtime::spawn(wagtail_peer::server::serve(
        listeners.peers,
        context.inbound_handler(),
        peers_stop.clone(),
    ));

    let readiness = Rc::new(ReadinessHandler::new(
        context.view.clone(),
        context.front.clone(),
    ));
    for (listener, handler) in [
        (
            listeners.local,
            context.spawn_heartbeat_handler() as Rc<dyn HttpHandler>,
        ),
        (listeners.readiness, readiness),
    ] {
        let limits = Rc::new(ConnectionLimits::new(MAX_HEAD_BYTES));
        let served = server::serve(listener, handler, limits, peers_stop.clone());
        compio::runtime::spawn(served).detach();
    }

    Ok(NodeServers {
        callers,
        callers_stop,
        peers,
        peers_stop,
    })
}

/// Starts the server for metrics if it has an address. A failure is only logged, as a node without
/// metrics can still serve its callers.
async fn serve_metrics(context: &NodeContext, lines: Rc<dyn DroppedLines>) {
    let Some(address) = context.settings.metrics else {
        return;
    };

    match TcpListener::bind(address).await {
        Ok(listener) => {
            let handler = MetricsHandler::new(
                Rc::clone(&context.recorder),
                context.view.clone(),
                context.proxy.clone(),
                context.relay.clone(),
                context.pipeline.clone(),
                lines,
            );
            let limits = Rc::new(ConnectionLimits::new(MAX_HEAD_BYTES));
            let served = server::serve(listener, Rc::new(handler), limits, StopSignal::new());
            compio::runtime::spawn(served).detach();
        }
        Err(error) => warn!(event = "metrics-not-served", address = %address, reason = %error),
    }
}

/// Spawns the task that announces to other nodes that this one is reachable, as soon as they are
/// known.
fn spawn_hello(settings: &Rc<SidecarSettings>, view: &FleetView, links: &NodeLinks, seed: u64) {
    let (settings, view, links) = (Rc::clone(settings), view.clone(), links.clone());

    compio::runtime::spawn(async move {
        while view.nodes().is_empty() {
            sleep(HELLO_POLL_INTERVAL).await;
        }
        let fleet: Vec<Arc<str>> = view
            .nodes()
            .iter()
            .map(|record| Arc::clone(&record.node))
            .collect();

        for node in announced_nodes(&settings.node, &fleet, seed) {
            let links = links.clone();
            let own = Arc::clone(&settings.node);
            compio::runtime::spawn(async move {
                let hello = PeerRequest::Hello { node: own };
                let sent = links
                    .ask(&node, &hello, WorkClass::Short, Bytes::new())
                    .await;
                if let Err(error) = sent {
                    info!(event = "hello-failed", node = %node, reason = %error);
                }
            })
            .detach();
        }
    })
    .detach();
}

/// Shuts down: the node drains, and what is still in flight shortly before the end is answered.
async fn stop(context: &NodeContext, servers: NodeServers) {
    let started_at = clock::now();
    info!(
        event = "shutdown-started",
        in_flight = context.front.in_flight(),
        at_target = context.proxy.in_flight()
    );
    let grace = context.settings.grace;
    let plan = ShutdownPlan::new(ShutdownOptions::default(), started_at, grace);
    context.front.start_drain(plan);
    context.proxy.start_drain(plan);

    let mut drain = pin!(drain(context, servers, plan));
    let mut drained = timeout(plan.expiry_time(), drain.as_mut()).await;
    if drained.is_err() {
        // First what waits for a slot, which has not run.
        context.proxy.close();
        context.front.expire();
        // From now on, as the timer may have fired late.
        drained = timeout(plan.answer_time(), drain).await;
    }

    info!(
        event = "shutdown-complete",
        drained = drained.is_ok(),
        took_ms = clock::now().since(started_at).as_millis(),
        in_flight = context.front.in_flight(),
        at_target = context.proxy.in_flight()
    );
}

/// Drains in order: first callers move to other nodes, then requests in flight from other nodes end at the target.
async fn drain(context: &NodeContext, servers: NodeServers, plan: ShutdownPlan) {
    sleep(plan.intake_time()).await;
    // Requests of other nodes stop with those of callers.
    context.proxy.stop();
    servers.callers_stop.trigger();
    // A server that panicked has nothing left in flight.
    drop(servers.callers.await);

    context.watching.stop();
    while context.proxy.in_flight() > 0 {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    servers.peers_stop.trigger();
    drop(servers.peers.await);
}

/// Binds an address; `purpose` names its clients in the error.
async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| RunError::Listen {
            purpose,
            address,
            source,
        })
}
