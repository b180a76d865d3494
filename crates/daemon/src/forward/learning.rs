//! Learning the owners of slices and the health of targets from attempts.

use crate::forward::{
    forwarder::{RequestForwarder, RequestRoute},
    outcome::{NOT_OWNER, attempt_result, load_hint},
};
use std::time::Duration;
use wagtail_core::{
    Result, ids::NodeName, ports::TargetResponse, request::RequestHead, slice::SliceId,
};
use wagtail_net::clock;
use wagtail_route::ChoiceEvent;

impl RequestForwarder {
    /// Updates the route of the slice or the health of the target from the outcome of an attempt.
    pub(super) fn learn(
        &self,
        head: &RequestHead,
        node: &NodeName,
        route: &RequestRoute,
        outcome: &Result<TargetResponse>,
        took: Duration,
    ) {
        match &route.slice {
            Some(slice) => self.learn_owner(slice, node, outcome),
            None if route.home.is_none() => self.learn_health(head, node, outcome, took),
            None => {}
        }
    }

    /// Updates the route of a slice from the outcome of an attempt.
    pub(super) fn learn_owner(
        &self,
        slice: &SliceId,
        node: &NodeName,
        outcome: &Result<TargetResponse>,
    ) {
        let Ok(response) = outcome else {
            return;
        };
        let mut routes = self.options.view.routes().borrow_mut();

        match response.head.refusal.as_deref() {
            None => routes.learn_answer(slice, node, response.head.epoch),
            Some(NOT_OWNER) => {
                let owner = response.head.owner.as_ref();
                routes.learn_refusal(slice, node, owner, response.head.epoch);
            }
            Some(_) => {}
        }
    }

    /// Updates the health and the load of a target from the outcome of an attempt.
    pub(super) fn learn_health(
        &self,
        head: &RequestHead,
        node: &NodeName,
        outcome: &Result<TargetResponse>,
        took: Duration,
    ) {
        let result = attempt_result(outcome);
        let hint = outcome
            .as_ref()
            .ok()
            .and_then(|response| response.head.load)
            .map(load_hint);

        if let Some(choice) = self.choices.borrow_mut().get_mut(&head.service) {
            let ended = ChoiceEvent::Ended {
                node: node.clone(),
                result,
                took,
                hint,
            };
            choice.handle(clock::now(), ended);
        }
    }
}
