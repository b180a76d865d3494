//! What an attempt tells of owners and targets.

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
    /// Learns from an outcome where the requests of a slice go, and how a target stands.
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
            None if route.home.is_none() => self.learn_standing(head, node, outcome, took),
            None => {}
        }
    }

    /// Learns the owner of a slice.
    pub(super) fn learn_owner(
        &self,
        slice: &SliceId,
        node: &NodeName,
        outcome: &Result<TargetResponse>,
    ) {
        let Ok(answer) = outcome else {
            return;
        };
        let mut routes = self.options.view.routes().borrow_mut();

        match answer.head.refusal.as_deref() {
            None => routes.learn_answer(slice, node, answer.head.epoch),
            Some(NOT_OWNER) => {
                let owner = answer.head.owner.as_ref();
                routes.learn_refusal(slice, node, owner, answer.head.epoch);
            }
            Some(_) => {}
        }
    }

    /// Learns how a target stands.
    pub(super) fn learn_standing(
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
            .and_then(|answer| answer.head.load)
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
