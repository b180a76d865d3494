//! A narrow range of keys that gets much of the traffic of a large service.
//!
//! Pattern: 200 neighbouring keys get two fifths of all requests for some seconds, far more than the target
//! that holds them can serve.

use crate::support::holder;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtail_core::units::LocalMoment;
use wagtail_shard::{
    balance::{BalanceOptions, HolderLoad, rebalance},
    load::{KeyCounter, max_pieces},
};

/// The targets of the service, and the requests a second that each can serve.
const TARGETS: u16 = 155;
const CAPACITY: f32 = 42.0;

/// The requests a second of the service, and the share that goes to the hot keys.
const RATE: f32 = 2_400.0;
const HOT_SHARE: f64 = 0.41;
const HOT_KEYS: u16 = 200;

/// The rounds of moves after which no target may be overloaded by half. Rounds are 1.2 s apart and a hot
/// spell lasts 5 s, so that most of it is served.
const MAX_ROUNDS: usize = 2;

/// Returns the load of the holder that has the keys `from..=to`, by requests at the given keys.
fn load(name: &str, ranges: &[(u16, u16)], keys: &[u16]) -> HolderLoad {
    let now = LocalMoment::from_millis(1_000);
    let mut counter = KeyCounter::default();
    counter.count(ranges[0].0, LocalMoment::ZERO);
    for key in keys {
        counter.count(*key, LocalMoment::from_millis(1));
    }

    let own = |range: &(u16, u16)| {
        keys.iter()
            .filter(|key| (range.0..=range.1).contains(*key))
            .count()
    };
    #[expect(clippy::cast_precision_loss, reason = "a small number")]
    let rate = ranges.iter().map(own).sum::<usize>() as f32;
    let pieces = max_pieces(rate / CAPACITY, ranges.len());
    let mut cut = Vec::new();
    for (from, to) in ranges {
        cut.extend(counter.pieces(*from, *to, pieces, now));
    }
    // The counter tells shares; the rates are those of the requests of one second.
    for piece in &mut cut {
        #[expect(clippy::cast_precision_loss, reason = "a small number")]
        let count = own(&(piece.from, piece.to)) as f32;
        piece.rate = count;
    }

    HolderLoad {
        holder: holder(name, 1),
        capacity: CAPACITY,
        pieces: cut,
    }
}

/// Guards against a hot range that stays with few targets of a large service for as long as it is hot.
#[test]
fn a_hot_range_is_spread_over_a_large_service_in_two_rounds() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let hot_from = 30_000;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rate"
    )]
    let keys: Vec<u16> = (0..RATE as usize)
        .map(|_| {
            if random.random_bool(HOT_SHARE) {
                hot_from + random.random_range(0..HOT_KEYS)
            } else {
                random.random()
            }
        })
        .collect();
    let width = u16::MAX / TARGETS;
    let mut ranges: Vec<Vec<(u16, u16)>> = (0..TARGETS)
        .map(|index| {
            let last = if index + 1 == TARGETS {
                u16::MAX
            } else {
                (index + 1) * width - 1
            };
            vec![(index * width, last)]
        })
        .collect();

    let mut peaks = Vec::new();
    for _ in 0..=MAX_ROUNDS {
        let loads: Vec<HolderLoad> = ranges
            .iter()
            .enumerate()
            .map(|(index, owned)| {
                let own: Vec<u16> = keys
                    .iter()
                    .copied()
                    .filter(|key| owned.iter().any(|(from, to)| (from..=to).contains(&key)))
                    .collect();
                load(&format!("n{index}"), owned, &own)
            })
            .collect();
        peaks.push(
            loads
                .iter()
                .map(HolderLoad::utilisation)
                .fold(0.0, f32::max),
        );

        for moved in rebalance(&loads, &BalanceOptions::default().for_targets(loads.len())) {
            for owned in &mut ranges {
                let kept = owned
                    .iter()
                    .flat_map(|&(from, to)| cut_out(from, to, &moved));
                *owned = kept.collect();
            }
            let next = loads
                .iter()
                .position(|other| other.holder == moved.next)
                .unwrap();
            ranges[next].push((moved.from, moved.to));
        }
    }

    let last = peaks.last().unwrap();
    assert!(
        *last <= 1.5,
        "the utilisation of the busiest target: {peaks:?}"
    );
}

/// Returns what is left of a range without the moved one.
fn cut_out(from: u16, to: u16, moved: &wagtail_shard::balance::RangeMove) -> Vec<(u16, u16)> {
    let mut left = Vec::new();
    if moved.to < from || to < moved.from {
        return vec![(from, to)];
    }
    if from < moved.from {
        left.push((from, moved.from - 1));
    }
    if moved.to < to {
        left.push((moved.to + 1, to));
    }
    left
}
