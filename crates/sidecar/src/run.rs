//! Starting and stopping.

use crate::{
    beats::{BeatHandler, RecordPublisher},
    directory::{self, DirectoryOptions},
    door::TargetDoor,
    forward::RequestForwarder,
    front::{FrontHandler, FrontState, ReadinessHandler},
    inbound::InboundHandler,
    links::NodeLinks,
    messages::PeerRequest,
    planning::{PlannerTask, PlannerWatch},
    ports::WireDialect,
    relay::StoreRelay,
    settings::SidecarSettings,
    view::FleetView,
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
use wagtail_net::{clock, server, stop::StopSignal};
use wagtail_shard::keeper::KeeperOptions;

/// The number of the signal that asks a process to end.
const SIGTERM: i32 = 15;

/// The largest head of a request in bytes before a configuration says otherwise.
const HEAD_BYTES: usize = 64 << 10;

/// The time for which callers are still served after the signal, until they go elsewhere.
const CALLERS_LEAVE: Duration = Duration::from_millis(2_400);

/// The time that is kept free before the forced end.
const END_MARGIN: Duration = Duration::from_millis(500);

/// The time between two looks at the requests that are still being answered.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

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
    door: TargetDoor,
    front: FrontState,
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
    seed: u64,
) -> Result<()> {
    let settings = Rc::new(settings);
    let parts = start(&settings, &dialect, &store, seed).await?;
    info!(
        event = "node-started", node = %settings.node, zone = %settings.zone,
        service = %settings.service, target = %settings.target
    );

    if let Err(error) = compio::signal::unix::signal(SIGTERM).await {
        warn!(event = "signal-not-received", reason = %error);
    }
    stop(&settings, parts).await;

    Ok(())
}

/// Starts every part of the node.
async fn start(
    settings: &Rc<SidecarSettings>,
    dialect: &Rc<dyn WireDialect>,
    store: &Rc<dyn ObjectStore>,
    seed: u64,
) -> Result<NodeParts> {
    let callers_listener = bind("callers", settings.callers).await?;
    let peers_listener = bind("peers", settings.peers).await?;
    let local_listener = bind("heartbeats", settings.local).await?;
    let readiness_listener = bind("readiness", settings.readiness).await?;

    let view = FleetView::default();
    let links = NodeLinks::new(view.clone());
    let relay = StoreRelay::new(
        Arc::clone(&settings.node),
        Rc::clone(store),
        links.clone(),
        view.clone(),
    );
    let keeper_options = KeeperOptions::default();
    let keeper_options = KeeperOptions {
        hold: keeper_options.hold.min(settings.max_hold),
        ..keeper_options
    };
    let door = TargetDoor::new(
        Rc::clone(settings),
        Rc::clone(dialect),
        view.clone(),
        keeper_options,
    );
    let forwarder = Rc::new(RequestForwarder::new(
        Rc::clone(settings),
        view.clone(),
        links.clone(),
        door.clone(),
        seed,
    ));
    let watch = PlannerWatch::default();

    directory::spawn(&DirectoryOptions {
        node: Arc::clone(&settings.node),
        store: Rc::clone(store),
        dialect: Rc::clone(dialect),
        view: view.clone(),
        links: links.clone(),
        seed,
    });
    spawn_planner(
        settings,
        &view,
        &links,
        &relay,
        &door,
        &watch,
        keeper_options,
    );
    spawn_hello(settings, &view, &links);

    let record = RecordPublisher::spawn(settings, view.clone(), relay.clone(), Rc::clone(store));
    let beats = Rc::new(BeatHandler::new(
        Rc::clone(settings),
        Rc::clone(dialect),
        view.clone(),
        relay.clone(),
        door.clone(),
        record,
    ));
    let watched = Rc::clone(&beats);
    compio::runtime::spawn(async move { watched.watch_target().await }).detach();

    let front = FrontState::default();
    let handler = Rc::new(FrontHandler::new(
        Rc::clone(settings),
        Rc::clone(dialect),
        view.clone(),
        Rc::clone(&forwarder),
        front.clone(),
    ));
    let inbound = Rc::new(InboundHandler::new(
        door.clone(),
        view.clone(),
        relay,
        forwarder,
        watch,
    ));
    let readiness = Rc::new(ReadinessHandler::new(view, front.clone()));

    let callers_stop = StopSignal::new();
    let peers_stop = StopSignal::new();
    let callers = compio::runtime::spawn(server::serve(
        callers_listener,
        handler,
        HEAD_BYTES,
        callers_stop.clone(),
    ));
    let peers = compio::runtime::spawn(wagtail_peer::server::serve(
        peers_listener,
        inbound,
        peers_stop.clone(),
    ));
    for (listener, handler) in [
        (local_listener, beats as Rc<dyn server::HttpHandler>),
        (readiness_listener, readiness),
    ] {
        let served = server::serve(listener, handler, HEAD_BYTES, peers_stop.clone());
        compio::runtime::spawn(served).detach();
    }

    Ok(NodeParts {
        door,
        front,
        callers,
        callers_stop,
        peers,
        peers_stop,
    })
}

/// Spawns the task that spreads the keys of the target's service.
fn spawn_planner(
    settings: &Rc<SidecarSettings>,
    view: &FleetView,
    links: &NodeLinks,
    relay: &StoreRelay,
    door: &TargetDoor,
    watch: &PlannerWatch,
    options: KeeperOptions,
) {
    let task = PlannerTask::new(
        Rc::clone(settings),
        view.clone(),
        links.clone(),
        relay.clone(),
        door.clone(),
        watch.clone(),
    );

    compio::runtime::spawn(async move { task.run(options.lapse()).await }).detach();
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
async fn stop(settings: &SidecarSettings, parts: NodeParts) {
    let began = clock::now();
    info!(
        event = "shutdown-started",
        in_flight = parts.front.in_flight(),
        at_target = parts.door.in_flight()
    );
    parts.front.leave();
    parts.door.stop();

    let last = settings.grace.saturating_sub(END_MARGIN);
    let drained = timeout(last, async {
        sleep(CALLERS_LEAVE.min(last / 2)).await;
        parts.callers_stop.give();
        // A server that panicked has nothing left in flight.
        drop(parts.callers.await);

        while parts.door.in_flight() > 0 {
            sleep(DRAIN_LOOK).await;
        }
        parts.peers_stop.give();
        drop(parts.peers.await);
    })
    .await;

    info!(
        event = "shutdown-complete",
        drained = drained.is_ok(),
        took_ms = clock::now().since(began).as_millis(),
        in_flight = parts.front.in_flight(),
        at_target = parts.door.in_flight()
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
