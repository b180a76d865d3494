//! Tests of the checks of the caller stand-in.

use assert_matches::assert_matches;
use bytes::Bytes;
use caller_standin::{
    audit::{AuditReport, audit_run},
    cli,
    logs::{LogError, LoggedRun, read_log},
    plan::{PlannedRequest, PlannedService, RequestKind, RequestPlanner},
    record::{AttemptOutcome, AttemptRecord, RequestRecord},
    report::RunReport,
    unserved::longest_unserved,
    validate::validate_response,
};
use http::{HeaderMap, StatusCode};
use standin_net::client::CompleteResponse;
use std::sync::Arc;
use target_standin::execution::{ExecutionEntry, format_entry};

/// Creates a request on a key.
fn request(id: &str, key: &str, kind: RequestKind) -> PlannedRequest {
    PlannedRequest {
        id: Arc::from(id),
        service: PlannedService {
            name: Arc::from("agenda"),
            slices: 64,
        },
        key: Some(Arc::from(key)),
        tenant: "default",
        kind,
        work_ms: 1,
        response_bytes: 58,
    }
}

/// Creates the record of a request whose attempts lasted 100 us each.
fn record(id: &str, kind: RequestKind, attempts: &[(u64, AttemptOutcome)]) -> RequestRecord {
    let mut record = RequestRecord::new(request(id, "k", kind));
    for (index, (sent_us, outcome)) in attempts.iter().enumerate() {
        let attempt = AttemptRecord {
            id: Arc::from(format!("{id}.{}", index + 1)),
            sent_us: *sent_us,
            ended_us: sent_us + 100,
            outcome: outcome.clone(),
        };
        record.attempts.push(attempt);
    }

    record
}

/// Creates the outcome of a refusal.
fn not_run() -> AttemptOutcome {
    AttemptOutcome::NotRun { retry_after_ms: 10 }
}

/// Creates the outcome of a response by an execution of a target.
fn answered(target: &str, run: usize) -> AttemptOutcome {
    AttemptOutcome::Answered {
        target: Arc::from(target),
        run,
    }
}

/// Creates a log entry of an execution.
fn entry(id: &str, target: &str, run: usize, epoch: u64, span: (u64, u64)) -> ExecutionEntry {
    ExecutionEntry {
        id: Arc::from(id),
        key: Some(Arc::from("k")),
        slice: Some(0),
        epoch: Some(epoch),
        operation: Arc::from("create"),
        started_us: span.0,
        ended_us: Some(span.1),
        cancelled: false,
        target: Arc::from(target),
        process: 1,
        run,
    }
}

/// Returns executions as they are read back from a log.
fn logged(entries: &[ExecutionEntry]) -> Vec<LoggedRun> {
    let text: String = entries.iter().map(format_entry).collect();

    read_log(&text).unwrap()
}

