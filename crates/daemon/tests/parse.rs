//! Tests of the parsing of callers' requests.

use assert_matches::assert_matches;
use hyper::{Request, http::request::Parts};
use wagtail_core::{CoreError, ids::ServiceName, service::ServiceSpec};
use wagtail_daemon::{
    fleet::FleetState,
    parse::{ParseFailure, ParsedRequest, parse_request},
};

/// Creates a fleet with a keyed service and one without keys.
fn fleet() -> FleetState {
    let spec = |name: &str, keyed: bool| ServiceSpec {
        name: ServiceName::new(name).unwrap(),
        keyed,
        slices: 64,
        slots: 6,
        connections: 120,
        fenced: true,
        max_deadline_ms: 5_000,
        operations: serde_json::from_value(serde_json::json!([
            {"name": "list", "method": "GET", "path": "/items", "idempotent": true},
            {"name": "files", "method": "GET", "path": "/items/files", "idempotent": true,
             "class": "long"},
            {"name": "book", "method": "POST", "path": "/items", "idempotent": false}
        ]))
        .unwrap(),
        tenants: Vec::new(),
    };
    let mut fleet = FleetState::default();
    fleet.config.services = vec![spec("agenda", true), spec("patrones", false)];

    fleet
}

/// Parses a request with the given header fields.
fn parse(method: &str, uri: &str, fields: &[(&str, &str)]) -> Result<ParsedRequest, ParseFailure> {
    let mut builder = Request::builder().method(method).uri(uri);
    for (name, value) in fields {
        builder = builder.header(*name, *value);
    }
    let (parts, ()): (Parts, ()) = builder.body(()).unwrap().into_parts();

    parse_request(&parts, &fleet())
}

#[test]
fn the_longest_declared_path_decides_the_operation() {
    let parsed = parse(
        "GET",
        "/agenda/items/files/1?page=2",
        &[("wagtail-key", "k")],
    )
    .unwrap();

    assert_eq!(parsed.head.operation.as_str(), "files");
    assert_eq!(&*parsed.head.path, "/items/files/1?page=2");
}

#[test]
fn idempotency_comes_from_the_declaration() {
    let fields = [("wagtail-key", "k"), ("idempotency", "true")];

    assert!(
        !parse("POST", "/agenda/items", &fields)
            .unwrap()
            .head
            .idempotent
    );
}

#[test]
fn unknown_services_and_operations_are_not_found() {
    for (method, uri) in [
        ("GET", "/nowhere/items"),
        ("DELETE", "/agenda/items"),
        ("GET", "/"),
    ] {
        let failure = parse(method, uri, &[("wagtail-key", "k")]).unwrap_err();
        assert!(failure.not_found, "{method} {uri}: {}", failure.error);
    }
}

#[test]
fn a_key_is_needed_by_a_keyed_service_and_refused_by_another() {
    let long = "k".repeat(1_025);
    let faults: [(&str, &[(&str, &str)]); 5] = [
        ("/agenda/items", &[]),
        ("/agenda/items", &[("wagtail-key", "")]),
        ("/agenda/items", &[("wagtail-key", &long)]),
        (
            "/agenda/items",
            &[("wagtail-key", "a"), ("wagtail-key", "b")],
        ),
        ("/patrones/items", &[("wagtail-key", "k")]),
    ];

    for (uri, fields) in faults {
        let failure = parse("GET", uri, fields).unwrap_err();
        assert_matches!(failure.error, CoreError::InvalidRequest { .. });
        assert!(!failure.not_found);
    }
}

#[test]
fn absurd_deadlines_are_refused_with_their_range() {
    for deadline in ["0", "5001", "-1", "soon", "1e3"] {
        let fields = [("wagtail-deadline-ms", deadline)];
        let failure = parse("GET", "/patrones/items", &fields).unwrap_err();

        assert!(
            failure.error.to_string().contains("1 to 5000 milliseconds"),
            "{deadline}"
        );
    }
}

#[test]
fn forged_fields_of_the_system_do_not_travel() {
    let fields = [
        ("wagtail-epoch", "99"),
        ("connection", "close"),
        ("accept", "text/html"),
    ];
    let parsed = parse("GET", "/patrones/items", &fields).unwrap();
    let names: Vec<&str> = parsed
        .head
        .headers
        .iter()
        .map(|field| &*field.name)
        .collect();

    assert_eq!(names, ["accept"]);
}

#[test]
fn an_answer_to_a_malformed_request_carries_its_identifier() {
    let failure = parse("GET", "/agenda/items", &[("wagtail-request-id", "mine")]).unwrap_err();
    assert_eq!(failure.id.as_str(), "mine");

    let failure = parse("GET", "/agenda/items", &[("wagtail-request-id", "a b")]).unwrap_err();
    assert_ne!(failure.id.as_str(), "a b");
}
