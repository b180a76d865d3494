//! The bounds of options, messages and calls.

use crate::driver::{SECOND, World, WorldOptions};
use assert_matches::assert_matches;
use std::time::Duration;
use wagtail_lease::{LeaseMessage, LeaseOptions, OptionsError};

/// The payload in bytes of a renewal when nothing changed.
const LONGEST_RENEWAL: usize = 100;

/// The bytes a second that a node may spend on control.
const CONTROL_BYTES_A_SECOND: u64 = 13_000;

/// The headers of IP and TCP in bytes, with the timestamps option, and those of an h2 data frame.
const HEADER_BYTES: usize = 20 + 32 + 9;

fn with(change: impl Fn(&mut LeaseOptions)) -> Result<(), OptionsError> {
    let mut options = LeaseOptions::default();
    change(&mut options);

    options.check()
}

#[test]
fn the_default_options_are_safe_and_quick() {
    assert_matches!(LeaseOptions::default().check(), Ok(()));
}

#[test]
fn unsafe_or_slow_options_are_refused() {
    let long = Duration::from_secs(3);

    assert_matches!(
        with(|options| options.set_size = 4),
        Err(OptionsError::SetSize)
    );
    assert_matches!(
        with(|options| options.set_size = 1),
        Err(OptionsError::SetSize)
    );
    assert_matches!(
        with(|options| options.clock_rate_thousandths = 0),
        Err(OptionsError::ClockBound)
    );
    assert_matches!(
        with(|options| options.term = options.renew_interval * 2),
        Err(OptionsError::TermTooShort)
    );
    assert_matches!(
        with(|options| options.suspicion = options.renew_interval),
        Err(OptionsError::SuspicionTooShort)
    );
    assert_matches!(
        with(|options| options.term = long),
        Err(OptionsError::TakeoverTooSlow(_))
    );
    assert_matches!(
        with(|options| options.unfenced_wait = long),
        Err(OptionsError::TakeoverTooSlow(_))
    );
    assert_matches!(
        with(|options| options.platform_in_flight = 0),
        Err(OptionsError::Zero("platform_in_flight"))
    );
}

#[test]
fn a_witness_holds_a_grant_longer_than_the_owner_counts_on_it() {
    let options = LeaseOptions::default();

    // The owner's clock is as slow and the witness's as fast as the bound allows.
    let owner = options.term.as_secs_f64() / 0.99;
    let witness = options.witness_term().as_secs_f64() / 1.01;

    assert!(witness > owner);
}

fn encoded(message: &LeaseMessage) -> usize {
    let config = bincode::config::standard();

    bincode::serde::encode_to_vec(message, config)
        .unwrap()
        .len()
}

fn encoded_with_headers(message: &LeaseMessage) -> usize {
    encoded(message) + HEADER_BYTES
}

#[test]
fn a_renewal_is_short_when_nothing_changed() {
    let renewal = LeaseMessage::Renew {
        sequence: u64::MAX,
        version: u64::MAX,
        bundle: None,
    };
    let answer = LeaseMessage::Renewed {
        sequence: u64::MAX,
        refusals: Vec::new(),
        changes: Vec::new(),
    };

    assert!(encoded(&renewal) <= LONGEST_RENEWAL);
    assert!(encoded(&answer) <= LONGEST_RENEWAL);
}

#[test]
fn sixteen_slices_a_node_stay_within_the_control_budget() {
    let mut world = World::new(WorldOptions {
        nodes: 14,
        slices: 14 * 16,
        measure: Some(encoded_with_headers),
        ..WorldOptions::default()
    });

    world.run_for(SECOND);
    world.claim_all();
    world.run_for(20 * SECOND);

    let before = world.counts.bytes;
    world.run_for(10 * SECOND);

    // What a node receives counts as well as what it sends.
    let bytes = (world.counts.bytes - before) * 2 / 10 / 14;
    assert!(bytes > 0 && bytes <= CONTROL_BYTES_A_SECOND, "{bytes}");
}

#[test]
fn a_lost_zone_does_not_burst_past_the_platforms_rate() {
    let mut world = World::new(WorldOptions {
        nodes: 30,
        slices: 240,
        ..WorldOptions::default()
    });
    world.run_for(SECOND);
    world.claim_all();
    world.run_for(20 * SECOND);
    world.counts.max_writes_per_second = 0;

    for node in (0..30).step_by(3) {
        world.kill(node);
    }

    world.run_for(10 * SECOND);

    let most = world.counts.max_writes_per_second;
    assert!(most > 0 && most <= 450, "{most}");
    assert_eq!(world.violations, Vec::<String>::new());
}
