//! Read access to the leases for the other tasks.

use std::{cell::RefCell, collections::BTreeMap, fmt::Debug, rc::Rc};
use wagtail_core::{ids::NodeName, slice::SliceId, units::LocalMoment};
use wagtail_lease::{
    LeaseAction, LeaseEvent, LeaseMachine, LeaseProblem, LeaseSummary, ServeGrant,
};
use wagtail_net::clock;
use wagtail_route::{RouteHint, RouteTable};

/// `SliceLeases` tells which slices this node may serve and who owns a slice.
pub trait SliceLeases: Debug {
    /// Returns the grant to dispatch requests of a slice at the given time, if this node holds one.
    fn may_serve(&self, now: LocalMoment, slice: &SliceId) -> Option<ServeGrant>;

    /// Returns the last known owner of a slice.
    fn owner(&self, slice: &SliceId) -> Option<NodeName>;
}

/// `OwnershipView` shares the lease machine, the routes and the problems between the tasks; only
/// the ownership task changes the leases.
#[derive(Debug, Clone)]
pub struct OwnershipView {
    machine: Rc<RefCell<LeaseMachine>>,
    routes: Rc<RefCell<RouteTable>>,
    /// The newest problem of each slice; under `None` that of the node.
    problems: Rc<RefCell<BTreeMap<Option<SliceId>, LeaseProblem>>>,
}

impl OwnershipView {
    /// Creates the view of a new lease machine, without routes and problems.
    pub fn new(machine: LeaseMachine) -> Self {
        Self {
            machine: Rc::new(RefCell::new(machine)),
            routes: Rc::default(),
            problems: Rc::default(),
        }
    }

    /// Passes an event to the lease machine. Only the ownership task may call this.
    pub(super) fn handle(&self, event: LeaseEvent) -> Vec<LeaseAction> {
        self.machine.borrow_mut().handle(clock::now(), event)
    }

    /// Returns when the lease machine needs its next tick.
    pub(super) fn next_wakeup(&self) -> LocalMoment {
        self.machine.borrow().next_wakeup()
    }

    /// Updates the routes with the owner of a slice.
    pub(super) fn learn(&self, hint: RouteHint) {
        self.routes.borrow_mut().learn(hint);
    }

    /// Returns whether no owner of a slice is known.
    pub(super) fn is_unowned(&self, slice: &SliceId) -> bool {
        self.routes.borrow().hint(slice).is_none()
    }

    /// Stores a problem for the status; it replaces an earlier one of the same slice.
    pub(super) fn keep_problem(&self, slice: Option<SliceId>, problem: LeaseProblem) {
        self.problems.borrow_mut().insert(slice, problem);
    }

    /// Removes the stored problem of a slice.
    pub(super) fn clear_problem(&self, slice: &SliceId) {
        self.problems.borrow_mut().remove(&Some(slice.clone()));
    }

    /// Returns the known routes, which the forwarder updates too.
    pub fn routes(&self) -> &Rc<RefCell<RouteTable>> {
        &self.routes
    }

    /// Returns a summary of the leases for the status.
    pub fn summary(&self) -> LeaseSummary {
        self.machine.borrow().summary()
    }

    /// Returns the newest problem of each slice, and of the node under `None`.
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
