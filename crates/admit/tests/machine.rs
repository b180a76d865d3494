//! Guards against overloaded targets, missed deadlines and requests that are lost in a stop.

mod support;

use support::{arrive, at, dispatch, finish, machine, refusals, respond, short};
use wagtail_admit::{
    AdmitAction, AdmitEvent, AdmitMachine, AdmitOptions, AdmitRefusal, WorkArrival, WorkOutcome,
};
use wagtail_core::{ids::OperationName, service::WorkClass, verdict::RunVerdict};

/// Returns a long, idempotent arrival with a deadline ten seconds after the origin.
fn long(ticket: u64) -> WorkArrival {
    WorkArrival {
        operation: OperationName::new("download").expect("a valid name"),
        class: WorkClass::Long,
        deadline: at(10_000),
        ..short(ticket)
    }
}

#[test]
fn slots_are_filled_and_no_more() {
    let mut machine = machine(2);

    assert_eq!(arrive(&mut machine, 0, short(1)), [dispatch(1)]);
    assert_eq!(arrive(&mut machine, 0, short(2)), [dispatch(2)]);
    assert_eq!(arrive(&mut machine, 0, short(3)), []);
    assert_eq!(respond(&mut machine, 10, 1), [dispatch(3)]);
    assert_eq!(machine.summary().running, 2);
}

#[test]
fn an_end_that_is_reported_twice_frees_one_slot() {
    let mut machine = machine(1);

    arrive(&mut machine, 0, short(1));
    arrive(&mut machine, 0, short(2));
    arrive(&mut machine, 0, short(3));

    assert_eq!(respond(&mut machine, 10, 1), [dispatch(2)]);
    assert_eq!(respond(&mut machine, 11, 1), []);
    assert_eq!(respond(&mut machine, 12, 99), []);
}

#[test]
fn long_work_never_takes_the_last_slots() {
    let mut machine = machine(6);
    let sent = (0..6).filter(|ticket| !arrive(&mut machine, 0, long(*ticket)).is_empty());

    assert_eq!(sent.count(), 3);
    assert_eq!(arrive(&mut machine, 0, short(10)), [dispatch(10)]);
    assert_eq!(arrive(&mut machine, 0, short(11)), [dispatch(11)]);
    assert_eq!(arrive(&mut machine, 0, short(12)), [dispatch(12)]);
}

#[test]
fn waiting_long_work_gets_its_floor_while_short_work_waits() {
    let mut machine = machine(2);

    arrive(&mut machine, 0, short(1));
    arrive(&mut machine, 0, short(2));
    arrive(&mut machine, 0, short(3));
    arrive(&mut machine, 0, long(4));

    assert_eq!(respond(&mut machine, 10, 1), [dispatch(4)]);
    assert_eq!(respond(&mut machine, 11, 2), [dispatch(3)]);
}

#[test]
fn work_that_is_measured_as_long_is_treated_as_long() {
    let mut machine = machine(4);
    let slow = |ticket| WorkArrival {
        class: WorkClass::Short,
        ..long(ticket)
    };

    for ticket in 0..40 {
        let arrival = if ticket % 4 == 0 {
            slow(ticket)
        } else {
            short(ticket)
        };
        let took = if ticket % 4 == 0 { 500 } else { 10 };

        arrive(&mut machine, 0, arrival);
        machine.handle(
            at(1),
            AdmitEvent::Finished {
                ticket,
                outcome: WorkOutcome::Answered { bytes: 1 },
                took: std::time::Duration::from_millis(took),
            },
        );
    }

    let sent = (100..104).filter(|ticket| !arrive(&mut machine, 2, slow(*ticket)).is_empty());

    assert_eq!(sent.count(), 2);
}

#[test]
fn a_request_that_cannot_end_in_time_is_refused_on_arrival() {
    let mut machine = machine(1);
    let late = WorkArrival {
        deadline: at(5),
        ..short(1)
    };
    let actions = arrive(&mut machine, 0, late);

    assert_eq!(
        refusals(&actions),
        [(1, AdmitRefusal::DeadlinePassed, RunVerdict::NotRun)]
    );
}

