//! Store calls, through a peer when the store does not serve this node.

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

/// The time after which a peer is asked beside the store.
const HEDGE_AFTER: Duration = Duration::from_millis(60);

/// The time for one relayed call.
const RELAY_TIMEOUT: Duration = Duration::from_millis(250);

/// The peers that are asked in turn.
const MAX_RELAYS: usize = 3;

/// `StoreRelay` makes calls for the objects of the fleet.
#[derive(Debug, Clone)]
pub struct StoreRelay {
    node: Arc<str>,
    store: Rc<dyn ObjectStore>,
    links: NodeLinks,
    view: FleetView,
    reached: Rc<Cell<LocalMoment>>,
    turn: Rc<Cell<usize>>,
    lost: Rc<Cell<bool>>,
}

impl StoreRelay {
    /// Makes a relay.
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
            reached: Rc::new(Cell::new(clock::now())),
            turn: Rc::default(),
            lost: Rc::default(),
        }
    }

    /// Returns the moment at which the store last answered this node, itself or through a peer.
    pub fn reached_at(&self) -> LocalMoment {
        self.reached.get()
    }

    /// Makes a call at the store itself.
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
        self.note(&outcome);

        outcome.unwrap_or_else(StoreOutcome::from)
    }

    /// Makes a call at the store, and through peers when the store does not carry it out. A write
    /// that may have taken effect is not repeated, as its condition guards against a second one
    /// but not against a wrong report of the first.
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
            self.reached.set(clock::now());
        }

        outcome
    }

    /// Reads at the store, and through peers when it takes long.
    async fn read(&self, call: &StoreCall) -> StoreOutcome {
        let direct = pin!(self.direct(call));
        let early = match select(direct, pin!(sleep(HEDGE_AFTER))).await {
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

    /// Makes a call through up to [`MAX_RELAYS`] peers.
    async fn relayed(&self, call: &StoreCall) -> Option<StoreOutcome> {
        let peers: Vec<Arc<str>> = self
            .view
            .nodes()
            .iter()
            .filter(|record| record.node != self.node)
            .map(|record| Arc::clone(&record.node))
            .collect();
        let first = self.turn.get();

        for step in 0..peers.len().min(MAX_RELAYS) {
            let peer = &peers[(first + step) % peers.len()];
            let request = PeerRequest::Store(call.clone());
            let asked = self
                .links
                .ask(peer, &request, WorkClass::Short, Bytes::new());

            let outcome = match timeout(RELAY_TIMEOUT, asked).await {
                Ok(Ok(answer)) => match answer.head.body {
                    ReplyBody::Store(outcome) => outcome,
                    _ => continue,
                },
                // A write may be under way at the peer.
                Ok(Err(_)) | Err(_) if !matches!(call, StoreCall::Get { .. }) => {
                    return Some(StoreOutcome::Unknown(Arc::from("the peer did not answer")));
                }
                Ok(Err(_)) | Err(_) => continue,
            };
            match outcome {
                StoreOutcome::NotDone(_) => {}
                StoreOutcome::Unknown(_) if matches!(call, StoreCall::Get { .. }) => {}
                outcome => {
                    // The peer that could reach the store is asked first the next time.
                    self.turn.set(first + step);
                    return Some(outcome);
                }
            }
        }
        self.turn.set(first + 1);

        None
    }

    /// Logs when the store is lost and regained.
    fn note(&self, outcome: &Result<StoreOutcome, StoreError>) {
        let answered = outcome
            .as_ref()
            .map_or_else(StoreError::is_answer, |_| true);

        if answered && self.lost.replace(false) {
            info!(event = "store-regained");
        }
        if let Err(error) = outcome
            && !answered
            && !self.lost.replace(true)
        {
            warn!(event = "store-lost", reason = %error);
        }
        if answered {
            self.reached.set(clock::now());
        }
    }
}
