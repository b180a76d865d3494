//! Moves that even out the load.

use crate::{load::RangeLoad, table::RangeHolder};

/// `BalanceOptions` are the settings of the moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalanceOptions {
    /// The utilisation under which nothing moves.
    pub min_utilisation: f32,
    /// The difference of utilisation under which nothing moves.
    pub min_difference: f32,
    /// The most ranges that move at a time.
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

/// `HolderLoad` is the load and capacity of one holder.
#[derive(Debug, Clone, PartialEq)]
pub struct HolderLoad {
    /// The holder.
    pub holder: RangeHolder,
    /// The requests a second that the holder can serve.
    pub capacity: f32,
    /// The load of what the holder keeps, in pieces.
    pub pieces: Vec<RangeLoad>,
}

impl HolderLoad {
    /// Returns the requests a second.
    pub fn rate(&self) -> f32 {
        self.pieces.iter().map(|piece| piece.rate).sum()
    }

    /// Returns the load as a share of the capacity.
    pub fn utilisation(&self) -> f32 {
        self.rate() / self.capacity.max(0.1)
    }
}

/// `RangeMove` moves a range to another holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeMove {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The next holder.
    pub next: RangeHolder,
}

/// Returns moves from the busiest to the idlest holders; narrow busy ranges go first, as moving
/// few keys costs least.
pub fn even_out(loads: &[HolderLoad], options: &BalanceOptions) -> Vec<RangeMove> {
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

        // The rate whose move makes both utilisations equal.
        let (a, b) = (loads[busy].capacity, loads[idle].capacity);
        let wanted = (most - least) * a * b / (a + b);
        let Some(index) = best_piece(&loads[busy].pieces, wanted) else {
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

/// Returns the indices of the busiest and the idlest holder.
fn extremes(loads: &[HolderLoad]) -> Option<(usize, usize)> {
    let by_utilisation =
        |a: &usize, b: &usize| loads[*a].utilisation().total_cmp(&loads[*b].utilisation());
    let busy = (0..loads.len()).max_by(by_utilisation)?;
    let idle = (0..loads.len()).min_by(by_utilisation)?;

    (busy != idle).then_some((busy, idle))
}

/// Returns the piece with the most load for its keys among those that fit.
fn best_piece(pieces: &[RangeLoad], wanted: f32) -> Option<usize> {
    let density =
        |piece: &RangeLoad| piece.rate / (f32::from(piece.to) - f32::from(piece.from) + 1.0);

    (0..pieces.len())
        .filter(|&index| pieces[index].rate > 0.0 && pieces[index].rate <= wanted)
        .max_by(|&a, &b| density(&pieces[a]).total_cmp(&density(&pieces[b])))
}
