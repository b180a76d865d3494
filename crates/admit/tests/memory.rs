//! Guards against a non-idempotent request that runs more than once.

mod support;

use support::{arrive, at, dispatch, finish, machine, refusals, respond, short};
use wagtail_admit::{
    AdmitAction, AdmitEvent, AdmitMachine, AdmitOptions, AdmitRefusal, IdentifierAge,
    MemoryTransfer, WorkArrival, WorkOutcome, issued_unix_ms,
};
use wagtail_core::{
    ids::{OperationName, RequestId, TenantName},
    verdict::RunVerdict,
};

/// Returns a non-idempotent arrival with an identifier.
fn booking(ticket: u64, id: &str) -> WorkArrival {
    WorkArrival {
        id: RequestId::new(id).expect("a valid identifier"),
        operation: OperationName::new("book").expect("a valid name"),
        idempotent: false,
        slice: Some(7),
        deadline: at(1_000_000),
        ..short(ticket)
    }
}

#[test]
fn a_repeat_waits_for_the_first_and_gets_its_answer() {
    let mut machine = machine(2);

    assert_eq!(arrive(&mut machine, 0, booking(1, "x")), [dispatch(1)]);
    assert_eq!(arrive(&mut machine, 1, booking(2, "x")), []);
    assert_eq!(
        respond(&mut machine, 10, 1),
        [
            AdmitAction::Keep { ticket: 1 },
            AdmitAction::Replay { ticket: 2, of: 1 }
        ]
    );
    assert_eq!(
        arrive(&mut machine, 20, booking(3, "x")),
        [AdmitAction::Replay { ticket: 3, of: 1 }]
    );
}

#[test]
fn the_caller_of_the_first_may_go_while_a_repeat_waits() {
    let mut machine = machine(1);

    arrive(&mut machine, 0, booking(1, "x"));
    arrive(&mut machine, 1, booking(2, "x"));

    assert_eq!(
        machine.handle(at(2), AdmitEvent::Cancelled { ticket: 1 }),
        []
    );
    assert!(respond(&mut machine, 10, 1).contains(&AdmitAction::Replay { ticket: 2, of: 1 }));
}

#[test]
fn a_request_that_may_have_run_is_never_run_again() {
    let mut machine = machine(1);
    let verdict = RunVerdict::Unknown;

    arrive(&mut machine, 0, booking(1, "x"));
    finish(&mut machine, 5, 1, WorkOutcome::Failed { verdict });

    assert_eq!(
        refusals(&arrive(&mut machine, 6, booking(2, "x"))),
        [(2, AdmitRefusal::Duplicate, RunVerdict::Unknown)]
    );
}

#[test]
fn a_request_that_did_not_run_may_run_under_its_identifier() {
    let mut machine = machine(1);
    let verdict = RunVerdict::NotRun;

    arrive(&mut machine, 0, booking(1, "x"));
    finish(&mut machine, 5, 1, WorkOutcome::Failed { verdict });

    assert_eq!(arrive(&mut machine, 6, booking(2, "x")), [dispatch(2)]);
}

#[test]
fn an_identifier_belongs_to_its_tenant_and_operation() {
    let mut machine = machine(4);
    let other_tenant = WorkArrival {
        tenant: TenantName::new("other").expect("a valid name"),
        ..booking(2, "x")
    };
    let other_operation = WorkArrival {
        operation: OperationName::new("cancel").expect("a valid name"),
        ..booking(3, "x")
    };

    arrive(&mut machine, 0, booking(1, "x"));
    respond(&mut machine, 10, 1);

    assert_eq!(arrive(&mut machine, 11, other_tenant), [dispatch(2)]);
    assert_eq!(
        refusals(&arrive(&mut machine, 12, other_operation)),
        [(3, AdmitRefusal::IdentifierReused, RunVerdict::NotRun)]
    );
}

#[test]
fn a_full_memory_refuses_rather_than_forgets() {
    let options = AdmitOptions {
        memory_entries: 2,
        memory_bytes: 100,
        ..AdmitOptions::new(4, 100)
    };
    let mut machine = AdmitMachine::new(options, 1);
    let large = WorkOutcome::Answered { bytes: 50 };

    arrive(&mut machine, 0, booking(1, "x"));
    arrive(&mut machine, 0, booking(2, "y"));

    // A response above an eighth of the limit is not kept; its identifier is.
    let actions = finish(&mut machine, 1, 1, large);

    assert!(actions.contains(&AdmitAction::Forget { ticket: 1 }));
    assert_eq!(
        refusals(&arrive(&mut machine, 2, booking(3, "x"))),
        [(3, AdmitRefusal::Duplicate, RunVerdict::Unknown)]
    );
    assert_eq!(
        refusals(&arrive(&mut machine, 3, booking(4, "z"))),
        [(4, AdmitRefusal::MemoryFull, RunVerdict::NotRun)]
    );
    assert_eq!(arrive(&mut machine, 4, short(5)), [dispatch(5)]);
}

