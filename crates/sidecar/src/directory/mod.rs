//! Tasks that keep the [`FleetView`] up to date, from the store itself or from a node that watches
//! it.

mod applying;

use crate::{
    evacuations::{EvacuationFollower, EvacuationOptions},
    links::NodeLinks,
    messages::{PeerRequest, ReplyBody},
    ports::WireDialect,
    view::{FLEET_KIND, FleetView},
    watching::WatchRelay,
};
use bytes::Bytes;
use compio::time::{sleep, timeout};
use futures_util::future::{Either, join, select};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{cell::RefCell, collections::BTreeSet, pin::pin, rc::Rc, sync::Arc, time::Duration};
use thiserror::Error;
use tracing::{info, warn};
use wagtail_core::{
    objects::{ObjectStore, StoreError, StoreRevision},
    service::WorkClass,
    units::LocalMoment,
};
use wagtail_net::clock;
use wagtail_route::watchers::{SourceFailure, WatchSource, WatcherChoice};

/// The longest wait of one watch of the fleet. It ends early when another node knows a newer version.
const FLEET_WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The longest wait of one watch of the configuration. A connection that went silent shows only as a
/// response that does not come. It must be found, and the configuration listed, within the three
/// seconds after which a failure no longer excuses an old configuration.
const CONFIG_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest wait of one watch of the evacuated zones, which bounds how late a silent connection is
/// found.
const EVACUATION_WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest time for which a node waits for changes from another one.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(20);

/// The extra time for a watching node to respond after [`FOLLOW_TIMEOUT`]. A connection that goes
/// silent is ended sooner.
const FOLLOW_SLACK: Duration = Duration::from_secs(1);

/// The delay after changes, so that the next watch returns further ones in a batch. A node that
/// acts on an outdated table meanwhile is corrected by the node that it sends the request to.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// The base of the exponential back-off after failed calls.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The longest back-off after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The interval of the checks whether other nodes know newer versions.
const BEHIND_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The time that a change known to other nodes may take to arrive from the source of this node,
/// before everything is read again.
const NOTIFICATION_GRACE: Duration = Duration::from_millis(300);

/// The mean time between two requests to other nodes for the versions that they know.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of a request to another node for its versions or a snapshot.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// `DirectoryOptions` holds what the tasks need: the sources of changes and the view to update.
#[derive(Debug, Clone)]
pub struct DirectoryOptions {
    /// The name of this node.
    pub node: Arc<str>,
    /// The availability zone of this node.
    pub zone: Arc<str>,
    /// The object store that is followed.
    pub store: Rc<dyn ObjectStore>,
    /// The translator that names the configuration object and parses it.
    pub dialect: Rc<dyn WireDialect>,
    /// The view that is kept up to date.
    pub view: FleetView,
    /// The connections to the other nodes: sources of changes, and of snapshots while the store
    /// does not respond.
    pub links: NodeLinks,
    /// The relay that passes changes on to the nodes that follow this one.
    pub watching: WatchRelay,
    /// The options of the evacuated zones, `None` if zones are not evacuated.
    pub evacuations: Option<EvacuationOptions>,
    /// The seed for random delays and for the choice of the nodes that are asked.
    pub seed: u64,
}

/// `FollowedKind` is a kind of stored objects that the node follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FollowedKind {
    Config,
    Fleet,
    Evacuations,
}

/// `Result` is the result of one step of following a kind.
type Result<T, E = FollowError> = std::result::Result<T, E>;

/// `FollowError` is the reason why a kind must be listed anew.
#[derive(Debug)]
#[derive(Error)]
enum FollowError {
    /// The store failed, or no longer has the changes after the known revision.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Other nodes know newer versions than the source has told of.
    #[error("other nodes know newer versions")]
    Behind,
}

/// `StoreFollower` follows the changes of one kind of objects.
#[derive(Debug)]
struct StoreFollower {
    options: DirectoryOptions,
    followed: FollowedKind,
    kind: &'static str,
    choice: WatcherChoice,
    source: RefCell<WatchSource>,
    random: RefCell<ChaCha8Rng>,
}

/// Spawns the tasks that follow the configuration and the fleet, and the one that polls the
/// versions of other nodes.
pub fn spawn(options: &DirectoryOptions) {
    let (config_kind, _) = options.dialect.config_object();
    let mut kinds = vec![
        (FollowedKind::Config, config_kind),
        (FollowedKind::Fleet, FLEET_KIND),
    ];
    if let Some(evacuations) = options.evacuations {
        let kind = options.dialect.evacuation_kind();
        options.view.evacuations().set_kind(kind);
        kinds.push((FollowedKind::Evacuations, kind));
        let follower = EvacuationFollower {
            view: options.view.clone(),
            links: options.links.clone(),
            store: Rc::clone(&options.store),
            node: Arc::clone(&options.node),
            kind,
            options: evacuations,
        };
        compio::runtime::spawn(follower.run()).detach();
    }

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

    compio::runtime::spawn(poll_peer_versions(options.clone())).detach();
}

