//! The record that a node publishes of itself.

use crate::{
    door::TargetDoor,
    messages::{StoreCall, StoreOutcome},
    relay::StoreRelay,
    settings::SidecarSettings,
    view::{FLEET_KIND, FleetView, NodeRecord, record_name},
};
use compio::time::sleep;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use std::{rc::Rc, sync::Arc, time::Duration};
use tracing::info;
use wagtail_core::objects::{ObjectStore, StoreError, StoredObject};

/// The pause between two tries to publish the record.
const PUBLISH_PAUSE: Duration = Duration::from_millis(300);

/// Returns the record of a node.
pub fn own_record(settings: &SidecarSettings, door: &TargetDoor) -> NodeRecord {
    NodeRecord {
        node: Arc::clone(&settings.node),
        zone: Arc::clone(&settings.zone),
        peers: settings.peers,
        service: Arc::clone(&settings.service),
        slots: door.slots(),
        ready: door.is_ready(),
    }
}

/// `RecordPublisher` passes the node's record to the task that writes it.
#[derive(Debug, Clone)]
pub struct RecordPublisher {
    records: UnboundedSender<Option<NodeRecord>>,
}

impl RecordPublisher {
    /// Spawns the task that writes the record when it differs from the stored one.
    pub fn spawn(
        settings: &SidecarSettings,
        view: FleetView,
        relay: StoreRelay,
        store: Rc<dyn ObjectStore>,
    ) -> Self {
        let (sender, receiver) = unbounded();
        let writer = RecordWriter {
            name: Arc::from(record_name(&settings.node)),
            view,
            relay,
            store,
        };
        compio::runtime::spawn(async move { writer.run(receiver).await }).detach();

        Self { records: sender }
    }

    /// Publishes a record.
    pub fn publish(&self, record: NodeRecord) {
        // The task ends only with the process.
        drop(self.records.unbounded_send(Some(record)));
    }

    /// Removes the record, as the VM is leaving.
    pub fn remove(&self) {
        drop(self.records.unbounded_send(None));
    }
}

/// `RecordWriter` writes the node's record.
#[derive(Debug)]
struct RecordWriter {
    name: Arc<str>,
    view: FleetView,
    relay: StoreRelay,
    store: Rc<dyn ObjectStore>,
}

impl RecordWriter {
    /// Writes the newest record until it is stored.
    async fn run(&self, mut records: UnboundedReceiver<Option<NodeRecord>>) {
        let mut written = None;

        while let Some(mut newest) = records.next().await {
            while let Ok(newer) = records.try_recv() {
                newest = newer;
            }
            if written.as_ref() == Some(&newest) {
                continue;
            }

            while !self.write(newest.as_ref()).await {
                sleep(PUBLISH_PAUSE).await;
                while let Ok(newer) = records.try_recv() {
                    newest = newer;
                }
            }
            written = Some(newest);
        }
    }

    /// Writes a record once; returns whether it is stored.
    async fn write(&self, record: Option<&NodeRecord>) -> bool {
        let Some(record) = record else {
            let deleted = self.store.delete(FLEET_KIND, &self.name).await;
            return matches!(deleted, Ok(()) | Err(StoreError::Absent));
        };
        let Ok(content) = serde_json::to_string(record) else {
            return true;
        };
        let content: Arc<str> = Arc::from(content);

        let get = StoreCall::Get {
            name: Arc::clone(&self.name),
        };
        let call = match self.relay.call(&get).await {
            StoreOutcome::Object(object) => {
                self.view.apply_object(object.clone());
                if object.content == content {
                    return true;
                }
                StoreCall::Replace {
                    name: Arc::clone(&self.name),
                    revision: object.revision,
                    content: Arc::clone(&content),
                }
            }
            StoreOutcome::Absent => StoreCall::Create {
                name: Arc::clone(&self.name),
                content: Arc::clone(&content),
            },
            _ => return false,
        };

        match self.relay.call(&call).await {
            StoreOutcome::Written(revision) => {
                self.view.apply_object(StoredObject {
                    name: Arc::clone(&self.name),
                    revision,
                    content,
                });
                info!(event = "record-written", ready = record.ready, revision);
                true
            }
            outcome => {
                info!(event = "record-not-written", ready = record.ready, outcome = ?outcome);
                false
            }
        }
    }
}
