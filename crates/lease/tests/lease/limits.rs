//! Limits of the options, the message sizes and the rate of calls to the platform.

use crate::driver::{SECOND, World, WorldOptions};
use assert_matches::assert_matches;
use std::time::Duration;
use wagtail_lease::{LeaseMessage, LeaseOptions, OptionsError};

/// The largest payload in bytes of a renewal without changes, and of its response.
const MAX_RENEWAL_BYTES: usize = 100;

/// The bytes per second that a node may send and receive for lease control.
const MAX_CONTROL_BYTES_PER_SECOND: u64 = 13_000;

/// The bytes of the IP header, the TCP header with its timestamps option, and the header of an
/// HTTP/2 data frame.
const HEADER_BYTES: usize = 20 + 32 + 9;

fn check_with(change: impl Fn(&mut LeaseOptions)) -> Result<(), OptionsError> {
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
        check_with(|options| options.set_size = 4),
        Err(OptionsError::SetSize)
    );
    assert_matches!(
        check_with(|options| options.set_size = 1),
        Err(OptionsError::SetSize)
    );
    assert_matches!(
        check_with(|options| options.clock_rate_thousandths = 0),
        Err(OptionsError::ClockBound)
    );
    assert_matches!(
        check_with(|options| options.term = options.renew_interval * 2),
        Err(OptionsError::TermTooShort)
    );
    assert_matches!(
        check_with(|options| options.suspicion = options.renew_interval),
        Err(OptionsError::SuspicionTooShort)
    );
    assert_matches!(
        check_with(|options| options.term = long),
        Err(OptionsError::TakeoverTooSlow(_))
    );
    assert_matches!(
        check_with(|options| options.unfenced_wait = long),
        Err(OptionsError::TakeoverTooSlow(_))
    );
    assert_matches!(
        check_with(|options| options.platform_in_flight = 0),
        Err(OptionsError::Zero("platform_in_flight"))
    );
}

#[test]
fn a_witness_holds_a_grant_longer_than_the_owner_counts_on_it() {
    let options = LeaseOptions::default();

    // The owner's clock is as slow and the witness's clock as fast as the bound of one percent
    // allows.
    let owner = options.term.as_secs_f64() / 0.99;
    let witness = options.witness_term().as_secs_f64() / 1.01;

    assert!(witness > owner);
}

fn encoded_len(message: &LeaseMessage) -> usize {
    let config = bincode::config::standard();

    bincode::serde::encode_to_vec(message, config)
        .unwrap()
        .len()
}

fn encoded_len_with_headers(message: &LeaseMessage) -> usize {
    encoded_len(message) + HEADER_BYTES
}

#[test]
fn a_renewal_is_short_when_nothing_changed() {
    let renewal = LeaseMessage::Renew {
        sequence: u64::MAX,
        version: u64::MAX,
        bundle: None,
    };
    let response = LeaseMessage::Renewed {
        sequence: u64::MAX,
        refusals: Vec::new(),
        changes: Vec::new(),
    };

    assert!(encoded_len(&renewal) <= MAX_RENEWAL_BYTES);
    assert!(encoded_len(&response) <= MAX_RENEWAL_BYTES);
}

#[test]
fn sixteen_slices_a_node_stay_within_the_control_budget() {
    let mut world = World::new(WorldOptions {
        nodes: 14,
        slices: 14 * 16,
        measure: Some(encoded_len_with_headers),
        ..WorldOptions::default()
    });

    world.run_for(SECOND);
    world.claim_all();
    world.run_for(20 * SECOND);

    let before = world.counts.bytes;
    world.run_for(10 * SECOND);

    // The counter holds sent bytes. Each is also received by a node, hence the factor of two.
    let bytes = (world.counts.bytes - before) * 2 / 10 / 14;
    assert!(
        bytes > 0 && bytes <= MAX_CONTROL_BYTES_PER_SECOND,
        "{bytes}"
    );
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

    let max_writes = world.counts.max_writes_per_second;
    assert!(max_writes > 0 && max_writes <= 450, "{max_writes}");
    assert_eq!(world.violations, Vec::<String>::new());
}