/// Asks a random node at intervals for the versions that it knows, so that this node notices that
/// its source went silent even while it sends no other requests.
async fn poll_peer_versions(options: DirectoryOptions) {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);

    loop {
        sleep(VERSION_POLL_INTERVAL.mul_f64(random.random_range(0.5..1.5))).await;
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
        let pending =
            options
                .links
                .ask(node, &PeerRequest::Versions, WorkClass::Short, Bytes::new());
        // `NodeLinks` records the versions, which come with every response. A node that does not
        // respond is detected by the requests that are sent to it.
        drop(timeout(PEER_TIMEOUT, pending).await);
    }
}

impl StoreFollower {
    /// Follows the kind until the process ends.
    async fn run(&self) {
        let mut revision = None;
        let mut failures = 0;
        // The lists in a row after which this node still lacked what others know.
        let mut vain_lists = 0;
        let mut answered_at = clock::now();

        loop {
            let is_list = revision.is_none();
            match self.step(revision).await {
                Ok(next) => {
                    answered_at = clock::now();
                    if failures > 0 {
                        info!(event = "store-followed", kind = self.kind, failures);
                    }
                    failures = 0;
                    if !is_list {
                        vain_lists = 0;
                    }
                    revision = Some(next);
                }
                Err(FollowError::Store(StoreError::HistoryGone)) => {
                    revision = None;
                    // Until it has read everything, this node may pass on outdated objects.
                    self.options.watching.set_watched(self.kind, false);
                }
                Err(FollowError::Behind) => {
                    revision = None;
                    self.options.watching.set_watched(self.kind, false);
                    if vain_lists > 0 {
                        sleep(self.backoff(vain_lists)).await;
                    }
                    vain_lists += 1;
                }
                Err(FollowError::Store(error)) => {
                    if failures == 0 {
                        warn!(
                            event = "store-not-followed", kind = self.kind, revision = ?revision,
                            answered_ms_ago = clock::now().since(answered_at).as_millis(),
                            reason = %error
                        );
                    }
                    failures += 1;
                    revision = None;
                    self.options.watching.set_watched(self.kind, false);
                    // The first failure is often that of a connection, which the next call replaces.
                    if failures > 1 {
                        self.apply_peer_snapshot(self.random_peer()).await;
                        sleep(self.backoff(failures)).await;
                    }
                }
            }
        }
    }

