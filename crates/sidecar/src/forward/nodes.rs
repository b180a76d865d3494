//! The choice of the node that a request is sent to next.

use super::{ForwardJob, RequestForwarder, job::ForwardAttempts, millis};
use std::sync::Arc;
use wagtail_net::clock;
use wagtail_route::{
    pick::{MAX_DECLINES, MIN_CROWD, PickCandidate, PickRequest, may_ask_holder},
    room::{RoomOptions, RoomSearch},
};

/// The maximum number of nodes that one request is sent to before it is given up, without those that
/// declined it.
const MAX_NODES_ASKED: usize = 3;

/// Bytes per kilobyte.
const KILOBYTE: f32 = 1_024.0;

impl RequestForwarder {
    /// Returns the node to send a request to next, or `None` if it must be given up.
    pub(super) fn next_node(
        &self,
        job: &ForwardJob,
        attempts: &ForwardAttempts,
    ) -> Option<Arc<str>> {
        let tried = attempts.tried(&job.asked.borrow());
        if tried.len() >= MAX_NODES_ASKED || clock::now() >= job.deadline {
            return None;
        }
        if job.keyed {
            return self.holder(job, attempts);
        }
        if attempts
            .refusal
            .as_ref()
            .is_some_and(|refusal| !refusal.elsewhere)
        {
            return None;
        }
        // The load shows that the target was reached and had no room.
        let had_no_room = attempts
            .refusal
            .as_ref()
            .is_some_and(|refusal| refusal.load.is_some());
        if had_no_room && !self.is_search_worthwhile(job) {
            return None;
        }

        let now = clock::now();
        let may_be_cold = self.view.hosts().is_some_and(|hosts| {
            hosts
                .service(&job.dispatch_head.service)
                .is_some_and(|entry| entry.cold_rate.is_some())
        });
        let candidates: Vec<PickCandidate> = self
            .view
            .nodes_of(&job.dispatch_head.service)
            .iter()
            .filter(|record| record.ready && !self.is_evacuated(&record.zone, attempts))
            .map(|record| PickCandidate {
                node: Arc::clone(&record.node),
                remote: record.zone != self.settings.zone,
                slots: record.slots,
                cold: may_be_cold && self.picker.borrow().is_cold(&record.node, now),
            })
            .collect();
        let request = PickRequest {
            route: &job.route.name,
            answer_kb: self.response_sizes.borrow().mean(&job.route.name) / KILOBYTE,
        };

        self.picker
            .borrow_mut()
            .pick(&candidates, &tried, request, now)
    }

    /// Returns whether a zone gets no requests, as far as this node or the refusals of a request tell.
    pub(super) fn is_evacuated(&self, zone: &Arc<str>, attempts: &ForwardAttempts) -> bool {
        self.view.evacuated_since(zone).is_some() || attempts.evacuated_zones.contains(zone)
    }

    /// Returns whether all zones with targets of the service of a request are evacuated.
    pub(super) fn is_service_evacuated(
        &self,
        job: &ForwardJob,
        attempts: &ForwardAttempts,
    ) -> bool {
        let nodes = self.view.nodes_of(&job.dispatch_head.service);

        !nodes.is_empty()
            && nodes
                .iter()
                .all(|record| self.is_evacuated(&record.zone, attempts))
    }

    /// Returns the wait for a slot above which the next attempt of a request goes to another target instead,
    /// in milliseconds, or `None` if it waits in any case.
    pub(super) fn accepted_wait_ms(
        &self,
        job: &ForwardJob,
        attempts: &ForwardAttempts,
    ) -> Option<u32> {
        let may_decline = !job.keyed
            && attempts.declined.len() < MAX_DECLINES
            && self.view.nodes_of(&job.dispatch_head.service).len() >= MIN_CROWD;

        let searches =
            may_decline && (attempts.declined.is_empty() || self.is_search_worthwhile(job));
        let now = clock::now();

        searches.then(|| {
            let service = &job.dispatch_head.service;
            millis(self.with_room(service, |room| room.accepted_wait(now)))
        })
    }

    /// Returns whether a request that found no room is expected to find it at another target in time.
    fn is_search_worthwhile(&self, job: &ForwardJob) -> bool {
        let now = clock::now();
        let spent = job.waited + now.since(job.started_at);
        let objective_left = job.route.objective.saturating_sub(spent);

        self.with_room(&job.dispatch_head.service, |room| {
            room.is_worthwhile(objective_left, now)
        })
    }

    /// Calls a function with the search for room of a service, which is created on first use.
    pub(super) fn with_room<T>(
        &self,
        service: &Arc<str>,
        use_room: impl FnOnce(&mut RoomSearch) -> T,
    ) -> T {
        let mut searches = self.room.borrow_mut();
        let search = searches
            .entry(Arc::clone(service))
            .or_insert_with(|| RoomSearch::new(RoomOptions::default()));

        use_room(search)
    }

    /// Returns the node of the target that holds the key, if the request may be sent to it.
    pub(super) fn holder(&self, job: &ForwardJob, attempts: &ForwardAttempts) -> Option<Arc<str>> {
        let key = job.dispatch_head.key?;
        let holder_in_table = || {
            let versioned = self.view.table(&job.dispatch_head.service)?;
            let row = versioned.table.row(key)?;
            row.holder.as_ref().map(|holder| Arc::clone(&holder.node))
        };
        let node = attempts.holder_hint.clone().or_else(holder_in_table)?;
        let avoided = self.picker.borrow().is_avoided(&node, clock::now());

        let may_ask = may_ask_holder(
            &job.asked.borrow(),
            &node,
            attempts.record.may_have_run(),
            job.route.kind.is_idempotent(),
        );

        (!avoided && may_ask).then_some(node)
    }
}
