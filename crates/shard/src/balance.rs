//! Selects the moves that balance the load among holders.

use crate::{load::RangeLoad, table::RangeHolder};

/// The least capacity that a holder counts with, in requests per second.
const MIN_CAPACITY: f32 = 0.1;

/// `BalanceOptions` holds the thresholds and the limit of rebalancing moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalanceOptions {
    /// The utilisation of the busiest holder below which nothing moves.
    pub min_utilisation: f32,
    /// The difference in utilisation between the busiest and the idlest holder below which nothing
    /// moves.
    pub min_difference: f32,
    /// The greatest number of ranges that move in one round.
    pub max_moves: usize,
}

impl Default for BalanceOptions {
    fn default() -> Self {
        Self {
            min_utilisation: 0.6,
            min_difference: 0.25,
            max_moves: 12,
        }
    }
}

/// `HolderLoad` is the load and the capacity of one holder.
#[derive(Debug, Clone, PartialEq)]
pub struct HolderLoad {
    /// The holder that the load belongs to.
    pub holder: RangeHolder,
    /// The requests per second that the holder can serve.
    pub capacity: f32,
    /// The load of the holder's ranges, cut into pieces.
    pub pieces: Vec<RangeLoad>,
}

impl HolderLoad {
    /// Returns the total rate of the pieces in requests per second.
    pub fn rate(&self) -> f32 {
        self.pieces.iter().map(|piece| piece.rate).sum()
    }

    /// Returns the rate as a share of the capacity; 1.0 is full use.
    pub fn utilisation(&self) -> f32 {
        self.rate() / self.capacity.max(MIN_CAPACITY)
    }
}

/// `RangeMove` is the move of a range to another holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeMove {
    /// The first key of the range.
    pub from: u16,
    /// The last key of the range, inclusive.
    pub to: u16,
    /// The holder that receives the range.
    pub next: RangeHolder,
}

/// Returns moves from the busiest to the idlest holders, at most `max_moves`. Ranges with the most
/// load per key go first, because moving fewer keys costs less.
pub fn rebalance(loads: &[HolderLoad], options: &BalanceOptions) -> Vec<RangeMove> {
    let mut loads = loads.to_vec();
    let mut moves = Vec::new();

    while moves.len() < options.max_moves {
        let Some((busy, idle)) = extremes(&loads) else {
            break;
        };
        let most = loads[busy].utilisation();
        let least = loads[idle].utilisation();
        if most < options.min_utilisation || most - least < options.min_difference {
            break;
        }

        // Moving this rate would make both utilisations equal.
        let (a, b) = (loads[busy].capacity, loads[idle].capacity);
        let wanted = (most - least) * a * b / (a + b);
        let piece = densest_piece(&loads[busy].pieces, wanted)
            .or_else(|| largest_relief(&loads[busy], &loads[idle], options.min_difference));
        let Some(index) = piece else {
            break;
        };

        let piece = loads[busy].pieces.swap_remove(index);
        moves.push(RangeMove {
            from: piece.from,
            to: piece.to,
            next: loads[idle].holder.clone(),
        });
        loads[idle].pieces.push(piece);
    }

    moves
}

/// Returns the indices of the busiest and the idlest holder, or `None` if they are the same.
fn extremes(loads: &[HolderLoad]) -> Option<(usize, usize)> {
    let by_utilisation =
        |a: &usize, b: &usize| loads[*a].utilisation().total_cmp(&loads[*b].utilisation());
    let busy = (0..loads.len()).max_by(by_utilisation)?;
    let idle = (0..loads.len()).min_by(by_utilisation)?;

    (busy != idle).then_some((busy, idle))
}

/// Returns the index of the piece with the most load per key among those whose rate is above zero
/// and at most `wanted`.
fn densest_piece(pieces: &[RangeLoad], wanted: f32) -> Option<usize> {
    let density =
        |piece: &RangeLoad| piece.rate / (f32::from(piece.to) - f32::from(piece.from) + 1.0);

    (0..pieces.len())
        .filter(|&index| pieces[index].rate > 0.0 && pieces[index].rate <= wanted)
        .max_by(|&a, &b| density(&pieces[a]).total_cmp(&density(&pieces[b])))
}

/// Returns the index of the piece whose move leaves the least utilisation to the busier one of two
/// holders, if that is at least `min_relief` below the present utilisation of `busy`.
///
/// Such a piece has more than the rate that would make both equal, such as a single key at a target
/// whose limit is far below the rate of the key.
fn largest_relief(busy: &HolderLoad, idle: &HolderLoad, min_relief: f32) -> Option<usize> {
    let peak_after = |index: usize| {
        let rate = busy.pieces[index].rate;
        let left = (busy.rate() - rate) / busy.capacity.max(MIN_CAPACITY);
        let received = (idle.rate() + rate) / idle.capacity.max(MIN_CAPACITY);

        left.max(received)
    };
    let best = (0..busy.pieces.len())
        .filter(|&index| busy.pieces[index].rate > 0.0)
        .min_by(|&a, &b| peak_after(a).total_cmp(&peak_after(b)))?;

    (peak_after(best) + min_relief <= busy.utilisation()).then_some(best)
}

/// Returns moves that give each of the `empty` holders its share of the load, at most `max_moves`. Each takes
/// from the holder that is the busiest then, in proportion to both capacities, the busiest pieces first. At
/// rest the number of keys decides.
pub fn fill_empty(
    loads: &[HolderLoad],
    empty: &[RangeHolder],
    options: &BalanceOptions,
) -> Vec<RangeMove> {
    let mut donors: Vec<HolderLoad> = loads
        .iter()
        .filter(|load| !empty.contains(&load.holder))
        .cloned()
        .collect();
    let mut moves = Vec::new();

    for receiver in loads.iter().filter(|load| empty.contains(&load.holder)) {
        let fill = |load: &HolderLoad| weight(&load.pieces) / load.capacity.max(MIN_CAPACITY);
        let busiest = donors.iter_mut().max_by(|a, b| fill(a).total_cmp(&fill(b)));
        let Some(donor) = busiest else {
            break;
        };

        let capacity = receiver.capacity + donor.capacity;
        let wanted = weight(&donor.pieces) * receiver.capacity / capacity.max(MIN_CAPACITY);
        donor.pieces.sort_by(|a, b| a.rate.total_cmp(&b.rate));
        let mut given = 0.0;
        while moves.len() < options.max_moves && given < wanted {
            let Some(piece) = donor.pieces.pop() else {
                break;
            };
            given += weight(&[piece]);
            moves.push(RangeMove {
                from: piece.from,
                to: piece.to,
                next: receiver.holder.clone(),
            });
        }
    }

    moves
}

/// Returns the load of pieces; keys without requests count a little.
fn weight(pieces: &[RangeLoad]) -> f32 {
    const IDLE_KEY_RATE: f32 = 0.000_1;

    pieces
        .iter()
        .map(|piece| {
            let keys = f32::from(piece.to) - f32::from(piece.from) + 1.0;
            piece.rate + keys * IDLE_KEY_RATE
        })
        .sum()
}
