//! Tests of plans and of the refusal of changes that would break a guarantee.

mod support;

use assert_matches::assert_matches;
use support::fixtures::{fleet_view, service_spec};
use wagtail_core::{
    ids::{NodeName, ServiceName},
    service::{ConfigDocument, OperationSpec, TenantSpec, WorkClass},
};
use wagtail_intent::{
    FleetView, IntentDocument, IntentError, PlanDocument, PlannedChange, RequestTraits, make_plan,
};

fn node(index: usize) -> NodeName {
    NodeName::new(format!("vm-{index}")).unwrap()
}

fn in_force() -> ConfigDocument {
    ConfigDocument {
        version: 4,
        services: vec![service_spec("agenda", 6)],
        ..ConfigDocument::default()
    }
}

fn plan(intent: &IntentDocument, view: &FleetView) -> Result<PlanDocument, IntentError> {
    make_plan(intent, &in_force(), view, 1)
}

/// Returns the codes with which an intent is refused.
fn refusals(intent: &IntentDocument, view: &FleetView) -> Vec<String> {
    match plan(intent, view) {
        Err(IntentError::Refused { refusals }) => {
            refusals.into_iter().map(|refusal| refusal.code).collect()
        }
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn a_drain_lists_where_the_slices_go_and_changes_nothing_else() {
    let plan = plan(&IntentDocument::with_drain(node(0)), &fleet_view()).unwrap();

    assert_eq!(plan.base_version, 4);
    assert_eq!(plan.document.version, 5);
    assert_eq!(plan.document.plan, plan.id);
    assert_eq!(
        plan.changes,
        [PlannedChange::DrainStarted { node: node(0) }]
    );
    assert_eq!(plan.unavailable.slices, 2);
    assert!(plan.unavailable.key_ms > 0);
    assert!(plan.moves.iter().all(|group| group.from == node(0)));
    assert!(plan.moves.iter().all(|group| group.to != Some(node(0))));
    assert!(plan.moves.iter().all(|group| group.to.is_some()));
}

#[test]
fn plans_of_one_intent_have_identifiers_of_their_own() {
    let intent = IntentDocument::with_drain(node(0));
    let first = make_plan(&intent, &in_force(), &fleet_view(), 1).unwrap();
    let second = make_plan(&intent, &in_force(), &fleet_view(), 2).unwrap();

    assert_ne!(first.id, second.id);
}

#[test]
fn requests_that_another_route_takes_over_are_listed() {
    let mut service = service_spec("agenda", 6);
    service.operations.push(OperationSpec {
        name: "catalogue".to_owned().try_into().unwrap(),
        method: "GET".into(),
        path: "/slots/catalogue".into(),
        idempotent: true,
        class: WorkClass::Long,
    });
    service.operations[1].idempotent = true;
    service.tenants.push(TenantSpec {
        name: "malla".to_owned().try_into().unwrap(),
        weight: 3,
    });
    let intent = IntentDocument {
        services: vec![service],
        ..IntentDocument::default()
    };

    let plan = plan(&intent, &fleet_view()).unwrap();
    let taken_over = plan
        .requests
        .iter()
        .find(|change| change.path == "/slots/catalogue")
        .unwrap();
    let traits = |class| {
        Some(RequestTraits {
            class,
            idempotent: true,
        })
    };

    assert_eq!(taken_over.before, traits(WorkClass::Short));
    assert_eq!(taken_over.after, traits(WorkClass::Long));
    assert!(plan.warnings[0].contains("may run more than once"));
    assert_eq!(plan.requests.len(), 2);
    assert_eq!(plan.changes.len(), 3);
}

#[test]
fn a_service_that_serves_is_removed_only_with_its_drain() {
    let remove = IntentDocument {
        remove_services: vec![ServiceName::new("agenda").unwrap()],
        ..IntentDocument::default()
    };
    assert_eq!(refusals(&remove, &fleet_view()), ["service-in-use"]);

    let with_drain = IntentDocument {
        drain: (0..5).map(node).collect(),
        ..remove
    };
    let plan = plan(&with_drain, &fleet_view()).unwrap();
    assert!(plan.document.services.is_empty());
    assert!(plan.moves.iter().all(|group| group.to.is_none()));
}

#[test]
fn the_last_target_of_a_keyed_service_is_not_drained() {
    let drain_all = IntentDocument {
        drain: (0..5).map(node).collect(),
        ..IntentDocument::default()
    };
    assert_eq!(refusals(&drain_all, &fleet_view()), ["last-target"]);

    // An unreachable target does not count as a remaining one.
    let mut view = fleet_view();
    for node in &mut view.nodes[1..] {
        node.reachable = false;
    }
    assert_eq!(
        refusals(&IntentDocument::with_drain(node(0)), &view),
        ["last-target"]
    );
}

#[test]
fn the_division_of_owned_slices_stays() {
    let mut view = fleet_view();
    let mut service = service_spec("agenda", 6);
    service.slices = 16;
    let intent = IntentDocument {
        services: vec![service.clone()],
        ..IntentDocument::default()
    };
    assert_eq!(refusals(&intent, &view), ["division-in-use"]);

    service.keyed = false;
    let unkeyed = IntentDocument {
        services: vec![service],
        ..IntentDocument::default()
    };
    assert_eq!(refusals(&unkeyed, &view), ["division-in-use"]);

    // Serving targets may own slices of which this node has no record yet.
    view.slices.clear();
    assert_eq!(refusals(&intent, &view), ["division-in-use"]);

    view.nodes.clear();
    assert_matches!(plan(&intent, &view), Ok(_));
}

#[test]
fn a_vm_that_answers_is_not_declared_gone() {
    let intent = IntentDocument {
        gone: vec![node(1)],
        ..IntentDocument::default()
    };
    let mut view = fleet_view();
    assert_eq!(refusals(&intent, &view), ["node-alive"]);

    view.nodes[1].reachable = false;
    let plan = plan(&intent, &view).unwrap();
    let identity = view.nodes[1].identity.clone();
    assert!(plan.document.is_gone(&identity));
    assert!(plan.warnings.iter().any(|text| text.contains("vm-1#3")));

    // The declaration does not cover a later incarnation of the node.
    let mut later = identity;
    later.incarnation.0 += 1;
    assert!(plan.document.takes_work(&later));
}

#[test]
fn names_that_nobody_knows_are_refused_together() {
    let intent = IntentDocument {
        drain: vec![node(9)],
        undrain: vec![node(1)],
        remove_services: vec![ServiceName::new("nothing").unwrap()],
        ..IntentDocument::default()
    };

    assert_eq!(
        refusals(&intent, &fleet_view()),
        ["unknown-service", "unknown-node", "not-draining"]
    );
}

#[test]
fn fencing_is_declared_only_where_all_targets_check_it() {
    let mut service = service_spec("agenda", 6);
    service.fenced = true;
    let intent = IntentDocument {
        services: vec![service],
        ..IntentDocument::default()
    };
    let mut view = fleet_view();
    assert_eq!(refusals(&intent, &view), ["not-fenced"]);

    for node in &mut view.nodes {
        node.fenced = true;
    }
    assert_matches!(plan(&intent, &view), Ok(_));
}

#[test]
fn an_intent_that_is_in_force_already_makes_no_plan() {
    let intent = IntentDocument {
        services: vec![service_spec("agenda", 6)],
        ..IntentDocument::default()
    };

    assert_matches!(
        plan(&intent, &fleet_view()),
        Err(IntentError::NoChange { version: 4 })
    );
}
