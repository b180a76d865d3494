//! The task that assigns the keys of a service to its targets.

use crate::{
    links::NodeLinks,
    messages::{PeerRequest, ReplyBody, StoreCall, StoreOutcome},
    proxy::TargetProxy,
    relay::StoreRelay,
    settings::SidecarSettings,
    versioned_table::{read_table, table_name},
    view::FleetView,
};
use bytes::Bytes;
use compio::time::{sleep, timeout};
use futures_util::future::join_all;
use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};
use tracing::{info, warn};
use wagtail_core::{
    objects::{StoreRevision, StoredObject},
    service::WorkClass,
    units::LocalMoment,
};
use wagtail_net::clock;
use wagtail_shard::{
    balance::BalanceOptions,
    planner::{PlannerOptions, RangePlanner, TargetStatus},
    table::RangeTable,
};

/// The pause between two planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// The timeout of a status request to another node.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// The time without a status request of any higher-ranked planner after which this one takes over.
const TAKEOVER_SILENCE: Duration = Duration::from_secs(1);

/// The age of the last store response above which a planner leaves planning to others and only
/// tries to read the table again.
const MAX_STORE_SILENCE: Duration = Duration::from_secs(3);

/// `PlannerActivity` records when the planners of other nodes last requested the status of this
/// node's target. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct PlannerActivity {
    asked: Rc<RefCell<HashMap<Arc<str>, LocalMoment>>>,
}

impl PlannerActivity {
    /// Records a status request of a planner.
    pub fn asked(&self, planner: &Arc<str>, now: LocalMoment) {
        self.asked.borrow_mut().insert(Arc::clone(planner), now);
    }

    /// Returns whether a higher-ranked planner has sent a status request recently. The lower the
    /// name of the node, the higher the rank of its planner.
    fn is_outranked(&self, node: &str, now: LocalMoment) -> bool {
        self.asked
            .borrow()
            .iter()
            .any(|(planner, at)| **planner < *node && now.since(*at) < TAKEOVER_SILENCE)
    }
}

/// `PlannerTask` assigns the keys of the service of this node's target. Every node of the service
/// runs one; normally only the highest-ranked that is alive acts.
#[derive(Debug)]
pub struct PlannerTask {
    settings: Rc<SidecarSettings>,
    view: FleetView,
    links: NodeLinks,
    relay: StoreRelay,
    proxy: TargetProxy,
    activity: PlannerActivity,
}

impl PlannerTask {
    /// Creates the task; [`PlannerTask::run`] starts it.
    pub fn new(
        settings: Rc<SidecarSettings>,
        view: FleetView,
        links: NodeLinks,
        relay: StoreRelay,
        proxy: TargetProxy,
        activity: PlannerActivity,
    ) -> Self {
        Self {
            settings,
            view,
            links,
            relay,
            proxy,
            activity,
        }
    }

    /// Plans until the process ends, while no higher-ranked planner is active. `lapse` is the time
    /// after the revocation of a row from which no grant of it can be valid any more.
    pub async fn run(&self, lapse: Duration) {
        let options = PlannerOptions {
            suspicion: Duration::from_millis(1_500),
            lapse,
            discovery_window: Duration::from_millis(1_500),
            min_move_interval: Duration::from_secs(3),
            overload_move_interval: Duration::from_millis(1_200),
            balance: BalanceOptions::default(),
        };
        let mut planner: Option<RangePlanner> = None;
        let mut idle_since = clock::now();

        loop {
            sleep(ROUND_INTERVAL).await;
            let now = clock::now();
            let acting = self.proxy.is_keyed()
                && !self.activity.is_outranked(&self.settings.node, now)
                && now.since(idle_since) >= TAKEOVER_SILENCE;
            if !self.proxy.is_keyed() {
                idle_since = now;
            }
            if !acting {
                // The state of the other nodes would be outdated when this planner acts again.
                planner = None;
                continue;
            }

            let planner = planner.get_or_insert_with(|| RangePlanner::new(options, now));
            self.round(planner).await;
        }
    }

