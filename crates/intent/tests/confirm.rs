//! Tests of single confirmations, step by step.

mod support;

use assert_matches::assert_matches;
use support::fixtures::{fleet_view, service_spec};
use wagtail_core::{
    ids::NodeName,
    service::{AppliedPlan, ConfigDocument},
    units::LocalMoment,
};
use wagtail_intent::{
    CallId, ConfigOutcome, FleetView, IntentAction, IntentDocument, IntentError, IntentEvent,
    IntentMachine, IntentReply, PlanDocument, PlanOutcome, WriteOutcome, make_plan,
};

const CALL: CallId = CallId(1);
const NOW: LocalMoment = LocalMoment::from_millis(5_000);

fn in_force() -> ConfigDocument {
    ConfigDocument {
        version: 4,
        services: vec![service_spec("agenda", 6)],
        ..ConfigDocument::default()
    }
}

fn drain_plan() -> PlanDocument {
    let intent = IntentDocument::with_drain(NodeName::new("vm-0").unwrap());

    make_plan(&intent, &in_force(), &fleet_view(), 1).unwrap()
}

/// Starts a confirmation and delivers the outcome of its read of the plan.
fn start_confirmation(
    plan: Option<&PlanDocument>,
    base_version: u64,
    held: u64,
    view: FleetView,
) -> (IntentMachine, Vec<IntentAction>) {
    let mut machine = IntentMachine::new(1);
    let event = IntentEvent::ConfirmRequested {
        call: CALL,
        plan: "plan-5-x".into(),
        base_version,
        view,
        held,
    };
    let actions = machine.handle(NOW, event);
    assert_matches!(actions[0], IntentAction::ReadPlan { attempt: 1, .. });

    let outcome = plan.map_or(PlanOutcome::Absent, |plan| PlanOutcome::Found {
        plan: Box::new(plan.clone()),
    });
    let actions = machine.handle(
        NOW,
        IntentEvent::PlanRead {
            call: CALL,
            attempt: 1,
            outcome,
        },
    );

    (machine, actions)
}

/// Delivers the configuration that the confirmation reads.
fn deliver_config(machine: &mut IntentMachine, document: ConfigDocument) -> Vec<IntentAction> {
    let event = IntentEvent::ConfigRead {
        call: CALL,
        attempt: 2,
        outcome: ConfigOutcome::Found {
            version: 90,
            document,
        },
    };

    machine.handle(NOW, event)
}

/// Returns the error with which the call failed.
fn error(actions: Vec<IntentAction>) -> IntentError {
    match actions.into_iter().next() {
        Some(IntentAction::Answer {
            reply: IntentReply::Failed { error },
            ..
        }) => error,
        other => panic!("the call goes on: {other:?}"),
    }
}

#[test]
fn a_plan_is_written_against_the_version_that_was_read() {
    let plan = drain_plan();
    let (mut machine, _) = start_confirmation(Some(&plan), 4, 4, fleet_view());
    let actions = deliver_config(&mut machine, in_force());

    assert_matches!(
        &actions[0],
        IntentAction::WriteConfig { document, expected: 90, .. } if *document == plan.document
    );
    let actions = machine.handle(
        NOW,
        IntentEvent::ConfigWritten {
            call: CALL,
            attempt: 3,
            outcome: WriteOutcome::Written,
        },
    );
    assert_matches!(
        actions.as_slice(),
        [
            IntentAction::Accepted { .. },
            IntentAction::Answer {
                reply: IntentReply::Confirmed { version: 5 },
                ..
            }
        ]
    );
    assert_eq!(machine.open_calls(), 0);
}

#[test]
fn unknown_plans_and_wrong_versions_end_before_the_configuration_is_read() {
    let (_, actions) = start_confirmation(None, 4, 4, fleet_view());
    assert_matches!(error(actions), IntentError::UnknownPlan { .. });

    let (_, actions) = start_confirmation(Some(&drain_plan()), 3, 4, fleet_view());
    assert_matches!(
        error(actions),
        IntentError::WrongVersion {
            planned: 4,
            named: 3
        }
    );
}

#[test]
fn a_promise_that_the_fleet_broke_since_the_plan_refuses_the_confirmation() {
    let mut view = fleet_view();
    for node in &mut view.nodes[1..] {
        node.reachable = false;
    }
    let (mut machine, _) = start_confirmation(Some(&drain_plan()), 4, 4, view);

    assert_matches!(
        error(deliver_config(&mut machine, in_force())),
        IntentError::Refused { refusals } if refusals[0].code == "last-target"
    );
}

#[test]
fn a_confirmed_plan_is_known_after_later_ones_and_forgotten_ones_are_said_so() {
    let plan = drain_plan();
    let stamp = |version: u64, plan: &str| AppliedPlan {
        version,
        plan: plan.to_owned(),
    };
    let mut later = in_force();
    later.version = 7;
    later.recent = vec![stamp(5, &plan.id), stamp(6, "b"), stamp(7, "c")];

    let (mut machine, _) = start_confirmation(Some(&plan), 4, 4, fleet_view());
    let actions = deliver_config(&mut machine, later.clone());
    assert_matches!(
        actions[1],
        IntentAction::Answer {
            reply: IntentReply::Confirmed { version: 5 },
            ..
        }
    );

    later.recent[0].plan = "a".into();
    let (mut machine, _) = start_confirmation(Some(&plan), 4, 4, fleet_view());
    assert_matches!(
        error(deliver_config(&mut machine, later.clone())),
        IntentError::Conflict { conflict } if conflict.found_version == 7
    );

    later.recent.remove(0);
    let (mut machine, _) = start_confirmation(Some(&plan), 4, 4, fleet_view());
    assert_matches!(
        error(deliver_config(&mut machine, later)),
        IntentError::ExpiredPlan { version: 7, .. }
    );
}

#[test]
fn a_platform_that_went_back_is_not_written() {
    let (mut machine, _) = start_confirmation(Some(&drain_plan()), 4, 9, fleet_view());

    assert_matches!(
        error(deliver_config(&mut machine, in_force())),
        IntentError::PlatformReverted { found: 4, held: 9 }
    );
}

#[test]
fn outcomes_of_earlier_attempts_are_ignored() {
    let (mut machine, _) = start_confirmation(Some(&drain_plan()), 4, 4, fleet_view());
    deliver_config(&mut machine, in_force());

    assert!(deliver_config(&mut machine, ConfigDocument::default()).is_empty());
    assert_eq!(machine.open_calls(), 1);
}

#[test]
fn events_and_actions_survive_a_recording() {
    let (mut machine, actions) = start_confirmation(Some(&drain_plan()), 4, 4, fleet_view());
    let more = deliver_config(&mut machine, in_force());

    for action in actions.into_iter().chain(more) {
        let text = serde_json::to_string(&action).unwrap();
        assert_eq!(serde_json::from_str::<IntentAction>(&text).unwrap(), action);
    }
}
