//! The tasks that follow the store, at the store itself or through a node that watches it.

use crate::{
    links::NodeLinks,
    messages::{FollowedChanges, PeerRequest, ReplyBody},
    ports::WireDialect,
    view::{FLEET_KIND, FleetView},
    watching::WatchRelay,
};
use bytes::Bytes;
use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{cell::RefCell, collections::BTreeSet, pin::pin, rc::Rc, sync::Arc, time::Duration};
use tracing::{info, warn};
use wagtail_core::{
    objects::{ObjectChanges, ObjectStore, Result, StoreError, StoredObject},
    service::WorkClass,
    units::LocalMoment,
};
use wagtail_net::clock;
use wagtail_route::watchers::{SourceFailure, WatchSource, WatcherChoice};

/// The longest wait of one watch. A newer version that another node knows ends it early.
const WATCH_TIME: Duration = Duration::from_secs(20);

/// The time for which an answer of a watching node may be late. A connection that goes silent ends
/// sooner.
const FOLLOW_SLACK: Duration = Duration::from_secs(1);

/// The pause after changes, in which further ones gather. A node that acts on an old table is told
/// so by the node that it asks.
const GATHER_TIME: Duration = Duration::from_millis(150);

/// The shortest pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The time between two looks at what other nodes know.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// The time that the store's own notice of a change may take before it is read anew.
const NOTICE_TIME: Duration = Duration::from_millis(300);

/// The mean time between two questions to other nodes for the versions that they know.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);

/// The time for asking one node for what it knows.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(400);

/// `DirectoryOptions` are the collaborators of the task.
#[derive(Debug, Clone)]
pub struct DirectoryOptions {
    /// This node.
    pub node: Arc<str>,
    /// The availability zone of this node.
    pub zone: Arc<str>,
    /// The store.
    pub store: Rc<dyn ObjectStore>,
    /// The format of the configuration.
    pub dialect: Rc<dyn WireDialect>,
    /// The view to keep up to date.
    pub view: FleetView,
    /// The other nodes, which are asked when the store gives no answer.
    pub links: NodeLinks,
    /// What is passed on to the nodes that follow this one.
    pub watching: WatchRelay,
    /// The seed of the pauses.
    pub seed: u64,
}

/// `FollowedKind` is a kind of objects that the node follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FollowedKind {
    Config,
    Fleet,
}

/// `StoreFollower` follows one kind.
#[derive(Debug)]
struct StoreFollower {
    options: DirectoryOptions,
    followed: FollowedKind,
    kind: &'static str,
    choice: WatcherChoice,
    source: RefCell<WatchSource>,
    random: RefCell<ChaCha8Rng>,
}

/// Spawns the tasks that follow the configuration and the fleet.
pub fn spawn(options: &DirectoryOptions) {
    let (config_kind, _) = options.dialect.config_object();
    let kinds = [
        (FollowedKind::Config, config_kind),
        (FollowedKind::Fleet, FLEET_KIND),
    ];

    for (followed, kind) in kinds {
        let follower = StoreFollower {
            options: options.clone(),
            followed,
            kind,
            choice: WatcherChoice::new(Arc::clone(&options.node)),
            source: RefCell::new(WatchSource::Store),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(options.seed ^ kind.len() as u64)),
        };
        compio::runtime::spawn(async move { follower.run().await }).detach();
    }

    compio::runtime::spawn(compare_versions(options.clone())).detach();
}

/// Asks other nodes in turn for the versions that they know, so that a node whose source went
/// silent learns of it also while it sends them no requests.
async fn compare_versions(options: DirectoryOptions) {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);

    loop {
        sleep(COMPARE_INTERVAL.mul_f64(random.random_range(0.5..1.5))).await;
        let nodes = options.view.nodes();
        let others: Vec<&Arc<str>> = nodes
            .iter()
            .filter(|record| record.ready && record.node != options.node)
            .map(|record| &record.node)
            .collect();
        if others.is_empty() {
            continue;
        }

        let node = others[random.random_range(0..others.len())];
        let asked = options
            .links
            .ask(node, &PeerRequest::Versions, WorkClass::Short, Bytes::new());
        // The versions come with any answer; a node that gives none is found by its callers.
        drop(timeout(SNAPSHOT_TIMEOUT, asked).await);
    }
}

