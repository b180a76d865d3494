//! Tests of the validation of intent documents.

use assert_matches::assert_matches;
use serde_json::{Value, json};
use wagtail_intent::{IntentDocument, IntentError, parse_intent};

fn valid_document() -> Value {
    json!({
        "services": [{
            "name": "agenda", "keyed": true, "slices": 64, "slots": 6, "connections": 120,
            "operations": [
                {"name": "list", "method": "GET", "path": "/slots", "idempotent": true},
                {"name": "book", "method": "POST", "path": "/slots", "idempotent": false},
            ],
            "tenants": [{"name": "malla", "weight": 3}],
        }],
        "drain": ["vm-1"],
    })
}

/// Returns the faults of an invalid document as strings.
fn faults(document: &Value) -> Vec<String> {
    match parse_intent(document) {
        Err(IntentError::Faults { faults }) => faults.iter().map(ToString::to_string).collect(),
        other => panic!("no faults: {other:?}"),
    }
}

#[test]
fn a_valid_document_is_read() {
    assert_matches!(
        parse_intent(&valid_document()),
        Ok(IntentDocument { services, drain, .. })
            if services[0].tenants[0].weight == 3 && drain.len() == 1
    );
}

#[test]
fn every_fault_is_listed_with_its_path_range_and_unit() {
    let document = json!({
        "services": [
            {
                "name": "Agenda", "keyed": "yes", "slices": 0, "slots": 200, "connections": 120,
                "max_deadline_ms": -1, "colour": "red",
                "operations": [
                    {"name": "list", "method": "GET", "path": "/slots", "idempotent": true},
                    {"name": "list", "method": "get", "path": "slots", "idempotent": 1,
                     "class": "tiny"},
                    {"name": "again", "method": "GET", "path": "/slots"},
                ],
                "tenants": [{"name": "malla", "weight": 0}],
            },
            7,
        ],
        "drain": ["vm-1", "vm-1"],
        "gone": ["vm-1", ""],
    });

    let expected = [
        "services[0].colour: unknown field",
        "services[0].name: must be a name of 1 to 63 bytes",
        "services[0].keyed: must be true or false",
        "services[0].slices: must be a whole number from 1 to 65536 slices",
        "services[0].max_deadline_ms: must be a whole number from 1 to 3600000 milliseconds",
        "services[0].connections: must be at least the 200 slots",
        "services[0].operations[1].idempotent: must be true or false",
        "services[0].operations[1].method: must be one of GET",
        "services[0].operations[1].path: must start with /",
        "services[0].operations[1].class: must be short or long",
        "services[0].operations[2].idempotent: is required",
        "services[0].operations[2].path: GET /slots is the route of operations[0] also",
        "services[0].operations[1].name: list stands here a second time",
        "services[0].tenants[0].weight: must be a whole number from 1 to 1000 shares",
        "services[1]: must be a mapping",
        "drain[1]: vm-1 stands here a second time",
        "gone[0]: vm-1 stands in drain also",
        "gone[1]: must be a name",
    ];
    let found = faults(&document);

    for fault in expected {
        assert!(
            found.iter().any(|text| text.starts_with(fault)),
            "{fault} is not in {found:#?}"
        );
    }
    assert_eq!(found.len(), expected.len(), "{found:#?}");
}

#[test]
fn a_service_is_declared_once_and_not_removed_as_well() {
    let mut document = valid_document();
    let service = document["services"][0].clone();
    document["services"] = json!([service, service]);
    document["remove_services"] = json!(["agenda"]);

    assert_eq!(
        faults(&document),
        [
            "services[0].name: agenda stands in remove_services also",
            "services[1].name: agenda stands in remove_services also",
            "services[1].name: agenda stands here a second time",
        ]
    );
}

#[test]
fn a_document_that_states_nothing_is_refused() {
    for document in [json!({}), json!({"drain": []}), json!([]), json!(null)] {
        assert_eq!(faults(&document).len(), 1);
    }
}
