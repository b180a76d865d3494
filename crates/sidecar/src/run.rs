//! Starting and stopping.

use crate::{
    beats::BeatHandler,
    directory::{self, DirectoryOptions},
    door::TargetDoor,
    forward::RequestForwarder,
    front::{CallerConnections, FrontHandler, FrontState, ReadinessHandler},
    inbound::InboundHandler,
    links::NodeLinks,
    messages::PeerRequest,
    metrics::{DroppedLines, MetricsHandler},
    outcomes::RequestRecorder,
    planning::{PlannerActivity, PlannerTask},
    ports::WireDialect,
    record::RecordPublisher,
    relay::StoreRelay,
    settings::SidecarSettings,
    view::FleetView,
    watching::WatchRelay,
};
use bytes::Bytes;
use compio::{
    net::TcpListener,
    runtime::JoinHandle,
    time::{sleep, timeout},
};
use std::{io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use thiserror::Error;
use tracing::{info, warn};
use wagtail_core::{objects::ObjectStore, service::WorkClass};
use wagtail_net::{
    clock,
    server::{self, ConnectionLimits, HttpHandler},
    stop::StopSignal,
};
use wagtail_shard::keeper::KeeperOptions;

/// The number of the signal that asks a process to end.
const SIGTERM: i32 = 15;

/// The largest head of a call of the target, the platform or a collector, in bytes.
const HEAD_BYTES: usize = 64 << 10;

/// The time for which callers are still served after the signal, until they go elsewhere.
const CALLERS_LEAVE: Duration = Duration::from_millis(2_400);

/// The time that is kept free before the forced end.
const END_MARGIN: Duration = Duration::from_millis(500);

/// The time between two looks at the requests that are still being answered.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// The time for which a grant outlasts the heartbeats that may be lost.
const HOLD_BASE: Duration = Duration::from_millis(1_200);

/// The heartbeats in a row that may be lost before a grant ends.
const HOLD_BEATS: u32 = 2;

/// The time until the other nodes are known and can be told of the start.
const HELLO_AFTER: Duration = Duration::from_millis(150);

/// `Result` is the result of running a node.
pub type Result<T, E = RunError> = std::result::Result<T, E>;

/// `RunError` is why a node could not run.
#[derive(Debug)]
#[derive(Error)]
pub enum RunError {
    /// An address is not available.
    #[error("cannot listen on {address} for {purpose}: {source}")]
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

/// `NodeParts` are the running parts that the shutdown needs.
#[derive(Debug)]
struct NodeParts {
    callers: JoinHandle<()>,
    callers_stop: StopSignal,
    peers: JoinHandle<()>,
    peers_stop: StopSignal,
}

/// Runs a node until it is told to stop, and then until its requests are answered.
///
/// # Errors
///
/// Fails when an address is not available.
pub async fn run(
    settings: SidecarSettings,
    dialect: Rc<dyn WireDialect>,
    store: Rc<dyn ObjectStore>,
    lines: Rc<dyn DroppedLines>,
    seed: u64,
) -> Result<()> {
    let settings = Rc::new(settings);
    let base = NodeBase::new(Rc::clone(&settings), dialect, store, seed);
    let parts = start(&base).await?;
    serve_metrics(&base, lines).await;
    info!(
        event = "node-started", node = %settings.node, zone = %settings.zone,
        service = %settings.service, target = %settings.target
    );

    if let Err(error) = compio::signal::unix::signal(SIGTERM).await {
        warn!(event = "signal-not-received", reason = %error);
    }
    stop(&base, parts).await;

    Ok(())
}

/// `NodeListeners` are the sockets on which the node listens.
#[derive(Debug)]
struct NodeListeners {
    callers: TcpListener,
    peers: TcpListener,
    local: TcpListener,
    readiness: TcpListener,
}

impl NodeListeners {
    /// Binds every address before any part starts.
    async fn bind(settings: &SidecarSettings) -> Result<Self> {
        Ok(Self {
            callers: bind("callers", settings.callers).await?,
            peers: bind("peers", settings.peers).await?,
            local: bind("heartbeats", settings.local).await?,
            readiness: bind("readiness", settings.readiness).await?,
        })
    }
}

/// `NodeBase` is what the parts of the node share.
#[derive(Debug)]
struct NodeBase {
    settings: Rc<SidecarSettings>,
    dialect: Rc<dyn WireDialect>,
    store: Rc<dyn ObjectStore>,
    view: FleetView,
    links: NodeLinks,
    relay: StoreRelay,
    door: TargetDoor,
    forwarder: Rc<RequestForwarder>,
    recorder: Rc<RequestRecorder>,
    planners: PlannerActivity,
    watching: WatchRelay,
    front: FrontState,
    seed: u64,
}

impl NodeBase {
    /// Makes the shared parts; nothing runs yet.
    fn new(
        settings: Rc<SidecarSettings>,
        dialect: Rc<dyn WireDialect>,
        store: Rc<dyn ObjectStore>,
        seed: u64,
    ) -> Self {
        let view = FleetView::default();
        let watching = WatchRelay::new(view.clone());
        let links = NodeLinks::new(view.clone());
        let relay = StoreRelay::new(
            Arc::clone(&settings.node),
            Rc::clone(&store),
            links.clone(),
            view.clone(),
        );
        let recorder = Rc::new(RequestRecorder::default());
        let door = TargetDoor::new(
            Rc::clone(&settings),
            Rc::clone(&dialect),
            view.clone(),
            Rc::clone(&recorder),
            keeper_options(&settings),
        );
        let forwarder = Rc::new(RequestForwarder::new(
            Rc::clone(&settings),
            view.clone(),
            links.clone(),
            door.clone(),
            seed,
        ));

        Self {
            settings,
            dialect,
            store,
            view,
            links,
            relay,
            door,
            forwarder,
            recorder,
            planners: PlannerActivity::default(),
            watching,
            front: FrontState::default(),
            seed,
        }
    }

    /// Spawns the tasks that no socket belongs to.
    fn spawn_tasks(&self) {
        directory::spawn(&DirectoryOptions {
            node: Arc::clone(&self.settings.node),
            zone: Arc::clone(&self.settings.zone),
            store: Rc::clone(&self.store),
            dialect: Rc::clone(&self.dialect),
            view: self.view.clone(),
            links: self.links.clone(),
            watching: self.watching.clone(),
            seed: self.seed,
        });

        let planner = PlannerTask::new(
            Rc::clone(&self.settings),
            self.view.clone(),
            self.links.clone(),
            self.relay.clone(),
            self.door.clone(),
            self.planners.clone(),
        );
        let lapse = keeper_options(&self.settings).revocation_lapse();
        compio::runtime::spawn(async move { planner.run(lapse).await }).detach();

        spawn_hello(&self.settings, &self.view, &self.links);
    }

    /// Starts the handler of the target's heartbeats.
    fn spawn_beats(&self) -> Rc<BeatHandler> {
        let record = RecordPublisher::spawn(
            &self.settings,
            self.view.clone(),
            self.relay.clone(),
            Rc::clone(&self.store),
        );
        let beats = Rc::new(BeatHandler::new(
            Rc::clone(&self.settings),
            Rc::clone(&self.dialect),
            self.view.clone(),
            self.relay.clone(),
            self.door.clone(),
            record,
        ));
        let watched = Rc::clone(&beats);
        compio::runtime::spawn(async move { watched.watch_target().await }).detach();

        beats
    }

    /// Makes the handler of callers.
    fn front_handler(&self) -> Rc<FrontHandler> {
        Rc::new(FrontHandler::new(
            Rc::clone(&self.settings),
            Rc::clone(&self.dialect),
            self.view.clone(),
            Rc::clone(&self.forwarder),
            self.door.clone(),
            Rc::clone(&self.recorder),
            self.front.clone(),
        ))
    }

    /// Makes the handler of the other nodes.
    fn inbound_handler(&self) -> Rc<InboundHandler> {
        Rc::new(InboundHandler::new(
            self.door.clone(),
            self.view.clone(),
            self.relay.clone(),
            Rc::clone(&self.forwarder),
            self.planners.clone(),
            self.watching.clone(),
        ))
    }
}

/// Returns the settings of the grants.
fn keeper_options(settings: &SidecarSettings) -> KeeperOptions {
    let hold = HOLD_BASE + settings.heartbeat * HOLD_BEATS;

    KeeperOptions {
        hold: hold.min(settings.max_hold),
        ..KeeperOptions::default()
    }
}

/// Starts every part of the node.
async fn start(base: &NodeBase) -> Result<NodeParts> {
    let listeners = NodeListeners::bind(&base.settings).await?;
    base.spawn_tasks();

    let callers_stop = StopSignal::new();
    let peers_stop = StopSignal::new();
    let callers = compio::runtime::spawn(server::serve(
        listeners.callers,
        base.front_handler(),
        Rc::new(CallerConnections::new(base.view.clone())),
        callers_stop.clone(),
    ));
    let peers = compio::runtime::spawn(wagtail_peer::server::serve(
        listeners.peers,
        base.inbound_handler(),
        peers_stop.clone(),
    ));

    let readiness = Rc::new(ReadinessHandler::new(base.view.clone(), base.front.clone()));
    for (listener, handler) in [
        (listeners.local, base.spawn_beats() as Rc<dyn HttpHandler>),
        (listeners.readiness, readiness),
    ] {
        let limits = Rc::new(ConnectionLimits::new(HEAD_BYTES));
        let served = server::serve(listener, handler, limits, peers_stop.clone());
        compio::runtime::spawn(served).detach();
    }

    Ok(NodeParts {
        callers,
        callers_stop,
        peers,
        peers_stop,
    })
}

/// Serves collectors of metrics. A node without them still serves its callers.
async fn serve_metrics(base: &NodeBase, lines: Rc<dyn DroppedLines>) {
    let Some(address) = base.settings.metrics else {
        return;
    };

    match TcpListener::bind(address).await {
        Ok(listener) => {
            let handler = MetricsHandler::new(
                Rc::clone(&base.recorder),
                base.view.clone(),
                base.door.clone(),
                base.relay.clone(),
                lines,
            );
            let limits = Rc::new(ConnectionLimits::new(HEAD_BYTES));
            let served = server::serve(listener, Rc::new(handler), limits, StopSignal::new());
            compio::runtime::spawn(served).detach();
        }
        Err(error) => warn!(event = "metrics-not-served", address = %address, reason = %error),
    }
}

/// Tells the other nodes that this one can be reached again.
fn spawn_hello(settings: &Rc<SidecarSettings>, view: &FleetView, links: &NodeLinks) {
    let (settings, view, links) = (Rc::clone(settings), view.clone(), links.clone());

    compio::runtime::spawn(async move {
        while view.nodes().is_empty() {
            sleep(HELLO_AFTER).await;
        }
        for record in view.nodes() {
            if record.node == settings.node {
                continue;
            }
            let links = links.clone();
            let node = Arc::clone(&settings.node);
            compio::runtime::spawn(async move {
                let hello = PeerRequest::Hello { node };
                let told = links
                    .ask(&record.node, &hello, WorkClass::Short, Bytes::new())
                    .await;
                if let Err(error) = told {
                    info!(event = "hello-failed", node = %record.node, reason = %error);
                }
            })
            .detach();
        }
    })
    .detach();
}

/// Stops in order: callers go elsewhere, then what is in flight is answered.
async fn stop(base: &NodeBase, parts: NodeParts) {
    let began = clock::now();
    info!(
        event = "shutdown-started",
        in_flight = base.front.in_flight(),
        at_target = base.door.in_flight()
    );
    base.front.leave();

    let last = base.settings.grace.saturating_sub(END_MARGIN);
    let drained = timeout(last, async {
        sleep(CALLERS_LEAVE.min(last / 2)).await;
        parts.callers_stop.trigger();
        // A server that panicked has nothing left in flight.
        drop(parts.callers.await);

        base.door.stop();
        base.watching.stop();
        while base.door.in_flight() > 0 {
            sleep(DRAIN_LOOK).await;
        }
        parts.peers_stop.trigger();
        drop(parts.peers.await);
    })
    .await;

    info!(
        event = "shutdown-complete",
        drained = drained.is_ok(),
        took_ms = clock::now().since(began).as_millis(),
        in_flight = base.front.in_flight(),
        at_target = base.door.in_flight()
    );
}

/// Binds one address.
async fn bind(purpose: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| RunError::Listen {
            purpose,
            address,
            source,
        })
}
