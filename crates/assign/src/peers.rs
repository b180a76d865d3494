//! Load reports and the latest known loads of the other targets, in bounded memory.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{ids::NodeName, units::LocalMoment};

/// The most peers whose load is stored; their mean serves as an estimate of the mean of the
/// service.
pub const MAX_PEERS: usize = 32;
/// The most reports of other targets that a message relays.
pub const MAX_RELAYED_REPORTS: usize = 3;

/// `LoadReport` is the load of one target as sent to peers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// The VM of the target.
    pub node: NodeName,
    /// The age of the report in milliseconds.
    pub age_ms: u32,
    /// The load in requests a second.
    pub load: f32,
    /// The weight relative to the other targets.
    pub weight: u32,
}

/// `LoadMessage` reports the load of a target to a peer and may request load from it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMessage {
    /// The load of the sender.
    pub report: LoadReport,
    /// The load in requests a second that the sender requests from the receiver; zero for none.
    pub requested: f32,
    /// The latest loads of other targets that the sender knows, at most [`MAX_RELAYED_REPORTS`].
    pub relayed: Vec<LoadReport>,
}

/// `PeerLoad` is the latest known load of another target.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerLoad {
    /// When the load was measured.
    pub measured_at: LocalMoment,
    /// The load in requests a second, including that of the slices that were moved there since.
    pub load: f64,
    /// The weight relative to the other targets.
    pub weight: u32,
}

impl PeerLoad {
    /// Returns the load in requests a second per unit of weight.
    pub fn relative_load(&self) -> f64 {
        self.load / f64::from(self.weight.max(1))
    }
}

/// `PeerTable` stores the latest loads of at most [`MAX_PEERS`] targets.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    loads: BTreeMap<NodeName, PeerLoad>,
}

impl PeerTable {
    /// Records a report, unless its values are invalid or the stored load of the target is at least
    /// as recent.
    pub fn record(&mut self, now: LocalMoment, report: LoadReport) {
        let measured_at = now - Duration::from_millis(u64::from(report.age_ms));
        let valid = report.load.is_finite() && report.load >= 0.0 && report.weight > 0;
        let newer = self
            .loads
            .get(&report.node)
            .is_none_or(|known| known.measured_at < measured_at);

        if !valid || !newer {
            return;
        }

        let load = PeerLoad {
            measured_at,
            load: f64::from(report.load),
            weight: report.weight,
        };
        self.loads.insert(report.node, load);

        while self.loads.len() > MAX_PEERS {
            self.remove_oldest();
        }
    }

    /// Removes the oldest load.
    fn remove_oldest(&mut self) {
        let oldest = self.loads.iter().min_by_key(|(_, load)| load.measured_at);

        if let Some(node) = oldest.map(|(node, _)| node.clone()) {
            self.loads.remove(&node);
        }
    }

    /// Keeps the loads that were measured at `oldest` or later and whose target is allowed.
    pub fn retain(&mut self, oldest: LocalMoment, allowed: impl Fn(&NodeName) -> bool) {
        self.loads
            .retain(|node, load| load.measured_at >= oldest && allowed(node));
    }

    /// Adds `rate` to the stored load of a target, which its next report replaces. A negative rate
    /// reduces the load.
    pub fn add_load(&mut self, node: &NodeName, rate: f64) {
        if let Some(load) = self.loads.get_mut(node) {
            load.load = (load.load + rate).max(0.0);
        }
    }

    /// Returns the stored load of a target.
    pub fn get(&self, node: &NodeName) -> Option<&PeerLoad> {
        self.loads.get(node)
    }

    /// Returns all stored loads in the order of the nodes' names.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeName, &PeerLoad)> {
        self.loads.iter()
    }

    /// Returns the most recent loads as reports to relay to `except`, whose own load is left out.
    pub fn latest_reports(&self, now: LocalMoment, except: &NodeName) -> Vec<LoadReport> {
        let mut loads: Vec<(&NodeName, &PeerLoad)> = self
            .loads
            .iter()
            .filter(|(node, _)| *node != except)
            .collect();

        loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.measured_at));
        loads.truncate(MAX_RELAYED_REPORTS);

        let report = |(node, load): (&NodeName, &PeerLoad)| LoadReport {
            node: node.clone(),
            age_ms: u32::try_from(now.since(load.measured_at).as_millis()).unwrap_or(u32::MAX),
            load: narrow_load(load.load),
            weight: load.weight,
        };

        loads.into_iter().map(report).collect()
    }
}

/// Converts a load to the precision of a report.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a load is compared with margins of some per cent"
)]
pub fn narrow_load(load: f64) -> f32 {
    load as f32
}
