//! Which targets of a VM have announced their leave.

use serde::{Deserialize, Serialize};
use wagtail_core::heartbeat::{TargetDeparture, TargetIncarnation};

/// The number of departures that are kept. A VM runs one target at a time, and messages of the
/// targets before it may arrive late.
const MAX_DEPARTURES: usize = 4;

/// `DepartureList` holds the latest departures of the targets of one VM, the oldest first and at most
/// one for each identifier.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct DepartureList {
    departures: Vec<TargetDeparture>,
}

impl DepartureList {
    /// Adds a departure. The oldest one is dropped if there are more than `MAX_DEPARTURES`.
    pub fn add(&mut self, departure: TargetDeparture) {
        let known = self
            .departures
            .iter_mut()
            .find(|known| known.id == departure.id);
        match known {
            Some(known) => {
                known.started_until_ms = known.started_until_ms.max(departure.started_until_ms);
            }
            None => self.departures.push(departure),
        }

        // Equal lists are stored alike, in whatever order they were merged.
        self.departures
            .sort_by(|a, b| (a.started_until_ms, &a.id).cmp(&(b.started_until_ms, &b.id)));
        if self.departures.len() > MAX_DEPARTURES {
            self.departures.remove(0);
        }
    }

    /// Returns the number of departures.
    pub fn len(&self) -> usize {
        self.departures.len()
    }

    /// Returns the departure of the target that started last.
    pub fn latest(&self) -> Option<&TargetDeparture> {
        self.departures.last()
    }

    /// Returns whether the list holds no departure.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }

    /// Adds the departures of another list.
    pub fn merge(&mut self, other: &Self) {
        for departure in &other.departures {
            self.add(departure.clone());
        }
    }

    /// Returns whether the list holds a departure, or a later one under the same identifier.
    pub fn includes(&self, departure: &TargetDeparture) -> bool {
        self.departures.iter().any(|known| {
            known.id == departure.id && known.started_until_ms >= departure.started_until_ms
        })
    }

    /// Returns whether an incarnation of a target has announced its leave.
    pub fn covers(&self, life: &TargetIncarnation) -> bool {
        self.departures
            .iter()
            .any(|departure| departure.covers(life))
    }
}
