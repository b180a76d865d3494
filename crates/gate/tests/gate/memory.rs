//! The memory of a small node in virtual time, with slow readers and large uploads beside small requests.
//!
//! Model: uploads and the responses to slow readers hold their reservation while their bytes pass at the rate of
//! the link or of the reader. A refused upload is tried again; a response without room is streamed. Small requests
//! come all the time and are held for a few milliseconds.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wagtail_core::units::LocalMoment;
use wagtail_gate::memory::{MemoryBudget, MemoryOptions};

/// The memory of a small node in bytes.
const MEMORY: u64 = 160 << 20;

/// The size of a large upload in bytes.
const UPLOAD_BYTES: u64 = 4 << 20;

/// The uploads that are sent at a time. Their callers retry what is refused.
const UPLOADS: usize = 64;

/// The responses whose callers read slowly.
const SLOW_READERS: usize = 200;

/// The size of the response to a slow reader in bytes.
const RESPONSE_BYTES: u64 = 512 << 10;

/// The time that a slow reader takes for its response, in milliseconds.
const READ_MS: std::ops::Range<u64> = 1_000..5_000;

/// The time that an upload is held, in milliseconds: its transfer and its wait for a slot.
const UPLOAD_MS: std::ops::Range<u64> = 400..2_500;

/// The fewest uploads in the simulated time: half of those that fit into half of the memory for large bodies, which
/// is 20 MB, at 1.45 s each in the mean.
const MIN_UPLOADS: u32 = 5 * 60 * 100 / 145 / 2;

/// The simulated time in milliseconds.
const SPAN_MS: u64 = 60_000;

/// Returns a budget of the given memory with the default options.
fn budget(memory: Option<u64>) -> MemoryBudget {
    MemoryBudget::new(MemoryOptions::default(), memory)
}

/// `Holder` is an upload or a response that holds its bytes or waits to be tried again.
#[derive(Debug)]
struct Holder {
    bytes: u64,
    hold_ms: std::ops::Range<u64>,
    holds: bool,
    next_ms: u64,
    refusals: u32,
    completed: u32,
}

/// Returns a holder that is tried first at a random time.
fn holder(bytes: u64, hold_ms: std::ops::Range<u64>, random: &mut ChaCha8Rng) -> Holder {
    Holder {
        bytes,
        hold_ms,
        holds: false,
        next_ms: random.random_range(0..100),
        refusals: 0,
        completed: 0,
    }
}

/// Guards against a node that takes more memory than its limit, and against large bodies that keep small requests
/// out: 200 slow readers and 64 uploads of 4 MB at a node of 160 MB.
#[test]
fn small_requests_pass_beside_200_slow_readers_and_64_uploads_of_4_mb_at_160_mb() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut budget = budget(Some(MEMORY));
        let total = budget.total().unwrap();
        let mut holders: Vec<Holder> = (0..UPLOADS)
            .map(|_| holder(UPLOAD_BYTES, UPLOAD_MS, &mut random))
            .collect();
        holders.extend((0..SLOW_READERS).map(|_| holder(RESPONSE_BYTES, READ_MS, &mut random)));
        let mut small: Vec<(u64, u64)> = Vec::new();
        let mut greatest = 0;

        for at_ms in 0..SPAN_MS {
            let now = LocalMoment::from_millis(at_ms);
            for held in holders.iter_mut().filter(|held| held.next_ms == at_ms) {
                if held.holds {
                    budget.release(held.bytes, now);
                    held.holds = false;
                    held.completed += 1;
                    held.next_ms += 1;
                    continue;
                }
                if held.bytes < UPLOAD_BYTES && !budget.has_spare_room(0, held.bytes) {
                    held.next_ms += random.random_range(held.hold_ms.clone());
                    continue;
                }
                match budget.reserve(held.bytes, now) {
                    Ok(()) => {
                        held.holds = true;
                        held.next_ms += random.random_range(held.hold_ms.clone());
                    }
                    Err(retry_after) => {
                        let bounds = Duration::from_millis(50)..=Duration::from_secs(1);
                        assert!(bounds.contains(&retry_after), "{retry_after:?}");
                        held.refusals += 1;
                        let pause = u64::try_from(retry_after.as_millis()).unwrap();
                        held.next_ms += pause.max(1) * random.random_range(80..160) / 100;
                    }
                }
            }

            small.retain(|(bytes, until_ms)| {
                if *until_ms <= at_ms {
                    budget.release(*bytes, now);
                }
                *until_ms > at_ms
            });
            let bytes = random.random_range(200..60_000);
            assert_eq!(
                budget.reserve(bytes, now),
                Ok(()),
                "a small body at {at_ms}"
            );
            small.push((bytes, at_ms + random.random_range(5..100)));
            greatest = greatest.max(budget.held());
        }

        assert!(greatest <= total, "{greatest} of {total}");
        let refusals: u32 = holders.iter().map(|held| held.refusals).sum();
        let uploads: u32 = holders[..UPLOADS].iter().map(|held| held.completed).sum();
        assert!(refusals > 0, "the load does not fill the budget");
        println!("seed {seed}: held {greatest} of {total}, {uploads} uploads, {refusals} refusals");
        assert!(uploads >= MIN_UPLOADS, "{uploads} uploads");
    }
}