    /// Applies the next changes from the source that is chosen now; without a known revision it
    /// lists everything. Returns the revision to continue from.
    async fn step(&self, revision: Option<StoreRevision>) -> Result<StoreRevision> {
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

    /// Reads all objects of the kind from the store. Returns the revision of the list.
    ///
    /// A node that lacks a configuration asks one that has it as well: the store may hold an older one,
    /// when it has returned from a copy, or be slower to reach.
    async fn list(&self) -> Result<StoreRevision> {
        let list = self.options.store.list(self.kind);
        let list = match self.followed {
            FollowedKind::Config => {
                let newest = self.options.view.newest_config_node();
                join(list, self.apply_peer_snapshot(newest)).await.0?
            }
            FollowedKind::Fleet | FollowedKind::Evacuations => list.await?,
        };
        info!(
            event = "store-listed",
            kind = self.kind,
            revision = %list.revision,
            objects = list.objects.len()
        );
        self.apply_list(list.objects, list.revision);

        Ok(list.revision)
    }

    /// Waits for changes at the store and applies them. Returns the revision to continue from.
    async fn watch(&self, revision: StoreRevision) -> Result<StoreRevision> {
        let wait = match self.followed {
            FollowedKind::Config => CONFIG_WATCH_TIMEOUT,
            FollowedKind::Fleet => FLEET_WATCH_TIMEOUT,
            FollowedKind::Evacuations => EVACUATION_WATCH_TIMEOUT,
        };
        let changes = {
            let watch = pin!(self.options.store.watch(self.kind, revision, wait));
            let behind = pin!(self.wait_until_behind(revision));

            match select(watch, behind).await {
                Either::Left((changes, _)) => changes?,
                // Another node knows a newer version, so this watch may have gone silent.
                Either::Right(((), _)) => {
                    self.log_behind(&WatchSource::Store, revision);
                    return Err(FollowError::Behind);
                }
            }
        };

        let next = changes.revision.max(revision);
        let is_empty = changes.changes.is_empty();
        if !is_empty || self.followed == FollowedKind::Evacuations {
            self.apply_changes(changes);
        }
        if !is_empty {
            sleep(BATCH_DELAY).await;
        }

        Ok(next)
    }

    /// Waits for changes that a watching node passes on and applies them. Returns the revision to
    /// continue from.
    async fn follow(&self, node: &Arc<str>, revision: StoreRevision) -> Result<StoreRevision> {
        let response = match self.ask_for_changes(node, revision).await? {
            // The connection may have gone silent or been closed, which says nothing of the node.
            Err(_) => self.ask_for_changes(node, revision).await?,
            response => response,
        };

        let failure = match response {
            Ok(ReplyBody::Changes(Some(packed))) => match packed.unpack() {
                Ok(changes) => return Ok(self.apply_followed(changes, revision)),
                Err(error) => {
                    warn!(
                        event = "changes-ignored", kind = self.kind, node = %node, reason = %error
                    );
                    SourceFailure::NotWatching
                }
            },
            Ok(_) => SourceFailure::NotWatching,
            Err(failure) => failure,
        };
        self.avoid_source(node, failure);

        Ok(revision)
    }

    /// Asks a watching node for the changes after a revision and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails when other nodes turn out to know newer versions.
    async fn ask_for_changes(
        &self,
        node: &Arc<str>,
        revision: StoreRevision,
    ) -> Result<std::result::Result<ReplyBody, SourceFailure>> {
        let request = PeerRequest::Follow {
            kind: Arc::from(self.kind),
            revision,
            wait_ms: u32::try_from(FOLLOW_TIMEOUT.as_millis()).unwrap_or(u32::MAX),
        };
        let pending = self
            .options
            .links
            .ask(node, &request, WorkClass::Short, Bytes::new());
        let limited = pin!(timeout(FOLLOW_TIMEOUT + FOLLOW_SLACK, pending));

        match select(limited, pin!(self.wait_until_behind(revision))).await {
            Either::Left((Ok(Ok(response)), _)) => Ok(Ok(response.head.body)),
            Either::Left(_) => Ok(Err(SourceFailure::Unreachable)),
            Either::Right(((), _)) => {
                self.log_behind(&WatchSource::Node(Arc::clone(node)), revision);
                if self.options.view.newest_era() == revision.era {
                    // Others know more of the same era, so the watch of the node may be silent.
                    self.avoid_source(node, SourceFailure::NotWatching);
                }
                Err(FollowError::Behind)
            }
        }
    }

    /// Avoids a node as a source for a while, after it failed as one.
    fn avoid_source(&self, node: &Arc<str>, failure: SourceFailure) {
        info!(event = "watcher-avoided", kind = self.kind, node = %node, reason = ?failure);
        self.choice.avoid(node, failure, clock::now());
    }

    /// Logs that other nodes know newer versions than this one, which follows `source` from
    /// `revision` on.
    fn log_behind(&self, source: &WatchSource, revision: StoreRevision) {
        let (own, others) = (
            self.options.view.versions(),
            self.options.view.peer_versions(),
        );

        info!(
            event = "behind-others",
            kind = self.kind,
            source = ?source,
            %revision,
            config = own.config,
            fleet = %own.fleet,
            others_config = others.config,
            others_fleet = %others.fleet
        );
    }

    /// Chooses the source of the next changes, and logs a new choice.
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

    /// Waits until other nodes have known newer versions than this one for [`NOTIFICATION_GRACE`], or
    /// until the store is known to have returned from a copy since `revision`.
    async fn wait_until_behind(&self, revision: StoreRevision) {
        loop {
            sleep(BEHIND_CHECK_INTERVAL).await;
            if self.options.view.newest_era() > revision.era {
                return;
            }
            let since = match self.followed {
                FollowedKind::Config => self.options.view.config_behind_since(),
                FollowedKind::Fleet => self.options.view.fleet_behind_since(),
                FollowedKind::Evacuations => self.options.view.evacuations().behind_since(),
            };
            if since
                .is_some_and(|since: LocalMoment| clock::now().since(since) >= NOTIFICATION_GRACE)
            {
                return;
            }
        }
    }

    /// Returns a random other node.
    fn random_peer(&self) -> Option<Arc<str>> {
        let nodes = self.options.view.nodes();
        let others: Vec<&Arc<str>> = nodes
            .iter()
            .filter(|record| record.node != self.options.node)
            .map(|record| &record.node)
            .collect();

        (!others.is_empty())
            .then(|| Arc::clone(others[self.random.borrow_mut().random_range(0..others.len())]))
    }

    /// Returns the back-off after a number of consecutive failures, with random jitter.
    fn backoff(&self, failures: u32) -> Duration {
        let longest = (MIN_BACKOFF * 2_u32.saturating_pow(failures.min(6))).min(MAX_BACKOFF);

        longest.mul_f64(self.random.borrow_mut().random_range(0.5..1.0))
    }
}
