//! Tests of the program against a fake node that sends prepared responses.

use serde_json::{Value, json};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Command, Output},
    thread::{self, JoinHandle},
};
use wagtail_core::service::ConfigDocument;
use wagtail_intent::{
    FleetView, IntentDocument, PlanDocument, make_plan,
    reports::{ErrorReport, StatusReport},
};
use wagtail_tool::input::read_intent;

/// `NodeResponse` is what the fake node does with one request.
enum NodeResponse {
    /// Send a status and a body.
    Send(u16, Value),
    /// Send a refusal with the header that a callers port sends.
    RefuseCaller,
    /// Close the connection without a response.
    Close,
}

/// Starts a fake node that sends the next of the responses on each connection. The thread
/// returns the requests that it read.
fn start_node(responses: Vec<NodeResponse>) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = move || {
        let mut requests = Vec::new();
        for response in responses {
            let (mut stream, _) = listener.accept().unwrap();
            requests.push(read_request(&mut stream));

            let (status, body, extra) = match response {
                NodeResponse::Send(status, body) => (status, body.to_string(), ""),
                NodeResponse::RefuseCaller => (404, String::new(), "wagtail-verdict: not-run\r\n"),
                NodeResponse::Close => continue,
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\n{extra}content-length: {}\r\nconnection: close\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes()).unwrap();
        }

        requests
    };

    (address, thread::spawn(serve))
}

/// Reads one request with its body.
fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4096];

    loop {
        let read = stream.read(&mut buffer).unwrap();
        text.push_str(std::str::from_utf8(&buffer[..read]).unwrap());

        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;

            name.eq_ignore_ascii_case("content-length")
                .then(|| value.parse().unwrap())
        });
        if read == 0 || body.len() >= length.unwrap_or(0) {
            return text;
        }
    }
}

