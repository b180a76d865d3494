//! Tests of the validation, partitioning and retry rules of the shared types.

use assert_matches::assert_matches;
use wagtail_core::{
    CoreError,
    ids::{NodeName, RequestId},
    slice::KeyHash,
    verdict::RunVerdict,
};

#[test]
fn names_outside_the_alphabet_are_refused() {
    for text in ["", "Big", "a b", "a/b", &"x".repeat(64)] {
        assert_matches!(NodeName::new(text), Err(CoreError::InvalidName { .. }));
    }

    assert_eq!(NodeName::new("vm-1.az_a").unwrap().as_str(), "vm-1.az_a");
}

#[test]
fn names_are_checked_when_read_from_json() {
    assert_matches!(serde_json::from_str::<NodeName>("\"NOT OK\""), Err(_));
}

#[test]
fn request_identifiers_hold_printable_text_only() {
    assert_matches!(
        RequestId::new("a\nb"),
        Err(CoreError::InvalidRequest { .. })
    );
    assert_matches!(RequestId::new("7f3a"), Ok(_));
}

#[test]
fn every_key_has_a_slice_and_slices_fill_evenly() {
    let count = 64;
    let mut key_counts = vec![0_u32; count as usize];

    for key in 0..64_000 {
        let index = KeyHash::new(format!("key-{key}").as_bytes()).slice_index(count);
        key_counts[index as usize] += 1;
    }

    assert!(
        key_counts.iter().all(|&keys| (800..1_200).contains(&keys)),
        "{key_counts:?}"
    );
}

#[test]
fn only_an_idempotent_request_is_repeated_after_an_unknown_outcome() {
    assert!(RunVerdict::Unknown.allows_retry(true));
    assert!(!RunVerdict::Unknown.allows_retry(false));
    assert!(RunVerdict::NotRun.allows_retry(false));
    assert!(!RunVerdict::Done.allows_retry(true));
}
