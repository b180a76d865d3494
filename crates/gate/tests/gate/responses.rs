//! Tests of the classification of responses.

use wagtail_gate::response::{ResponseClaim, ResponseKind};

/// A success of the request with the identifier `a`.
const SUCCESS: ResponseClaim<'_> = ResponseClaim {
    request_id: Some("a"),
    is_refusal: false,
    is_success: true,
    is_genuine: true,
};

/// A refusal of the same request.
const REFUSAL: ResponseClaim<'_> = ResponseClaim {
    is_refusal: true,
    is_success: false,
    is_genuine: false,
    ..SUCCESS
};

/// Guards against a refusal of an earlier request that counts for the next one, which may run.
#[test]
fn a_refusal_counts_for_the_request_that_it_names_only() {
    assert_eq!(REFUSAL.classify("a"), ResponseKind::Refusal);
    assert_eq!(REFUSAL.classify("b"), ResponseKind::Foreign);
}

/// Guards against a copy of a refusal that has lost its identifier and counts for the next request.
#[test]
fn a_refusal_that_names_no_request_counts_for_none() {
    let unnamed = ResponseClaim {
        request_id: None,
        ..REFUSAL
    };
    assert_eq!(unnamed.classify("a"), ResponseKind::Foreign);
}

#[test]
fn an_answer_names_its_request_and_a_success_is_genuine() {
    assert_eq!(SUCCESS.classify("a"), ResponseKind::Answer);
    assert_eq!(SUCCESS.classify("b"), ResponseKind::Foreign);

    let unnamed = ResponseClaim {
        request_id: None,
        ..SUCCESS
    };
    assert_eq!(unnamed.classify("a"), ResponseKind::Foreign);
    let unmarked = ResponseClaim {
        is_genuine: false,
        ..SUCCESS
    };
    assert_eq!(unmarked.classify("a"), ResponseKind::NotGenuine);
    let failure = ResponseClaim {
        is_success: false,
        ..unmarked
    };
    assert_eq!(failure.classify("a"), ResponseKind::Answer);
}
