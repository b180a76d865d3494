//! The task that spreads the keys of a service.

use crate::{
    door::TargetDoor,
    links::NodeLinks,
    messages::{PeerRequest, ReplyBody, StoreCall, StoreOutcome},
    relay::StoreRelay,
    settings::SidecarSettings,
    view::{FleetView, read_table, table_name},
};
use bytes::Bytes;
use compio::time::{sleep, timeout};
use futures_util::future::join_all;
use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};
use tracing::{info, warn};
use wagtail_core::{objects::StoredObject, service::WorkClass, units::LocalMoment};
use wagtail_net::clock;
use wagtail_shard::{
    balance::BalanceOptions,
    planner::{PlannerOptions, RangePlanner, TargetStatus},
    table::RangeTable,
};

/// The time between two rounds.
const ROUND_TIME: Duration = Duration::from_millis(300);

/// The time for a node's answer.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// The silence of a planner of a better rank after which the next one acts.
const RANK_SILENCE: Duration = Duration::from_secs(1);

/// The age of the last answer of the store at which a planner leaves its work to others.
const STORE_SILENCE: Duration = Duration::from_secs(3);

/// `PlannerActivity` remembers which planners have asked for the state of this node's target.
#[derive(Debug, Clone, Default)]
pub struct PlannerActivity {
    asked: Rc<RefCell<HashMap<Arc<str>, LocalMoment>>>,
}

impl PlannerActivity {
    /// Takes note of a planner's question.
    pub fn asked(&self, planner: &Arc<str>, now: LocalMoment) {
        self.asked.borrow_mut().insert(Arc::clone(planner), now);
    }

    /// Returns whether a planner of a better rank, which is a lower name, has asked lately.
    fn is_led(&self, node: &str, now: LocalMoment) -> bool {
        self.asked
            .borrow()
            .iter()
            .any(|(planner, at)| **planner < *node && now.since(*at) < RANK_SILENCE)
    }
}

/// `PlannerTask` spreads the keys of the service of the target beside this node.
#[derive(Debug)]
pub struct PlannerTask {
    settings: Rc<SidecarSettings>,
    view: FleetView,
    links: NodeLinks,
    relay: StoreRelay,
    door: TargetDoor,
    watch: PlannerActivity,
}

impl PlannerTask {
    /// Makes the task.
    pub fn new(
        settings: Rc<SidecarSettings>,
        view: FleetView,
        links: NodeLinks,
        relay: StoreRelay,
        door: TargetDoor,
        watch: PlannerActivity,
    ) -> Self {
        Self {
            settings,
            view,
            links,
            relay,
            door,
            watch,
        }
    }

    /// Plans for ever, while no planner of a better rank does.
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
            sleep(ROUND_TIME).await;
            let now = clock::now();
            let acting = self.door.is_keyed()
                && !self.watch.is_led(&self.settings.node, now)
                && now.since(idle_since) >= RANK_SILENCE;
            if !self.door.is_keyed() {
                idle_since = now;
            }
            if !acting {
                // What was believed of silent nodes is out of date when the planner acts again.
                planner = None;
                continue;
            }

            let planner = planner.get_or_insert_with(|| RangePlanner::new(options, now));
            self.round(planner).await;
        }
    }

    /// Asks every node of the service and changes the table when it should change.
    async fn round(&self, planner: &mut RangePlanner) {
        let nodes: Vec<Arc<str>> = self
            .view
            .nodes_of(&self.settings.service)
            .iter()
            .map(|record| Arc::clone(&record.node))
            .collect();
        planner.set_members(&nodes, clock::now());

        let asked = nodes.iter().map(|node| self.ask(node));
        let answers = join_all(asked).await;
        let now = clock::now();
        for status in answers.into_iter().flatten() {
            planner.answered(status, now);
        }
        if now.since(self.relay.reached_at()) > STORE_SILENCE {
            self.refresh().await;
            return;
        }

        let known = self.view.table(&self.settings.service);
        let table = known.as_ref().map(|versioned| &versioned.table);
        if let Some(next) = planner.plan(table, now) {
            let revision = known.as_ref().map(|versioned| versioned.revision);
            self.write(revision, &next).await;
        }
    }

    /// Asks a node for the state of its target.
    async fn ask(&self, node: &Arc<str>) -> Option<TargetStatus> {
        if *node == self.settings.node {
            return Some(self.door.status());
        }

        let request = PeerRequest::Status {
            service: Arc::clone(&self.settings.service),
            planner: Arc::clone(&self.settings.node),
        };
        let asked = self
            .links
            .ask(node, &request, WorkClass::Short, Bytes::new());

        match timeout(STATUS_TIMEOUT, asked).await {
            Ok(Ok(answer)) => match answer.head.body {
                ReplyBody::Status(status) => Some(*status),
                _ => None,
            },
            Ok(Err(_)) | Err(_) => None,
        }
    }

    /// Writes the next table, at the revision that it was planned from.
    async fn write(&self, revision: Option<u64>, table: &RangeTable) {
        let name: Arc<str> = Arc::from(table_name(&self.settings.service));
        let content: Arc<str> = match serde_json::to_string(table) {
            Ok(content) => Arc::from(content),
            Err(error) => {
                warn!(event = "table-not-encoded", reason = %error);
                return;
            }
        };
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
                info!(event = "table-planned", revision, rows = table.rows.len());
                self.view.apply_object(StoredObject {
                    name,
                    revision,
                    content,
                });
            }
            outcome => {
                info!(event = "table-not-planned", outcome = ?outcome);
                self.refresh().await;
            }
        }
    }

    /// Reads the table anew.
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