#[test]
fn a_queued_request_expires_one_expected_duration_before_its_deadline() {
    let mut machine = machine(1);
    let hurried = WorkArrival {
        deadline: at(60),
        ..short(2)
    };

    arrive(&mut machine, 0, short(1));
    arrive(&mut machine, 0, hurried);

    // It could still end in time until one expected duration before its deadline.
    let wakeup = machine.next_wakeup().expect("a deadline is due");
    let actions = machine.handle(wakeup, AdmitEvent::Tick);

    assert_eq!(wakeup, at(50));
    assert_eq!(
        refusals(&actions),
        [(2, AdmitRefusal::DeadlinePassed, RunVerdict::NotRun)]
    );
}

#[test]
fn running_work_is_unknown_and_cancelled_at_its_deadline() {
    let mut machine = machine(1);

    arrive(&mut machine, 0, short(1));
    machine.handle(at(300), AdmitEvent::Tick);

    let actions = machine.handle(at(1_000), AdmitEvent::Tick);

    assert_eq!(
        refusals(&actions),
        [(1, AdmitRefusal::DeadlinePassed, RunVerdict::Unknown)]
    );
    assert!(actions.contains(&AdmitAction::CancelAtTarget { ticket: 1 }));
    assert_eq!(finish(&mut machine, 1_001, 1, WorkOutcome::Abandoned), []);
}

#[test]
fn an_abandoned_slot_is_reused_only_after_the_target_is_known_to_run() {
    let mut machine = machine(1);
    let later = WorkArrival {
        deadline: at(9_000),
        ..short(2)
    };

    arrive(&mut machine, 0, short(1));
    machine.handle(at(1), AdmitEvent::Cancelled { ticket: 1 });
    finish(&mut machine, 1, 1, WorkOutcome::Abandoned);

    assert_eq!(arrive(&mut machine, 2, later), []);
    assert_eq!(machine.handle(at(400), AdmitEvent::Tick), []);

    // This report may have been on its way since before the cancellation.
    machine.handle(at(450), AdmitEvent::TargetReport { running: 0 });
    assert_eq!(machine.handle(at(500), AdmitEvent::Tick), []);

    machine.handle(at(1_450), AdmitEvent::TargetReport { running: 0 });
    assert_eq!(machine.next_wakeup(), Some(at(1_455)));
    assert_eq!(machine.handle(at(1_455), AdmitEvent::Tick), [dispatch(2)]);
}

#[test]
fn a_request_whose_caller_is_gone_is_cancelled_at_the_target() {
    let mut machine = machine(1);

    arrive(&mut machine, 0, short(1));
    arrive(&mut machine, 0, short(2));

    assert_eq!(
        machine.handle(at(1), AdmitEvent::Cancelled { ticket: 2 }),
        []
    );
    assert_eq!(
        machine.handle(at(1), AdmitEvent::Cancelled { ticket: 1 }),
        [AdmitAction::CancelAtTarget { ticket: 1 }]
    );
    assert_eq!(machine.summary().queued_short, 0);
}

#[test]
fn shed_work_waits_once_more_and_is_then_refused_as_not_run() {
    let mut machine = machine(1);

    arrive(&mut machine, 0, short(1));

    assert_eq!(finish(&mut machine, 1, 1, WorkOutcome::Shed), [dispatch(1)]);
    assert_eq!(
        refusals(&finish(&mut machine, 2, 1, WorkOutcome::Shed)),
        [(1, AdmitRefusal::TargetShed, RunVerdict::NotRun)]
    );

    // No expiry of the request is left at its deadline.
    assert_eq!(machine.next_wakeup(), None);
    assert_eq!(machine.handle(at(2_000), AdmitEvent::Tick), []);
}

