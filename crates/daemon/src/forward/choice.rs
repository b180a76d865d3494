//! Choosing the node to try next.

use crate::{
    forward::forwarder::{RequestForwarder, RequestRoute},
    ownership::claim_targets,
};
use wagtail_assign::placement::rank_targets;
use wagtail_core::{
    ids::{NodeName, ServiceName},
    request::RequestHead,
    slice::{KeyHash, SliceId},
    units::LocalMoment,
};
use wagtail_net::clock;
use wagtail_route::{ChoiceEvent, ChoiceMachine, ChoiceOptions, HomeChoice};

impl RequestForwarder {
    /// Returns the slice of a request to a keyed service, or `None` for other requests.
    pub(super) fn slice_of(&self, head: &RequestHead) -> Option<SliceId> {
        let fleet = self.options.fleet.load();
        let spec = fleet
            .config
            .service(&head.service)
            .filter(|spec| spec.keyed)?;
        let key = head.key.as_ref()?;
        let index = KeyHash::new(key.as_bytes()).slice_index(spec.slices);

        Some(SliceId::new(spec.name.clone(), index))
    }

    /// Returns the only target that may run a non-idempotent request, so that a retry through
    /// another ingress reaches the memory of the first attempt. Returns `None` for keyed requests,
    /// which have an owner, and for generated identifiers, which no caller knows yet.
    pub(super) fn home_of(
        &self,
        head: &RequestHead,
        slice: Option<&SliceId>,
    ) -> Option<HomeChoice> {
        if slice.is_some() || head.idempotent || head.id_generated {
            return None;
        }
        let fleet = self.options.fleet.load();
        let mut homes = self.homes.borrow_mut();

        Some(homes.home(clock::now(), &fleet, &head.service, &head.id))
    }

    /// Returns the node to try next, or `None` if none is left.
    pub(super) fn next_node(&self, head: &RequestHead, route: &RequestRoute) -> Option<NodeName> {
        match &route.home {
            Some(HomeChoice::Only(node)) => {
                return (!route.tried.contains(node)).then(|| node.clone());
            }
            Some(HomeChoice::Refused) => return None,
            None => {}
        }

        match &route.slice {
            Some(slice) => self.next_owner(slice, &route.tried),
            None => self.choose(&head.service, &route.tried),
        }
    }

    /// Returns whether a node that was not tried yet may serve the request.
    pub(super) fn has_other(&self, head: &RequestHead, route: &RequestRoute) -> bool {
        if route.home.is_some() {
            return false;
        }

        match &route.slice {
            Some(slice) => self.next_owner(slice, &route.tried).is_some(),
            None => self
                .choices
                .borrow()
                .get(&head.service)
                .is_some_and(|choice| choice.has_other(clock::now(), &route.tried)),
        }
    }

    /// Returns the untried node that most likely owns a slice: the known owner, then its
    /// deputies, then the targets in the order in which they claim a slice without a record.
    pub(super) fn next_owner(&self, slice: &SliceId, tried: &[NodeName]) -> Option<NodeName> {
        let known = self.options.view.routes().borrow().next(slice, tried);

        known.or_else(|| {
            let targets = claim_targets(&self.options.fleet.load(), &slice.service);

            rank_targets(slice, &targets)
                .into_iter()
                .find(|node| !tried.contains(node))
        })
    }

    /// Chooses an untried target of a service without keys.
    pub(super) fn choose(&self, service: &ServiceName, tried: &[NodeName]) -> Option<NodeName> {
        let now = clock::now();
        let mut choices = self.choices.borrow_mut();
        let choice = choices
            .entry(service.clone())
            .or_insert_with(|| ChoiceMachine::new(ChoiceOptions::default(), self.options.seed));

        self.update_targets(choice, service, now);

        choice.choose(now, tried)
    }

    /// Passes the targets that joined or left to a choice machine.
    pub(super) fn update_targets(
        &self,
        choice: &mut ChoiceMachine,
        service: &ServiceName,
        now: LocalMoment,
    ) {
        let fleet = self.options.fleet.load();
        let open: Vec<&NodeName> = fleet
            .targets(service)
            .filter(|entry| !fleet.is_leaving(entry))
            .map(|entry| &entry.identity.name)
            .collect();

        let gone: Vec<NodeName> = choice
            .targets()
            .map(|(node, _)| node)
            .filter(|node| !open.contains(node))
            .cloned()
            .collect();
        for node in gone {
            choice.handle(now, ChoiceEvent::Left { node });
        }

        for node in open {
            if !choice.targets().any(|(known, _)| known == node) {
                choice.handle(
                    now,
                    ChoiceEvent::Joined {
                        node: node.clone(),
                        cold: true,
                    },
                );
            }
        }
    }
}
