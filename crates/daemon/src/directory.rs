//! The task that keeps the fleet's state in sync with the platform.

use crate::{
    fleet::{CONFIG_KEY, FLEET_PREFIX, FleetCell, FleetState, NODES_PREFIX, NodeEntry},
    ownership::{OwnershipCommand, OwnershipHandle},
};
use compio::time::sleep;
use futures_channel::mpsc::{self, UnboundedReceiver, UnboundedSender};
use futures_util::{
    StreamExt,
    future::{Either, select},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, ops::Range, pin::pin, rc::Rc, sync::Arc, time::Duration};
use tracing::{error, info, warn};
use wagtail_core::{
    CoreError, Result,
    ids::NodeName,
    ports::{PlatformStore, StoredValue, WatchBatch},
};
use wagtail_intent::{ConfigKeeper, KeeperAction, KeeperEvent};

/// The longest time that one watch waits; a watch counts as one platform call.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// The shortest pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after failed calls. A longer one could delay the first call after an outage of
/// the platform beyond the time in which a configuration must be in force.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// The range of the random pause after a change, in milliseconds. A change wakes every daemon of
/// the fleet; the pause spreads their next calls and limits their rate while changes come in a row.
const WAKE_PAUSE_MS: Range<u64> = 300..1_100;

/// `DirectoryOptions` holds what the directory task works with.
#[derive(Debug)]
pub struct DirectoryOptions {
    /// The platform, which stores the fleet.
    pub store: Rc<dyn PlatformStore>,
    /// The shared state of the fleet, which the task replaces.
    pub fleet: FleetCell,
    /// The ownership task, which is notified of each change.
    pub ownership: OwnershipHandle,
    /// The name of this node.
    pub node: NodeName,
    /// The seed of the random pauses.
    pub seed: u64,
}

/// `DirectoryHandle` passes this node's entry to the directory task for publication.
#[derive(Debug, Clone)]
pub struct DirectoryHandle(UnboundedSender<NodeEntry>);

impl DirectoryHandle {
    /// Publishes this node's entry without waiting; the task retries after each failure.
    pub fn publish(&self, entry: NodeEntry) {
        // Sending fails only while the daemon shuts down and the task is gone.
        drop(self.0.unbounded_send(entry));
    }
}

/// `DirectoryTask` watches the fleet in the platform and publishes the entry of this node.
#[derive(Debug)]
struct DirectoryTask {
    options: DirectoryOptions,
    entries: UnboundedReceiver<NodeEntry>,
    /// The entry that the platform should hold for this node.
    wanted: Option<NodeEntry>,
    /// The version of the newest value that was applied for each key.
    versions: BTreeMap<Arc<str>, u64>,
    revision: u64,
    /// Whether the fleet was read completely since this start.
    was_read: bool,
    random: ChaCha8Rng,
    /// The pause after the next failed call.
    pause: Duration,
    keeper: ConfigKeeper,
}

/// Spawns the directory task.
pub fn spawn(options: DirectoryOptions) -> DirectoryHandle {
    let (sender, entries) = mpsc::unbounded();
    let random = ChaCha8Rng::seed_from_u64(options.seed);
    let task = DirectoryTask {
        options,
        entries,
        wanted: None,
        versions: BTreeMap::new(),
        revision: 0,
        was_read: false,
        random,
        pause: MIN_PAUSE,
        keeper: ConfigKeeper::new(),
    };

    compio::runtime::spawn(task.run()).detach();

    DirectoryHandle(sender)
}

impl DirectoryTask {
    /// Reads the entries of all nodes, then publishes this node's entry and follows the
    /// changes for as long as the daemon runs.
    async fn run(mut self) {
        while let Err(error) = self.read_all().await {
            self.back_off("list", &error).await;
        }

        loop {
            if let Err(error) = self.write_entry().await {
                self.back_off("publish", &error).await;
                continue;
            }

            match self.follow().await {
                Ok(()) => self.pause = MIN_PAUSE,
                Err(error) => self.back_off("watch", &error).await,
            }
        }
    }

    /// Reads and applies the entries of all nodes.
    async fn read_all(&mut self) -> Result<()> {
        let batch = self.options.store.list(FLEET_PREFIX).await?;

        self.apply(&batch);
        // Only the first read shows it: later ones find the entry of this incarnation.
        if !self.was_read {
            self.was_read = true;
            self.record_restart();
        }

        Ok(())
    }

    /// Records whether an earlier incarnation of this daemon has left its entry.
    fn record_restart(&mut self) {
        let mut state = FleetState::clone(&self.options.fleet.load());

        state.restarted = state.nodes.contains_key(&self.options.node);
        self.options.fleet.store(state);
    }