#[test]
fn a_shedding_target_gets_fewer_orders_and_then_more_again() {
    let mut machine = machine(6);

    arrive(&mut machine, 0, short(1));
    finish(&mut machine, 1, 1, WorkOutcome::Shed);
    assert_eq!(machine.summary().limit, 4);

    respond(&mut machine, 200, 1);
    assert_eq!(machine.summary().limit, 6);
}

#[test]
fn an_idle_target_whose_limit_fell_to_one_still_runs_long_work() {
    let mut machine = machine(2);

    arrive(&mut machine, 0, short(1));
    finish(&mut machine, 1, 1, WorkOutcome::Shed);
    finish(&mut machine, 2, 1, WorkOutcome::Shed);
    assert_eq!(machine.summary().limit, 1);

    assert_eq!(arrive(&mut machine, 3, long(2)), [dispatch(2)]);
}

#[test]
fn a_stopping_slice_drains_when_its_running_order_ends_whatever_waits() {
    let mut machine = machine(1);
    let of_slice = |ticket| WorkArrival {
        slice: Some(7),
        ..short(ticket)
    };

    arrive(&mut machine, 0, of_slice(1));
    arrive(&mut machine, 0, of_slice(2));
    arrive(&mut machine, 0, short(3));

    let stopped = machine.handle(at(1), AdmitEvent::SliceStopping { slice: 7 });
    assert_eq!(
        refusals(&stopped),
        [(2, AdmitRefusal::NotOwner, RunVerdict::NotRun)]
    );

    let ended = respond(&mut machine, 10, 1);
    assert!(
        ended.contains(&AdmitAction::SliceDrained { slice: 7 }),
        "{ended:?}"
    );
}

#[test]
fn a_cold_target_gets_few_orders_at_first() {
    let mut machine = machine(6);

    machine.handle(at(0), AdmitEvent::TargetStarted);

    let sent = (0..6).filter(|ticket| !arrive(&mut machine, 0, short(*ticket)).is_empty());

    assert_eq!(sent.count(), 2);
}

#[test]
fn a_silent_target_stalls_until_its_first_response() {
    let mut machine = machine(1);

    arrive(&mut machine, 0, short(1));
    arrive(&mut machine, 0, short(2));

    let stalled = machine.next_wakeup().expect("a stall is due");
    let actions = machine.handle(stalled, AdmitEvent::Tick);

    assert_eq!(stalled, at(250));
    assert_eq!(
        refusals(&actions),
        [(2, AdmitRefusal::TargetStalled, RunVerdict::NotRun)]
    );
    assert_eq!(
        refusals(&arrive(&mut machine, 260, short(3))),
        [(3, AdmitRefusal::TargetStalled, RunVerdict::NotRun)]
    );

    // The first response ends the stall.
    respond(&mut machine, 300, 1);
    assert_eq!(arrive(&mut machine, 301, short(4)), [dispatch(4)]);
}

#[test]
fn a_failed_order_keeps_its_verdict() {
    for verdict in [RunVerdict::NotRun, RunVerdict::Unknown] {
        let mut machine = machine(1);

        arrive(&mut machine, 0, short(1));

        let actions = finish(&mut machine, 1, 1, WorkOutcome::Failed { verdict });

        assert_eq!(
            refusals(&actions),
            [(1, AdmitRefusal::TargetFailed, verdict)]
        );
    }
}

#[test]
fn a_draining_target_gets_no_more_requests() {
    let mut machine = machine(1);

    arrive(&mut machine, 0, short(1));
    arrive(&mut machine, 0, short(2));

    let refused = refusals(&finish(&mut machine, 1, 1, WorkOutcome::Draining));

    assert_eq!(refused.len(), 2);
    assert!(
        refused
            .iter()
            .all(|refusal| refusal.2 == RunVerdict::NotRun)
    );
    assert_eq!(refusals(&arrive(&mut machine, 2, short(3))).len(), 1);
}