#[test]
fn identifiers_are_forgotten_after_their_time_and_dated_ones_then_refused() {
    let mut machine = machine(1);
    let dated = WorkArrival {
        age: IdentifierAge::Issued(at(0)),
        ..booking(3, "x")
    };

    arrive(&mut machine, 0, booking(1, "x"));
    respond(&mut machine, 10, 1);

    let forgotten = machine.handle(at(120_010), AdmitEvent::Tick);

    assert_eq!(forgotten, [AdmitAction::Forget { ticket: 1 }]);
    assert_eq!(
        refusals(&arrive(&mut machine, 120_011, dated)),
        [(3, AdmitRefusal::IdentifierTooOld, RunVerdict::Unknown)]
    );
}

#[test]
fn the_memory_moves_with_its_slice() {
    let mut former = machine(2);
    let mut next = machine(2);

    arrive(&mut former, 0, booking(1, "x"));
    respond(&mut former, 10, 1);
    arrive(&mut former, 11, booking(2, "running"));

    let entries = former.export_memory(at(20), 7);

    assert_eq!(entries.len(), 2);
    assert!(former.export_memory(at(20), 8).is_empty());

    next.import_memory(at(5_000), 7, MemoryTransfer::Whole(entries));
    next.handle(at(5_000), AdmitEvent::SliceGained { slice: 7 });

    for (ticket, id) in [(10, "x"), (11, "running")] {
        assert_eq!(
            refusals(&arrive(&mut next, 5_001, booking(ticket, id))),
            [(ticket, AdmitRefusal::Duplicate, RunVerdict::Unknown)]
        );
    }

    assert_eq!(arrive(&mut next, 5_002, booking(12, "new")), [dispatch(12)]);
}

#[test]
fn a_repeat_at_the_former_owner_is_never_called_not_run() {
    let mut machine = machine(2);
    let verdict = RunVerdict::Unknown;

    arrive(&mut machine, 0, booking(1, "kept"));
    respond(&mut machine, 10, 1);
    arrive(&mut machine, 11, booking(2, "unknown"));
    finish(&mut machine, 12, 2, WorkOutcome::Failed { verdict });
    machine.handle(at(20), AdmitEvent::SliceLost { slice: 7 });

    assert_eq!(
        arrive(&mut machine, 21, booking(3, "kept")),
        [AdmitAction::Replay { ticket: 3, of: 1 }]
    );
    assert_eq!(
        refusals(&arrive(&mut machine, 22, booking(4, "unknown"))),
        [(4, AdmitRefusal::Duplicate, RunVerdict::Unknown)]
    );
    assert_eq!(
        refusals(&arrive(&mut machine, 23, booking(5, "new"))),
        [(5, AdmitRefusal::NotOwner, RunVerdict::NotRun)]
    );
}

#[test]
fn after_a_memory_loss_only_certainly_new_requests_run() {
    let mut machine = machine(4);
    let aged = |ticket, age| WorkArrival {
        age,
        ..booking(ticket, &format!("id-{ticket}"))
    };

    machine.import_memory(at(10_000), 7, MemoryTransfer::Lost);

    let mut ask = |arrival| refusals(&arrive(&mut machine, 11_000, arrival));
    let refused = |ticket| [(ticket, AdmitRefusal::IdentifierTooOld, RunVerdict::Unknown)];

    assert_eq!(ask(aged(1, IdentifierAge::Made)), []);
    assert_eq!(ask(aged(2, IdentifierAge::Issued(at(10_600)))), []);
    assert_eq!(ask(aged(3, IdentifierAge::Issued(at(10_400)))), refused(3));
    assert_eq!(ask(aged(4, IdentifierAge::Unknown)), refused(4));

    let other_slice = WorkArrival {
        slice: Some(8),
        ..aged(5, IdentifierAge::Unknown)
    };

    assert_eq!(ask(other_slice), []);
}

#[test]
fn a_daemon_that_lost_its_memory_refuses_for_every_slice() {
    let mut machine = machine(4);
    let unkeyed = WorkArrival {
        slice: None,
        ..booking(1, "x")
    };

    machine.record_memory_loss(at(0));

    assert_eq!(
        refusals(&arrive(&mut machine, 1, unkeyed.clone())),
        [(1, AdmitRefusal::IdentifierTooOld, RunVerdict::Unknown)]
    );
    assert_eq!(
        arrive(
            &mut machine,
            120_000,
            WorkArrival {
                ticket: 2,
                ..unkeyed
            }
        ),
        [dispatch(2)]
    );
}

#[test]
fn a_version_seven_uuid_tells_its_time_of_issue() {
    let issued = |text: &str| issued_unix_ms(&RequestId::new(text).expect("a valid identifier"));

    // The example of RFC 9562, appendix A.6: 2022-02-22 19:22:22 UTC.
    let uuid = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";

    assert_eq!(issued(uuid), Some(1_645_557_742_000));
    assert_eq!(issued(&format!("node-1~{uuid}")), Some(1_645_557_742_000));
    assert_eq!(issued("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"), None);
    assert_eq!(issued("order-17"), None);
}
