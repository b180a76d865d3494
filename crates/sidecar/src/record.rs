//! Publication of this node's own record.

use crate::{
    messages::{StoreCall, StoreOutcome},
    node_record::{NodeRecord, record_name},
    proxy::TargetProxy,
    relay::StoreRelay,
    settings::SidecarSettings,
    view::{FLEET_KIND, FleetView},
};
use compio::time::sleep;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use std::{rc::Rc, sync::Arc, time::Duration};
use tracing::{info, warn};
use wagtail_core::objects::{ObjectStore, StoreError, StoreRevision, StoredObject};
use wagtail_net::clock;

/// The delay between two attempts to publish the record.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The longest time between two checks whether the store has returned from a copy.
const ERA_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the present record of this node.
pub fn own_record(settings: &SidecarSettings, proxy: &TargetProxy) -> NodeRecord {
    NodeRecord {
        node: Arc::clone(&settings.node),
        zone: Arc::clone(&settings.zone),
        peers: settings.peers,
        service: Arc::clone(&settings.service),
        slots: proxy.slots(),
        ready: proxy.is_ready(),
        departures: proxy.departures(),
        crashes: proxy.crash_report(),
    }
}

/// Spawns the tasks that publish the record of this node after a crash of its target, and after the store may have
/// lost it.
pub fn spawn_publication(
    settings: &Rc<SidecarSettings>,
    proxy: &TargetProxy,
    publisher: &RecordPublisher,
    view: FleetView,
) {
    compio::runtime::spawn(publish_crashes(
        Rc::clone(settings),
        proxy.clone(),
        publisher.clone(),
    ))
    .detach();
    compio::runtime::spawn(publish_after_losses(
        Rc::clone(settings),
        proxy.clone(),
        publisher.clone(),
        view,
    ))
    .detach();
}

/// Publishes the record of this node whenever its target has crashed. Runs until it is dropped.
async fn publish_crashes(
    settings: Rc<SidecarSettings>,
    proxy: TargetProxy,
    publisher: RecordPublisher,
) {
    loop {
        proxy.crash().await;
        publisher.publish(own_record(&settings, &proxy));
    }
}

/// Publishes the record of this node whenever the store may have lost it: it has returned from a copy, or another
/// writer has put something else in its place. Runs until it is dropped.
async fn publish_after_losses(
    settings: Rc<SidecarSettings>,
    proxy: TargetProxy,
    publisher: RecordPublisher,
    view: FleetView,
) {
    let name = record_name(&settings.node);
    let losses = || RecordLosses::new(&view, &name);
    // The era in which this process started is not a return.
    while !view.until(ERA_CHECK_INTERVAL, || view.knows_fleet()).await {}
    let mut known = losses();

    loop {
        // Nothing wakes the wait when another node tells of the era, so it is limited.
        if view.until(ERA_CHECK_INTERVAL, || losses() > known).await {
            known = losses();
            publisher.publish(own_record(&settings, &proxy));
        }
    }
}

/// `RecordLosses` tells how often the store may have lost the record of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
struct RecordLosses {
    era: u64,
    /// The revision at which another writer last put something unreadable in the place of the record.
    overwritten: StoreRevision,
}

impl RecordLosses {
    /// Returns the losses of an object that a view knows of.
    fn new(view: &FleetView, name: &str) -> Self {
        Self {
            era: view.newest_era(),
            overwritten: view.unreadable_revision(name),
        }
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
            // Written again after a loss even if it has not changed.
            let losses = RecordLosses::new(&self.view, &self.name);
            if written.as_ref() == Some(&(newest.clone(), losses)) {
                continue;
            }

            while !self.write(newest.as_ref()).await {
                sleep(PUBLISH_RETRY_DELAY).await;
                while let Ok(newer) = records.try_recv() {
                    newest = newer;
                }
            }
            written = Some((newest, losses));
        }
    }

    /// Makes one attempt to write the record, or to delete it if there is none. Returns `false` if
    /// another attempt is needed.
    async fn write(&self, record: Option<&NodeRecord>) -> bool {
        let Some(record) = record else {
            let deleted = self.store.delete(FLEET_KIND, &self.name).await;
            return matches!(deleted, Ok(()) | Err(StoreError::Absent));
        };

        let get = StoreCall::Get {
            name: Arc::clone(&self.name),
        };
        let (revision, content) = match self.relay.call(&get).await {
            StoreOutcome::Object(object) => {
                self.view.apply_object(object.clone());
                let Some(content) = encode_record(record, Some(&object)) else {
                    return true;
                };
                if object.content == content {
                    return true;
                }
                (Some(object.revision), content)
            }
            StoreOutcome::Absent => match encode_record(record, None) {
                Some(content) => (None, content),
                None => return true,
            },
            _ => return false,
        };
        let call = match revision {
            Some(revision) => StoreCall::Replace {
                name: Arc::clone(&self.name),
                revision,
                content: Arc::clone(&content),
            },
            None => StoreCall::Create {
                name: Arc::clone(&self.name),
                content: Arc::clone(&content),
            },
        };

        match self.relay.call(&call).await {
            StoreOutcome::Written(revision) => {
                self.view.apply_object(StoredObject {
                    name: Arc::clone(&self.name),
                    revision,
                    content,
                });
                info!(event = "record-written", ready = record.ready, %revision);
                true
            }
            outcome => {
                info!(event = "record-not-written", ready = record.ready, outcome = ?outcome);
                false
            }
        }
    }
}

/// Encodes a record for the store, with the departures and crashes that the stored one holds, as this process
/// may not know of all of them. Returns `None` if that fails.
fn encode_record(record: &NodeRecord, stored: Option<&StoredObject>) -> Option<Arc<str>> {
    let mut merged = record.clone();
    if let Some(object) = stored {
        match serde_json::from_str::<NodeRecord>(&object.content) {
            Ok(known) => {
                merged.departures.merge(&known.departures);
                merged.crashes.merge(&known.crashes);
                merged.crashes.expire(clock::unix_millis());
            }
            Err(error) => {
                warn!(event = "record-replaced", name = %object.name, reason = %error);
            }
        }
    }

    match serde_json::to_string(&merged) {
        Ok(content) => Some(Arc::from(content)),
        Err(error) => {
            warn!(event = "record-not-encoded", node = %record.node, reason = %error);
            None
        }
    }
}