#[test]
fn a_target_that_wants_to_leave_completes_what_was_accepted() {
    let mut machine = machine(1);

    arrive(&mut machine, 0, short(1));
    arrive(&mut machine, 0, short(2));

    assert_eq!(machine.handle(at(1), AdmitEvent::TargetDraining), []);
    assert_eq!(
        refusals(&arrive(&mut machine, 2, short(3))),
        [(3, AdmitRefusal::TargetDraining, RunVerdict::NotRun)]
    );
    assert_eq!(respond(&mut machine, 10, 1), [dispatch(2)]);
}

#[test]
fn a_stop_completes_what_was_accepted() {
    let mut machine = machine(1);

    arrive(&mut machine, 0, short(1));
    arrive(&mut machine, 0, short(2));

    assert_eq!(machine.handle(at(1), AdmitEvent::Stop), []);
    assert_eq!(
        refusals(&arrive(&mut machine, 2, short(3))),
        [(3, AdmitRefusal::Stopping, RunVerdict::NotRun)]
    );
    assert_eq!(respond(&mut machine, 10, 1), [dispatch(2)]);
    assert_eq!(respond(&mut machine, 20, 2), [AdmitAction::AllDone]);
}

#[test]
fn a_slice_that_moves_is_drained_first() {
    let mut machine = machine(1);
    let sliced = |ticket| WorkArrival {
        slice: Some(3),
        ..short(ticket)
    };

    arrive(&mut machine, 0, sliced(1));
    arrive(&mut machine, 0, sliced(2));

    assert_eq!(
        refusals(&machine.handle(at(1), AdmitEvent::SliceStopping { slice: 3 })),
        [(2, AdmitRefusal::NotOwner, RunVerdict::NotRun)]
    );
    assert_eq!(
        refusals(&arrive(&mut machine, 2, sliced(3))),
        [(3, AdmitRefusal::NotOwner, RunVerdict::NotRun)]
    );
    assert_eq!(
        respond(&mut machine, 10, 1),
        [AdmitAction::SliceDrained { slice: 3 }]
    );

    machine.handle(at(30), AdmitEvent::SliceGained { slice: 3 });
    assert_eq!(arrive(&mut machine, 31, sliced(4)), [dispatch(4)]);
}

#[test]
fn a_lost_lease_cancels_at_a_target_that_checks_nothing() {
    for fenced in [false, true] {
        let options = AdmitOptions {
            fenced,
            ..AdmitOptions::new(1, 100)
        };
        let mut machine = AdmitMachine::new(options, 1);
        let sliced = |ticket| WorkArrival {
            slice: Some(3),
            ..short(ticket)
        };

        arrive(&mut machine, 0, sliced(1));
        arrive(&mut machine, 0, sliced(2));

        let actions = machine.handle(at(1), AdmitEvent::SliceLost { slice: 3 });
        let cancelled = actions.contains(&AdmitAction::CancelAtTarget { ticket: 1 });

        assert!(refusals(&actions).contains(&(2, AdmitRefusal::NotOwner, RunVerdict::NotRun)));
        assert_eq!(cancelled, !fenced);
    }
}

#[test]
fn refusals_in_an_overload_tell_when_to_retry() {
    let mut machine = machine(1);
    let mut refused = Vec::new();

    for ticket in 0..2_000 {
        let arrival = WorkArrival {
            deadline: at(ticket + 1_000),
            ..short(ticket)
        };

        refused.extend(arrive(&mut machine, ticket, arrival));

        if ticket % 10 == 9 {
            respond(&mut machine, ticket, ticket / 10);
        }
    }

    let waits = refused.iter().filter_map(|action| match action {
        AdmitAction::Refuse {
            refusal: AdmitRefusal::QueueFull,
            retry_after,
            ..
        } => Some(*retry_after),
        _ => None,
    });

    assert!(waits.clone().count() > 0);
    assert!(waits.min().is_some_and(|wait| !wait.is_zero()));
}