/// Guards against large bodies that take the part of the small ones, also by growing.
#[test]
fn large_bodies_leave_a_quarter_to_small_ones() {
    let mut budget = budget(Some(3 << 20));
    let now = LocalMoment::ZERO;

    budget.reserve(700 << 10, now).unwrap();
    assert!(budget.reserve(100 << 10, now).is_err());
    // 64 KB more are just the large part; a small body that grows out of its part counts as large.
    budget.reserve(60 << 10, now).unwrap();
    assert!(budget.grow(60 << 10, 40 << 10, now).is_err());
    budget.grow(60 << 10, 2 << 10, now).unwrap();
    budget.reserve(63 << 10, now).unwrap();
    assert_eq!(budget.held(), (700 + 62 + 63) << 10);
    assert_eq!(budget.refusals(), 2);
}

/// Guards against bytes that stay reserved after all bodies have ended, by a body that changed its class.
#[test]
fn all_bytes_are_free_after_the_last_release() {
    let mut budget = budget(Some(3 << 20));
    let now = LocalMoment::ZERO;

    budget.reserve(64 << 10, now).unwrap();
    budget.grow(64 << 10, 64 << 10, now).unwrap();
    budget.shrink(128 << 10, 5 << 10);
    assert_eq!(budget.held(), 5 << 10);
    budget.release(5 << 10, now);
    assert_eq!(budget.held(), 0);
    budget.reserve(768 << 10, now).unwrap();
    budget.release(768 << 10, now);
    assert_eq!(budget.held(), 0);
}

/// Guards against delays that are far from the time after which the memory is free.
#[test]
fn the_delay_follows_the_rate_at_which_reservations_end() {
    let mut budget = budget(Some(3 << 20));
    let at = LocalMoment::from_millis;
    // 64 KB end every 50 ms.
    for step in 0..40 {
        budget.reserve(64 << 10, at(step * 50)).unwrap();
        budget.release(64 << 10, at(step * 50));
    }
    budget.reserve(768 << 10, at(1_950)).unwrap();

    let delay = budget.reserve(256 << 10, at(2_000)).unwrap_err();
    assert!(
        delay.abs_diff(Duration::from_millis(200)) < Duration::from_millis(10),
        "{delay:?}"
    );
    // The next one returns after the first, so that they do not find each other's bytes taken.
    let delay = budget.reserve(256 << 10, at(2_000)).unwrap_err();
    assert!(
        delay.abs_diff(Duration::from_millis(400)) < Duration::from_millis(20),
        "{delay:?}"
    );
    // After a while without an end, nothing is known.
    let delay = budget.reserve(256 << 10, at(5_000)).unwrap_err();
    assert_eq!(delay, Duration::from_secs(1));
}

/// Guards against a budget that refuses where the settings state no limit.
#[test]
fn without_a_limit_everything_fits() {
    let mut budget = budget(None);
    let now = LocalMoment::ZERO;

    budget.reserve(u64::MAX / 2, now).unwrap();
    budget.grow(u64::MAX / 2, 1 << 40, now).unwrap();
    assert_eq!(budget.refusals(), 0);
}
