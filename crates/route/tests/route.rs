//! Tests of the choice of targets, retries, the table of slice owners and the home of requests.

use assert_matches::assert_matches;
use std::time::Duration;
use wagtail_core::{
    ids::{LeaseEpoch, NodeName, RequestId, ServiceName, TenantName},
    slice::SliceId,
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_route::{
    AttemptResult, BudgetOptions, ChoiceAction, ChoiceEvent, ChoiceMachine, ChoiceOptions,
    HomeChoice, HomeOptions, HomeTable, RetryContext, RetryDecision, RetryPolicy, RetryRefusal,
    RouteHint, RouteTable, combined_verdict, mint_identifier, named_home,
};

/// Returns the moment `millis` milliseconds after the origin.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Returns a node name.
fn node(name: &str) -> NodeName {
    NodeName::new(name).expect("valid name")
}

/// Returns a request identifier.
fn id(text: &str) -> RequestId {
    RequestId::new(text).expect("valid identifier")
}

/// Returns a machine that knows the given targets, all of them warm.
fn choice(names: &[&str]) -> ChoiceMachine {
    let mut machine = ChoiceMachine::new(ChoiceOptions::default(), 3);

    for name in names {
        let event = ChoiceEvent::Joined {
            node: node(name),
            cold: false,
        };

        machine.handle(at(0), event);
    }

    machine
}

/// Reports the end of an attempt that took 10 ms.
fn end(machine: &mut ChoiceMachine, now: u64, name: &str, result: AttemptResult) {
    let event = ChoiceEvent::Ended {
        node: node(name),
        result,
        took: Duration::from_millis(10),
        hint: None,
    };

    machine.handle(at(now), event);
}

/// A failed attempt that may have run.
const FAILED: AttemptResult = AttemptResult::Failed {
    verdict: RunVerdict::Unknown,
};

#[test]
fn the_less_loaded_target_is_chosen() {
    let mut machine = choice(&["a", "b"]);
    let mut counts = [0, 0];

    for _ in 0..10 {
        let chosen = machine.choose(at(0), &[]).expect("both are open");

        counts[usize::from(chosen == node("b"))] += 1;
    }

    assert_eq!(counts, [5, 5]);
}

#[test]
fn no_target_is_chosen_twice_for_a_request() {
    let mut machine = choice(&["a"]);
    let wanted = ChoiceEvent::Wanted {
        attempt: 9,
        tried: vec![node("a")],
    };

    assert_eq!(
        machine.handle(at(0), wanted),
        [ChoiceAction::NoTarget { attempt: 9 }]
    );
}

#[test]
fn a_failing_target_is_ejected_and_gets_one_half_open_attempt() {
    let mut machine = choice(&["a"]);

    for now in 0..3 {
        assert!(machine.choose(at(now), &[]).is_some());
        end(&mut machine, now, "a", FAILED);
    }

    assert_eq!(machine.choose(at(400), &[]), None);
    assert_eq!(machine.choose(at(600), &[]), Some(node("a")));
    assert_eq!(machine.choose(at(600), &[]), None);

    // A failed half-open attempt doubles the ejection time; a response ends the half-open state.
    end(&mut machine, 610, "a", FAILED);
    assert_eq!(machine.choose(at(1_500), &[]), None);
    assert_eq!(machine.choose(at(1_700), &[]), Some(node("a")));
    end(&mut machine, 1_710, "a", AttemptResult::Answered);
    assert!(machine.choose(at(1_711), &[]).is_some());
    assert!(machine.choose(at(1_711), &[]).is_some());
}

#[test]
fn an_unhealthy_report_alone_does_not_close_a_target() {
    let mut machine = choice(&["a"]);
    let event = ChoiceEvent::Health {
        node: node("a"),
        healthy: false,
    };

    machine.handle(at(0), event);

    assert_eq!(machine.choose(at(1), &[]), Some(node("a")));
}

#[test]
fn a_healthy_report_alone_does_not_reopen_a_target() {
    let mut machine = choice(&["a"]);

    for now in 0..3 {
        machine.choose(at(now), &[]);
        end(&mut machine, now, "a", FAILED);
    }

    let event = ChoiceEvent::Health {
        node: node("a"),
        healthy: true,
    };

    machine.handle(at(4), event);
    assert_eq!(machine.choose(at(5), &[]), None);
}

#[test]
fn silent_and_cold_targets_get_less() {
    let mut machine = choice(&["warm", "silent"]);

    for name in ["warm", "silent"] {
        end(&mut machine, 0, name, AttemptResult::Answered);
    }

    // Each target has one attempt in flight; only one target replies.
    machine.choose(at(0), &[node("warm")]);
    machine.choose(at(0), &[node("silent")]);
    end(&mut machine, 10, "warm", AttemptResult::Answered);

    for _ in 0..5 {
        assert_eq!(machine.choose(at(200), &[]), Some(node("warm")));
    }

    let mut machine = choice(&["warm"]);
    let event = ChoiceEvent::Joined {
        node: node("cold"),
        cold: true,
    };

    machine.handle(at(0), event);

    let chosen = (0..9).filter(|_| machine.choose(at(0), &[]) == Some(node("cold")));

    assert_eq!(chosen.count(), 1);
}

/// Returns the context of an idempotent first attempt that did not run and may be retried.
fn context() -> RetryContext {
    RetryContext {
        service: ServiceName::new("service").expect("valid name"),
        tenant: TenantName::new("tenant").expect("valid name"),
        idempotent: true,
        verdict: RunVerdict::NotRun,
        attempt: 1,
        forwarded: false,
        elsewhere: true,
        deadline: at(1_000),
        expected: Duration::from_millis(10),
    }
}

#[test]
fn retries_follow_the_verdict_first() {
    let mut policy = RetryPolicy::new(BudgetOptions::default());
    let unknown = RetryContext {
        verdict: RunVerdict::Unknown,
        ..context()
    };
    let unrepeatable = RetryContext {
        idempotent: false,
        ..unknown.clone()
    };

    assert_matches!(
        policy.decide(at(0), &context()),
        RetryDecision::Retry { attempt: 2 }
    );
    assert_matches!(policy.decide(at(0), &unknown), RetryDecision::Retry { .. });
    assert_matches!(
        policy.decide(at(0), &unrepeatable),
        RetryDecision::GiveUp {
            refusal: RetryRefusal::MayHaveRun
        }
    );
}

#[test]
fn each_limit_on_retries_holds() {
    let cases = [
        (
            RetryContext {
                forwarded: true,
                ..context()
            },
            RetryRefusal::NotFirstNode,
        ),
        (
            RetryContext {
                deadline: at(5),
                ..context()
            },
            RetryRefusal::DeadlinePassed,
        ),
        (
            RetryContext {
                elsewhere: false,
                ..context()
            },
            RetryRefusal::NowhereElse,
        ),
        (
            RetryContext {
                attempt: 3,
                ..context()
            },
            RetryRefusal::AttemptsUsed,
        ),
    ];

    for (context, refusal) in cases {
        let mut policy = RetryPolicy::new(BudgetOptions::default());

        assert_eq!(
            policy.decide(at(0), &context),
            RetryDecision::GiveUp { refusal }
        );
    }
}

#[test]
fn retries_stay_a_tenth_of_the_first_attempts() {
    let mut policy = RetryPolicy::new(BudgetOptions::default());
    let template = context();
    let mut retries = 0;

    for _ in 0..1_000 {
        policy.record_first(&template.service, &template.tenant);

        if matches!(policy.decide(at(0), &template), RetryDecision::Retry { .. }) {
            retries += 1;
        }
    }

    assert!((1..=100).contains(&retries));

    // Another tenant has its own budget.
    let other = RetryContext {
        tenant: TenantName::new("other").expect("valid name"),
        ..template
    };

    assert_matches!(policy.decide(at(0), &other), RetryDecision::Retry { .. });
}

#[test]
fn not_run_holds_for_all_attempts_or_not_at_all() {
    let not_run = RunVerdict::NotRun;
    let unknown = RunVerdict::Unknown;

    assert_eq!(combined_verdict(None, not_run), not_run);
    assert_eq!(combined_verdict(Some(not_run), not_run), not_run);
    assert_eq!(combined_verdict(Some(unknown), not_run), unknown);
    assert_eq!(combined_verdict(Some(not_run), unknown), unknown);
    assert_eq!(
        combined_verdict(Some(unknown), RunVerdict::Done),
        RunVerdict::Done
    );
}

/// Returns a hint with two deputies.
fn hint(owner: &str, epoch: u64) -> RouteHint {
    RouteHint {
        slice: slice(),
        owner: node(owner),
        epoch: LeaseEpoch(epoch),
        deputies: vec![node("d1"), node("d2")],
    }
}

/// Returns the slice that all hints are about.
fn slice() -> SliceId {
    SliceId::new(ServiceName::new("service").expect("valid name"), 4)
}

#[test]
fn the_table_never_goes_back_to_an_older_epoch() {
    let mut table = RouteTable::new();

    assert!(table.learn(hint("new", 7)));
    assert!(!table.learn(hint("old", 6)));
    table.learn_refusal(
        &slice(),
        &node("d1"),
        Some(&node("old")),
        Some(LeaseEpoch(6)),
    );
    table.learn_answer(&slice(), &node("old"), Some(LeaseEpoch(5)));

    assert_eq!(table.next(&slice(), &[]), Some(node("new")));
}

#[test]
fn refusals_and_answers_update_the_owner() {
    let mut table = RouteTable::new();

    table.learn(hint("first", 1));
    table.learn_refusal(&slice(), &node("first"), Some(&node("second")), None);
    assert_eq!(table.next(&slice(), &[node("first")]), Some(node("second")));

    table.learn_answer(&slice(), &node("second"), Some(LeaseEpoch(3)));
    assert_eq!(
        table.hint(&slice()).map(|hint| hint.epoch),
        Some(LeaseEpoch(3))
    );

    // A named owner that refuses as well is no longer tried first.
    table.learn_refusal(&slice(), &node("second"), Some(&node("third")), None);
    table.learn_refusal(&slice(), &node("third"), None, None);
    assert_eq!(table.next(&slice(), &[]), Some(node("second")));
}

#[test]
fn deputies_are_tried_in_order() {
    let mut table = RouteTable::new();

    table.learn(hint("owner", 1));

    let tried = |names: &[&str]| names.iter().map(|name| node(name)).collect::<Vec<_>>();

    assert_eq!(table.next(&slice(), &tried(&["owner"])), Some(node("d1")));
    assert_eq!(
        table.next(&slice(), &tried(&["owner", "d1"])),
        Some(node("d2"))
    );
    assert_eq!(table.next(&slice(), &tried(&["owner", "d1", "d2"])), None);
}

/// Returns a table of targets with the milliseconds at which they joined.
fn homes(joins: &[(&str, u64)]) -> HomeTable {
    let mut table = HomeTable::new(HomeOptions::default());

    for (name, joined) in joins {
        table.join(node(name), at(*joined));
    }

    table
}

#[test]
fn all_ingresses_compute_the_same_home() {
    let one = homes(&[("a", 0), ("b", 10), ("c", 20)]);
    let other = homes(&[("c", 20), ("a", 0), ("b", 10)]);
    let mut used = std::collections::BTreeSet::new();

    for number in 0..100 {
        let id = id(&format!("order-{number}"));
        let home = one.home(at(500_000), &id, None);

        assert_eq!(home, other.home(at(500_000), &id, None));
        used.insert(format!("{home:?}"));
    }

    assert_eq!(used.len(), 3);
}

#[test]
fn a_home_never_moves_while_its_requests_may_be_repeated() {
    let mut table = homes(&[("a", 0), ("b", 10), ("c", 20)]);
    let now = at(500_000);
    let ids: Vec<RequestId> = (0..200)
        .map(|number| id(&format!("order-{number}")))
        .collect();
    let before: Vec<HomeChoice> = ids.iter().map(|id| table.home(now, id, None)).collect();

    table.join(node("d"), now);
    table.leave(&node("a"), now);

    let mut refused = 0;

    for later in [500_001, 503_000, 560_000, 619_000] {
        for (id, before) in ids.iter().zip(&before) {
            let after = table.home(at(later), id, None);
            let dated = table.home(at(later), id, Some(now));

            refused += usize::from(after == HomeChoice::Refused);
            assert!(after == *before || after == HomeChoice::Refused);
            assert!(dated == *before || dated == HomeChoice::Refused);
        }
    }

    assert!(refused > 0);

    // Requests issued after the change go to the current targets.
    for id in &ids {
        let home = table.home(at(510_000), id, Some(at(505_000)));

        assert_matches!(home, HomeChoice::Only(home) if home != node("a"));
        assert_matches!(table.home(at(700_000), id, None), HomeChoice::Only(_));
    }
}

#[test]
fn an_identifier_made_here_names_its_home() {
    let mut table = homes(&[("a", 0), ("b", 10)]);
    let made = mint_identifier(&node("b"), "017f").expect("valid identifier");

    assert_eq!(named_home(&made), Some(node("b")));
    assert_eq!(
        table.home(at(20_000), &made, Some(at(15_000))),
        HomeChoice::Only(node("b"))
    );

    // A restarted node has forgotten the identifiers that were issued before.
    table.join(node("b"), at(30_000));
    assert_eq!(
        table.home(at(31_000), &made, Some(at(15_000))),
        HomeChoice::Refused
    );
}
