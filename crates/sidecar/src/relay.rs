//! Calls to the store, through a peer when the store does not respond to this node.

use crate::{
    links::NodeLinks,
    messages::{PeerRequest, ReplyBody, StoreCall, StoreOutcome},
    view::{FLEET_KIND, FleetView},
};
use bytes::Bytes;
use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use std::{cell::Cell, pin::pin, rc::Rc, sync::Arc, time::Duration};
use tracing::{info, warn};
use wagtail_core::{
    objects::{ObjectStore, StoreError},
    service::WorkClass,
    units::LocalMoment,
};
use wagtail_net::clock;
use wagtail_route::outage::StoreOutage;

/// The time after which a read without a response of the store is also sent through a peer.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// The timeout of a call through one peer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(250);

/// The number of peers through which one call is tried.
const MAX_RELAY_PEERS: usize = 3;

/// `StoreRelay` reads and writes the objects of the fleet, directly or through peers. Clones share
/// their state.
#[derive(Debug, Clone)]
pub struct StoreRelay {
    node: Arc<str>,
    store: Rc<dyn ObjectStore>,
    links: NodeLinks,
    view: FleetView,
    last_reached: Rc<Cell<LocalMoment>>,
    next_peer: Rc<Cell<usize>>,
    unreachable: Rc<Cell<bool>>,
    outage: Rc<Cell<StoreOutage>>,
}

impl StoreRelay {
    /// Creates a relay for the given node, which counts as having reached the store just now.
    pub fn new(
        node: Arc<str>,
        store: Rc<dyn ObjectStore>,
        links: NodeLinks,
        view: FleetView,
    ) -> Self {
        Self {
            node,
            store,
            links,
            view,
            last_reached: Rc::new(Cell::new(clock::now())),
            next_peer: Rc::default(),
            unreachable: Rc::default(),
            outage: Rc::default(),
        }
    }

    /// Returns the moment at which the store last responded to this node, directly or through a
    /// peer.
    pub fn reached_at(&self) -> LocalMoment {
        self.last_reached.get()
    }

    /// Makes a call directly at the store.
    pub async fn direct(&self, call: &StoreCall) -> StoreOutcome {
        let outcome = match call {
            StoreCall::Get { name } => self
                .store
                .get(FLEET_KIND, name)
                .await
                .map(StoreOutcome::Object),
            StoreCall::Create { name, content } => self
                .store
                .create(FLEET_KIND, name, content)
                .await
                .map(StoreOutcome::Written),
            StoreCall::Replace {
                name,
                revision,
                content,
            } => self
                .store
                .replace(FLEET_KIND, name, *revision, content)
                .await
                .map(StoreOutcome::Written),
        };
        self.record_outcome(&outcome);

        outcome.unwrap_or_else(StoreOutcome::from)
    }

    /// Makes a call for another node, unless this one has just failed to reach the store as well.
    pub async fn for_peer(&self, call: &StoreCall) -> StoreOutcome {
        if self.outage.get().may_relay(clock::now()) {
            self.direct(call).await
        } else {
            StoreOutcome::NotDone(Arc::from("the store does not respond to this node either"))
        }
    }

    /// Makes a call at the store, and through peers if the store does not carry it out. A write
    /// that may have taken effect is not retried: the expected revision prevents a second write,
    /// but the retry would report a conflict although the first attempt succeeded.
    pub async fn call(&self, call: &StoreCall) -> StoreOutcome {
        let outcome = match call {
            StoreCall::Get { .. } => self.read(call).await,
            StoreCall::Create { .. } | StoreCall::Replace { .. } => {
                let outcome = self.direct(call).await;
                if matches!(outcome, StoreOutcome::NotDone(_)) {
                    self.relayed(call).await.unwrap_or(outcome)
                } else {
                    outcome
                }
            }
        };

        if matches!(
            outcome,
            StoreOutcome::Object(_)
                | StoreOutcome::Written(_)
                | StoreOutcome::Conflict(_)
                | StoreOutcome::Absent
        ) {
            self.last_reached.set(clock::now());
        }

        outcome
    }

    /// Reads at the store, and through peers if it fails or takes longer than [`HEDGE_DELAY`].
    async fn read(&self, call: &StoreCall) -> StoreOutcome {
        let direct = pin!(self.direct(call));
        let early = match select(direct, pin!(sleep(HEDGE_DELAY))).await {
            Either::Left((outcome, _)) => Ok(outcome),
            Either::Right(((), direct)) => Err(direct),
        };

        match early {
            Ok(StoreOutcome::NotDone(reason) | StoreOutcome::Unknown(reason)) => self
                .relayed(call)
                .await
                .unwrap_or(StoreOutcome::NotDone(reason)),
            Ok(outcome) => outcome,
            Err(direct) => match select(direct, pin!(self.relayed(call))).await {
                Either::Left((StoreOutcome::NotDone(_) | StoreOutcome::Unknown(_), relayed)) => {
                    relayed
                        .await
                        .unwrap_or_else(|| StoreOutcome::NotDone(Arc::from("no peer answered")))
                }
                Either::Left((outcome, _)) | Either::Right((Some(outcome), _)) => outcome,
                Either::Right((None, direct)) => direct.await,
            },
        }
    }

    /// Makes a call through up to [`MAX_RELAY_PEERS`] peers, one after the other. Returns `None` if
    /// none of them carried it out.
    async fn relayed(&self, call: &StoreCall) -> Option<StoreOutcome> {
        let peers: Vec<Arc<str>> = self
            .view
            .nodes()
            .iter()
            .filter(|record| record.node != self.node)
            .map(|record| Arc::clone(&record.node))
            .collect();
        let first = self.next_peer.get();

        for step in 0..peers.len().min(MAX_RELAY_PEERS) {
            let peer = &peers[(first + step) % peers.len()];
            let request = PeerRequest::Store(call.clone());
            let pending = self
                .links
                .ask(peer, &request, WorkClass::Short, Bytes::new());

            let outcome = match timeout(RELAY_TIMEOUT, pending).await {
                Ok(Ok(response)) => match response.head.body {
                    ReplyBody::Store(outcome) => outcome,
                    _ => continue,
                },
                // The write may still be in flight at the peer.
                Ok(Err(_)) | Err(_) if !matches!(call, StoreCall::Get { .. }) => {
                    return Some(StoreOutcome::Unknown(Arc::from("the peer did not answer")));
                }
                Ok(Err(_)) | Err(_) => continue,
            };
            match outcome {
                StoreOutcome::NotDone(_) => {}
                StoreOutcome::Unknown(_) if matches!(call, StoreCall::Get { .. }) => {}
                outcome => {
                    // The next call starts with this peer, as it can reach the store.
                    self.next_peer.set(first + step);
                    return Some(outcome);
                }
            }
        }
        self.next_peer.set(first + 1);

        None
    }

    /// Records whether the store responded, and logs when it becomes unreachable or reachable
    /// again.
    fn record_outcome(&self, outcome: &Result<StoreOutcome, StoreError>) {
        let answered = outcome
            .as_ref()
            .map_or_else(StoreError::is_answer, |_| true);

        if answered && self.unreachable.replace(false) {
            info!(event = "store-regained");
        }
        if let Err(error) = outcome
            && !answered
            && !self.unreachable.replace(true)
        {
            warn!(event = "store-lost", reason = %error);
        }
        let mut outage = self.outage.get();
        if answered {
            self.last_reached.set(clock::now());
            outage.answered();
        } else {
            outage.failed(clock::now());
        }
        self.outage.set(outage);
    }
}
