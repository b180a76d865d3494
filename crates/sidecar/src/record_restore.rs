//! Restores the records of other nodes that the store has lost with a return from a copy.

use crate::{
    messages::{StoreCall, StoreOutcome},
    node_record::record_name,
    relay::StoreRelay,
    view::FleetView,
};
use compio::time::sleep;
use std::{sync::Arc, time::Duration};
use tracing::{info, warn};
use wagtail_core::{objects::StoredObject, units::LocalMoment};
use wagtail_net::clock;
use wagtail_shard::facts::restore_delay;

/// The longest time between two checks whether the store lacks what a record stated.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The delay before another attempt to restore a record.
const RESTORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// `RecordRestorer` writes into the records of other nodes what they stated before the store returned from a copy.
#[derive(Debug)]
pub struct RecordRestorer {
    node: Arc<str>,
    view: FleetView,
    relay: StoreRelay,
}

impl RecordRestorer {
    /// Creates the restorer of a node. That node publishes its own record.
    pub fn new(node: Arc<str>, view: FleetView, relay: StoreRelay) -> Self {
        Self { node, view, relay }
    }

    /// Restores records whenever the store lacks what they stated. Runs until it is dropped.
    pub async fn run(self) {
        loop {
            let has_losses = || !self.losses().is_empty();
            if self.view.until(LOSS_CHECK_INTERVAL, has_losses).await {
                self.restore_all().await;
            }
        }
    }

    /// Returns the other nodes whose records are to be restored.
    fn losses(&self) -> Vec<Arc<str>> {
        let mut lost = self.view.lost_records();
        lost.retain(|recorded| *recorded != self.node && self.view.node(recorded).is_some());

        lost
    }

    /// Restores the records that are lost now, each when this node has its turn, unless another one was faster.
    async fn restore_all(&self) {
        let found_at = clock::now();
        let nodes: Vec<Arc<str>> = self
            .view
            .nodes()
            .iter()
            .map(|record| Arc::clone(&record.node))
            .collect();
        let mut due: Vec<(LocalMoment, Arc<str>)> = self
            .losses()
            .into_iter()
            .map(|recorded| {
                let delay = restore_delay(&self.node, &recorded, &nodes);
                (found_at + delay, recorded)
            })
            .collect();
        due.sort_unstable();

        for (at, recorded) in due {
            sleep(at.since(clock::now())).await;
            if self.view.is_lost(&recorded) && !self.restore(&recorded).await {
                sleep(RESTORE_RETRY_DELAY).await;
            }
        }
    }

    /// Writes the known record of a node to the store. Returns whether that succeeded, or another writer was faster.
    async fn restore(&self, recorded: &str) -> bool {
        let name = record_name(recorded);
        let (Some(object), Some(record)) = (self.view.object(&name), self.view.node(recorded))
        else {
            return false;
        };
        let content: Arc<str> = match serde_json::to_string(&*record) {
            Ok(content) => Arc::from(content),
            Err(error) => {
                warn!(event = "record-not-encoded", node = recorded, reason = %error);
                return false;
            }
        };
        let call = StoreCall::Replace {
            name: Arc::clone(&object.name),
            revision: object.revision,
            content: Arc::clone(&content),
        };

        match self.relay.call(&call).await {
            StoreOutcome::Written(revision) => {
                info!(event = "record-restored", node = recorded, ready = record.ready, %revision);
                self.view.apply_object(StoredObject {
                    name: object.name,
                    revision,
                    content,
                });
                true
            }
            StoreOutcome::Conflict(Some(current)) => {
                self.view.apply_object(current);
                true
            }
            outcome => {
                info!(event = "record-not-restored", node = recorded, outcome = ?outcome);
                false
            }
        }
    }
}