    /// Waits for changes and applies them, or returns as soon as this node has a new entry.
    async fn follow(&mut self) -> Result<()> {
        let store = Rc::clone(&self.options.store);
        let batch = {
            let watch = store.watch(FLEET_PREFIX, self.revision, WATCH_WAIT);
            let entry = pin!(self.entries.next());

            match select(entry, watch).await {
                Either::Left((entry, _)) => {
                    self.wanted = entry.or(self.wanted.take());
                    return Ok(());
                }
                Either::Right((batch, _)) => batch?,
            }
        };

        let changed = !batch.changed.is_empty();
        self.apply(&batch);

        if changed {
            let pause = self.random.random_range(WAKE_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }

        Ok(())
    }

    /// Writes the wanted entry if the platform holds another one. The entry is dropped if a later
    /// incarnation has published one under the same name.
    async fn write_entry(&mut self) -> Result<()> {
        let Some(entry) = self.wanted.clone() else {
            return Ok(());
        };
        let name = entry.identity.name.clone();

        let known = self.options.fleet.load().nodes.get(&name).cloned();
        if known.as_ref() == Some(&entry) {
            return Ok(());
        }

        if known.is_some_and(|known| known.identity.incarnation > entry.identity.incarnation) {
            error!(event = "name-taken", node = %name, advice = "end this daemon; a later start holds its name");
            self.wanted = None;
            return Ok(());
        }

        let key = format!("{NODES_PREFIX}{name}");
        let value = serde_json::to_string(&entry)
            .map_err(|error| CoreError::malformed(error.to_string()))?;
        let expected = self.versions.get(key.as_str()).copied().unwrap_or(0);

        match self.options.store.update(&key, &value, expected).await {
            Ok(version) => {
                info!(event = "node-published", node = %name, version);
                let stored = StoredValue {
                    key: Arc::from(key),
                    version,
                    value: Arc::from(value),
                };
                self.apply(&WatchBatch {
                    revision: self.revision,
                    changed: vec![stored],
                });

                Ok(())
            }
            Err(CoreError::VersionConflict { .. }) => self.read_all().await,
            Err(error) => Err(error),
        }
    }

    /// Applies a batch of changes to the shared state and notifies the ownership task.
    fn apply(&mut self, batch: &WatchBatch) {
        self.revision = self.revision.max(batch.revision);

        if batch.changed.is_empty() {
            return;
        }

        let mut state = FleetState::clone(&self.options.fleet.load());
        for stored in &batch.changed {
            self.apply_value(&mut state, stored);
        }

        self.options.fleet.store(state);
        self.options.ownership.tell(OwnershipCommand::FleetChanged);
    }

    /// Applies one change unless a newer version of its value is known.
    fn apply_value(&mut self, state: &mut FleetState, stored: &StoredValue) {
        let known = self.versions.get(&stored.key).copied().unwrap_or(0);
        if stored.version <= known {
            return;
        }
        self.versions
            .insert(Arc::clone(&stored.key), stored.version);

        if &*stored.key == CONFIG_KEY {
            self.apply_config(state, &stored.value);
        } else if let Some(name) = stored.key.strip_prefix(NODES_PREFIX) {
            apply_node(state, name, &stored.value);
        }
    }

    /// Puts a configuration in force if it is newer than the current one; logs an unreadable,
    /// reverted or mismatching one.
    fn apply_config(&mut self, state: &mut FleetState, value: &str) {
        let document = match serde_json::from_str(value) {
            Ok(document) => Some(document),
            Err(error) => {
                error!(event = "config-unreadable", %error, advice = "confirm a new plan");
                return;
            }
        };

        for action in self.keeper.handle(KeeperEvent::PlatformRead { document }) {
            match action {
                KeeperAction::PutInForce { document } => {
                    info!(
                        event = "config-in-force", version = document.version, plan = %document.plan
                    );
                    state.config = document;
                }
                KeeperAction::ReportReverted { found } => {
                    warn!(
                        event = "config-reverted",
                        found,
                        known = state.config.version
                    );
                }
                KeeperAction::ReportMismatch { version } => {
                    error!(
                        event = "config-mismatch",
                        version,
                        advice = "confirm a new plan"
                    );
                }
                KeeperAction::FetchFromPeer { .. }
                | KeeperAction::SendToPeer { .. }
                | KeeperAction::ReadPlatform => {}
            }
        }
    }

    /// Waits after a failed call; the pause doubles with each failure in a row.
    async fn back_off(&mut self, call: &str, error: &CoreError) {
        warn!(event = "platform-failed", call, %error, pause_ms = self.pause.as_millis());

        let jitter = self.random.random_range(0.5..1.5);
        sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}

/// Applies the entry of a node; an empty value removes the node.
fn apply_node(state: &mut FleetState, name: &str, value: &str) {
    let Ok(name) = NodeName::new(name) else {
        return;
    };

    if value.is_empty() {
        state.nodes.remove(&name);
        return;
    }

    match serde_json::from_str::<NodeEntry>(value) {
        Ok(entry) if entry.identity.name == name => {
            state.nodes.insert(name, entry);
        }
        Ok(_) => warn!(event = "node-unreadable", node = %name, error = "the entry names another"),
        Err(error) => warn!(event = "node-unreadable", node = %name, %error),
    }
}
