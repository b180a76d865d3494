//! Publication of this node's own record.

use crate::{
    messages::{StoreCall, StoreOutcome},
    proxy::TargetProxy,
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

/// The delay between two attempts to publish the record.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Returns the present record of this node.
pub fn own_record(settings: &SidecarSettings, proxy: &TargetProxy) -> NodeRecord {
    NodeRecord {
        node: Arc::clone(&settings.node),
        zone: Arc::clone(&settings.zone),
        peers: settings.peers,
        service: Arc::clone(&settings.service),
        slots: proxy.slots(),
        ready: proxy.is_ready(),
    }
}

/// `RecordPublisher` passes this node's record to the task that writes it to the store.
#[derive(Debug, Clone)]
pub struct RecordPublisher {
    records: UnboundedSender<Option<NodeRecord>>,
}

impl RecordPublisher {
    /// Spawns the task that writes the record to the store whenever it differs from the stored one.
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

    /// Publishes a record in the background; it replaces one that is not written yet.
    pub fn publish(&self, record: NodeRecord) {
        // Sending cannot fail: the task that receives ends only with the process.
        drop(self.records.unbounded_send(Some(record)));
    }

    /// Removes the record in the background, because the VM is leaving the fleet.
    pub fn remove(&self) {
        drop(self.records.unbounded_send(None));
    }
}

/// `RecordWriter` writes or deletes the stored record of this node.
#[derive(Debug)]
struct RecordWriter {
    name: Arc<str>,
    view: FleetView,
    relay: StoreRelay,
    store: Rc<dyn ObjectStore>,
}

impl RecordWriter {
    /// Brings each new record into the store. It retries until that succeeds, always with the
    /// newest record.
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
                sleep(PUBLISH_RETRY_DELAY).await;
                while let Ok(newer) = records.try_recv() {
                    newest = newer;
                }
            }
            written = Some(newest);
        }
    }

    /// Makes one attempt to write the record, or to delete it if there is none. Returns `false` if
    /// another attempt is needed.
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
