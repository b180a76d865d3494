//! Helpers that drive one admission machine.

use std::time::Duration;
use wagtail_admit::{
    AdmitAction, AdmitEvent, AdmitMachine, AdmitOptions, AdmitRefusal, IdentifierAge, WorkArrival,
    WorkOutcome,
};
use wagtail_core::{
    ids::{OperationName, RequestId, TenantName},
    service::WorkClass,
    units::LocalMoment,
    verdict::RunVerdict,
};

/// Returns the moment some milliseconds after the origin.
pub fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Returns a short, idempotent arrival with a deadline one second after the origin.
pub fn short(ticket: u64) -> WorkArrival {
    WorkArrival {
        ticket,
        id: RequestId::new(format!("id-{ticket}")).expect("a valid identifier"),
        tenant: TenantName::new("tenant").expect("a valid name"),
        operation: OperationName::new("read").expect("a valid name"),
        class: WorkClass::Short,
        idempotent: true,
        deadline: at(1_000),
        slice: None,
        age: IdentifierAge::Unknown,
    }
}

/// Creates a machine with some slots.
pub fn machine(slots: u32) -> AdmitMachine {
    AdmitMachine::new(AdmitOptions::new(slots, 100), 1)
}

/// Passes an arrival to the machine.
pub fn arrive(machine: &mut AdmitMachine, now: u64, arrival: WorkArrival) -> Vec<AdmitAction> {
    machine.handle(at(now), AdmitEvent::Arrived(arrival))
}

/// Passes the end of a request to the machine.
pub fn finish(
    machine: &mut AdmitMachine,
    now: u64,
    ticket: u64,
    outcome: WorkOutcome,
) -> Vec<AdmitAction> {
    let event = AdmitEvent::Finished {
        ticket,
        outcome,
        took: Duration::from_millis(10),
    };

    machine.handle(at(now), event)
}

/// Passes the end of a request with a small response to the machine.
pub fn respond(machine: &mut AdmitMachine, now: u64, ticket: u64) -> Vec<AdmitAction> {
    finish(machine, now, ticket, WorkOutcome::Answered { bytes: 10 })
}

/// Returns the action that dispatches a request.
pub fn dispatch(ticket: u64) -> AdmitAction {
    AdmitAction::Dispatch { ticket }
}

/// Returns the ticket, reason and verdict if the action is a refusal.
pub fn refusal(action: &AdmitAction) -> Option<(u64, AdmitRefusal, RunVerdict)> {
    match action {
        AdmitAction::Refuse {
            ticket,
            refusal,
            verdict,
            ..
        } => Some((*ticket, *refusal, *verdict)),
        _ => None,
    }
}

/// Returns the refusals among some actions.
pub fn refusals(actions: &[AdmitAction]) -> Vec<(u64, AdmitRefusal, RunVerdict)> {
    actions.iter().filter_map(refusal).collect()
}
