//! What the other tasks may know of the leases.

use std::{cell::RefCell, collections::BTreeMap, fmt::Debug, rc::Rc};
use wagtail_core::{ids::NodeName, slice::SliceId, units::LocalMoment};
use wagtail_lease::{
    LeaseAction, LeaseEvent, LeaseMachine, LeaseProblem, LeaseSummary, ServeGrant,
};
use wagtail_net::clock;
use wagtail_route::{RouteHint, RouteTable};

/// `SliceLeases` answers for the leases of this node at this instant.
pub trait SliceLeases: Debug {
    /// Returns the right to dispatch work of a slice now.
    fn may_serve(&self, now: LocalMoment, slice: &SliceId) -> Option<ServeGrant>;

    /// Returns the newest known owner of a slice.
    fn owner(&self, slice: &SliceId) -> Option<NodeName>;
}

/// `OwnershipView` answers for the leases, for the tasks that do not own them.
#[derive(Debug, Clone)]
pub struct OwnershipView {
    machine: Rc<RefCell<LeaseMachine>>,
    routes: Rc<RefCell<RouteTable>>,
    problems: Rc<RefCell<BTreeMap<Option<SliceId>, LeaseProblem>>>,
}

impl OwnershipView {
    /// Makes the view of a machine that has just started.
    pub fn new(machine: LeaseMachine) -> Self {
        Self {
            machine: Rc::new(RefCell::new(machine)),
            routes: Rc::default(),
            problems: Rc::default(),
        }
    }

    /// Gives the machine an event. Only the task that owns the machine does so.
    pub(super) fn handle(&self, event: LeaseEvent) -> Vec<LeaseAction> {
        self.machine.borrow_mut().handle(clock::now(), event)
    }

    /// Returns when the machine has something to do by itself.
    pub(super) fn next_wakeup(&self) -> LocalMoment {
        self.machine.borrow().next_wakeup()
    }

    /// Takes in where the requests of a slice go.
    pub(super) fn learn(&self, hint: RouteHint) {
        self.routes.borrow_mut().learn(hint);
    }

    /// Returns whether no owner of a slice is known.
    pub(super) fn is_unowned(&self, slice: &SliceId) -> bool {
        self.routes.borrow().hint(slice).is_none()
    }

    /// Keeps a problem for the status, in place of an earlier one of the same slice.
    pub(super) fn keep_problem(&self, slice: Option<SliceId>, problem: LeaseProblem) {
        self.problems.borrow_mut().insert(slice, problem);
    }

    /// Forgets the problem of a slice that is served.
    pub(super) fn clear_problem(&self, slice: &SliceId) {
        self.problems.borrow_mut().remove(&Some(slice.clone()));
    }

    /// Returns the routes that this daemon knows of.
    pub fn routes(&self) -> &Rc<RefCell<RouteTable>> {
        &self.routes
    }

    /// Returns the state of the leases.
    pub fn summary(&self) -> LeaseSummary {
        self.machine.borrow().summary()
    }

    /// Returns the newest problem of each slice.
    pub fn problems(&self) -> Vec<(Option<SliceId>, LeaseProblem)> {
        let problems = self.problems.borrow();

        problems
            .iter()
            .map(|(slice, problem)| (slice.clone(), problem.clone()))
            .collect()
    }
}

impl SliceLeases for OwnershipView {
    fn may_serve(&self, now: LocalMoment, slice: &SliceId) -> Option<ServeGrant> {
        self.machine.borrow().may_serve(now, slice)
    }

    fn owner(&self, slice: &SliceId) -> Option<NodeName> {
        let machine = self.machine.borrow();

        machine.owner_hint(slice).map(|hint| hint.owner.name)
    }
}