/// Creates a response with a verdict.
fn response(id: &str, verdict: &str, body: &str) -> CompleteResponse {
    let mut headers = HeaderMap::new();
    headers.insert("wagtail-request-id", id.parse().unwrap());
    headers.insert("wagtail-verdict", verdict.parse().unwrap());
    headers.insert("retry-after", "1".parse().unwrap());
    headers.insert("wagtail-retry-after-ms", "250".parse().unwrap());

    CompleteResponse {
        status: StatusCode::OK,
        headers,
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

#[test]
fn only_its_own_complete_response_counts_as_answered() {
    let request = request("r", "k", RequestKind::List);
    let whole = r#"{"id":"r.1","key":"k","target":"127.0.0.1:17998","run":0}"#;
    let body = format!("{whole}\n");

    let validate =
        |id, verdict, body: &str| validate_response(&request, "r.1", &response(id, verdict, body));

    assert_eq!(
        validate("r.1", "done", &body),
        answered("127.0.0.1:17998", 0)
    );
    assert_matches!(validate("r.2", "done", &body), AttemptOutcome::Wrong { .. });
    assert_matches!(validate("r.1", "done", whole), AttemptOutcome::Wrong { .. });
    assert_matches!(
        validate("r.1", "done", &body[..20]),
        AttemptOutcome::Wrong { .. }
    );
    assert_matches!(
        validate("r.1", "perhaps", &body),
        AttemptOutcome::Wrong { .. }
    );
    let others = [body.replace("r.1", "r.9"), body.replace("\"k\"", "\"j\"")];
    for other in &others {
        assert_matches!(validate("r.1", "done", other), AttemptOutcome::Wrong { .. });
    }
    assert_eq!(validate("r.1", "unknown", ""), AttemptOutcome::Unknown);
    assert_eq!(
        validate("r.1", "not-run", ""),
        AttemptOutcome::NotRun {
            retry_after_ms: 250
        }
    );
}

#[test]
fn each_attempt_has_an_identifier_of_its_own() {
    let record = record("a", RequestKind::List, &[]);

    assert_ne!(record.next_id(), record.next_id());
}

#[test]
fn a_correct_run_has_no_findings() {
    let records = [
        record(
            "a",
            RequestKind::Create,
            &[(0, not_run()), (200, answered("t1", 0))],
        ),
        record("b", RequestKind::Create, &[(300, AttemptOutcome::Unknown)]),
    ];
    let runs = logged(&[
        entry("a.2", "t1", 0, 4, (210, 290)),
        entry("b.1", "t2", 0, 5, (310, 390)),
    ]);

    assert_eq!(audit_run(&records, &runs), AuditReport::default());
}

#[test]
fn a_refusal_as_not_run_that_ran_is_wrong() {
    let records = [record("a", RequestKind::List, &[(0, not_run())])];
    let runs = logged(&[entry("a.1", "t1", 0, 4, (10, 20))]);

    assert_eq!(audit_run(&records, &runs).wrong.len(), 1);
}

#[test]
fn a_response_without_its_execution_is_wrong() {
    let records = [record("a", RequestKind::List, &[(0, answered("t1", 3))])];
    let runs = logged(&[entry("a.1", "t1", 0, 4, (10, 20))]);

    assert_eq!(audit_run(&records, &runs).wrong.len(), 1);
}

#[test]
fn two_executions_count_as_doubled_unless_idempotent() {
    let attempts = [(0, AttemptOutcome::Unknown), (200, answered("t1", 1))];
    let runs = logged(&[
        entry("a.1", "t1", 0, 4, (10, 20)),
        entry("a.2", "t1", 1, 4, (210, 220)),
    ]);

    let created = [record("a", RequestKind::Create, &attempts)];
    assert_eq!(audit_run(&created, &runs).doubled.len(), 1);

    let listed = [record("a", RequestKind::List, &attempts)];
    assert!(audit_run(&listed, &runs).doubled.is_empty());
}

#[test]
fn one_attempt_that_ran_at_two_targets_is_doubled() {
    let records = [record("a", RequestKind::Create, &[(0, answered("t1", 0))])];
    let runs = logged(&[
        entry("a.1", "t1", 0, 4, (10, 20)),
        entry("a.1", "t2", 0, 4, (30, 40)),
    ]);

    assert_eq!(audit_run(&records, &runs).doubled.len(), 1);
}

#[test]
fn a_key_at_two_targets_at_once_is_wrong() {
    let touching = logged(&[
        entry("a", "t1", 0, 4, (10, 20)),
        entry("b", "t2", 0, 5, (20, 30)),
    ]);
    assert!(audit_run(&[], &touching).wrong.is_empty());

    // A short execution in between does not hide the long one.
    let hidden = logged(&[
        entry("a", "t1", 0, 4, (10, 90)),
        entry("b", "t1", 1, 4, (11, 12)),
        entry("c", "t2", 0, 5, (50, 60)),
    ]);
    assert_eq!(audit_run(&[], &hidden).wrong.len(), 1);
}

#[test]
fn two_processes_of_one_target_are_two_owners() {
    let mut later = entry("b", "t1", 0, 5, (15, 30));
    later.process = 2;
    let runs = logged(&[entry("a", "t1", 0, 4, (10, 20)), later]);

    assert_eq!(audit_run(&[], &runs).wrong.len(), 1);
}

#[test]
fn an_older_epoch_after_a_newer_one_is_wrong() {
    let runs = logged(&[
        entry("a", "t1", 0, 5, (10, 20)),
        entry("b", "t2", 0, 4, (30, 40)),
    ]);

    assert_eq!(audit_run(&[], &runs).wrong.len(), 1);
}

#[test]
fn an_execution_cut_short_by_a_kill_lasts_to_the_last_line_of_its_process() {
    let mut cut = entry("a", "t1", 0, 4, (10, 0));
    cut.ended_us = None;
    let text = [
        format_entry(&cut),
        format_entry(&entry("b", "t1", 1, 4, (12, 40))),
        String::from("{\"id\":\"c\",\"ke"),
    ]
    .concat();

    let runs = read_log(&text).unwrap();

    assert_eq!(runs.len(), 2);
    assert_eq!(runs[0].ended_us, 40);
}

#[test]
fn a_broken_line_in_the_middle_of_a_log_is_an_error() {
    let text = format!(
        "{{\"id\"\n{}",
        format_entry(&entry("a", "t1", 0, 4, (10, 20)))
    );

    assert_matches!(read_log(&text), Err(LogError::Malformed { line: 1, .. }));
}

#[test]
fn a_slice_is_unserved_from_the_first_failure_to_the_next_response() {
    let records = [
        record("a", RequestKind::List, &[(0, answered("t1", 0))]),
        record("b", RequestKind::List, &[(1_000, AttemptOutcome::Unknown)]),
        record(
            "c",
            RequestKind::List,
            &[(1_500, not_run()), (4_000, answered("t1", 1))],
        ),
    ];

    let span = longest_unserved(&records).unwrap();

    assert_eq!((span.from_us, span.until_us), (1_000, 4_100));
}

#[test]
fn a_slice_that_is_never_served_again_counts_to_the_end() {
    let records = [
        record("a", RequestKind::List, &[(0, answered("t1", 0))]),
        record(
            "b",
            RequestKind::List,
            &[(1_000, not_run()), (5_000_000, not_run())],
        ),
    ];

    let report = RunReport::new(&records, &[], AuditReport::default());

    assert_eq!(report.unserved.as_ref().unwrap().length_us(), 4_999_100);
    assert!(!report.passes());
    assert!(report.describe().ends_with(
        "demo: 2 sent, 1 answered, 1 refused as not run, 0 unknown, 0 wrong, 0 doubled\n"
    ));
}

#[test]
fn the_same_seed_plans_the_same_requests() {
    let services = vec![PlannedService {
        name: Arc::from("agenda"),
        slices: 64,
    }];
    let plan = |seed, caller| {
        let mut planner = RequestPlanner::new(seed, caller, services.clone(), 100);
        (0..50).map(|_| planner.next_request()).collect::<Vec<_>>()
    };

    assert_eq!(plan(7, 0), plan(7, 0));
    assert_ne!(plan(7, 0)[0].key, plan(7, 1)[0].key);
    assert!(
        plan(7, 0)
            .iter()
            .any(|request| request.kind == RequestKind::Create)
    );
}

#[test]
fn the_minimal_command_line_has_all_defaults() {
    let line = "caller-standin --nodes 127.0.0.1:1,127.0.0.1:2 --services agenda:64,patrones \
                --check-logs a.jsonl b.jsonl";

    let options = cli::read_options(&cli::command().get_matches_from(line.split_whitespace()));

    assert_eq!(options.nodes.len(), 2);
    assert_eq!(options.logs.len(), 2);
    assert_eq!(options.services[0].slices, 64);
    assert_eq!(options.services[1].slices, 0);
    assert!(options.ready_ms > 0);
}