    /// Requests the status of every node of the service and writes a new table if the plan changes.
    async fn round(&self, planner: &mut RangePlanner) {
        let nodes: Vec<Arc<str>> = self
            .view
            .nodes_of(&self.settings.service)
            .iter()
            .map(|record| Arc::clone(&record.node))
            .collect();
        planner.set_members(&nodes, clock::now());

        let asked = nodes.iter().map(|node| self.ask(node));
        let statuses = join_all(asked).await;
        let now = clock::now();
        for mut status in statuses.into_iter().flatten() {
            // The node beside the target may not know of the evacuation of its zone yet.
            let record = self.view.node(&status.node);
            status.ready &= record.is_none_or(|record| !self.is_evacuated(&record.zone));
            planner.answered(status, now);
        }
        if now.since(self.relay.reached_at()) > MAX_STORE_SILENCE {
            self.refresh().await;
            return;
        }

        let known = self.view.table(&self.settings.service);
        let table = known.as_ref().map(|versioned| &versioned.table);
        let revision = known.as_ref().map(|versioned| versioned.revision);
        let latest = revision.unwrap_or_else(|| self.view.versions().fleet);
        if let Some(next) = planner.plan(table, latest, now) {
            self.write(revision, &next).await;
        }
    }

    /// Returns whether a zone is evacuated, so that its targets hold no keys.
    fn is_evacuated(&self, zone: &str) -> bool {
        self.view.evacuated_since(zone).is_some()
    }

    /// Requests the status of a node's target. Returns `None` if the node does not respond in time.
    async fn ask(&self, node: &Arc<str>) -> Option<TargetStatus> {
        if *node == self.settings.node {
            return Some(self.proxy.status());
        }

        let request = PeerRequest::Status {
            service: Arc::clone(&self.settings.service),
            planner: Arc::clone(&self.settings.node),
        };
        let asked = self
            .links
            .ask(node, &request, WorkClass::Short, Bytes::new());

        match timeout(STATUS_TIMEOUT, asked).await {
            Ok(Ok(response)) => match response.head.body {
                ReplyBody::Status(status) => Some(*status),
                _ => None,
            },
            Ok(Err(_)) | Err(_) => None,
        }
    }

    /// Writes the next table, provided that the stored one is still at the revision that it was
    /// planned from.
    async fn write(&self, revision: Option<StoreRevision>, table: &RangeTable) {
        let name: Arc<str> = Arc::from(table_name(&self.settings.service));
        let content: Arc<str> = match serde_json::to_string(table) {
            Ok(content) => Arc::from(content),
            Err(error) => {
                warn!(event = "table-not-encoded", reason = %error);
                return;
            }
        };
        let expected = revision.unwrap_or(StoreRevision::ZERO);
        let call = match revision {
            Some(revision) => StoreCall::Replace {
                name: Arc::clone(&name),
                revision,
                content: Arc::clone(&content),
            },
            None => StoreCall::Create {
                name: Arc::clone(&name),
                content: Arc::clone(&content),
            },
        };

        match self.relay.call(&call).await {
            StoreOutcome::Written(revision) => {
                info!(event = "table-planned", %expected, %revision, rows = table.rows.len());
                self.view.apply_object(StoredObject {
                    name,
                    revision,
                    content,
                });
            }
            outcome => {
                info!(event = "table-not-planned", %expected, outcome = ?outcome);
                self.refresh().await;
            }
        }
    }

    /// Reads the table from the store again.
    async fn refresh(&self) {
        let name: Arc<str> = Arc::from(table_name(&self.settings.service));
        let call = StoreCall::Get { name };

        if let StoreOutcome::Object(object) = self.relay.call(&call).await
            && read_table(&object).is_ok()
        {
            self.view.apply_object(object);
        }
    }
}
