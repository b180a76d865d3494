//! The reported loads of the other targets, in bounded memory.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{ids::NodeName, units::LocalMoment};

/// The most peers whose load is remembered; their mean stands for the mean of the service.
pub const MAX_PEERS: usize = 32;
/// The reports of others that a message passes on.
pub const MAX_RELAYED: usize = 3;

/// `LoadReport` is the load of one target.
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
    /// The share relative to the other targets.
    pub weight: u32,
}

/// `LoadMessage` is what a target tells a peer about its load.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMessage {
    /// The load of the sender.
    pub report: LoadReport,
    /// The load in requests a second that the sender asks of the receiver; zero for none.
    pub wanted: f32,
    /// The loads of a few others that the sender knows, at most [`MAX_RELAYED`].
    pub relayed: Vec<LoadReport>,
}

/// `PeerLoad` is a remembered load.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerLoad {
    /// When the load was measured.
    pub at: LocalMoment,
    /// The load in requests a second, with what was sent there since.
    pub load: f64,
    /// The share relative to the other targets.
    pub weight: u32,
}

impl PeerLoad {
    /// Returns the load for each share.
    pub fn relative_load(&self) -> f64 {
        self.load / f64::from(self.weight.max(1))
    }
}

/// `PeerTable` remembers the latest loads of at most [`MAX_PEERS`] targets.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    loads: BTreeMap<NodeName, PeerLoad>,
}

impl PeerTable {
    /// Takes a report, unless a later one of the same target is known.
    pub fn take(&mut self, now: LocalMoment, report: LoadReport) {
        let at = now - Duration::from_millis(u64::from(report.age_ms));
        let valid = report.load.is_finite() && report.load >= 0.0 && report.weight > 0;
        let newer = self
            .loads
            .get(&report.node)
            .is_none_or(|known| known.at < at);

        if !valid || !newer {
            return;
        }

        let load = PeerLoad {
            at,
            load: f64::from(report.load),
            weight: report.weight,
        };
        self.loads.insert(report.node, load);

        while self.loads.len() > MAX_PEERS {
            self.drop_oldest();
        }
    }

    /// Forgets the oldest load.
    fn drop_oldest(&mut self) {
        let oldest = self.loads.iter().min_by_key(|(_, load)| load.at);

        if let Some(node) = oldest.map(|(node, _)| node.clone()) {
            self.loads.remove(&node);
        }
    }

    /// Forgets the loads that are too old or whose target may not own slices.
    pub fn retain(&mut self, oldest: LocalMoment, allowed: impl Fn(&NodeName) -> bool) {
        self.loads
            .retain(|node, load| load.at >= oldest && allowed(node));
    }

    /// Adds load to a target, or takes it off, until its next report.
    pub fn add_load(&mut self, node: &NodeName, rate: f64) {
        if let Some(load) = self.loads.get_mut(node) {
            load.load = (load.load + rate).max(0.0);
        }
    }

    /// Returns the remembered load of a target.
    pub fn get(&self, node: &NodeName) -> Option<&PeerLoad> {
        self.loads.get(node)
    }

    /// Returns all remembered loads in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeName, &PeerLoad)> {
        self.loads.iter()
    }

    /// Returns the latest reports for passing on.
    pub fn latest(&self, now: LocalMoment, except: &NodeName) -> Vec<LoadReport> {
        let mut loads: Vec<(&NodeName, &PeerLoad)> = self
            .loads
            .iter()
            .filter(|(node, _)| *node != except)
            .collect();

        loads.sort_by_key(|(_, load)| std::cmp::Reverse(load.at));
        loads.truncate(MAX_RELAYED);

        let report = |(node, load): (&NodeName, &PeerLoad)| LoadReport {
            node: node.clone(),
            age_ms: u32::try_from(now.since(load.at).as_millis()).unwrap_or(u32::MAX),
            load: narrow_load(load.load),
            weight: load.weight,
        };

        loads.into_iter().map(report).collect()
    }
}

/// Returns a load in the precision of a report.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a load is compared with margins of some per cent"
)]
pub fn narrow_load(load: f64) -> f32 {
    load as f32
}