impl StoreFollower {
    /// Follows the kind for ever.
    async fn run(&self) {
        let mut revision = None;
        let mut failures = 0;

        loop {
            match self.step(revision).await {
                Ok(next) => {
                    if failures > 0 {
                        info!(event = "store-followed", kind = self.kind, failures);
                    }
                    failures = 0;
                    revision = Some(next);
                }
                Err(StoreError::HistoryGone) => {
                    revision = None;
                    // What this node passes on may be old until it has read everything.
                    self.options.watching.set_watched(self.kind, false);
                }
                Err(error) => {
                    if failures == 0 {
                        warn!(event = "store-not-followed", kind = self.kind, reason = %error);
                    }
                    failures += 1;
                    revision = None;
                    self.options.watching.set_watched(self.kind, false);
                    self.ask_peer().await;
                    sleep(self.pause(failures)).await;
                }
            }
        }
    }

    /// Learns the next changes from the source that is chosen now. Returns the revision to go on
    /// from.
    async fn step(&self, revision: Option<u64>) -> Result<u64> {
        let Some(known) = revision else {
            return self.list().await;
        };

        let source = self.choose_source();
        self.options
            .watching
            .set_watched(self.kind, source == WatchSource::Store);
        match source {
            WatchSource::Store => self.watch(known).await,
            WatchSource::Node(node) => self.follow(&node, known).await,
        }
    }

    /// Reads everything from the store.
    async fn list(&self) -> Result<u64> {
        let list = self.options.store.list(self.kind).await?;
        self.apply_list(list.objects, list.revision);

        Ok(list.revision)
    }

    /// Waits for changes at the store.
    async fn watch(&self, revision: u64) -> Result<u64> {
        let changes = {
            let watch = pin!(self.options.store.watch(self.kind, revision, WATCH_TIME));
            let behind = pin!(self.until_behind());

            match select(watch, behind).await {
                Either::Left((changes, _)) => changes?,
                // Another node knows more: the watch may have gone silent.
                Either::Right(((), _)) => return Err(StoreError::HistoryGone),
            }
        };

        let next = changes.revision.max(revision);
        if !changes.changes.is_empty() {
            self.apply_changes(changes);
            sleep(GATHER_TIME).await;
        }

        Ok(next)
    }

    /// Waits for changes that a watching node passes on.
    async fn follow(&self, node: &Arc<str>, revision: u64) -> Result<u64> {
        let request = PeerRequest::Follow {
            kind: Arc::from(self.kind),
            revision,
            wait_ms: u32::try_from(WATCH_TIME.as_millis()).unwrap_or(u32::MAX),
        };
        let asked = self
            .options
            .links
            .ask(node, &request, WorkClass::Short, Bytes::new());
        let limited = pin!(timeout(WATCH_TIME + FOLLOW_SLACK, asked));

        let answer = match select(limited, pin!(self.until_behind())).await {
            Either::Left((answer, _)) => answer,
            Either::Right(((), _)) => {
                // The node knows less than others: its own watch may have gone silent.
                self.leave_source(node, SourceFailure::NotWatching);
                return Err(StoreError::HistoryGone);
            }
        };
        let failure = match answer {
            Ok(Ok(answer)) => match answer.head.body {
                ReplyBody::Changes(Some(changes)) => {
                    return Ok(self.apply_followed(changes, revision));
                }
                _ => SourceFailure::NotWatching,
            },
            Ok(Err(_)) | Err(_) => SourceFailure::Unreachable,
        };
        self.leave_source(node, failure);

        Ok(revision)
    }

    /// Leaves a node that is of no use as a source.
    fn leave_source(&self, node: &Arc<str>, failure: SourceFailure) {
        info!(event = "watcher-avoided", kind = self.kind, node = %node, reason = ?failure);
        self.choice.avoid(node, failure, clock::now());
    }