fn wagtail(node: SocketAddr, line: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wagtail"))
        .args(["--node", &node.to_string()])
        .args(line.split_whitespace())
        .env("WAGTAIL_TOKEN", "secret")
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn declared_plan() -> PlanDocument {
    let intent: IntentDocument = serde_json::from_value(json!({
        "services": [{
            "name": "agenda", "keyed": true, "slots": 6, "connections": 120,
            "operations": [{"name": "list", "method": "GET", "path": "/", "idempotent": true}],
        }],
    }))
    .unwrap();

    make_plan(
        &intent,
        &ConfigDocument::default(),
        &FleetView::default(),
        7,
    )
    .unwrap()
}

#[test]
fn a_drain_is_planned_and_confirmed_against_its_version() {
    let plan = declared_plan();
    let (node, served) = start_node(vec![
        NodeResponse::Send(200, serde_json::to_value(&plan).unwrap()),
        NodeResponse::Send(200, json!({"version": 1})),
    ]);

    let output = wagtail(node, "drain vm-1 --yes");
    let requests = served.join().unwrap();

    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("service agenda is added"));
    assert!(text(&output.stdout).contains("confirmed as version 1"));
    assert!(requests[0].starts_with("POST /v1/plans HTTP/1.1"));
    assert!(requests[0].contains("authorization: Bearer secret"));
    assert!(requests[0].contains(r#""drain":["vm-1"]"#));
    assert!(requests[1].starts_with(&format!("POST /v1/plans/{}/confirm", plan.id)));
    assert!(requests[1].ends_with(r#"{"base_version":0}"#));
}

#[test]
fn a_confirmation_without_a_response_may_be_in_force() {
    let plan = declared_plan();
    let (node, served) = start_node(vec![
        NodeResponse::Send(200, serde_json::to_value(&plan).unwrap()),
        NodeResponse::Close,
    ]);

    let output = wagtail(node, &format!("confirm {}", plan.id));
    served.join().unwrap();

    assert_eq!(output.status.code(), Some(4), "{}", text(&output.stderr));
    assert!(text(&output.stderr).contains("run the same `wagtail confirm` again"));
}

#[test]
fn an_unreachable_node_and_a_refusal_have_separate_exit_codes() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let output = wagtail(closed, "status");
    assert_eq!(output.status.code(), Some(3), "{}", text(&output.stderr));

    let report = ErrorReport::new("unauthorized", "the token is wrong");
    let (node, served) = start_node(vec![NodeResponse::Send(
        401,
        serde_json::to_value(&report).unwrap(),
    )]);
    let output = wagtail(node, "--output json services");
    served.join().unwrap();
    assert_eq!(output.status.code(), Some(5));
    assert_eq!(
        serde_json::from_slice::<ErrorReport>(&output.stderr).unwrap(),
        report
    );
}

#[test]
fn a_key_is_encoded_in_the_query_for_its_owner() {
    let (node, served) = start_node(vec![NodeResponse::Send(
        200,
        json!({
            "slice": {"service": "agenda", "index": 3}, "epoch": 9, "deputies": ["vm-2"],
            "owner": {"name": "vm-1", "incarnation": 2}, "members": ["vm-1", "vm-2"],
        }),
    )]);

    let output = wagtail(node, "owner agenda a&b=ü");
    let requests = served.join().unwrap();

    assert!(requests[0].starts_with("GET /v1/owner/agenda?key=a%26b%3D%C3%BC HTTP/1.1"));
    assert!(text(&output.stdout).contains("owner     vm-1#2"));
}

#[test]
fn the_status_shows_problems_with_what_to_do() {
    let status = json!({
        "node": {"name": "vm-1", "incarnation": 2}, "zone": "az-a", "config_version": 3,
        "plan": "plan-3-x",
        "target": {"service": "agenda", "address": "127.0.0.1:9", "state": "serving",
                   "running": 2, "slots": 6, "fenced": true},
        "leases": {"owned": 12, "witnessed": 30, "unserved": [
            {"slice": {"service": "agenda", "index": 3}, "reason": "no majority", "for_ms": 90}]},
        "queues": [{"tenant": "malla", "class": "short", "waiting": 1, "answered": 2,
                    "refused": 3, "unknown": 0, "p50_ms": 1.25, "p99_ms": 8.0, "p999_ms": 9.0}],
        "platform": {"state": "down", "reads": 1, "writes": 2, "watches": 3, "failures": 4,
                     "last_answer_ms": 5000},
        "problems": [{"code": "platform-down", "subject": "platform",
                      "message": "no answer for 5 s", "what_to_do": "nothing; owners go on"}],
    });
    serde_json::from_value::<StatusReport>(status.clone()).unwrap();
    let (node, served) = start_node(vec![
        NodeResponse::Send(200, status.clone()),
        NodeResponse::Send(200, status.clone()),
    ]);

    let table = wagtail(node, "status");
    let json = wagtail(node, "status --output json");
    served.join().unwrap();

    for part in [
        "vm-1#2 in az-a",
        "version 3 by plan-3-x",
        "12 owned, 30 witnessed, 1 not served",
        "agenda/3 for 90 ms: no majority",
        "next: nothing; owners go on",
        "malla",
    ] {
        assert!(
            text(&table.stdout).contains(part),
            "{part} is not in {}",
            text(&table.stdout)
        );
    }
    assert_eq!(
        serde_json::from_slice::<Value>(&json.stdout).unwrap(),
        status
    );
}

#[test]
fn usage_errors_and_unreadable_files_exit_with_code_2() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();

    for line in [
        "frobnicate",
        "owner agenda",
        "plan /nowhere/at/all",
        "status --output xml",
    ] {
        let output = wagtail(closed, line);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{line}: {}",
            text(&output.stderr)
        );
    }

    let output = wagtail(closed, "completion bash");
    assert_eq!(output.status.code(), Some(0));
    assert!(text(&output.stdout).contains("_wagtail"));
}

#[test]
fn a_callers_port_is_named_as_the_mistake() {
    let (node, served) = start_node(vec![NodeResponse::RefuseCaller]);

    let output = wagtail(node, "status");
    served.join().unwrap();

    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("is a callers port; give the admin port"));
}

#[test]
fn the_example_intent_is_accepted() {
    let path = Path::new("../../docs/EXAMPLES/intent.yaml");

    let intent = read_intent(path).unwrap();

    assert_eq!(intent.services.len(), 2);
    assert!(intent.services[0].keyed && intent.services[0].fenced);
}
