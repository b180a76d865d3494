//! Targets that leave: what they announce is stored before it is acknowledged.

use super::{DEPARTURE_CHECK_INTERVAL, HeartbeatHandler, MAX_LEAVE_WAIT, error_response};
use hyper::{Response, StatusCode};
use std::sync::Arc;
use tracing::{info, warn};
use wagtail_core::heartbeat::{HeartbeatReply, TargetDeparture};
use wagtail_net::{clock, server::ServerBody};
use wagtail_shard::departures::DepartureList;

impl HeartbeatHandler {
    /// Records that a target is leaving. If no heartbeat of it has arrived yet, one that arrives
    /// late does not bring it into service. The leave is acknowledged once the store holds it, so
    /// that it outlasts this process; until then the target is asked to repeat it.
    pub(super) async fn handle_leave(&self, target_id: &Arc<str>) -> Response<ServerBody> {
        let life = self
            .proxy
            .with_keeper(|keeper| keeper.life().filter(|life| life.id == *target_id).cloned());
        info!(event = "leave-received", target = %target_id, is_current = life.is_some());

        let departure = life.as_ref().map_or_else(
            || TargetDeparture {
                id: Arc::clone(target_id),
                started_until_ms: clock::unix_millis(),
            },
            TargetDeparture::from,
        );
        self.proxy
            .with_keeper(|keeper| keeper.depart(departure.clone()));
        if life.is_some() {
            self.proxy.leave(clock::now());
        }
        self.record.publish(self.own_record());

        let is_stored = || self.stores_departures(|stored| stored.includes(&departure));
        if self.view.until(MAX_LEAVE_WAIT, is_stored).await {
            self.reply(&HeartbeatReply::default())
        } else {
            warn!(event = "leave-not-recorded", target = %target_id);
            error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the store does not hold the departure yet",
            )
        }
    }

    /// Returns whether the departures that the store holds for this node meet a condition.
    pub(super) fn stores_departures(&self, condition: impl FnOnce(&DepartureList) -> bool) -> bool {
        self.view
            .node(&self.settings.node)
            .is_some_and(|record| condition(&record.departures))
    }

    /// Takes the target out of service if the store holds a departure of it that this process did not
    /// know of at its first heartbeat. Runs until it is dropped.
    pub async fn watch_departures(&self) {
        let covers_target = |stored: &DepartureList| {
            self.proxy
                .with_keeper(|keeper| keeper.life().is_some_and(|life| stored.covers(life)))
        };
        let has_departed = || !self.proxy.is_leaving() && self.stores_departures(covers_target);

        loop {
            if self
                .view
                .until(DEPARTURE_CHECK_INTERVAL, has_departed)
                .await
            {
                self.merge_departures();
                self.proxy.leave_at_once(clock::now());
                self.record.publish(self.own_record());
            }
        }
    }

    /// Publishes the record of this node whenever the target states its leave in a response, so that the
    /// departure outlasts this process. Runs until it is dropped.
    pub async fn watch_stated_leave(&self) {
        loop {
            let stated = self.proxy.stated_leave();
            if self.proxy.is_leaving() {
                self.record.publish(self.own_record());
            }
            stated.await;
        }
    }

    /// Takes over the departures that the store holds for this node.
    pub(super) fn merge_departures(&self) {
        if let Some(record) = self.view.node(&self.settings.node) {
            self.proxy
                .with_keeper(|keeper| keeper.merge_departures(&record.departures));
        }
    }
}