    /// Chooses where to learn of the next changes.
    fn choose_source(&self) -> WatchSource {
        let zone_nodes: BTreeSet<Arc<str>> = self
            .options
            .view
            .nodes()
            .iter()
            .filter(|record| record.ready && record.zone == self.options.zone)
            .map(|record| Arc::clone(&record.node))
            .collect();
        let source = self.choice.choose(&zone_nodes, clock::now());

        let before = self.source.replace(source.clone());
        if before != source {
            info!(event = "watch-source-chosen", kind = self.kind, source = ?source, before = ?before);
        }

        source
    }

    /// Takes what a watching node passed on. Returns the revision to go on from.
    fn apply_followed(&self, changes: FollowedChanges, revision: u64) -> u64 {
        let next = changes.revision.max(revision);

        match self.followed {
            FollowedKind::Config => changes
                .objects
                .iter()
                .for_each(|object| self.apply_config(object)),
            FollowedKind::Fleet => self.options.view.apply_followed(changes),
        }

        next
    }

    /// Waits until other nodes have known more than this one for a while.
    async fn until_behind(&self) {
        loop {
            sleep(LOOK_INTERVAL).await;
            let since = match self.followed {
                FollowedKind::Config => self.options.view.config_behind_since(),
                FollowedKind::Fleet => self.options.view.fleet_behind_since(),
            };
            if since.is_some_and(|since: LocalMoment| clock::now().since(since) >= NOTICE_TIME) {
                return;
            }
        }
    }

    /// Takes a whole list.
    fn apply_list(&self, objects: Vec<StoredObject>, revision: u64) {
        match self.followed {
            FollowedKind::Config => objects.iter().for_each(|object| self.apply_config(object)),
            FollowedKind::Fleet => self.options.view.apply_list(objects, revision),
        }
    }

    /// Takes changes.
    fn apply_changes(&self, changes: ObjectChanges) {
        match self.followed {
            FollowedKind::Config => {
                let kept = changes.changes.iter().filter(|change| !change.deleted);
                kept.for_each(|change| self.apply_config(&change.object));
            }
            FollowedKind::Fleet => {
                self.options
                    .view
                    .apply_changes(changes.changes, changes.revision);
            }
        }
    }

    /// Puts a configuration in force when it is one and newer.
    fn apply_config(&self, object: &StoredObject) {
        let (_, name) = self.options.dialect.config_object();
        if *object.name != *name {
            return;
        }

        match self.options.dialect.read_config(&object.content) {
            Ok(config) => {
                self.options.view.apply_config(object, &config);
            }
            Err(error) => warn!(
                event = "config-ignored", revision = object.revision, reason = %error
            ),
        }
    }

    /// Takes over what another node knows.
    async fn ask_peer(&self) {
        let nodes = self.options.view.nodes();
        let others: Vec<&Arc<str>> = nodes
            .iter()
            .filter(|record| record.node != self.options.node)
            .map(|record| &record.node)
            .collect();
        if others.is_empty() {
            return;
        }

        let peer = others[self.random.borrow_mut().random_range(0..others.len())];
        let request = PeerRequest::Snapshot {
            kind: Arc::from(self.kind),
        };
        let asked = self
            .options
            .links
            .ask(peer, &request, WorkClass::Short, Bytes::new());

        if let Ok(Ok(answer)) = timeout(SNAPSHOT_TIMEOUT, asked).await
            && let ReplyBody::Snapshot { revision, objects } = answer.head.body
            && revision > 0
        {
            match self.followed {
                FollowedKind::Config => objects.iter().for_each(|object| self.apply_config(object)),
                // The peer's list may be older than what this node knows of some objects.
                FollowedKind::Fleet => objects
                    .into_iter()
                    .for_each(|object| self.options.view.apply_object(object)),
            }
        }
    }

    /// Returns the pause after a number of failures in a row.
    fn pause(&self, failures: u32) -> Duration {
        let longest = (MIN_PAUSE * 2_u32.saturating_pow(failures.min(6))).min(MAX_PAUSE);

        longest.mul_f64(self.random.borrow_mut().random_range(0.5..1.0))
    }
}
